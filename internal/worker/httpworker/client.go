package httpworker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// CommandTimeout is the timeout of a command. Heartbeats add their own wait to it;
// direct requests have only the caller's deadline.
const CommandTimeout = 2 * time.Second

// Client sends commands to one worker over HTTP.
type Client struct {
	spec model.WorkerSpec
	http *http.Client
}

var _ worker.Client = (*Client)(nil)

// New returns a client of the worker at spec.Addr. If c is nil, httpjson.NewClient is
// used.
func New(spec model.WorkerSpec, c *http.Client) *Client {
	if c == nil {
		c = httpjson.NewClient()
	}
	return &Client{spec: spec, http: c}
}

// RaiseFence implements worker.Client.
func (c *Client) RaiseFence(ctx context.Context, f worker.Fence) (worker.Inventory, error) {
	var inv worker.Inventory
	err := c.call(ctx, PathFence, Command{Fence: f}, &inv, CommandTimeout)
	return inv, err
}

// Start implements worker.Client.
func (c *Client) Start(ctx context.Context, s worker.Start) error {
	return c.call(ctx, PathStart, s, nil, CommandTimeout)
}

// Heartbeat implements worker.Client.
func (c *Client) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.HeartbeatReply, error) {
	var reply worker.HeartbeatReply
	err := c.call(ctx, PathHeartbeat, h, &reply, h.Wait+CommandTimeout)
	return reply, err
}

// Settle implements worker.Client.
func (c *Client) Settle(ctx context.Context, f worker.Fence, a worker.Attempt) (worker.TaskReport, error) {
	var report worker.TaskReport
	err := c.call(ctx, PathSettle, Command{Fence: f, Attempt: a}, &report, CommandTimeout)
	return report, err
}

// Stop implements worker.Client.
func (c *Client) Stop(ctx context.Context, f worker.Fence, a worker.Attempt) error {
	return c.call(ctx, PathStop, Command{Fence: f, Attempt: a}, nil, CommandTimeout)
}

// Checkpoint implements worker.Client.
func (c *Client) Checkpoint(ctx context.Context, f worker.Fence, a worker.Attempt) (string, error) {
	var reply CheckpointReply
	err := c.call(ctx, PathCheckpoint, Command{Fence: f, Attempt: a}, &reply, CommandTimeout)
	return reply.Name, err
}

// Throttle implements worker.Client.
func (c *Client) Throttle(ctx context.Context, f worker.Fence, a worker.Attempt, percent int) error {
	return c.call(ctx, PathThrottle, Command{Fence: f, Attempt: a, Percent: percent}, nil, CommandTimeout)
}

// Run implements worker.Client. The answer's body is streamed.
func (c *Client) Run(ctx context.Context, s worker.Start, body io.Reader) (*worker.Answer, error) {
	header, err := EncodeStart(s)
	if err != nil {
		return nil, c.wrap(&httpjson.TransportError{Err: err})
	}
	// io.NopCloser hides the reader's type, so that net/http cannot send the body again.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(PathRun), io.NopCloser(body))
	if err != nil {
		return nil, c.wrap(&httpjson.TransportError{Err: err})
	}
	req.Header.Set(HeaderStart, header)
	resp, err := httpjson.Send(c.http, req)
	if err != nil {
		return nil, c.wrap(err)
	}
	return c.readAnswer(resp, s.Attempt)
}

// readAnswer checks the headers of a response to a direct request.
func (c *Client) readAnswer(resp *http.Response, want worker.Attempt) (*worker.Answer, error) {
	got, err := ParseAttempt(resp.Header.Get(HeaderAttempt))
	if err != nil {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("worker %s: %w: %w", c.spec.ID, worker.ErrForeignAnswer, err)
	}
	if resp.ContentLength < 0 {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("worker %s: no length declared: %w", c.spec.ID, worker.ErrTruncated)
	}
	return worker.CheckAnswer(&worker.Answer{
		Attempt: got,
		Failed:  resp.Header.Get(HeaderOutcome) == string(model.OutcomeFailed),
		Length:  resp.ContentLength,
		Body:    resp.Body,
	}, want)
}

// call sends one command with a timeout.
func (c *Client) call(ctx context.Context, path string, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.wrap(httpjson.Call(ctx, c.http, http.MethodPost, c.url(path), in, out))
}

func (c *Client) url(path string) string { return "http://" + c.spec.Addr + path }

// wrap maps an error of a call to the errors of package worker. An error that does not
// prove that the command had no effect is ambiguous.
func (c *Client) wrap(err error) error {
	if err == nil {
		return nil
	}
	kind := worker.ErrAmbiguous
	var status *httpjson.StatusError
	var transport *httpjson.TransportError
	switch {
	case errors.As(err, &status):
		if refusal, ok := errorsByCode[status.Code]; ok {
			kind = refusal
		}
	case errors.As(err, &transport) && !transport.Sent:
		kind = worker.ErrUnreachable
	}
	return fmt.Errorf("worker %s: %w: %w", c.spec.ID, kind, err)
}

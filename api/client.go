package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Client calls entry hosts. It is safe for concurrent use.
type Client struct {
	servers []string // base URLs
	key     string
	http    *http.Client
	current atomic.Uint64 // index of the server that answered last
}

// CodeConnectionLost is set by the client if no server could be reached or the connection
// broke before the answer was complete.
const CodeConnectionLost Code = "connection_lost"

// maxErrorBody is the maximum number of bytes that are read of an error's body.
const maxErrorBody = 1 << 20

// NewClient returns a client of the given entry hosts, each host:port or a base
// URL. The key may be empty for open queues.
func NewClient(servers []string, key string) (*Client, error) {
	if len(servers) == 0 {
		return nil, errors.New("no server address")
	}
	c := &Client{key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		u, err := url.Parse(s)
		if err != nil || u.Host == "" {
			return nil, fmt.Errorf("server %q: want host:port or http://host:port", s)
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c, nil
}

// call is one call of the HTTP interface.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	stream io.Reader // instead of body; not read before a connection is open
	accept []int     // statuses of 400 and more that are not errors
}

// retryable reports whether the call may be sent to another server after err.
func (c *call) retryable(err error) bool {
	return c.method == http.MethodGet || c.method == http.MethodDelete || neverSent(err)
}

// neverSent reports whether err proves that no connection was opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// do sends the call to one server after another until one answers. An answer with a status
// of 400 or more is returned as *Error, unless it is the answer of a task or its status is
// in accept.
func (c *Client) do(ctx context.Context, request *call) (*http.Response, error) {
	first := c.current.Load()
	var lastErr error
	for i := range uint64(len(c.servers)) {
		n := (first + i) % uint64(len(c.servers))
		resp, err := c.send(ctx, c.servers[n], request)
		if err == nil {
			c.current.Store(n)
			return checkResponse(resp, request.accept)
		}
		lastErr = err
		if ctx.Err() != nil || !request.retryable(err) {
			break
		}
	}
	return nil, connectionError(request, lastErr)
}

func (c *Client) send(ctx context.Context, server string, request *call) (*http.Response, error) {
	body := request.stream
	if _, closes := body.(io.Closer); closes {
		body = struct{ io.Reader }{body} // stays open for the next server
	}
	if body == nil && request.body != nil {
		body = bytes.NewReader(request.body)
	}
	target := server + request.path
	if len(request.query) > 0 {
		target += "?" + request.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, request.method, target, body)
	if err != nil {
		return nil, err
	}
	for name, values := range request.header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	return c.http.Do(req)
}

// connectionError returns the *Error for a lost connection. The outcome of a POST request is
// unknown, or not_run if the request was never sent; other requests get no outcome.
func connectionError(request *call, err error) *Error {
	e := &Error{Code: CodeConnectionLost, Message: err.Error()}
	if request.method != http.MethodPost {
		return e
	}
	e.Outcome = OutcomeUnknown
	if neverSent(err) {
		e.Outcome = OutcomeNotRun
	}
	return e
}

func checkResponse(resp *http.Response, accept []int) (*http.Response, error) {
	ofTask := resp.Header.Get(HeaderAttempt) != ""
	if resp.StatusCode < http.StatusBadRequest || ofTask || slices.Contains(accept, resp.StatusCode) {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	e := &Error{Status: resp.StatusCode}
	if err != nil || json.Unmarshal(data, e) != nil || e.Code == "" {
		e.Code = CodeInternal
		e.Message = resp.Status
	}
	return nil, e
}

// decode sends a call and decodes the answer into v.
func (c *Client) decode(ctx context.Context, request *call, v any) error {
	resp, err := c.do(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return connectionError(request, err)
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

// RunRequest is a direct request.
type RunRequest struct {
	Queue          string
	Body           io.Reader
	Idempotent     bool
	Timeout        time.Duration // zero: the entry host's default
	RunTime        time.Duration // declared
	Resources      Resources
	Kind           string
	IdempotencyKey string
}

// RunAnswer is the answer of a task to a direct request. Body must be closed; reading it
// returns an error if the answer is incomplete.
type RunAnswer struct {
	Outcome   Outcome // done or failed
	RequestID string
	Attempt   int
	Repeated  bool // stored outcome of an earlier request with the same idempotency key
	Length    int64
	Body      io.ReadCloser
}

// Run sends a direct request. An error is an *Error; its Outcome is the outcome of the
// request.
func (c *Client) Run(ctx context.Context, r RunRequest) (*RunAnswer, error) {
	resp, err := c.do(ctx, &call{
		method: http.MethodPost,
		path:   "/v1/run/" + url.PathEscape(r.Queue),
		header: r.headers(),
		stream: r.Body,
	})
	if err != nil {
		return nil, err
	}
	attempt, _ := strconv.Atoi(resp.Header.Get(HeaderAttempt))
	return &RunAnswer{
		Outcome:   Outcome(resp.Header.Get(HeaderOutcome)),
		RequestID: resp.Header.Get(HeaderRequestID),
		Attempt:   attempt,
		Repeated:  resp.Header.Get(HeaderRepeated) == "true",
		Length:    resp.ContentLength,
		Body:      resp.Body,
	}, nil
}

func (r *RunRequest) headers() http.Header {
	h := http.Header{}
	h.Set(HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	setNonEmpty(h, HeaderResources, FormatResources(r.Resources))
	setNonEmpty(h, HeaderKind, r.Kind)
	setNonEmpty(h, HeaderIdempotencyKey, r.IdempotencyKey)
	if r.Timeout > 0 {
		h.Set(HeaderTimeout, r.Timeout.String())
	}
	if r.RunTime > 0 {
		h.Set(HeaderRunTime, r.RunTime.String())
	}
	return h
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

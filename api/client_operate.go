package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
)

// Apply applies a complete configuration. A refusal, a conflict, and a version that is
// staged but not yet accepted are replies, not errors.
func (c *Client) Apply(ctx context.Context, r ApplyRequest) (ApplyReply, error) {
	var out ApplyReply
	body, err := json.Marshal(r)
	if err != nil {
		return out, err
	}
	request := &call{method: http.MethodPost, path: "/v1/config", header: jsonHeader(), body: body}
	resp, err := c.doApply(ctx, request)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, connectionError(request, err)
	}
	return out, nil
}

// doApply sends a call as do does, but returns the answers to refused applies without an
// error.
func (c *Client) doApply(ctx context.Context, request *call) (*http.Response, error) {
	request.accept = []int{http.StatusConflict, http.StatusUnprocessableEntity}
	return c.do(ctx, request)
}

// Config returns a version of the configuration; version zero selects the accepted one.
func (c *Client) Config(ctx context.Context, version int64) (ConfigReply, error) {
	var out ConfigReply
	err := c.decode(ctx, &call{method: http.MethodGet, path: "/v1/config", query: versionQuery("version", version)}, &out)
	return out, err
}

// History returns the versions of the configuration, newest first.
func (c *Client) History(ctx context.Context) (HistoryReply, error) {
	var out HistoryReply
	err := c.decode(ctx, &call{method: http.MethodGet, path: "/v1/config/history"}, &out)
	return out, err
}

// Diff returns the difference between two versions.
func (c *Client) Diff(ctx context.Context, from, to int64) (DiffReply, error) {
	query := versionQuery("from", from)
	query.Set("to", strconv.FormatInt(to, 10))
	var out DiffReply
	err := c.decode(ctx, &call{method: http.MethodGet, path: "/v1/config/diff", query: query}, &out)
	return out, err
}

func versionQuery(name string, version int64) url.Values {
	return url.Values{name: {strconv.FormatInt(version, 10)}}
}

// Status returns the state of the cell as seen by the entry host that answers.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	var out StatusReply
	err := c.decode(ctx, &call{method: http.MethodGet, path: "/v1/status"}, &out)
	return out, err
}

// Timeline returns the merged events of all entry hosts.
func (c *Client) Timeline(ctx context.Context, q TimelineQuery) (TimelineReply, error) {
	query := url.Values{}
	setQuery(query, "request", q.Request)
	setQuery(query, "job", q.Job)
	setQuery(query, "team", q.Team)
	setQuery(query, "host", q.Host)
	setQuery(query, "az", q.AZ)
	if q.Limit > 0 {
		query.Set("limit", strconv.Itoa(q.Limit))
	}
	var out TimelineReply
	err := c.decode(ctx, &call{method: http.MethodGet, path: "/v1/timeline", query: query}, &out)
	return out, err
}

// AsError returns the *Error that err wraps, if any.
func AsError(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

package httpplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/platform"
)

// Timeouts of single calls; an earlier deadline of the caller takes precedence.
const (
	TableTimeout  = 2 * time.Second
	ObjectTimeout = 10 * time.Second
)

// Client is an HTTP client of one platform.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at baseURL ("http://host:port"). If c is nil,
// httpjson.NewClient is used.
func New(baseURL string, c *http.Client) *Client {
	if c == nil {
		c = httpjson.NewClient()
	}
	return &Client{base: baseURL, http: c}
}

// Table returns the table service.
func (c *Client) Table() platform.Table { return table{c} }

// Objects returns the object store.
func (c *Client) Objects() platform.ObjectStore { return objects{c} }

// HostList returns the host list.
func (c *Client) HostList() platform.HostList { return hostList{c} }

type (
	table    struct{ *Client }
	objects  struct{ *Client }
	hostList struct{ *Client }
)

// Get implements platform.Table.
func (t table) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := t.read(ctx, t.url(PathRow, ParamKey, key), &row)
	return row, err
}

// Range implements platform.Table.
func (t table) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var reply RangeReply
	err := t.read(ctx, t.url(PathRange,
		ParamPrefix, prefix, ParamAfter, after, ParamLimit, strconv.Itoa(limit)), &reply)
	return reply.Rows, err
}

// Apply implements platform.Table.
func (t table) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, TableTimeout)
	defer cancel()
	var reply ApplyReply
	err := httpjson.Call(ctx, t.http, http.MethodPost, t.base+PathApply, ApplyRequest{writes}, &reply)
	if err != nil {
		return nil, writeError(err)
	}
	if len(reply.Versions) != len(writes) {
		return nil, fmt.Errorf("%d versions for %d writes: %w", len(reply.Versions), len(writes), platform.ErrAmbiguous)
	}
	return reply.Versions, nil
}

// Put implements platform.ObjectStore.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	return o.change(ctx, http.MethodPut, name, data)
}

// Delete implements platform.ObjectStore.
func (o objects) Delete(ctx context.Context, name string) error {
	return o.change(ctx, http.MethodDelete, name, nil)
}

// Get implements platform.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ObjectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.url(PathObjects, ParamName, name), nil)
	if err != nil {
		return nil, readError(err)
	}
	resp, err := httpjson.Send(o.http, req)
	if err != nil {
		return nil, readError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, readError(err)
	}
	return data, nil
}

// List implements platform.ObjectStore.
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	var reply ListReply
	err := o.read(ctx, o.url(PathObjects, ParamPrefix, prefix), &reply)
	return reply.Names, err
}

// Hosts implements platform.HostList.
func (h hostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	var reply HostsReply
	err := h.read(ctx, h.base+PathHosts, &reply)
	return reply.Hosts, err
}

// change writes or deletes an object.
func (o objects) change(ctx context.Context, method, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, ObjectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, o.url(PathObjects, ParamName, name), bytes.NewReader(data))
	if err != nil {
		return writeError(&httpjson.TransportError{Err: err})
	}
	resp, err := httpjson.Send(o.http, req)
	if err != nil {
		return writeError(err)
	}
	return resp.Body.Close()
}

// read sends a GET request.
func (c *Client) read(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, TableTimeout)
	defer cancel()
	if err := httpjson.Call(ctx, c.http, http.MethodGet, url, nil, out); err != nil {
		return readError(err)
	}
	return nil
}

// url returns the URL of a path with query parameters, given as alternating names and
// values.
func (c *Client) url(path string, params ...string) string {
	q := url.Values{}
	for i := 0; i+1 < len(params); i += 2 {
		q.Set(params[i], params[i+1])
	}
	return c.base + path + "?" + q.Encode()
}

// readError maps an error of a read to the errors of package platform.
func readError(err error) error {
	var status *httpjson.StatusError
	if errors.As(err, &status) && status.Code == CodeNotFound {
		return fmt.Errorf("%q: %w", status.Key, platform.ErrNotFound)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}

// writeError maps an error of a write to the errors of package platform. An error that
// does not prove that nothing was written is ambiguous.
func writeError(err error) error {
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		switch status.Code {
		case CodeConflict:
			return &platform.ConflictError{Key: status.Key}
		case CodeUnavailable, CodeBadRequest:
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
	}
	var transport *httpjson.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", platform.ErrAmbiguous, err)
}

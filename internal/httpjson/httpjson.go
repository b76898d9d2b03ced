// Package httpjson makes JSON calls over HTTP. It distinguishes calls that were never sent
// from calls whose answer was lost. The HTTP clients of the platform and of the workers use
// it.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of clients and calls.
const (
	DialTimeout         = time.Second      // to open a connection
	IdleTimeout         = 90 * time.Second // of an unused connection
	MaxIdleConnsPerHost = 64               // unused connections per server
	MaxReplyBytes       = 64 << 20         // of a JSON reply
	maxErrorBytes       = 256 << 10        // that are read of an error's body
)

// TransportError is the error of a call without a complete HTTP answer.
type TransportError struct {
	Sent bool // false: no byte of the request was sent, so it had no effect
	Err  error
}

// Error returns whether the request was sent, and the cause.
func (e *TransportError) Error() string {
	if e.Sent {
		return "answer lost: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// StatusError is an HTTP answer with an error status. Its JSON form is the body of error
// answers.
type StatusError struct {
	Status  int    `json:"-"`
	Code    string `json:"code"` // stable and machine-readable
	Message string `json:"message"`
	Key     string `json:"key,omitempty"` // object that the error is about, such as a row
	// Body is the unchanged body of the answer, truncated to maxErrorBytes.
	Body []byte `json:"-"`
}

// Error returns the status, code and message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d, code %q: %s", e.Status, e.Code, e.Message)
}

// NewClient returns a client that fails fast on unreachable hosts and reuses connections.
// It has no overall timeout; callers set deadlines.
func NewClient() *http.Client { return NewClientWithLocalIP("") }

// NewClientWithLocalIP returns a client as NewClient does, with the local IP address ip for
// its connections; if ip is empty, the system chooses.
func NewClientWithLocalIP(ip string) *http.Client { return NewClientWithOptions(Options{LocalIP: ip}) }

// Options configures a client. Zero fields take the defaults.
type Options struct {
	LocalIP         string        // local address of connections; default: the system's choice
	DialTimeout     time.Duration // to open a connection; default DialTimeout
	MaxConnsPerHost int           // default: unlimited
	// OpenConns counts the client's open connections; may be nil.
	OpenConns *atomic.Int64
	// OnDial is called with each new connection and returns the one to use; may be nil. Its
	// context has the values of the call for which the connection is opened.
	OnDial func(ctx context.Context, conn net.Conn) (net.Conn, error)
}

// NewClientWithOptions returns a client as NewClient does, with options.
func NewClientWithOptions(o Options) *http.Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = DialTimeout
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	if local := net.ParseIP(o.LocalIP); local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	dial := dialer.DialContext
	if o.OpenConns != nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			o.OpenConns.Add(1)
			return &countedConn{Conn: conn, open: o.OpenConns}, nil
		}
	}
	if o.OnDial != nil {
		dial = prepared(dial, o.OnDial)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: MaxIdleConnsPerHost,
		MaxConnsPerHost:     o.MaxConnsPerHost,
		IdleConnTimeout:     IdleTimeout,
		DisableCompression:  true,
	}}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// prepared returns a dial function that passes each new connection through prepare. A
// connection for which that fails is closed.
func prepared(dial dialFunc, prepare func(context.Context, net.Conn) (net.Conn, error)) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ready, err := prepare(ctx, conn)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return ready, nil
	}
}

// countedConn is a connection that decrements open when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Send sends req and returns the answer if its status is below 400. Otherwise the error is
// a *TransportError or a *StatusError and the answer's body is closed.
func Send(c *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := Do(c, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	return nil, readError(resp)
}

type gotConnKey struct{}

// WithGotConn returns a context with which each call passes its connection to gotConn before
// it is sent over it. It replaces httptrace.WithClientTrace, whose hooks would be combined
// with those of Do by reflection, at an eighth of the processor time of a small call.
func WithGotConn(ctx context.Context, gotConn func(httptrace.GotConnInfo)) context.Context {
	return context.WithValue(ctx, gotConnKey{}, gotConn)
}

// Do sends req and returns the answer, whatever its status is. The error is a
// *TransportError.
func Do(c *http.Client, req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	gotConn, _ := req.Context().Value(gotConnKey{}).(func(httptrace.GotConnInfo))
	trace := &httptrace.ClientTrace{
		// The transport requests another connection only if it sent nothing over the last one.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			if gotConn != nil {
				gotConn(info)
			}
		},
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := c.Do(req)
	if err != nil {
		return nil, &TransportError{Sent: connected.Load(), Err: err}
	}
	return resp, nil
}

// Call sends in as JSON (nil: no body) and decodes the answer into out (nil: the body is
// discarded).
func Call(ctx context.Context, c *http.Client, method, url string, in, out any) error {
	return CallWithHeader(ctx, c, method, url, nil, in, out)
}

// CallWithHeader makes a call as Call does, with additional header fields.
func CallWithHeader(ctx context.Context, c *http.Client, method, url string, header http.Header, in, out any) error {
	req, err := newRequest(ctx, method, url, in)
	if err != nil {
		return &TransportError{Err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := Send(c, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err == nil && len(data) > MaxReplyBytes {
		err = errors.New("reply is too long")
	}
	if err == nil && out != nil {
		err = decodeReply(data, out)
	}
	if err != nil {
		return &TransportError{Sent: true, Err: err}
	}
	return nil
}

// ReplyDecoder is implemented by results of calls that decode the reply themselves. Load
// pattern: hundreds of calls a second, whose decoding by reflection takes much of the
// processor. data is the whole body and is not used again; an error counts as a reply that
// is not JSON.
type ReplyDecoder interface {
	DecodeReply(data []byte) error
}

// decodeReply decodes the body of a reply into out.
func decodeReply(data []byte, out any) error {
	if d, ok := out.(ReplyDecoder); ok {
		return d.DecodeReply(data)
	}
	return json.Unmarshal(data, out)
}

// newRequest returns a request with in as its JSON body.
func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// readError reads and closes an answer with an error status.
func readError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	e := &StatusError{Status: resp.StatusCode}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &TransportError{Sent: true, Err: err}
	}
	e.Body = data
	if json.Unmarshal(data, e) != nil {
		e.Message = string(data)
	}
	return e
}

// WriteJSON writes v as the answer to a request.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only after the status was written, so the error cannot be reported to
	// the client.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes e as the answer to a request.
func WriteError(w http.ResponseWriter, e *StatusError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}

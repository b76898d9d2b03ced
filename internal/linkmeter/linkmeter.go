// Package linkmeter counts the bytes that a process sends and receives over HTTP, by the
// purpose of the calls. The counts are those of the HTTP/1.1 messages, without the
// overhead of TCP.
package linkmeter

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// Counts are the totals of one purpose.
type Counts struct {
	Calls, Sent, Received int64 // calls; bytes
}

// Meter holds counts by purpose.
type Meter struct {
	mu       sync.Mutex
	counters map[string]*counter
}

type counter struct{ calls, sent, received atomic.Int64 }

// New returns a meter without counts.
func New() *Meter { return &Meter{counters: map[string]*counter{}} }

func (m *Meter) counter(purpose string) *counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters[purpose]
	if c == nil {
		c = &counter{}
		m.counters[purpose] = c
	}
	return c
}

// Totals returns the counts since the start, by purpose.
func (m *Meter) Totals() map[string]Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Counts, len(m.counters))
	for purpose, c := range m.counters {
		out[purpose] = Counts{c.calls.Load(), c.sent.Load(), c.received.Load()}
	}
	return out
}

// Sum returns the counts since the start, over all purposes.
func (m *Meter) Sum() Counts {
	var sum Counts
	for _, c := range m.Totals() {
		sum.Calls, sum.Sent, sum.Received = sum.Calls+c.Calls, sum.Sent+c.Sent, sum.Received+c.Received
	}
	return sum
}

// Client makes c count its calls. The purpose of a call is derived from the URL's path.
// It returns c.
func (m *Meter) Client(c *http.Client, purpose func(path string) string) *http.Client {
	if m != nil {
		c.Transport = &transport{m, c.Transport, purpose}
	}
	return c
}

type transport struct {
	meter   *Meter
	base    http.RoundTripper
	purpose func(path string) string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	c := t.meter.counter(t.purpose(req.URL.Path))
	c.calls.Add(1)
	c.sent.Add(requestSize(req))
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	c.received.Add(statusLineSize + headerSize(resp.Header))
	resp.Body = &countedBody{resp.Body, &c.received}
	return resp, nil
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach the wrapped transport.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Handler makes h count the requests that it serves.
func (m *Meter) Handler(h http.Handler, purpose string) http.Handler {
	c := m.counter(purpose)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.calls.Add(1)
		c.received.Add(requestSize(r))
		counted := &countedResponse{ResponseWriter: w}
		h.ServeHTTP(counted, r)
		c.sent.Add(statusLineSize + headerSize(w.Header()) + counted.size)
	})
}

// statusLineSize is about the size in bytes of a status line and of the lines that
// net/http adds to the header: the date and the length of the body.
const statusLineSize = 90

// clientLinesSize is the size in bytes of the lines that net/http adds to the header of a
// request: the names of Host, User-Agent and Content-Length, and the latter's values.
const clientLinesSize = 60

func requestSize(r *http.Request) int64 {
	size := int64(len(r.Method)+len(r.URL.RequestURI())+len(r.Host)) + clientLinesSize + headerSize(r.Header)
	return size + max(0, r.ContentLength)
}

// headerSize returns the size in bytes of the lines of a header.
func headerSize(h http.Header) int64 {
	var size int64
	for name, values := range h {
		for _, v := range values {
			size += int64(len(name) + len(v) + len(": \r\n"))
		}
	}
	return size
}

type countedBody struct {
	io.ReadCloser
	read *atomic.Int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	return n, err
}

type countedResponse struct {
	http.ResponseWriter
	size int64
}

// Write implements io.Writer.
func (w *countedResponse) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.size += int64(n)
	return n, err
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (w *countedResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

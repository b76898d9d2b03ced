package api

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve starts a server that counts its calls and returns its URL.
func serve(t *testing.T, calls *int, h http.HandlerFunc) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*calls++
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// unreachable returns an address that refuses connections.
func unreachable(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestClientTriesNextServerOnlyIfSafe(t *testing.T) {
	ok := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/run/") {
			w.Header().Set(HeaderAttempt, "1")
			w.Header().Set(HeaderOutcome, string(OutcomeDone))
		}
		_, _ = io.WriteString(w, "{}")
	}
	submit := func(c *Client) error { _, err := c.Submit(context.Background(), Submission{}); return err }
	status := func(c *Client) error { _, err := c.Status(context.Background()); return err }
	run := func(c *Client) error {
		_, err := c.Run(context.Background(), RunRequest{Queue: "q", Body: strings.NewReader("b")})
		return err
	}
	for name, tt := range map[string]struct {
		call    func(*Client) error
		reached bool    // the first server receives the call and aborts the connection
		second  int     // expected calls of the second server
		outcome Outcome // expected outcome of the error; empty: no error
	}{
		"submission, never sent":     {submit, false, 1, ""},
		"submission, may be done":    {submit, true, 0, OutcomeUnknown},
		"read, never sent":           {status, false, 1, ""},
		"read, broken":               {status, true, 1, ""},
		"direct request, broken":     {run, true, 0, OutcomeUnknown},
		"direct request, never sent": {run, false, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first, second int
			servers := []string{unreachable(t), serve(t, &second, ok)}
			if tt.reached {
				servers[0] = serve(t, &first, abortConnection)
			}
			c, err := NewClient(servers, "key")
			is.NoErr(err)
			err = tt.call(c)
			is.Equal(second, tt.second)
			if tt.outcome == "" {
				is.NoErr(err)
				return
			}
			e, isError := AsError(err)
			is.True(isError)
			is.Equal(e.Outcome, tt.outcome)
		})
	}
}

func TestClientReturnsTheServersError(t *testing.T) {
	is := is.New(t)
	var calls int
	c, err := NewClient([]string{serve(t, &calls, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"outcome":"not_run","code":"queue_full","message":"m","retry_after_ms":1500}`)
	})}, "")
	is.NoErr(err)
	_, err = c.Run(context.Background(), RunRequest{Queue: "q"})
	e, isError := AsError(err)
	is.True(isError)
	is.Equal(e.Outcome, OutcomeNotRun)
	is.Equal(e.Code, Code("queue_full"))
	is.Equal(e.RetryAfter(), 1500*time.Millisecond)
	is.Equal(e.Status, http.StatusTooManyRequests)
}

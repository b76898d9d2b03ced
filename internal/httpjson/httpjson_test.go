package httpjson

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// rejectingReply decodes no reply.
type rejectingReply struct{ data []byte }

var errRejected = errors.New("rejected")

func (r *rejectingReply) DecodeReply(data []byte) error {
	r.data = data
	return errRejected
}

// Guards against a reply that its decoder cannot read and that counts as an answer, or as a
// call that was never sent.
func TestReplyDecoder(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{x")) }))
	defer server.Close()
	var reply rejectingReply
	err := Call(t.Context(), NewClient(), http.MethodGet, server.URL, nil, &reply)
	var transport *TransportError
	is.True(errors.As(err, &transport))
	is.True(transport.Sent)
	is.True(errors.Is(err, errRejected))
	is.Equal(string(reply.data), "{x")
}

// Guards against calls that are sent over a connection without the hook that may refuse it.
func TestGotConnIsCalledForEachCall(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	client := NewClient()
	var reused []bool
	ctx := WithGotConn(t.Context(), func(info httptrace.GotConnInfo) {
		reused = append(reused, info.Reused)
		if len(reused) == 3 {
			_ = info.Conn.Close()
		}
	})
	var status *StatusError
	for range 3 {
		is.True(errors.As(Call(ctx, client, http.MethodPost, server.URL, 1, nil), &status))
	}
	// The hook closes the connection of the third call, which then takes a new one.
	is.Equal(reused, []bool{false, true, true, false})
}

package linkmeter

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBothEndsCount checks that the client's and the server's counts of a call agree, and
// that calls are counted by purpose.
func TestBothEndsCount(t *testing.T) {
	is := is.New(t)
	served := New()
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		_, err = w.Write(body)
		is.NoErr(err)
	})
	server := httptest.NewServer(served.Handler(echo, "served"))
	defer server.Close()
	m := New()
	client := m.Client(&http.Client{Transport: &http.Transport{DisableCompression: true}}, func(path string) string { return strings.TrimPrefix(path, "/") })
	const size = 5000
	for _, purpose := range []string{"starts", "starts", "heartbeats"} {
		resp, err := client.Post(server.URL+"/"+purpose, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	client.CloseIdleConnections()
	totals := m.Totals()
	is.Equal(totals["starts"].Calls, int64(2))
	is.Equal(totals["heartbeats"].Calls, int64(1))
	const overhead = 400 // bytes of the lines beside the body
	for _, c := range totals {
		is.True(c.Sent >= c.Calls*size && c.Sent < c.Calls*(size+overhead))
		is.True(c.Received >= c.Calls*size && c.Received < c.Calls*(size+overhead))
	}
	both := totals["starts"].Sent + totals["heartbeats"].Sent
	got := served.Totals()["served"]
	is.Equal(got.Calls, int64(3))
	is.True(got.Received > both*9/10 && got.Received < both*11/10)
}

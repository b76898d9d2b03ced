package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stallingServer answers in a millisecond, but its first answer takes a second, and its
// second one is a refusal.
type stallingServer struct{ calls int }

func (s *stallingServer) RoundTrip(r *http.Request) (*http.Response, error) {
	s.calls++
	pause := time.Millisecond
	if s.calls == 1 {
		pause = time.Second
	}
	time.Sleep(pause)
	status, body := http.StatusOK, "answer"
	if s.calls == 2 {
		status, body = http.StatusServiceUnavailable, `{"outcome":"not_run","code":"no_room"}`
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

func TestStallCountsForAllRequestsThatWereDue(t *testing.T) {
	// Guards against coordinated omission: requests that are due while the server stalls
	// are sent late, and the delay must count in their response times.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate = 100
		o := Options{Duration: 2 * time.Second, Connections: 1}.withDefaults()
		g, err := newGenerator(o, target{name: "stalling", url: "http://server/"}, rate)
		is.NoErr(err)
		g.client.Transport = &stallingServer{}
		r := g.result(g.runConnections(context.Background()))
		is.Equal(r.Sent, int64(2*rate+1))
		is.Equal(r.Outcomes, map[string]int64{"done": 2 * rate, "not_run/no_room": 1})
		is.True(r.Service.P50 < 2*time.Millisecond)
		// 100 requests were due during the stall: half of all requests wait for it.
		is.True(r.Response.P50 > 2*time.Millisecond)
		is.True(r.Response.P99 > 900*time.Millisecond)
		is.Equal(r.Refusal.Count, int64(1))
	})
}

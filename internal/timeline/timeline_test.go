package timeline

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/rpc"
)

func TestClockRespectsCausality(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b Clock
		sent := a.Now()
		is.True(a.Now() > sent) // the time does not advance, but the counter does
		b.Observe(a.Now())
		is.True(b.Now() > sent)
		time.Sleep(time.Second)
		is.Equal(Time(a.Now()), time.Now().UTC().Truncate(time.Millisecond))
		wrong := fromTime(time.Now().Add(2 * MaxDrift))
		b.Observe(wrong)
		is.True(b.Now() < wrong) // a reading of a wrong clock is ignored
	})
}

func TestRingIsBounded(t *testing.T) {
	for name, tt := range map[string]struct {
		events, bytes, want int
	}{
		"by number":         {events: 10, bytes: 1 << 20, want: 10},
		"by bytes":          {events: 1000, bytes: 4000, want: 4000 / eventSize(&Event{Detail: strings.Repeat("x", 500)})},
		"event over limits": {events: 10, bytes: 100, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRing("h", "az", &Clock{}, tt.events, tt.bytes)
			const recorded = 50
			for i := range recorded {
				r.Record(Event{Request: strconv.Itoa(i), Detail: strings.Repeat("x", 500-len(strconv.Itoa(i)))})
			}
			got, dropped := r.Select(Filter{}, recorded)
			is.Equal(len(got), tt.want)
			is.Equal(dropped, int64(recorded-tt.want))
			if tt.want > 0 {
				is.Equal(got[len(got)-1].Request, strconv.Itoa(recorded-1)) // the newest are kept
			}
		})
	}
}

func TestMergeFollowsMessagesBetweenHosts(t *testing.T) {
	is := is.New(t)
	var ca, cb Clock
	a, b := NewRing("a", "az1", &ca, 10, 1<<20), NewRing("b", "az2", &cb, 10, 1<<20)
	a.Record(Event{Kind: KindRequestRouted, Request: "r1"})
	cb.Observe(ca.Now())
	b.Record(Event{Kind: KindTaskStarted, Request: "r1"})
	b.Record(Event{Kind: KindTaskStarted, Request: "r2"})
	ca.Observe(cb.Now())
	a.Record(Event{Kind: KindRequestAnswered, Request: "r1"})
	f := FilterOf(&rpc.EventsRequest{Request: "r1"})
	ea, _ := a.Select(f, 10)
	eb, _ := b.Select(f, 10)
	eb = FromRPC(ToRPC(eb))
	merged := Merge(10, eb, ea, ea)
	var kinds []Kind
	for _, e := range merged {
		kinds = append(kinds, e.Kind)
	}
	is.Equal(kinds, []Kind{KindRequestRouted, KindTaskStarted, KindRequestAnswered})
	is.Equal(len(Merge(1, ea, eb)), 1)
	is.Equal(FromAPI(ToAPI(merged)), merged)
}

func TestFormats(t *testing.T) {
	is := is.New(t)
	events := []Event{
		{HLC: fromTime(time.UnixMilli(1000)) + 3, Host: "h", AZ: "az", Kind: KindRequestSent, Request: "r", Job: "r", Target: "w1"},
		{HLC: fromTime(time.UnixMilli(1005)), Host: "h", AZ: "az", Kind: KindRequestAnswered, Request: "r", Detail: "done", Duration: 5 * time.Millisecond},
	}
	var text, lines, chrome bytes.Buffer
	is.NoErr(Write(&text, FormatText, events))
	is.Equal(text.String(), "00:00:01.000+3 az/h request.sent request=r target=w1\n"+
		"00:00:01.005+0 az/h request.answered request=r \"done\" took=5ms\n")
	is.NoErr(Write(&lines, FormatJSON, events))
	is.Equal(strings.Count(lines.String(), "\n"), 2)
	is.NoErr(Write(&chrome, FormatChrome, events))
	var doc chromeTrace
	is.NoErr(json.Unmarshal(chrome.Bytes(), &doc))
	last := doc.TraceEvents[len(doc.TraceEvents)-1]
	is.Equal(last.Phase, "X")
	is.Equal(last.Start, int64(1_000_000)) // the time of the first event
	is.Equal(last.Duration, int64(5000))
	is.True(Write(&text, "svg", events) != nil)
}

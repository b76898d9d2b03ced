package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminloft/api"
)

// unlimitedRate makes every request due at once: a closed loop, for throughput.
const unlimitedRate = 0.0

// Bounds of the histograms: microseconds, three significant digits.
const (
	shortestMicros    = 1
	longestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// target is where a run sends its requests.
type target struct {
	name string
	url  string // of one direct request
	key  string
}

// Result is what one run measured.
type Result struct {
	Target  string        `json:"target"`
	Offered float64       `json:"offered_per_second,omitempty"` // zero: as fast as possible
	Took    time.Duration `json:"took_ns"`
	Sent    int64         `json:"sent"`
	// Outcomes counts the answers by outcome and code; the empty code is an
	// answer of a task.
	Outcomes map[string]int64 `json:"outcomes"`
	Done     int64            `json:"done"`
	Bytes    int64            `json:"bytes"` // of answers
	// Response counts from the time a request was due, Service from the time it
	// was sent. Both are of requests that were done.
	Response Quantiles `json:"response"`
	Service  Quantiles `json:"service"`
	// Refusal is the response time of all other answers.
	Refusal Quantiles `json:"refusal"`
}

// Quantiles are times of a run's requests.
type Quantiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Goodput is the number of done requests a second.
func (r Result) Goodput() float64 { return float64(r.Done) / r.Took.Seconds() }

// tallies is the number of tallies that the connections share.
const tallies = 16

// tally gathers what a part of the connections measured.
type tally struct {
	mu                         sync.Mutex
	response, service, refusal *hdrhistogram.Histogram
	outcomes                   map[string]int64
	sent, done, bytes          int64
}

func newTally() *tally {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(shortestMicros, longestMicros, significantDigits)
	}
	return &tally{
		response: newHistogram(), service: newHistogram(), refusal: newHistogram(),
		outcomes: make(map[string]int64),
	}
}

// observe records one answered request.
func (t *tally) observe(due, sent, answered time.Time, label string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.outcomes[label]++
	if label != string(api.OutcomeDone) {
		record(t.refusal, answered.Sub(due))
		return
	}
	t.done++
	t.bytes += n
	record(t.response, answered.Sub(due))
	record(t.service, answered.Sub(sent))
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), shortestMicros), longestMicros))
}

func (t *tally) add(o *tally) {
	t.response.Merge(o.response)
	t.service.Merge(o.service)
	t.refusal.Merge(o.refusal)
	for label, n := range o.outcomes {
		t.outcomes[label] += n
	}
	t.sent += o.sent
	t.done += o.done
	t.bytes += o.bytes
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: at(100)}
}

// generator sends one run's requests.
type generator struct {
	options Options
	target  target
	rate    float64
	client  *http.Client
	body    []byte
	began   time.Time
	next    atomic.Int64 // number of the next request
}

// orders is the body that stand-in workers obey.
type orders struct {
	RunMillis   int64 `json:"run_ms,omitempty"`
	AnswerBytes int   `json:"answer_bytes,omitempty"`
}

// drive runs one open loop against the target.
func drive(ctx context.Context, o Options, t target, rate float64) (Result, error) {
	g, err := newGenerator(o, t, rate)
	if err != nil {
		return Result{}, err
	}
	defer g.client.CloseIdleConnections()
	return g.result(g.connections(ctx)), ctx.Err()
}

func newGenerator(o Options, t target, rate float64) (*generator, error) {
	body, err := json.Marshal(orders{RunMillis: o.RunTime.Milliseconds(), AnswerBytes: o.AnswerBytes})
	if err != nil {
		return nil, err
	}
	return &generator{
		options: o, target: t, rate: rate, body: body, began: time.Now(),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: o.Connections},
			Timeout:   2 * o.Timeout,
		},
	}, nil
}

func (g *generator) result(t *tally) Result {
	return Result{
		Target: g.target.name, Offered: g.rate, Took: time.Since(g.began),
		Sent: t.sent, Outcomes: t.outcomes, Done: t.done, Bytes: t.bytes,
		Response: quantiles(t.response), Service: quantiles(t.service), Refusal: quantiles(t.refusal),
	}
}

// connections runs one goroutine for each connection and sums their tallies.
func (g *generator) connections(ctx context.Context) *tally {
	var parts [tallies]*tally
	for i := range parts {
		parts[i] = newTally()
	}
	var all sync.WaitGroup
	for i := range g.options.Connections {
		all.Go(func() { g.loop(ctx, parts[i%tallies]) })
	}
	all.Wait()
	total := newTally()
	for _, t := range parts {
		total.add(t)
	}
	return total
}

// loop takes the next request that is due until the run is over. A request whose
// time has passed, because all connections were busy, is sent at once and counts
// from its time.
func (g *generator) loop(ctx context.Context, t *tally) {
	end := g.began.Add(g.options.Duration)
	for ctx.Err() == nil {
		due := g.due(g.next.Add(1) - 1)
		if due.After(end) || (g.rate == unlimitedRate && time.Now().After(end)) {
			return
		}
		time.Sleep(time.Until(due))
		sent := time.Now()
		label, n := g.send(ctx)
		t.observe(due, sent, time.Now(), label, n)
	}
}

func (g *generator) due(n int64) time.Time {
	if g.rate == unlimitedRate {
		return time.Now()
	}
	return g.began.Add(time.Duration(float64(n) / g.rate * float64(time.Second)))
}

// send makes one request and returns how it ended and the answer's length.
func (g *generator) send(ctx context.Context) (string, int64) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.target.url, bytes.NewReader(g.body))
	if err != nil {
		return "invalid", 0
	}
	req.Header.Set(api.HeaderTimeout, g.options.Timeout.String())
	req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(g.options.Idempotent))
	if g.target.key != "" {
		req.Header.Set("Authorization", "Bearer "+g.target.key)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return "connection", 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalLabel(resp), 0
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return "cut", n
	}
	return string(api.OutcomeDone), n
}

func refusalLabel(resp *http.Response) string {
	var e api.Error
	if json.NewDecoder(resp.Body).Decode(&e) != nil || e.Code == "" {
		return strconv.Itoa(resp.StatusCode)
	}
	return string(e.Outcome) + "/" + string(e.Code)
}

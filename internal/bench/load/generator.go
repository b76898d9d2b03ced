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

// Bounds of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// target is the receiver of a run's requests.
type target struct {
	name string
	url  string // of a direct request
	key  string
}

// Result is the measurements of one run.
type Result struct {
	Target  string        `json:"target"`
	Offered float64       `json:"offered_per_second,omitempty"` // zero: as fast as possible
	Took    time.Duration `json:"took_ns"`
	Sent    int64         `json:"sent"`
	// Outcomes counts the answers by label: the outcome of an answer, or outcome and
	// code of a refusal, or the kind of failure.
	Outcomes map[string]int64 `json:"outcomes"`
	Done     int64            `json:"done"`
	Bytes    int64            `json:"bytes"` // of the bodies of done requests
	// Response is measured from the time a request was due, Service from the time it
	// was sent. Both cover only requests that were done.
	Response Quantiles `json:"response"`
	Service  Quantiles `json:"service"`
	// Refusal is the response time of all other requests.
	Refusal Quantiles `json:"refusal"`
}

// Quantiles are quantiles of a run's times.
type Quantiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Goodput is the number of done requests per second.
func (r Result) Goodput() float64 { return float64(r.Done) / r.Took.Seconds() }

// tallyCount is the number of tallies, which the connections share.
const tallyCount = 16

// tally collects the measurements of some of the connections.
type tally struct {
	mu                         sync.Mutex
	response, service, refusal *hdrhistogram.Histogram
	outcomes                   map[string]int64
	sent, done, bytes          int64
}

func newTally() *tally {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	return &tally{
		response: newHistogram(), service: newHistogram(), refusal: newHistogram(),
		outcomes: make(map[string]int64),
	}
}

// observe records one request and its result.
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
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (t *tally) merge(o *tally) {
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

// generator sends the requests of one run.
type generator struct {
	options   Options
	target    target
	rate      float64
	client    *http.Client
	body      []byte
	startedAt time.Time
	nextIndex atomic.Int64 // index of the next request
}

// taskScript is the request body that tells a stand-in worker what to do.
type taskScript struct {
	RunMillis   int64 `json:"run_ms,omitempty"`
	AnswerBytes int   `json:"answer_bytes,omitempty"`
}

// sendLoad runs one open loop against the target, or a closed one at unlimitedRate.
func sendLoad(ctx context.Context, o Options, t target, rate float64) (Result, error) {
	g, err := newGenerator(o, t, rate)
	if err != nil {
		return Result{}, err
	}
	defer g.client.CloseIdleConnections()
	return g.result(g.runConnections(ctx)), ctx.Err()
}

func newGenerator(o Options, t target, rate float64) (*generator, error) {
	body, err := json.Marshal(taskScript{RunMillis: o.RunTime.Milliseconds(), AnswerBytes: o.AnswerBytes})
	if err != nil {
		return nil, err
	}
	return &generator{
		options: o, target: t, rate: rate, body: body, startedAt: time.Now(),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: o.Connections},
			Timeout:   2 * o.Timeout,
		},
	}, nil
}

func (g *generator) result(t *tally) Result {
	return Result{
		Target: g.target.name, Offered: g.rate, Took: time.Since(g.startedAt),
		Sent: t.sent, Outcomes: t.outcomes, Done: t.done, Bytes: t.bytes,
		Response: quantiles(t.response), Service: quantiles(t.service), Refusal: quantiles(t.refusal),
	}
}

// runConnections runs one goroutine for each connection and returns the sum of their
// tallies.
func (g *generator) runConnections(ctx context.Context) *tally {
	var parts [tallyCount]*tally
	for i := range parts {
		parts[i] = newTally()
	}
	var wg sync.WaitGroup
	for i := range g.options.Connections {
		wg.Go(func() { g.sendDue(ctx, parts[i%tallyCount]) })
	}
	wg.Wait()
	total := newTally()
	for _, t := range parts {
		total.merge(t)
	}
	return total
}

// sendDue sends due requests over one connection until the run is over. A request that
// is overdue because all connections were busy is sent at once, and its response time
// counts from the time it was due.
func (g *generator) sendDue(ctx context.Context, t *tally) {
	end := g.startedAt.Add(g.options.Duration)
	for ctx.Err() == nil {
		due := g.dueTime(g.nextIndex.Add(1) - 1)
		if due.After(end) || (g.rate == unlimitedRate && time.Now().After(end)) {
			return
		}
		time.Sleep(time.Until(due))
		sent := time.Now()
		label, n := g.send(ctx)
		t.observe(due, sent, time.Now(), label, n)
	}
}

func (g *generator) dueTime(n int64) time.Time {
	if g.rate == unlimitedRate {
		return time.Now()
	}
	return g.startedAt.Add(time.Duration(float64(n) / g.rate * float64(time.Second)))
}

// send sends one request and returns its label and the length of the answer.
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

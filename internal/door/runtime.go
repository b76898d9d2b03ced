package door

import (
	"sync"
	"time"
)

// runTimes learns how long direct requests take on a worker, by queue and kind.
// A request is not started when too little of its time is left: under overload
// every request that waited to the end would be started, cut off and wasted.
type runTimes struct {
	mu    sync.Mutex
	byKey map[runKey]*runTime
}

// runKey names requests that are expected to take alike.
type runKey struct{ queue, kind string }

// runTime is a moving average and mean deviation.
type runTime struct {
	mean, deviation time.Duration
}

const (
	// runTimeWeight and deviationWeight are the parts of a new measurement in the
	// moving averages, as 1/n.
	runTimeWeight   = 8
	deviationWeight = 4
	// expectedDeviations is how many mean deviations above the mean are expected.
	expectedDeviations = 2
	// maxRunKeys bounds the memory; callers choose kinds.
	maxRunKeys = 4096
	// maxRunFraction is the part of a request's timeout, as 1/n, that is kept for the
	// run at most, so that one slow run does not lock its kind out.
	maxRunFraction = 2
)

func newRunTimes() *runTimes { return &runTimes{byKey: make(map[runKey]*runTime)} }

// observe learns from an attempt that was answered.
func (r *runTimes) observe(k runKey, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byKey[k]
	if t == nil {
		if len(r.byKey) >= maxRunKeys {
			clear(r.byKey)
		}
		r.byKey[k] = &runTime{mean: took, deviation: took / expectedDeviations}
		return
	}
	t.deviation += ((took - t.mean).Abs() - t.deviation) / deviationWeight
	t.mean += (took - t.mean) / runTimeWeight
}

// expected returns how long a request is expected to run; zero: unknown.
func (r *runTimes) expected(k runKey) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byKey[k]
	if t == nil {
		return 0
	}
	return t.mean + expectedDeviations*t.deviation
}

func (r *request) runKey() runKey { return runKey{queue: r.job.Queue, kind: r.job.Kind} }

// startDeadline is when a start is too late for the answer to come in time.
func (d *Frontend) startDeadline(req *request) time.Time {
	expected := d.runTimes.expected(req.runKey())
	longest := req.deadline.Sub(req.received) / maxRunFraction
	return req.runDeadline(d.limits).Add(-min(expected, longest))
}

package door

import (
	"sync"
	"time"
)

// runTimes estimates the run time of direct requests by queue and kind. A request is not
// started if it is not expected to finish before its deadline. Otherwise, under overload,
// requests would be started shortly before their deadline, cut off and wasted.
type runTimes struct {
	mu    sync.Mutex
	byKey map[runKey]*runTime
}

// runKey groups requests that are expected to have similar run times.
type runKey struct{ queue, kind string }

// runTime holds the moving averages of the run time and of its deviation.
type runTime struct {
	mean, deviation time.Duration
}

const (
	// runTimeWeight and deviationWeight are the weights, as 1/n, of a new measurement in
	// the moving averages.
	runTimeWeight   = 8
	deviationWeight = 4
	// expectedDeviations is the number of mean deviations above the mean that a run is
	// expected to take.
	expectedDeviations = 2
	// maxRunKeys bounds the memory, since callers choose the kinds.
	maxRunKeys = 4096
	// maxRunFraction is the part of a request's timeout, as 1/n, that is kept for the
	// run at most, so that one slow run does not lock its kind out.
	maxRunFraction = 2
)

func newRunTimes() *runTimes { return &runTimes{byKey: make(map[runKey]*runTime)} }

// observe adds the run time of an attempt that was answered.
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

// expected returns the expected run time of a request; zero: unknown.
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

// startDeadline returns the latest start from which the answer is expected in time.
func (f *Frontend) startDeadline(req *request) time.Time {
	expected := f.runTimes.expected(req.runKey())
	longest := req.deadline.Sub(req.received) / maxRunFraction
	return req.runDeadline(f.limits).Add(-min(expected, longest))
}

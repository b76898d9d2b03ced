package door

import (
	"math"
	"sync"
	"time"
)

// waitEstimator estimates how long the requests of a team and queue wait for a ticket,
// from how many wait at this entry host and how many tickets it gets a second.
// A request that would wait past its time is refused at once instead of late.
type waitEstimator struct {
	mu     sync.Mutex
	queues map[waitKey]*waitQueue
}

type waitKey struct{ team, queue string }

// waitQueue is the waiting requests of one team and queue.
type waitQueue struct {
	waiting   int
	busySince time.Time // when the queue was last empty
	granted   float64   // tickets since start, decaying with waitMemory
	grantedAt time.Time // of granted
}

const (
	// waitMemory is the time constant of the rate of tickets.
	waitMemory = 2 * time.Second
	// minWaiting is the queue length below which no estimate is trusted.
	minWaiting = 32
	// minBusyTime is how long a queue must have been there before its rate of tickets
	// is trusted: at first a burst has got none.
	minBusyTime = 500 * time.Millisecond
)

func newWaitEstimator() *waitEstimator { return &waitEstimator{queues: make(map[waitKey]*waitQueue)} }

// join counts a waiting request, unless it is expected to wait longer than it
// can: then it returns the expected wait and false.
func (w *waitEstimator) join(k waitKey, atMost time.Duration, now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[k]
	if q == nil {
		q = &waitQueue{}
		w.queues[k] = q
	}
	if q.waiting == 0 {
		*q = waitQueue{busySince: now, grantedAt: now}
	}
	if expected := q.expected(now); expected > atMost {
		return expected, false
	}
	q.waiting++
	return 0, true
}

// leave ends the wait of a request.
func (w *waitEstimator) leave(k waitKey, granted bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[k]
	q.waiting--
	if granted {
		q.granted = q.recentlyGranted(now) + 1
		q.grantedAt = now
	}
}

// recentlyGranted is the number of tickets of late.
func (q *waitQueue) recentlyGranted(now time.Time) float64 {
	return q.granted * math.Exp(-now.Sub(q.grantedAt).Seconds()/waitMemory.Seconds())
}

// expected returns how long the next request would wait; zero: unknown or short.
func (q *waitQueue) expected(now time.Time) time.Duration {
	busy := now.Sub(q.busySince)
	if q.waiting < minWaiting || busy < minBusyTime {
		return 0
	}
	remembered := waitMemory.Seconds() * (1 - math.Exp(-busy.Seconds()/waitMemory.Seconds()))
	perSecond := q.recentlyGranted(now) / remembered
	if perSecond < 1 {
		return 0
	}
	return time.Duration(float64(q.waiting) / perSecond * float64(time.Second))
}

func (r *request) waitKey() waitKey { return waitKey{team: r.caller.team, queue: r.job.Queue} }

package door

import (
	"math"
	"sync"
	"time"
)

// waitEstimator estimates how long requests of a team and queue wait for a ticket, from the
// number of requests waiting at this entry host and the rate of tickets that it gets. A
// request that is expected to wait beyond its limit is refused immediately instead of late.
type waitEstimator struct {
	mu     sync.Mutex
	queues map[waitKey]*waitQueue
}

type waitKey struct{ team, queue string }

// waitQueue is the state of the waiting requests of one team and queue.
type waitQueue struct {
	waiting   int
	busySince time.Time // when the queue last became non-empty
	granted   float64   // tickets since busySince, decaying with waitMemory
	grantedAt time.Time // time at which granted was updated
}

const (
	// waitMemory is the time constant of the rate of tickets.
	waitMemory = 2 * time.Second
	// minWaiting is the queue length below which no estimate is made.
	minWaiting = 32
	// minBusyTime is how long a queue must have been non-empty before its rate of tickets
	// is used, because the first requests of a burst have not got any yet.
	minBusyTime = 500 * time.Millisecond
)

func newWaitEstimator() *waitEstimator { return &waitEstimator{queues: make(map[waitKey]*waitQueue)} }

// join adds a waiting request. If the request is expected to wait longer than atMost, join
// does not add it and returns the expected wait and false.
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

// leave removes a waiting request; granted means that it got a ticket.
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

// recentlyGranted returns the decayed number of granted tickets.
func (q *waitQueue) recentlyGranted(now time.Time) float64 {
	return q.granted * math.Exp(-now.Sub(q.grantedAt).Seconds()/waitMemory.Seconds())
}

// expected returns the expected wait of the next request; zero: unknown or short.
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

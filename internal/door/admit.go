package door

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cuminloft/api"
)

// admission bounds the number of requests in flight and so the memory that they use. When
// the limit is reached, requests wait in one bounded queue per team, and the team with
// the fewest requests in flight relative to its share is admitted next.
type admission struct {
	capacity   int // requests in flight
	perTeam    int // requests in flight of one team, so that no team uses the whole capacity
	maxWaiting int // queued requests of one team

	mu       sync.Mutex
	inFlight int
	teams    map[string]*teamQueue
	// meanDuration is the moving average of how long a request is in flight.
	meanDuration time.Duration
}

// teamQueue is the admission state of one team.
type teamQueue struct {
	share    int
	inFlight int
	waiting  []*queuedRequest
}

// queuedRequest is a waiting request; ready is closed when it is admitted.
type queuedRequest struct {
	ready chan struct{}
}

// meanWeight: a new measurement enters the moving average with the weight 1/meanWeight.
const meanWeight = 16

func newAdmission(capacity, perTeam, maxWaiting int) *admission {
	return &admission{
		capacity:   capacity,
		perTeam:    perTeam,
		maxWaiting: maxWaiting,
		teams:      make(map[string]*teamQueue),
	}
}

// enter waits until a request of the team is admitted, or refuses it. It refuses
// immediately if the team's queue is full or the estimated wait exceeds the deadline of
// ctx. Each admitted request must call leave.
func (a *admission) enter(ctx context.Context, team string, share int) *Error {
	wait, refusal := a.admitOrQueue(ctx, team, share)
	if refusal != nil || wait == nil {
		return refusal
	}
	gaugeWaiting.Add(1)
	defer gaugeWaiting.Add(-1)
	select {
	case <-wait.ready:
		return nil
	case <-ctx.Done():
		if a.dequeue(team, wait) {
			return overloaded(api.CodeDeadline, "no room within the deadline", retryAfterShort)
		}
		return nil // admitted before it could be dequeued
	}
}

// admitOrQueue admits a request (nil, nil), queues it, or refuses it.
func (a *admission) admitOrQueue(ctx context.Context, team string, share int) (*queuedRequest, *Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.team(team, share)
	if len(t.waiting) == 0 && a.hasCapacity(t) {
		a.admit(t)
		return nil, nil
	}
	wait := a.estimate(t)
	if len(t.waiting) >= a.maxWaiting {
		return nil, overloaded(api.CodeOverloaded, "too many requests of team "+team+" are waiting", wait)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return nil, overloaded(api.CodeDeadline, "the queue is longer than the deadline", wait)
	}
	w := &queuedRequest{ready: make(chan struct{})}
	t.waiting = append(t.waiting, w)
	return w, nil
}

func overloaded(code api.Code, message string, wait time.Duration) *Error {
	return neverSent(http.StatusTooManyRequests, code, message).
		retryAfter(max(wait, retryAfterShort)).
		remedy("come back after the time given")
}

// estimate returns how long a new request of the team would wait.
func (a *admission) estimate(t *teamQueue) time.Duration {
	served := max(t.inFlight, 1)
	return a.meanDuration * time.Duration(len(t.waiting)+1) / time.Duration(served)
}

func (a *admission) team(name string, share int) *teamQueue {
	t := a.teams[name]
	if t == nil {
		t = &teamQueue{}
		a.teams[name] = t
	}
	t.share = max(share, 1)
	return t
}

func (a *admission) hasCapacity(t *teamQueue) bool {
	return a.inFlight < a.capacity && t.inFlight < a.perTeam
}

func (a *admission) admit(t *teamQueue) {
	a.inFlight++
	t.inFlight++
}

// dequeue removes a waiting request. It returns false if the request was already admitted.
func (a *admission) dequeue(team string, w *queuedRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.teams[team]
	for i := range t.waiting {
		if t.waiting[i] == w {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// leave ends one request in flight and admits waiting requests up to the limits.
func (a *admission) leave(team string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.teams[team]
	t.inFlight--
	a.inFlight--
	a.meanDuration += (took - a.meanDuration) / meanWeight
	for {
		next := a.nextTeam()
		if next == nil {
			break
		}
		close(next.waiting[0].ready)
		next.waiting = next.waiting[1:]
		a.admit(next)
	}
	if t.inFlight == 0 && len(t.waiting) == 0 {
		delete(a.teams, team)
	}
}

// nextTeam returns, among the teams with queued requests and free capacity, the one with
// the fewest requests in flight relative to its share, or nil.
func (a *admission) nextTeam() *teamQueue {
	var best *teamQueue
	for _, t := range a.teams {
		if len(t.waiting) == 0 || !a.hasCapacity(t) {
			continue
		}
		if best == nil || t.inFlight*best.share < best.inFlight*t.share {
			best = t
		}
	}
	return best
}

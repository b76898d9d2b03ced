package door

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cuminloft/api"
)

// admission bounds the requests that are served at once, and so the memory that
// they hold. When it is full, requests wait in one bounded queue per team, and
// the team with the fewest requests for its share goes first.
type admission struct {
	capacity   int // requests at once
	perTeam    int // requests at once of one team; the rest is room for others
	maxWaiting int // per team

	mu       sync.Mutex
	inFlight int
	teams    map[string]*teamQueue
	// meanDuration is the moving average of how long a request is in flight.
	meanDuration time.Duration
}

// teamQueue is one team's part of the admission.
type teamQueue struct {
	share    int
	inFlight int
	waiting  []*queuedRequest
}

// queuedRequest is one waiting request. Ready is closed when it is admitted.
type queuedRequest struct {
	ready chan struct{}
}

// meanWeight is the part of a new measurement in the moving average, as
// 1/meanWeight.
const meanWeight = 16

func newAdmission(capacity, perTeam, maxWaiting int) *admission {
	return &admission{
		capacity:   capacity,
		perTeam:    perTeam,
		maxWaiting: maxWaiting,
		teams:      make(map[string]*teamQueue),
	}
}

// enter admits a request of the team, or refuses it: at once if the team's queue
// is full or the deadline cannot be met. Each success needs one leave.
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
		return nil // admitted at the same moment
	}
}

// admitOrQueue admits at once (nil, nil), queues, or refuses.
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

// estimate is how long a new request of the team would wait.
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

// dequeue removes a waiting request. It returns false if it was admitted.
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

// leave gives the room of one request back and admits those that now fit.
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

// nextTeam returns the waiting team that has the fewest requests in flight for
// its share and may enter, or nil.
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

package platform

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Thresholds of a store's health. A store that answers no call is first suspected, then
// counts as unreachable. A store that refuses all calls counts as unreachable.
const (
	// suspectFactor is the multiple of the typical latency after which an unanswered call
	// makes the store suspect; the time is at least minSuspectAfter and at most unreachableAfter.
	suspectFactor   = 6
	minSuspectAfter = 300 * time.Millisecond
	// unreachableAfter is the time after which an unanswered call makes the store unreachable.
	// It is longer than a transaction takes on a store that is a hundred times slower
	// than usual.
	unreachableAfter = time.Second
	// refusedAfter is the time after which a store that refuses all calls counts as
	// unreachable. It is longer than a feed without changes waits (cellwatch). Load
	// pattern: a store of which some partitions are down; from time to time, most hosts
	// get nothing but refusals.
	refusedAfter = 1200 * time.Millisecond
	// recentlyServedAge is the maximum age of the latest served call with which the store
	// counts as available.
	recentlyServedAge = time.Second
	// latencyWeight is the weight of the latest answer in the smoothed latency.
	latencyWeight = 0.2
)

// Health wraps a store and derives from its calls whether it is reachable.
type Health struct {
	Store
	mu             sync.Mutex
	next           int
	open           map[int]time.Time // begin of each open call
	answered       time.Time         // when a call was last answered
	newestAnswered time.Time         // begin of the most recently begun call that was answered
	lastUnanswered bool              // the last call to end got no answer
	served         time.Time         // when a call was last served
	refused        time.Time         // first refusal since served; zero if there was none
	latency        time.Duration     // smoothed latency
}

// NewHealth returns a wrapper of store.
func NewHealth(store Store) *Health { return &Health{Store: store, open: map[int]time.Time{}} }

// Suspect reports whether the store may be unreachable from this host.
func (h *Health) Suspect(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusesAll(now) || h.unansweredFor(now, min(unreachableAfter, max(minSuspectAfter, suspectFactor*h.latency)))
}

// Unreachable reports whether the store is unreachable from this host.
func (h *Health) Unreachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusesAll(now) || h.unansweredFor(now, unreachableAfter)
}

// RecentlyServed reports whether the store has recently served a call of this host.
func (h *Health) RecentlyServed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.served) <= recentlyServedAge
}

// refusesAll reports whether the store refuses all calls. The caller holds mu.
func (h *Health) refusesAll(now time.Time) bool {
	return !h.refused.IsZero() && now.Sub(h.refused) > refusedAfter
}

// TypicalLatency returns the smoothed latency of a store; 0 for a store that is not a
// *Health.
func TypicalLatency(s Store) time.Duration {
	if h, ok := s.(*Health); ok {
		return h.TypicalLatency()
	}
	return 0
}

// RecentlyServed reports whether a store has recently served a call of this host; false
// for a store that is not a *Health.
func RecentlyServed(s Store, now time.Time) bool {
	h, ok := s.(*Health)
	return ok && h.RecentlyServed(now)
}

// lastCallUnanswered reports whether the last call of a store to end got no answer; false for a
// store that is not a *Health.
func lastCallUnanswered(s Store) bool {
	h, ok := s.(*Health)
	if !ok {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastUnanswered
}

// answeredSince reports whether a store has answered a call that began later than began;
// true for a store that is not a *Health.
func answeredSince(s Store, began time.Time) bool {
	h, ok := s.(*Health)
	if !ok {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newestAnswered.After(began)
}

// TypicalLatency returns the smoothed latency of the store.
func (h *Health) TypicalLatency() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency
}

// unansweredFor reports whether an open call has waited longer than limit while no call
// was answered, or the last call to end got no answer. The caller holds mu.
func (h *Health) unansweredFor(now time.Time, limit time.Duration) bool {
	if h.lastUnanswered {
		return true
	}
	for _, began := range h.open {
		if began.After(h.answered) && now.Sub(began) > limit {
			return true
		}
	}
	return false
}

// begin records the begin of a call that does not wait for a change.
func (h *Health) begin() (call int, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	began = time.Now()
	h.open[h.next] = began
	return h.next, began
}

// callResult is the way in which a call ended.
type callResult int

const (
	resultUnanswered callResult = iota
	resultRefused
	resultServed
)

// resultOf classifies a call's error.
func resultOf(err error) callResult {
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrRejected), errors.Is(err, ErrHistoryLost):
		return resultServed
	case errors.Is(err, ErrRefused):
		return resultRefused
	default:
		return resultUnanswered
	}
}

// end records the result of a call that begin recorded. A call that its caller cancelled
// says nothing about the store.
func (h *Health) end(ctx context.Context, call int, began time.Time, result callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, call)
	if result == resultUnanswered && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	// A single missing answer was lost on its way. If no other call was answered in the
	// meantime either, the store takes at least as long as this call waited.
	slow := result == resultUnanswered && h.answered.Before(began)
	if took := time.Since(began); result == resultServed || slow && took > h.latency {
		h.latency += time.Duration(latencyWeight * float64(took-h.latency))
	}
	h.record(began, result)
}

// record records the result of a call. An unanswered call is ignored if a call that began
// later was answered. The caller holds mu.
func (h *Health) record(began time.Time, result callResult) {
	now := time.Now()
	switch {
	case result == resultUnanswered:
		h.lastUnanswered = h.lastUnanswered || !h.newestAnswered.After(began)
		return
	case result == resultServed:
		h.served, h.refused = now, time.Time{}
	case h.refused.IsZero():
		h.refused = now
	}
	h.lastUnanswered = false
	h.answered = now
	if began.After(h.newestAnswered) {
		h.newestAnswered = began
	}
}

// Commit implements Store.
func (h *Health) Commit(ctx context.Context, tx Tx) (int64, error) {
	call, began := h.begin()
	version, err := h.Store.Commit(ctx, tx)
	h.end(ctx, call, began, resultOf(err))
	return version, err
}

// Scan implements Store.
func (h *Health) Scan(ctx context.Context, table, partition, from, to string) (Page, error) {
	call, began := h.begin()
	page, err := h.Store.Scan(ctx, table, partition, from, to)
	h.end(ctx, call, began, resultOf(err))
	return page, err
}

// Changes implements Store. A call that waits for a change says nothing about the
// store's health until it ends.
func (h *Health) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]PartitionRow, int64, error) {
	began := time.Now()
	rows, version, err := h.Store.Changes(ctx, table, after, wait)
	if ctx.Err() == nil {
		h.mu.Lock()
		h.record(began, resultOf(err))
		h.mu.Unlock()
	}
	return rows, version, err
}

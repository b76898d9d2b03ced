package platform

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A store that answers no call for a while is first suspected, then counts as
// out of reach. One that refuses all calls counts as out of reach.
const (
	// suspectFactor times the usual time of an answer, within the bounds below, is
	// when a store is suspected.
	suspectFactor = 6
	suspectLeast  = 300 * time.Millisecond
	// lostAfter is longer than a transaction takes at a store that is a hundred
	// times slower than usual.
	lostAfter = time.Second
	// refusedPatience is how long calls may be refused, with none served, until the
	// store turns this host away. It is longer than a feed that has nothing to tell
	// waits (cellwatch). Load pattern: a store of which some partitions are down; most
	// hosts meet only refusals now and then.
	refusedPatience = 1200 * time.Millisecond
	// servedLately is the age of the latest call served up to which the store serves
	// this host.
	servedLately = time.Second
	// usualWeight is the weight of the latest answer in the usual time.
	usualWeight = 0.2
)

// Health watches the calls of a store and tells whether it seems in reach.
type Health struct {
	Store
	mu       sync.Mutex
	next     int
	open     map[int]time.Time // begin of each call under way
	answered time.Time         // when a call was last answered
	newest   time.Time         // begin of the latest call that was answered
	silent   bool              // the latest call to end got no answer
	served   time.Time         // when a call was last served
	refused  time.Time         // when a call was first refused since; zero if none was
	usual    time.Duration     // smoothed time of an answer
}

// NewHealth watches the calls of store.
func NewHealth(store Store) *Health { return &Health{Store: store, open: map[int]time.Time{}} }

// Suspect reports whether the store may be out of reach from here.
func (h *Health) Suspect(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.turnedAway(now) || h.unanswered(now, min(lostAfter, max(suspectLeast, suspectFactor*h.usual)))
}

// Unreachable reports whether the store is out of reach from here.
func (h *Health) Unreachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.turnedAway(now) || h.unanswered(now, lostAfter)
}

// RecentlyServed reports whether the store has served a call of this host lately.
func (h *Health) RecentlyServed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.served) <= servedLately
}

// turnedAway reports whether the store refuses all calls. The caller holds mu.
func (h *Health) turnedAway(now time.Time) bool {
	return !h.refused.IsZero() && now.Sub(h.refused) > refusedPatience
}

// TypicalLatency returns the smoothed time that a watched store takes to answer; 0 for
// a store that is not watched.
func TypicalLatency(s Store) time.Duration {
	if h, ok := s.(*Health); ok {
		return h.TypicalLatency()
	}
	return 0
}

// RecentlyServed reports whether a store has served a call of this host lately; false for a
// store that is not watched.
func RecentlyServed(s Store, now time.Time) bool {
	h, ok := s.(*Health)
	return ok && h.RecentlyServed(now)
}

// isSilent reports whether the latest call of a store to end got no answer; false for a
// store that is not watched.
func isSilent(s Store) bool {
	h, ok := s.(*Health)
	if !ok {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent
}

// overtaken reports whether a store has answered a call that was made later than
// began; true for a store that is not watched.
func overtaken(s Store, began time.Time) bool {
	h, ok := s.(*Health)
	if !ok {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest.After(began)
}

// TypicalLatency returns the smoothed time that the store takes to answer a call.
func (h *Health) TypicalLatency() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usual
}

// unanswered reports whether a call has waited for so long while none was
// answered, or the latest one to end got no answer.
func (h *Health) unanswered(now time.Time, patience time.Duration) bool {
	if h.silent {
		return true
	}
	for _, began := range h.open {
		if began.After(h.answered) && now.Sub(began) > patience {
			return true
		}
	}
	return false
}

// begin takes note of a call that is to be answered at once.
func (h *Health) begin() (call int, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	began = time.Now()
	h.open[h.next] = began
	return h.next, began
}

// answer is how a call ended.
type answer int

const (
	unanswered answer = iota
	refused
	served
)

// answerOf tells by a call's error how it ended.
func answerOf(err error) answer {
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrHistoryLost):
		return served
	case errors.Is(err, ErrRefused):
		return refused
	default:
		return unanswered
	}
}

// end takes note of the outcome of a call that begin took note of. A call that its
// caller gave up says nothing.
func (h *Health) end(ctx context.Context, call int, began time.Time, a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, call)
	if a == unanswered && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	// An answer that alone is missing is lost. If none came meanwhile, the store
	// takes at least so long.
	slow := a == unanswered && h.answered.Before(began)
	if took := time.Since(began); a == served || slow && took > h.usual {
		h.usual += time.Duration(usualWeight * float64(took-h.usual))
	}
	h.note(began, a)
}

// note takes note of how a call ended. One that was not answered says nothing if a
// call that was made later was. The caller holds mu.
func (h *Health) note(began time.Time, a answer) {
	now := time.Now()
	switch {
	case a == unanswered:
		h.silent = h.silent || !h.newest.After(began)
		return
	case a == served:
		h.served, h.refused = now, time.Time{}
	case h.refused.IsZero():
		h.refused = now
	}
	h.silent = false
	h.answered = now
	if began.After(h.newest) {
		h.newest = began
	}
}

// Commit implements Store.
func (h *Health) Commit(ctx context.Context, tx Tx) (int64, error) {
	call, began := h.begin()
	version, err := h.Store.Commit(ctx, tx)
	h.end(ctx, call, began, answerOf(err))
	return version, err
}

// Scan implements Store.
func (h *Health) Scan(ctx context.Context, table, part, from, to string) (Page, error) {
	call, began := h.begin()
	page, err := h.Store.Scan(ctx, table, part, from, to)
	h.end(ctx, call, began, answerOf(err))
	return page, err
}

// Changes implements Store. A call that waits for a change says nothing of the
// store until it ends.
func (h *Health) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]PartitionRow, int64, error) {
	began := time.Now()
	rows, version, err := h.Store.Changes(ctx, table, after, wait)
	if ctx.Err() == nil {
		h.mu.Lock()
		h.note(began, answerOf(err))
		h.mu.Unlock()
	}
	return rows, version, err
}

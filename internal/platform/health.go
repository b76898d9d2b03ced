package platform

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A store that answers no call for a while is first suspected, then counts as
// out of reach.
const (
	// suspectFactor times the usual time of an answer, within the bounds below, is
	// when a store is suspected.
	suspectFactor = 6
	suspectLeast  = 300 * time.Millisecond
	// lostAfter is longer than a transaction takes at a store that is a hundred
	// times slower than usual.
	lostAfter = time.Second
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
	usual    time.Duration     // smoothed time of an answer
}

// NewHealth watches the calls of store.
func NewHealth(store Store) *Health { return &Health{Store: store, open: map[int]time.Time{}} }

// Suspect reports whether the store may be out of reach from here.
func (h *Health) Suspect(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unanswered(now, min(lostAfter, max(suspectLeast, suspectFactor*h.usual)))
}

// Lost reports whether the store is out of reach from here.
func (h *Health) Lost(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unanswered(now, lostAfter)
}

// UsualTime returns the smoothed time that a watched store takes to answer; 0 for
// a store that is not watched.
func UsualTime(s Store) time.Duration {
	if h, ok := s.(*Health); ok {
		return h.Usual()
	}
	return 0
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

// Usual returns the smoothed time that the store takes to answer a call.
func (h *Health) Usual() time.Duration {
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

func (h *Health) begin() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.open[h.next] = time.Now()
	return h.next
}

// end takes note of a call's outcome. A refusal is an answer.
func (h *Health) end(call int, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	began, timed := h.open[call]
	delete(h.open, call)
	now := time.Now()
	// An answer that alone is missing is lost. If none came meanwhile, the store
	// takes at least so long.
	slow := !answered && h.answered.Before(began)
	h.silent = !answered
	if answered {
		h.answered = now
		h.noteNewest(began)
	}
	if timed && (answered || slow && now.Sub(began) > h.usual) {
		h.usual += time.Duration(usualWeight * float64(now.Sub(began)-h.usual))
	}
}

// Commit implements Store.
func (h *Health) Commit(ctx context.Context, tx Tx) (int64, error) {
	call := h.begin()
	version, err := h.Store.Commit(ctx, tx)
	h.end(call, !errors.Is(err, ErrAmbiguous))
	return version, err
}

// Scan implements Store.
func (h *Health) Scan(ctx context.Context, table, part, from, to string) (Page, error) {
	call := h.begin()
	page, err := h.Store.Scan(ctx, table, part, from, to)
	h.end(call, err == nil)
	return page, err
}

// Changes implements Store. A call that waits for a change says nothing of the
// store until it ends.
func (h *Health) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]PartRow, int64, error) {
	began := time.Now()
	rows, version, err := h.Store.Changes(ctx, table, after, wait)
	if ctx.Err() == nil {
		answered := err == nil || errors.Is(err, ErrHistoryLost)
		h.end(0, answered)
		if answered {
			h.mu.Lock()
			h.noteNewest(began)
			h.mu.Unlock()
		}
	}
	return rows, version, err
}

// noteNewest takes note of the begin of a call that was answered. The caller
// holds mu.
func (h *Health) noteNewest(began time.Time) {
	if began.After(h.newest) {
		h.newest = began
	}
}

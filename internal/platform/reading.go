package platform

import (
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// ReadStatus keeps how reading one source goes, and logs when reads begin to fail
// and when they succeed again.
type ReadStatus struct {
	log    logr.Logger
	source string

	mu      sync.Mutex
	last    time.Time // of the last read that succeeded
	failing bool
	refused bool // the last read was refused
}

// NewReadStatus returns the state of a source that has not been read yet.
func NewReadStatus(log logr.Logger, source string) *ReadStatus {
	return &ReadStatus{log: log, source: source}
}

// Record takes the outcome of a read.
func (r *ReadStatus) Record(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil && !r.failing:
		r.log.Info("source cannot be read", "source", r.source, "age", r.age(now), "cause", err.Error())
	case err == nil && r.failing:
		r.log.Info("source is read again", "source", r.source, "age", r.age(now))
	}
	if err == nil {
		r.last = now
	}
	r.failing, r.refused = err != nil, errors.Is(err, ErrRefused)
}

// age is the time since the last good read; the caller holds mu.
func (r *ReadStatus) age(now time.Time) string {
	if r.last.IsZero() {
		return "never read"
	}
	return now.Sub(r.last).String()
}

// Refused reports whether the source has answered the last read with a refusal.
func (r *ReadStatus) Refused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// Fresh reports whether the last read succeeded, less than within ago.
func (r *ReadStatus) Fresh(now time.Time, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failing && now.Sub(r.last) < within
}

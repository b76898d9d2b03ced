package harness

import (
	"slices"
	"sync"
	"time"

	"cuminloft/api"
	"cuminloft/internal/model"
)

// Op is one call of a caller, as the caller saw it.
type Op struct {
	Tag        string        `json:"tag"`
	Job        string        `json:"job,omitempty"` // id of an accepted job
	Direct     bool          `json:"direct"`
	Idempotent bool          `json:"idempotent"`
	Tasks      int           `json:"tasks"`
	Key        string        `json:"key"` // id of the key, not its secret
	Host       string        `json:"host"`
	Sent       time.Time     `json:"sent"`
	Answered   time.Time     `json:"answered"`
	Status     int           `json:"status"` // HTTP status; zero: no answer
	Outcome    model.Outcome `json:"outcome"`
	Code       string        `json:"code,omitempty"`
	Whole      bool          `json:"whole"` // the answer is the one to this very request
	Error      string        `json:"error,omitempty"`
}

// Final is how an accepted job was found at the end of a run.
type Final struct {
	Known   bool
	Ended   bool
	Outcome model.Outcome
	Code    string
}

// Applied is one apply, as the operator saw it.
type Applied struct {
	Sent      time.Time
	Answered  time.Time
	Version   int64
	State     api.ApplyState // empty: not answered
	Error     string
	Out       []string // AZs that the configuration takes out of service
	Withdrawn []string // keys that it does not grant
}

// Span is a time during which something was forbidden.
type Span struct {
	What string // AZ or key id
	From time.Time
	To   time.Time // zero: until the end
}

// covers reports whether at lies in the span, after grace.
func (s Span) covers(at time.Time, grace time.Duration) bool {
	return at.After(s.From.Add(grace)) && (s.To.IsZero() || at.Before(s.To))
}

// spans returns when each thing was forbidden: from the answer that a version
// which forbids it was accepted to the sending of the first later one that does
// not, or may not have been refused.
func spans(applied []Applied, forbids func(Applied) []string) []Span {
	var all []Span
	for _, a := range applied {
		if a.State != api.ApplyAccepted {
			continue
		}
		for _, what := range forbids(a) {
			s := Span{What: what, From: a.Answered}
			for _, b := range applied {
				ends := b.mayFollow(a) && !slices.Contains(forbids(b), what)
				if ends && (s.To.IsZero() || b.Sent.Before(s.To)) {
					s.To = b.Sent
				}
			}
			all = append(all, s)
		}
	}
	return all
}

// mayFollow reports whether b may have taken effect after a.
func (b Applied) mayFollow(a Applied) bool {
	switch b.State {
	case api.ApplyAccepted, api.ApplyStaged:
		return b.Version > a.Version
	case "":
		return b.Sent.After(a.Sent)
	}
	return false
}

// Log collects what callers and operators saw.
type Log struct {
	mu      sync.Mutex
	Ops     []Op
	Finals  map[string]Final // by job id
	Applied []Applied        // in order of sending
}

// Add appends one call.
func (l *Log) Add(op Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Ops = append(l.Ops, op)
}

// Snapshot returns the calls so far.
func (l *Log) Snapshot() []Op {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Op(nil), l.Ops...)
}

// Sending notes an apply before it is sent and returns its number.
func (l *Log) Sending(a Applied) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Applied = append(l.Applied, a)
	return len(l.Applied) - 1
}

// Answered notes how the apply with a number ended.
func (l *Log) Answered(n int, a Applied) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Applied[n] = a
}

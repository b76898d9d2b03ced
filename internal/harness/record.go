package harness

import (
	"slices"
	"sync"
	"time"

	"cuminloft/api"
	"cuminloft/internal/model"
)

// Op is one call as its caller observed it.
type Op struct {
	Tag        string        `json:"tag"`
	Job        string        `json:"job,omitempty"` // id of the accepted job
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
	Whole      bool          `json:"whole"` // the answer is complete and belongs to this request
	Error      string        `json:"error,omitempty"`
}

// FinalState is the state of an accepted job at the end of a run.
type FinalState struct {
	Known   bool
	Ended   bool
	Outcome model.Outcome
	Code    string
}

// ApplyRecord is one apply as its operator observed it.
type ApplyRecord struct {
	Sent      time.Time
	Answered  time.Time
	Version   int64
	State     api.ApplyState // empty: not answered
	Error     string
	Out       []string // AZs that the configuration takes out of service
	Withdrawn []string // keys that the configuration does not grant
}

// Span is a time during which an AZ or a key was forbidden.
type Span struct {
	What string // AZ or key id
	From time.Time
	To   time.Time // zero: until the end
}

// covers reports whether at lies in the span, but not in its first grace.
func (s Span) covers(at time.Time, grace time.Duration) bool {
	return at.After(s.From.Add(grace)) && (s.To.IsZero() || at.Before(s.To))
}

// spans returns the times during which the AZs or keys that forbids returns were
// forbidden. A span begins with the answer that a version which forbids the AZ or key
// was accepted. It ends when the first apply is sent that allows it again and may have
// taken effect later.
func spans(applied []ApplyRecord, forbids func(ApplyRecord) []string) []Span {
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
func (b ApplyRecord) mayFollow(a ApplyRecord) bool {
	switch b.State {
	case api.ApplyAccepted, api.ApplyStaged:
		return b.Version > a.Version
	case "":
		return b.Sent.After(a.Sent)
	}
	return false
}

// Log collects the observations of callers and operators.
type Log struct {
	mu      sync.Mutex
	Ops     []Op
	Finals  map[string]FinalState // by job id
	Applied []ApplyRecord         // in order of sending
}

// AddOp appends one call.
func (l *Log) AddOp(op Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Ops = append(l.Ops, op)
}

// Snapshot returns a copy of the calls so far.
func (l *Log) Snapshot() []Op {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Op(nil), l.Ops...)
}

// AddApply records an apply before it is sent and returns its index.
func (l *Log) AddApply(a ApplyRecord) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Applied = append(l.Applied, a)
	return len(l.Applied) - 1
}

// SetApply replaces the record at an index by one with the result.
func (l *Log) SetApply(n int, a ApplyRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Applied[n] = a
}

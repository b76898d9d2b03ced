package door

import (
	"sync"
	"time"
)

// budgets bound retries to a ratio of first attempts, for each team and for the
// process, so that failing workers cause no storm of retries.
type budgets struct {
	ratio float64
	floor float64 // tokens a second

	mu      sync.Mutex
	process budget
	teams   map[string]*budget
}

// budget is a token bucket. One retry takes one token.
type budget struct {
	tokens float64
	filled time.Time // when the floor was last added
}

const (
	// maxRetryTokens bounds the burst of retries after a quiet time.
	maxRetryTokens = 20
	// firstRetryTokens is what a team has that was not seen before.
	firstRetryTokens = 3
)

func newBudgets(ratio, floor float64) *budgets {
	return &budgets{
		ratio:   ratio,
		floor:   floor,
		process: budget{tokens: maxRetryTokens},
		teams:   make(map[string]*budget),
	}
}

// earn adds the share of a retry that one first attempt of the team allows.
func (b *budgets) earn(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process.add(b.ratio)
	b.team(team).add(b.ratio)
}

// take reports whether the team may retry now, and takes the token if so.
func (b *budgets) take(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.team(team)
	b.process.fill(now, b.floor)
	t.fill(now, b.floor)
	if b.process.tokens < 1 || t.tokens < 1 {
		return false
	}
	b.process.tokens--
	t.tokens--
	return true
}

func (b *budgets) team(name string) *budget {
	t := b.teams[name]
	if t == nil {
		t = &budget{tokens: firstRetryTokens}
		b.teams[name] = t
	}
	return t
}

func (b *budget) add(n float64) { b.tokens = min(b.tokens+n, maxRetryTokens) }

func (b *budget) fill(now time.Time, perSecond float64) {
	if !b.filled.IsZero() {
		b.add(now.Sub(b.filled).Seconds() * perSecond)
	}
	b.filled = now
}

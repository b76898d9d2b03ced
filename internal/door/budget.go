package door

import (
	"sync"
	"time"
)

// retryBudgets limit retries to a ratio of first attempts, for each team and for the
// process, so that failing workers cause no retry storm.
type retryBudgets struct {
	ratio float64
	floor float64 // tokens per second

	mu      sync.Mutex
	process tokenBucket
	teams   map[string]*tokenBucket
}

// tokenBucket holds the tokens for retries; each retry takes one.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time // when the floor was last added
}

const (
	// maxRetryTokens bounds the burst of retries after a quiet time.
	maxRetryTokens = 20
	// initialRetryTokens is the budget of a team at its first request.
	initialRetryTokens = 3
)

func newRetryBudgets(ratio, floor float64) *retryBudgets {
	return &retryBudgets{
		ratio:   ratio,
		floor:   floor,
		process: tokenBucket{tokens: maxRetryTokens},
		teams:   make(map[string]*tokenBucket),
	}
}

// earn adds the fraction of a retry that a first attempt of the team allows.
func (b *retryBudgets) earn(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process.add(b.ratio)
	b.team(team).add(b.ratio)
}

// take takes a token and returns true if the team may retry now.
func (b *retryBudgets) take(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.team(team)
	b.process.refill(now, b.floor)
	t.refill(now, b.floor)
	if b.process.tokens < 1 || t.tokens < 1 {
		return false
	}
	b.process.tokens--
	t.tokens--
	return true
}

func (b *retryBudgets) team(name string) *tokenBucket {
	t := b.teams[name]
	if t == nil {
		t = &tokenBucket{tokens: initialRetryTokens}
		b.teams[name] = t
	}
	return t
}

func (b *tokenBucket) add(n float64) { b.tokens = min(b.tokens+n, maxRetryTokens) }

func (b *tokenBucket) refill(now time.Time, perSecond float64) {
	if !b.refilledAt.IsZero() {
		b.add(now.Sub(b.refilledAt).Seconds() * perSecond)
	}
	b.refilledAt = now
}

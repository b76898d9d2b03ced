package platform

import (
	"context"
	"errors"
	"time"
)

// Copies of a transaction.
const (
	// silentRepeat is the age of a transaction from which it is repeated though the
	// store has answered nothing else since; its connection may be dead.
	silentRepeat = time.Second
	// silentCheck is how often the store is looked at while it has answered nothing
	// since before the latest copy was sent.
	silentCheck = 30 * time.Millisecond
	// copiesMost bounds the copies of a transaction. All but the second are sent only
	// when the store has answered a call that was made after the one before.
	copiesMost = 5
)

// CommitHedged applies a transaction whose repeat is harmless. If the first copy
// is not answered within after, though later calls are, its answer is taken for
// lost and another copy is sent. The earlier ones stay open all the same. The
// first answer that settles the outcome counts. Load patterns: a store that turns
// many times slower at once, which would be buried under copies of what it is about
// to do anyway; a store that was silent for seconds and has lost all copies.
func CommitHedged(ctx context.Context, s Store, tx Tx, after time.Duration) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		version int64
		err     error
	}
	answers := make(chan answer, copiesMost)
	open, sent := 0, 0
	var latest time.Time // when the latest copy was sent
	silent := false      // the store was silent then
	send := func() {
		open, sent, latest, silent = open+1, sent+1, time.Now(), isSilent(s)
		go func() {
			version, err := s.Commit(ctx, tx)
			answers <- answer{version, err}
		}()
	}
	send()
	most := max(silentRepeat, after)
	pause := func() time.Duration {
		left := most - time.Since(latest)
		if silent || left <= 0 {
			return silentCheck
		}
		return min(after, left)
	}
	check := time.NewTimer(pause())
	defer check.Stop()
	var failed error
	for {
		select {
		case <-check.C:
			if old := time.Since(latest) >= most; sent < copiesMost && (sent == 1 && old || overtaken(s, latest)) {
				send()
			}
			check.Reset(pause())
		case a := <-answers:
			open--
			if a.err == nil || errors.Is(a.err, ErrConflict) {
				return a.version, a.err
			}
			if failed == nil || errors.Is(a.err, ErrAmbiguous) {
				failed = a.err
			}
			switch {
			case open > 0: // another copy may yet settle it
			case sent == 1 && errors.Is(a.err, ErrAmbiguous) && ctx.Err() == nil:
				send()
			default:
				return 0, failed
			}
		}
	}
}

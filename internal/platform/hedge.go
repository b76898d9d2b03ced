package platform

import (
	"context"
	"errors"
	"time"
)

// Limits of the copies of a transaction.
const (
	// resendAfter is the age at which a transaction is sent again even though the store
	// has not answered any later call; the transaction's connection may be dead.
	resendAfter = time.Second
	// healthCheckInterval is the interval of the checks whether to send another copy, once
	// the latest copy is older than resendAfter, or if the store was unresponsive when
	// that copy was sent.
	healthCheckInterval = 30 * time.Millisecond
	// maxCopies bounds the copies of a transaction. From the third on, a copy is sent only
	// when the store has answered a call that began after the previous copy.
	maxCopies = 5
)

// CommitHedged applies an idempotent transaction. If a copy is not answered within the
// duration after although a later call is answered, the copy's answer counts as lost and
// another copy is sent.
// The earlier copies stay open. The first answer that determines the outcome counts.
// Load patterns: a store that suddenly becomes many times slower, and must not be
// overloaded with copies of transactions that it is about to apply anyway; a store that
// was unresponsive for seconds and has lost all copies.
func CommitHedged(ctx context.Context, s Store, tx Tx, after time.Duration) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		version int64
		err     error
	}
	answers := make(chan answer, maxCopies)
	open, sent := 0, 0
	var latest time.Time  // when the latest copy was sent
	unresponsive := false // whether, at that time, the last call to end had got no answer
	send := func() {
		open, sent, latest, unresponsive = open+1, sent+1, time.Now(), lastCallUnanswered(s)
		go func() {
			version, err := s.Commit(ctx, tx)
			answers <- answer{version, err}
		}()
	}
	send()
	resendAge := max(resendAfter, after)
	pause := func() time.Duration {
		left := resendAge - time.Since(latest)
		if unresponsive || left <= 0 {
			return healthCheckInterval
		}
		return min(after, left)
	}
	check := time.NewTimer(pause())
	defer check.Stop()
	var failed error
	for {
		select {
		case <-check.C:
			if old := time.Since(latest) >= resendAge; sent < maxCopies && (sent == 1 && old || answeredSince(s, latest)) {
				send()
			}
			check.Reset(pause())
		case r := <-answers:
			open--
			if r.err == nil || errors.Is(r.err, ErrConflict) || errors.Is(r.err, ErrRejected) {
				return r.version, r.err
			}
			if failed == nil || errors.Is(r.err, ErrAmbiguous) {
				failed = r.err
			}
			switch {
			case open > 0: // another copy may determine the outcome
			case sent == 1 && errors.Is(r.err, ErrAmbiguous) && ctx.Err() == nil:
				send()
			default:
				return 0, failed
			}
		}
	}
}

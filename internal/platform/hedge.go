package platform

import (
	"context"
	"errors"
	"time"
)

// silentRepeat is the age of a transaction from which it is repeated though the
// store has answered nothing else since; its connection may be dead.
const silentRepeat = time.Second

// CommitTwice applies a transaction whose repeat is harmless. If the first copy
// is not answered within after, though later calls are, its answer is taken for
// lost and a second copy is sent. The first one stays open all the same. The
// first answer that settles the outcome counts. Load pattern: a store that turns
// many times slower at once; it would be buried under copies of what it is about
// to do anyway.
func CommitTwice(ctx context.Context, s Store, tx Tx, after time.Duration) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		version int64
		err     error
	}
	answers := make(chan answer, 2)
	send := func() {
		go func() {
			version, err := s.Commit(ctx, tx)
			answers <- answer{version, err}
		}()
	}
	send()
	open, sent := 1, 1
	began, most := time.Now(), max(silentRepeat, after)
	second := time.NewTimer(after)
	defer second.Stop()
	var failed error
	for {
		select {
		case <-second.C:
			if sent == 2 {
				continue
			}
			if age := time.Since(began); age < most && !overtaken(s, began) {
				second.Reset(min(after, most-age))
				continue
			}
			send()
			open, sent = open+1, 2
		case a := <-answers:
			open--
			if a.err == nil || errors.Is(a.err, ErrConflict) {
				return a.version, a.err
			}
			if failed == nil || errors.Is(a.err, ErrAmbiguous) {
				failed = a.err
			}
			switch {
			case open > 0: // the other copy may yet settle it
			case sent == 1 && errors.Is(a.err, ErrAmbiguous) && ctx.Err() == nil:
				send()
				open, sent = 1, 2
			default:
				return 0, failed
			}
		}
	}
}

package wait

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A wait of zero returns at once without a timer. Guards against a crash of the race
// detector: in a synctest bubble all channel timers that are already due share one
// context of the detector, and its run time crashes when two goroutines run such timers
// at the same time (Go 1.26: slot_locked, or a fault in SlotLock).
func TestForNoTime(t *testing.T) {
	const goroutines, rounds = 8, 20_000
	synctest.Test(t, func(t *testing.T) {
		var running sync.WaitGroup
		for range goroutines {
			running.Go(func() {
				for range rounds {
					if err := For(t.Context(), 0); err != nil {
						t.Error(err)
						return
					}
				}
			})
		}
		running.Wait()
	})
}

func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, d := range []time.Duration{0, time.Hour} {
		if For(ctx, d) == nil {
			t.Errorf("a wait of %v did not end with its context", d)
		}
	}
}

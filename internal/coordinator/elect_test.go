package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
)

// Load pattern: the store turns the coordinator and half of the large hosts away.
// A large host takes the seat, though small ones may notice the silence earlier.
func TestSmallHostsLeaveTheSeatToLargeOnes(t *testing.T) {
	const large, small = 3, 23
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := rows.NewSlow(rows.New(), usualCall)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			var mu sync.Mutex
			holder, epoch, committed := -1, int64(0), time.Now()
			turnedAway := false
			for i := range large + small {
				health := platform.NewHealth(store)
				e := &Elector{
					Store: health, Host: fmt.Sprint("host-", i), Address: fmt.Sprint("host-", i, ":1"), Log: logr.Discard(),
					Rank: func() int { return i }, Dwarfed: func() bool { return i >= large },
					Probe: func(context.Context, string) (int64, time.Duration, error) {
						mu.Lock()
						defer mu.Unlock()
						return epoch, time.Since(committed), nil
					},
				}
				e.Lead = func(ctx context.Context, term *Term) error {
					mu.Lock()
					holder, epoch = i, term.Epoch
					mu.Unlock()
					for {
						mu.Lock()
						away := turnedAway && term.Epoch == 1
						mu.Unlock()
						if !away {
							if err := term.Commit(ctx, nil, nil); err != nil {
								return err
							}
							mu.Lock()
							committed = time.Now()
							mu.Unlock()
						}
						select {
						case <-ctx.Done():
							return ctx.Err()
						case <-time.After(commitPause):
						}
					}
				}
				running.Go(func() {
					// Hosts reread the seat at different times.
					if i >= large {
						time.Sleep(time.Duration((i*7919+seed*104729)%int(seatReread.Milliseconds())) * time.Millisecond)
					}
					_ = e.Run(ctx)
				})
			}
			time.Sleep(8*time.Second + time.Duration(seed)*seatReread/20)
			is.True(holder >= 0 && holder < large)
			mu.Lock()
			turnedAway = true
			mu.Unlock()
			time.Sleep(5 * time.Second)
			is.True(epoch > 1)
			is.True(holder < large)
			cancel()
			running.Wait()
		})
	}
}

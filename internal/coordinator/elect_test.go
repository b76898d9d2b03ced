package coordinator

import (
	"context"
	"errors"
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

// Time from the loss of the coordinator until another one has the seat, the worst
// of 50: the platform team's and our own aims are 0.5 s after a kill, 1.5 s after a
// silent loss. A holder that is turned away by the store tells so itself.
func TestTakeoverTime(t *testing.T) {
	errSilent := errors.New("no answer")
	for name, test := range map[string]struct {
		probe func() error
		most  time.Duration
	}{
		"killed":      {func() error { return ErrNobodyListens }, 500 * time.Millisecond},
		"silent":      {func() error { time.Sleep(probeTimeout); return errSilent }, 1500 * time.Millisecond},
		"turned away": {func() error { return nil }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := range 50 {
				worst = max(worst, takeover(t, seed, test.probe))
			}
			t.Logf("worst of 50: %v", worst)
			if worst > test.most {
				t.Errorf("takeover took %v, the aim is %v", worst, test.most)
			}
		})
	}
}

// takeover returns the time from the loss of the first holder until the next has
// the seat. Probe is how the lost holder answers.
func takeover(t *testing.T, seed int, probe func() error) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.NewSlow(rows.New(), usualCall)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var mu sync.Mutex
		var lost, taken, committed time.Time
		epoch := int64(0)
		for i := range 5 {
			e := &Elector{Store: platform.NewHealth(store), Host: fmt.Sprint("host-", i), Address: fmt.Sprint("host-", i, ":1"),
				Log: logr.Discard(), Rank: func() int { return i }, Dwarfed: func() bool { return false }}
			e.Probe = func(context.Context, string) (int64, time.Duration, error) {
				mu.Lock()
				gone, now, age := !lost.IsZero() && epoch == 1, epoch, time.Since(committed)
				mu.Unlock()
				if gone {
					return now, age, probe()
				}
				return now, age, nil
			}
			e.Lead = func(ctx context.Context, term *Term) error {
				mu.Lock()
				epoch = term.Epoch
				if epoch == 2 {
					taken = time.Now()
				}
				mu.Unlock()
				for {
					mu.Lock()
					gone := !lost.IsZero() && term.Epoch == 1
					mu.Unlock()
					if !gone {
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
					case <-time.After(heartbeat):
					}
				}
			}
			running.Go(func() {
				time.Sleep(time.Duration(i*31+seed*17%97) * time.Millisecond)
				_ = e.Run(ctx)
			})
		}
		time.Sleep(8*time.Second + time.Duration(seed*41)*time.Millisecond)
		mu.Lock()
		lost = time.Now()
		mu.Unlock()
		time.Sleep(5 * time.Second)
		cancel()
		running.Wait()
		if taken.IsZero() {
			t.Fatal("nobody took the seat")
		}
		took = taken.Sub(lost)
	})
	return took
}

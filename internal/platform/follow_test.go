package platform_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/platform"
)

// deafFeed holds entries by version. While it is deaf it returns new versions
// without their changes; afterwards its history begins at floor.
type deafFeed struct {
	mu      sync.Mutex
	entries map[int64]string
	version int64
	floor   int64
	deaf    bool
}

func (f *deafFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *deafFeed) List(context.Context) ([]string, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for _, e := range f.entries {
		all = append(all, e)
	}
	return all, f.version, nil
}

func (f *deafFeed) Next(_ context.Context, after int64, wait time.Duration) ([]string, int64, error) {
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if after < f.floor {
		return nil, after, platform.ErrHistoryLost
	}
	var out []string
	for v := after + 1; v <= f.version && !f.deaf; v++ {
		if e, ok := f.entries[v]; ok {
			out = append(out, e)
		}
	}
	return out, f.version, nil
}

// An entry that was written while the feed was deaf is found.
func TestFollowFindsWhatADeafFeedLeftOut(t *testing.T) {
	for name, test := range map[string]struct {
		floor  int64 // of the history afterwards
		relist time.Duration
	}{
		"history kept": {0, 0}, "history lost": {6, 0}, "listed anew": {0, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &deafFeed{entries: map[int64]string{1: "a"}, version: 5}
				seen := map[string]bool{}
				note := func(ctx context.Context, all []string) error {
					for _, e := range all {
						seen[e] = true
					}
					return ctx.Err()
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() {
					ended <- platform.Follow(ctx, f, 0, platform.Follower[string]{
						Wait: 100 * time.Millisecond, RelistInterval: test.relist, OnList: note, OnChange: note})
				}()
				time.Sleep(time.Second)
				f.set(func() { f.deaf, f.version, f.entries[6] = true, 6, "b" })
				time.Sleep(time.Second)
				f.set(func() { f.deaf, f.floor = false, test.floor })
				time.Sleep(10 * time.Second)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
				is.True(seen["a"] && seen["b"])
			})
		})
	}
}

// fastFeed changes faster than one short answer after each pause could tell.
type fastFeed struct {
	began time.Time
	every time.Duration // between two changes
	most  int64         // entries in an answer
}

func (f *fastFeed) newest() int64 { return int64(time.Since(f.began) / f.every) }

func (f *fastFeed) List(context.Context) ([]int64, int64, error) { return nil, f.newest(), nil }

func (f *fastFeed) Next(_ context.Context, after int64, _ time.Duration) ([]int64, int64, error) {
	time.Sleep(5 * time.Millisecond)
	next := min(after+f.most, f.newest())
	var out []int64
	for v := after + 1; v <= next; v++ {
		out = append(out, v)
	}
	return out, next, nil
}

// The view of a registry of 3,000 workers, which changes 2,000 times a second,
// stays as old as the pause between two reads.
func TestFollowKeepsUpWithAFastFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 250 * time.Millisecond
		f := &fastFeed{began: time.Now(), every: 500 * time.Microsecond, most: 500}
		var last int64
		note := func(ctx context.Context, all []int64) error {
			if len(all) > 0 {
				last = all[len(all)-1]
			}
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		err := platform.Follow(ctx, f, 0, platform.Follower[int64]{MinInterval: pause, OnList: note, OnChange: note})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(time.Duration(f.newest()-last)*f.every <= 2*pause)
	})
}

// silentFeed answers no read that begins before back; a read that waits for an answer
// gives up after its own wait and patience.
type silentFeed struct {
	silent, back time.Time
	patience     time.Duration
}

func (f *silentFeed) List(context.Context) ([]string, int64, error) { return nil, 1, nil }

func (f *silentFeed) Next(ctx context.Context, after int64, wait time.Duration) ([]string, int64, error) {
	began := time.Now()
	ends := began.Add(wait)
	lost := ends.After(f.silent) && began.Before(f.back)
	if lost {
		ends = ends.Add(f.patience)
	}
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-time.After(time.Until(ends)):
	}
	if lost {
		return nil, after, context.DeadlineExceeded
	}
	return nil, after, nil
}

// Load pattern: callers try again and again while the store is silent; each tenth of a
// second after its return counts.
func TestFollowHearsAtOnceThatASilentStoreIsBack(t *testing.T) {
	const soon = 300 * time.Millisecond
	for _, silence := range []time.Duration{3 * time.Second, 3300 * time.Millisecond, 3800 * time.Millisecond, 4200 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now().Add(2 * time.Second)
				f := &silentFeed{began, began.Add(silence), 700 * time.Millisecond}
				var again time.Time
				failing := false
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				nothing := func(context.Context, []string) error { return nil }
				go func() {
					ended <- platform.Follow(ctx, f, 0, platform.Follower[string]{
						Wait: 900 * time.Millisecond, OnList: nothing, OnChange: nothing,
						OnRead: func(err error) {
							if failing && err == nil {
								again = time.Now()
							}
							failing = err != nil
						}})
				}()
				time.Sleep(2*time.Second + silence + 2*time.Second)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
				is.True(!again.IsZero())
				is.True(again.Sub(f.back) <= soon)
			})
		})
	}
}

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

// lossyFeed holds entries by version. While it is lossy it returns new versions without
// their changes; afterwards its history begins at floor.
type lossyFeed struct {
	mu      sync.Mutex
	entries map[int64]string
	version int64
	floor   int64
	lossy   bool
}

func (f *lossyFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *lossyFeed) List(context.Context) ([]string, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for _, e := range f.entries {
		all = append(all, e)
	}
	return all, f.version, nil
}

func (f *lossyFeed) Next(_ context.Context, after int64, wait time.Duration) ([]string, int64, error) {
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if after < f.floor {
		return nil, after, platform.ErrHistoryLost
	}
	var out []string
	for v := after + 1; v <= f.version && !f.lossy; v++ {
		if e, ok := f.entries[v]; ok {
			out = append(out, e)
		}
	}
	return out, f.version, nil
}

// Guards against missed entries: a feed returns a new version without the entry written
// in it, and a reader that continues from that version never reads the entry.
func TestFollowFindsEntriesThatALossyFeedLeftOut(t *testing.T) {
	for name, test := range map[string]struct {
		floor  int64 // of the history afterwards
		relist time.Duration
	}{
		"history kept": {0, 0}, "history lost": {6, 0}, "listed again": {0, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &lossyFeed{entries: map[int64]string{1: "a"}, version: 5}
				seen := map[string]bool{}
				record := func(ctx context.Context, all []string) error {
					for _, e := range all {
						seen[e] = true
					}
					return ctx.Err()
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() {
					ended <- platform.Follow(ctx, f, 0, platform.Follower[string]{
						Wait: 100 * time.Millisecond, RelistInterval: test.relist, OnList: record, OnChange: record})
				}()
				time.Sleep(time.Second)
				f.set(func() { f.lossy, f.version, f.entries[6] = true, 6, "b" })
				time.Sleep(time.Second)
				f.set(func() { f.lossy, f.floor = false, test.floor })
				time.Sleep(10 * time.Second)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
				is.True(seen["a"] && seen["b"])
			})
		})
	}
}

// fastFeed changes faster than one response after each pause could report.
type fastFeed struct {
	began    time.Time
	interval time.Duration // between two changes
	pageSize int64         // entries in a response
}

func (f *fastFeed) newest() int64 { return int64(time.Since(f.began) / f.interval) }

func (f *fastFeed) List(context.Context) ([]int64, int64, error) { return nil, f.newest(), nil }

func (f *fastFeed) Next(_ context.Context, after int64, _ time.Duration) ([]int64, int64, error) {
	time.Sleep(5 * time.Millisecond)
	next := min(after+f.pageSize, f.newest())
	var out []int64
	for v := after + 1; v <= next; v++ {
		out = append(out, v)
	}
	return out, next, nil
}

// The view of a registry of 3,000 workers, which changes 2,000 times a second, stays no
// older than two pauses between reads. Guards against a view that falls further and
// further behind, since each response holds only a part of the changes.
func TestFollowKeepsUpWithAFastFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 250 * time.Millisecond
		f := &fastFeed{began: time.Now(), interval: 500 * time.Microsecond, pageSize: 500}
		var last int64
		record := func(ctx context.Context, all []int64) error {
			if len(all) > 0 {
				last = all[len(all)-1]
			}
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		err := platform.Follow(ctx, f, 0, platform.Follower[int64]{MinInterval: pause, OnList: record, OnChange: record})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(time.Duration(f.newest()-last)*f.interval <= 2*pause)
	})
}

// unresponsiveFeed answers no read that overlaps the time from lostFrom to back; such a
// read fails after its own wait plus slack.
type unresponsiveFeed struct {
	lostFrom, back time.Time
	slack          time.Duration
}

func (f *unresponsiveFeed) List(context.Context) ([]string, int64, error) { return nil, 1, nil }

func (f *unresponsiveFeed) Next(ctx context.Context, after int64, wait time.Duration) ([]string, int64, error) {
	began := time.Now()
	ends := began.Add(wait)
	lost := ends.After(f.lostFrom) && began.Before(f.back)
	if lost {
		ends = ends.Add(f.slack)
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

// Load pattern: callers retry again and again while the store is unresponsive. After the
// store's return, each tenth of a second until the next successful read counts. Guards
// against a retry that waits for a change, or for reads that will never be answered.
func TestFollowReadsSoonAfterAnOutage(t *testing.T) {
	const soon = 300 * time.Millisecond
	for _, outage := range []time.Duration{3 * time.Second, 3300 * time.Millisecond, 3800 * time.Millisecond, 4200 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now().Add(2 * time.Second)
				f := &unresponsiveFeed{began, began.Add(outage), 700 * time.Millisecond}
				var readAgain time.Time
				failing := false
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				ignore := func(context.Context, []string) error { return nil }
				go func() {
					ended <- platform.Follow(ctx, f, 0, platform.Follower[string]{
						Wait: 900 * time.Millisecond, OnList: ignore, OnChange: ignore,
						OnRead: func(err error) {
							if failing && err == nil {
								readAgain = time.Now()
							}
							failing = err != nil
						}})
				}()
				time.Sleep(2*time.Second + outage + 2*time.Second)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
				is.True(!readAgain.IsZero())
				is.True(readAgain.Sub(f.back) <= soon)
			})
		})
	}
}

package platform

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/wait"
)

// Parameters of reading feeds.
const (
	// retryInterval is the pause after a failed read, and the interval of the concurrent
	// reads that retry a source which does not answer.
	retryInterval = 150 * time.Millisecond
	// maxOpenRetries bounds the concurrent retries: a read of a store that is a hundred times
	// slower than usual takes half a second.
	maxOpenRetries = 6
	// unconfirmedLag is the time for which a feed must return no changes before the reader
	// continues from a version that was returned without changes: a feed can return new
	// versions without their changes for a second.
	unconfirmedLag = 3 * time.Second
	// longResponse is the number of changes in a response from which the next read follows
	// without a pause: a store truncates responses at 500 rows or 1 MB, and the reader
	// of a fast feed would fall behind.
	longResponse = 256
)

// Follower holds the receivers of a feed's entries and changes, and their timing.
type Follower[T any] struct {
	// Wait is how long a read waits for a change. MinInterval is the minimum pause
	// between two reads, which batches frequent changes; after a long response the next
	// read follows at once.
	Wait, MinInterval time.Duration
	// RelistInterval is the interval at which all entries are listed again, regardless
	// of the changes; 0 for never.
	RelistInterval time.Duration
	// OnList receives all entries: at first, after ErrHistoryLost, and at each
	// RelistInterval.
	OnList func(ctx context.Context, all []T) error
	// OnChange receives changes; the slice is never empty.
	OnChange func(ctx context.Context, changes []T) error
	// OnRead receives the result of each read; may be nil.
	OnRead func(err error)
}

// Follow reads a feed until ctx ends or a receiver fails. It continues from the version
// after; 0 lists all entries first.
func Follow[T any](ctx context.Context, feed Feed[T], after int64, f Follower[T]) error {
	report := func(err error) {
		if f.OnRead != nil && ctx.Err() == nil {
			f.OnRead(err)
		}
	}
	listed := time.Now()
	var unconfirmed unconfirmedVersion
	failing := false
	for ctx.Err() == nil {
		if f.RelistInterval > 0 && time.Since(listed) >= f.RelistInterval {
			after = 0
		}
		if after == 0 {
			all, version, err := feed.List(ctx)
			report(err)
			if err != nil {
				_ = wait.For(ctx, retryInterval) // the loop ends with ctx
				continue
			}
			if err := f.OnList(ctx, all); err != nil {
				return err
			}
			after, listed, unconfirmed = version, time.Now(), unconfirmedVersion{}
		}
		read := func() ([]T, int64, error) { return feed.Next(ctx, after, f.Wait) }
		if failing {
			read = func() ([]T, int64, error) { return retryRead(ctx, feed, after) }
		}
		changes, version, err := read()
		report(err)
		failing = err != nil && !errors.Is(err, ErrHistoryLost)
		switch {
		case errors.Is(err, ErrHistoryLost):
			after = 0
			continue
		case err != nil:
			_ = wait.For(ctx, retryInterval) // the loop ends with ctx
			continue
		}
		if len(changes) == 0 {
			after = unconfirmed.advance(after, version, time.Now())
		} else {
			after, unconfirmed = version, unconfirmedVersion{}
			if err := f.OnChange(ctx, changes); err != nil {
				return err
			}
		}
		if len(changes) < longResponse {
			_ = wait.For(ctx, f.MinInterval) // the loop ends with ctx
		}
	}
	return ctx.Err()
}

// retryRead reads the changes of a feed whose last read failed. It does not wait for a
// change, and sends another read every retryInterval while earlier reads are open, since
// reads that were sent to an unresponsive source may never be answered. It returns the first
// success, or the error of the last read when no read is open. Load pattern: a store
// that was unresponsive is back while callers retry again and again.
func retryRead[T any](ctx context.Context, feed Feed[T], after int64) ([]T, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		changes []T
		version int64
		err     error
	}
	results := make(chan result, maxOpenRetries)
	open := 0
	send := func() {
		open++
		go func() {
			changes, version, err := feed.Next(ctx, after, 0)
			results <- result{changes, version, err}
		}()
	}
	send()
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if open < maxOpenRetries {
				send()
			}
		case r := <-results:
			open--
			if r.err == nil || errors.Is(r.err, ErrHistoryLost) || open == 0 {
				return r.changes, r.version, r.err
			}
		}
	}
}

// unconfirmedVersion is a version that a feed returned without changes.
type unconfirmedVersion struct {
	version int64
	since   time.Time
}

// advance returns the version to continue from after a read without changes.
func (u *unconfirmedVersion) advance(after, next int64, now time.Time) int64 {
	if u.since.IsZero() {
		*u = unconfirmedVersion{next, now}
	}
	if now.Sub(u.since) < unconfirmedLag {
		return after
	}
	after = u.version
	*u = unconfirmedVersion{next, now}
	return after
}

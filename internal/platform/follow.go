package platform

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/wait"
)

// Reading feeds.
const (
	// followRetry is the pause after a failed read, and between the reads by which a
	// source that does not answer is tried again.
	followRetry = 150 * time.Millisecond
	// followOpen bounds these reads under way: a read at a store that is a hundred
	// times slower than usual takes half a second.
	followOpen = 6
	// quietLag is how long a feed must have said nothing before its newest version
	// is taken for the one to go on from: a feed that is deaf for a second returns
	// new versions without their changes.
	quietLag = 3 * time.Second
	// longAnswer is the number of changes from which the next read follows without
	// a pause: a store cuts answers off, at 500 rows or 1 MB, and a feed that
	// changes fast would be read later and later.
	longAnswer = 256
)

// Follower receives what a feed holds and its changes.
type Follower[T any] struct {
	// Wait is how long a read waits for a change; Pause is the least time between
	// two reads, which bundles frequent changes. Long answers are followed by the
	// next read at once.
	Wait, MinInterval time.Duration
	// RelistInterval is how often the entries are listed anew, whatever the feed says; 0
	// for never.
	RelistInterval time.Duration
	// OnList receives all entries, at first and after history was lost.
	OnList func(ctx context.Context, all []T) error
	// OnChange receives changes; never an empty slice.
	OnChange func(ctx context.Context, changes []T) error
	// OnRead hears of the outcome of each read; may be nil.
	OnRead func(err error)
}

// Follow reads a feed until ctx ends or a receiver fails. After is the version
// to go on from; 0 lists first.
func Follow[T any](ctx context.Context, feed Feed[T], after int64, f Follower[T]) error {
	note := func(err error) {
		if f.OnRead != nil && ctx.Err() == nil {
			f.OnRead(err)
		}
	}
	listed := time.Now()
	var quiet quietVersion
	failing := false
	for ctx.Err() == nil {
		if f.RelistInterval > 0 && time.Since(listed) >= f.RelistInterval {
			after = 0
		}
		if after == 0 {
			all, version, err := feed.List(ctx)
			note(err)
			if err != nil {
				_ = wait.For(ctx, followRetry) // the loop ends with ctx
				continue
			}
			if err := f.OnList(ctx, all); err != nil {
				return err
			}
			after, listed, quiet = version, time.Now(), quietVersion{}
		}
		read := func() ([]T, int64, error) { return feed.Next(ctx, after, f.Wait) }
		if failing {
			read = func() ([]T, int64, error) { return reread(ctx, feed, after) }
		}
		changes, version, err := read()
		note(err)
		failing = err != nil && !errors.Is(err, ErrHistoryLost)
		switch {
		case errors.Is(err, ErrHistoryLost):
			after = 0
			continue
		case err != nil:
			_ = wait.For(ctx, followRetry) // the loop ends with ctx
			continue
		}
		if len(changes) == 0 {
			after = quiet.advance(after, version, time.Now())
		} else {
			after, quiet = version, quietVersion{}
			if err := f.OnChange(ctx, changes); err != nil {
				return err
			}
		}
		if len(changes) < longAnswer {
			_ = wait.For(ctx, f.MinInterval) // the loop ends with ctx
		}
	}
	return ctx.Err()
}

// reread reads the changes of a feed whose last read failed. It waits for no change
// and reads anew every followRetry while earlier reads are open, since those that were
// sent to a source that is silent may never be answered. It returns the first success,
// else the failure of the last read when none is left. Load pattern: a store that was
// silent is back, and callers come again and again.
func reread[T any](ctx context.Context, feed Feed[T], after int64) ([]T, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		changes []T
		version int64
		err     error
	}
	answers := make(chan answer, followOpen)
	open := 0
	send := func() {
		open++
		go func() {
			changes, version, err := feed.Next(ctx, after, 0)
			answers <- answer{changes, version, err}
		}()
	}
	send()
	again := time.NewTicker(followRetry)
	defer again.Stop()
	for {
		select {
		case <-again.C:
			if open < followOpen {
				send()
			}
		case a := <-answers:
			open--
			if a.err == nil || errors.Is(a.err, ErrHistoryLost) || open == 0 {
				return a.changes, a.version, a.err
			}
		}
	}
}

// quietVersion is a version that a feed returned without changes.
type quietVersion struct {
	version int64
	since   time.Time
}

// advance returns the version to go on from after a read without changes.
func (q *quietVersion) advance(after, next int64, now time.Time) int64 {
	if q.since.IsZero() {
		*q = quietVersion{next, now}
	}
	if now.Sub(q.since) < quietLag {
		return after
	}
	after = q.version
	*q = quietVersion{next, now}
	return after
}

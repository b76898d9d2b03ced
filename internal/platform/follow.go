package platform

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/wait"
)

// Reading feeds.
const (
	// followRetry is the pause after a failed read.
	followRetry = 150 * time.Millisecond
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
	Wait, Pause time.Duration
	// Relist is how often the entries are listed anew, whatever the feed says; 0
	// for never.
	Relist time.Duration
	// Listed receives all entries, at first and after history was lost.
	Listed func(ctx context.Context, all []T) error
	// Changed receives changes; never an empty slice.
	Changed func(ctx context.Context, changes []T) error
	// Read hears of the outcome of each read; may be nil.
	Read func(err error)
}

// Follow reads a feed until ctx ends or a receiver fails. After is the version
// to go on from; 0 lists first.
func Follow[T any](ctx context.Context, feed Feed[T], after int64, f Follower[T]) error {
	note := func(err error) {
		if f.Read != nil && ctx.Err() == nil {
			f.Read(err)
		}
	}
	listed := time.Now()
	var quiet quietVersion
	for ctx.Err() == nil {
		if f.Relist > 0 && time.Since(listed) >= f.Relist {
			after = 0
		}
		if after == 0 {
			all, version, err := feed.List(ctx)
			note(err)
			if err != nil {
				_ = wait.For(ctx, followRetry) // the loop ends with ctx
				continue
			}
			if err := f.Listed(ctx, all); err != nil {
				return err
			}
			after, listed, quiet = version, time.Now(), quietVersion{}
		}
		changes, next, err := feed.Next(ctx, after, f.Wait)
		note(err)
		switch {
		case errors.Is(err, ErrHistoryLost):
			after = 0
			continue
		case err != nil:
			_ = wait.For(ctx, followRetry) // the loop ends with ctx
			continue
		}
		if len(changes) == 0 {
			after = quiet.advance(after, next, time.Now())
		} else {
			after, quiet = next, quietVersion{}
			if err := f.Changed(ctx, changes); err != nil {
				return err
			}
		}
		if len(changes) < longAnswer {
			_ = wait.For(ctx, f.Pause) // the loop ends with ctx
		}
	}
	return ctx.Err()
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

package coordinator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

const (
	// loadRetryPause is the pause between attempts to read the stored jobs.
	loadRetryPause = 100 * time.Millisecond
	// loadTimeout is when a leader that cannot read the jobs resigns. Reading takes 2
	// to 3 s at a store that is a hundred times slower than usual.
	loadTimeout = 10 * time.Second
)

// loadWhileRenewing loads the jobs and renews the leadership meanwhile: reading all
// jobs takes longer than the silence timeout of the other hosts.
func (t *termLoop) loadWhileRenewing(ctx context.Context) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	loaded := make(chan struct{})
	group.Go(func() error {
		defer close(loaded)
		var err error
		version, err = t.load(ctx)
		return err
	})
	group.Go(func() error {
		for {
			select {
			case <-loaded:
				return nil
			case <-time.After(renewInterval):
			}
			// A partition that refuses commits refuses reads as well, so load fails if
			// the refusal lasts.
			if err := t.commitRows(ctx, commitRequest{}); err != nil && !errors.Is(err, errPartitionRefuses) {
				return err
			}
		}
	})
	err = group.Wait()
	return version, err
}

// load reads the accepted jobs and their progress, and returns the version from
// which to follow the job table.
func (t *termLoop) load(ctx context.Context) (int64, error) {
	began := time.Now()
	stored := storedJobs{listing: t.Jobs.NewListing()}
	for ctx.Err() == nil {
		if t.syncConfiguration(); t.Watch.Cell() == nil {
			_ = wait.For(ctx, loadRetryPause) // the loop ends with ctx
			continue
		}
		if err := stored.read(ctx, t.Store, t.term.Partition()); err != nil {
			t.Log.Info("stored jobs cannot be read yet", "cause", err.Error())
			_ = wait.For(ctx, loadRetryPause) // the loop ends with ctx
			continue
		}
		entries, version := stored.listing.Result()
		if err := t.restore(entries, stored.progress, stored.listing.Unreadable); err != nil {
			return 0, err
		}
		t.Log.Info("jobs loaded", "epoch", t.term.Epoch, "rows", len(entries), "progress", len(stored.progress),
			"version", version, "took", time.Since(began))
		return version, nil
	}
	return 0, ctx.Err()
}

// storedJobs are the stored jobs and their progress, as far as they have been read.
type storedJobs struct {
	listing      *jobstore.Listing
	progress     []platform.PartitionRow
	progressRead bool
}

// read reads concurrently what has not been read yet. No other host can write progress
// any more.
func (s *storedJobs) read(ctx context.Context, store platform.Store, partition string) error {
	group, ctx := errgroup.WithContext(ctx)
	if !s.progressRead {
		group.Go(func() (err error) {
			s.progress, _, err = platform.ScanAll(ctx, store, jobstore.ProgressTable, partition)
			s.progressRead = err == nil
			return err
		})
	}
	group.Go(func() error { return s.listing.Read(ctx) })
	return group.Wait()
}

// acceptedAt returns when the job of an entry was accepted; 0 for an entry without one.
func acceptedAt(e jobstore.Entry) int64 {
	if e.Job == nil {
		return 0
	}
	return e.Job.AcceptedAt
}

// restore fills the core from the stored rows. unreadable reports whether a job has a row that
// cannot be decoded.
func (t *termLoop) restore(entries []jobstore.Entry, progress []platform.PartitionRow, unreadable func(job string) bool) error {
	now := time.Now()
	rows, err := t.index.Load(progress)
	var bundles *jobstore.UnreadableBundlesError
	if err != nil && !errors.As(err, &bundles) {
		return err
	}
	held := 0
	cancelled := map[string]bool{}
	for _, e := range entries {
		if e.Cancelled {
			cancelled[e.ID] = true
		}
	}
	// Which jobs exceed their team's rate follows from the order of their acceptance. The
	// listing is in no order.
	slices.SortStableFunc(entries, func(a, b jobstore.Entry) int { return cmp.Compare(acceptedAt(a), acceptedAt(b)) })
	for _, e := range entries {
		if e.State != "" {
			t.core.RestoreEnded(e.ID, e.State, e.At)
		}
		if e.Job == nil {
			continue
		}
		if bundles != nil && bundles.MayHold(e.ID, e.Version) {
			t.core.Hold(e.ID, nil)
			held++
			delete(rows, e.ID)
			continue
		}
		if err := t.core.Restore(e.Job, rows[e.ID], cancelled[e.ID], now); err != nil {
			t.Log.Error(err, "stored job held", "job", e.ID)
		}
		delete(rows, e.ID)
	}
	if bundles != nil {
		t.Log.Error(bundles, "stored jobs held", "jobs", held)
	}
	for id, progress := range rows {
		if _, ended := t.core.JobState(id); ended || dispatch.ProgressIsFinal(progress) && !unreadable(id) {
			t.index.Drop(id)
			continue
		}
		t.core.Hold(id, progress) // the next coordinator restores it if its row can be read again
		t.Log.Info("progress without a readable job row is kept", "job", id)
	}
	t.core.SetLeaseBounds(t.term.earlierLeasesEnd, t.leaseBounds.times(t.Store), now)
	return nil
}

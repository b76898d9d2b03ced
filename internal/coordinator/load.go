package coordinator

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

const (
	// loadRetry is the pause between attempts to read what is stored.
	loadRetry = 100 * time.Millisecond
	// loadTimeout is when a host that holds the seat but cannot read gives way. Reading
	// takes 2 to 3 s at a store that is a hundred times slower than usual.
	loadTimeout = 10 * time.Second
)

// loadUnderSeat loads the jobs and confirms the seat meanwhile: reading all takes
// longer than others wait for a silent holder.
func (t *termLoop) loadUnderSeat(ctx context.Context) (version int64, err error) {
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
			case <-time.After(heartbeat):
			}
			// A partition that refuses commits refuses to be read, too.
			if err := t.commitRows(ctx, commitRequest{}); err != nil && !errors.Is(err, errPartRefuses) {
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
	for ctx.Err() == nil {
		if t.syncCell(); t.Watch.Cell() == nil {
			_ = wait.For(ctx, loadRetry) // the loop ends with ctx
			continue
		}
		entries, progress, version, err := t.readAll(ctx)
		if err == nil {
			if err := t.restore(entries, progress); err != nil {
				return 0, err
			}
			t.Log.Info("jobs loaded", "epoch", t.term.Epoch, "rows", len(entries), "progress", len(progress),
				"version", version, "took", time.Since(began))
			return version, nil
		}
		t.Log.Info("jobs cannot be read yet", "cause", err.Error())
		_ = wait.For(ctx, loadRetry) // the loop ends with ctx
	}
	return 0, ctx.Err()
}

// readAll reads jobs and progress at the same time. Nobody else writes progress
// any more.
func (t *termLoop) readAll(ctx context.Context) (entries []jobstore.Entry, progress []platform.PartitionRow, version int64, err error) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		progress, _, err = platform.ScanAll(ctx, t.Store, jobstore.ProgressTable, t.term.Partition())
		return err
	})
	group.Go(func() (err error) {
		entries, version, err = t.Jobs.List(ctx)
		return err
	})
	err = group.Wait()
	return entries, progress, version, err
}

// restore builds the core from the stored rows.
func (t *termLoop) restore(entries []jobstore.Entry, progress []platform.PartitionRow) error {
	now := time.Now()
	rows, err := t.book.Load(progress)
	if err != nil {
		return err
	}
	cancelled := map[string]bool{}
	for _, e := range entries {
		if e.Cancelled {
			cancelled[e.ID] = true
		}
	}
	for _, e := range entries {
		if e.State != "" {
			t.core.RestoreEnded(e.ID, e.State, e.At)
		}
		if e.Job == nil {
			continue
		}
		if err := t.core.Restore(e.Job, rows[e.ID], cancelled[e.ID], now); err != nil {
			t.Log.Error(err, "job left out", "job", e.ID)
		}
		delete(rows, e.ID)
	}
	for id, progress := range rows {
		if _, marked := t.core.JobState(id); marked || dispatch.ProgressIsFinal(progress) {
			t.book.Drop(id)
			continue
		}
		t.Log.Info("progress without a readable job row is kept", "job", id)
	}
	t.core.SetLeaseBound(t.term.Since.Add(TakeoverBound))
	return nil
}

package coordinator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
)

// Limits of one commit; the store accepts 1 MB.
const (
	maxCommitJobs  = 2000
	maxCommitBytes = 400 << 10
	// commitTimeWeight is the weight of the latest commit in the smoothed commit
	// duration.
	commitTimeWeight = 0.3
	// slowCommit is the duration from which a commit is logged and from which tasks are
	// started only between commits. The store usually takes some milliseconds.
	slowCommit = 250 * time.Millisecond
	// commitInterval is the minimum time between the beginnings of two commits. It
	// batches changes, since every call to the store is billed. Over a thin link,
	// thinCommitInterval applies: each commit stores the whole progress of the jobs that
	// have changed.
	commitInterval     = 20 * time.Millisecond
	thinCommitInterval = 120 * time.Millisecond
)

// commitRequest is the content of one commit.
type commitRequest struct {
	batches []*dispatch.Batch // none if the commit only renews the leadership
	puts    []platform.PartitionRow
	removes []platform.PartitionRow
	// placement is where puts store the progress of jobs.
	placement jobstore.Placement
	// leaseBounds are stored with the commit; nil leaves those of the last one.
	leaseBounds leaseBounds
	// index is set if the rows are the progress of all jobs, which may be stored in
	// another partition. It replaces the term's index when the commit has succeeded.
	index *jobstore.ProgressIndex
}

// commit passes the next batch to the commit loop if no commit is in progress.
func (t *termLoop) commit(ctx context.Context, now time.Time) {
	if t.committing {
		return
	}
	interval := commitInterval
	if t.ThinLink {
		interval = thinCommitInterval
	}
	if left := interval - now.Sub(t.commitBeganAt); left > 0 {
		t.wakeAfter(ctx, left)
		return
	}
	var removes []platform.PartitionRow
	if len(t.rejected) == 0 {
		removes = t.index.TakeRemovals()
	}
	batch := t.nextBatch()
	var puts []platform.PartitionRow
	var placement jobstore.Placement
	if batch != nil {
		puts, placement = t.index.Rows(batch.Progress)
	}
	if batch == nil && len(removes) == 0 && !t.commitDue && now.Sub(t.lastCommit()) < renewInterval {
		return
	}
	t.committing, t.commitBeganAt, t.commitDue = true, now, false
	request := commitRequest{puts: puts, removes: removes, placement: placement, leaseBounds: maps.Clone(t.leaseBounds)}
	if batch != nil {
		request.batches = []*dispatch.Batch{batch}
	}
	t.commits <- request
}

// nextBatch returns the next batch to commit, or nil.
func (t *termLoop) nextBatch() *dispatch.Batch {
	if n := len(t.rejected); n > 0 {
		next := t.rejected[n-1]
		t.rejected = t.rejected[:n-1]
		return next
	}
	return t.core.TakeBatch(maxCommitJobs, maxCommitBytes)
}

// handleRejected handles a commit that the store rejects and would reject again. The jobs in
// it are stored in ever smaller parts, until only those are left out whose own progress is
// rejected: one job must not keep the others from being stored. It returns an error if no
// job is the cause.
func (t *termLoop) handleRejected(r commitRequest, cause error, now time.Time) error {
	t.committing = false
	t.Log.Error(cause, "commit rejected", "epoch", t.term.Epoch, "rows", len(r.puts), "removals", len(r.removes))
	if len(r.removes) > 0 {
		// Without the removals, which are left undone if they are the cause.
		if len(r.batches) > 0 {
			t.index.Keep(r.removes)
		}
		t.rejected = append(t.rejected, r.batches...)
		t.commitDue = true
		return nil
	}
	jobs := 0
	for _, b := range r.batches {
		jobs += len(b.Progress)
	}
	if jobs == 0 || r.index != nil {
		return cause
	}
	for _, b := range r.batches {
		if len(b.Progress) == 1 {
			t.core.Suspend(b, now)
			continue
		}
		first, second := b.Split()
		t.rejected = append(t.rejected, second, first)
	}
	t.commitDue = true
	return nil
}

// moveProgress requests that the progress of all jobs be stored in another partition,
// in place of a commit that the active partition refused.
func (t *termLoop) moveProgress(refused commitRequest) {
	all := t.core.TakeSnapshot()
	index := jobstore.NewProgressIndex()
	rows := index.Put(all.Progress)
	t.Log.Info("progress moves", "from", t.term.Partition(), "epoch", t.term.Epoch, "jobs", len(all.Progress), "rows", len(rows))
	batches := slices.Concat(refused.batches, t.rejected, []*dispatch.Batch{all})
	t.rejected = nil // the snapshot is newer than their progress
	t.commits <- commitRequest{batches: batches, puts: rows, index: index, leaseBounds: refused.leaseBounds}
}

// commitLoop executes commit requests one after the other.
func (t *termLoop) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-t.commits:
			began := time.Now()
			err := t.commitRows(ctx, r)
			switch {
			case errors.Is(err, errPartitionRefuses):
				t.Log.Info("partition refuses commits", "partition", t.term.Partition(), "epoch", t.term.Epoch, "cause", err.Error())
				t.post(ctx, commitRefused{r})
			case errors.Is(err, platform.ErrRejected):
				t.post(ctx, commitRejected{r, err})
			case err != nil:
				return err
			default:
				t.post(ctx, commitDone{r.batches, r.placement, r.index, r.leaseBounds, time.Since(began)})
			}
		}
	}
}

// commitRows stores rows together with the leader record, which renews the leadership.
func (t *termLoop) commitRows(ctx context.Context, r commitRequest) error {
	began := time.Now()
	if r.leaseBounds != nil {
		t.term.record.LeaseBounds = r.leaseBounds
	}
	if r.index == nil {
		if err := t.term.Commit(ctx, r.puts, r.removes); err != nil {
			return err
		}
	} else {
		if err := t.term.MovePartition(ctx, r.puts); err != nil {
			return err
		}
		t.Log.Info("progress moved", "to", t.term.Partition(), "epoch", t.term.Epoch, "rows", len(r.puts), "took", time.Since(began))
	}
	// The leadership counts as renewed from the start of the call, since the expiry of
	// leases is derived from this time.
	t.committedAt.Store(int64(began.Sub(t.term.Since)))
	if t.loaded.Load() {
		t.leaseBasis.Store(&began)
	}
	took := time.Since(began)
	t.Observer.ObserveCommit(len(r.puts), took)
	if took >= slowCommit {
		t.Log.Info("slow commit", "epoch", t.term.Epoch, "rows", len(r.puts), "took", took)
	}
	return nil
}

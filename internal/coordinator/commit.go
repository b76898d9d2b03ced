package coordinator

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
)

// Limits of one commit; the store takes 1 MB.
const (
	commitJobs  = 2000
	commitBytes = 400 << 10
	// commitWeight is the weight of the latest commit in the usual time of one.
	commitWeight = 0.3
	// slowCommit is the time from which a commit is logged, and from which starts
	// are decided between commits only. The store usually takes some milliseconds.
	slowCommit = 250 * time.Millisecond
	// commitPause is the least time between the beginnings of two commits. It
	// bundles changes, since each call of the store is paid for.
	commitPause = 20 * time.Millisecond
)

// commitRequest is what is stored together.
type commitRequest struct {
	batches []*dispatch.Batch // none for a heartbeat
	puts    []platform.PartitionRow
	removes []platform.PartitionRow
	// book is set if the rows are the progress of all jobs, which may be stored in
	// another partition. It becomes the term's book.
	book *jobstore.ProgressIndex
}

// commit hands the next batch to the commit loop if it is idle.
func (t *termLoop) commit(ctx context.Context, now time.Time) {
	if t.committing {
		return
	}
	if left := commitPause - now.Sub(t.commitBegan); left > 0 {
		t.wakeAfter(ctx, left)
		return
	}
	batch := t.core.TakeBatch(commitJobs, commitBytes)
	var puts []platform.PartitionRow
	if batch != nil {
		puts = t.book.Put(batch.Progress)
	}
	removes := t.book.Removes()
	if batch == nil && len(removes) == 0 {
		if now.Sub(t.lastCommit()) >= heartbeat {
			t.committing, t.commitBegan = true, now
			t.commits <- commitRequest{}
		}
		return
	}
	t.committing, t.commitBegan = true, now
	request := commitRequest{puts: puts, removes: removes}
	if batch != nil {
		request.batches = []*dispatch.Batch{batch}
	}
	t.commits <- request
}

// rebase has the progress of all jobs stored, instead of a commit that the partition
// refuses.
func (t *termLoop) rebase(refused commitRequest) {
	all := t.core.TakeSnapshot()
	book := jobstore.NewProgressIndex()
	rows := book.Put(all.Progress)
	t.Log.Info("progress moves", "from", t.term.Partition(), "epoch", t.term.Epoch, "jobs", len(all.Progress), "rows", len(rows))
	t.commits <- commitRequest{batches: append(refused.batches, all), puts: rows, book: book}
}

// commitLoop stores batches one after the other.
func (t *termLoop) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-t.commits:
			began := time.Now()
			err := t.commitRows(ctx, r)
			switch {
			case errors.Is(err, errPartRefuses):
				t.Log.Info("partition refuses commits", "part", t.term.Partition(), "epoch", t.term.Epoch, "cause", err.Error())
				t.post(ctx, partRefuses{r})
			case err != nil:
				return err
			default:
				t.post(ctx, committed{r.batches, r.book, time.Since(began)})
			}
		}
	}
}

// commitRows stores rows under the seat, which that confirms.
func (t *termLoop) commitRows(ctx context.Context, r commitRequest) error {
	began := time.Now()
	if r.book == nil {
		if err := t.term.Commit(ctx, r.puts, r.removes); err != nil {
			return err
		}
	} else {
		if err := t.term.MovePartition(ctx, r.puts); err != nil {
			return err
		}
		t.Log.Info("progress moved", "to", t.term.Partition(), "epoch", t.term.Epoch, "rows", len(r.puts), "took", time.Since(began))
	}
	// A lease may rest on this confirmation from when it was asked for.
	t.committedAt.Store(int64(began.Sub(t.term.Since)))
	took := time.Since(began)
	t.Observer.ObserveCommit(len(r.puts), took)
	if took >= slowCommit {
		t.Log.Info("slow commit", "epoch", t.term.Epoch, "rows", len(r.puts), "took", took)
	}
	return nil
}

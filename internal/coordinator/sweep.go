package coordinator

import (
	"context"
	"time"

	"cuminloft/internal/jobstore"
)

// sweepInterval is the pause between two sweeps of ended jobs; it batches the jobs of a
// partition into one transaction.
const sweepInterval = 12 * time.Second

// sweep replaces the rows of ended jobs by tombstones and removes expired tombstones.
// The tombstone is written before the progress row is removed, so that an ended job
// never looks like one that has not begun.
func (t *termLoop) sweep(ctx context.Context, now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	ended := map[string]map[string]jobstore.Tombstone{}
	for _, j := range t.core.JobsWithoutTombstone() {
		partition := jobstore.PartitionOf(j.ID)
		if ended[partition] == nil {
			ended[partition] = map[string]jobstore.Tombstone{}
		}
		if len(ended[partition]) < jobstore.MaxTombstonesPerWrite {
			ended[partition][j.ID] = jobstore.Tombstone{State: j.State, At: j.EndedAt}
		}
	}
	expired := map[string][]string{}
	for _, id := range t.core.ExpiredTombstones(now.Add(-t.Retention)) {
		if partition := jobstore.PartitionOf(id); len(expired[partition]) < jobstore.MaxTombstonesPerWrite {
			expired[partition] = append(expired[partition], id)
		}
	}
	go t.sweepStore(ctx, ended, expired)
}

// sweepStore makes the store calls of a sweep. A later sweep repeats what failed.
func (t *termLoop) sweepStore(ctx context.Context, ended map[string]map[string]jobstore.Tombstone, expired map[string][]string) {
	for partition, jobs := range ended {
		if err := t.Jobs.WriteTombstones(ctx, partition, jobs); err != nil {
			t.Log.Info("tombstones of ended jobs not written", "partition", partition, "jobs", len(jobs), "cause", err.Error())
			continue
		}
		t.post(ctx, tombstonesStored(jobs))
	}
	for partition, ids := range expired {
		if err := t.Jobs.RemoveTombstones(ctx, partition, ids); err != nil {
			t.Log.Info("expired tombstones not removed", "partition", partition, "jobs", len(ids), "cause", err.Error())
			continue
		}
		t.post(ctx, tombstonesRemoved(ids))
	}
}

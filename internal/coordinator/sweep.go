package coordinator

import (
	"context"
	"time"

	"cuminloft/internal/jobstore"
)

// sweepPause is the pause between two sweeps of ended jobs; it bundles the jobs
// of a partition into one transaction.
const sweepPause = 12 * time.Second

// sweep puts marks in the place of ended jobs and removes marks whose time is
// over. Marks go first, progress rows after them, so that no ended job is ever
// taken for one that has not begun.
func (t *termLoop) sweep(ctx context.Context, now time.Time) {
	if now.Sub(t.swept) < sweepPause {
		return
	}
	t.swept = now
	ended := map[string]map[string]jobstore.Tombstone{}
	for _, j := range t.core.JobsWithoutTombstone() {
		part := jobstore.PartitionOf(j.ID)
		if ended[part] == nil {
			ended[part] = map[string]jobstore.Tombstone{}
		}
		if len(ended[part]) < jobstore.MaxTombstonesPerWrite {
			ended[part][j.ID] = jobstore.Tombstone{State: j.State, At: j.EndedAt}
		}
	}
	expired := map[string][]string{}
	for _, id := range t.core.ExpiredTombstones(now.Add(-t.Retention)) {
		if part := jobstore.PartitionOf(id); len(expired[part]) < jobstore.MaxTombstonesPerWrite {
			expired[part] = append(expired[part], id)
		}
	}
	go t.sweepStore(ctx, ended, expired)
}

// sweepStore makes the calls of a sweep. What fails is found by a later sweep.
func (t *termLoop) sweepStore(ctx context.Context, ended map[string]map[string]jobstore.Tombstone, expired map[string][]string) {
	for part, jobs := range ended {
		if err := t.Jobs.WriteTombstones(ctx, part, jobs); err != nil {
			t.Log.Info("ended jobs not marked", "part", part, "jobs", len(jobs), "cause", err.Error())
			continue
		}
		t.post(ctx, marked(jobs))
	}
	for part, ids := range expired {
		if err := t.Jobs.RemoveTombstones(ctx, part, ids); err != nil {
			t.Log.Info("marks of ended jobs not removed", "part", part, "jobs", len(ids), "cause", err.Error())
			continue
		}
		t.post(ctx, removed(ids))
	}
}

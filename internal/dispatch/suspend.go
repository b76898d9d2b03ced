package dispatch

import (
	"math"
	"time"

	"cuminloft/internal/workload"
)

// suspendRetry is the time after which the progress of a suspended job is stored again.
const suspendRetry = 5 * time.Second

// Suspend keeps a job from starting tasks, since the store rejects its progress, which is the
// only one in the batch. What runs goes on, and the last stored progress stays as it is. Ends
// that are not stored are not acknowledged, so that their workers report them to a successor.
func (c *Core) Suspend(b *Batch, now time.Time) {
	for j := range b.storedStates {
		c.suspended[j.spec.ID] = now
		j.dirty = true // though it is not in dirtyJobs
		for _, st := range append(b.starts, j.starts...) {
			run := st.Order.Run
			if s, t := c.findTask(run.Task); t != nil && t.run == run.Number && t.state == taskAssigned && !t.startSent {
				c.runEnded(s, run.Task.Index, workload.RunStopped, time.Time{})
			}
		}
		j.starts = nil
		c.emit("job suspended", "job", j.spec.ID, "progress bytes", len(b.Progress[0].Data))
	}
	for id, w := range c.unacked {
		c.holdAcks(id, w.ackedSeq)
	}
}

// holdAcks keeps ends after a sequence number from being acknowledged while jobs are
// suspended.
func (c *Core) holdAcks(worker string, seq int64) {
	if held, ok := c.heldAcks[worker]; !ok || seq < held {
		c.heldAcks[worker] = seq
	}
}

// ackLimit returns the last sequence number of a worker's ends that may be acknowledged.
func (c *Core) ackLimit(worker string) int64 {
	if seq, ok := c.heldAcks[worker]; ok {
		return seq
	}
	return math.MaxInt64
}

// isSuspended reports whether the job must not start tasks.
func (c *Core) isSuspended(j *job) bool {
	_, suspended := c.suspended[j.spec.ID]
	return suspended
}

// retrySuspended adds suspended jobs to the next batch once suspendRetry is over.
func (c *Core) retrySuspended(now time.Time) {
	for id, since := range c.suspended {
		j := c.jobs[id]
		if j == nil {
			delete(c.suspended, id)
			continue
		}
		if now.Sub(since) >= suspendRetry {
			c.suspended[id] = now
			c.dirtyJobs = append(c.dirtyJobs, j)
		}
	}
}

// resume ends the suspension of a job whose progress has been stored.
func (c *Core) resume(j *job) {
	if !c.isSuspended(j) {
		return
	}
	delete(c.suspended, j.spec.ID)
	c.emit("job resumed", "job", j.spec.ID)
	if len(c.suspended) == 0 {
		clear(c.heldAcks)
	}
	c.needsScheduling = true
}

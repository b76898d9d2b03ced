package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// stopRetryInterval is the time after which a stop that was not answered or had no effect
// is repeated.
const stopRetryInterval = 800 * time.Millisecond

// Tick does the work that depends on time: it stops tasks on leaving workers, sends and
// repeats stop orders, expires leases, moves stalled tasks and opens due occurrences.
func (c *Core) Tick(now time.Time) {
	c.needsScheduling = c.needsScheduling || len(c.active) > 0 // the backoff of a worker may have ended
	c.forgetMisdirections(now)
	c.reviewImages(now)
	c.retrySuspended(now)
	for _, w := range c.workers {
		c.tickLeaving(w, now)
	}
	if c.stopsDue || now.Sub(c.tasksCheckedAt) >= taskCheckInterval {
		c.stopsDue, c.tasksCheckedAt = false, now
		c.moveServices(now)
		c.tickTasks(now)
		c.settleSilence(now)
		c.storeAnswered = false
	}
	for _, j := range c.active {
		if !j.unstoredOutlived.IsZero() && now.Sub(j.unstoredOutlived) >= outlivedStoreDelay {
			c.markDirty(j)
		}
		if j.nextOccurrence < j.spec.Occurrences() && !j.state.Final() {
			c.openOccurrences(j, now)
		}
	}
}

// taskCheckInterval is how often all tasks are checked while none is to be stopped.
const taskCheckInterval = 150 * time.Millisecond

// tickTasks does the work that depends on time for all tasks that may be running.
func (c *Core) tickTasks(now time.Time) {
	for _, w := range c.workers {
		if len(w.tasks) == 0 {
			continue
		}
		if !w.reachable && !w.leasesEnd.IsZero() && now.After(w.leasesEnd) {
			c.emit("leases on worker are over", "worker", w.info.ID, "lost tasks", len(w.tasks),
				"service tasks", c.serviceTasksOn(w), "out of reach for", w.outOfReachFor(now))
			c.loseTasks(w, workerSilent, now)
			continue
		}
		for id := range w.tasks {
			if s, t := c.findTask(id); t != nil {
				c.tickTask(w, s, id, t, now)
			}
		}
	}
}

// Detection of stalled tasks.
const (
	minStall = 2500 * time.Millisecond // shortest time without progress that counts as a stall
	// stallShare of a task's estimate without progress counts as a stall.
	stallShare = 0.15
)

func (c *Core) tickTask(w *worker, s *step, id workload.TaskID, t *task, now time.Time) {
	if t.state == taskStopping {
		if w.info.Address != "" && now.Sub(t.stopSentAt) >= stopRetryInterval {
			t.stopSentAt = now
			c.stopOrders = append(c.stopOrders, StopOrder{w.info, workload.Run{Task: id, Number: t.run}})
		}
		return
	}
	if t.state != taskRunning || !w.reachable || s.spec.Service || t.progressedAt.IsZero() {
		return
	}
	if s.spec.Gang && t.percent >= 100 {
		return // it waits for slower members
	}
	limit := max(minStall, time.Duration(stallShare*float64(s.spec.Estimate)))
	still := t.listedAt.Sub(t.progressedAt) // as listed: without an inventory nothing is known of its progress
	if still < limit || !c.mayMove(s.job) {
		return
	}
	c.emit("stalled run moved", "task", id.String(), "run", t.run, "worker", w.info.ID,
		"percent", t.percent, "still for", still)
	c.stop(s, id.Index)
	if s.spec.Gang && !c.allPresent(s) {
		return // it may have waited for a member
	}
	w.recordOutcome(true, now)
	c.recordFailure(s, w.info.ID)
}

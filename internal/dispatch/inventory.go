package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// HandleInventory applies a worker's inventory that was requested at requestedAt.
func (c *Core) HandleInventory(id string, inv workload.Inventory, requestedAt, now time.Time) {
	c.interference.advance(now)
	w := c.workers[id]
	if w == nil {
		return
	}
	if inv.Incarnation != w.incarnation {
		if requestedAt.Before(w.incarnationSeenAt) {
			// Answers may overtake each other: either incarnation may be the later one.
			c.emit("inventory of another incarnation ignored", "worker", id, "born", inv.Incarnation, "current", w.incarnation)
			return
		}
		if inv.Incarnation < w.incarnation {
			w.refutedIncarnation = w.incarnation
		}
		if w.reachable {
			w.unreachableSince = now // the end of the earlier incarnation was not noticed
		}
		c.startIncarnation(w, inv.Incarnation)
	}
	if w.incarnationSeenAt.IsZero() {
		w.incarnationSeenAt = now
	}
	if requestedAt.After(w.unansweredAt) && !w.unansweredAt.IsZero() {
		w.unansweredAt, w.backoffUntil = time.Time{}, now
	}
	w.lostContact = false
	back := !w.reachable
	if back {
		w.reachable = true
		c.needsScheduling = true
		c.emit("worker in reach", "worker", id, "born", w.incarnation, "running", len(inv.Running), "ended", len(inv.Ended))
	}
	for _, e := range inv.Ended {
		if e.Seq > w.appliedSeq {
			w.appliedSeq = e.Seq
			c.unacked[id] = w
			c.applyEnd(w, e, !back, now)
		}
	}
	listed := make(map[workload.TaskID]bool, len(inv.Running))
	hadStrays := !w.strays.IsZero()
	w.strays = model.Resources{}
	for _, r := range inv.Running {
		listed[r.Run.Task] = true
		c.applyRunning(w, r, requestedAt, now)
		c.clearOutlived(w, r.Run, requestedAt, now)
	}
	c.needsScheduling = c.needsScheduling || hadStrays && w.strays.IsZero()
	if len(inv.Ended) < workload.MaxEndsPerInventory {
		c.dropUnlisted(w, listed, requestedAt, now)
	}
	c.throttleBestEffort(w, now)
}

// begin records that a worker has started a task of the job.
func (j *job) begin() {
	j.begun = true
	if j.state == workload.Queued {
		j.state = workload.Running
	}
}

// applyRunning applies the status of one run on the worker. A run that is not the task's
// current one on this worker is stopped.
func (c *Core) applyRunning(w *worker, r workload.RunStatus, requestedAt, now time.Time) {
	s, t := c.findTask(r.Run.Task)
	if t == nil || t.run != r.Run.Number || t.worker != w.info.ID || !t.state.mayRun() {
		c.emit("stray run stopped", "task", r.Run.Task.String(), "run", r.Run.Number, "worker", w.info.ID)
		w.strays = w.strays.Add(c.strayCapacity(w, r.Run.Task))
		c.stopOrders = append(c.stopOrders, StopOrder{w.info, r.Run})
		return
	}
	if t.state == taskAssigned {
		t.state = taskRunning
	}
	t.address, t.startedOn = w.info.Address, w.incarnation
	s.job.begin()
	if t.startConfirmed.IsZero() {
		t.startConfirmed = now
	}
	c.keepCheckpoint(s, r.Run.Task.Index, r.Checkpoint)
	t.load = r.Load
	t.listedAt = requestedAt
	c.recordSlowdown(w, s, t, r, now)
	c.recordProgress(s, t, r.Percent, now)
	c.compareTail(w, s, t, r, now)
}

// strayCapacity returns the capacity that a stray run takes up until its worker no longer
// lists it: all of it if the job is not known any more.
func (c *Core) strayCapacity(w *worker, id workload.TaskID) model.Resources {
	if j := c.jobs[id.Job]; j != nil && id.Step < len(j.spec.Steps) {
		return j.spec.Steps[id.Step].RequiredCapacity()
	}
	return w.info.Capacity
}

// dropUnlisted ends the runs of tasks that are missing in an inventory although their
// start or stop was confirmed before the inventory was requested. The start of a running
// task that was restored after a takeover counts as confirmed, although startConfirmed is
// zero: the raised fence blocks starts that are still in flight.
func (c *Core) dropUnlisted(w *worker, listed map[workload.TaskID]bool, requestedAt, now time.Time) {
	for id := range w.tasks {
		s, t := c.findTask(id)
		if t == nil || listed[id] {
			continue
		}
		if !t.workerRestarted && !t.startSentAt.IsZero() && requestedAt.Sub(t.startSentAt) > startCrashWindow {
			t.unlistedAfterStart = true
		}
		confirmed := t.state == taskRunning && t.startConfirmed.Before(requestedAt) ||
			t.state == taskStopping && !t.stopConfirmed.IsZero() && t.stopConfirmed.Before(requestedAt)
		if confirmed {
			c.emit("run lost by its worker", "task", id.String(), "run", t.run, "worker", w.info.ID)
			if t.workerRestarted {
				c.loseRun(w, s, id.Index, workerRestarted, now)
				continue
			}
			c.runEnded(s, id.Index, workload.RunLeaseExpired, now)
		}
	}
}

// applyEnd applies the end of one run. Ends of runs that are not current are ignored. An end
// is recent if its worker has been in reach since the inventory before.
func (c *Core) applyEnd(w *worker, e workload.RunEnd, recent bool, now time.Time) {
	s, t := c.findTask(e.Run.Task)
	if t == nil || t.run != e.Run.Number || t.worker != w.info.ID || t.incarnation != w.incarnation || !t.state.mayRun() {
		return
	}
	s.job.begin()
	switch e.Outcome {
	case workload.RunDone:
		c.clearCrashes(s, e.Run.Task.Index)
		w.recordOutcome(false, now)
		if recent {
			c.learnFromEnd(s, t, now)
			c.recordSpeed(s, t, now)
			c.compareRun(w, s, t, now)
		}
	case workload.RunFailed:
		c.clearCrashes(s, e.Run.Task.Index)
		// Services may fail at any time, which says little about the worker.
		if !s.spec.Service && w.recordOutcome(true, now) {
			c.emit("worker suspected", "worker", w.info.ID, "failed", w.failed, "fine", w.succeeded, "until", w.quarantineUntil)
		}
		c.recordFailure(s, w.info.ID)
	default: // other outcomes say nothing about the worker
	}
	if c.isSuspended(s.job) {
		c.holdAcks(w.info.ID, e.Seq-1)
	}
	c.emit("run ended", "task", e.Run.Task.String(), "run", e.Run.Number, "worker", w.info.ID, "outcome", e.Outcome)
	knownUntil := now
	if !recent {
		knownUntil = w.unreachableSince
	}
	c.runEndedAfter(s, e.Run.Task.Index, e.Outcome, e.Checkpoint, knownUntil, now)
}

// runEnded records that a task's current run is over, without a checkpoint.
func (c *Core) runEnded(s *step, i int, outcome workload.Outcome, now time.Time) {
	c.runEndedAfter(s, i, outcome, "", now, now)
}

// runEndedAfter is runEnded for a run that is known to have gone on until knownUntil, and may
// have ended at any time since.
func (c *Core) runEndedAfter(s *step, i int, outcome workload.Outcome, checkpoint string, knownUntil, now time.Time) {
	j, t := s.job, &s.tasks[i]
	run, began := t.run, t.startConfirmed
	c.keepCheckpoint(s, i, checkpoint)
	c.releaseTask(s, i)
	c.markDirty(j)
	gangDone := s.spec.Gang && s.finished()
	switch {
	case t.state == taskDone || gangDone:
		// A member of a gang that is done already; only its usage had to be released.
		t.state = taskDone
	case outcome == workload.RunDone && !s.spec.Service:
		c.taskDone(s, i)
	default:
		t.state = taskPending
		s.pending++
		if outcome == workload.RunFailed {
			if began.IsZero() {
				began = knownUntil
			}
			c.countFailure(s, i, run, max(0, knownUntil.Sub(began)), now)
		}
		if s.spec.Gang {
			c.breakGang(s)
		}
	}
	if j.state.Final() {
		if j.idle() {
			delete(c.active, j.spec.ID)
			delete(c.toRank, j.spec.ID)
		}
		return
	}
	c.closeOccurrences(j, now)
}

// taskDone records the success of a task; for a gang, that of all members.
func (c *Core) taskDone(s *step, i int) {
	if !s.spec.Gang {
		s.tasks[i].state = taskDone
		s.done++
		if s.finished() {
			c.learnSpeeds(s)
		}
		return
	}
	s.done = len(s.tasks)
	s.pending = 0
	s.tasks[i].state = taskDone
	for m := range s.tasks {
		if s.tasks[m].state == taskPending {
			s.tasks[m].state = taskDone
		}
	}
}

// countFailure counts a failed run that is known to have lasted for some time. The job fails
// when the limit of failures is reached.
func (c *Core) countFailure(s *step, i, run int, lasted time.Duration, now time.Time) {
	if s.spec.Service || s.job.state.Final() {
		return
	}
	failures := &s.tasks[i].failures
	if s.spec.Gang {
		if s.lastFailedGangRun == run {
			return
		}
		s.lastFailedGangRun = run
		failures = &s.gangFailures
	}
	*failures++
	s.failedRuns++
	if lasted > 0 {
		s.addFailedTime(i, lasted)
	}
	if limit := c.queueOf(s.job).MaxAttempts; limit > 0 && *failures >= limit {
		c.emit("job failed", "job", s.job.spec.ID, "task", s.taskID(i).String(), "failures", *failures, "limit", limit)
		c.finish(s.job, workload.Failed, now)
	}
}

// breakGang stops the remaining members of a gang after one ended without success.
func (c *Core) breakGang(s *step) {
	for m := range s.tasks {
		if s.tasks[m].state.mayRun() {
			c.stop(s, m)
		}
	}
}

// closeOccurrences closes finished occurrences. It completes the job after the last one.
func (c *Core) closeOccurrences(j *job, now time.Time) {
	c.openOccurrences(j, now)
	open := make([]*occurrence, 0, len(j.occurrences))
	unfinished := 0
	for _, o := range j.occurrences {
		if !o.finished() {
			unfinished++
		}
		if !o.finished() || o.busy() {
			open = append(open, o)
		}
	}
	if unfinished == 0 && j.nextOccurrence >= j.spec.Occurrences() {
		c.emit("job completed", "job", j.spec.ID)
		c.finish(j, workload.Completed, now)
		return
	}
	j.occurrences = open
}

// busy reports whether a task of the occurrence may be running.
func (o *occurrence) busy() bool {
	for _, s := range o.steps {
		if s.busy > 0 {
			return true
		}
	}
	return false
}

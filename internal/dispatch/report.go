package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// HandleInventory takes in a worker's inventory, asked for at time asked.
func (c *Core) HandleInventory(id string, inv workload.Inventory, asked, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if inv.Incarnation != w.born {
		c.reborn(w, inv.Incarnation)
	}
	if asked.After(w.silent) && !w.silent.IsZero() {
		w.silent, w.backoff = time.Time{}, now
	}
	if !w.contact {
		w.contact = true
		c.changed = true
		c.emit("worker in reach", "worker", id, "running", len(inv.Running), "ended", len(inv.Ended))
	}
	for _, e := range inv.Ended {
		if e.Seq > w.applied {
			w.applied = e.Seq
			c.unacked[id] = w
			c.takeEnd(w, e, now)
		}
	}
	listed := make(map[workload.TaskID]bool, len(inv.Running))
	for _, r := range inv.Running {
		listed[r.Run.Task] = true
		c.takeRunning(w, r, now)
	}
	if len(inv.Ended) < workload.MaxEndsPerInventory {
		c.dropUnlisted(w, listed, asked, now)
	}
	c.pace(w, now)
}

// begin takes note that a worker has begun a task of the job.
func (j *job) begin() {
	j.begun = true
	if j.state == workload.Queued {
		j.state = workload.Running
	}
}

// takeRunning takes in one run at work. A run that is not the task's present
// one here is stopped.
func (c *Core) takeRunning(w *worker, r workload.RunStatus, now time.Time) {
	s, t := c.find(r.Run.Task)
	if t == nil || t.run != r.Run.Number || t.worker != w.info.ID || !t.state.occupies() {
		c.emit("stray run stopped", "task", r.Run.Task.String(), "run", r.Run.Number, "worker", w.info.ID)
		c.stops = append(c.stops, StopOrder{w.info, r.Run})
		return
	}
	if t.state == taskAssigned {
		t.state = taskRunning
	}
	s.job.begin()
	if t.confirmed.IsZero() {
		t.confirmed = now
	}
	if r.Checkpoint != "" {
		t.saved = r.Checkpoint
		if s.spec.Gang {
			s.saved = r.Checkpoint
		}
	}
	t.load = r.Load
	c.noteStretch(w, s, t, r, now)
	c.notePace(s, t, r.Percent, now)
}

// dropUnlisted frees the places of tasks that the worker neither runs nor lists
// as ended, though their start, or their stop, was answered before the
// inventory was asked for. After a takeover the raised fence bars starts that
// are still under way, so there the same holds for every task.
func (c *Core) dropUnlisted(w *worker, listed map[workload.TaskID]bool, asked, now time.Time) {
	for id := range w.tasks {
		s, t := c.find(id)
		if t == nil || listed[id] {
			continue
		}
		answered := t.state == taskRunning && t.confirmed.Before(asked) ||
			t.state == taskStopping && !t.stopped.IsZero() && t.stopped.Before(asked)
		if answered {
			c.emit("run lost by its worker", "task", id.String(), "run", t.run, "worker", w.info.ID)
			c.ended(s, id.Index, workload.RunLeaseExpired, "", now)
		}
	}
}

// takeEnd takes in one end. Ends of runs that were given up count for nothing.
func (c *Core) takeEnd(w *worker, e workload.RunEnd, now time.Time) {
	s, t := c.find(e.Run.Task)
	if t == nil || t.run != e.Run.Number || t.worker != w.info.ID || t.born != w.born || !t.state.occupies() {
		return
	}
	s.job.begin()
	switch e.Outcome {
	case workload.RunDone:
		w.note(false, now)
		c.learnEnd(s, t, now)
	case workload.RunFailed:
		// Services may fail at any time, which says little of the worker.
		if !s.spec.Service && w.note(true, now) {
			c.emit("worker suspected", "worker", w.info.ID, "failed", w.failed, "fine", w.fine, "until", w.quarantine)
		}
		if s.avoid == nil {
			s.avoid = map[string]int{}
		}
		s.avoid[w.info.ID]++
	default: // no judgement of the worker
	}
	c.emit("run ended", "task", e.Run.Task.String(), "run", e.Run.Number, "worker", w.info.ID, "outcome", e.Outcome)
	c.ended(s, e.Run.Task.Index, e.Outcome, e.Checkpoint, now)
}

// ended takes note that a task's present run is over.
func (c *Core) ended(s *step, i int, outcome workload.Outcome, saved string, now time.Time) {
	j, t := s.job, &s.tasks[i]
	run, began := t.run, t.confirmed
	c.vacate(s, i)
	c.touch(j)
	if saved != "" {
		t.saved = saved
		if s.spec.Gang {
			s.saved = saved
		}
	}
	gangDone := s.spec.Gang && s.finished()
	switch {
	case t.state == taskDone || gangDone:
		// A member of a gang that is done already; only its place was left.
		t.state = taskDone
	case outcome == workload.RunDone && !s.spec.Service:
		c.taskDone(s, i)
	default:
		t.state = taskPending
		s.pending++
		if outcome == workload.RunFailed {
			c.countFailure(s, i, run, began, now)
		}
		if s.spec.Gang {
			c.breakGang(s)
		}
	}
	if j.state.Final() {
		if j.idle() {
			delete(c.active, j.spec.ID)
		}
		return
	}
	c.closeOccurrences(j, now)
}

// taskDone records a task's success; for a gang, that of all members.
func (c *Core) taskDone(s *step, i int) {
	if !s.spec.Gang {
		s.tasks[i].state = taskDone
		s.done++
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

// countFailure counts a failed run, begun at a time, and gives the job up when it was the
// last one allowed.
func (c *Core) countFailure(s *step, i, run int, began, now time.Time) {
	if s.spec.Service || s.job.state.Final() {
		return
	}
	fails := &s.tasks[i].fails
	if s.spec.Gang {
		if s.failedRun == run {
			return
		}
		s.failedRun = run
		fails = &s.fails
	}
	*fails++
	s.failures++
	if !began.IsZero() {
		s.tasks[i].lost += now.Sub(began)
		s.lost = max(s.lost, s.tasks[i].lost)
	}
	if limit := c.queueOf(s.job).MaxAttempts; limit > 0 && *fails >= limit {
		c.emit("job failed", "job", s.job.spec.ID, "task", s.taskID(i).String(), "failures", *fails, "limit", limit)
		c.finish(s.job, workload.Failed, now)
	}
}

// breakGang stops the members that remain after one ended without success.
func (c *Core) breakGang(s *step) {
	for m := range s.tasks {
		if s.tasks[m].state.occupies() {
			c.stop(s, m)
		}
	}
}

// closeOccurrences drops finished occurrences and completes the job after the
// last one.
func (c *Core) closeOccurrences(j *job, now time.Time) {
	c.openOccurrences(j, now)
	open := make([]*occurrence, 0, len(j.occ))
	unfinished := 0
	for _, o := range j.occ {
		if !o.finished() {
			unfinished++
		}
		if !o.finished() || o.busy() {
			open = append(open, o)
		}
	}
	if unfinished == 0 && j.nextOcc >= j.spec.Occurrences() {
		c.emit("job completed", "job", j.spec.ID)
		c.finish(j, workload.Completed, now)
		return
	}
	j.occ = open
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

// HandleStartResult takes in the answer to a start order.
func (c *Core) HandleStartResult(st Start, err error, now time.Time) {
	run := st.Order.Run
	s, t := c.find(run.Task)
	if t == nil || t.run != run.Number || t.worker != st.Worker.ID || t.state == taskDone {
		return
	}
	w := c.workers[t.worker]
	if err == nil {
		t.confirmed = now
		s.job.begin()
		if t.state == taskAssigned {
			t.state = taskRunning
			t.progressed, t.percent = now, 0
			if t.run == 1 {
				t.paceFrom, t.pacePercent = now, 0 // no checkpoint to go on from
			}
		}
		return
	}
	c.emit("start refused", "task", run.Task.String(), "run", run.Number, "worker", st.Worker.ID, "cause", err.Error())
	c.startFailed(s, run.Task.Index, w, err, now)
}

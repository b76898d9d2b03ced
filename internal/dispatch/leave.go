package dispatch

import "time"

// Evicting tasks from workers that are about to leave. Load pattern: a fifteenth of the
// cell leaves at two seconds' notice, and with it a member of every second gang. A worker
// that has left does not report the ends of its runs, so the capacity of its tasks, and
// the other members of their gangs, are blocked until its leases end.
const (
	// leaveMargin is how long before a worker leaves the tasks that cannot end in time
	// are stopped. The notice may arrive a second late, and a stop takes a fraction of a
	// second.
	leaveMargin = time.Second
	// leaveSlack is how long before its worker leaves a task must be expected to end to
	// be left running.
	leaveSlack = 200 * time.Millisecond
)

// tickLeaving stops the tasks that would be lost with a leaving worker. Services never end
// by themselves: they move to other workers as soon as these have capacity.
func (c *Core) tickLeaving(w *worker, now time.Time) {
	if !w.info.Draining {
		w.leavesAt = time.Time{}
		return
	}
	for id := range w.tasks {
		if s, t := c.findTask(id); t != nil && t.state != taskStopping && s.spec.Service && c.fitsAnywhere(s, now) && c.mayInterrupt(s, id.Index) {
			c.evict(s, id.Index)
		}
	}
	if w.info.Remaining <= 0 {
		w.leavesAt = time.Time{}
		return
	}
	// The remaining time is as old as the registry entry: after a takeover up to a heartbeat
	// interval, so a later entry may show that the worker leaves sooner.
	if leavesAt := now.Add(w.info.Remaining); w.leavesAt.IsZero() || leavesAt.Before(w.leavesAt) {
		w.leavesAt = leavesAt
	}
	if now.Before(w.leavesAt.Add(-leaveMargin)) || now.After(w.leavesAt) {
		return
	}
	for id := range w.tasks {
		s, t := c.findTask(id)
		if t == nil || t.state != taskRunning || c.expectedEnd(s, t, now).Before(w.leavesAt.Add(-leaveSlack)) {
			continue
		}
		c.emit("run stopped before its worker leaves", "task", id.String(), "run", t.run, "worker", w.info.ID,
			"percent", t.percent, "leaves in", w.leavesAt.Sub(now))
		if s.spec.Gang {
			c.breakGang(s)
		} else {
			c.stop(s, id.Index)
		}
	}
}

// fitsAnywhere reports whether a worker has capacity for one more task of the step,
// without regard to advice.
func (c *Core) fitsAnywhere(s *step, now time.Time) bool {
	q := c.queueOf(s.job)
	for _, w := range c.workers {
		if w.info.Pool == q.Pool && c.schedulable(w, now) && s.matchesLabel(w) && fitOnWorker(w, s) > 0 {
			return true
		}
	}
	return false
}

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

// tickLeaving stops the tasks that would be lost with a leaving worker. Runs that it has not
// listed in this term are left alone: they may be about to end.
func (c *Core) tickLeaving(w *worker, now time.Time) {
	if !w.info.Draining || w.info.Remaining <= 0 {
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
		if t == nil || t.state != taskRunning || t.progressedAt.IsZero() || c.expectedEnd(s, t, now).Before(w.leavesAt.Add(-leaveSlack)) {
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

// noteLeaving stores with the young runs on a worker that it has announced its end. Load
// pattern: a coordinator takes over after the worker has left and its entry is gone; it would
// take the end for a crash.
func (c *Core) noteLeaving(w *worker) {
	for id := range w.tasks {
		if s, t := c.findTask(id); t != nil && !t.outlived && !t.workerLeaves {
			t.workerLeaves = true
			c.markDirty(s.job)
		}
	}
}

// moveServices stops service tasks on draining workers as far as other workers have capacity
// for them: services never end by themselves. Tasks that are to start anyway go first.
func (c *Core) moveServices(now time.Time) {
	var leaving, roomy []*worker
	for _, w := range c.workers {
		switch {
		case w.info.Draining && w.reachable && len(w.tasks) > 0:
			leaving = append(leaving, w)
		case c.schedulable(w, now) && w.free().MilliCores > 0:
			roomy = append(roomy, w)
		}
	}
	if len(leaving) == 0 || len(roomy) == 0 {
		return
	}
	starting := c.servicesToStart()
	for _, w := range leaving {
		for id := range w.tasks {
			s, t := c.findTask(id)
			if t == nil || t.state == taskStopping || !s.spec.Service || !c.mayMove(s.job) || !c.mayInterrupt(s, id.Index) || !c.fitsBeside(s, starting, roomy) {
				continue
			}
			c.evict(s, id.Index)
			starting++
		}
	}
}

// servicesToStart counts the service tasks that wait for a start or are being stopped.
func (c *Core) servicesToStart() int {
	n := 0
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.spec.Service || j.state.Final() {
					continue
				}
				for i := range s.tasks {
					if state := s.tasks[i].state; state == taskPending || state == taskStopping {
						n++
					}
				}
			}
		}
	}
	return n
}

// fitsBeside reports whether one more task of the step fits on the workers besides this
// number of others of its size. Workers that the advice service has denied don't count.
func (c *Core) fitsBeside(s *step, others int, workers []*worker) bool {
	q := c.queueOf(s.job)
	n := 0
	for _, w := range workers {
		if w.info.Pool == q.Pool && s.matchesLabel(w) && !s.advice.denied[w.info.ID] {
			if n += fitOnWorker(w, s); n > others {
				return true
			}
		}
	}
	return false
}

package dispatch

// SetCordonedWorkers replaces the set of workers that accept no new tasks.
func (c *Core) SetCordonedWorkers(workers []string) {
	on := make(map[string]bool, len(workers))
	for _, id := range workers {
		on[id] = true
		if !c.cordoned[id] {
			c.emit("worker cordoned", "worker", id)
		}
	}
	for id := range c.cordoned {
		if !on[id] {
			c.needsScheduling = true
			c.emit("worker no longer cordoned", "worker", id)
		}
	}
	c.cordoned = on
}

// TasksOn returns how many tasks may be running on a worker.
func (c *Core) TasksOn(id string) int {
	if w := c.workers[id]; w != nil {
		return len(w.tasks)
	}
	return 0
}

// EvictTasks stops the tasks of a worker; they start again on other workers. For a
// service it stops only as many tasks as may be unavailable at one time, and a later call
// stops the next ones. Load pattern: hosts with tasks of one service are emptied one
// after the other, and its restarted tasks take time to become available.
func (c *Core) EvictTasks(worker string) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	for id := range w.tasks {
		if s, t := c.findTask(id); t != nil && t.state != taskStopping && c.mayInterrupt(s, id.Index) {
			c.evict(s, id.Index)
		}
	}
}

// evict stops a task, so that it starts again on another worker.
func (c *Core) evict(s *step, i int) {
	t := &s.tasks[i]
	c.emit("run taken away from its worker", "task", s.taskID(i).String(), "run", t.run, "worker", t.worker)
	c.stop(s, i)
}

// mayInterrupt reports whether a task may be stopped without making more tasks of its
// service unavailable than allowed.
func (c *Core) mayInterrupt(s *step, i int) bool {
	if !s.spec.Service || !c.mayBeAvailable(s, i) {
		return true
	}
	others := c.unavailable(s)
	if !c.available(s, i) {
		others--
	}
	return others < max(1, s.spec.MaxUnavailable)
}

// mayMove reports whether a run of the job may be interrupted only to start elsewhere. That
// start has to be stored, so the store must have answered a commit since the tasks were last
// checked, and must not reject the job's progress. Load pattern: a coordinator that is cut off
// from the store, but not from the workers, decides for seconds what it cannot store.
func (c *Core) mayMove(j *job) bool { return c.storeAnswered && !c.isSuspended(j) }

// mayBeAvailable reports whether a service task is available, or may be: its worker is out of
// reach, or has not listed it in this term.
func (c *Core) mayBeAvailable(s *step, i int) bool {
	t := &s.tasks[i]
	w := c.workers[t.worker]
	unknown := w == nil || !w.reachable || t.progressedAt.IsZero()
	return t.state == taskRunning && (unknown || c.available(s, i))
}

// available reports whether a service task is running and has started up. On a worker out
// of reach it may be down.
func (c *Core) available(s *step, i int) bool {
	t := &s.tasks[i]
	w := c.workers[t.worker]
	return t.state == taskRunning && t.percent >= 100 && w != nil && w.reachable
}

// unavailable counts the tasks of a service that are not available.
func (c *Core) unavailable(s *step) int {
	n := 0
	for i := range s.tasks {
		if !c.available(s, i) {
			n++
		}
	}
	return n
}

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
	if w := c.workers[worker]; w != nil {
		c.evictTasks(w, func(*step) bool { return true })
	}
}

// evictTasks is EvictTasks for the tasks of some steps.
func (c *Core) evictTasks(w *worker, of func(*step) bool) {
	for id := range w.tasks {
		s, t := c.findTask(id)
		if t == nil || t.state == taskStopping || !of(s) {
			continue
		}
		if s.spec.Service && s.available(id.Index) && s.unavailable() >= max(1, s.spec.MaxUnavailable) {
			continue
		}
		c.emit("run taken away from its worker", "task", id.String(), "run", t.run, "worker", w.info.ID)
		c.stop(s, id.Index)
	}
}

// available reports whether a service task is running and has started up.
func (s *step) available(i int) bool {
	return s.tasks[i].state == taskRunning && s.tasks[i].percent >= 100
}

// unavailable counts the tasks of a service that are not available.
func (s *step) unavailable() int {
	n := 0
	for i := range s.tasks {
		if !s.available(i) {
			n++
		}
	}
	return n
}

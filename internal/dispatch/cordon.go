package dispatch

// SetCordonedWorkers installs the whole set of workers on which nothing may start.
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
			c.changed = true
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

// EvictTasks stops the tasks of a worker, which start again elsewhere. Of a service
// only as many are taken away as may be away at a time; a later call takes the
// next ones. Load pattern: hosts of one service that are emptied one after the
// other, while its tasks take time to be at work again.
func (c *Core) EvictTasks(worker string) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	for id := range w.tasks {
		s, t := c.find(id)
		if t == nil || t.state == taskStopping {
			continue
		}
		if s.spec.Service && s.atWork(id.Index) && s.away() >= max(1, s.spec.MaxUnavailable) {
			continue
		}
		c.emit("run taken away from its worker", "task", id.String(), "run", t.run, "worker", worker)
		c.stop(s, id.Index)
	}
}

// atWork reports whether a service task serves: it runs and has started up.
func (s *step) atWork(i int) bool {
	return s.tasks[i].state == taskRunning && s.tasks[i].percent >= 100
}

// away counts the tasks of a service that do not serve.
func (s *step) away() int {
	n := 0
	for i := range s.tasks {
		if !s.atWork(i) {
			n++
		}
	}
	return n
}

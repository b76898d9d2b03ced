package dispatch

import "time"

// OutOfReach sums up the tasks on workers that are out of reach. They may still be
// running there, so they start again only when the workers' leases are over.
type OutOfReach struct {
	Workers, Tasks, ServiceTasks int
	// Longest is the longest time for which one of these workers has been out of reach,
	// as far as this term knows.
	Longest time.Duration
	// FirstEnd and LastEnd are the times until the first and the last of these workers
	// can hold no lease.
	FirstEnd, LastEnd time.Duration
}

// OutOfReach returns the tasks on workers that are out of reach.
func (c *Core) OutOfReach(now time.Time) OutOfReach {
	var out OutOfReach
	for _, w := range c.workers {
		if w.reachable || len(w.tasks) == 0 {
			continue
		}
		left := max(0, w.leasesEnd.Sub(now))
		if out.Workers == 0 || left < out.FirstEnd {
			out.FirstEnd = left
		}
		out.LastEnd = max(out.LastEnd, left)
		out.Longest = max(out.Longest, w.outOfReachFor(now))
		out.Workers++
		out.Tasks += len(w.tasks)
		out.ServiceTasks += c.serviceTasksOn(w)
	}
	return out
}

// WorkersOutOfReach returns the workers that may be running tasks and have not answered
// their latest heartbeat, if any.
func (c *Core) WorkersOutOfReach() []string {
	var out []string
	for id := range c.workers {
		if c.MayRunOutOfReach(id) {
			out = append(out, id)
		}
	}
	return out
}

// MayRunOutOfReach reports whether a worker is among WorkersOutOfReach.
func (c *Core) MayRunOutOfReach(id string) bool {
	w := c.workers[id]
	return w != nil && !w.reachable && len(w.tasks) > 0
}

// LeasesOutOfReach returns when the leases end on each worker that may be running tasks
// and has been found out of reach: it did not answer, or the registry names no address.
func (c *Core) LeasesOutOfReach() map[string]time.Time {
	out := map[string]time.Time{}
	for id, w := range c.workers {
		if c.MayRunOutOfReach(id) && (w.lostContact || w.info.Address == "") && !w.leasesEnd.IsZero() {
			out[id] = w.leasesEnd
		}
	}
	return out
}

// outOfReachFor returns how long a worker has been out of reach; 0 if it is in reach, or
// was not in reach in this term.
func (w *worker) outOfReachFor(now time.Time) time.Duration {
	if w.reachable || w.unreachableSince.IsZero() {
		return 0
	}
	return now.Sub(w.unreachableSince)
}

// serviceTasksOn counts the service tasks that may be running on a worker.
func (c *Core) serviceTasksOn(w *worker) int {
	n := 0
	for id := range w.tasks {
		if s, _ := c.findTask(id); s != nil && s.spec.Service {
			n++
		}
	}
	return n
}

package dispatch

import "sort"

// placeGang starts all tasks of a gang, or none.
func (c *Core) placeGang(r rankedStep) bool {
	s := r.step
	workers := c.eligibleWorkers(r)
	if len(workers) == 0 || c.waitsAfterCrashes(s, c.queueOf(s.job)) || c.fitInTeamLimit(s) < len(s.tasks) {
		return false
	}
	plan := c.gangPlan(r, workers)
	if plan == nil || !c.gangFitsRow(s, plan) {
		return false
	}
	c.dropReservation(s)
	run := 0
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
	}
	for i, w := range plan {
		c.assign(s, i, w, run+1, s.gangCheckpoint)
	}
	return true
}

// gangWorker is a worker with free capacity for tasks of a gang.
type gangWorker struct {
	worker *worker
	fits   int
}

// gangPlan returns a worker for each task of a gang, or nil if the tasks do not all fit.
// It prefers a single rack for gangs that run slower across racks, and a single AZ for
// all gangs.
func (c *Core) gangPlan(r rankedStep, workers []*worker) []*worker {
	withCapacity, fits := c.gangWorkers(r, workers)
	n := len(r.step.tasks)
	if fits < n {
		return nil
	}
	if r.step.spec.SameRack {
		if rack := bestGroup(withCapacity, n, "", func(w *worker) string { return w.info.Rack }); rack != nil {
			return fillWorkers(rack, n)
		}
	}
	if az := bestGroup(withCapacity, n, r.step.job.homeAZ, func(w *worker) string { return w.info.AZ }); az != nil {
		return fillWorkers(az, n)
	}
	return fillWorkers(withCapacity, n)
}

// gangWorkers returns the workers with free capacity for the step, best first, and the
// number of tasks that fit on all of them.
func (c *Core) gangWorkers(r rankedStep, workers []*worker) ([]gangWorker, int) {
	s := r.step
	withCapacity := make([]gangWorker, 0, len(workers))
	fits, urgent := 0, r.rank.group == groupUrgent
	for _, w := range workers {
		if n := c.fitToPlace(r, w); n > 0 {
			withCapacity = append(withCapacity, gangWorker{w, n})
			fits += n
		}
	}
	sort.Slice(withCapacity, func(a, b int) bool {
		x, y := withCapacity[a], withCapacity[b]
		if s.suspects > 0 && x.worker.suspects != y.worker.suspects {
			return x.worker.suspects < y.worker.suspects
		}
		if s.failuresByWorker[x.worker.info.ID] != s.failuresByWorker[y.worker.info.ID] {
			return s.failuresByWorker[x.worker.info.ID] < s.failuresByWorker[y.worker.info.ID]
		}
		if slow := c.slow(x.worker); slow != c.slow(y.worker) {
			return !slow
		}
		if slow := x.worker.isSlow(); urgent && slow != y.worker.isSlow() {
			return !slow
		}
		if x.fits != y.fits {
			return x.fits > y.fits
		}
		return x.worker.info.ID < y.worker.info.ID
	})
	return withCapacity, fits
}

// bestGroup returns the workers that share a key, if n tasks fit on them: those with the
// preferred key if n tasks fit there, else those with the key where the most tasks fit.
// It returns nil if n tasks fit for no key.
func bestGroup(workers []gangWorker, n int, preferred string, key func(*worker) string) []gangWorker {
	groups := map[string][]gangWorker{}
	fits := map[string]int{}
	for _, x := range workers {
		k := key(x.worker)
		groups[k] = append(groups[k], x)
		fits[k] += x.fits
	}
	if fits[preferred] >= n {
		return groups[preferred]
	}
	best := ""
	for k, m := range fits {
		if m > fits[best] || m == fits[best] && k < best {
			best = k
		}
	}
	if fits[best] < n {
		return nil
	}
	return groups[best]
}

// fillWorkers returns a worker for each of n tasks, filling the workers in order. The
// tasks must fit.
func fillWorkers(workers []gangWorker, n int) []*worker {
	plan := make([]*worker, 0, n)
	for _, x := range workers {
		for range min(x.fits, n-len(plan)) {
			plan = append(plan, x.worker)
		}
	}
	return plan
}

// allPresent reports whether all members of a gang are known to have started, on workers in
// reach. Without one of them the others make no progress.
func (c *Core) allPresent(s *step) bool {
	for i := range s.tasks {
		t := &s.tasks[i]
		if w := c.workers[t.worker]; w == nil || !w.reachable || t.startConfirmed.IsZero() {
			return false
		}
	}
	return true
}

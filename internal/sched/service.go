package sched

import (
	"cmp"
	"slices"
)

type rack struct {
	workers []*worker
	tasks   map[*job]int // number of running tasks per service
	order   int
}

// racks holds the failure domains over which the tasks of services are spread.
type racks struct {
	list   []*rack
	byName map[rackName]*rack
}

type rackName struct{ az, rack string }

func (r *racks) reset() {
	r.list, r.byName = nil, make(map[rackName]*rack)
}

// add adds w to its rack, with the tasks that run on w.
func (r *racks) add(w *worker) {
	name := rackName{w.spec.AZ, w.spec.Rack}
	k := r.byName[name]
	if k == nil {
		k = &rack{tasks: make(map[*job]int), order: len(r.list)}
		r.byName[name] = k
		r.list = append(r.list, k)
	}
	k.workers = append(k.workers, w)
	w.rack = k
	for _, a := range w.attempts {
		r.addTasks(a.job, w, 1)
	}
}

// addTasks adds n to the number of j's tasks in w's rack, if j is a service.
func (r *racks) addTasks(j *job, w *worker, n int) {
	if j.lane != laneService || w.rack == nil {
		return
	}
	w.rack.tasks[j] += n
	if w.rack.tasks[j] == 0 {
		delete(w.rack.tasks, j)
	}
}

// chooseSpread returns a worker in the rack with the fewest tasks of the service;
// within the rack, the worker with the fewest tasks of the service, then the most free
// capacity.
func (c *Core) chooseSpread(j *job) *worker {
	if c.capacityIndex.nextFit(&j.size, 0) < 0 {
		return nil
	}
	order := slices.Clone(c.racks.list)
	slices.SortFunc(order, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(a.tasks[j], b.tasks[j]), cmp.Compare(a.order, b.order))
	})
	for _, k := range order {
		if w := c.spreadInRack(k, j); w != nil {
			return w
		}
	}
	return nil
}

func (c *Core) spreadInRack(k *rack, j *job) *worker {
	var best *worker
	bestTasks, bestLeft := 0, 0.0
	for _, w := range k.workers {
		if !j.size.fits(&c.capacityIndex.nodes[c.capacityIndex.leaves+w.indexPos]) || !c.accepts(w, j) {
			continue
		}
		tasks, left := w.tasksOf(j), c.leftover(w, &j.size)
		if best == nil || tasks < bestTasks || (tasks == bestTasks && left > bestLeft) {
			best, bestTasks, bestLeft = w, tasks, left
		}
	}
	return best
}

func (w *worker) tasksOf(j *job) int {
	n := 0
	for _, a := range w.attempts {
		if a.job == j {
			n++
		}
	}
	return n
}

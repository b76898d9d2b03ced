package sched

import (
	"cmp"
	"slices"
)

// rack is one rack of an AZ.
type rack struct {
	workers []*worker
	tasks   map[*job]int // running tasks of services
	order   int
}

// racks finds the failure domains over which services are spread.
type racks struct {
	list []*rack
	of   map[rackName]*rack
}

type rackName struct{ az, rack string }

func (r *racks) reset() {
	r.list, r.of = nil, make(map[rackName]*rack)
}

// add enters w in its rack, with the tasks that run there.
func (r *racks) add(w *worker) {
	name := rackName{w.spec.AZ, w.spec.Rack}
	k := r.of[name]
	if k == nil {
		k = &rack{tasks: make(map[*job]int), order: len(r.list)}
		r.of[name] = k
		r.list = append(r.list, k)
	}
	k.workers = append(k.workers, w)
	w.rack = k
	for _, a := range w.attempts {
		r.count(a.job, w, 1)
	}
}

// count notes that n more tasks of a service run on w.
func (r *racks) count(j *job, w *worker, n int) {
	if j.lane != laneService || w.rack == nil {
		return
	}
	w.rack.tasks[j] += n
	if w.rack.tasks[j] == 0 {
		delete(w.rack.tasks, j)
	}
}

// chooseSpread returns a worker in the rack that runs the fewest tasks of the
// service; within the rack, the one that runs the fewest and has the most room.
func (c *Core) chooseSpread(j *job) *worker {
	if c.index.next(&j.size, 0) < 0 {
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
		if !j.size.fits(&c.index.nodes[c.index.leaves+w.pos]) || !c.accepts(w, j) {
			continue
		}
		tasks, left := w.tasksOf(j), c.leftOver(w, &j.size)
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

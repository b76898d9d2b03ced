package sched

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// Pauses during which no task is placed on a worker after it refused a start or
// flapped.
const (
	refusalPause    = 200 * time.Millisecond
	flapPause       = 2 * time.Second
	maxWorkerPause  = 5 * time.Minute
	pauseResetAfter = 10 * time.Minute // time without incidents after which pauses start short again
)

// worker is one worker of the shard with its attempts and free capacity.
type worker struct {
	spec     model.WorkerSpec
	state    WorkerState // empty: known only from an adopted task
	indexPos int         // in the capacity index; -1 if not indexed
	capacity vec
	used     vec // by attempts that run or may run
	reserved vec // for the reservation
	lent     vec // part of reserved that other jobs use
	attempts []*attempt

	flapBackoff    workerBackoff
	refusalBackoff workerBackoff
	pausedUntil    time.Time
	health         health
	rack           *rack
	indexedFree    vec // its free capacity as recorded in the index
}

// workerBackoff doubles the pause with each incident and starts short again after
// pauseResetAfter without one.
type workerBackoff struct {
	count  int
	lastAt time.Time
}

// nextPause counts an incident and returns the pause for it.
func (p *workerBackoff) nextPause(now time.Time, first time.Duration) time.Duration {
	if now.Sub(p.lastAt) > pauseResetAfter {
		p.count = 0
	}
	p.lastAt = now
	pause := first << min(p.count, 20)
	p.count++
	return min(pause, maxWorkerPause)
}

// usable reports whether tasks may start on w now.
func (c *Core) usable(w *worker) bool {
	return w.state == WorkerReady && !c.outOfService[w.spec.AZ] &&
		!w.health.quarantined && !c.now.Before(w.pausedUntil)
}

// free returns the capacity of w that is neither used nor reserved.
func (w *worker) free() vec {
	free := w.capacity
	free.sub(&w.used)
	free.sub(&w.reserved)
	free.add(&w.lent)
	return free
}

// reservedCapacityUsable reports whether the capacity reserved on w still exists and
// may be used.
func (c *Core) reservedCapacityUsable(w *worker) bool {
	free := w.free()
	nothing := vec{}
	return c.usable(w) && !w.health.probing && nothing.fits(&free)
}

// updateIndex updates w's entry in the capacity index.
func (c *Core) updateIndex(w *worker) {
	if w.indexPos < 0 {
		return
	}
	if w.reserved != (vec{}) && !c.reservedCapacityUsable(w) {
		c.dropAllocationsOn(w)
	}
	free := noCapacity()
	if c.usable(w) && (!w.health.probing || len(w.attempts) == 0) {
		free = w.free()
	}
	c.capacityIndex.set(w.indexPos, free)
	free.raiseTo(&vec{})
	c.free.sub(&w.indexedFree)
	c.free.add(&free)
	w.indexedFree = free
}

// capacityFreed updates the index and makes the next pass consider the free capacity
// of w.
func (c *Core) capacityFreed(w *worker) {
	c.updateIndex(w)
	if w.indexPos < 0 || !c.usable(w) {
		return
	}
	free := w.free()
	c.capacityGrew = true
	c.maxGrownCapacity.raiseTo(&free)
	c.grownWorkers = append(c.grownWorkers, w)
}

// workerChanged adds a worker or changes its state.
func (c *Core) workerChanged(ev WorkerChanged) {
	w := c.worker(ev.Worker.ID)
	old := w.state
	added := old == "" || w.indexPos < 0
	c.addCapacity(w, -1)
	if ev.Worker.Capacity != w.spec.Capacity || ev.Worker.Connections != w.spec.Connections ||
		ev.Worker.Rack != w.spec.Rack || ev.Worker.AZ != w.spec.AZ {
		added = true
	}
	w.spec = ev.Worker
	w.capacity = newVec(ev.Worker.Capacity, ev.Worker.Connections)
	w.state = ev.State
	c.addCapacity(w, +1)
	if old == WorkerLost && ev.State == WorkerReady {
		c.pauseWorker(w, w.flapBackoff.nextPause(c.now, flapPause))
	}
	if added {
		c.reindex()
	}
	c.recomputeLargest()
	if ev.State == WorkerGone {
		c.expireAttemptsOn(w)
	}
	c.capacityFreed(w)
}

// worker returns the worker with this id. An unknown worker is added without capacity.
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{spec: model.WorkerSpec{ID: id}, indexPos: -1}
		c.workers[id] = w
	}
	return w
}

// addCapacity adds n times w's capacity to the shard's usable capacity.
func (c *Core) addCapacity(w *worker, n int64) {
	if w.state == WorkerReady && !c.outOfService[w.spec.AZ] {
		c.capacity.addScaled(&w.capacity, n)
		c.sharesChanged = true
	}
}

// pauseWorker keeps new tasks off w for the given time.
func (c *Core) pauseWorker(w *worker, pause time.Duration) {
	w.pausedUntil = c.now.Add(pause)
	c.updateIndex(w)
	c.timers.schedule(w.pausedUntil, timerWorker, w, nil, nil)
}

// reindex sorts the workers for packing and rebuilds the capacity index. Workers
// without accelerators come first, so that tasks that need no accelerator leave those
// free.
func (c *Core) reindex() {
	c.indexedWorkers = c.indexedWorkers[:0]
	for _, w := range c.workers {
		w.indexPos, w.rack = -1, nil
		if w.state != "" && (c.presentOrConfigured(w) || len(w.attempts) > 0) {
			c.indexedWorkers = append(c.indexedWorkers, w)
		}
	}
	slices.SortFunc(c.indexedWorkers, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(a.capacity[dimAccelerators], b.capacity[dimAccelerators]),
			cmp.Compare(a.spec.AZ, b.spec.AZ),
			cmp.Compare(a.spec.Rack, b.spec.Rack),
			cmp.Compare(a.spec.ID, b.spec.ID))
	})
	c.capacityIndex = newCapacityIndex(len(c.indexedWorkers))
	c.racks.reset()
	c.free = vec{}
	for i, w := range c.indexedWorkers {
		w.indexPos, w.indexedFree = i, vec{}
		c.racks.add(w)
		c.updateIndex(w)
	}
}

// presentOrConfigured reports whether w is present or may return. Such workers count
// when the core checks whether a job can ever run.
func (c *Core) presentOrConfigured(w *worker) bool {
	return w.state != WorkerGone || c.configured[w.spec.ID]
}

// recomputeLargest recomputes the component-wise maximum capacity of any worker.
func (c *Core) recomputeLargest() {
	c.largest = vec{}
	for _, w := range c.indexedWorkers {
		if c.presentOrConfigured(w) {
			c.largest.raiseTo(&w.capacity)
		}
	}
}

// configChanged applies a configuration.
func (c *Core) configChanged(cfg *config.Config) {
	c.cfg = cfg
	c.outOfService = make(map[string]bool)
	for _, az := range cfg.AZs {
		if !az.InService {
			c.outOfService[az.Name] = true
		}
	}
	c.queues = make(map[string]*config.Queue, len(cfg.Queues))
	for i := range cfg.Queues {
		c.queues[cfg.Queues[i].Name] = &cfg.Queues[i]
	}
	c.configured = make(map[string]bool, len(cfg.Workers))
	for i := range cfg.Workers {
		c.configured[cfg.Workers[i].ID] = true
	}
	c.recomputeLargest()
	c.applyTeams(cfg)
	c.capacity = vec{}
	for _, w := range c.indexedWorkers {
		c.addCapacity(w, +1)
		c.capacityFreed(w)
	}
	c.fullPass = true
}

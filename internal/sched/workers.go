package sched

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// Bounds on how long a worker gets nothing new after it misbehaved.
const (
	refusalPause    = 200 * time.Millisecond
	flapPause       = 2 * time.Second
	maxWorkerPause  = 5 * time.Minute
	pauseForgetting = 10 * time.Minute // without trouble, pauses start short again
)

// worker is one worker of the shard and what runs on it.
type worker struct {
	spec     model.WorkerSpec
	state    WorkerState // empty: known from an adopted task alone
	pos      int         // in the room index
	capacity vec
	used     vec // by attempts that run or may run
	held     vec // for the reserved job
	lent     vec // part of held that other work uses meanwhile
	attempts []*attempt

	flaps       pauser
	refusals    pauser
	pausedUntil time.Time
	health      health
	rack        *rack
	indexed     vec // its free room as the index has it
}

// pauser doubles a pause at each trouble and starts short again when there was
// none for a while.
type pauser struct {
	count int
	last  time.Time
}

// next counts one more trouble and returns how long to pause for it.
func (p *pauser) next(now time.Time, first time.Duration) time.Duration {
	if now.Sub(p.last) > pauseForgetting {
		p.count = 0
	}
	p.last = now
	pause := first << min(p.count, 20)
	p.count++
	return min(pause, maxWorkerPause)
}

// usable reports whether new work may start on w now.
func (c *Core) usable(w *worker) bool {
	return w.state == WorkerReady && !c.outOfService[w.spec.AZ] &&
		!w.health.out && !c.now.Before(w.pausedUntil)
}

// free returns the room that w offers to work without a reservation.
func (w *worker) free() vec {
	free := w.capacity
	free.sub(&w.used)
	free.sub(&w.held)
	free.add(&w.lent)
	return free
}

// keepsHolds reports whether the room held on w is still there and may be used.
func (c *Core) keepsHolds(w *worker) bool {
	free := w.free()
	nothing := vec{}
	return c.usable(w) && !w.health.probing && nothing.fits(&free)
}

// refresh brings the room index up to date with w.
func (c *Core) refresh(w *worker) {
	if w.pos < 0 {
		return
	}
	if w.held != (vec{}) && !c.keepsHolds(w) {
		c.dropHoldsOn(w)
	}
	free := blockedRoom()
	if c.usable(w) && (!w.health.probing || len(w.attempts) == 0) {
		free = w.free()
	}
	c.index.set(w.pos, free)
	free.raiseTo(&vec{})
	c.free.sub(&w.indexed)
	c.free.add(&free)
	w.indexed = free
}

// grew tells the next pass that w offers more room than before.
func (c *Core) grew(w *worker) {
	c.refresh(w)
	if w.pos < 0 || !c.usable(w) {
		return
	}
	free := w.free()
	c.roomGrew = true
	c.roomMax.raiseTo(&free)
	c.grewWorkers = append(c.grewWorkers, w)
}

// workerChanged adds a worker or changes its state.
func (c *Core) workerChanged(ev WorkerChanged) {
	w := c.worker(ev.Worker.ID)
	old := w.state
	added := old == "" || w.pos < 0
	c.countCapacity(w, -1)
	if ev.Worker.Capacity != w.spec.Capacity || ev.Worker.Connections != w.spec.Connections ||
		ev.Worker.Rack != w.spec.Rack || ev.Worker.AZ != w.spec.AZ {
		added = true
	}
	w.spec = ev.Worker
	w.capacity = newVec(ev.Worker.Capacity, ev.Worker.Connections)
	w.state = ev.State
	c.countCapacity(w, +1)
	if old == WorkerLost && ev.State == WorkerReady {
		c.pauseWorker(w, w.flaps.next(c.now, flapPause))
	}
	if added {
		c.reindex()
	}
	c.findLargest()
	if ev.State == WorkerGone {
		c.lapseAll(w)
	}
	c.grew(w)
}

// worker returns the worker of that name; it adds an unknown one without room.
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{spec: model.WorkerSpec{ID: id}, pos: -1}
		c.workers[id] = w
	}
	return w
}

// countCapacity adds w to the shard's usable capacity, or takes it out.
func (c *Core) countCapacity(w *worker, n int64) {
	if w.state == WorkerReady && !c.outOfService[w.spec.AZ] {
		c.capacity.addScaled(&w.capacity, n)
		c.sharesChanged = true
	}
}

// pauseWorker keeps new work off w for a while.
func (c *Core) pauseWorker(w *worker, pause time.Duration) {
	w.pausedUntil = c.now.Add(pause)
	c.refresh(w)
	c.timers.push(w.pausedUntil, timerWorker, w, nil, nil)
}

// reindex orders the workers for packing and rebuilds the room index. Plain
// workers come before those with accelerators, so that tasks without need of
// an accelerator leave those free.
func (c *Core) reindex() {
	c.byPos = c.byPos[:0]
	for _, w := range c.workers {
		w.pos, w.rack = -1, nil
		if w.state != "" && (c.mayReturn(w) || len(w.attempts) > 0) {
			c.byPos = append(c.byPos, w)
		}
	}
	slices.SortFunc(c.byPos, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(a.capacity[dimAccelerators], b.capacity[dimAccelerators]),
			cmp.Compare(a.spec.AZ, b.spec.AZ),
			cmp.Compare(a.spec.Rack, b.spec.Rack),
			cmp.Compare(a.spec.ID, b.spec.ID))
	})
	c.index = newRoomIndex(len(c.byPos))
	c.racks.reset()
	c.free = vec{}
	for i, w := range c.byPos {
		w.pos, w.indexed = i, vec{}
		c.racks.add(w)
		c.refresh(w)
	}
}

// mayReturn reports whether w is there or may come back, as it counts when it
// is checked whether work can ever run.
func (c *Core) mayReturn(w *worker) bool {
	return w.state != WorkerGone || c.configured[w.spec.ID]
}

// findLargest finds the largest amount of each component on any worker.
func (c *Core) findLargest() {
	c.largest = vec{}
	for _, w := range c.byPos {
		if c.mayReturn(w) {
			c.largest.raiseTo(&w.capacity)
		}
	}
}

// configChanged puts a configuration in force.
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
	c.findLargest()
	c.applyTeams(cfg)
	c.capacity = vec{}
	for _, w := range c.byPos {
		c.countCapacity(w, +1)
		c.grew(w)
	}
	c.passAll = true
}

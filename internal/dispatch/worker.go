package dispatch

import (
	"math"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// worker is what the core believes of a worker.
type worker struct {
	info    workload.Worker
	listed  bool // the registry names it
	contact bool // it answered the latest hold under this core's fence
	born    int64
	used    model.Resources
	filled  int64 // thousandths of a core that filling tasks would use
	pacing  pacing
	tasks   map[workload.TaskID]struct{} // that may be running there
	applied int64                        // ends up to this one are taken in
	acked   int64                        // and up to this one are stored
	// leaseOver is when a lease that this worker may hold has surely ended.
	leaseOver time.Time
	backoff   time.Time // nothing starts there before
	silent    time.Time // when an order was last left unanswered
	health
	// stretch is the smoothed ratio of the time that tasks take here to their
	// estimates; 0 before the first report.
	stretch float64
	leaves  time.Time // when a draining worker may leave; zero if that is not known
	hold    *hold     // room that is kept here, as of the latest Schedule
	openIn  *round    // the latest round in which tasks might start here
	place   int       // among the workers of its pool in that round
}

// Judging a worker by the ends of its runs.
const (
	healthHalfLife   = 8 * time.Second // age at which an end counts half
	suspectFailures  = 2.0             // decayed failures from which a worker is suspect
	suspectShare     = 0.5             // share of failures from which it is
	quarantinePeriod = 4 * time.Second // a suspect gets nothing for so long
)

// health is a decayed count of a worker's ends.
type health struct {
	failed, fine float64
	at           time.Time
	quarantine   time.Time
}

// note counts an end and reports whether the worker became suspect by it.
func (h *health) note(failed bool, now time.Time) bool {
	if !h.at.IsZero() {
		decay := math.Exp2(-float64(now.Sub(h.at)) / float64(healthHalfLife))
		h.failed *= decay
		h.fine *= decay
	}
	h.at = now
	if !failed {
		h.fine++
		return false
	}
	h.failed++
	if h.failed < suspectFailures || h.failed < suspectShare*(h.failed+h.fine) {
		return false
	}
	h.quarantine = now.Add(quarantinePeriod)
	return true
}

// ensureWorker returns the worker of that ID, unlisted if it is new.
func (c *Core) ensureWorker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{info: workload.Worker{ID: id}, tasks: map[workload.TaskID]struct{}{}}
		c.workers[id] = w
	}
	return w
}

// dropIfUnused forgets an unlisted worker that nothing runs on.
func (c *Core) dropIfUnused(w *worker) {
	if !w.listed && len(w.tasks) == 0 {
		delete(c.workers, w.info.ID)
		delete(c.unacked, w.info.ID)
		c.touched[w.info.ID] = true
	}
}

// SetWorker takes a change of the registry.
func (c *Core) SetWorker(ch workload.WorkerChange) {
	if ch.Worker == nil {
		if w := c.workers[ch.ID]; w != nil && w.listed {
			w.listed = false
			c.emit("worker left the registry", "worker", ch.ID, "tasks", len(w.tasks))
			c.dropIfUnused(w)
		}
		return
	}
	w := c.ensureWorker(ch.ID)
	if !w.listed {
		c.emit("worker registered", "worker", ch.ID, "az", ch.Worker.AZ, "address", ch.Worker.Address)
	} else if ch.Worker.Draining && !w.info.Draining {
		c.emit("worker drains", "worker", ch.ID, "tasks", len(w.tasks), "remaining", ch.Worker.Remaining)
	}
	news := !w.listed || !ch.Worker.SameRegistration(&w.info)
	w.listed = true
	w.info = *ch.Worker
	if w.born != 0 && ch.Worker.Incarnation != 0 && ch.Worker.Incarnation > w.born {
		c.reborn(w, ch.Worker.Incarnation)
		news = true
	}
	if news { // most changes are signs of life alone
		c.touched[ch.ID] = true
		c.changed = true
	}
}

// reborn takes note that a worker lives anew under its ID. What ran there is gone,
// but a start that was on its way may have reached the new life, which orders
// cannot tell from the old one. So its tasks keep their places until the new
// life's inventory has told, as after any other call.
func (c *Core) reborn(w *worker, born int64) {
	if w.born != 0 {
		c.emit("worker started anew", "worker", w.info.ID, "born", born, "tasks", len(w.tasks))
	}
	w.born, w.applied, w.acked = born, 0, 0
	delete(c.unacked, w.info.ID)
	c.touched[w.info.ID] = true
	w.contact = false
	w.health, w.stretch = health{}, 0
	for id := range w.tasks {
		if _, t := c.find(id); t != nil {
			t.born = born
		}
	}
}

// loseTasks frees the places of a worker's tasks, which surely do not run any
// more.
func (c *Core) loseTasks(w *worker, now time.Time) {
	for id := range w.tasks {
		if s, t := c.find(id); t != nil {
			c.ended(s, id.Index, workload.RunLeaseExpired, "", now)
		}
	}
}

// HandleReplaced takes note that another life answered at the worker's address, so
// this one is over.
func (c *Core) HandleReplaced(id string, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.emit("worker replaced by another life", "worker", id, "lost tasks", len(w.tasks))
	w.contact = false
	w.listed = false
	c.loseTasks(w, now)
	c.dropIfUnused(w)
}

// HandleLostContact takes note that a worker did not answer.
func (c *Core) HandleLostContact(id string) {
	if w := c.workers[id]; w != nil && w.contact {
		w.contact = false
		c.emit("worker out of reach", "worker", id, "tasks", len(w.tasks))
	}
}

// Silence of workers. What is sent to one that is cut off stays there until its
// lease is over, so the first lost answers count.
const (
	// silentBackoff is how long nothing starts on a worker that left an order
	// unanswered, unless it answers a hold meanwhile.
	silentBackoff = 500 * time.Millisecond
	// silentWorkers of one AZ within silentWindow make the whole AZ suspect for
	// silentBackoff. Load pattern: an AZ that is cut off while it looks empty.
	silentWorkers = 4
	silentShare   = 0.4 // of the AZ's workers, at least
	silentWindow  = 400 * time.Millisecond
)

// HandleUnansweredOrder takes note that a worker left an order unanswered.
func (c *Core) HandleUnansweredOrder(id string, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.silent = now
	w.backoff = now.Add(silentBackoff)
	n, all := 0, 0
	for _, other := range c.workers {
		if other.info.AZ == w.info.AZ && other.listed {
			all++
		}
		if other.info.AZ == w.info.AZ && !other.silent.IsZero() && now.Sub(other.silent) < silentWindow {
			n++
		}
	}
	if n >= silentWorkers && float64(n) >= silentShare*float64(all) && now.After(c.suspectAZ[w.info.AZ]) {
		c.suspectAZ[w.info.AZ] = now.Add(silentBackoff)
		c.emit("AZ suspected", "az", w.info.AZ, "silent workers", n, "for", silentBackoff)
	}
}

// ExtendLease takes note of the latest time until which a worker may hold a lease.
func (c *Core) ExtendLease(id string, over time.Time) {
	if w := c.workers[id]; w != nil && over.After(w.leaseOver) {
		w.leaseOver = over
	}
}

// SetLeaseBound sets the end of leases given by earlier holders of the fence.
func (c *Core) SetLeaseBound(over time.Time) {
	for _, w := range c.workers {
		w.leaseOver = over
	}
}

// WorkerView describes a worker to whoever keeps up the connection to it.
type WorkerView struct {
	Worker      workload.Worker
	Tasks       int
	Acked       int64 // ends up to this one are stored
	Incarnation int64 // life of the worker that Acked counts in
}

func (w *worker) link() WorkerView {
	return WorkerView{Worker: w.info, Tasks: len(w.tasks), Acked: w.acked, Incarnation: w.born}
}

// RegisteredWorkers returns the IDs of the workers that the registry names.
func (c *Core) RegisteredWorkers() []string {
	out := make([]string, 0, len(c.workers))
	for id, w := range c.workers {
		if w.listed {
			out = append(out, id)
		}
	}
	return out
}

// TakeChangedWorkers returns the workers whose links may have changed since the last
// call.
func (c *Core) TakeChangedWorkers() []string {
	out := make([]string, 0, len(c.touched))
	for id := range c.touched {
		out = append(out, id)
	}
	clear(c.touched)
	return out
}

// ViewWorker returns one worker's link.
func (c *Core) ViewWorker(id string) (WorkerView, bool) {
	w := c.workers[id]
	if w == nil || w.info.Address == "" {
		return WorkerView{}, false
	}
	return w.link(), true
}

// free returns the capacity that nothing occupies.
func (w *worker) free() model.Resources {
	f := w.info.Capacity.Sub(w.used)
	f.Slots = 0
	return f
}

package dispatch

import (
	"math"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// worker is what the core knows and assumes about a worker.
type worker struct {
	info                 workload.Worker
	registered           bool // listed in the registry
	reachable            bool // answered the latest heartbeat under this core's fence
	lostContact          bool // did not answer the latest heartbeat
	incarnation          int64
	incarnationSeenAt    time.Time // when an inventory first showed the incarnation; zero if only the registry did
	refutedIncarnation   int64     // the latest one that the registry named and the worker itself did not
	used                 model.Resources
	strays               model.Resources // of the stray runs that the latest inventory lists
	bestEffortMilliCores int64           // thousandths of a core that best-effort tasks would use
	throttle             throttle
	tasks                map[workload.TaskID]struct{} // tasks that may be running on it
	appliedSeq           int64                        // ends of runs up to this sequence number are applied
	ackedSeq             int64                        // ends of runs up to this sequence number are stored
	// leasesEnd is the time after which the worker can hold no lease.
	leasesEnd time.Time
	// unreachableSince is when the worker went out of reach, or the takeover if it has not
	// been in reach since.
	unreachableSince time.Time
	suspects         int       // tasks with crashes that may be running on the worker
	isolated         int       // those of them beside which nothing starts
	isolatedIn       string    // pool in which it counts as isolated
	backoffUntil     time.Time // no tasks start on the worker before this time
	unansweredAt     time.Time // when the worker last left an order unanswered
	health
	// slowdown is the smoothed ratio of the time that tasks take on this worker to their
	// estimates; 0 before the first report.
	slowdown      float64
	speed         *workerSpeed // nil before the first observation
	images        []imagePresence
	imagePace     learnedPace      // used while paceOf does not know the worker's pace
	leavesAt      time.Time        // when a draining worker may leave; zero if unknown
	reservation   *reservation     // set by the latest scheduling pass; nil if no capacity is reserved
	amounts       []reservedAmount // reserved for gangs, in order of time
	amountsIn     *schedulingPass  // the pass for which reservedAmount.free is computed
	schedulableIn *schedulingPass  // the latest scheduling pass in which the worker was schedulable
	poolIndex     int              // index in poolState.workers of that pass
}

// Health of a worker, judged by the outcomes of its runs.
const (
	healthHalfLife   = 8 * time.Second // half-life of the weight of an outcome
	suspectFailures  = 2.0             // decayed failures from which a worker is suspected
	suspectShare     = 0.5             // share of failures from which a worker is suspected
	quarantinePeriod = 4 * time.Second // how long a suspected worker gets no tasks
)

// health holds decayed counts of the outcomes of a worker's runs.
type health struct {
	failed, succeeded float64
	updatedAt         time.Time
	quarantineUntil   time.Time
}

// recordOutcome counts the outcome of a run and reports whether it puts the worker into
// quarantine.
func (h *health) recordOutcome(failed bool, now time.Time) bool {
	if !h.updatedAt.IsZero() {
		decay := math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(healthHalfLife))
		h.failed *= decay
		h.succeeded *= decay
	}
	h.updatedAt = now
	if !failed {
		h.succeeded++
		return false
	}
	h.failed++
	if h.failed < suspectFailures || h.failed < suspectShare*(h.failed+h.succeeded) {
		return false
	}
	h.quarantineUntil = now.Add(quarantinePeriod)
	return true
}

// ensureWorker returns the worker with this ID. It adds an unregistered one if there is
// none.
func (c *Core) ensureWorker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{info: workload.Worker{ID: id}, tasks: map[workload.TaskID]struct{}{}, speed: c.speeds.byWorker[id]}
		c.workers[id] = w
	}
	return w
}

// dropIfUnused removes a worker that is not registered, has no tasks and is not awaited.
func (c *Core) dropIfUnused(w *worker) {
	if !w.registered && len(w.tasks) == 0 && !c.awaited(w.info.ID) {
		delete(c.workers, w.info.ID)
		w.schedulableIn = nil
		delete(c.unacked, w.info.ID)
		c.changedWorkers[w.info.ID] = true
	}
}

// registration is what identifies a life of a worker in a registry entry.
type registration struct {
	address     string
	incarnation int64
}

// misdirectedRetry is the time after which an entry at whose address another worker answered
// is tried again.
const misdirectedRetry = 15 * time.Second

// misdirection is an entry at whose address another worker answered.
type misdirection struct {
	registration
	answeredAt time.Time
}

// forgetMisdirections lets entries be tried again after misdirectedRetry.
func (c *Core) forgetMisdirections(now time.Time) {
	for id, m := range c.misdirected {
		if now.Sub(m.answeredAt) >= misdirectedRetry {
			delete(c.misdirected, id)
		}
	}
}

// namesNoWorker reports whether an entry was written by another writer, as shown by the
// worker itself: it answers at another address in the same life, or another worker
// answers at the entry's address.
func (c *Core) namesNoWorker(entry *workload.Worker) bool {
	if m, ok := c.misdirected[entry.ID]; ok && m.registration == (registration{entry.Address, entry.Incarnation}) {
		return true
	}
	w := c.workers[entry.ID]
	return w != nil && w.reachable && w.incarnation != 0 && w.info.Address != entry.Address && !w.restartedAs(entry.Incarnation)
}

// restartedAs reports whether an incarnation that the registry names is a later one than
// the worker's.
func (w *worker) restartedAs(incarnation int64) bool {
	return w.incarnation != 0 && incarnation > w.incarnation && incarnation != w.refutedIncarnation
}

// SetWorker applies a change of the registry.
func (c *Core) SetWorker(ch workload.WorkerChange) {
	if ch.Worker != nil && c.namesNoWorker(ch.Worker) {
		if w := c.workers[ch.ID]; w != nil && w.registered {
			c.emit("registry entry contradicts its worker", "worker", ch.ID, "address", w.info.Address, "entry's address", ch.Worker.Address,
				"born", w.incarnation, "entry's born", ch.Worker.Incarnation)
		}
		ch.Worker = nil
	} else {
		delete(c.misdirected, ch.ID)
	}
	if ch.Worker == nil {
		if w := c.workers[ch.ID]; w != nil && w.registered {
			w.registered = false
			c.emit("worker left the registry", "worker", ch.ID, "tasks", len(w.tasks), "service tasks", c.serviceTasksOn(w))
			c.dropIfUnused(w)
		}
		return
	}
	w := c.ensureWorker(ch.ID)
	if !w.registered {
		c.emit("worker registered", "worker", ch.ID, "az", ch.Worker.AZ, "address", ch.Worker.Address)
	} else if ch.Worker.Draining && !w.info.Draining {
		c.emit("worker drains", "worker", ch.ID, "tasks", len(w.tasks), "service tasks", c.serviceTasksOn(w), "remaining", ch.Worker.Remaining)
	}
	if ch.Worker.Draining && !w.info.Draining {
		c.noteLeaving(w)
	}
	if w.registered && w.info.Capacity != ch.Worker.Capacity {
		c.emit("worker's capacity changed", "worker", ch.ID, "millicores", ch.Worker.Capacity.MilliCores, "before", w.info.Capacity.MilliCores,
			"memory MB", ch.Worker.Capacity.MemoryMB, "memory before", w.info.Capacity.MemoryMB, "used millicores", w.used.MilliCores)
	}
	changed := !w.registered || !ch.Worker.SameRegistration(&w.info)
	w.registered = true
	w.info = *ch.Worker
	if w.isolated > 0 && w.isolatedIn != w.info.Pool { // the pool of a restored worker was not known
		c.isolatedWorkers[w.isolatedIn]--
		w.isolatedIn = w.info.Pool
		c.isolatedWorkers[w.isolatedIn]++
	}
	if w.restartedAs(ch.Worker.Incarnation) {
		c.startIncarnation(w, ch.Worker.Incarnation)
		changed = true
	}
	if changed { // most changes only report that the worker is alive
		c.changedWorkers[ch.ID] = true
		c.needsScheduling = true
	}
}

// startIncarnation handles a restart of the worker under the same ID. The runs of the old
// incarnation have ended, but the new one may have carried out a start that the old one left
// unanswered, or that a coordinator of an older build sent. So the tasks count as possibly
// running until an inventory of the new incarnation shows whether they run.
func (c *Core) startIncarnation(w *worker, incarnation int64) {
	if w.incarnation != 0 {
		c.emit("worker started anew", "worker", w.info.ID, "born", incarnation, "tasks", len(w.tasks))
	}
	w.incarnation, w.incarnationSeenAt, w.appliedSeq, w.ackedSeq = incarnation, time.Time{}, 0, 0
	delete(c.unacked, w.info.ID)
	delete(c.heldAcks, w.info.ID)
	c.changedWorkers[w.info.ID] = true
	w.reachable = false
	w.health, w.slowdown, w.strays = health{}, 0, model.Resources{}
	if w.speed != nil {
		w.speed.newIncarnation(incarnation)
	}
	for id := range w.tasks {
		if _, t := c.findTask(id); t != nil {
			if t.incarnation != 0 && t.incarnation != incarnation {
				t.throttlePercent = fullSpeed // if this incarnation begins the run
				if !t.workerRestarted {
					t.workerRestarted, t.contactUntil = true, w.unreachableSince
				}
			}
			t.incarnation = incarnation
		}
	}
}

// loseTasks removes the tasks of a worker on which they can no longer be running.
func (c *Core) loseTasks(w *worker, evidence crashEvidence, now time.Time) {
	c.loseTasksIf(w, evidence, now, func(*task) bool { return true })
}

// loseTasksIf is loseTasks for some of the tasks.
func (c *Core) loseTasksIf(w *worker, evidence crashEvidence, now time.Time, lost func(*task) bool) {
	for id := range w.tasks {
		if s, t := c.findTask(id); t != nil && lost(t) {
			c.loseRun(w, s, id.Index, evidence, now)
		}
	}
}

// HandleReplaced handles an answer from a worker with another ID at an address of this
// worker: its life at that address has ended. It says nothing about runs that were sent to
// another address, since another writer may have changed the worker's entry.
func (c *Core) HandleReplaced(id, address string, now time.Time) {
	c.settleReplaced(id, address, now)
	w := c.workers[id]
	if w == nil {
		return
	}
	c.misdirected[id] = misdirection{registration{address, w.info.Incarnation}, now}
	ended := func(t *task) bool { return t.address == address }
	elsewhere := ""
	kept := 0
	for id := range w.tasks {
		if _, t := c.findTask(id); t != nil && !ended(t) {
			elsewhere = max(elsewhere, t.address) // empty if it is not known
			kept++
		}
	}
	c.emit("worker replaced by another life", "worker", id, "address", address, "lost tasks", len(w.tasks)-kept, "tasks elsewhere", kept)
	if w.info.Address == address {
		if w.reachable {
			w.reachable, w.unreachableSince = false, now
		}
		w.registered = false
		if kept > 0 {
			w.info.Address = elsewhere
		}
		c.changedWorkers[id] = true
	}
	c.loseTasksIf(w, workerReplaced, now, ended)
	c.dropIfUnused(w)
}

// HandleLostContact handles a worker that did not answer a heartbeat.
func (c *Core) HandleLostContact(id string, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.lostContact = true
	if w.reachable {
		w.reachable, w.unreachableSince = false, now
		c.emit("worker out of reach", "worker", id, "tasks", len(w.tasks), "service tasks", c.serviceTasksOn(w),
			"leases end in", w.leasesEnd.Sub(now))
	}
}

// Detection of unreachable workers. Orders sent to an unreachable worker are blocked
// until its lease ends, so the first unanswered ones already count.
const (
	// silentBackoff is how long no tasks start on a worker that left an order unanswered,
	// unless it answers a heartbeat before.
	silentBackoff = 500 * time.Millisecond
	// minSilentWorkers of one AZ that leave orders unanswered within silentWindow put the
	// whole AZ under suspicion for silentBackoff. Load pattern: an AZ becomes unreachable
	// and its workers appear to have free capacity.
	minSilentWorkers = 4
	minSilentShare   = 0.4 // smallest share of the AZ's workers
	silentWindow     = 400 * time.Millisecond
)

// HandleUnansweredOrder handles an order that a worker left unanswered.
func (c *Core) HandleUnansweredOrder(id string, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.unansweredAt = now
	w.backoffUntil = now.Add(silentBackoff)
	silent, all := 0, 0
	for _, other := range c.workers {
		if other.info.AZ == w.info.AZ && other.registered {
			all++
		}
		if other.info.AZ == w.info.AZ && !other.unansweredAt.IsZero() && now.Sub(other.unansweredAt) < silentWindow {
			silent++
		}
	}
	if silent >= minSilentWorkers && float64(silent) >= minSilentShare*float64(all) && now.After(c.suspectAZ[w.info.AZ]) {
		c.suspectAZ[w.info.AZ] = now.Add(silentBackoff)
		c.emit("AZ suspected", "az", w.info.AZ, "silent workers", silent, "for", silentBackoff)
	}
}

// ExtendLease records that a worker may hold a lease until this time.
func (c *Core) ExtendLease(id string, end time.Time) {
	if w := c.workers[id]; w != nil && end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
}

// SetLeaseBounds sets the end of all leases that earlier holders of the fence may have
// granted: on some workers it is known, on the others it is end. No worker has been in
// reach yet.
func (c *Core) SetLeaseBounds(end time.Time, known map[string]time.Time, now time.Time) {
	earlier := 0
	for id, w := range c.workers {
		w.leasesEnd, w.unreachableSince = end, now
		if bound, ok := known[id]; ok && bound.Before(end) {
			w.leasesEnd = bound
			earlier++
			c.emit("lease bound taken over", "worker", id, "tasks", len(w.tasks), "service tasks", c.serviceTasksOn(w), "ends in", bound.Sub(now))
		}
	}
	c.emit("lease bound of earlier terms", "workers", len(c.workers)-earlier, "ends in", end.Sub(now))
}

// WorkerView is what the connection to a worker needs to know about it.
type WorkerView struct {
	Worker      workload.Worker
	Tasks       int
	ShortTasks  bool  // a task that is expected to take no longer than ShortTask may be running
	Acked       int64 // ends of runs up to this sequence number are stored
	Incarnation int64 // the incarnation of the worker that Acked refers to
}

// ShortTask is the duration up to which a task counts as short.
const ShortTask = time.Second

// viewOf returns the view of a worker.
func (c *Core) viewOf(w *worker) WorkerView {
	v := WorkerView{Worker: w.info, Tasks: len(w.tasks), Acked: w.ackedSeq, Incarnation: w.incarnation}
	for id := range w.tasks {
		if s, _ := c.findTask(id); s != nil && !s.spec.Service && c.expectedDuration(s) <= ShortTask {
			v.ShortTasks = true
			break
		}
	}
	return v
}

// RegisteredWorkers returns the IDs of the workers in the registry.
func (c *Core) RegisteredWorkers() []string {
	out := make([]string, 0, len(c.workers))
	for id, w := range c.workers {
		if w.registered {
			out = append(out, id)
		}
	}
	return out
}

// TakeChangedWorkers returns the workers whose view may have changed since the previous
// call.
func (c *Core) TakeChangedWorkers() []string {
	out := make([]string, 0, len(c.changedWorkers))
	for id := range c.changedWorkers {
		out = append(out, id)
	}
	clear(c.changedWorkers)
	return out
}

// ViewWorker returns the view of a worker. It returns false if the worker or its address
// is unknown.
func (c *Core) ViewWorker(id string) (WorkerView, bool) {
	w := c.workers[id]
	if w == nil || w.info.Address == "" {
		return WorkerView{}, false
	}
	return c.viewOf(w), true
}

// WorkerAddress returns the address of a worker; empty if it is unknown.
func (c *Core) WorkerAddress(id string) string {
	if w := c.workers[id]; w != nil {
		return w.info.Address
	}
	return ""
}

// registrationIsCurrent reports whether the registration is that of the incarnation that
// answers, as far as it names one.
func (w *worker) registrationIsCurrent() bool {
	return w.info.Incarnation == 0 || w.info.Incarnation == w.incarnation
}

// free returns the unused capacity.
func (w *worker) free() model.Resources {
	f := w.info.Capacity.Sub(w.used).Sub(w.strays)
	f.Slots = 0
	return f
}

package sched

import (
	"fmt"
	"time"

	"cuminloft/internal/model"
)

// reservationMinWait is how long a single task has to be pending before capacity is
// reserved for it.
const reservationMinWait = 5 * time.Second

// reservation is capacity reserved for a job that needs more at once than is free. At
// most one exists at a time, so no two gangs can wait for each other's capacity.
type reservation struct {
	job                *job
	allocations        []allocation
	allocated          int  // tasks for which capacity is reserved
	required           int  // tasks that must start together
	lostAllocation     bool // an allocation was lost; all workers are checked again
	createdAt          time.Time
	expiresAt          time.Time
	loans              int // attempts that run in the reserved capacity
	largestUnlent      vec // largest unlent reserved capacity on one worker, updated by lendReservedCapacity
	initiallyAllocated int
}

// allocation is capacity for count tasks on one worker.
type allocation struct {
	worker *worker
	count  int
}

func (r *reservation) explain() string {
	return fmt.Sprintf("room is reserved for %d of %d tasks on %d workers, until %s",
		r.allocated, r.required, len(r.allocations), r.expiresAt.UTC().Format("15:04:05"))
}

// gangReady reports whether all unfinished tasks of a gang may start now. If the gang
// cannot be restarted, its remaining tasks start without those that already run.
func (j *job) gangReady() bool {
	return j.ready > 0 && j.ready == j.unfinished-j.running && (j.running == 0 || !j.restartable())
}

// startGang starts all ready tasks of a gang, or none of them.
func (c *Core) startGang(j *job) blockReason {
	if !j.gangReady() {
		return blockedByGang
	}
	if reason := j.team.checkLimits(&j.size, int64(j.ready)); reason != notBlocked {
		return reason
	}
	if j.reservation != nil {
		return blockedByReservation
	}
	all := vec{}
	all.addScaled(&j.size, int64(j.ready))
	if !c.leavesHeadroom(&all) {
		return blockedByCapacity
	}
	plan := c.planGang(j, j.ready)
	if plan == nil {
		return blockedByCapacity
	}
	c.startPlan(j, plan, "room for the whole gang")
	return notBlocked
}

// planGang finds capacity for count tasks of j. It returns nil if there is not enough.
func (c *Core) planGang(j *job, count int) []allocation {
	plan := c.gangPlan[:0]
	for pos := c.capacityIndex.nextFit(&j.size, 0); pos >= 0 && count > 0; pos = c.capacityIndex.nextFit(&j.size, pos+1) {
		w := c.indexedWorkers[pos]
		if w.health.probing || !c.accepts(w, j) {
			continue
		}
		free := w.free()
		n := free.fitCount(&j.size, count)
		plan = append(plan, allocation{w, n})
		count -= n
	}
	c.gangPlan = plan
	if count > 0 {
		return nil
	}
	return plan
}

func (c *Core) startPlan(j *job, plan []allocation, why string) {
	for _, h := range plan {
		for range h.count {
			c.startTask(j, h.worker, why)
		}
	}
}

// createReservation reserves capacity for a blocked job whose team is the farthest
// below its share: for a gang immediately, for a single task only after smaller tasks
// have taken the capacity that it needs for reservationMinWait.
func (c *Core) createReservation(j *job) {
	if c.reservation != nil || j.spec.Policy == model.PolicyService {
		return
	}
	gang := j.spec.Policy == model.PolicyGang
	if gang && !j.gangReady() || !gang && c.now.Sub(j.waitingSince) < reservationMinWait {
		return
	}
	need := 1
	if j.spec.Policy == model.PolicyGang {
		need = j.ready
	}
	j.reservationTimeout = max(2*j.reservationTimeout, c.cfg.Policy.GangTimeout())
	c.reservation = &reservation{job: j, required: need, createdAt: c.now, expiresAt: c.now.Add(j.reservationTimeout)}
	j.reservation = c.reservation
	c.timers.schedule(c.reservation.expiresAt, timerReservation, nil, j, nil)
	for _, w := range c.indexedWorkers {
		c.reserveOn(w)
	}
	c.reservation.initiallyAllocated = c.reservation.allocated
}

// fillReservation adds newly freed capacity to the reservation and starts the job once
// the reservation is filled.
func (c *Core) fillReservation() {
	r := c.reservation
	if r == nil {
		return
	}
	if r.job.ready < r.required {
		c.releaseReservation(r)
		return
	}
	workers := c.grownWorkers
	if r.lostAllocation {
		workers, r.lostAllocation = c.indexedWorkers, false
	}
	for _, w := range workers {
		c.reserveOn(w)
	}
	if r.allocated < r.required || r.job.team.checkLimits(&r.job.size, int64(r.required)) != notBlocked {
		return
	}
	if r.loans > 0 {
		c.recallLoans(r)
		return
	}
	j, plan := r.job, r.allocations
	c.releaseReservation(r)
	c.startPlan(j, plan, "reserved room is complete")
}

// reserveOn reserves as much of w's free capacity as the reservation still needs.
func (c *Core) reserveOn(w *worker) {
	r := c.reservation
	if r == nil || r.allocated >= r.required || !c.usable(w) || w.health.probing || !c.accepts(w, r.job) {
		return
	}
	free := w.free()
	n := free.fitCount(&r.job.size, r.required-r.allocated)
	all := vec{}
	all.addScaled(&r.job.size, int64(n))
	if n == 0 || !c.leavesHeadroom(&all) {
		return
	}
	r.add(w, n)
	w.reserved.add(&all)
	c.updateIndex(w)
}

func (r *reservation) add(w *worker, n int) {
	r.allocated += n
	for i := range r.allocations {
		if r.allocations[i].worker == w {
			r.allocations[i].count += n
			return
		}
	}
	r.allocations = append(r.allocations, allocation{w, n})
}

// releaseReservation frees the reserved capacity for immediate use.
func (c *Core) releaseReservation(r *reservation) {
	for _, h := range r.allocations {
		c.endLoansOnWorker(h.worker)
		h.worker.reserved.addScaled(&r.job.size, -int64(h.count))
		c.capacityFreed(h.worker)
	}
	r.job.reservation = nil
	c.reservation = nil
}

// releaseReservationOf releases the reservation of j, if there is one.
func (c *Core) releaseReservationOf(j *job) {
	if j.reservation != nil {
		c.releaseReservation(j.reservation)
	}
}

// expireReservation releases a reservation that was not filled in time, so that
// another job can get one. The next reservation for the same job lasts longer.
func (c *Core) expireReservation(j *job) {
	if r := j.reservation; r != nil && !c.now.Before(r.expiresAt) {
		c.releaseReservation(r)
		c.fullPass = true
	}
}

// dropAllocationsOn drops the allocations on a worker on which no task may start.
func (c *Core) dropAllocationsOn(w *worker) {
	r := c.reservation
	if r == nil {
		return
	}
	for i := range r.allocations {
		if r.allocations[i].worker == w {
			r.allocated -= r.allocations[i].count
			r.lostAllocation = true
			r.allocations = append(r.allocations[:i], r.allocations[i+1:]...)
			break
		}
	}
	c.endLoansOnWorker(w)
	w.reserved = vec{}
	c.updateIndex(w)
}

// stopGangTasks stops the other tasks of a gang, so that all its tasks start together
// again.
func (c *Core) stopGangTasks(j *job, reason string) {
	if j.spec.Policy != model.PolicyGang || j.cancelled {
		return
	}
	for i := range j.tasks {
		if a := j.tasks[i].running; a != nil && a.worker.state != WorkerGone {
			c.stopAttempt(a, reason)
		}
	}
}

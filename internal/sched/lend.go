package sched

import (
	"time"

	"cuminloft/internal/model"
)

const (
	// minFillTime is the age at which a reservation's fill rate is used to estimate
	// when it is filled.
	minFillTime = time.Second
	// maxLoansPerPass is the maximum number of tasks started in reserved capacity in
	// one pass.
	maxLoansPerPass = 64
	// maxBorrowersPerLane is the number of jobs of a lane considered as borrowers.
	maxBorrowersPerLane = 4
)

// lendReservedCapacity starts short tasks in the reserved capacity while the
// reservation is not yet filled. Only restartable tasks borrow, and they are stopped
// if they still run when the reservation is filled, so that wrong run time estimates
// cannot delay the job with the reservation. Because of these stops, the number of
// loans stays within the preemption budget.
func (c *Core) lendReservedCapacity() {
	r := c.reservation
	if r == nil || r.allocated >= r.required {
		return
	}
	left := c.preemptions.budgetLeft(c.now, c.cfg.Policy.PreemptionBudget()/2) - r.loans
	r.updateLargestUnlent()
	for range min(left, maxLoansPerPass) {
		j := c.nextBorrower(r)
		if j == nil || !c.lendTo(j, r) {
			return
		}
	}
}

// nextBorrower returns the first job, by share, whose tasks should finish before the
// reservation is filled.
func (c *Core) nextBorrower(r *reservation) *job {
	wait := r.expectedFillTime(c.now)
	var best *job
	for _, t := range c.activeTeams[tierShared] {
		if best != nil && !t.precedes(best.team) {
			continue
		}
		j := t.lanes[laneBatch].head
		for n := 0; j != nil && n < maxBorrowersPerLane; n++ {
			if c.canBorrow(j, r, wait) {
				best = j
				break
			}
			j = j.next
		}
	}
	return best
}

// canBorrow reports whether a task of j may run in reserved capacity for the given
// time.
func (c *Core) canBorrow(j *job, r *reservation, wait time.Duration) bool {
	if j == r.job || j.spec.Policy != model.PolicyBatch || !j.restartable() {
		return false
	}
	runTime, known := j.expectedRunTime()
	return known && runTime <= wait && j.size.fits(&r.largestUnlent) && j.team.checkLimits(&j.size, 1) == notBlocked
}

// expectedFillTime returns how long the reservation will take to fill, extrapolated
// from its fill rate so far.
func (r *reservation) expectedFillTime(now time.Time) time.Duration {
	elapsed := now.Sub(r.createdAt)
	if elapsed < minFillTime {
		return 0
	}
	left := r.expiresAt.Sub(now)
	if filled := r.allocated - r.initiallyAllocated; filled > 0 {
		left = min(left, elapsed*time.Duration(r.required-r.allocated)/time.Duration(filled))
	}
	return left
}

// updateLargestUnlent records the largest unlent reserved capacity on one worker.
func (r *reservation) updateLargestUnlent() {
	r.largestUnlent = vec{}
	for _, h := range r.allocations {
		unlent := h.worker.reserved
		unlent.sub(&h.worker.lent)
		r.largestUnlent.raiseTo(&unlent)
	}
}

// lendTo starts one task of j in reserved capacity.
func (c *Core) lendTo(j *job, r *reservation) bool {
	for _, h := range r.allocations {
		w := h.worker
		unlent := w.reserved
		unlent.sub(&w.lent)
		if !j.size.fits(&unlent) || !c.usable(w) || !c.accepts(w, j) {
			continue
		}
		w.lent.add(&j.size) // before the start, so that the task does not count against the free capacity
		r.loans++
		a := c.startTask(j, w, "short enough for room that is reserved")
		a.borrowed = a.size
		return true
	}
	return false
}

// endLoan records that an attempt no longer runs in reserved capacity.
func (c *Core) endLoan(a *attempt) {
	if a.borrowed == (vec{}) {
		return
	}
	a.worker.lent.sub(&a.borrowed)
	a.borrowed = vec{}
	c.reservation.loans--
}

// endLoansOnWorker converts the loans on w to ordinary attempts, which continue to
// run.
func (c *Core) endLoansOnWorker(w *worker) {
	for _, a := range w.attempts {
		c.endLoan(a)
	}
}

// recallLoans preempts the attempts that still run in the capacity of a filled
// reservation.
func (c *Core) recallLoans(r *reservation) {
	for _, h := range r.allocations {
		for _, a := range h.worker.attempts {
			if a.borrowed != (vec{}) && !a.stopping {
				c.preemptAttempt(a, true, "the reservation in whose room it ran is complete")
			}
		}
	}
}

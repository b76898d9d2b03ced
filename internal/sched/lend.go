package sched

import (
	"time"

	"cuminloft/internal/model"
)

const (
	// minLendTime is how long a reservation lasts before its rate of filling is
	// trusted.
	minLendTime = time.Second
	// lendBatch is how many tasks are started in held room at once, at most.
	lendBatch = 64
	// lendDepth is how many jobs of a lane are looked at for it.
	lendDepth = 4
)

// lend starts short work in the room that is held for a reservation, while the
// rest of it is still awaited. Only work that can be started again is lent
// room, and it is stopped if it still runs when the reservation is complete,
// so that wrong run times cannot delay the reserved job. What is lent out
// stays within the preemption budget for that reason.
func (c *Core) lend() {
	r := c.reserved
	if r == nil || r.held >= r.need {
		return
	}
	left := c.preempts.left(c.now, c.cfg.Policy.PreemptionBudget()/2) - r.lent
	r.boundHeld()
	for range min(left, lendBatch) {
		j := c.lendable(r)
		if j == nil || !c.lendTo(j, r) {
			return
		}
	}
}

// lendable returns the first job, by share, whose tasks should be over before
// the reservation is complete.
func (c *Core) lendable(r *reservation) *job {
	wait := r.expectedWait(c.now)
	var best *job
	for _, t := range c.active[tierShared] {
		if best != nil && !t.before(best.team) {
			continue
		}
		j := t.lanes[laneWork].head
		for n := 0; j != nil && n < lendDepth; n++ {
			if c.mayBorrow(j, r, wait) {
				best = j
				break
			}
			j = j.next
		}
	}
	return best
}

// mayBorrow reports whether a task of j may run in held room for that long.
func (c *Core) mayBorrow(j *job, r *reservation, wait time.Duration) bool {
	if j == r.job || j.spec.Policy != model.PolicyBatch || !j.restartable() {
		return false
	}
	runTime, known := j.expectedRunTime()
	return known && runTime <= wait && j.size.fits(&r.largest) && j.team.mayRun(&j.size, 1) == notBlocked
}

// expectedWait returns how long the reservation will take to fill at the rate
// at which it filled so far.
func (r *reservation) expectedWait(now time.Time) time.Duration {
	elapsed := now.Sub(r.since)
	if elapsed < minLendTime {
		return 0
	}
	left := r.until.Sub(now)
	if filled := r.held - r.heldAtFirst; filled > 0 {
		left = min(left, elapsed*time.Duration(r.need-r.held)/time.Duration(filled))
	}
	return left
}

// boundHeld notes the largest room that is held on one worker and not lent.
func (r *reservation) boundHeld() {
	r.largest = vec{}
	for _, h := range r.holds {
		room := h.worker.held
		room.sub(&h.worker.lent)
		r.largest.raiseTo(&room)
	}
}

// lendTo starts one task of j in held room.
func (c *Core) lendTo(j *job, r *reservation) bool {
	for _, h := range r.holds {
		w := h.worker
		room := w.held
		room.sub(&w.lent)
		if !j.size.fits(&room) || !c.usable(w) || !c.accepts(w, j) {
			continue
		}
		w.lent.add(&j.size) // before the start, lest it seem to take free room
		r.lent++
		a := c.begin(j, w, "short enough for room that is reserved")
		a.lent = a.size
		return true
	}
	return false
}

// endLoan notes that an attempt no longer runs in held room.
func (c *Core) endLoan(a *attempt) {
	if a.lent == (vec{}) {
		return
	}
	a.worker.lent.sub(&a.lent)
	a.lent = vec{}
	c.reserved.lent--
}

// endLoansOn lets what runs in held room of w run on as any other work.
func (c *Core) endLoansOn(w *worker) {
	for _, a := range w.attempts {
		c.endLoan(a)
	}
}

// recall stops what still runs in held room of a reservation that is complete.
func (c *Core) recall(r *reservation) {
	for _, h := range r.holds {
		for _, a := range h.worker.attempts {
			if a.lent != (vec{}) && !a.stopping {
				c.preempt(a, true, "the reservation in whose room it ran is complete")
			}
		}
	}
}

package sched

import (
	"fmt"
	"time"

	"cuminloft/internal/model"
)

// reservationAge is how long a single task has to wait before room is
// reserved for it.
const reservationAge = 5 * time.Second

// reservation keeps room free for a job that needs more at once than is free.
// There is one at a time, so no two gangs can wait for each other's room.
type reservation struct {
	job         *job
	holds       []hold
	held        int  // tasks for which room is held
	need        int  // tasks that have to start together
	moved       bool // a hold was lost; look at all workers again
	since       time.Time
	until       time.Time
	lent        int // attempts that run in the held room
	largest     vec // held on one worker and not lent, as last seen
	heldAtFirst int
}

// hold is room for count tasks on one worker.
type hold struct {
	worker *worker
	count  int
}

func (r *reservation) explain() string {
	return fmt.Sprintf("room is reserved for %d of %d tasks on %d workers, until %s",
		r.held, r.need, len(r.holds), r.until.UTC().Format("15:04:05"))
}

// gangReady reports whether all tasks of a gang that are not over may start
// now. The tasks of a gang that cannot be restarted start without those that run.
func (j *job) gangReady() bool {
	return j.ready > 0 && j.ready == j.unsettled-j.running && (j.running == 0 || !j.restartable())
}

// startGang starts all ready tasks of a gang, or none.
func (c *Core) startGang(j *job) blockReason {
	if !j.gangReady() {
		return blockedByGang
	}
	if reason := j.team.mayRun(&j.size, int64(j.ready)); reason != notBlocked {
		return reason
	}
	if j.reserved != nil {
		return blockedByReservation
	}
	all := vec{}
	all.addScaled(&j.size, int64(j.ready))
	if !c.leavesHeadroom(&all) {
		return blockedByRoom
	}
	plan := c.planGang(j, j.ready)
	if plan == nil {
		return blockedByRoom
	}
	c.beginGang(j, plan, "room for the whole gang")
	return notBlocked
}

// planGang finds room for count tasks of j. It returns nil if there is none.
func (c *Core) planGang(j *job, count int) []hold {
	plan := c.plan[:0]
	for pos := c.index.next(&j.size, 0); pos >= 0 && count > 0; pos = c.index.next(&j.size, pos+1) {
		w := c.byPos[pos]
		if w.health.probing || !c.accepts(w, j) {
			continue
		}
		free := w.free()
		n := free.times(&j.size, count)
		plan = append(plan, hold{w, n})
		count -= n
	}
	c.plan = plan
	if count > 0 {
		return nil
	}
	return plan
}

func (c *Core) beginGang(j *job, plan []hold, why string) {
	for _, h := range plan {
		for range h.count {
			c.begin(j, h.worker, why)
		}
	}
}

// reserve keeps room for a blocked job whose team is the farthest below its
// share of all that wait: for a gang at once, for a single task when smaller
// work has taken the room that it waits for long enough.
func (c *Core) reserve(j *job) {
	if c.reserved != nil || j.spec.Policy == model.PolicyService {
		return
	}
	gang := j.spec.Policy == model.PolicyGang
	if gang && !j.gangReady() || !gang && c.now.Sub(j.waits) < reservationAge {
		return
	}
	need := 1
	if j.spec.Policy == model.PolicyGang {
		need = j.ready
	}
	j.gangWait = max(2*j.gangWait, c.cfg.Policy.GangTimeout())
	c.reserved = &reservation{job: j, need: need, since: c.now, until: c.now.Add(j.gangWait)}
	j.reserved = c.reserved
	c.timers.push(c.reserved.until, timerReservation, nil, j, nil)
	for _, w := range c.byPos {
		c.holdOn(w)
	}
	c.reserved.heldAtFirst = c.reserved.held
}

// topUpReservation adds the room that became free to the reservation and
// starts the job once there is enough.
func (c *Core) topUpReservation() {
	r := c.reserved
	if r == nil {
		return
	}
	if r.job.ready < r.need {
		c.release(r)
		return
	}
	grew := c.grewWorkers
	if r.moved {
		grew, r.moved = c.byPos, false
	}
	for _, w := range grew {
		c.holdOn(w)
	}
	if r.held < r.need || r.job.team.mayRun(&r.job.size, int64(r.need)) != notBlocked {
		return
	}
	if r.lent > 0 {
		c.recall(r)
		return
	}
	j, plan := r.job, r.holds
	c.release(r)
	c.beginGang(j, plan, "reserved room is complete")
}

// holdOn holds as much of w's free room for the reservation as it needs.
func (c *Core) holdOn(w *worker) {
	r := c.reserved
	if r == nil || r.held >= r.need || !c.usable(w) || w.health.probing || !c.accepts(w, r.job) {
		return
	}
	free := w.free()
	n := free.times(&r.job.size, r.need-r.held)
	all := vec{}
	all.addScaled(&r.job.size, int64(n))
	if n == 0 || !c.leavesHeadroom(&all) {
		return
	}
	r.add(w, n)
	w.held.add(&all)
	c.refresh(w)
}

func (r *reservation) add(w *worker, n int) {
	r.held += n
	for i := range r.holds {
		if r.holds[i].worker == w {
			r.holds[i].count += n
			return
		}
	}
	r.holds = append(r.holds, hold{w, n})
}

// release gives the held room back, to be used at once.
func (c *Core) release(r *reservation) {
	for _, h := range r.holds {
		c.endLoansOn(h.worker)
		h.worker.held.addScaled(&r.job.size, -int64(h.count))
		c.grew(h.worker)
	}
	r.job.reserved = nil
	c.reserved = nil
}

// dropReservation gives up what is reserved for j, if anything.
func (c *Core) dropReservation(j *job) {
	if j.reserved != nil {
		c.release(j.reserved)
	}
}

// reservationOver gives up a reservation that was not filled in time, so that
// another job can have its turn. The next one for the same job lasts longer.
func (c *Core) reservationOver(j *job) {
	if r := j.reserved; r != nil && !c.now.Before(r.until) {
		c.release(r)
		c.passAll = true
	}
}

// dropHoldsOn gives up the holds on a worker that gets nothing new.
func (c *Core) dropHoldsOn(w *worker) {
	r := c.reserved
	if r == nil {
		return
	}
	for i := range r.holds {
		if r.holds[i].worker == w {
			r.held -= r.holds[i].count
			r.moved = true
			r.holds = append(r.holds[:i], r.holds[i+1:]...)
			break
		}
	}
	c.endLoansOn(w)
	w.held = vec{}
	c.refresh(w)
}

// stopGang stops the other tasks of a gang, so that it starts again as a whole.
func (c *Core) stopGang(j *job, reason string) {
	if j.spec.Policy != model.PolicyGang || j.cancelled {
		return
	}
	for i := range j.tasks {
		if a := j.tasks[i].running; a != nil && a.worker.state != WorkerGone {
			c.stop(a, reason)
		}
	}
}

package sched

import (
	"math"
	"time"

	"cuminloft/internal/model"
)

// How long each step of preemption is given before the next one. Urgent
// requests have to start within 1.4 s.
const (
	urgentStepTime = 300 * time.Millisecond
	sharesStepTime = 2 * time.Second
	// helpPause is how often at most a blocked job is helped.
	helpPause = 100 * time.Millisecond
	// reclaimBatch is for how many urgent requests room is reclaimed at once, and
	// reclaimPause how long the others wait for it.
	reclaimBatch = 4
	reclaimPause = 5 * time.Millisecond
	// searchPause is how often at most victims are looked for in vain.
	searchPause = 50 * time.Millisecond
	// shareTolerance is up to what difference two weighted shares are equal.
	shareTolerance = 1e-9
)

// preempts bounds preemption.
type preempts struct {
	times   []time.Time // of the last minute, oldest first
	urgent  int         // attempts that are stopping for urgent requests
	shares  int         // attempts that are stopping for shares
	retryAt time.Time   // no search for victims before
}

func (p *preempts) ended(a *attempt) {
	switch {
	case !a.counted:
	case a.urgent:
		p.urgent--
	default:
		p.shares--
	}
}

// left returns how many preemptions the budget still allows in this minute.
func (p *preempts) left(now time.Time, budget int) int {
	n := 0
	for n < len(p.times) && now.Sub(p.times[n]) >= time.Minute {
		n++
	}
	p.times = p.times[n:]
	return budget - len(p.times)
}

// stop stops an attempt at once: its job was cancelled or its gang broke.
func (c *Core) stop(a *attempt, reason string) {
	if a.stopping && a.step == PreemptStop {
		return
	}
	a.stopping, a.step = true, PreemptStop
	c.decide(PreemptTask{Task: a.id(), Attempt: a.number, Worker: a.worker.spec.ID, Step: PreemptStop, Reason: reason})
}

// preempt begins to take room back from an attempt.
func (c *Core) preempt(a *attempt, urgent bool, reason string) {
	c.preempts.times = append(c.preempts.times, c.now)
	a.stopping, a.counted, a.urgent = true, true, urgent
	if urgent {
		c.preempts.urgent++
	} else {
		c.preempts.shares++
	}
	a.reason = reason
	c.step(a, PreemptCheckpoint)
}

func (c *Core) step(a *attempt, step PreemptStep) {
	a.step = step
	pause := sharesStepTime
	if a.urgent {
		pause = urgentStepTime
	}
	if step != PreemptStop {
		c.timers.push(c.now.Add(pause), timerPreempt, nil, nil, a)
	}
	c.decide(PreemptTask{Task: a.id(), Attempt: a.number, Worker: a.worker.spec.ID, Step: step, Reason: a.reason})
}

// escalate takes the next step with an attempt that still runs.
func (c *Core) escalate(a *attempt) {
	if a.job.tasks[a.index].running != a {
		return
	}
	switch a.step {
	case PreemptCheckpoint:
		c.step(a, PreemptThrottle)
	case PreemptThrottle:
		c.step(a, PreemptStop)
	case PreemptStop:
	}
}

// reclaimUrgent makes room for urgent requests that no worker can take.
func (c *Core) reclaimUrgent() {
	waiting := 0
	var first *job
	for _, t := range c.active[tierUrgent] {
		waiting += t.pending[laneUrgent]
		j := t.lanes[laneUrgent].head
		if t.mayRun(&j.size, 1) == notBlocked && (first == nil || j.waits.Before(first.waits)) {
			first = j
		}
	}
	if first == nil || c.preempts.urgent >= waiting {
		return
	}
	for range min(waiting-c.preempts.urgent, reclaimBatch) {
		if !c.reclaim(first, true) {
			return
		}
	}
	c.timers.push(c.now.Add(reclaimPause), timerPass, nil, nil, nil)
}

// helpStarved reserves or reclaims room for the blocked job that is farthest
// below its share, at most once in each helpPause.
func (c *Core) helpStarved() {
	if len(c.active[tierShared]) == 0 {
		return
	}
	if c.now.Before(c.helpAt) {
		c.wakeToHelp()
		return
	}
	c.helpAt = c.now.Add(helpPause)
	if j := c.starved(); j != nil {
		c.reserve(j)
		c.reclaimShares(j)
	}
	c.lend()
	c.wakeToHelp()
}

// wakeToHelp has the next pass run at helpAt.
func (c *Core) wakeToHelp() {
	if !c.helpArmed {
		c.helpArmed = true
		c.timers.push(c.helpAt, timerHelp, nil, nil, nil)
	}
}

// starved returns the first job of the team farthest below its share among
// those that wait for room alone.
func (c *Core) starved() *job {
	var best *job
	for _, t := range c.active[tierShared] {
		if best != nil && !t.before(best.team) {
			continue
		}
		j := t.firstShared()
		if j.reserved == nil && t.mayRun(&j.size, j.atOnce()) == notBlocked {
			best = j
		}
	}
	return best
}

// firstShared returns the job that is next among those that are not direct.
func (t *team) firstShared() *job {
	for l := laneService; l < lanes; l++ {
		if j := t.lanes[l].head; j != nil {
			return j
		}
	}
	return nil
}

// atOnce returns how many tasks of j have to start together.
func (j *job) atOnce() int64 {
	if j.spec.Policy == model.PolicyGang {
		return int64(j.ready)
	}
	return 1
}

// reclaimShares makes room for a job at the cost of teams that are ahead of
// its share. At most half of the budget goes to this.
func (c *Core) reclaimShares(j *job) {
	if j.spec.Policy == model.PolicyGang || c.preempts.shares >= j.ready {
		return
	}
	if c.preempts.left(c.now, c.cfg.Policy.PreemptionBudget()/2) > 0 {
		c.reclaim(j, false)
	}
}

// reclaim preempts the victims on the one worker where the least work is lost.
func (c *Core) reclaim(j *job, urgent bool) bool {
	if c.now.Before(c.preempts.retryAt) {
		return false
	}
	left := c.preempts.left(c.now, c.cfg.Policy.PreemptionBudget())
	victims := c.cheapestVictims(j, urgent, left)
	if victims == nil {
		c.preempts.retryAt = c.now.Add(searchPause)
		c.timers.push(c.preempts.retryAt, timerPass, nil, nil, nil)
		return false
	}
	reason := "room for a team below its share"
	if urgent {
		reason = "room for an urgent request"
	}
	for _, a := range victims {
		c.preempt(a, urgent, reason)
	}
	return true
}

// cheapestVictims returns the attempts of one worker whose end makes room for
// a task of j and which have run for the shortest time, or nil.
func (c *Core) cheapestVictims(j *job, urgent bool, bound int) []*attempt {
	var best *worker
	bestCost := time.Duration(math.MaxInt64)
	for _, w := range c.byPos {
		if !c.usable(w) || w.health.probing || !j.size.fits(&w.capacity) || !c.accepts(w, j) {
			continue
		}
		if cost, ok := c.victimsOn(w, j, urgent, bound); ok && cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if best == nil {
		return nil
	}
	c.victimsOn(best, j, urgent, bound)
	return c.victims
}

// victimsOn puts the youngest attempts on w that make enough room together in
// c.victims, and returns how much work their end costs.
func (c *Core) victimsOn(w *worker, j *job, urgent bool, bound int) (cost time.Duration, ok bool) {
	free := w.free()
	c.victims = c.victims[:0]
	for i := len(w.attempts) - 1; i >= 0 && len(c.victims) < bound; i-- {
		a := w.attempts[i]
		if !c.mayPreempt(a, j, urgent) {
			continue
		}
		c.victims = append(c.victims, a)
		cost += c.now.Sub(a.started) + time.Second
		free.add(&a.size)
		if j.size.fits(&free) {
			return cost, true
		}
	}
	return 0, false
}

// relieve takes the youngest work that may be taken from a worker whose tasks
// were measured to use more than it has.
func (c *Core) relieve(w *worker) {
	free := w.free()
	nothing := vec{}
	for i := len(w.attempts) - 1; i >= 0 && !nothing.fits(&free); i-- {
		a := w.attempts[i]
		if a.stopping {
			free.add(&a.size)
			continue
		}
		if c.preempts.left(c.now, c.cfg.Policy.PreemptionBudget()/2) <= 0 || !a.preemptible() {
			continue
		}
		c.preempt(a, false, "the worker's tasks use more than it has")
		free.add(&a.size)
	}
}

// preemptible reports whether a may be stopped and started again.
func (a *attempt) preemptible() bool {
	return !a.stopping && a.confirmed && a.job.restartable() && a.job.spec.Policy != model.PolicyGang
}

// mayPreempt reports whether a may be stopped for j: only work that can be
// started again, and for shares only of teams that stay ahead of j's.
func (c *Core) mayPreempt(a *attempt, j *job, urgent bool) bool {
	return a.preemptible() && (urgent || c.aheadAfter(a, j))
}

// aheadAfter reports whether a's team would still not be behind j's team after
// the room of a has gone from one to the other.
func (c *Core) aheadAfter(a *attempt, j *job) bool {
	v, t := a.job.team, j.team
	if v == t {
		return false
	}
	gives, takes := a.size.dominant(&c.total), j.size.dominant(&c.total)
	if v.org != t.org {
		return v.org.key-gives/v.org.weight >= t.org.key+takes/t.org.weight-shareTolerance
	}
	return v.key-gives/v.weight >= t.key+takes/t.weight-shareTolerance
}

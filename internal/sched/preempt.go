package sched

import (
	"math"
	"time"

	"cuminloft/internal/model"
)

// Time between the steps of a preemption. Urgent requests must start within 1.4 s.
const (
	urgentStepTime = 300 * time.Millisecond
	sharesStepTime = 2 * time.Second
	// helpInterval is the minimum interval between two attempts to help a blocked job.
	helpInterval = 100 * time.Millisecond
	// maxReclaimsPerPass is the number of urgent requests for which capacity is
	// reclaimed in one pass. reclaimInterval is the delay before the next such pass.
	maxReclaimsPerPass = 4
	reclaimInterval    = 5 * time.Millisecond
	// victimSearchInterval is the delay after a search that found no victims.
	victimSearchInterval = 50 * time.Millisecond
	// shareTolerance is the difference up to which two weighted shares count as equal.
	shareTolerance = 1e-9
)

// preemptionState tracks recent preemptions to enforce the budget.
type preemptionState struct {
	times        []time.Time // preemptions of the last minute, oldest first
	forUrgent    int         // attempts being preempted for urgent requests
	forShares    int         // attempts being preempted for shares
	nextSearchAt time.Time   // no search for victims before this time
}

func (p *preemptionState) attemptEnded(a *attempt) {
	switch {
	case !a.countsAgainstBudget:
	case a.urgent:
		p.forUrgent--
	default:
		p.forShares--
	}
}

// budgetLeft returns the number of preemptions that the budget still allows in this
// minute.
func (p *preemptionState) budgetLeft(now time.Time, budget int) int {
	n := 0
	for n < len(p.times) && now.Sub(p.times[n]) >= time.Minute {
		n++
	}
	p.times = p.times[n:]
	return budget - len(p.times)
}

// stopAttempt stops an attempt without the milder steps: its job was withdrawn or its
// gang stops.
func (c *Core) stopAttempt(a *attempt, reason string) {
	if a.stopping && a.preemptStep == PreemptStop {
		return
	}
	a.stopping, a.preemptStep = true, PreemptStop
	c.emit(PreemptTask{Task: a.id(), Attempt: a.number, Worker: a.worker.spec.ID, Step: PreemptStop, Reason: reason})
}

// preemptAttempt starts the preemption of an attempt.
func (c *Core) preemptAttempt(a *attempt, urgent bool, reason string) {
	c.preemptions.times = append(c.preemptions.times, c.now)
	a.stopping, a.countsAgainstBudget, a.urgent = true, true, urgent
	if urgent {
		c.preemptions.forUrgent++
	} else {
		c.preemptions.forShares++
	}
	a.preemptReason = reason
	c.takePreemptStep(a, PreemptCheckpoint)
}

func (c *Core) takePreemptStep(a *attempt, step PreemptStep) {
	a.preemptStep = step
	pause := sharesStepTime
	if a.urgent {
		pause = urgentStepTime
	}
	if step != PreemptStop {
		c.timers.schedule(c.now.Add(pause), timerPreempt, nil, nil, a)
	}
	c.emit(PreemptTask{Task: a.id(), Attempt: a.number, Worker: a.worker.spec.ID, Step: step, Reason: a.preemptReason})
}

// escalatePreemption takes the next preemption step if the attempt still runs.
func (c *Core) escalatePreemption(a *attempt) {
	if a.job.tasks[a.index].running != a {
		return
	}
	switch a.preemptStep {
	case PreemptCheckpoint:
		c.takePreemptStep(a, PreemptThrottle)
	case PreemptThrottle:
		c.takePreemptStep(a, PreemptStop)
	case PreemptStop:
	}
}

// reclaimUrgent preempts attempts to free capacity for urgent requests that fit on no
// worker.
func (c *Core) reclaimUrgent() {
	waiting := 0
	var first *job
	for _, t := range c.activeTeams[tierUrgent] {
		waiting += t.pending[laneUrgent]
		j := t.lanes[laneUrgent].head
		if t.checkLimits(&j.size, 1) == notBlocked && (first == nil || j.waitingSince.Before(first.waitingSince)) {
			first = j
		}
	}
	if first == nil || c.preemptions.forUrgent >= waiting {
		return
	}
	for range min(waiting-c.preemptions.forUrgent, maxReclaimsPerPass) {
		if !c.reclaim(first, true) {
			return
		}
	}
	c.timers.schedule(c.now.Add(reclaimInterval), timerPass, nil, nil, nil)
}

// helpStarvedJob reserves or reclaims capacity for the blocked job that is farthest
// below its share, at most once per helpInterval.
func (c *Core) helpStarvedJob() {
	if len(c.activeTeams[tierShared]) == 0 {
		return
	}
	if c.now.Before(c.nextHelpAt) {
		c.scheduleHelp()
		return
	}
	c.nextHelpAt = c.now.Add(helpInterval)
	if j := c.mostStarvedJob(); j != nil {
		c.createReservation(j)
		c.reclaimForShare(j)
	}
	c.lendReservedCapacity()
	c.scheduleHelp()
}

// scheduleHelp schedules a pass at nextHelpAt.
func (c *Core) scheduleHelp() {
	if !c.helpTimerSet {
		c.helpTimerSet = true
		c.timers.schedule(c.nextHelpAt, timerHelp, nil, nil, nil)
	}
}

// mostStarvedJob returns the first job of the team farthest below its share, among the
// jobs blocked only by capacity.
func (c *Core) mostStarvedJob() *job {
	var best *job
	for _, t := range c.activeTeams[tierShared] {
		if best != nil && !t.precedes(best.team) {
			continue
		}
		j := t.firstSharedJob()
		if j.reservation == nil && t.checkLimits(&j.size, j.tasksPerStart()) == notBlocked {
			best = j
		}
	}
	return best
}

// firstSharedJob returns the team's next job that is not a direct request.
func (t *team) firstSharedJob() *job {
	for l := laneService; l < lanes; l++ {
		if j := t.lanes[l].head; j != nil {
			return j
		}
	}
	return nil
}

// tasksPerStart returns how many tasks of j must start together.
func (j *job) tasksPerStart() int64 {
	if j.spec.Policy == model.PolicyGang {
		return int64(j.ready)
	}
	return 1
}

// reclaimForShare preempts attempts of teams above their share to free capacity for j.
// At most half of the budget is used for this.
func (c *Core) reclaimForShare(j *job) {
	if j.spec.Policy == model.PolicyGang || c.preemptions.forShares >= j.ready {
		return
	}
	if c.preemptions.budgetLeft(c.now, c.cfg.Policy.PreemptionBudget()/2) > 0 {
		c.reclaim(j, false)
	}
}

// reclaim preempts victims on the one worker where the least work is lost.
func (c *Core) reclaim(j *job, urgent bool) bool {
	if c.now.Before(c.preemptions.nextSearchAt) {
		return false
	}
	left := c.preemptions.budgetLeft(c.now, c.cfg.Policy.PreemptionBudget())
	victims := c.cheapestVictims(j, urgent, left)
	if victims == nil {
		c.preemptions.nextSearchAt = c.now.Add(victimSearchInterval)
		c.timers.schedule(c.preemptions.nextSearchAt, timerPass, nil, nil, nil)
		return false
	}
	reason := "room for a team below its share"
	if urgent {
		reason = "room for an urgent request"
	}
	for _, a := range victims {
		c.preemptAttempt(a, urgent, reason)
	}
	return true
}

// cheapestVictims returns the attempts of one worker that free capacity for a task of
// j and have run for the shortest time, or nil.
func (c *Core) cheapestVictims(j *job, urgent bool, bound int) []*attempt {
	var best *worker
	bestCost := time.Duration(math.MaxInt64)
	for _, w := range c.indexedWorkers {
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

// victimsOn sets c.victims to the youngest attempts on w that together free enough
// capacity, and returns the cost: the run time that is lost and a second per attempt.
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

// relieveOvercommitted preempts the youngest preemptible attempts on a worker whose
// measured usage exceeds its capacity.
func (c *Core) relieveOvercommitted(w *worker) {
	free := w.free()
	nothing := vec{}
	for i := len(w.attempts) - 1; i >= 0 && !nothing.fits(&free); i-- {
		a := w.attempts[i]
		if a.stopping {
			free.add(&a.size)
			continue
		}
		if c.preemptions.budgetLeft(c.now, c.cfg.Policy.PreemptionBudget()/2) <= 0 || !a.preemptible() {
			continue
		}
		c.preemptAttempt(a, false, "the worker's tasks use more than it has")
		free.add(&a.size)
	}
}

// preemptible reports whether a may be stopped and restarted.
func (a *attempt) preemptible() bool {
	return !a.stopping && a.confirmed && a.job.restartable() && a.job.spec.Policy != model.PolicyGang
}

// mayPreempt reports whether a may be preempted for j. Only restartable tasks may be,
// and for shares only those of teams that stay above j's.
func (c *Core) mayPreempt(a *attempt, j *job, urgent bool) bool {
	return a.preemptible() && (urgent || c.aheadAfter(a, j))
}

// aheadAfter reports whether a's team would still not be below j's team after the
// capacity of a has moved from one to the other.
func (c *Core) aheadAfter(a *attempt, j *job) bool {
	v, t := a.job.team, j.team
	if v == t {
		return false
	}
	gives, takes := a.size.dominantShare(&c.fleetCapacity), j.size.dominantShare(&c.fleetCapacity)
	if v.org != t.org {
		return v.org.weightedShare-gives/v.org.weight >= t.org.weightedShare+takes/t.org.weight-shareTolerance
	}
	return v.weightedShare-gives/v.weight >= t.weightedShare+takes/t.weight-shareTolerance
}

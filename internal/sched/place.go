package sched

import (
	"slices"

	"cuminloft/internal/model"
)

// tier groups lanes: all lanes of a tier are served before any lane of the next tier.
type tier int

const (
	tierUrgent tier = iota // urgent direct requests
	tierDirect             // other direct requests
	tierShared             // services, batch and gangs
	tiers
)

func (l lane) tier() tier { return min(tier(l), tierShared) }

const (
	// maxCandidates is the number of workers with enough free capacity that are
	// compared to find the tightest fit.
	maxCandidates = 4
	// maxExactBoundWorkers is the number of grown workers up to which the capacity
	// bound is recomputed exactly after each start.
	maxExactBoundWorkers = 8
	// backfillDepth is the number of jobs tried per lane, including those behind a
	// blocked one.
	backfillDepth = 16
)

// runPass starts all tasks that can start. Jobs that were blocked before are retried
// only if enough capacity may have been freed for them.
func (c *Core) runPass() {
	if !c.fullPass && !c.capacityGrew && !c.helpDue && len(c.dirtyTeams) == 0 {
		return
	}
	if c.sharesChanged {
		c.recomputeShares()
	}
	c.passNumber++
	c.direct.decayPeak(c.now)
	c.placeTier(tierUrgent)
	c.reclaimUrgent()
	c.placeTier(tierDirect)
	c.observeDirectDemand()
	c.fillReservation()
	c.placeTier(tierShared)
	c.helpStarvedJob()
	c.endPass()
}

// endPass resets the state of the pass.
func (c *Core) endPass() {
	for _, t := range c.dirtyTeams {
		t.dirty = false
	}
	c.dirtyTeams = c.dirtyTeams[:0]
	c.grownWorkers = c.grownWorkers[:0]
	c.fullPass, c.capacityGrew, c.helpDue = false, false, false
	c.maxGrownCapacity = noCapacity()
}

// updateActive adds t to the lists of teams with pending jobs, or removes it.
func (c *Core) updateActive(t *team) {
	pending := [tiers]bool{}
	for l := range t.lanes {
		if t.lanes[l].head != nil {
			pending[lane(l).tier()] = true
		}
	}
	for k := range pending {
		c.setActive(t, tier(k), pending[k])
	}
}

func (c *Core) setActive(t *team, k tier, active bool) {
	if t.active[k] == active {
		return
	}
	t.active[k] = active
	if active {
		c.activeTeams[k] = append(c.activeTeams[k], t)
		return
	}
	list := c.activeTeams[k]
	i := slices.Index(list, t)
	list[i] = list[len(list)-1]
	c.activeTeams[k] = list[:len(list)-1]
}

// placeTier serves the teams of one tier, always the one farthest below its share
// next, until none of them can start a task.
func (c *Core) placeTier(k tier) {
	for {
		t := c.pickTeam(k)
		if t == nil {
			return
		}
		if !c.startNext(t, k) {
			t.blockedInPass[k] = c.passNumber
			continue
		}
		c.tightenCapacityBound()
	}
}

// tightenCapacityBound lowers the bound on the freed capacity to what is left of it
// after a start. With more than maxExactBoundWorkers the higher bound stays, which
// costs time but not correctness.
func (c *Core) tightenCapacityBound() {
	if !c.capacityGrew || len(c.grownWorkers) > maxExactBoundWorkers {
		return
	}
	c.maxGrownCapacity = noCapacity()
	for _, w := range c.grownWorkers {
		c.maxGrownCapacity.raiseTo(&c.capacityIndex.nodes[c.capacityIndex.leaves+w.indexPos])
	}
}

// capacityBound returns an upper bound on the size of a task of t that can start in
// this pass.
func (c *Core) capacityBound(t *team) *vec {
	if c.fullPass || t.dirty {
		return &c.capacityIndex.nodes[1]
	}
	return &c.maxGrownCapacity
}

// pickTeam returns the team farthest below its share that may start a task in this
// pass. The order of the list does not matter: ties are broken by the order of the
// teams.
func (c *Core) pickTeam(k tier) *team {
	var best *team
	for _, t := range c.activeTeams[k] {
		if t.blockedInPass[k] == c.passNumber || (!c.fullPass && !c.capacityGrew && !t.dirty) {
			continue
		}
		if !t.smallest[k].fits(c.capacityBound(t)) || (k == tierShared && c.headroomBlocks(&t.smallest[k])) {
			continue
		}
		if best == nil || t.precedesInTier(best, k) {
			best = t
		}
	}
	return best
}

// startNext starts the first job in t's lanes of the tier that can start.
func (c *Core) startNext(t *team, k tier) bool {
	for l := range t.lanes {
		if lane(l).tier() != k {
			continue
		}
		j := t.lanes[l].head
		for n := 0; j != nil && n < backfillDepth; n++ {
			if c.tryJob(j) {
				return true
			}
			j = j.next
		}
	}
	return false
}

// tryJob starts one task of j, or all tasks of a gang, and reports whether it did.
func (c *Core) tryJob(j *job) bool {
	if !j.size.fits(c.capacityBound(j.team)) {
		return false
	}
	c.updateSize(j)
	reason := c.startJob(j)
	c.handleBlocked(j.team, reason)
	return reason == notBlocked
}

func (c *Core) startJob(j *job) blockReason {
	if j.spec.Policy == model.PolicyGang {
		return c.startGang(j)
	}
	if reason := j.team.checkLimits(&j.size, 1); reason != notBlocked {
		return reason
	}
	if j.lane.tier() == tierShared && !c.leavesHeadroom(&j.size) {
		return blockedByHeadroom
	}
	w, why := c.chooseWorker(j)
	if w == nil {
		return blockedByCapacity
	}
	c.startTask(j, w, why)
	return notBlocked
}

// handleBlocked schedules the retry or the grant request that a blocked job of t
// needs.
func (c *Core) handleBlocked(t *team, reason blockReason) {
	switch reason {
	case blockedByLimit:
		t.atLimit = true
	case blockedByGrant:
		t.atLimit = true
		c.requestGrant(t)
	case blockedByHeadroom:
		c.scheduleHeadroomRetry()
	case blockedByCapacity, notBlocked, blockedByReservation, blockedByGang:
	}
}

// chooseWorker returns the worker for j's next task, and why it was chosen.
func (c *Core) chooseWorker(j *job) (*worker, string) {
	if j.spec.Policy == model.PolicyService {
		return c.chooseSpread(j), "rack with the fewest tasks of the service"
	}
	return c.chooseTightestFit(j), "tightest fit"
}

// chooseTightestFit returns, among the first maxCandidates workers on which the task
// fits, the one with the least capacity left over. A worker on which the kind failed
// last is used only if the task fits on no other. Trying another worker distinguishes
// a worker that fails every task from a kind that fails on every worker, and prevents
// a failing worker from attracting all tasks of a kind.
func (c *Core) chooseTightestFit(j *job) *worker {
	var best, doubted bestFit
	pos := c.capacityIndex.nextFit(&j.size, 0)
	for n := 0; pos >= 0 && n < maxCandidates; pos = c.capacityIndex.nextFit(&j.size, pos+1) {
		w := c.indexedWorkers[pos]
		if !c.accepts(w, j) {
			continue
		}
		if j.estimate.failedLastOn(w) {
			doubted.consider(w, c.leftover(w, &j.size))
			continue
		}
		n++
		best.consider(w, c.leftover(w, &j.size))
	}
	if best.worker == nil {
		return doubted.worker
	}
	return best.worker
}

// bestFit keeps the worker with the least capacity left over.
type bestFit struct {
	worker   *worker
	leftover float64
}

func (t *bestFit) consider(w *worker, left float64) {
	if t.worker == nil || left < t.leftover {
		t.worker, t.leftover = w, left
	}
}

// accepts reports whether j may run on w, which has enough free capacity.
func (c *Core) accepts(w *worker, j *job) bool {
	if w.health.probing && !j.restartable() {
		return false
	}
	return !slices.Contains(j.avoid, w.spec.ID)
}

// leftover returns the capacity left on w after a task of this size, as a sum of
// fractions of the largest worker's capacity in each component.
func (c *Core) leftover(w *worker, size *vec) float64 {
	free := w.free()
	left := 0.0
	for i := range dimConnections {
		if c.largest[i] > 0 {
			left += float64(free[i]-size[i]) / float64(c.largest[i])
		}
	}
	return left
}

package sched

import (
	"slices"

	"cuminloft/internal/model"
)

// tier groups the lanes that are served before any lane of the next tier.
type tier int

const (
	tierUrgent tier = iota // urgent direct requests
	tierDirect             // other direct requests
	tierShared             // services, batch and gangs
	tiers
)

func (l lane) tier() tier { return min(tier(l), tierShared) }

const (
	// candidates is how many workers with enough room are compared for packing.
	candidates = 4
	// maxGrewExact is up to how many workers whose room grew are looked at one
	// by one after each start.
	maxGrewExact = 8
	// backfillDepth is how many jobs of a lane are tried behind a blocked one.
	backfillDepth = 16
)

// place starts what can start. Work that was blocked before is tried again
// only if room grew that may hold it.
func (c *Core) place() {
	if !c.passAll && !c.roomGrew && !c.helpDue && len(c.dirtyTeams) == 0 {
		return
	}
	if c.sharesChanged {
		c.recountShares()
	}
	c.pass++
	c.direct.decay(c.now)
	c.placeTier(tierUrgent)
	c.reclaimUrgent()
	c.placeTier(tierDirect)
	c.noteDirectNeed()
	c.topUpReservation()
	c.placeTier(tierShared)
	c.helpStarved()
	c.endPass()
}

// endPass forgets what the pass has looked at.
func (c *Core) endPass() {
	for _, t := range c.dirtyTeams {
		t.dirty = false
	}
	c.dirtyTeams = c.dirtyTeams[:0]
	c.grewWorkers = c.grewWorkers[:0]
	c.passAll, c.roomGrew, c.helpDue = false, false, false
	c.roomMax = blockedRoom()
}

// updateActive enters t in the lists of teams with waiting work, or takes it out.
func (c *Core) updateActive(t *team) {
	waits := [tiers]bool{}
	for l := range t.lanes {
		if t.lanes[l].head != nil {
			waits[lane(l).tier()] = true
		}
	}
	for k := range waits {
		c.setActive(t, tier(k), waits[k])
	}
}

func (c *Core) setActive(t *team, k tier, active bool) {
	if t.active[k] == active {
		return
	}
	t.active[k] = active
	if active {
		c.active[k] = append(c.active[k], t)
		return
	}
	list := c.active[k]
	i := slices.Index(list, t)
	list[i] = list[len(list)-1]
	c.active[k] = list[:len(list)-1]
}

// placeTier serves the teams of one tier, always the one farthest below its
// share next, until none can start anything.
func (c *Core) placeTier(k tier) {
	for {
		t := c.pick(k)
		if t == nil {
			return
		}
		if !c.startOne(t, k) {
			t.tried[k] = c.pass
			continue
		}
		c.boundRoom()
	}
}

// boundRoom lowers the bound on the room that grew to what is left of it. With
// many workers the higher bound stays, which costs time but no correctness.
func (c *Core) boundRoom() {
	if !c.roomGrew || len(c.grewWorkers) > maxGrewExact {
		return
	}
	c.roomMax = blockedRoom()
	for _, w := range c.grewWorkers {
		c.roomMax.raiseTo(&c.index.nodes[c.index.leaves+w.pos])
	}
}

// bound returns room that no task of t can need more of and start in this pass.
func (c *Core) bound(t *team) *vec {
	if c.passAll || t.dirty {
		return &c.index.nodes[1]
	}
	return &c.roomMax
}

// pick returns the team farthest below its share that may start something in
// this pass. The order of the list does not matter: ties go by team.
func (c *Core) pick(k tier) *team {
	var best *team
	for _, t := range c.active[k] {
		if t.tried[k] == c.pass || (!c.passAll && !c.roomGrew && !t.dirty) {
			continue
		}
		if !t.smallest[k].fits(c.bound(t)) || (k == tierShared && c.headroomBlocks(&t.smallest[k])) {
			continue
		}
		if best == nil || t.beforeIn(best, k) {
			best = t
		}
	}
	return best
}

// startOne starts the first job of t's lanes in the tier that can start.
func (c *Core) startOne(t *team, k tier) bool {
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

// tryJob starts one task of j, or all of a gang, and reports whether it did.
func (c *Core) tryJob(j *job) bool {
	if !j.size.fits(c.bound(j.team)) {
		return false
	}
	c.resize(j)
	reason := c.start(j)
	c.noteBlocked(j.team, reason)
	return reason == notBlocked
}

func (c *Core) start(j *job) blockReason {
	if j.spec.Policy == model.PolicyGang {
		return c.startGang(j)
	}
	if reason := j.team.mayRun(&j.size, 1); reason != notBlocked {
		return reason
	}
	if j.lane.tier() == tierShared && !c.leavesHeadroom(&j.size) {
		return blockedByHeadroom
	}
	w, why := c.choose(j)
	if w == nil {
		return blockedByRoom
	}
	c.begin(j, w, why)
	return notBlocked
}

// noteBlocked does what follows from a job of t that cannot start.
func (c *Core) noteBlocked(t *team, reason blockReason) {
	switch reason {
	case blockedByLimit:
		t.atLimit = true
	case blockedByGrant:
		t.atLimit = true
		c.wantGrant(t)
	case blockedByHeadroom:
		c.wakeForHeadroom()
	case blockedByRoom, notBlocked, blockedByReservation, blockedByGang:
	}
}

// choose returns the worker on which j's next task is to start, and why.
func (c *Core) choose(j *job) (*worker, string) {
	if j.spec.Policy == model.PolicyService {
		return c.chooseSpread(j), "rack with the fewest tasks of the service"
	}
	return c.chooseTight(j), "tightest fit"
}

// chooseTight returns, among the first workers that hold the task, the one on
// which the least room is left over. A worker on which the kind failed last is
// only taken if no other holds the task: trying elsewhere tells a worker that
// fails everything from a kind that fails everywhere, and keeps one such worker
// from drawing all tasks of a kind.
func (c *Core) chooseTight(j *job) *worker {
	var best, doubted tightest
	pos := c.index.next(&j.size, 0)
	for n := 0; pos >= 0 && n < candidates; pos = c.index.next(&j.size, pos+1) {
		w := c.byPos[pos]
		if !c.accepts(w, j) {
			continue
		}
		if j.est.doubts(w) {
			doubted.offer(w, c.leftOver(w, &j.size))
			continue
		}
		n++
		best.offer(w, c.leftOver(w, &j.size))
	}
	if best.worker == nil {
		return doubted.worker
	}
	return best.worker
}

// tightest keeps the worker with the least room left over.
type tightest struct {
	worker *worker
	left   float64
}

func (t *tightest) offer(w *worker, left float64) {
	if t.worker == nil || left < t.left {
		t.worker, t.left = w, left
	}
}

// accepts reports whether j may run on w, whose room is large enough.
func (c *Core) accepts(w *worker, j *job) bool {
	if w.health.probing && !j.restartable() {
		return false
	}
	return !slices.Contains(j.avoid, w.spec.ID)
}

// leftOver measures the room that would be left on w, each component in parts
// of the largest worker's.
func (c *Core) leftOver(w *worker, size *vec) float64 {
	free := w.free()
	left := 0.0
	for i := range dimConnections {
		if c.largest[i] > 0 {
			left += float64(free[i]-size[i]) / float64(c.largest[i])
		}
	}
	return left
}

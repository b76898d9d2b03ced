package sched

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// lane is one of a team's queues of pending jobs.
type lane uint8

// The lanes, in the order in which they are served.
const (
	laneUrgent      lane = iota // urgent direct requests
	laneDirect                  // other direct requests
	laneService                 // tasks of services
	laneUrgentBatch             // urgent batch jobs and gangs
	laneBatch                   // batch jobs and gangs
	lanes
)

// grantRequestInterval is the minimum interval between two grant requests for a team.
const grantRequestInterval = 200 * time.Millisecond

// organisation holds the usage and the weight of one configured organisation.
type organisation struct {
	name          string
	order         int
	weight        float64
	used          vec // by its teams, on all shards
	weightedShare float64
}

// team holds the pending jobs, the usage and the limits of one team.
type team struct {
	name   string
	order  int // rank by name, to break ties
	known  bool
	org    *organisation
	weight float64

	limit            vec // upper limit
	grant            vec
	noGrant          bool
	runningDirect    int       // number of running direct requests
	grantRequestedAt time.Time // time of the last grant request
	used             vec       // on this shard
	otherShardsUsed  vec       // on other shards
	weightedShare    float64   // weighted share within the organisation

	lanes         [lanes]jobList
	pending       [lanes]int    // tasks that may start, per lane
	pendingSize   vec           // sum of the sizes of the pending tasks
	smallest      [tiers]vec    // component-wise lower bound of the pending sizes, per tier
	active        [tiers]bool   // whether the team is in Core.activeTeams, per tier
	blockedInPass [tiers]uint64 // number of the pass that found the team blocked, per tier
	dirty         bool          // all its pending jobs are checked in the next pass
	atLimit       bool          // its limit or grant blocked a task
}

// team returns the team with this name. An unknown team is added.
func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{name: name, org: c.noOrg, weight: 1, limit: unlimitedVec(), grant: unlimitedVec()}
		c.teams[name] = t
		c.orderTeams()
	}
	return t
}

// orderTeams numbers the teams by name.
func (c *Core) orderTeams() {
	c.teamList = c.teamList[:0]
	for _, t := range c.teams {
		c.teamList = append(c.teamList, t)
	}
	slices.SortFunc(c.teamList, func(a, b *team) int { return cmp.Compare(a.name, b.name) })
	for i, t := range c.teamList {
		t.order = i
	}
}

// applyTeams takes organisations and teams from the configuration.
func (c *Core) applyTeams(cfg *config.Config) {
	for _, t := range c.teamList {
		t.known = false
		t.org = c.noOrg
	}
	for i, o := range cfg.Organisations {
		org := &organisation{name: o.Name, order: i + 1, weight: float64(max(o.Share, 1))}
		for _, spec := range o.Teams {
			t := c.team(spec.Name)
			t.known, t.org = true, org
			t.weight = float64(max(spec.Share, 1))
			c.setLimit(t, spec.Limit)
		}
	}
	for _, t := range c.teamList {
		if !t.known {
			c.withdrawJobsOf(t)
		}
	}
	c.recomputeShares()
}

// setLimit sets a team's upper limit. A limited team may start nothing until a
// grant arrives.
func (c *Core) setLimit(t *team, limit model.Resources) {
	t.limit = limitVec(limit)
	if !c.grantKnown[t.name] {
		t.noGrant = !limit.IsZero()
	}
}

func (c *Core) grantChanged(ev GrantChanged) {
	t := c.team(ev.Team)
	c.grantKnown[t.name] = true
	t.noGrant = ev.None
	t.grant = limitVec(ev.Grant)
	c.markTeamDirty(t)
}

func (c *Core) fleetUsage(ev FleetUsage) {
	c.otherShardsCapacity = newVec(ev.Capacity, 0)
	for _, t := range c.teamList {
		t.otherShardsUsed = newVec(ev.Used[t.name], 0)
	}
	c.recomputeShares()
	c.fullPass = true
}

// recomputeShares recomputes the shares of all organisations and teams.
func (c *Core) recomputeShares() {
	c.fleetCapacity = c.capacity
	c.fleetCapacity.add(&c.otherShardsCapacity)
	for _, t := range c.teamList {
		t.org.used = vec{}
	}
	for _, t := range c.teamList {
		t.org.used.add(&t.used)
		t.org.used.add(&t.otherShardsUsed)
	}
	for _, t := range c.teamList {
		c.updateShare(t)
	}
	c.sharesChanged = false
}

// chargeTeam adds n times size to the usage of t.
func (c *Core) chargeTeam(t *team, size *vec, n int64) {
	t.used.addScaled(size, n)
	t.org.used.addScaled(size, n)
	c.used.addScaled(size, n)
	c.updateShare(t)
}

func (c *Core) updateShare(t *team) {
	used := t.used
	used.add(&t.otherShardsUsed)
	t.weightedShare = used.dominantShare(&c.fleetCapacity) / t.weight
	t.org.weightedShare = t.org.used.dominantShare(&c.fleetCapacity) / t.org.weight
}

// precedes reports whether t is farther below its share than u: organisations
// are compared first, the teams of one organisation second.
func (t *team) precedes(u *team) bool {
	if t.org != u.org {
		if t.org.weightedShare != u.org.weightedShare {
			return t.org.weightedShare < u.org.weightedShare
		}
		return t.org.order < u.org.order
	}
	if t.weightedShare != u.weightedShare {
		return t.weightedShare < u.weightedShare
	}
	return t.order < u.order
}

// precedesInTier is precedes for the jobs of a tier. Direct requests are ordered by
// the number of running direct requests of each team, not by its total usage: a team's
// batch jobs must not delay its requests.
func (t *team) precedesInTier(u *team, k tier) bool {
	if k == tierShared {
		return t.precedes(u)
	}
	a, b := float64(t.runningDirect)/t.weight, float64(u.runningDirect)/u.weight
	if a != b {
		return a < b
	}
	return t.order < u.order
}

// checkLimits returns notBlocked if t may run count more tasks of this size, or else
// the reason why not.
func (t *team) checkLimits(size *vec, count int64) blockReason {
	need := vec{}
	need.addScaled(size, count)
	switch {
	case !need.fitsWithin(&t.used, &t.limit):
		return blockedByLimit
	case t.noGrant, !need.fitsWithin(&t.used, &t.grant):
		return blockedByGrant
	}
	return notBlocked
}

// requestGrant requests the grant that the team's pending tasks need.
func (c *Core) requestGrant(t *team) {
	if c.now.Sub(t.grantRequestedAt) < grantRequestInterval {
		return
	}
	t.grantRequestedAt = c.now
	want := t.used
	want.add(&t.pendingSize)
	for i := range want {
		want[i] = min(want[i], t.limit[i])
	}
	c.timers.schedule(c.now.Add(grantRequestInterval), timerPass, nil, nil, nil)
	c.emit(RequestGrant{Team: t.name, Total: want.resources()})
}

package sched

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// lane is one of a team's waiting lines.
type lane uint8

// The lanes, in the order in which they are served.
const (
	laneUrgent     lane = iota // urgent direct requests
	laneDirect                 // other direct requests
	laneService                // tasks of services
	laneUrgentWork             // urgent batch and gangs
	laneWork                   // batch and gangs
	lanes
)

// grantRetry is how often at most a team's grant is asked for.
const grantRetry = 200 * time.Millisecond

// organisation is one organisation of the configuration.
type organisation struct {
	name   string
	order  int
	weight float64
	used   vec // by its teams, over the fleet
	key    float64
}

// team is one team: what it waits for, runs and may run.
type team struct {
	name   string
	order  int // by name, for ties
	known  bool
	org    *organisation
	weight float64

	limit     vec // upper limit
	grant     vec
	noGrant   bool
	requests  int       // direct requests that run
	asked     time.Time // when the grant was last asked for
	used      vec       // on this shard
	elsewhere vec       // on other shards
	key       float64   // weighted share within the organisation

	lanes    [lanes]jobList
	pending  [lanes]int    // tasks that may start, per lane
	waiting  vec           // their sizes added up
	smallest [tiers]vec    // at most the size of any waiting task, per tier
	active   [tiers]bool   // in Core.active, per tier
	tried    [tiers]uint64 // the pass in which it was found to be blocked
	dirty    bool          // has new pending work since the last pass
	atLimit  bool          // its limit or grant kept a task from starting
}

// team returns the team of that name and adds an unknown one.
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
			c.endUnknownTeam(t)
		}
	}
	c.recountShares()
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
	c.markDirty(t)
}

func (c *Core) fleetUsage(ev FleetUsage) {
	c.elsewhere = newVec(ev.Capacity, 0)
	for _, t := range c.teamList {
		t.elsewhere = newVec(ev.Used[t.name], 0)
	}
	c.recountShares()
	c.passAll = true
}

// recountShares works out all shares anew.
func (c *Core) recountShares() {
	c.total = c.capacity
	c.total.add(&c.elsewhere)
	for _, t := range c.teamList {
		t.org.used = vec{}
	}
	for _, t := range c.teamList {
		t.org.used.add(&t.used)
		t.org.used.add(&t.elsewhere)
	}
	for _, t := range c.teamList {
		c.rekey(t)
	}
	c.sharesChanged = false
}

// charge adds n times size to what t uses.
func (c *Core) charge(t *team, size *vec, n int64) {
	t.used.addScaled(size, n)
	t.org.used.addScaled(size, n)
	c.used.addScaled(size, n)
	c.rekey(t)
}

func (c *Core) rekey(t *team) {
	used := t.used
	used.add(&t.elsewhere)
	t.key = used.dominant(&c.total) / t.weight
	t.org.key = t.org.used.dominant(&c.total) / t.org.weight
}

// before reports whether t is farther below its share than u: organisations
// are compared first, the teams of one organisation second.
func (t *team) before(u *team) bool {
	if t.org != u.org {
		if t.org.key != u.org.key {
			return t.org.key < u.org.key
		}
		return t.org.order < u.org.order
	}
	if t.key != u.key {
		return t.key < u.key
	}
	return t.order < u.order
}

// beforeIn is before for the work of a tier. Direct requests go by the direct
// requests that run for each team, not by all that it runs: a team's batch
// work must not delay its requests.
func (t *team) beforeIn(u *team, k tier) bool {
	if k == tierShared {
		return t.before(u)
	}
	a, b := float64(t.requests)/t.weight, float64(u.requests)/u.weight
	if a != b {
		return a < b
	}
	return t.order < u.order
}

// mayRun reports whether t may run one more of size, and if not, why.
func (t *team) mayRun(size *vec, count int64) blockReason {
	need := vec{}
	need.addScaled(size, count)
	switch {
	case !need.fitsWith(&t.used, &t.limit):
		return blockedByLimit
	case t.noGrant, !need.fitsWith(&t.used, &t.grant):
		return blockedByGrant
	}
	return notBlocked
}

// wantGrant asks for the grant that the team's pending work needs.
func (c *Core) wantGrant(t *team) {
	if c.now.Sub(t.asked) < grantRetry {
		return
	}
	t.asked = c.now
	want := t.used
	want.add(&t.waiting)
	for i := range want {
		want[i] = min(want[i], t.limit[i])
	}
	c.timers.push(c.now.Add(grantRetry), timerPass, nil, nil, nil)
	c.decide(RequestGrant{Team: t.name, Total: want.resources()})
}

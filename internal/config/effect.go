package config

import (
	"slices"

	"cuminloft/internal/model"
)

// Effect is what a step from one configuration to another does to capacity,
// teams and keys.
type Effect struct {
	CapacityBefore model.Resources `json:"capacity_before"` // of workers in service
	CapacityAfter  model.Resources `json:"capacity_after"`
	AZsOut         []string        `json:"azs_out,omitempty"`
	AZsIn          []string        `json:"azs_in,omitempty"`
	WorkersOut     []string        `json:"workers_out,omitempty"` // removed, in AZs that stay
	RevokedKeys    []RevokedKey    `json:"keys_withdrawn,omitempty"`
	Teams          []TeamEffect    `json:"teams,omitempty"` // that lose or gain
}

// RevokedKey is a key that stops working.
type RevokedKey struct {
	Team string `json:"team"`
	ID   string `json:"id"`
}

// TeamEffect is what a team loses or gains.
type TeamEffect struct {
	Team        string          `json:"team"`
	Removed     bool            `json:"removed,omitempty"`
	Added       bool            `json:"added,omitempty"`
	LimitBefore model.Resources `json:"limit_before"` // zero components are unlimited
	LimitAfter  model.Resources `json:"limit_after"`
	ShareBefore float64         `json:"share_before"` // fraction of the cell when all are busy
	ShareAfter  float64         `json:"share_after"`
	QueuesLost  []string        `json:"queues_lost,omitempty"`
	// OverLimit is how much of what the team runs now exceeds the new limit and
	// has to end before it can start anything. It needs the use of the fleet.
	OverLimit model.Resources `json:"over_limit"`
}

// TeamUsage is what a team runs over the fleet.
type TeamUsage struct {
	Team string
	Used model.Resources
}

// ComputeEffect returns the effect of the step from a to b. Used may be nil.
func ComputeEffect(a, b *Config, used []TeamUsage) Effect {
	if a == nil {
		a = new(Config)
	}
	e := Effect{CapacityBefore: a.serviceCapacity(), CapacityAfter: b.serviceCapacity()}
	for _, az := range a.AZs {
		if az.InService && !b.inService(az.Name) {
			e.AZsOut = append(e.AZsOut, az.Name)
		}
	}
	for _, az := range b.AZs {
		if az.InService && !a.inService(az.Name) {
			e.AZsIn = append(e.AZsIn, az.Name)
		}
	}
	for _, w := range a.Workers {
		if _, stays := b.Worker(w.ID); !stays && b.inService(w.AZ) {
			e.WorkersOut = append(e.WorkersOut, w.ID)
		}
	}
	e.RevokedKeys = keysWithdrawn(a, b)
	e.Teams = teamEffects(a, b, used)
	return e
}

func (c *Config) serviceCapacity() model.Resources {
	var sum model.Resources
	for _, w := range c.Workers {
		if c.inService(w.AZ) {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

func keysWithdrawn(a, b *Config) []RevokedKey {
	var lost []RevokedKey
	for _, org := range a.Organisations {
		for _, team := range org.Teams {
			for _, key := range team.Keys {
				now, valid := b.KeyTeam(key.SHA256)
				if !valid || now.Name != team.Name {
					lost = append(lost, RevokedKey{Team: team.Name, ID: key.ID})
				}
			}
		}
	}
	return lost
}

func teamEffects(a, b *Config, used []TeamUsage) []TeamEffect {
	var effects []TeamEffect
	for _, name := range teamNames(a, b) {
		e := TeamEffect{Team: name, ShareBefore: a.shareOf(name), ShareAfter: b.shareOf(name)}
		before, had := a.Team(name)
		after, has := b.Team(name)
		e.Added = !had
		e.Removed = !has
		if had {
			e.LimitBefore = before.Limit
		}
		if has {
			e.LimitAfter = after.Limit
			e.OverLimit = overLimit(used, name, after.Limit)
		}
		e.QueuesLost = queuesLost(a, b, name)
		same := had && has && e.LimitBefore == e.LimitAfter && e.ShareBefore == e.ShareAfter
		if !same || len(e.QueuesLost) > 0 {
			effects = append(effects, e)
		}
	}
	return effects
}

func teamNames(a, b *Config) []string {
	var all []string
	for _, c := range []*Config{a, b} {
		for _, org := range c.Organisations {
			for _, team := range org.Teams {
				all = append(all, team.Name)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// shareOf returns the team's fraction of the cell when every team is busy.
func (c *Config) shareOf(team string) float64 {
	org, ok := c.OrganisationOf(team)
	if !ok {
		return 0
	}
	orgs := 0
	for _, o := range c.Organisations {
		orgs += o.Share
	}
	teams := 0
	for _, t := range org.Teams {
		teams += t.Share
	}
	t, _ := c.Team(team)
	return float64(org.Share) / float64(orgs) * float64(t.Share) / float64(teams)
}

func overLimit(used []TeamUsage, team string, limit model.Resources) model.Resources {
	var over model.Resources
	for _, u := range used {
		if u.Team == team {
			over = u.Used.Sub(limit).Max(model.Resources{})
		}
	}
	if limit.MilliCores == 0 {
		over.MilliCores = 0
	}
	if limit.MemoryMB == 0 {
		over.MemoryMB = 0
	}
	if limit.Accelerators == 0 {
		over.Accelerators = 0
	}
	if limit.Slots == 0 {
		over.Slots = 0
	}
	return over
}

func queuesLost(a, b *Config, team string) []string {
	var lost []string
	for i := range a.Queues {
		q := &a.Queues[i]
		now, stays := b.Queue(q.Name)
		if q.Allows(team) && (!stays || !now.Allows(team)) {
			lost = append(lost, q.Name)
		}
	}
	return lost
}

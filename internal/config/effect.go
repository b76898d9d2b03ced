package config

import (
	"slices"

	"cuminloft/internal/model"
)

// Effect describes how a change of the configuration affects capacity, teams and keys.
type Effect struct {
	CapacityBefore model.Resources `json:"capacity_before"` // of the workers in AZs in service
	CapacityAfter  model.Resources `json:"capacity_after"`
	AZsOut         []string        `json:"azs_out,omitempty"`
	AZsIn          []string        `json:"azs_in,omitempty"`
	WorkersOut     []string        `json:"workers_out,omitempty"` // removed from AZs that are in service
	RevokedKeys    []RevokedKey    `json:"keys_withdrawn,omitempty"`
	Teams          []TeamEffect    `json:"teams,omitempty"` // only teams that are affected
}

// RevokedKey is a key that no longer authenticates its team.
type RevokedKey struct {
	Team string `json:"team"`
	ID   string `json:"id"`
}

// TeamEffect describes how a change of the configuration affects one team.
type TeamEffect struct {
	Team        string          `json:"team"`
	Removed     bool            `json:"removed,omitempty"`
	Added       bool            `json:"added,omitempty"`
	LimitBefore model.Resources `json:"limit_before"` // zero components are unlimited
	LimitAfter  model.Resources `json:"limit_after"`
	ShareBefore float64         `json:"share_before"` // fraction of the cell while every team is busy
	ShareAfter  float64         `json:"share_after"`
	QueuesLost  []string        `json:"queues_lost,omitempty"`
	// OverLimit is the part of the team's current usage that exceeds the new limit. It
	// has to end before the team can start further work. Zero if the usage is unknown.
	OverLimit model.Resources `json:"over_limit"`
}

// TeamUsage is the current resource usage of a team over the cell.
type TeamUsage struct {
	Team string
	Used model.Resources
}

// ComputeEffect returns the effect of changing the configuration from a to b. Used may be nil.
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
	e.RevokedKeys = revokedKeys(a, b)
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

func revokedKeys(a, b *Config) []RevokedKey {
	var revoked []RevokedKey
	for _, org := range a.Organisations {
		for _, team := range org.Teams {
			for _, key := range team.Keys {
				after, valid := b.KeyTeam(key.SHA256)
				if !valid || after.Name != team.Name {
					revoked = append(revoked, RevokedKey{Team: team.Name, ID: key.ID})
				}
			}
		}
	}
	return revoked
}

func teamEffects(a, b *Config, used []TeamUsage) []TeamEffect {
	var effects []TeamEffect
	for _, name := range teamNames(a, b) {
		e := TeamEffect{Team: name, ShareBefore: a.shareOf(name), ShareAfter: b.shareOf(name)}
		before, existed := a.Team(name)
		after, exists := b.Team(name)
		e.Added = !existed
		e.Removed = !exists
		if existed {
			e.LimitBefore = before.Limit
		}
		if exists {
			e.LimitAfter = after.Limit
			e.OverLimit = overLimit(used, name, after.Limit)
		}
		e.QueuesLost = lostQueues(a, b, name)
		unchanged := existed && exists && e.LimitBefore == e.LimitAfter && e.ShareBefore == e.ShareAfter
		if !unchanged || len(e.QueuesLost) > 0 {
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

// shareOf returns the team's fraction of the cell while every team is busy.
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

func lostQueues(a, b *Config, team string) []string {
	var lost []string
	for i := range a.Queues {
		q := &a.Queues[i]
		after, stays := b.Queue(q.Name)
		if q.Allows(team) && (!stays || !after.Allows(team)) {
			lost = append(lost, q.Name)
		}
	}
	return lost
}

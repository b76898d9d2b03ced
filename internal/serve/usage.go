package serve

import (
	"maps"
	"slices"

	"cuminloft/internal/config"
	"cuminloft/internal/member"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
)

// fleetUsage returns a function that sums the newest digests of all shards except the
// named one. The directory holds no digest of a shard without a live owner, so the usage
// of teams in that shard counts as zero until the shard is taken over.
func fleetUsage(directory member.Directory, except string) func() sched.FleetUsage {
	return func() sched.FleetUsage {
		sum := sched.FleetUsage{
			Used:    map[string]model.Resources{},
			Pending: map[string]model.Resources{},
		}
		for _, ref := range directory.Shards() {
			if ref.Name != except && ref.Digest != nil {
				addDigest(&sum, ref.Digest)
			}
		}
		return sum
	}
}

func addDigest(sum *sched.FleetUsage, d *rpc.ShardDigest) {
	sum.Capacity = sum.Capacity.Add(d.GetCapacity().Model())
	for _, t := range d.GetTeams() {
		team := t.GetTeam()
		sum.Used[team] = sum.Used[team].Add(t.GetUsed().Model())
		sum.Pending[team] = sum.Pending[team].Add(t.GetPending().Model())
	}
}

// teamUsage returns the resources that each team uses in the whole cell.
func (p *Process) teamUsage() []config.TeamUsage {
	sum := fleetUsage(p.tracker, "")()
	var used []config.TeamUsage
	for _, team := range slices.Sorted(maps.Keys(sum.Used)) {
		used = append(used, config.TeamUsage{Team: team, Used: sum.Used[team]})
	}
	return used
}

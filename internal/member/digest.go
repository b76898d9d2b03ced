package member

import "cuminloft/internal/rpc"

// withoutTeams returns copies of the digests without what each team uses.
func withoutTeams(digests []*rpc.ShardDigest) []*rpc.ShardDigest {
	light := make([]*rpc.ShardDigest, len(digests))
	for i, d := range digests {
		light[i] = &rpc.ShardDigest{
			Shard:          d.GetShard(),
			Az:             d.GetAz(),
			Owner:          d.GetOwner(),
			Fence:          d.GetFence(),
			Ready:          d.GetReady(),
			TableReachable: d.GetTableReachable(),
			Capacity:       d.GetCapacity(),
			Used:           d.GetUsed(),
			DirectPending:  d.GetDirectPending(),
			JobsPending:    d.GetJobsPending(),
			TakenNs:        d.GetTakenNs(),
			Confirmed:      d.GetConfirmed(),
			TeamsLeftOut:   true,
		}
	}
	return light
}

// keepTeams returns the new digests. One that leaves the teams out gets those of
// the old digest of the same shard.
func keepTeams(old, next []*rpc.ShardDigest) []*rpc.ShardDigest {
	teams := map[string][]*rpc.TeamUsage{}
	for _, d := range old {
		teams[d.GetShard()] = d.GetTeams()
	}
	for _, d := range next {
		if d.GetTeamsLeftOut() {
			d.Teams = teams[d.GetShard()]
		}
	}
	return next
}

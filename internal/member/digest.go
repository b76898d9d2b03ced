package member

import "cuminloft/internal/rpc"

// withoutUsage returns copies of the digests without the teams' usage.
func withoutUsage(digests []*rpc.ShardDigest) []*rpc.ShardDigest {
	out := make([]*rpc.ShardDigest, len(digests))
	for i, d := range digests {
		out[i] = &rpc.ShardDigest{
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
	return out
}

// keepUsage returns the new digests. A digest without the teams' usage gets the usage of
// the old digest of the same shard.
func keepUsage(old, next []*rpc.ShardDigest) []*rpc.ShardDigest {
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

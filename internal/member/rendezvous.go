package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminloft/internal/rpc"
)

// Rank returns a host's place in the rendezvous order of a shard, from zero,
// over the members of the shard's AZ that are not leaving. It is -1 for a host
// that is not among them.
func Rank(shard Shard, host string, members []*rpc.Member) int {
	return slices.Index(Order(shard, members), host)
}

// Order returns the hosts that may own the shard, the first choice first. All
// hosts with the same list of members compute the same order, and a host that
// leaves or joins moves only the shards that it is the first choice of.
func Order(shard Shard, members []*rpc.Member) []string {
	var hosts []string
	for _, m := range members {
		if m.GetAz() == shard.AZ && !m.GetLeaving() {
			hosts = append(hosts, m.GetHost())
		}
	}
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(weight(shard.Name, b), weight(shard.Name, a)),
			cmp.Compare(a, b),
		)
	})
	return hosts
}

// weight is the rendezvous weight of a shard on a host.
func weight(shard, host string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + host)
}

package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminloft/internal/rpc"
)

// Rank returns a host's position, from zero, in the rendezvous hashing order of a shard
// over the members of the shard's AZ that are not leaving. It is -1 for a host that is
// not among these members.
func Rank(shard Shard, host string, members []*rpc.Member) int {
	return slices.Index(Order(shard, members), host)
}

// Order returns the hosts that may own the shard, by descending preference. All hosts
// with the same list of members compute the same order. A host that leaves or joins moves
// only the shards for which it is the first choice.
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

// weight returns the rendezvous hashing weight of a shard on a host.
func weight(shard, host string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + host)
}

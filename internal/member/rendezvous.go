package member

import (
	"github.com/cespare/xxhash/v2"

	"cuminloft/internal/rpc"
)

// FirstChoice returns the host that should own the shard: the member of its AZ
// with the highest rendezvous weight that is not leaving. It is empty if the
// AZ has no such member.
func FirstChoice(shard Shard, members []*rpc.Member) string {
	best := ""
	var bestWeight uint64
	for _, m := range members {
		if m.GetAz() != shard.AZ || m.GetLeaving() {
			continue
		}
		w := weight(shard.Name, m.GetHost())
		if best == "" || w > bestWeight {
			best = m.GetHost()
			bestWeight = w
		}
	}
	return best
}

// weight is the rendezvous weight of a shard on a host.
func weight(shard, host string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + host)
}

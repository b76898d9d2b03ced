package entry

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"cuminloft/internal/workload"
)

// Choice of hosts for start orders beyond the number per second that is sent directly.
const (
	// countRelayHosts is the number of hosts that relay these orders. Few hosts get several
	// orders per call and reuse their connections to the workers, and one that stops
	// answering holds up an eighth of the orders. At 600 relayed orders a second each host
	// carries out 75.
	countRelayHosts = 8
	// directStartBurst is the time for which unused direct starts are saved up. The gang or
	// the urgent jobs of one scheduling pass go directly in a cell that is not under load.
	directStartBurst = 250 * time.Millisecond
	// relayChoiceAge is the age from which on the relay hosts are chosen again.
	relayChoiceAge = 100 * time.Millisecond
	// unknownCoreShare is the assumed share of a core of a host that does not tell it.
	unknownCoreShare = 1
	// countRelayedTimeout bounds a worker's answer to an order that is relayed because of the
	// number of starts. The other orders of the call wait for it, and the coordinator waits
	// 200 ms for the first answer to an order.
	countRelayedTimeout = 150 * time.Millisecond
	// maxUnanswered bounds the runs that are known as not answered. It is more than are
	// relayed in the second within which an order is repeated.
	maxUnanswered = 2048
)

// limitStarts limits the start orders that are sent directly, per second; 0: no limit.
func (r *startRelay) limitStarts(perSecond float64) {
	if perSecond <= 0 {
		return
	}
	r.directCount = rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond*directStartBurst.Seconds())))
	var err error
	if r.unanswered, err = lru.New[workload.Run, struct{}](maxUnanswered); err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
}

// noteUnanswered records that a relayed order of a run was not answered.
func (r *startRelay) noteUnanswered(run workload.Run) {
	if r.unanswered != nil {
		r.unanswered.Add(run, struct{}{})
	}
}

// isRepeat reports whether an order repeats a relayed one that was not answered. It is sent
// directly: the same relay host, or another order of its call, would hold it up again, and
// the run would count as not answered.
func (r *startRelay) isRepeat(run workload.Run) bool {
	return r.unanswered != nil && r.unanswered.Remove(run)
}

// isCutOff reports whether the relay host may have been unable to reach a worker that the
// coordinator reaches. The error proves that the order was not carried out.
func (r *startRelay) isCutOff(err error) bool {
	return r.directCount != nil && errors.Is(err, workload.ErrUnhealthy)
}

// limitRelayedStarts makes the server of relayed orders answer before the first attempt of
// an order ends, if the cell limits direct starts per second.
func (s *startServer) limitRelayedStarts(perSecond float64) {
	if perSecond > 0 {
		s.timeout = countRelayedTimeout
	}
}

// isDirect reports whether both limits let an order of the given size in bytes be sent
// directly. An order that exceeds the first limit does not count for the second.
func (r *startRelay) isDirect(now time.Time, size int) bool {
	if r.direct != nil && !r.direct.AllowN(now, size) {
		return false
	}
	return r.directCount == nil || r.directCount.AllowN(now, 1)
}

// relayChoice are the hosts that relay orders while directCount is set.
type relayChoice struct {
	hosts    []peer
	chosenAt time.Time // zero: to be chosen again
}

// countRelayFor returns the address of the host that relays the orders of a job while the
// direct starts are limited by number, or "" if there is none. Load pattern: hundreds of
// starts a second at a coordinator whose processor is the bottleneck, beside tens of idle
// hosts of unequal core share. The caller holds mu.
func (r *startRelay) countRelayFor(job string, now time.Time) string {
	if r.choice.chosenAt.IsZero() || now.Sub(r.choice.chosenAt) >= relayChoiceAge {
		r.choice = relayChoice{r.chooseRelays(now), now}
	}
	best, bestScore := "", 0.0
	for _, h := range r.choice.hosts {
		if score := hostScore(job, h); best == "" || score > bestScore {
			best, bestScore = h.Address, score
		}
	}
	return best
}

// noteSilent records that a host did not answer an order in time. Orders of other runs go
// through other hosts while its call is in progress, which may take relayBatchTimeout:
// workers whose orders it does not answer get no tasks for some time.
func (r *startRelay) noteSilent(h *relayHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.silentUntil = time.Now().Add(relayBatchTimeout)
	r.choice = relayChoice{}
}

// chooseRelays returns the countRelayHosts available hosts with the highest scores. If a
// host comes or goes, at most one host of the choice changes. Silent hosts are left out,
// unless most hosts are silent: then the cause is likely to be this host. The caller holds
// mu.
func (r *startRelay) chooseRelays(now time.Time) []peer {
	hosts := slices.DeleteFunc(slices.Clone(r.hosts()), func(h peer) bool { return now.Before(r.noRelayFor[h.Address]) })
	answering := slices.DeleteFunc(slices.Clone(hosts), func(h peer) bool {
		host := r.relays[h.Address]
		return host != nil && now.Before(host.silentUntil)
	})
	if 2*len(answering) >= len(hosts) {
		hosts = answering
	}
	if len(hosts) <= countRelayHosts {
		return hosts
	}
	slices.SortFunc(hosts, func(a, b peer) int {
		if sa, sb := hostScore("", a), hostScore("", b); sa != sb {
			if sa > sb {
				return -1
			}
			return 1
		}
		return 0
	})
	return hosts[:countRelayHosts]
}

// hostScore returns a pseudo-random score of a host for a key. The host with the highest
// score is each host with a probability proportional to its core share (weighted
// rendezvous hashing).
func hostScore(key string, h peer) float64 {
	share := h.CoreShare
	if share <= 0 {
		share = unknownCoreShare
	}
	const mantissa = 53 // bits of a float64's fraction
	u := (float64(xxhash.Sum64String(key+"/"+h.Address)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return share / -math.Log(u)
}

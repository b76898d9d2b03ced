package dispatch

import "time"

// AdvicePurpose is the purpose of a call for advice.
type AdvicePurpose string

// The purposes.
const (
	AdviceFirst         AdvicePurpose = "first"   // the first call for a step
	AdviceAfterTakeover AdvicePurpose = "again"   // the first call of this term for a step that an earlier term knew
	AdviceMoreWorkers   AdvicePurpose = "further" // names workers that no call for the step has named yet
	AdviceRenewal       AdvicePurpose = "renewal" // names only workers known to be allowed
)

// AdvicePurposes lists all purposes.
var AdvicePurposes = [...]AdvicePurpose{AdviceFirst, AdviceAfterTakeover, AdviceMoreWorkers, AdviceRenewal}

// AdviceStats sums up calls for advice. Load pattern: more steps need advice than the
// hosts that make the calls have time for.
type AdviceStats struct {
	Calls    map[AdvicePurpose]int
	HostTime map[AdvicePurpose]time.Duration // expected time that hosts are occupied
	// HostTimeNeeded is the time of one call with typicalCallWorkers workers for each
	// step with calls.
	HostTimeNeeded  time.Duration
	TicketsReceived int // received from the service
	TicketsUsed     int // sent with a start
	TicketsRefused  int // rejected by a worker
}

func newAdviceStats() AdviceStats {
	return AdviceStats{Calls: map[AdvicePurpose]int{}, HostTime: map[AdvicePurpose]time.Duration{}}
}

// Total returns the time of all calls.
func (a AdviceStats) Total() time.Duration {
	var total time.Duration
	for _, t := range a.HostTime {
		total += t
	}
	return total
}

// TakeAdviceStats returns the statistics since its previous call.
func (c *Core) TakeAdviceStats() AdviceStats {
	out := c.adviceStats
	c.adviceStats = newAdviceStats()
	return out
}

package dispatch

import "time"

// AdvicePurpose tells what a call for advice is made for.
type AdvicePurpose string

// The purposes.
const (
	AdviceFirst         AdvicePurpose = "first"   // the first call for a step
	AdviceAfterTakeover AdvicePurpose = "again"   // the first call of this term for a step of an earlier one
	AdviceMoreWorkers   AdvicePurpose = "further" // names workers that were not asked about before
	AdviceRenewal       AdvicePurpose = "renewal" // names only workers known to be allowed
)

// AdvicePurposes lists all purposes.
var AdvicePurposes = [...]AdvicePurpose{AdviceFirst, AdviceAfterTakeover, AdviceMoreWorkers, AdviceRenewal}

// AdviceStats sums up calls for advice. Load pattern: more steps that want
// advice than the hosts that ask have time for.
type AdviceStats struct {
	Calls    map[AdvicePurpose]int
	HostTime map[AdvicePurpose]time.Duration // that hosts were occupied, as reckoned
	// HostTimeNeeded is the time of one call that names adviceSample workers, over the steps
	// that asked.
	HostTimeNeeded  time.Duration
	TicketsReceived int // received
	TicketsUsed     int // that a start carried
	TicketsRefused  int // that a worker refused
}

func newAdviceAccount() AdviceStats {
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

// TakeAdviceStats returns the account since the last call.
func (c *Core) TakeAdviceStats() AdviceStats {
	out := c.account
	c.account = newAdviceAccount()
	return out
}

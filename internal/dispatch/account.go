package dispatch

import "time"

// AskPurpose tells what a call for advice is made for.
type AskPurpose string

// The purposes.
const (
	AskFirst   AskPurpose = "first"   // the first call for a step
	AskAgain   AskPurpose = "again"   // the first call of this term for a step of an earlier one
	AskFurther AskPurpose = "further" // names workers that were not asked about before
	AskRenewal AskPurpose = "renewal" // names only workers known to be allowed
)

// AskPurposes lists all purposes.
var AskPurposes = [...]AskPurpose{AskFirst, AskAgain, AskFurther, AskRenewal}

// AdviceAccount sums up calls for advice. Load pattern: more steps that want
// advice than the hosts that ask have time for.
type AdviceAccount struct {
	Calls map[AskPurpose]int
	Time  map[AskPurpose]time.Duration // that hosts were occupied, as reckoned
	// Needed is the time of one call that names adviceSample workers, over the steps
	// that asked.
	Needed  time.Duration
	Tickets int // received
	Used    int // that a start carried
	Refused int // that a worker refused
}

func newAdviceAccount() AdviceAccount {
	return AdviceAccount{Calls: map[AskPurpose]int{}, Time: map[AskPurpose]time.Duration{}}
}

// Total returns the time of all calls.
func (a AdviceAccount) Total() time.Duration {
	var total time.Duration
	for _, t := range a.Time {
		total += t
	}
	return total
}

// TakeAccount returns the account since the last call.
func (c *Core) TakeAccount() AdviceAccount {
	out := c.account
	c.account = newAdviceAccount()
	return out
}

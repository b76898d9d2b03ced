package dispatch

import (
	"errors"
	"fmt"
	"time"
)

// Policy switches the parts of scheduling that a deployment asks for in its settings. The zero
// value has none of them. A part also needs a load that calls for it, which it observes itself.
type Policy struct {
	// LearnSpeeds learns how fast workers are beside each other, and places tasks by that in
	// pools with slow workers.
	LearnSpeeds bool
	// SlowFactor is how many times as long as on the fast workers of its pool tasks take on a
	// slow worker.
	SlowFactor float64
	// ReserveAmounts reserves capacity for gangs by amount instead of by whole workers.
	ReserveAmounts bool
	// StartMargins ranks jobs that can hardly be on time any more behind those that can.
	StartMargins bool
	// RenewFirst spends calls for advice on gangs that have capacity before gangs that need a
	// larger choice of workers.
	RenewFirst bool
	// SeparateImages keeps images apart that slow each other down on one worker.
	SeparateImages bool
}

// Bounds of Policy.SlowFactor.
const (
	defaultSlowFactor = 1.4
	minSlowFactor     = 1.1
	maxSlowFactor     = 10
)

// WithDefaults returns the policy with the default values of what is not set.
func (p Policy) WithDefaults() Policy {
	if p.SlowFactor == 0 {
		p.SlowFactor = defaultSlowFactor
	}
	return p
}

// Check returns an error for a policy that cannot be used.
func (p Policy) Check() error {
	if p.SlowFactor != 0 && !(p.SlowFactor >= minSlowFactor && p.SlowFactor <= maxSlowFactor) {
		return fmt.Errorf("slow factor %v is not between %v and %v", p.SlowFactor, minSlowFactor, maxSlowFactor)
	}
	if p.SlowFactor != 0 && !p.LearnSpeeds {
		return errors.New("a slow factor is set, but speeds are not learned")
	}
	return nil
}

// SetPolicy replaces the policy.
func (c *Core) SetPolicy(p Policy) {
	p = p.WithDefaults()
	if p == c.policy {
		return
	}
	if c.policy.LearnSpeeds && !p.LearnSpeeds {
		c.forgetSlowWorkers()
	}
	c.clearReservations()
	for s := range c.reservations.byStep {
		c.dropReservation(s)
	}
	c.reservations.computedAt = time.Time{}
	c.policy = p
	c.switchInterference()
	c.needsScheduling = true
	c.emit("scheduling policy in force", "learn speeds", p.LearnSpeeds, "slow factor", p.SlowFactor, "reserve amounts", p.ReserveAmounts,
		"start margins", p.StartMargins, "renew first", p.RenewFirst, "separate images", p.SeparateImages)
}

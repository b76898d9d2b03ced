package platform

import (
	"sync"
	"time"
)

// ClockReading is a reading of the store's clock, which is steady and the same for all
// hosts. The reading was made between Sent and Received by this host's clock.
type ClockReading struct {
	Clock          time.Duration // since an arbitrary start
	Sent, Received time.Time
}

// Upper returns an upper bound of the store's clock at a time after Sent, unless this
// host is suspended in between.
func (r ClockReading) Upper(at time.Time) time.Duration { return r.Clock + at.Sub(r.Sent) }

// Reached returns a time at which the store's clock has reached the given reading.
func (r ClockReading) Reached(clock time.Duration) time.Time {
	return r.Received.Add(clock - r.Clock)
}

// LatestClock keeps the latest reading of a store's clock. It is safe for concurrent use.
type LatestClock struct {
	mu     sync.Mutex
	latest ClockReading
}

// Record records a reading, unless a call that was sent later has returned one.
func (c *LatestClock) Record(r ClockReading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Sent.After(c.latest.Sent) {
		c.latest = r
	}
}

// StoreClock returns the latest reading of the store's clock, false if there is none yet.
func (c *LatestClock) StoreClock() (ClockReading, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest, !c.latest.Sent.IsZero()
}

// StoreClock returns the latest reading of a store's clock; false if the store has none.
func StoreClock(s Store) (ClockReading, bool) {
	if h, ok := s.(*Health); ok {
		s = h.Store
	}
	if c, ok := s.(interface{ StoreClock() (ClockReading, bool) }); ok {
		return c.StoreClock()
	}
	return ClockReading{}, false
}

package timeline

import (
	"expvar"
	"sync"
	"time"
)

// countDrift counts readings of other processes that were ignored because of MaxDrift.
var countDrift = expvar.NewInt("timeline_clock_drift")

// A reading of the hybrid logical clock has the Unix time in milliseconds in its upper 48
// bits and a counter in its lower 16. Readings respect causality: a reading is greater than
// every reading that its process has taken or observed before.
const counterBits = 16

// MaxDrift is how far ahead of the local clock an observed reading may be. A reading
// further ahead comes from a wrong clock and is ignored.
const MaxDrift = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last int64
}

// Now returns a reading that is greater than all readings taken or observed before.
func (c *Clock) Now() int64 {
	physical := fromTime(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, physical)
	return c.last
}

// Observe advances the clock to a reading received from another process, unless the reading
// is more than MaxDrift ahead.
func (c *Clock) Observe(reading int64) {
	if reading > fromTime(time.Now().Add(MaxDrift)) {
		countDrift.Add(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, reading)
}

// Time returns the physical part of a reading, which is exact to the millisecond.
func Time(reading int64) time.Time {
	return time.UnixMilli(reading >> counterBits).UTC()
}

// counter returns the logical part of a reading.
func counter(reading int64) int64 { return reading & (1<<counterBits - 1) }

func fromTime(t time.Time) int64 { return t.UnixMilli() << counterBits }

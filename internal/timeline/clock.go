package timeline

import (
	"expvar"
	"sync"
	"time"
)

// countDrift counts readings of other processes that were too far ahead.
var countDrift = expvar.NewInt("timeline_clock_drift")

// A hybrid logical clock reading has the Unix time in milliseconds in its upper
// 48 bits and a counter in its lower 16. Readings order events by cause and
// effect: a reading is above every reading that its process took or observed
// before.
const counterBits = 16

// MaxDrift is how far ahead of the own clock an observed reading may be. A
// reading further ahead comes from a wrong clock and is not followed.
const MaxDrift = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last int64
}

// Now returns a reading above all earlier and observed ones.
func (c *Clock) Now() int64 {
	physical := fromTime(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, physical)
	return c.last
}

// Observe takes note of a reading received from another process, unless it is
// more than MaxDrift ahead.
func (c *Clock) Observe(reading int64) {
	if reading > fromTime(time.Now().Add(MaxDrift)) {
		countDrift.Add(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, reading)
}

// Time returns the physical part of a reading, in milliseconds.
func Time(reading int64) time.Time {
	return time.UnixMilli(reading >> counterBits).UTC()
}

// counter returns the logical part of a reading.
func counter(reading int64) int64 { return reading & (1<<counterBits - 1) }

func fromTime(t time.Time) int64 { return t.UnixMilli() << counterBits }

package timeline

import (
	"sync"
	"unsafe"
)

// Default bounds of a ring.
const (
	DefaultEvents = 20_000
	DefaultBytes  = 8 << 20
)

// Ring holds the newest events of a process, bounded by number and by bytes. It implements
// Recorder and is safe for concurrent use.
type Ring struct {
	host, az string
	clock    *Clock
	maxBytes int

	mu      sync.Mutex
	events  []Event // circular buffer
	oldest  int     // index of the oldest event
	count   int
	bytes   int
	dropped int64
}

// NewRing returns a ring for the process of the given host and AZ.
func NewRing(host, az string, clock *Clock, maxEvents, maxBytes int) *Ring {
	return &Ring{host: host, az: az, clock: clock, maxBytes: maxBytes, events: make([]Event, max(maxEvents, 1))}
}

// Record sets the clock reading, host and AZ of an event and adds the event. It drops the
// oldest events if necessary.
func (r *Ring) Record(e Event) {
	e.Host, e.AZ = r.host, r.az
	size := eventSize(&e)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.HLC = r.clock.Now() // under the lock, so that the ring is ordered by HLC
	for r.count > 0 && (r.count == len(r.events) || r.bytes+size > r.maxBytes) {
		r.dropOldest()
	}
	if size > r.maxBytes {
		r.dropped++
		return
	}
	r.events[(r.oldest+r.count)%len(r.events)] = e
	r.count++
	r.bytes += size
}

func (r *Ring) dropOldest() {
	e := &r.events[r.oldest]
	r.bytes -= eventSize(e)
	*e = Event{}
	r.oldest = (r.oldest + 1) % len(r.events)
	r.count--
	r.dropped++
}

// eventSize returns the memory that an event uses, in bytes.
func eventSize(e *Event) int {
	return int(unsafe.Sizeof(*e)) + len(e.Request) + len(e.Job) + len(e.Team) + len(e.Target) + len(e.Detail)
}

// Select returns the newest limit events that match the filter, oldest first, and the
// number of events that the ring has dropped.
func (r *Ring) Select(f Filter, limit int) ([]Event, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := r.count - 1; i >= 0 && len(out) < limit; i-- {
		e := r.events[(r.oldest+i)%len(r.events)]
		if f.Match(&e) {
			out = append(out, e)
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out, r.dropped
}

package coordinator

import (
	"time"

	"cuminloft/internal/platform"
)

// leaseBounds holds, by worker, when all leases on a worker out of reach have expired, in
// milliseconds of the store's clock. The leader record carries them, so that a successor
// need not wait as if these workers had been given leases until the takeover. Load
// pattern: workers leave, then coordinators follow one another.
//
// A worker that is listed in a record which may be stored is given no lease: it would
// outlive the bound that a successor relies on. Once the worker is in reach again, a
// commit without it has to succeed first.
type leaseBounds map[string]int64

// maxLeaseBounds and maxLeaseBoundBytes limit the size of the leader record, which each commit
// writes and the store limits. On other workers out of reach a successor waits for the leases
// of its predecessor.
const (
	maxLeaseBounds     = 512
	maxLeaseBoundBytes = 32 << 10
)

// size returns about the encoded size of the bounds in bytes.
func (b leaseBounds) size() int {
	const perBound = len(`"":1796467519632,`)
	n := 0
	for id := range b {
		n += perBound + len(id)
	}
	return n
}

// ceilMillis returns a duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// times returns the bounds by this host's clock; none if the store's clock is not known.
func (b leaseBounds) times(store platform.Store) map[string]time.Time {
	reading, ok := platform.StoreClock(store)
	if !ok {
		return nil
	}
	out := make(map[string]time.Time, len(b))
	for id, ms := range b {
		out[id] = reading.Reached(time.Duration(ms) * time.Millisecond)
	}
	return out
}

// takeOverLeaseBounds takes over the bounds of the predecessor's record.
func (t *termLoop) takeOverLeaseBounds() {
	t.leaseBounds = leaseBounds{}
	for id, ms := range t.term.record.LeaseBounds {
		t.leaseBounds[id] = ms
		t.links.withhold(id)
	}
}

// updateLeaseBounds adds the workers that have gone out of reach and removes those on
// which no task may be running any more.
func (t *termLoop) updateLeaseBounds() {
	for id := range t.leaseBounds {
		if !t.core.MayRunOutOfReach(id) {
			t.removeLeaseBound(id)
		}
	}
	reading, ok := platform.StoreClock(t.Store)
	if !ok || !t.registryRead {
		return
	}
	for id, end := range t.core.LeasesOutOfReach() {
		if _, listed := t.leaseBounds[id]; listed || len(t.leaseBounds) >= maxLeaseBounds || t.leaseBounds.size() >= maxLeaseBoundBytes {
			continue
		}
		granted, linkEnd := t.links.withhold(id)
		// A reading from before the last lease does not show how long this host was
		// suspended since.
		if !reading.Sent.After(granted) {
			continue
		}
		if linkEnd.After(end) {
			end = linkEnd
		}
		t.leaseBounds[id] = ceilMillis(reading.Upper(end))
		t.commitDue = true
	}
}

// removeLeaseBound removes a worker, which is given leases again once that is stored.
func (t *termLoop) removeLeaseBound(id string) {
	if _, listed := t.leaseBounds[id]; listed {
		delete(t.leaseBounds, id)
		t.commitDue = true
	}
}

// releaseLeases lets the workers be given leases again that the stored record no longer
// lists.
func (t *termLoop) releaseLeases(stored leaseBounds) {
	for id := range t.links.withheld {
		_, wasStored := stored[id]
		_, listed := t.leaseBounds[id]
		if !wasStored && !listed {
			t.links.release(id)
		}
	}
}

package coordinator

import (
	"math"
	"time"
)

// A leader whose commits are slow announces in the leader record when it will commit
// again, so that other hosts do not mistake slowness for absence. Load pattern: a leader
// whose link is full, or a new leader that reads all stored jobs over a link of 2 Mbit/s.
// Its commits and its answers to probes wait behind these bytes for a second or more. A
// takeover by another host, which has to load the jobs over its own link, makes it worse.
const (
	// renewFactor times the duration of the slowest recent commit is the announced time.
	renewFactor = 3
	// slowestHalfLife is the half-life of the duration of the slowest recent commit.
	slowestHalfLife = 2500 * time.Millisecond
	// maxSlowest bounds that duration. A commit that takes longer met a store that did not
	// answer, which says little about the leader's link.
	maxSlowest = 700 * time.Millisecond
	// minLoadTime is the time that a leader is given to load the jobs if its predecessor
	// did not finish loading them. It doubles with each further term that does not
	// finish, up to maxLoadTime.
	minLoadTime = 500 * time.Millisecond
	maxLoadTime = 4 * time.Second
)

// renewal tracks the durations of the leader's commits.
type renewal struct {
	slowest  time.Duration // of the recent commits, as of recorded
	recorded time.Time
	loading  bool          // the stored jobs are not loaded yet
	loadTime time.Duration // announced while loading; 0 if the predecessor had loaded the jobs
}

// newRenewal returns the renewal of a leader that follows the given record.
func newRenewal(previous *LeaderRecord) renewal {
	r := renewal{loading: true}
	if previous.Loading {
		r.loadTime = min(maxLoadTime, max(minLoadTime, 2*previous.renewWithin()))
	}
	return r
}

// record adds the duration of a commit that ended now.
func (r *renewal) record(took time.Duration, now time.Time) {
	decay := math.Exp2(-float64(now.Sub(r.recorded)) / float64(slowestHalfLife))
	r.slowest = max(min(took, maxSlowest), time.Duration(decay*float64(r.slowest)))
	r.recorded = now
}

// announce sets the fields of the leader record by which other hosts know when to expect
// the next commit.
func (r *renewal) announce(record *LeaderRecord) {
	within := renewFactor * r.slowest
	record.Loading = r.loading
	if r.loading {
		within = max(within, r.loadTime)
	}
	record.RenewMS = 0
	if within > silenceTimeoutLate { // shorter times are allowed in any case
		record.RenewMS = min(within, maxLoadTime).Milliseconds()
	}
}

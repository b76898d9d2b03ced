package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/linkmeter"
	"cuminloft/internal/wait"
)

// Admission of new jobs by what links carry.
const (
	// targetLinkUse is the share of a link's capacity that a host uses at most for its
	// messages. The rest is for TCP's overhead and for peaks.
	targetLinkUse = 0.65
	// admissionInterval is the interval at which the use of the link is measured.
	admissionInterval = 500 * time.Millisecond
	// minAdmitted is the least share of new jobs that is admitted, which shows whether
	// the link can carry more again.
	minAdmitted = 0.05
	// maxAdmissionStep bounds the change of the admitted share in one interval.
	maxAdmissionStep = 1.25
	// maxWaitLinkFull is the age of the oldest waiting job from which a coordinator whose
	// link is full takes no new jobs: they would be started before the old ones, which
	// would never run.
	maxWaitLinkFull = 6 * time.Second
	// leaderAdmissionAge is how long the share that the coordinator reported is used.
	leaderAdmissionAge = 5 * time.Second
	// retryLinkFull is the retry interval of a refused job. A job that is refused
	// again gets the same interval.
	retryLinkFull = time.Second
)

// admission decides which share of new jobs this host accepts, by the use of its own
// link and of the coordinator's. Load pattern: more jobs than the coordinator's link can
// carry orders for. Accepted jobs would wait for minutes, and the calls on the full link
// would time out and be repeated.
type admission struct {
	log      logr.Logger
	meter    *linkmeter.Meter
	capacity float64 // of the link, in bytes a second; 0: unknown

	mu       sync.Mutex
	own      admittedShare
	oldest   time.Duration // age of the oldest job that waits at this coordinator
	leader   float64       // share that the coordinator reported
	leaderAt time.Time
}

func newAdmission(m *linkmeter.Meter, capacity float64, log logr.Logger) *admission {
	return &admission{log: log, meter: m, capacity: capacity, own: admittedShare{1}}
}

// admittedShare is the share of new jobs that a link can carry.
type admittedShare struct{ share float64 }

// adjust changes the share after an interval in which this share of the link was used.
// The use is assumed to grow with the share of jobs admitted.
func (a *admittedShare) adjust(use float64) {
	step := maxAdmissionStep
	if use > 0 {
		step = min(maxAdmissionStep, max(1/maxAdmissionStep, targetLinkUse/use))
	}
	a.share = min(1, max(minAdmitted, a.share*step))
}

// run measures the use of the link until ctx ends.
func (a *admission) run(ctx context.Context) error {
	if a.capacity == 0 {
		return nil
	}
	last, lastAt := a.meter.Sum(), time.Now()
	for wait.For(ctx, admissionInterval) == nil {
		now, at := a.meter.Sum(), time.Now()
		bytes := max(now.Sent-last.Sent, now.Received-last.Received)
		use := float64(bytes) / at.Sub(lastAt).Seconds() / a.capacity
		last, lastAt = now, at
		a.mu.Lock()
		before := a.own.share
		a.own.adjust(use)
		after := a.own.share
		a.mu.Unlock()
		if before != after {
			a.log.Info("admitted share of new jobs", "share", after, "before", before, "link use", use)
		}
	}
	return ctx.Err()
}

// setOldest records the age of the oldest job that waits at this coordinator.
func (a *admission) setOldest(age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.oldest = age
}

// ownShare returns the share of new jobs that this host can carry. The caller holds mu.
func (a *admission) ownShare() float64 {
	if a.own.share < 1 && a.oldest > maxWaitLinkFull {
		return 0
	}
	return a.own.share
}

// refusedPermille returns the share of new jobs, in thousandths, that this host's link
// cannot carry.
func (a *admission) refusedPermille() int32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int32(1000 * (1 - a.ownShare()))
}

// setLeader records the share that the coordinator's link cannot carry.
func (a *admission) setLeader(refusedPermille int32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader, a.leaderAt = 1-float64(refusedPermille)/1000, time.Now()
}

// admit decides whether to accept a new job. Otherwise it returns when to retry.
func (a *admission) admit() (retryAfter time.Duration, ok bool) {
	share := a.admittedNow()
	if share >= 1 || rand.Float64() < share {
		return 0, true
	}
	return retryLinkFull, false
}

// admittedNow returns the share of new jobs that this host accepts.
func (a *admission) admittedNow() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	share := a.ownShare()
	if time.Since(a.leaderAt) < leaderAdmissionAge {
		share = min(share, a.leader)
	}
	return share
}

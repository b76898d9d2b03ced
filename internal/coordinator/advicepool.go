package coordinator

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// Limits of calls to the advice service.
const (
	// adviceTimeoutSlack is added to the expected duration of a call. Each host makes
	// one call at a time, so calls are delayed only by the network.
	adviceTimeoutSlack = 300 * time.Millisecond
	// After a failed call a host pauses for adviserPause. The pause doubles with each
	// further failure, up to maxAdviserPause.
	adviserPause    = 2 * time.Second
	maxAdviserPause = 8 * time.Second
	// If the calls through at least commonFailureShare of the hosts fail within
	// commonFailureSpan, the cause is this host, and the hosts pause for
	// commonFailurePause. Load pattern: the coordinator's host is slow for some seconds.
	commonFailureShare = 0.5
	commonFailureSpan  = 500 * time.Millisecond
	commonFailurePause = 100 * time.Millisecond
	// maxQueuedCalls is the expected time of the calls that a host may have in progress
	// when it gets a further short call. The service handles a host's calls in turn, so
	// that a queued call spares the time until the event loop sees the first one's answer.
	maxQueuedCalls = 50 * time.Millisecond
	// maxPauseDoublings bounds the shift that doubles adviserPause.
	maxPauseDoublings = 3
	busyAdviserPause  = 200 * time.Millisecond // pause after the service reported too many calls
	// shortCallLimit is the longest call that may use the hosts reserved for short
	// calls.
	shortCallLimit = 60 * time.Millisecond
	// reservedForShort hosts make only short calls, so that urgent steps do not wait
	// behind calls of half a second, if at least minHostsToReserve take calls. Load
	// pattern: two hosts are left, and long calls need more than half of their time.
	reservedForShort    = 1
	minHostsToReserve   = 3
	unreservedCallLimit = time.Minute
	// fewIdleShare is the share of idle hosts below which AdviceCapacity.FewIdle is set:
	// calls for gangs then name fewer workers and take less time.
	fewIdleShare = 0.5
	// advisersTTL is how long a listing of the hosts is reused.
	advisersTTL = 250 * time.Millisecond
)

// advicePool distributes calls for advice over the hosts, because the service handles
// one call at a time per calling host. Load pattern: bursts of steps whose calls take
// longer in sum than one host has time.
type advicePool struct {
	advisers       func() []Adviser
	events         chan<- any
	inProgress     map[string]time.Duration // by host: expected time of its calls in progress
	pausedUntil    map[string]time.Time
	failures       map[string]int       // consecutive failures by host
	failedAt       map[string]time.Time // by host: the latest failure
	cachedAdvisers []Adviser
	listedAt       time.Time
}

func newAdvicePool(advisers func() []Adviser, events chan<- any) *advicePool {
	return &advicePool{advisers: advisers, events: events, inProgress: map[string]time.Duration{},
		pausedUntil: map[string]time.Time{}, failures: map[string]int{}, failedAt: map[string]time.Time{}}
}

// startCalls starts the calls that the core requests: one on each idle host, and short
// calls also on hosts with few short calls in progress.
func (p *advicePool) startCalls(ctx context.Context, core *dispatch.Core, now time.Time) {
	if now.Sub(p.listedAt) >= advisersTTL {
		p.cachedAdvisers, p.listedAt = p.advisers(), now
	}
	var idle, queueing []Adviser
	takingCalls := 0
	for _, a := range p.cachedAdvisers {
		switch {
		case now.Before(p.pausedUntil[a.Name]):
			continue
		case p.inProgress[a.Name] == 0:
			idle = append(idle, a)
		case p.inProgress[a.Name] <= maxQueuedCalls:
			queueing = append(queueing, a)
		}
		takingCalls++
	}
	reserved := 0
	if takingCalls >= minHostsToReserve {
		reserved = reservedForShort
	}
	pass := core.NewAdvicePass(now)
	for len(idle)+len(queueing) > 0 {
		capacity := dispatch.AdviceCapacity{MaxDuration: unreservedCallLimit, FewIdle: float64(len(idle)) < fewIdleShare*float64(len(p.cachedAdvisers))}
		if len(idle) <= reserved {
			capacity.MaxDuration = shortCallLimit
		}
		call, ok := pass.Next(capacity)
		if !ok {
			return
		}
		hosts := &idle
		if len(idle) == 0 {
			hosts = &queueing
		}
		a := (*hosts)[0]
		*hosts = (*hosts)[1:]
		queued := p.inProgress[a.Name]
		p.inProgress[a.Name] += call.Duration
		go p.call(ctx, a, call, queued)
	}
}

// call makes a call that waits for other calls of the host for the time queued.
func (p *advicePool) call(ctx context.Context, a Adviser, request dispatch.AdviceCall, queued time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, queued+request.Duration+adviceTimeoutSlack)
	tickets, err := a.Advise(callCtx, request.Step, request.Workers)
	cancel()
	select {
	case p.events <- adviceResult{request, a.Name, tickets, err}:
	case <-ctx.Done():
	}
}

// finishCall records the end of a call, and pauses the calling host if the call failed.
func (p *advicePool) finishCall(e adviceResult, now time.Time) {
	if p.inProgress[e.adviser] -= e.call.Duration; p.inProgress[e.adviser] <= 0 {
		delete(p.inProgress, e.adviser)
	}
	switch {
	case errors.Is(e.err, workload.ErrAdviceBusy):
		p.pausedUntil[e.adviser] = now.Add(busyAdviserPause)
	case e.err != nil && !errors.Is(e.err, workload.ErrAdviceIncomplete):
		p.failedAt[e.adviser] = now
		if p.commonFailure(now) {
			p.pauseAll(now)
			return
		}
		p.pausedUntil[e.adviser] = now.Add(min(maxAdviserPause, adviserPause<<p.failures[e.adviser]))
		p.failures[e.adviser] = min(p.failures[e.adviser]+1, maxPauseDoublings)
	default:
		delete(p.failures, e.adviser)
	}
}

// commonFailure reports whether so many hosts have just failed that the cause is this
// host.
func (p *advicePool) commonFailure(now time.Time) bool {
	failed := 0
	for _, at := range p.failedAt {
		if now.Sub(at) < commonFailureSpan {
			failed++
		}
	}
	return failed > 1 && float64(failed) >= commonFailureShare*float64(len(p.cachedAdvisers))
}

// pauseAll replaces the pauses of the hosts that have just failed by a short one.
func (p *advicePool) pauseAll(now time.Time) {
	for name, at := range p.failedAt {
		if now.Sub(at) < commonFailureSpan {
			p.pausedUntil[name] = now.Add(commonFailurePause)
			delete(p.failures, name)
		}
	}
}

var _ workload.Adviser = Adviser{}

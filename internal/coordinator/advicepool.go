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
	// maxPauseDoublings bounds the shift that doubles adviserPause.
	maxPauseDoublings = 3
	busyAdviserPause  = 200 * time.Millisecond // pause after the service reported too many calls
	// shortCallLimit is the longest call that may use the hosts reserved for short
	// calls.
	shortCallLimit = 60 * time.Millisecond
	// reservedForShort hosts make only short calls, so that urgent steps do not wait
	// behind calls of half a second.
	reservedForShort    = 2
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
	busy           map[string]bool
	pausedUntil    map[string]time.Time
	failures       map[string]int // consecutive failures by host
	cachedAdvisers []Adviser
	listedAt       time.Time
}

func newAdvicePool(advisers func() []Adviser, events chan<- any) *advicePool {
	return &advicePool{advisers: advisers, events: events, busy: map[string]bool{}, pausedUntil: map[string]time.Time{}, failures: map[string]int{}}
}

// startCalls starts the calls that the core requests, one on each idle host.
func (p *advicePool) startCalls(ctx context.Context, core *dispatch.Core, now time.Time) {
	if now.Sub(p.listedAt) >= advisersTTL {
		p.cachedAdvisers, p.listedAt = p.advisers(), now
	}
	var idle []Adviser
	for _, a := range p.cachedAdvisers {
		if !p.busy[a.Name] && !now.Before(p.pausedUntil[a.Name]) {
			idle = append(idle, a)
		}
	}
	if len(idle) == 0 {
		return
	}
	pass := core.NewAdvicePass(now)
	for len(idle) > 0 {
		capacity := dispatch.AdviceCapacity{MaxDuration: unreservedCallLimit, FewIdle: float64(len(idle)) < fewIdleShare*float64(len(p.cachedAdvisers))}
		if len(idle) <= reservedForShort {
			capacity.MaxDuration = shortCallLimit
		}
		call, ok := pass.Next(capacity)
		if !ok {
			return
		}
		a := idle[0]
		idle = idle[1:]
		p.busy[a.Name] = true
		go p.call(ctx, a, call)
	}
}

func (p *advicePool) call(ctx context.Context, a Adviser, request dispatch.AdviceCall) {
	callCtx, cancel := context.WithTimeout(ctx, request.Duration+adviceTimeoutSlack)
	tickets, err := a.Advise(callCtx, request.Step, request.Workers)
	cancel()
	select {
	case p.events <- adviceResult{request, a.Name, tickets, err}:
	case <-ctx.Done():
	}
}

// finishCall marks the calling host as idle and pauses it if the call failed.
func (p *advicePool) finishCall(e adviceResult, now time.Time) {
	delete(p.busy, e.adviser)
	switch {
	case errors.Is(e.err, workload.ErrAdviceBusy):
		p.pausedUntil[e.adviser] = now.Add(busyAdviserPause)
	case e.err != nil:
		p.pausedUntil[e.adviser] = now.Add(min(maxAdviserPause, adviserPause<<p.failures[e.adviser]))
		p.failures[e.adviser] = min(p.failures[e.adviser]+1, maxPauseDoublings)
	default:
		delete(p.failures, e.adviser)
	}
}

var _ workload.Adviser = Adviser{}

package coordinator

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// Calls for advice.
const (
	// adviceSlack is added to the time that the service should take. Hosts make one
	// call at a time, so calls wait for nothing but the network.
	adviceSlack = 300 * time.Millisecond
	// A host whose call failed is left alone for adviserRest, twice as long after
	// each further failure, up to longestRest.
	adviserRest = 2 * time.Second
	longestRest = 8 * time.Second
	// restDoublings bounds the shift that doubles adviserRest.
	restDoublings = 3
	busyRest      = 200 * time.Millisecond // the same when the service has too many calls
	// shortAdvice is the longest call that may use the hosts kept for short calls.
	shortAdvice = 60 * time.Millisecond
	// keptForShort hosts make only short calls, so that urgent steps do not wait
	// behind calls of half a second.
	keptForShort = 2
	anyAdvice    = time.Minute
	// scarceShare is the share of idle hosts below which calls are kept short.
	scarceShare = 0.5
	// advisersFor is how long a list of the hosts is used.
	advisersFor = 250 * time.Millisecond
)

// adviceDesk spreads calls for advice over the hosts: the service handles one
// call at a time for each calling host. Load pattern: bursts of steps whose
// calls take longer in sum than one host has time.
type adviceDesk struct {
	advisers func() []Adviser
	events   chan<- any
	busy     map[string]bool
	rest     map[string]time.Time
	failures map[string]int // since the last answer, by host
	hosts    []Adviser
	listed   time.Time
}

func newAdviceDesk(advisers func() []Adviser, events chan<- any) *adviceDesk {
	return &adviceDesk{advisers: advisers, events: events, busy: map[string]bool{}, rest: map[string]time.Time{}, failures: map[string]int{}}
}

// ask makes the calls that the core wants on the hosts that are idle.
func (d *adviceDesk) ask(ctx context.Context, core *dispatch.Core, now time.Time) {
	if now.Sub(d.listed) >= advisersFor {
		d.hosts, d.listed = d.advisers(), now
	}
	var idle []Adviser
	for _, a := range d.hosts {
		if !d.busy[a.Name] && !now.Before(d.rest[a.Name]) {
			idle = append(idle, a)
		}
	}
	if len(idle) == 0 {
		return
	}
	pass := core.NewAdvicePass(now)
	for len(idle) > 0 {
		hosts := dispatch.AdviceCapacity{MaxDuration: anyAdvice, FewIdle: float64(len(idle)) < scarceShare*float64(len(d.hosts))}
		if len(idle) <= keptForShort {
			hosts.MaxDuration = shortAdvice
		}
		ask, ok := pass.Next(hosts)
		if !ok {
			return
		}
		a := idle[0]
		idle = idle[1:]
		d.busy[a.Name] = true
		go d.call(ctx, a, ask)
	}
}

func (d *adviceDesk) call(ctx context.Context, a Adviser, ask dispatch.AdviceCall) {
	call, cancel := context.WithTimeout(ctx, ask.Duration+adviceSlack)
	tickets, err := a.Advise(call, ask.Step, ask.Workers)
	cancel()
	select {
	case d.events <- advised{ask, a.Name, tickets, err}:
	case <-ctx.Done():
	}
}

// answered frees the host that made a call.
func (d *adviceDesk) answered(e advised, now time.Time) {
	delete(d.busy, e.adviser)
	switch {
	case errors.Is(e.err, workload.ErrAdviceBusy):
		d.rest[e.adviser] = now.Add(busyRest)
	case e.err != nil:
		d.rest[e.adviser] = now.Add(min(longestRest, adviserRest<<d.failures[e.adviser]))
		d.failures[e.adviser] = min(d.failures[e.adviser]+1, restDoublings)
	default:
		delete(d.failures, e.adviser)
	}
}

var _ workload.Adviser = Adviser{}

package coordinator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Load pattern: the hosts of an AZ are down. Each call through one of them delays a
// step, so the pause after each further failure of a host doubles up to its limit, and
// an answer resets it.
func TestFailingAdvisersBackOff(t *testing.T) {
	is := is.New(t)
	p := newAdvicePool(nil, nil)
	now := time.Now()
	calls := 0
	for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if at.Before(p.pausedUntil["h"]) {
			continue
		}
		calls++
		p.finishCall(adviceResult{adviser: "h", err: errors.New("no answer")}, at)
	}
	is.Equal(calls, 4) // at 0, 2, 6 and 14 s
	p.finishCall(adviceResult{adviser: "h"}, now)
	p.finishCall(adviceResult{adviser: "h", err: errors.New("no answer")}, now)
	is.Equal(p.pausedUntil["h"].Sub(now), adviserPause)
}

// Load pattern: the coordinator's host is slow for some seconds, so that its calls through
// all hosts fail at once. The hosts are asked again soon: pausing all of them would leave
// every step without advice.
func TestCommonFailuresPauseBriefly(t *testing.T) {
	is := is.New(t)
	all := []Adviser{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	p := newAdvicePool(nil, nil)
	p.cachedAdvisers = all
	now := time.Now()
	fail := func(name string) { p.finishCall(adviceResult{adviser: name, err: errors.New("no answer")}, now) }
	fail("a")
	is.Equal(p.pausedUntil["a"].Sub(now), adviserPause) // a single host has failed
	now = now.Add(100 * time.Millisecond)
	fail("b")
	for _, name := range []string{"a", "b"} {
		is.Equal(p.pausedUntil[name].Sub(now), commonFailurePause)
	}
	now = now.Add(commonFailureSpan)
	fail("a")
	is.Equal(p.pausedUntil["a"].Sub(now), adviserPause)
}

// recordingAdviser records the calls and answers them when released.
type recordingAdviser struct {
	calls   chan workload.StepID
	release chan struct{}
}

func (a recordingAdviser) Advise(ctx context.Context, step workload.StepID, _ []string) ([]workload.Ticket, error) {
	a.calls <- step
	select {
	case <-a.release:
	case <-ctx.Done():
	}
	return nil, nil
}

// Load pattern: a burst of urgent steps whose calls take 20 ms. Between two passes of the
// event loop a host would be idle for as long again, so it has a second short call
// queued, but never a call that waits behind a long one.
func TestShortCallsAreQueued(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		perCall time.Duration
		calls   int // in progress at one host
	}{{20 * time.Millisecond, 3}, {45 * time.Millisecond, 2}, {400 * time.Millisecond, 1}} {
		adviser := recordingAdviser{make(chan workload.StepID, 20), make(chan struct{})}
		events := make(chan any, 20)
		hosts := []Adviser{{Name: "a", Adviser: adviser}}
		for i := range reservedForShort {
			hosts = append(hosts, Adviser{Name: fmt.Sprint("paused-", i), Adviser: adviser})
		}
		p := newAdvicePool(func() []Adviser { return hosts }, events)
		now := time.Now()
		if test.perCall <= shortCallLimit {
			hosts = hosts[:1]
		}
		core := dispatch.New()
		queue := workload.Queue{Name: "q", Pool: "p", Slack: 2, Allowance: 10 * time.Second,
			Advice: &workload.AdviceCost{PerCall: test.perCall, Validity: 2 * time.Second}}
		core.SetCell(workload.NewCell(1, []workload.Queue{queue}, []workload.Team{{Name: "team"}}, nil))
		for i := range 20 {
			id := fmt.Sprint("w", i)
			core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{ID: id, Address: "w:1", Pool: "p", Incarnation: 1,
				Capacity: model.Resources{MilliCores: 64000, MemoryMB: 1 << 20}}})
			core.HandleInventory(id, workload.Inventory{Incarnation: 1}, now, now)
		}
		for i := range 8 {
			core.AddJob(&workload.Job{ID: fmt.Sprintf("%016d", i), Queue: "q", Pool: "p", Team: "team", Policy: queue, AcceptedAt: now.UnixMilli(),
				Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1000}, Estimate: time.Second}}}, now)
		}
		core.Schedule(now)
		for range 5 {
			p.startCalls(t.Context(), core, now)
		}
		most := 0
		for _, h := range hosts {
			most = max(most, int(p.inProgress[h.Name]/test.perCall))
		}
		is.Equal(most, test.calls)
		total := 0
		for _, d := range p.inProgress {
			total += int(d / test.perCall)
		}
		close(adviser.release)
		for range total {
			p.finishCall((<-events).(adviceResult), now)
		}
		is.Equal(len(p.inProgress), 0)
	}
}

// Load pattern: all hosts but one are down. A step whose call is long still gets its
// advice: the last host is not kept for short calls for good.
func TestLastHostMakesNoLongCalls(t *testing.T) {
	is := is.New(t)
	const longCall = 450 * time.Millisecond
	adviser := recordingAdviser{make(chan workload.StepID, 1), make(chan struct{})}
	defer close(adviser.release)
	p := newAdvicePool(func() []Adviser { return []Adviser{{Name: "last", Adviser: adviser}} }, make(chan any, 1))
	core, now := dispatch.New(), time.Now()
	queue := workload.Queue{Name: "q", Pool: "p", Slack: 2, Allowance: 10 * time.Second,
		Advice: &workload.AdviceCost{PerCall: longCall, Validity: 2 * time.Second}}
	core.SetCell(workload.NewCell(1, []workload.Queue{queue}, []workload.Team{{Name: "team"}}, nil))
	core.SetWorker(workload.WorkerChange{ID: "w", Worker: &workload.Worker{ID: "w", Address: "w:1", Pool: "p", Incarnation: 1,
		Capacity: model.Resources{MilliCores: 64000, MemoryMB: 1 << 20}}})
	core.HandleInventory("w", workload.Inventory{Incarnation: 1}, now, now)
	core.AddJob(&workload.Job{ID: "0000000000000001", Queue: "q", Pool: "p", Team: "team", Policy: queue, AcceptedAt: now.UnixMilli(),
		Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1000}, Service: true}}}, now)
	for range 100 {
		core.Schedule(now)
		p.startCalls(t.Context(), core, now)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(p.inProgress["last"] >= longCall)
}

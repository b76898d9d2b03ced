package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against calls for a larger choice of workers while a gang has free capacity and only
// its tickets have expired.
func TestTicketsAreRenewedBeforeFurtherWorkersAreNamed(t *testing.T) {
	for name, test := range map[string]struct {
		policy  Policy
		allowed int // of the workers named first
		fewIdle bool
		known   bool // the next call names only workers known to be allowed
		most    int
	}{
		"off":                       {Policy{}, 8, false, false, maxCallWorkers},
		"gang fits":                 {Policy{RenewFirst: true}, 8, false, true, 8},
		"gang fits, few idle hosts": {Policy{RenewFirst: true}, 8, true, true, 8},
		"does not fit":              {Policy{RenewFirst: true}, 1, false, false, maxCallWorkers},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 20, Allowance: time.Second,
				Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}}}, []workload.Team{{Name: "team", Weight: 100}}, nil))
			c.core.SetPolicy(test.policy)
			for i := range 200 {
				c.addWorker(fmt.Sprintf("w%03d", i), 8)
			}
			c.addJob("j", workload.Step{Tasks: 5, Resources: cores(4), Gang: true, Estimate: time.Second})
			is.Equal(len(c.startTasks(nil)), 0)
			hosts := AdviceCapacity{MaxDuration: time.Second, FewIdle: test.fewIdle}
			call, ok := c.core.NewAdvicePass(c.now).Next(hosts)
			is.True(ok)
			var tickets []workload.Ticket
			allowed := map[string]bool{}
			for _, id := range call.Workers[:test.allowed] {
				tickets = append(tickets, workload.Ticket{Worker: id, Token: "t"})
				allowed[id] = true
			}
			c.core.HandleAdvice(call, tickets, nil, c.now)
			c.now = c.now.Add(3 * time.Second) // the tickets have expired
			is.Equal(len(c.startTasks(nil)), 0)
			call, ok = c.core.NewAdvicePass(c.now).Next(hosts)
			is.True(ok)
			is.True(len(call.Workers) > 0 && len(call.Workers) <= test.most)
			known := 0
			for _, id := range call.Workers {
				if allowed[id] {
					known++
				}
			}
			is.Equal(known == len(call.Workers), test.known)
		})
	}
}

// Guards against renewals that name more workers than a call may: capacity is reserved for a wide
// gang on more than maxCallWorkers workers.
func TestRenewalNamesNoMoreWorkersThanACallMay(t *testing.T) {
	for name, policy := range map[string]Policy{
		"renew first": {ReserveAmounts: true, RenewFirst: true},
		"amounts":     {ReserveAmounts: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.core.SetCell(workload.NewCell(2, []workload.Queue{
				{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 20, Allowance: time.Second,
					Advice: &workload.AdviceCost{PerCall: 100 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 2 * time.Second}},
				{Name: "fill", Pool: "pool", MaxAttempts: 2, Slack: 20, Allowance: time.Second},
			}, []workload.Team{{Name: "team", Weight: 1000}}, nil))
			c.core.SetPolicy(policy)
			for i := range 200 {
				c.addWorker(fmt.Sprintf("w%03d", i), 8)
			}
			c.core.AddJob(&workload.Job{ID: "fill", Queue: "fill", Team: "team", AcceptedAt: c.now.UnixMilli(),
				Steps: []workload.Step{{Tasks: 200, Resources: cores(8), Estimate: time.Second}}}, c.now)
			is.Equal(len(c.startTasks(nil)), 200)
			c.addJob("j", workload.Step{Tasks: 70, Resources: cores(5), Gang: true, Estimate: time.Second})
			s := c.core.findStep(workload.StepID{Job: "j"})
			s.advice.tickets, s.advice.denied = map[string]ticket{}, map[string]bool{}
			for i := range 200 {
				s.advice.tickets[fmt.Sprintf("w%03d", i)] = ticket{} // allowed, and expired
			}
			c.now = c.now.Add(reservationMaxAge)
			c.core.Schedule(c.now)
			is.True(len(c.core.reservedFor(s)) > maxCallWorkers)
			call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: 10 * time.Second, FewIdle: true})
			is.True(ok)
			is.True(len(call.Workers) <= maxCallWorkers)
		})
	}
}

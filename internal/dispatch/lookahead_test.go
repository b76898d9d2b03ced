package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// stepsWithCalls returns the jobs for which calls are made while enough hosts are idle.
func stepsWithCalls(c *testCell) map[string]bool {
	jobs := map[string]bool{}
	for {
		call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute})
		if !ok {
			return jobs
		}
		jobs[call.Step.Job] = true
	}
}

// advisedCell has a queue whose steps need advice, and two teams, one with a limit of
// four cores.
func advisedCell(t *testing.T) *testCell {
	c := newCell(t)
	c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 100 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}}},
		[]workload.Team{{Name: "team", Weight: 1000}, {Name: "small", Weight: 1000, Limit: cores(4)}}, nil))
	return c
}

// Load pattern: a backlog. Calls are made only for the steps that fit into the capacity
// that is free within the validity of a ticket.
func TestNoCallsForStepsFarBack(t *testing.T) {
	is := is.New(t)
	c := advisedCell(t)
	for i := range 4 {
		c.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	for i := range 40 {
		c.addJob(fmt.Sprintf("j%02d", i), workload.Step{Tasks: 4, Resources: cores(2), Estimate: time.Second})
		c.now = c.now.Add(time.Millisecond)
	}
	is.Equal(len(c.startTasks(nil)), 0)
	called := stepsWithCalls(c)
	is.True(called["j00"] && called["j03"]) // 32 cores are free
	is.True(!called["j20"])
}

// Load pattern: a team submits many times its usual load and is at its limit. No calls
// are made for its steps, and they do not block calls for the steps of other teams.
func TestNoCallsForTeamAtLimit(t *testing.T) {
	is := is.New(t)
	c := advisedCell(t)
	for i := range 4 {
		c.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	submit := func(id, team string) {
		c.core.AddJob(&workload.Job{ID: id, Queue: "batch", Pool: "pool", Team: team, AcceptedAt: c.now.UnixMilli(),
			Steps: []workload.Step{{Tasks: 4, Resources: cores(2), Estimate: time.Second}}}, c.now)
		c.now = c.now.Add(time.Millisecond)
	}
	for i := range 40 {
		submit(fmt.Sprintf("s%02d", i), "small")
	}
	submit("other", "team")
	is.Equal(len(c.startTasks(nil)), 0)
	is.Equal(stepsWithCalls(c), map[string]bool{"s00": true, "other": true})
}

// Load pattern: urgent work has become late behind a backlog. Its calls take 20 ms and
// its small tasks fit into gaps, so calls are made for it at any position in the order.
func TestShortCallsAreMadeAtAnyPosition(t *testing.T) {
	is := is.New(t)
	c := advisedCell(t)
	queues := []workload.Queue{
		{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
			Advice: &workload.AdviceCost{PerCall: 100 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}},
		{Name: "short", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Hour,
			Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}},
	}
	c.core.SetCell(workload.NewCell(3, queues, []workload.Team{{Name: "team", Weight: 1000}}, nil))
	c.addWorker("w", 8)
	for i := range 20 {
		c.addJob(fmt.Sprintf("j%02d", i), workload.Step{Tasks: 4, Resources: cores(2), Estimate: time.Second})
	}
	c.core.AddJob(&workload.Job{ID: "late", Queue: "short", Pool: "pool", Team: "team", AcceptedAt: c.now.UnixMilli(),
		Steps: []workload.Step{{Tasks: 1, Resources: cores(1), Estimate: time.Second}}}, c.now)
	is.Equal(len(c.startTasks(nil)), 0)
	called := stepsWithCalls(c)
	is.True(called["late"])
	is.True(!called["j19"])
}

// Load pattern: a burst of urgent work, part of which is late already. A step with
// tickets for full workers requests advice for workers with free capacity, although
// capacity on the full ones will be released.
func TestLateStepCallsForFreeWorkers(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.addWorker("full", 8)
	c.addJob("first", workload.Step{Tasks: 1, Resources: cores(8), Estimate: time.Second})
	is.Equal(len(c.startTasks(nil)), 0)
	for more := true; more; {
		var call AdviceCall
		if call, more = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute}); more {
			c.core.HandleAdvice(call, []workload.Ticket{{Worker: "full", Token: "t"}}, nil, c.now)
		}
	}
	is.Equal(len(c.startTasks(nil)), 1)
	c.addJob("late", workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Second})
	is.Equal(len(c.startTasks(nil)), 0)
	s := c.core.findStep(workload.StepID{Job: "late"})
	s.advice.tickets = map[string]ticket{"full": {token: "t", incarnation: testIncarnation, expires: c.now.Add(time.Hour)}}
	s.advice.denied = map[string]bool{}
	c.now = c.now.Add(5 * time.Second) // the job is late
	c.addWorker("empty", 8)
	is.Equal(len(c.startTasks(nil)), 0)
	call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute})
	is.True(ok)
	is.Equal(call.Workers, []string{"empty"})
}

// Load pattern: thousands of workers. The workers of a call are chosen from a sample and
// from all workers known to be allowed. In small pools every worker is examined.
func TestCallsAreChosenFromASample(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", Slack: 2, Advice: &workload.AdviceCost{PerCall: 100 * time.Millisecond, Validity: 2 * time.Second}})
	for i := range 5 * callSampleSize {
		c.addWorker(fmt.Sprintf("w%04d", i), 8)
	}
	c.addJob("j", workload.Step{Tasks: 4, Resources: cores(2), Estimate: time.Second})
	c.core.Schedule(c.now)
	call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute})
	is.True(ok)
	is.True(len(call.Workers) >= minCallWorkers && len(call.Workers) <= maxCallWorkers)
	var tickets []workload.Ticket
	for _, w := range call.Workers[:4] {
		tickets = append(tickets, workload.Ticket{Worker: w, Token: "t"})
	}
	c.core.HandleAdvice(call, tickets, nil, c.now)
	c.core.RefreshReadySteps(c.now)
	s := c.core.findStep(call.Step)
	workers := slices.Collect(c.core.callWorkers(s, c.core.pass.pools["pool"]))
	is.True(len(workers) >= callSampleSize && len(workers) <= callSampleSize+4)
	seen := map[string]bool{}
	for _, w := range workers {
		seen[w.info.ID] = true
	}
	is.Equal(len(seen), len(workers))
	for _, ticket := range tickets {
		is.True(seen[ticket.Worker])
	}
}

package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// askedFor returns the jobs for which calls are made while hosts are idle.
func askedFor(c *cell) map[string]bool {
	asked := map[string]bool{}
	for {
		ask, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute})
		if !ok {
			return asked
		}
		asked[ask.Step.Job] = true
	}
}

// advisedCell has a queue whose steps need advice, and two teams, of which one may run
// four cores.
func advisedCell(t *testing.T) *cell {
	c := newCell(t)
	c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 100 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}}},
		[]workload.Team{{Name: "team", Weight: 1000}, {Name: "small", Weight: 1000, Limit: cores(4)}}, nil))
	return c
}

// Load pattern: a backlog. Steps ask for which room comes free while a ticket holds.
func TestStepsFarBehindDoNotAsk(t *testing.T) {
	is := is.New(t)
	c := advisedCell(t)
	for i := range 4 {
		c.worker(fmt.Sprintf("w%d", i), 8)
	}
	for i := range 40 {
		c.job(fmt.Sprintf("j%02d", i), workload.Step{Tasks: 4, Resources: cores(2), Estimate: time.Second})
		c.now = c.now.Add(time.Millisecond)
	}
	is.Equal(len(c.store(nil)), 0)
	asked := askedFor(c)
	is.True(asked["j00"] && asked["j03"]) // 32 cores are free
	is.True(!asked["j20"])
}

// Load pattern: a team sends many times its usual and is held by its limit. Its steps
// neither ask nor stand in the way of others.
func TestStepsOfATeamAtItsLimitDoNotAsk(t *testing.T) {
	is := is.New(t)
	c := advisedCell(t)
	for i := range 4 {
		c.worker(fmt.Sprintf("w%d", i), 8)
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
	is.Equal(len(c.store(nil)), 0)
	is.Equal(askedFor(c), map[string]bool{"s00": true, "other": true})
}

// Load pattern: urgent work that has become late behind a backlog. Its calls take 20 ms
// and it fits into gaps, so it asks wherever it stands.
func TestStepsWithShortCallsAsk(t *testing.T) {
	is := is.New(t)
	c := advisedCell(t)
	queues := []workload.Queue{
		{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
			Advice: &workload.AdviceCost{PerCall: 100 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}},
		{Name: "short", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Hour,
			Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}},
	}
	c.core.SetCell(workload.NewCell(3, queues, []workload.Team{{Name: "team", Weight: 1000}}, nil))
	c.worker("w", 8)
	for i := range 20 {
		c.job(fmt.Sprintf("j%02d", i), workload.Step{Tasks: 4, Resources: cores(2), Estimate: time.Second})
	}
	c.core.AddJob(&workload.Job{ID: "late", Queue: "short", Pool: "pool", Team: "team", AcceptedAt: c.now.UnixMilli(),
		Steps: []workload.Step{{Tasks: 1, Resources: cores(1), Estimate: time.Second}}}, c.now)
	is.Equal(len(c.store(nil)), 0)
	asked := askedFor(c)
	is.True(asked["late"])
	is.True(!asked["j19"])
}

// Load pattern: a burst of urgent work, part of which is late already. A step whose
// tickets are for workers that are full now asks for those that have room, although
// room will come free.
func TestLateStepsWithShortCallsAskForRoomThatIsThere(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.worker("full", 8)
	c.job("first", workload.Step{Tasks: 1, Resources: cores(8), Estimate: time.Second})
	is.Equal(len(c.store(nil)), 0)
	for asked := true; asked; {
		var ask AdviceCall
		if ask, asked = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute}); asked {
			c.core.HandleAdvice(ask, []workload.Ticket{{Worker: "full", Token: "t"}}, nil, c.now)
		}
	}
	is.Equal(len(c.store(nil)), 1)
	c.job("late", workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Second})
	is.Equal(len(c.store(nil)), 0)
	s := c.core.findStep(workload.StepID{Job: "late"})
	s.advice.tickets = map[string]ticket{"full": {text: "t", born: testBorn, expires: c.now.Add(time.Hour)}}
	s.advice.denied = map[string]bool{}
	c.now = c.now.Add(5 * time.Second) // late
	c.worker("empty", 8)
	is.Equal(len(c.store(nil)), 0)
	ask, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute})
	is.True(ok)
	is.Equal(ask.Workers, []string{"empty"})
}

// Load pattern: thousands of workers. The choice of a call is made from a sample, and from
// all workers that the step is known to be allowed on; small pools are looked at whole.
func TestCallsAreChosenFromASample(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", Slack: 2, Advice: &workload.AdviceCost{PerCall: 100 * time.Millisecond, Validity: 2 * time.Second}})
	for i := range 5 * askSample {
		c.worker(fmt.Sprintf("w%04d", i), 8)
	}
	c.job("j", workload.Step{Tasks: 4, Resources: cores(2), Estimate: time.Second})
	c.core.Schedule(c.now)
	ask, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Minute})
	is.True(ok)
	is.True(len(ask.Workers) >= askLeast && len(ask.Workers) <= askMost)
	var tickets []workload.Ticket
	for _, w := range ask.Workers[:4] {
		tickets = append(tickets, workload.Ticket{Worker: w, Token: "t"})
	}
	c.core.HandleAdvice(ask, tickets, nil, c.now)
	c.core.RefreshReadySteps(c.now)
	s := c.core.findStep(ask.Step)
	workers := slices.Collect(c.core.toAsk(s, c.core.round.pools["pool"]))
	is.True(len(workers) >= askSample && len(workers) <= askSample+4)
	seen := map[string]bool{}
	for _, w := range workers {
		seen[w.info.ID] = true
	}
	is.Equal(len(seen), len(workers))
	for _, known := range tickets {
		is.True(seen[known.Worker])
	}
}

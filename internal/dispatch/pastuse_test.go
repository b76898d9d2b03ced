package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// pastUseCell returns an empty cell with queues with and without advice.
func pastUseCell(t *testing.T, workers int) *testCell {
	t.Helper()
	c := newCell(t,
		workload.Queue{Name: "plain", Pool: "pool", Priority: 1, MaxAttempts: 2, Slack: 2, Allowance: time.Second},
		workload.Queue{Name: "urgent", Pool: "pool", MaxAttempts: 2, Slack: 1.5, Allowance: 250 * time.Millisecond, Advice: adviceCost(14.3, 0.208)},
		workload.Queue{Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 2, Slack: 2.2, Allowance: time.Second, Advice: adviceCost(455, 6.5)})
	c.core.SetCell(workload.NewCell(2, []workload.Queue{*c.core.cell.Queue("plain"), *c.core.cell.Queue("urgent"), *c.core.cell.Queue("gang")},
		[]workload.Team{{Name: "team"}, {Name: "over", Weight: 0.001}}, nil))
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%03d", i), 32)
	}
	return c
}

// addAged adds a job that was accepted some time ago.
func (c *testCell) addAged(id, queue, team string, age time.Duration, steps ...workload.Step) {
	c.core.AddJob(&workload.Job{ID: id, Queue: queue, Team: team, Steps: steps, AcceptedAt: c.now.Add(-age).UnixMilli()}, c.now)
}

// allSteps returns the steps that could start tasks, of all of them and in the order of
// ranks.
func (c *testCell) allSteps() []rankedStep {
	defer func(p pastUseTurns, toRank map[string]*job) { c.core.pastUse, c.core.toRank = p, toRank }(c.core.pastUse, c.core.toRank)
	c.core.toRank = maps.Clone(c.core.active)
	var parked []*occurrence
	for _, o := range c.core.pastUse.queue {
		if o.inTurn {
			parked = append(parked, o)
			o.inTurn = false
		}
	}
	c.core.pastUse = pastUseTurns{perPass: 1 << 30}
	out := c.core.readySteps(c.now)
	for _, o := range c.core.pastUse.queue {
		o.inTurn = false
	}
	for _, o := range parked {
		o.inTurn = true
	}
	return out
}

// Guards against jobs past their useful time that never run, although the cell is idle. Without
// advice the core asks for each pass itself, and no event or tick is needed.
func TestEachStepPastUseStartsInAnIdleCell(t *testing.T) {
	for _, jobs := range []int{30, 500, 4000} {
		for _, queue := range []string{"plain", "urgent", "gang"} {
			t.Run(fmt.Sprintf("%s/%d", queue, jobs), func(t *testing.T) {
				is := is.New(t)
				c := pastUseCell(t, 150)
				for i := range jobs {
					team := [...]string{"team", "over"}[i%2]
					c.addAged(fmt.Sprintf("j%05d", i), queue, team, time.Hour, workload.Step{Tasks: 1 + i%2, Gang: i%3 == 0, Service: i%50 == 7, Estimate: time.Second,
						Resources: model.Resources{MilliCores: 500, MemoryMB: 100}})
				}
				passes, seq := 0, map[string]int64{}
				for ; len(c.allSteps()) > 0; passes++ {
					if queue != "plain" { // a step without a call in its turn has another turn
						c.core.Tick(c.now)
					}
					is.True(c.core.NeedsScheduling())
					is.True(passes <= 2*pastUsePasses)
					for _, st := range c.startTasks(nil) {
						if c.core.findStep(st.Order.Run.Task.StepID).spec.Service || queue == "plain" {
							continue
						}
						// A gang waits for capacity on the workers that its first call has allowed.
						seq[st.Worker.ID]++
						c.reportEnd(seq[st.Worker.ID], st, workload.RunDone, "")
					}
					pass := c.core.NewAdvicePass(c.now)
					for call, ok := pass.Next(AdviceCapacity{MaxDuration: time.Minute}); ok; call, ok = pass.Next(AdviceCapacity{MaxDuration: time.Minute}) {
						var tickets []workload.Ticket
						for _, w := range call.Workers {
							tickets = append(tickets, workload.Ticket{Worker: w, Token: "t"})
						}
						c.core.HandleAdvice(call, tickets, nil, c.now)
					}
				}
				t.Logf("%d passes", passes)
			})
		}
	}
}

// Guards against passes that take longer for a backlog that earns nothing any more, and against
// a backlog that is no longer visible to the operators.
func TestPassConsidersFewStepsPastUse(t *testing.T) {
	is := is.New(t)
	c := pastUseCell(t, 0)
	for i := range 2000 {
		c.addAged(fmt.Sprintf("j%05d", i), "urgent", "team", time.Hour, workload.Step{Tasks: 1, Estimate: time.Second, Resources: cores(1)})
	}
	c.addAged("on time", "urgent", "team", 0, workload.Step{Tasks: 1, Estimate: time.Second, Resources: cores(1)})
	turns := map[workload.StepID]int{}
	for range pastUsePasses {
		c.core.Schedule(c.now)
		is.Equal(c.core.ready[0].step.id.Job, "on time")
		is.Equal(len(c.core.ready), pastUsePerPass+1)
		is.Equal(c.core.Explain(c.now).Steps, 2001)
		is.True(c.core.Explain(c.now).OldestAge >= time.Hour)
		for _, r := range c.core.ready {
			turns[r.step.id]++
		}
	}
	is.Equal(len(turns), 2001)
	is.True(!c.core.NeedsScheduling()) // each had its turn, and nothing has changed
}

// Guards against a refresh of the ready steps during a slow commit that takes the turn of steps
// without an attempt to place them.
func TestRefreshTakesNoTurn(t *testing.T) {
	is := is.New(t)
	c := pastUseCell(t, 0)
	for i := range 2 * pastUsePerPass {
		c.addAged(fmt.Sprintf("j%05d", i), "plain", "team", time.Hour, workload.Step{Tasks: 1, Estimate: time.Second, Resources: cores(1)})
	}
	c.core.RefreshReadySteps(c.now)
	first := c.core.ready[0].step
	c.core.RefreshReadySteps(c.now)
	is.Equal(c.core.ready[0].step, first)
	c.core.Schedule(c.now)
	is.Equal(c.core.ready[0].step, first)
	c.core.Schedule(c.now)
	is.True(c.core.ready[0].step != first)
}

// Guards against a job that waits for a turn although it can be of use again, since more is
// known of its runs.
func TestJobLeavesTheTurnsWhenMoreIsKnown(t *testing.T) {
	is := is.New(t)
	c := pastUseCell(t, 0)
	c.addWorker("w", 1)
	for i := range 5 * pastUsePerPass {
		c.addAged(fmt.Sprintf("j%05d", i), "plain", "team", 10*time.Second, workload.Step{Tasks: 2, Estimate: time.Second, Resources: cores(1)})
	}
	starts := c.startTasks(nil)
	is.Equal(len(starts), 1)
	is.Equal(len(c.core.toRank), 1) // the others have no run that could change their objective
	s := c.core.findStep(starts[0].Order.Run.Task.StepID)
	is.True(s.job.occurrences[0].waitsForTurn())
	s.failedRuns, s.maxFailedTime = 1, 30*time.Second // the objective allows for failures
	c.core.Schedule(c.now)
	is.Equal(c.core.ready[0].step, s)
	is.Equal(c.core.ready[0].rank.group, int32(groupOnTime))
}

// Guards against decisions about steps that can earn something that depend on the backlog: their
// order is that of a pass over all steps.
func TestOrderOfOtherStepsDoesNotChange(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		draw := rand.New(rand.NewPCG(seed, 1))
		c := pastUseCell(t, 3)
		for i := range 600 {
			c.addAged(fmt.Sprintf("j%05d", i), [...]string{"plain", "urgent", "gang"}[draw.IntN(3)], [...]string{"team", "over"}[draw.IntN(2)],
				time.Duration(draw.Float64()*12*float64(time.Second)),
				workload.Step{Tasks: 1 + draw.IntN(3), Gang: draw.IntN(4) == 0, Service: draw.IntN(20) == 0, Estimate: time.Duration(1+draw.IntN(2000)) * time.Millisecond, Resources: cores(4)})
		}
		for range 30 {
			var want, got []workload.StepID
			others := func(steps []rankedStep) (out []workload.StepID) {
				for _, r := range steps {
					if !r.step.job.occurrences[0].pastUse(r.rank, c.now) {
						out = append(out, r.step.id)
					}
				}
				return out
			}
			c.core.RefreshReadySteps(c.now)
			want, got = others(c.allSteps()), others(c.core.ready)
			is.Equal(got, want)
			c.startTasks(nil)
			c.now = c.now.Add(200 * time.Millisecond)
		}
	}
}

// Guards against jobs that wait for turns although they can be on time, after the clock was set
// back, and against suspended jobs that have no turn once they are resumed.
func TestStepsLeaveTheTurns(t *testing.T) {
	is := is.New(t)
	c := pastUseCell(t, 0)
	for i := range 2 * pastUsePerPass {
		c.addAged(fmt.Sprintf("j%05d", i), "plain", "team", 10*time.Second, workload.Step{Tasks: 1, Estimate: time.Second, Resources: cores(1)})
	}
	suspended := c.core.jobs["j00007"]
	c.core.Schedule(c.now)
	is.Equal(len(c.core.toRank), 0)
	c.core.suspended[suspended.spec.ID] = c.now
	for range pastUsePasses {
		c.core.Schedule(c.now)
	}
	is.True(!suspended.occurrences[0].inTurn)
	c.core.resume(suspended)
	c.core.Schedule(c.now)
	is.True(suspended.occurrences[0].inTurn)
	c.now = c.now.Add(-9 * time.Second)
	for range pastUsePasses {
		c.core.Schedule(c.now)
	}
	is.Equal(len(c.core.ready), 2*pastUsePerPass)
	is.Equal(len(c.core.pastUse.queue), 0)
	is.Equal(c.core.ready[0].rank.group, int32(groupOnTime))
}

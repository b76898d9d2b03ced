package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// explained returns a job as ExplainJob takes it.
func explained(step workload.Step) *workload.Job {
	return &workload.Job{Queue: "batch", Team: "team", Steps: []workload.Step{step}}
}

// Guards against an explanation that differs from the placement: the tasks go to the best
// candidate, and each worker that cannot take them is counted under its reason.
func TestExplainJobNamesCandidatesAndExclusions(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for _, id := range []string{"small", "large", "cordoned", "gone"} {
		c.addWorker(id, map[string]int64{"small": 2, "large": 16}[id]+4)
	}
	c.addWorker("tiny", 1)
	c.core.SetCordonedWorkers([]string{"cordoned"})
	c.core.HandleLostContact("gone", c.now)
	step := workload.Step{Tasks: 1, Resources: cores(2), Estimate: time.Second}
	got := c.core.ExplainJob(explained(step), c.now)
	is.Equal(got.Group, "urgent")
	is.Equal(got.StepsAhead, 0)
	is.Equal(len(got.Steps), 1)
	is.Equal(got.Steps[0].WaitsFor, WaitsForPass)
	is.Equal(got.Steps[0].CandidateCount, 2)
	is.Equal(got.Steps[0].Excluded, map[string]int{"cordoned": 1, "out of reach": 1, "room": 1})
	best := got.Steps[0].Candidates[0].Worker
	c.addJob("j", step)
	starts := c.startTasks(nil)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker.ID, best)
}

// Guards against a panic or an empty answer for jobs that would be refused.
func TestExplainJobSaysWhyItIsRefused(t *testing.T) {
	is := is.New(t)
	is.True(New().ExplainJob(explained(workload.Step{Tasks: 1}), time.UnixMilli(1)).RetryAfterMS > 0)
	c := newCell(t)
	for want, j := range map[string]*workload.Job{
		`there is no queue "q"`:              {Queue: "q", Team: "team"},
		`there is no team "t"`:               {Queue: "batch", Team: "t"},
		"job has 0 steps, allowed are 1 to ": {Queue: "batch", Team: "team"},
	} {
		got := c.core.ExplainJob(j, c.now)
		is.True(strings.HasPrefix(got.Refused, want))
		is.Equal(got.RetryAfterMS, int64(0))
	}
}

// Guards against an explanation without the waiting work that is placed first, and without
// what a job waits for.
func TestExplainJobCountsWorkAhead(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	c.addJob("running", workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Hour})
	is.Equal(len(c.startTasks(nil)), 1)
	c.addJob("waiting", workload.Step{Tasks: 3, Resources: cores(4), Estimate: time.Second})
	c.startTasks(nil)
	got := c.core.ExplainJob(explained(workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Second}), c.now)
	is.Equal(got.StepsAhead, 1)
	is.Equal(got.TasksAhead, 3)
	is.Equal(got.Steps[0].WaitsFor, WaitsForCapacity)
	is.Equal(got.Steps[0].CandidateCount, 0)
}

// Guards against an explanation that changes decisions: of two equal cells, one explains a
// job before each step, and both start the same runs.
func TestExplainJobChangesNothing(t *testing.T) {
	is := is.New(t)
	play := func(explain bool) []string {
		c := newCell(t)
		for i := range 6 {
			c.addWorker(fmt.Sprint("w", i), 8)
		}
		var out []string
		for i := range 20 {
			c.addJob(fmt.Sprint("j", i), workload.Step{Tasks: 2, Resources: cores(int64(1 + i%4)), Gang: i%3 == 0, Estimate: time.Second})
			if explain {
				c.core.ExplainJob(explained(workload.Step{Tasks: 3, Resources: cores(2), Gang: i%2 == 0, Estimate: time.Second}), c.now)
			}
			c.core.Schedule(c.now)
			passOf, before := map[string]bool{}, c.core.pass
			for id, w := range c.core.workers {
				passOf[id] = w.schedulableIn == before
			}
			if explain {
				c.core.ExplainJob(explained(workload.Step{Tasks: 1, Resources: cores(1)}), c.now)
			}
			for id, w := range c.core.workers {
				is.Equal(w.schedulableIn == c.core.pass, passOf[id])
			}
			for _, st := range c.startTasks(nil) {
				out = append(out, st.Order.Run.Task.String()+" "+st.Worker.ID)
			}
		}
		out = append(out, fmt.Sprint(len(c.core.jobs), len(c.core.active), c.core.rates["team"].tokens))
		return out
	}
	is.Equal(play(true), play(false))
}

package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against candidates that differ from the placement where speeds are learned: an urgent
// task goes to the best candidate, and a gang takes no slow worker.
func TestExplainJobConsidersSpeeds(t *testing.T) {
	is := is.New(t)
	c := unlikeCell(t, 0, 2, nil)
	c.core.SetEvacuated("a", true)
	c.addJob("used", workload.Step{Tasks: 3, MaxPerWorker: 1, Resources: cores(8), Estimate: time.Hour}) // slow workers are the fullest
	slow, fast := c.startedOn()
	is.Equal([2]int{slow, fast}, [2]int{3, 0})
	c.core.SetEvacuated("a", false)
	c.core.Schedule(c.now)
	step := workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second}
	best := c.core.ExplainJob(explained(step), c.now).Steps[0].Candidates[0].Worker
	c.addJob("urgent", step)
	starts := c.startTasks(nil)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker.ID, best)

	c = unlikeCell(t, 1, 2, nil)
	c.core.Schedule(c.now)
	got := c.core.ExplainJob(explained(workload.Step{Tasks: 4, Resources: cores(4), Gang: true, Estimate: time.Second}), c.now).Steps[0]
	is.Equal(got.CandidateCount, 6)
	is.Equal(got.Excluded, map[string]int{"slow, avoided by gangs": 3})
	for _, candidate := range got.Candidates {
		is.True(strings.HasPrefix(candidate.Worker, "fast"))
	}
}

// Guards against candidates whose free capacity is reserved by amount for a gang.
func TestExplainJobConsidersReservedAmounts(t *testing.T) {
	is := is.New(t)
	c := newAmountsCell(t, 1, 16)
	c.add("long", "batch", workload.Step{Tasks: 1, Resources: cores(6), Estimate: time.Hour})
	c.add("short", "batch", workload.Step{Tasks: 1, Resources: cores(6), Estimate: 2 * time.Second})
	c.step()
	c.add("gang", "gang", workload.Step{Tasks: 2, Resources: cores(4), Estimate: time.Second})
	for range 15 { // reservations are kept for about 100 ms
		c.step()
		c.now = c.now.Add(10 * time.Millisecond)
	}
	is.True(!c.stepOf("gang").reservedFrom.IsZero())
	job := explained(workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Hour})
	got := c.core.ExplainJob(job, c.now).Steps[0]
	is.Equal(got.WaitsFor, WaitsForGangReservation)
	is.Equal(got.CandidateCount, 0)
	is.Equal(got.Excluded, map[string]int{string(WaitsForGangReservation): 1})
}

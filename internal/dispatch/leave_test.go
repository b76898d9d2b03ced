package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Load pattern: a worker leaves at 1.7 s notice. What cannot end there in time is stopped
// while the worker can still tell of it, a gang with all members; the rest is left alone.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("a", 4)
	c.worker("b", 4)
	c.job("gang", workload.Step{Tasks: 4, Resources: cores(2), Estimate: 6 * time.Second, Gang: true, Checkpoints: true})
	is.Equal(len(c.store(nil)), 4) // two on each
	c.worker("c", 4)
	c.job("long", workload.Step{Tasks: 1, Resources: cores(1), Estimate: 6 * time.Second})
	c.job("short", workload.Step{Tasks: 1, Resources: cores(1), Estimate: 500 * time.Millisecond})
	c.job("lasts", workload.Step{Tasks: 1, Resources: cores(1), Service: true})
	is.Equal(len(c.store(nil)), 3)

	const notice = 1700 * time.Millisecond
	begin := c.now
	for _, id := range []string{"b", "c"} {
		leaving := c.core.workers[id].info
		leaving.Draining, leaving.Remaining = true, notice
		c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &leaving})
	}
	stopped := map[string]int{}
	for ; c.now.Before(begin.Add(notice - leaveMargin/2)); c.now = c.now.Add(50 * time.Millisecond) {
		c.core.Tick(c.now)
		for _, s := range c.core.TakeStopOrders() {
			stopped[s.Run.Task.Job]++
			is.True(c.now.Sub(begin) >= notice-leaveMargin) // not earlier than it must be
		}
	}
	is.Equal(stopped, map[string]int{"gang": 4, "long": 1})

	// The gang starts again at once, from its checkpoint, elsewhere.
	c.worker("d", 16)
	seq := map[string]int64{}
	for id, runs := range c.running {
		for task, r := range runs {
			if task.Job == "gang" {
				seq[id]++
				c.end(seq[id], Start{Worker: c.core.workers[id].info, Order: workload.StartOrder{Run: r.Run}}, workload.RunStopped, "saved")
			}
		}
	}
	again := c.store(nil)
	is.Equal(len(again), 4)
	for _, st := range again {
		is.True(st.Worker.ID == "a" || st.Worker.ID == "d")
		is.Equal(st.Order.Checkpoint, "saved")
	}
}

// The runs that fail by a job's own fault lengthen its chain of work, so it is not taken
// for late after one.
func TestObjectiveCountsFailedRuns(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 2, Resources: cores(1), Estimate: 4 * time.Second})
	starts := c.store(nil)
	span := c.core.jobs["j"].occ[0].span
	c.now = c.now.Add(3 * time.Second)
	c.end(1, starts[0], workload.RunFailed, "")
	c.store(nil)
	grown := c.core.jobs["j"].occ[0].span - span
	is.True(grown >= 6*time.Second && grown < 7*time.Second) // twice the run's length
}

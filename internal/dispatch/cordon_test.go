package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// serve reports the tasks of all workers as at work.
func (c *cell) serve() {
	for id, runs := range c.running {
		for task, r := range runs {
			r.Percent = 100
			runs[task] = r
		}
		c.report(id, workload.Inventory{})
	}
}

// Nothing starts on a cordoned worker; what it runs moves when it is vacated, of a
// service only as many tasks at a time as may be away.
func TestVacatedWorker(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 3, Resources: cores(1), Service: true, MaxUnavailable: 1})
	is.Equal(len(c.store(nil)), 3)
	c.serve()
	c.worker("v", 8)
	c.core.SetCordonedWorkers([]string{"w"})
	c.job("k", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(c.store(nil)[0].Worker.ID, "v")

	for moved := range 3 {
		c.core.EvictTasks("w")
		c.core.EvictTasks("w") // the next one has to wait
		c.core.Tick(c.now)
		stops := c.core.TakeStopOrders()
		is.Equal(len(stops), 1)
		is.Equal(c.core.TasksOn("w"), 3-moved)
		run := stops[0].Run
		c.core.HandleStopResult(stops[0], nil, c.now)
		c.report("w", workload.Inventory{Ended: []workload.RunEnd{{Seq: int64(moved + 1), Run: run, Outcome: workload.RunStopped}}})
		starts := c.store(nil)
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Worker.ID, "v")
		c.core.EvictTasks("w")
		c.core.Tick(c.now)
		is.Equal(len(c.core.TakeStopOrders()), 0) // the moved one is not at work yet
		c.serve()
	}
	is.Equal(c.core.TasksOn("w"), 0)
}

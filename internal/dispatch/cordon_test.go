package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// setAvailable reports the tasks of all workers as started up.
func (c *testCell) setAvailable() {
	for id, runs := range c.running {
		for task, r := range runs {
			r.Percent = 100
			runs[task] = r
		}
		c.reportInventory(id, workload.Inventory{})
	}
}

// A cordoned worker gets no tasks. EvictTasks moves its tasks to other workers; of a
// service it stops only as many tasks as may be unavailable at one time.
func TestEvictTasks(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 3, Resources: cores(1), Service: true, MaxUnavailable: 1})
	is.Equal(len(c.startTasks(nil)), 3)
	c.setAvailable()
	c.addWorker("v", 8)
	c.core.SetCordonedWorkers([]string{"w"})
	c.addJob("k", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(c.startTasks(nil)[0].Worker.ID, "v")

	for moved := range 3 {
		c.core.EvictTasks("w")
		c.core.EvictTasks("w") // the next task has to wait
		c.core.Tick(c.now)
		stops := c.core.TakeStopOrders()
		is.Equal(len(stops), 1)
		is.Equal(c.core.TasksOn("w"), 3-moved)
		run := stops[0].Run
		c.core.HandleStopResult(stops[0], nil, c.now)
		c.reportInventory("w", workload.Inventory{Ended: []workload.RunEnd{{Seq: int64(moved + 1), Run: run, Outcome: workload.RunStopped}}})
		starts := c.startTasks(nil)
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Worker.ID, "v")
		c.core.EvictTasks("w")
		c.core.Tick(c.now)
		is.Equal(len(c.core.TakeStopOrders()), 0) // the moved task has not started up yet
		c.setAvailable()
	}
	is.Equal(c.core.TasksOn("w"), 0)
}

// A service task on a worker that is out of reach may be down. EvictTasks counts it as
// unavailable, as operators do after the notice time.
func TestEvictionDisregardsTasksOutOfReach(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 2)
	c.addWorker("x", 2)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(2), Service: true, MaxUnavailable: 1})
	is.Equal(len(c.startTasks(nil)), 2)
	c.setAvailable()
	c.addWorker("v", 8)
	c.core.ExtendLease("x", c.now.Add(7*time.Second))
	c.core.HandleLostContact("x", c.now)
	c.now = c.now.Add(5 * time.Second)
	c.core.EvictTasks("w")
	c.core.Tick(c.now)
	is.Equal(len(c.core.TakeStopOrders()), 0)
}

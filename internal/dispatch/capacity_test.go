package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// setCapacity reports another capacity of a worker.
func (c *testCell) setCapacity(id string, cores int64) {
	info := c.core.workers[id].info
	info.Capacity = model.Resources{MilliCores: cores * 1000, MemoryMB: 64_000}
	c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &info})
}

// Guards against starts that bring a worker over a capacity that has shrunk after they were
// decided.
func TestStartsAreWithdrawnWhenCapacityShrinks(t *testing.T) {
	for name, tc := range map[string]struct {
		step      workload.Step
		cores     int64
		started   int
		afterGrow int
	}{
		"tasks":             {workload.Step{Tasks: 4, Resources: cores(2)}, 5, 2, 2},
		"no capacity left":  {workload.Step{Tasks: 4, Resources: cores(2)}, 0, 0, 4},
		"gang":              {workload.Step{Tasks: 4, Resources: cores(2), Gang: true}, 7, 0, 4},
		"capacity as is":    {workload.Step{Tasks: 4, Resources: cores(2)}, 8, 4, 0},
		"best-effort tasks": {workload.Step{Tasks: 4, Resources: model.Resources{MilliCores: 2000, MemoryMB: 10_000}, BestEffort: true}, 0, 4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			c.addJob("j", tc.step)
			c.core.Schedule(c.now)
			c.setCapacity("w", tc.cores)
			sent := c.core.HandleStored(c.core.TakeBatch(100, 1<<20), c.now)
			is.Equal(len(sent), tc.started)
			for _, st := range sent {
				c.core.HandleStartResult(st, nil, c.now)
			}
			is.Equal(len(c.startTasks(nil)), 0)
			c.setCapacity("w", 8)
			is.Equal(len(c.startTasks(nil)), tc.afterGrow)
			is.Equal(c.core.workers["w"].used.MilliCores, 4*tc.step.RequiredCapacity().MilliCores)
		})
	}
}

// Guards against placements by a capacity that a worker no longer has: what runs or is being
// stopped counts, also beyond the capacity, and a reservation does not hold what is gone.
func TestShrunkCapacityIsNotUsed(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 3, Resources: cores(2)})
	is.Equal(len(c.startTasks(nil)), 3)
	c.setCapacity("w", 4)
	c.addJob("k", workload.Step{Tasks: 1, Resources: cores(1)})
	c.addJob("g", workload.Step{Tasks: 2, Resources: cores(2), Gang: true, Estimate: time.Second})
	is.Equal(len(c.startTasks(nil)), 0)
	c.core.Cancel("j", c.now)
	is.Equal(len(c.startTasks(nil)), 0) // they are being stopped
	for i := range 2 {
		c.reportEnd(int64(i+1), Start{Worker: c.core.workers["w"].info, Order: workload.StartOrder{Run: workload.Run{
			Task: workload.TaskID{StepID: workload.StepID{Job: "j"}, Index: i}, Number: 1}}}, workload.RunStopped, "")
	}
	started := c.startTasks(nil)
	is.Equal(fmt.Sprint(len(started), c.core.workers["w"].used.MilliCores <= 4000), "1 true") // two of four cores are free
}

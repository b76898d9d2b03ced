package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against work that is lost just before it is done: a coordinator that takes over while
// a worker leaves does not know yet how far the worker's runs have come.
func TestRunsOnLeavingWorkerAreJudgedByTheirProgress(t *testing.T) {
	for kind, step := range map[string]workload.Step{
		"task": {Tasks: 1, Resources: cores(1), Estimate: 3 * time.Second},
		"gang": {Tasks: 2, Resources: cores(1), Estimate: 3 * time.Second, Gang: true},
	} {
		for progress, test := range map[string]struct {
			percent int
			stopped bool
		}{
			"almost done": {percent: 95},
			"half done":   {percent: 50, stopped: true},
		} {
			t.Run(kind+", "+progress, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t)
				c.addWorker("w", 8)
				c.addJob("j", step)
				is.Equal(len(c.startTasks(nil)), step.Tasks)
				j, leaving := c.core.jobs["j"], c.core.workers["w"].info
				c.takeOver(j.spec, j.encode())
				leaving.Draining, leaving.Remaining = true, leaveMargin-100*time.Millisecond
				c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &leaving})
				c.core.Tick(c.now) // before the first inventory
				for id, r := range c.running["w"] {
					r.Percent = test.percent
					c.running["w"][id] = r
				}
				c.reportInventory("w", workload.Inventory{})
				c.core.Tick(c.now) // decides
				c.core.Tick(c.now) // sends the stop orders
				is.Equal(len(c.core.TakeStopOrders()) > 0, test.stopped)
			})
		}
	}
}

package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against runs that are interrupted by a coordinator that cannot start them elsewhere:
// the start needs a commit, and the store does not answer or rejects the job's progress.
func TestRunsAreInterruptedThoughTheirStartsCannotBeStored(t *testing.T) {
	const outage = 4 * time.Second // shorter than suspendRetry, longer than a stall
	stalled := workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second}
	gang := workload.Step{Tasks: 2, Resources: cores(1), Estimate: time.Second, Gang: true}
	for name, test := range map[string]struct {
		step     workload.Step
		draining bool
	}{
		"service on a draining worker": {step: workload.Step{Tasks: 1, Resources: cores(1), Service: true}, draining: true},
		"stalled task":                 {step: stalled},
		"stalled gang":                 {step: gang},
	} {
		for cause, rejected := range map[string]bool{"no answer": false, "rejected": true} {
			t.Run(name+", "+cause, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t)
				c.addWorker("w", 8)
				c.addJob("j", test.step)
				is.Equal(len(c.startTasks(nil)), test.step.Tasks)
				c.addWorker("v", 8)
				c.core.Tick(c.now)
				if rejected {
					c.core.markDirty(c.core.jobs["j"])
					c.core.Suspend(c.core.TakeBatch(1, 1<<20), c.now)
				}
				worker := c.core.workers["w"].info
				worker.Draining = test.draining
				c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &worker})
				for end := c.now.Add(outage); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
					if rejected {
						c.core.HandleStored(&Batch{}, c.now) // of other jobs
					}
					c.reportInventory("w", workload.Inventory{})
					c.core.Tick(c.now)
					is.Equal(len(c.core.TakeStopOrders()), 0)
				}
				is.Equal(c.core.workers["w"].failed, 0.0) // nothing is held against the worker

				c.now = c.now.Add(suspendRetry)
				c.reportInventory("w", workload.Inventory{})
				c.core.Tick(c.now)
				c.core.markDirty(c.core.jobs["j"])
				c.startTasks(nil) // stores it
				c.now = c.now.Add(taskCheckInterval)
				c.core.Tick(c.now) // decides
				c.core.Tick(c.now) // sends the stop orders
				is.Equal(len(c.core.TakeStopOrders()), test.step.Tasks)
			})
		}
	}
}

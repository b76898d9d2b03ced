package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against a coordinator that ends by a nil pointer when it chooses a call for advice:
// a worker has left since the latest scheduling pass.
func TestCallForAdviceEndsTheProcessAfterAWorkerHasLeft(t *testing.T) {
	for name, step := range map[string]workload.Step{
		"tasks": {Tasks: 5, Resources: cores(3)},
		"gang":  {Tasks: 5, Resources: cores(3), Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2,
				Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: time.Minute}})
			c.addWorker("w", 8)
			c.addWorker("gone", 8)
			c.addJob("j", step)
			is.Equal(len(c.startTasks(nil)), 0)
			c.core.SetWorker(workload.WorkerChange{ID: "gone"})
			call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
			is.True(ok)
			is.Equal(call.Workers, []string{"w"})
		})
	}
}

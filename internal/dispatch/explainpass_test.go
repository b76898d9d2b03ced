package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against an explanation of the waiting work, made once a second, that leaves no worker
// schedulable for calls for advice until the next scheduling pass.
func TestExplanationLeavesTheLatestPassInPlace(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second, Advice: adviceCost(10, 1)})
	c.addWorker("w", 4)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	c.core.Schedule(c.now)
	c.core.Explain(c.now)
	_, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
}

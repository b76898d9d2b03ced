package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Waiting tasks are counted under the first reason that prevents their placement.
func TestExplainReportsWaitReasons(t *testing.T) {
	advice := &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}
	for name, test := range map[string]struct {
		advice *workload.AdviceCost
		limit  model.Resources
		first  workload.Step // placed before
		step   workload.Step
		want   WaitReason
	}{
		"team's limit": {limit: cores(1), step: workload.Step{Tasks: 1, Resources: cores(2)}, want: WaitsForTeamLimit},
		"capacity": {first: workload.Step{Tasks: 8, Resources: cores(1), Estimate: time.Hour},
			step: workload.Step{Tasks: 2, Resources: cores(2)}, want: WaitsForCapacity},
		"capacity for a gang": {first: workload.Step{Tasks: 2, Resources: cores(3), Estimate: time.Hour},
			step: workload.Step{Tasks: 3, Resources: cores(2), Gang: true}, want: WaitsForCapacity},
		"advice": {advice: advice, step: workload.Step{Tasks: 2, Resources: cores(2)}, want: WaitsForAdvice},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			if test.first.Tasks > 0 {
				c.addJob("first", test.first)
				is.Equal(len(c.startTasks(nil)), test.first.Tasks)
			}
			c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2,
				Allowance: time.Second, Advice: test.advice}}, []workload.Team{{Name: "team", Weight: 100, Limit: test.limit}}, nil))
			c.addJob("j", test.step)
			is.Equal(len(c.startTasks(nil)), 0)
			waiting := c.core.Explain(c.now)
			is.Equal(waiting.Steps, 1)
			is.Equal(waiting.Tasks, map[WaitReason]int{test.want: test.step.Tasks})
		})
	}
}

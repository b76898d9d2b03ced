package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against tickets that expire unused since their step passed its useful time while the
// call for advice was in progress, and then waits for its turn behind the backlog.
func TestStepThatExpiresDuringItsCallUsesTheTickets(t *testing.T) {
	is := is.New(t)
	c := pastUseCell(t, 0)
	c.addWorker("w", 32)
	step := workload.Step{Tasks: 1, Estimate: time.Second, Resources: cores(1)}
	for i := range 5 * pastUsePerPass {
		c.addAged(fmt.Sprintf("j%05d", i), "urgent", "team", time.Hour, step)
	}
	c.addAged("late", "urgent", "team", 4200*time.Millisecond, step)
	is.Equal(len(c.startTasks(nil)), 0)
	call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	is.Equal(call.Step.Job, "late")
	c.now = c.now.Add(200 * time.Millisecond)
	is.Equal(len(c.startTasks(nil)), 0)
	is.True(c.core.jobs["late"].occurrences[0].inTurn)
	c.core.HandleAdvice(call, []workload.Ticket{{Worker: "w", Token: "t"}}, nil, c.now)
	starts := c.startTasks(nil)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Order.Run.Task.Job, "late")
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against a job that can be of use again, since more is known of its runs, but is
// considered twice in one pass, or in later passes only once its former turn comes.
func TestJobThatLeftTheTurnsIsConsideredOnceInEachPass(t *testing.T) {
	for _, waiting := range []int{1, 5 * pastUsePerPass} {
		t.Run(fmt.Sprintf("%d jobs", waiting), func(t *testing.T) {
			is := is.New(t)
			c := pastUseCell(t, 0)
			c.addWorker("w", 1)
			for i := range waiting {
				c.addAged(fmt.Sprintf("j%05d", i), "plain", "team", 10*time.Second, workload.Step{Tasks: 2, Estimate: time.Second, Resources: cores(1)})
			}
			starts := c.startTasks(nil)
			is.Equal(len(starts), 1)
			s := c.core.findStep(starts[0].Order.Run.Task.StepID)
			s.failedRuns, s.maxFailedTime = 1, 30*time.Second // the objective allows for failures
			for range 3 {
				c.core.Schedule(c.now)
				considered := 0
				for _, r := range c.core.ready {
					if r.step == s {
						considered++
					}
				}
				is.Equal(considered, 1)
				is.Equal(c.core.ready[0].step, s)
			}
		})
	}
}

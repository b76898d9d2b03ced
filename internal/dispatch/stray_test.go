package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against starts on a worker whose room a run that nobody counts on takes up until it
// is stopped: workers that do not check their capacity would exceed it.
func TestRoomOfAStrayRunIsUsed(t *testing.T) {
	for name, ended := range map[string]bool{"of a job that has ended": true, "of a task that runs elsewhere": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			c.addJob("first", workload.Step{Tasks: 1, Resources: cores(8)})
			st := c.startTasks(workload.ErrUnhealthy)[0] // it counts as not carried out
			stray := workload.RunStatus{Run: st.Order.Run}
			if ended {
				c.core.Cancel("first", c.now)
			} else {
				c.addWorker("other", 8)
				is.Equal(c.startTasks(nil)[0].Worker.ID, "other")
			}
			c.core.TakeStopOrders()
			c.now = c.now.Add(2 * unhealthyBackoff)
			c.reportInventory("w", workload.Inventory{Running: []workload.RunStatus{stray}})
			is.Equal(len(c.core.TakeStopOrders()), 1)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			is.Equal(len(c.startTasks(nil)), 0)

			c.now = c.now.Add(time.Second)
			c.reportInventory("w", workload.Inventory{Running: []workload.RunStatus{}, Ended: []workload.RunEnd{{Seq: 1, Run: stray.Run, Outcome: workload.RunStopped}}})
			is.Equal(c.startTasks(nil)[0].Worker.ID, "w")
		})
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against evidence from runs whose neighbours were not observed from the start: they
// would count as runs without a neighbour.
func TestRunsInProgressAtTheSwitchAreNotCompared(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for i := range 4 {
		c.addWorker(fmt.Sprint("w", i), 8)
	}
	c.addJob("a", workload.Step{Tasks: 4, MaxPerWorker: 1, Resources: cores(1), Image: "a", Estimate: time.Second})
	c.addJob("b", workload.Step{Tasks: 4, MaxPerWorker: 1, Resources: cores(1), Image: "b", Estimate: time.Hour})
	starts := c.startTasks(nil)
	is.Equal(len(starts), 8)
	c.now = c.now.Add(100 * time.Millisecond)
	for _, st := range starts {
		c.running[st.Worker.ID][st.Order.Run.Task] = workload.RunStatus{Run: st.Order.Run}
	}
	for i := range 4 {
		c.reportInventory(fmt.Sprint("w", i), workload.Inventory{})
	}
	c.now = c.now.Add(100 * time.Millisecond)
	c.core.SetPolicy(Policy{SeparateImages: true})
	c.now = c.now.Add(time.Second)
	seq := map[string]int64{}
	for _, st := range starts {
		if st.Order.Run.Task.Job == "a" {
			seq[st.Worker.ID]++
			c.reportEnd(seq[st.Worker.ID], st, workload.RunDone, "")
		}
	}
	is.Equal(len(seq), 4)
	is.True(c.core.interference.byName["a"].evidence == nil)
	is.Equal(c.core.workers["w0"].imagePace, learnedPace{})
}

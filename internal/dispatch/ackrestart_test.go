package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against ends of a restarted worker that are acknowledged before they are stored: a
// commit with ends of the earlier incarnation, whose numbers are the same, was in progress. A
// successor would never learn of them and start their tasks again.
func TestStoredEndsOfAnEarlierIncarnationAcknowledgeThoseOfALaterOne(t *testing.T) {
	const later = testIncarnation + 1
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("first", workload.Step{Tasks: 1, Resources: cores(1)})
	first := c.startTasks(nil)[0]
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	late := c.startTasks(workload.ErrNoAnswer)[0]
	c.now = c.now.Add(time.Second)
	c.reportEnd(1, first, workload.RunDone, "")
	slow := c.core.TakeBatch(100, 1<<20) // its commit takes long

	c.now = c.now.Add(time.Second)
	c.setEntry("w:1", later)
	c.reportInventory("w", workload.Inventory{Incarnation: later})
	c.now = c.now.Add(time.Second) // the later incarnation carries out the start
	c.reportInventory("w", workload.Inventory{Incarnation: later, Ended: []workload.RunEnd{{Seq: 1, Run: late.Order.Run, Outcome: workload.RunDone}}})
	c.core.HandleStored(slow, c.now)
	view, _ := c.core.ViewWorker("w")
	is.Equal(view.Incarnation, int64(later))
	is.Equal(view.Acked, int64(0))

	c.core.HandleStored(c.core.TakeBatch(100, 1<<20), c.now)
	view, _ = c.core.ViewWorker("w")
	is.Equal(view.Acked, int64(1))
	is.Equal(c.jobState(), workload.Completed)
}

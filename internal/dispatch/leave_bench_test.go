package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cuminloft/internal/workload"
)

// Load pattern: an AZ of a large cell drains, its workers run services, and all other
// workers are full. The coordinator ticks 20 times a second.
func BenchmarkTickWithDrainingAZInAFullCell(b *testing.B) {
	for _, workers := range []int{48, 300, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := newCell(&testing.T{})
			c.core.cell.Team("team").Limit.MilliCores = 0
			for i := range workers {
				c.addWorker(fmt.Sprintf("w%04d", i), 8)
			}
			for i := range workers {
				c.addJob(fmt.Sprintf("%016x", i), workload.Step{Tasks: 8, Resources: cores(1), Service: true, MaxUnavailable: 1})
			}
			c.startTasks(nil)
			c.setAvailable()
			for i := range workers / 3 {
				leaving := c.core.workers[fmt.Sprintf("w%04d", i)].info
				leaving.Draining, leaving.Remaining = true, time.Hour
				c.core.SetWorker(workload.WorkerChange{ID: leaving.ID, Worker: &leaving})
			}
			b.ResetTimer()
			for range b.N {
				c.core.Tick(c.now)
				c.now = c.now.Add(50 * time.Millisecond)
			}
		})
	}
}

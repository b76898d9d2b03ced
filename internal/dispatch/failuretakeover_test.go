package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against a job given up since all its attempts went to one worker that fails each of
// them: which worker has failed a step is not known to the next coordinator.
func TestStepAvoidsWorkerThatFailedItAcrossTakeovers(t *testing.T) {
	for name, takeover := range map[string]bool{"same term": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("bad", 4) // the fullest one with the task
			c.addWorker("good", 8)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
			st := c.startTasks(nil)[0]
			is.Equal(st.Worker.ID, "bad")
			c.reportEnd(1, st, workload.RunFailed, "")
			if takeover {
				j := c.core.jobs["j"]
				c.takeOver(j.spec, j.encode())
				c.addWorker("bad", 4)
				c.addWorker("good", 8)
			}
			is.Equal(c.startTasks(nil)[0].Worker.ID, "good")
		})
	}
}

// Guards against a job that ranks as late after a takeover: the time of its failed runs, by
// which its objective is longer, is not known to the next coordinator.
func TestTimeOfFailedRunsCountsAcrossTakeovers(t *testing.T) {
	for name, takeover := range map[string]bool{"same term": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 4)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: 4 * time.Second})
			st := c.startTasks(nil)[0]
			c.now = c.now.Add(6 * time.Second)
			c.reportEnd(1, st, workload.RunFailed, "")
			if takeover {
				j := c.core.jobs["j"]
				c.takeOver(j.spec, j.encode())
			}
			c.core.RefreshReadySteps(c.now)
			is.Equal(len(c.core.ready), 1)
			is.True(c.core.ready[0].rank.group <= groupOnTime)
		})
	}
}

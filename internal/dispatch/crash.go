package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// Crashes of workers under tasks. Load pattern: a task crashes each worker that starts it,
// and the other tasks of these workers are lost with it. A worker that ends without notice
// has crashed under those of its runs that were not seen running for crashWindow.

// crashWindow is how long after its start a run is seen running before it is cleared of a
// later crash of its worker.
const crashWindow = 2 * time.Second

// crashEvidence is how the end of a worker without notice became known.
type crashEvidence string

const (
	workerReplaced  crashEvidence = "replaced"    // another worker answers at its address
	workerRestarted crashEvidence = "restarted"   // a new incarnation answers
	workerSilent    crashEvidence = "leases over" // out of reach until its leases ended; it may have been cut off
)

// loseRun ends a run that was lost with its worker.
func (c *Core) loseRun(w *worker, s *step, i int, evidence crashEvidence, now time.Time) {
	t := &s.tasks[i]
	if t.workerRestarted {
		evidence = workerRestarted
	}
	if c.crashedUnder(w, s, t) {
		t.crashes++
		c.emit("worker crashed under task", "task", s.taskID(i).String(), "run", t.run, "worker", w.info.ID, "evidence", string(evidence),
			"start answered", !t.startConfirmed.IsZero(), "out of reach for", w.outOfReachFor(now), "crashes", t.crashes)
	}
	c.runEnded(s, i, workload.RunLeaseExpired, "", now)
}

// crashedUnder reports whether the end of the worker counts as a crash under the task's
// run. Draining and cordoned workers are expected to end.
func (c *Core) crashedUnder(w *worker, s *step, t *task) bool {
	return t.startSent && !t.outlived && !w.info.Draining && !c.cordoned[w.info.ID] && !s.job.state.Final()
}

// clearOutlived clears a task whose run a worker listed in an inventory that was requested
// crashWindow after its start.
func (c *Core) clearOutlived(w *worker, run workload.Run, requestedAt time.Time) {
	s, t := c.findTask(run.Task)
	if t == nil || t.run != run.Number || t.worker != w.info.ID || !t.state.mayRun() {
		return
	}
	t.workerRestarted = false
	if t.outlived || t.startConfirmed.IsZero() || requestedAt.Sub(t.startConfirmed) < crashWindow {
		return
	}
	t.outlived = true
	c.clearCrashes(s, t)
}

// clearCrashes forgets the crashes under a task.
func (c *Core) clearCrashes(s *step, t *task) {
	if t.crashes == 0 {
		return
	}
	t.crashes = 0
	c.markDirty(s.job)
}

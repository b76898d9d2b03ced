package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// Crashes of workers under tasks. Load pattern: a task crashes each worker that starts it,
// and the other tasks of these workers are lost with it. A worker that ends without notice
// has crashed under those of its runs that were not seen running for crashWindow. The
// cause is not known from one crash, so suspects run apart, and a run that outlives the
// window clears its task.
const (
	// crashWindow is how long after its start a run is seen running before it is cleared of
	// a later crash of its worker.
	crashWindow = 2 * time.Second
	// startCrashWindow is how long after a start that it does not answer a worker counts as
	// crashed under the task. A process that ends is noticed at once: its connections are
	// reset.
	startCrashWindow = 500 * time.Millisecond
	// From isolationProven proven crashes in a row, or isolationCrashes of any kind, nothing
	// else starts on a task's worker within the window, and its next start waits for
	// crashRetryPause. A neighbour of such a task seldom has two proven ones.
	isolationProven  = 2
	isolationCrashes = 3
	crashRetryPause  = 2 * time.Second
	// maxIsolatedShare is the largest share of a pool's workers on which such suspects run
	// at one time, counting those that are away after a crash. Load pattern: many tasks that
	// crash their workers; tried all at once, they take the cell from all others.
	maxIsolatedShare = 0.1
	// A job fails after crashLimit crashes in a row under one of its tasks, if provenCrashes
	// of them are proven and nothing beside the task may have caused the last one: it was
	// started apart. Otherwise, and after a takeover, the limit is unprovenCrashLimit.
	// Suspected crashes do not count until they are settled.
	crashLimit         = 3
	provenCrashes      = 2
	unprovenCrashLimit = 4
)

// crashEvidence is how the end of a worker without notice became known.
type crashEvidence string

const (
	workerReplaced  crashEvidence = "replaced"    // another worker answers at its address
	workerRestarted crashEvidence = "restarted"   // a new incarnation answers
	workerSilent    crashEvidence = "leases over" // out of reach until its leases ended; it may have been cut off
)

// crashCount counts the workers that crashed in a row under a task.
type crashCount struct {
	crashes int // with the suspected ones, see silentLoss
	// proven counts those that are known to have ended and to have started the run.
	proven int
}

// conclusive reports whether a task is taken for the cause of the crashes, given how many of
// them are only suspected and whether it was started apart at the last one.
func (n crashCount) conclusive(suspected int, apart bool) bool {
	known := n.crashes - suspected
	return apart && known >= crashLimit && n.proven >= provenCrashes || known >= unprovenCrashLimit
}

// isolates reports whether the task is to run beside no other new run.
func (n crashCount) isolates() bool {
	return n.proven >= isolationProven || n.crashes >= isolationCrashes
}

// loseRun ends a run that was lost with its worker.
func (c *Core) loseRun(w *worker, s *step, i int, evidence crashEvidence, now time.Time) {
	t := &s.tasks[i]
	if t.workerRestarted && (evidence != workerSilent || !w.incarnationSeenAt.IsZero()) {
		evidence = workerRestarted // known from the worker, not from its entry only
	}
	crashed, apart := c.crashedUnder(w, s, t, evidence), t.startedApart
	switch {
	case crashed && evidence == workerSilent:
		c.recordSilence(w, s, i, now) // a suspected one
	case crashed:
		c.countCrash(w, s, i, evidence, now)
	}
	if crashed && t.isolates() {
		t.retryAt = now.Add(crashRetryPause)
	}
	c.runEnded(s, i, workload.RunLeaseExpired, now)
	if crashed {
		c.giveUpAfterCrashes(s, i, apart, now)
	}
}

// giveUpAfterCrashes ends the job if one of its tasks is taken for the cause of crashes.
func (c *Core) giveUpAfterCrashes(s *step, i int, apart bool, now time.Time) {
	t := &s.tasks[i]
	if s.job.state.Final() || !t.conclusive(t.suspected(), apart) {
		return
	}
	c.emit("job failed after crashes", "job", s.job.spec.ID, "task", s.taskID(i).String(), "crashes", t.crashes-t.suspected(), "proven", t.proven)
	c.finish(s.job, workload.Failed, now)
}

// crashedUnder reports whether the end of the worker counts as a crash under the task's
// run. Draining and cordoned workers are expected to end, and one that is still registered
// is only out of this host's reach.
func (c *Core) crashedUnder(w *worker, s *step, t *task, evidence crashEvidence) bool {
	if w.info.Draining || t.workerLeaves || c.cordoned[w.info.ID] || evidence == workerSilent && w.registered {
		return false
	}
	return t.startSent && !t.outlived && !s.job.state.Final() && !w.outlivedStart(t)
}

// outlivedStart reports whether the worker was in contact for longer than startCrashWindow
// after the start of a run was sent that it has neither confirmed nor listed. It has ended for
// another cause then: the start never reached it, or it has kept it back. Load pattern:
// workers end one after the other, and starts are sent to them before that is noticed; or
// orders are left unanswered meanwhile.
func (w *worker) outlivedStart(t *task) bool {
	if !t.startConfirmed.IsZero() || t.startSentAt.IsZero() {
		return false
	}
	return t.unlistedAfterStart || w.contactAfterStart(t) > startCrashWindow
}

// contactAfterStart returns for how long the worker was in contact after a run's start was
// sent, as the incarnation that it was sent to.
func (w *worker) contactAfterStart(t *task) time.Duration {
	until := w.unreachableSince
	if t.workerRestarted && !t.contactUntil.IsZero() {
		until = t.contactUntil
	}
	return until.Sub(t.startSentAt)
}

// countCrash counts a crash under a task.
func (c *Core) countCrash(w *worker, s *step, i int, evidence crashEvidence, now time.Time) {
	t := &s.tasks[i]
	n := t.crashCount
	n.crashes++
	if !t.startConfirmed.IsZero() {
		n.proven++
	}
	c.setCrashes(s, t, n)
	c.emit("worker crashed under task", append([]any{"task", s.taskID(i).String(), "run", t.run, "worker", w.info.ID, "born", t.startedOn,
		"evidence", string(evidence), "suspected crashes", t.suspected(), "crashes", t.crashes, "proven", t.proven}, w.contactFields(t, now)...)...)
}

// contactFields returns what is known, for the log, of a worker's contact with this term
// during a task's run.
func (w *worker) contactFields(t *task, now time.Time) []any {
	sentHere := !t.startSentAt.IsZero()
	fields := []any{"start answered", !t.startConfirmed.IsZero(), "started in this term", sentHere, "out of reach for", w.outOfReachFor(now)}
	if sentHere {
		fields = append(fields, "contact after start", w.contactAfterStart(t))
	}
	return fields
}

// clearOutlived clears a task whose run a worker listed in an inventory that was requested
// crashWindow after its start.
func (c *Core) clearOutlived(w *worker, run workload.Run, requestedAt, now time.Time) {
	s, t := c.findTask(run.Task)
	if t == nil || t.run != run.Number || t.worker != w.info.ID || !t.state.mayRun() {
		return
	}
	t.workerRestarted = false
	if t.outlived || t.startConfirmed.IsZero() || requestedAt.Sub(t.startConfirmed) < crashWindow {
		return
	}
	t.outlived = true
	if s.job.unstoredOutlived.IsZero() {
		s.job.unstoredOutlived = now
	}
	c.clearCrashes(s, run.Task.Index)
}

// outlivedStoreDelay is how long it takes at most until it is stored that runs have outlived
// crashWindow, if nothing else of their job is stored before.
const outlivedStoreDelay = time.Second

// clearCrashes forgets the crashes under a task.
func (c *Core) clearCrashes(s *step, i int) {
	t := &s.tasks[i]
	if t.crashes == 0 {
		return
	}
	c.emit("task cleared of crashes", "task", s.taskID(i).String(), "run", t.run, "crashes", t.crashes)
	t.silent = nil
	c.setCrashes(s, t, crashCount{})
	t.retryAt = time.Time{}
	c.markDirty(s.job)
}

// setCrashes changes the crashes under a task.
func (c *Core) setCrashes(s *step, t *task, n crashCount) {
	if t.crashes > 0 {
		s.suspects--
	}
	if n.crashes > 0 {
		s.suspects++
	}
	c.countSuspect(t, -1)
	t.crashCount = n
	c.countSuspect(t, 1)
}

// countSuspect adds 1 or -1 to the suspects on the worker where a task may be running, if
// the task is one.
func (c *Core) countSuspect(t *task, n int) {
	w := c.workers[t.worker]
	if w == nil || t.crashes == 0 {
		return
	}
	w.suspects += n
	if !t.isolates() {
		return
	}
	before := w.isolated > 0
	w.isolated += n
	if before != (w.isolated > 0) {
		if n > 0 {
			w.isolatedIn = w.info.Pool
		}
		c.isolatedWorkers[w.isolatedIn] += n
	}
}

// isolates reports whether a task of the step is to run beside no other new run.
func (s *step) isolates() bool {
	if s.suspects > 0 {
		for i := range s.tasks {
			if s.tasks[i].isolates() {
				return true
			}
		}
	}
	return false
}

// retriesLater reports whether a task waits after crashes.
func (t *task) retriesLater(now time.Time) bool { return now.Before(t.retryAt) || t.awaitsEvidence() }

// retriesLater reports whether a member of a gang waits after crashes.
func (s *step) retriesLater(now time.Time) bool {
	if s.suspects > 0 {
		for i := range s.tasks {
			if s.tasks[i].retriesLater(now) {
				return true
			}
		}
	}
	return false
}

// waitsAfterCrashes reports whether a gang may not start yet because of its suspects.
func (c *Core) waitsAfterCrashes(s *step, q *workload.Queue) bool {
	return s.retriesLater(c.pass.now) || s.isolates() && !c.mayIsolate(q)
}

// mayIsolate reports whether another isolated suspect may start in the queue's pool now.
func (c *Core) mayIsolate(q *workload.Queue) bool {
	p := c.pass.pools[q.Pool]
	return p != nil && c.isolatedWorkers[q.Pool] < max(1, int(maxIsolatedShare*float64(len(p.workers))))
}

// acceptsBesideSuspects reports whether a task may start on a worker: beside an isolated
// suspect nothing starts, and an isolated suspect starts beside no other suspect.
func (w *worker) acceptsBesideSuspects(isolated bool) bool {
	return w.isolated == 0 && (!isolated || w.suspects == 0)
}

// youngRuns returns the number of runs on a worker, of other jobs than j, that were not seen
// running for crashWindow: one of them may crash the worker.
func (c *Core) youngRuns(w *worker, j *job) int {
	n := 0
	for id := range w.tasks {
		if s, t := c.findTask(id); t != nil && s.job != j && !t.outlived {
			n++
		}
	}
	return n
}

// Weights in the score of a worker for a suspect.
const (
	suspectPenalty = 3.0 // for each other suspect or, if it isolates, young run on the worker
	lossWeight     = 3.0 // for the share of the worker in use, which is lost if it crashes
)

// suspectScore adds to the score of a worker for a task with these crashes.
func (w *worker) suspectScore(n crashCount) float64 {
	if n.crashes == 0 {
		return 0
	}
	score := suspectPenalty * float64(w.suspects)
	if n.isolates() {
		score += lossWeight * w.used.DominantShare(w.info.Capacity)
	}
	return score
}

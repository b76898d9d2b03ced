package dispatch

import (
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// Runs lost with a silent worker. Load pattern: workers are cut off from the hosts and from
// the registry while coordinators follow one another. Their leases end and their entries
// lapse as if they had crashed, and when the cut is over they answer again. So such a loss is
// only a suspected crash. It is stored with its task until evidence settles it, in this term
// or a later one: the worker answers as the same incarnation and has not crashed; it answers
// as a later one, or another worker answers at its address, and it has.
const (
	// silenceLimit is how long after the end of its leases a worker that neither answers nor
	// is registered counts as ended.
	silenceLimit = 45 * time.Second
	// silentLossBytes is the stored size of a silent loss without the number of its worker;
	// firstSilentLossBytes is by how much a task grows besides with its first one.
	silentLossBytes      = len(`[,1],`)
	firstSilentLossBytes = len(`,0,0,0,[]`)
)

// workerUnseen is the evidence against a worker that was silent for silenceLimit.
const workerUnseen crashEvidence = "not seen again"

// silentLoss is a run of a task that was lost with a silent worker.
type silentLoss struct {
	worker  WorkerIncarnation
	started bool // the start was confirmed
	// since is when the loss was recorded, or the takeover: a coordinator judges by its own
	// observation.
	since time.Time
}

// evidenceFrom returns what an answer of a worker shows of the silent one: that it has
// crashed, or, without evidence, that it has not. It returns false if it shows neither.
func (l *silentLoss) evidenceFrom(id, address string, incarnation int64) (crashEvidence, bool) {
	switch {
	case l.worker.ID == id && (l.worker.Incarnation == incarnation || l.worker.Incarnation == 0):
		return "", true
	case l.worker.ID == id:
		return workerRestarted, l.worker.Incarnation < incarnation
	default:
		return workerReplaced, l.worker.Address == address && address != ""
	}
}

// silentWorker lists the tasks with losses on a silent worker. It may list some without.
type silentWorker struct {
	address string // of the latest loss
	tasks   map[workload.TaskID]struct{}
}

// recordSilence records that a run is lost with a silent worker, unless the stored progress
// has no room for that.
func (c *Core) recordSilence(w *worker, s *step, i int, now time.Time) bool {
	t := &s.tasks[i]
	size := silentLossBytes + digits(len(s.job.rowWorkers)+1)
	if len(t.silent) == 0 {
		size += firstSilentLossBytes
	}
	if s.job.bytes()+size > openBytes {
		c.emit("silence of worker not recorded", "task", s.taskID(i).String(), "run", t.run, "worker", w.info.ID, "progress bytes", s.job.bytes())
		return false
	}
	s.job.rowBytes += size
	c.addSilentLoss(s, i, silentLoss{worker: WorkerIncarnation{w.info.ID, t.incarnation, t.address}, started: !t.startConfirmed.IsZero(), since: now})
	n := t.crashCount
	n.crashes++
	c.setCrashes(s, t, n)
	c.emit("worker silent under task", append([]any{"task", s.taskID(i).String(), "run", t.run, "worker", w.info.ID, "born", t.incarnation,
		"suspected crashes", len(t.silent), "crashes", t.crashes, "proven", t.proven}, w.contactFields(t, now)...)...)
	return true
}

func (c *Core) addSilentLoss(s *step, i int, l silentLoss) {
	t := &s.tasks[i]
	t.silent = append(t.silent, l)
	w := c.silent[l.worker.ID]
	if w == nil {
		w = &silentWorker{tasks: map[workload.TaskID]struct{}{}}
		c.silent[l.worker.ID] = w
	}
	w.address = l.worker.Address
	w.tasks[s.taskID(i)] = struct{}{}
}

// settleByAnswer settles the losses of which the answer of a worker shows whether theirs has
// crashed.
func (c *Core) settleByAnswer(id, address string, incarnation int64, now time.Time) {
	for silentID, w := range c.silent {
		if silentID == id || w.address == address && address != "" {
			c.settle(silentID, w, now, func(l *silentLoss) (crashEvidence, bool) { return l.evidenceFrom(id, address, incarnation) })
		}
	}
}

// settleReplaced settles the losses on a worker at whose address another one answers.
func (c *Core) settleReplaced(id, address string, now time.Time) {
	if w := c.silent[id]; w != nil {
		c.settle(id, w, now, func(l *silentLoss) (crashEvidence, bool) { return workerReplaced, l.worker.Address == address })
	}
}

// settleUnseen settles the losses on workers that have been silent for silenceLimit.
func (c *Core) settleUnseen(now time.Time) {
	for id, w := range c.silent {
		known := c.workers[id]
		registered := known != nil && known.registered
		c.settle(id, w, now, func(l *silentLoss) (crashEvidence, bool) {
			return workerUnseen, !registered && now.Sub(l.since) >= silenceLimit
		})
	}
}

// settle settles the losses on a silent worker for which evidence returns true: with
// evidence that the worker has crashed, or without.
func (c *Core) settle(id string, w *silentWorker, now time.Time, evidence func(*silentLoss) (crashEvidence, bool)) {
	for task := range w.tasks {
		s, t := c.findTask(task)
		if t == nil || s.job.state.Final() {
			delete(w.tasks, task)
			continue
		}
		open := 0
		for k := len(t.silent) - 1; k >= 0; k-- {
			if t.silent[k].worker.ID != id {
				continue
			}
			if found, settled := evidence(&t.silent[k]); settled {
				c.settleLoss(s, task.Index, k, found, now)
			} else {
				open++
			}
		}
		if open == 0 {
			delete(w.tasks, task)
		}
	}
	if len(w.tasks) == 0 {
		delete(c.silent, id)
	}
}

// settleLoss settles the k-th silent loss of a task. Without evidence its worker has not
// crashed.
func (c *Core) settleLoss(s *step, i, k int, evidence crashEvidence, now time.Time) {
	t := &s.tasks[i]
	l := t.silent[k]
	t.silent = slices.Delete(t.silent, k, k+1)
	n := t.crashCount
	event := "worker crashed under task"
	switch {
	case evidence == "":
		event = "silent worker has not crashed"
		n.crashes--
	case l.started && evidence != workerUnseen:
		n.proven++
	}
	c.setCrashes(s, t, n)
	if !t.isolates() {
		t.retryAt = time.Time{}
	}
	c.markDirty(s.job)
	c.needsScheduling = true
	c.emit(event, "task", s.taskID(i).String(), "worker", l.worker.ID, "born", l.worker.Incarnation, "evidence", string(evidence),
		"start answered", l.started, "silent for", now.Sub(l.since), "suspected crashes", len(t.silent), "crashes", t.crashes, "proven", t.proven)
	if evidence != "" {
		c.giveUpAfterCrashes(s, i, false, now)
	}
}

// awaitsEvidence reports whether a task waits until it is known which of the silent workers
// under it have crashed: so many may have that another start could be one too many.
func (t *task) awaitsEvidence() bool {
	return len(t.silent) > 0 && t.crashes >= unprovenCrashLimit
}

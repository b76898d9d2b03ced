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
	// registeredProof is how long after the end of its leases a worker that is registered
	// counts as alive: the entry of one that has ended lapses before.
	registeredProof = 15 * time.Second
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

// evidence returns what shows that the silent worker has crashed, or none if it has not, by
// what is known of the worker with its ID and of the one that answers at its address. It
// returns false if it is not known yet.
func (l *silentLoss) evidence(same, atAddress *worker, now time.Time) (crashEvidence, bool) {
	silentFor := now.Sub(l.since)
	switch {
	case same != nil && same.reachable:
		if same.incarnation <= l.worker.Incarnation {
			return "", true
		}
		return workerRestarted, true
	case atAddress != nil && atAddress != same:
		return workerReplaced, true
	case same != nil && same.registered && same.info.Incarnation <= l.worker.Incarnation:
		return "", silentFor >= registeredProof
	default:
		return workerUnseen, silentFor >= silenceLimit
	}
}

// silentTasks are the tasks with losses on a silent worker, and maybe some without.
type silentTasks map[workload.TaskID]struct{}

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
	if c.silent[l.worker.ID] == nil {
		c.silent[l.worker.ID] = silentTasks{}
	}
	c.silent[l.worker.ID][s.taskID(i)] = struct{}{}
}

// settleReplaced settles the losses on a worker at whose address another one answers.
func (c *Core) settleReplaced(id, address string, now time.Time) {
	c.settle(id, now, func(l *silentLoss) (crashEvidence, bool) { return workerReplaced, l.worker.Address == address })
}

// settleSilence settles the losses of which it is known by now whether their worker has
// crashed.
func (c *Core) settleSilence(now time.Time) {
	if len(c.silent) == 0 {
		return
	}
	answering := make(map[string]*worker, len(c.workers)) // by address
	for _, w := range c.workers {
		if w.reachable {
			answering[w.info.Address] = w
		}
	}
	for id := range c.silent {
		c.settle(id, now, func(l *silentLoss) (crashEvidence, bool) {
			return l.evidence(c.workers[id], answering[l.worker.Address], now)
		})
	}
}

// settle settles the losses on a silent worker for which evidence returns true: with
// evidence that the worker has crashed, or without.
func (c *Core) settle(id string, now time.Time, evidence func(*silentLoss) (crashEvidence, bool)) {
	tasks := c.silent[id]
	for task := range tasks {
		s, t := c.findTask(task)
		open := false
		if t != nil && !s.job.state.Final() {
			open = c.settleTask(s, task.Index, id, now, evidence)
		}
		if !open {
			delete(tasks, task)
		}
	}
	if len(tasks) == 0 {
		delete(c.silent, id)
	}
}

// settleTask is settle for one task. It reports whether the task has losses on the worker
// that are not settled.
func (c *Core) settleTask(s *step, i int, id string, now time.Time, evidence func(*silentLoss) (crashEvidence, bool)) (open bool) {
	t := &s.tasks[i]
	for k := len(t.silent) - 1; k >= 0; k-- {
		if t.silent[k].worker.ID != id {
			continue
		}
		if found, settled := evidence(&t.silent[k]); settled {
			c.settleLoss(s, i, k, found, now)
		} else {
			open = true
		}
	}
	return open
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

package dispatch

import (
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// Runs lost with a silent worker. Load pattern: workers are cut off from the hosts and from
// the registry while coordinators follow one another. Their leases end and their entries
// lapse as if they had crashed, and when the cut is over they answer again. So such a loss is
// only a suspected crash. It is stored with its task until the worker itself, its successor
// at its address, its entry or a long silence shows more, in this term or a later one.
const (
	// silenceLimit is for how long a worker that has lost its leases does not answer until it
	// counts as ended, unless registeredProof shows that it has not.
	silenceLimit = 45 * time.Second
	// registeredProof is how long after the loss a worker that is registered has outlived it:
	// the entry of one that has ended lapses before.
	registeredProof = 15 * time.Second
	// promptRestart is how long after the loss another incarnation, or another worker at the
	// address, proves that the worker ended with the run. Later it may have run on.
	promptRestart = 15 * time.Second
	// settlingTime is how long a coordinator observes before it concludes anything from the
	// time of a loss that an earlier one has seen.
	settlingTime = 2 * time.Second
	// After twice silenceLimit shortSettlingTime is enough: by then a worker that answers has
	// done so in an earlier term. Load pattern: terms that are shorter than settlingTime.
	shortSettlingTime = 500 * time.Millisecond
	// silentLossBytes is the stored size of a silent loss without the number of its worker;
	// firstSilentLossBytes is by how much a task grows besides with its first one.
	silentLossBytes      = len(`[,1,1796467519],`)
	firstSilentLossBytes = len(`,0,0,0,[]`)
)

const (
	// workerAlive shows that a silent worker has not crashed.
	workerAlive crashEvidence = "alive"
	// workerUnseen is the evidence against a worker that was silent for silenceLimit. An
	// answer of the worker refutes it.
	workerUnseen crashEvidence = "not seen again"
)

// silentLoss is a run of a task that was lost with a silent worker.
type silentLoss struct {
	worker  WorkerIncarnation
	started bool // the start was confirmed
	stored  bool // the stored progress has room for it
	// since is since when the leases are over; observedSince is since when this coordinator
	// knows of the loss.
	since, observedSince time.Time
	unseen               bool // settled by workerUnseen
}

// observe returns what shows by now whether the silent worker has crashed: what is known of
// the worker with its ID, if anything, and whether another one answers at its address. It
// returns false if nothing shows it yet.
func (l *silentLoss) observe(w *worker, successor bool, now time.Time) (crashEvidence, bool) {
	switch {
	case w != nil && w.reachable && w.incarnation > l.worker.Incarnation:
		return workerRestarted, true
	case w != nil && w.reachable:
		return workerAlive, true
	case successor:
		return workerReplaced, true
	}
	// An entry with a later incarnation shows nothing before that answers.
	lives := w != nil && w.registered && w.info.Incarnation <= l.worker.Incarnation
	silentFor, settling := now.Sub(l.since), settlingTime
	if silentFor >= 2*silenceLimit {
		settling = shortSettlingTime
	}
	observed := now.Sub(l.observedSince) >= settling
	if lives {
		return workerAlive, observed && silentFor >= registeredProof
	}
	return workerUnseen, observed && silentFor >= silenceLimit && !l.unseen
}

// suspected returns the number of a task's crashes that are not known.
func (t *task) suspected() int {
	n := 0
	for i := range t.silent {
		if !t.silent[i].unseen {
			n++
		}
	}
	return n
}

// awaitsEvidence reports whether a task waits until it is known which of the silent workers
// under it have crashed: so many may have that another start could be one too many.
func (t *task) awaitsEvidence() bool {
	return t.crashes >= unprovenCrashLimit && t.suspected() > 0
}

// awaitsEvidence reports whether nothing of the step may start before more is known of its
// silent workers.
func (s *step) awaitsEvidence() bool {
	if s.suspects == 0 {
		return false
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if waits := t.awaitsEvidence(); t.state == taskPending && waits == s.spec.Gang {
			return waits
		}
	}
	return !s.spec.Gang
}

// recordSilence records that a run is lost with a silent worker.
func (c *Core) recordSilence(w *worker, s *step, i int, now time.Time) {
	t := &s.tasks[i]
	l := silentLoss{worker: WorkerIncarnation{w.info.ID, t.startedOn, t.address}, started: !t.startConfirmed.IsZero(), since: now, observedSince: now}
	size := silentLossBytes + digits(len(s.job.rowWorkers)+1)
	if len(t.silent) == 0 {
		size += firstSilentLossBytes
	}
	if l.stored = s.job.bytes()+size <= maxProgressBytes; l.stored {
		s.job.rowBytes += size
	}
	c.addSilentLoss(s, i, l)
	n := t.crashCount
	n.crashes++
	c.setCrashes(s, t, n)
	c.emit("worker silent under task", append([]any{"task", s.taskID(i).String(), "run", t.run, "worker", w.info.ID, "born", t.startedOn,
		"suspected crashes", t.suspected(), "crashes", t.crashes, "proven", t.proven, "stored", l.stored}, w.contactFields(t, now)...)...)
}

func (c *Core) addSilentLoss(s *step, i int, l silentLoss) {
	s.tasks[i].silent = append(s.tasks[i].silent, l)
	if c.silent[l.worker.ID] == nil {
		c.silent[l.worker.ID] = silentTasks{}
	}
	c.silent[l.worker.ID][s.taskID(i)] = struct{}{}
}

// silentTasks are the tasks with losses on a silent worker, and maybe some without.
type silentTasks map[workload.TaskID]struct{}

// awaited reports whether an answer of a worker may settle a suspected crash. Such a worker is
// called at its last address though its entry has lapsed: it may be cut off from the registry
// only.
func (c *Core) awaited(id string) bool {
	for task := range c.silent[id] {
		if s, t := c.findTask(task); t != nil && !s.job.state.Final() && t.awaits(id) {
			return true
		}
	}
	return false
}

func (t *task) awaits(id string) bool {
	return slices.ContainsFunc(t.silent, func(l silentLoss) bool { return l.worker.ID == id && !l.unseen })
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
	answering := make(map[string]string, len(c.workers)) // from addresses to IDs
	for id, w := range c.workers {
		if w.reachable {
			answering[w.info.Address] = id
		}
	}
	for id := range c.silent {
		c.settle(id, now, func(l *silentLoss) (crashEvidence, bool) {
			at := answering[l.worker.Address]
			return l.observe(c.workers[id], at != "" && at != id, now)
		})
	}
}

// settle settles the losses on a silent worker for which evidence returns true.
func (c *Core) settle(id string, now time.Time, evidence func(*silentLoss) (crashEvidence, bool)) {
	tasks := c.silent[id]
	for task := range tasks {
		s, t := c.findTask(task)
		if t == nil || t.state == taskDone || s.job.state.Final() || !c.settleTask(s, task.Index, id, now, evidence) {
			delete(tasks, task)
		}
	}
	if len(tasks) == 0 {
		delete(c.silent, id)
	}
	if w := c.workers[id]; w != nil {
		c.dropIfUnused(w)
	}
}

// settleTask is settle for one task. It reports whether the task has losses on the worker
// left that an answer may settle.
func (c *Core) settleTask(s *step, i int, id string, now time.Time, evidence func(*silentLoss) (crashEvidence, bool)) (left bool) {
	t := &s.tasks[i]
	for k := len(t.silent) - 1; k >= 0; k-- {
		l := &t.silent[k]
		if l.worker.ID != id {
			continue
		}
		found, settled := evidence(l)
		switch {
		case !settled:
			left = true
		case found == workerUnseen:
			left, l.unseen = true, true
			c.settled(s, i, *l, found, t.crashCount, now)
		default:
			settledLoss := *l
			t.silent = slices.Delete(t.silent, k, k+1)
			c.settled(s, i, settledLoss, found, c.countAfter(t, &settledLoss, found, now), now)
		}
	}
	return left
}

// countAfter returns the crashes under a task with the evidence on one of its losses.
func (c *Core) countAfter(t *task, l *silentLoss, evidence crashEvidence, now time.Time) crashCount {
	n := t.crashCount
	switch {
	case evidence == workerAlive || c.cordoned[l.worker.ID]: // a cordoned one is expected to end
		n.crashes--
	case l.started && now.Sub(l.since) <= promptRestart:
		n.proven++
	}
	return n
}

// settled applies what is known now of the crashes under a task.
func (c *Core) settled(s *step, i int, l silentLoss, evidence crashEvidence, n crashCount, now time.Time) {
	t := &s.tasks[i]
	event := "worker crashed under task"
	if n.crashes < t.crashes {
		event = "silent worker has not crashed"
	}
	c.setCrashes(s, t, n)
	if !t.isolates() {
		t.retryAt = time.Time{}
	}
	c.markDirty(s.job)
	c.needsScheduling = true
	c.emit(event, "task", s.taskID(i).String(), "worker", l.worker.ID, "born", l.worker.Incarnation, "evidence", string(evidence),
		"start answered", l.started, "silent for", now.Sub(l.since), "suspected crashes", t.suspected(), "crashes", t.crashes, "proven", t.proven)
	c.giveUpAfterCrashes(s, i, false, now)
}

package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
	"cuminloft/internal/worker"
)

// reconcile compares a worker's inventory with what the loop knows.
func (l *loop) reconcile(k *link, inv worker.Inventory) {
	listed := make(map[worker.Attempt]bool, len(inv.Tasks))
	for _, t := range inv.Tasks {
		listed[t.Attempt] = true
		l.reported(k, t)
	}
	for id, a := range l.on[k.spec.ID] {
		if !listed[id] {
			l.missing(a, inv.Boot)
		}
	}
}

// reported handles what a worker says of one attempt, and returns whether it
// was news.
func (l *loop) reported(k *link, t worker.TaskReport) bool {
	a, ok := l.attempts[t.Attempt]
	if !ok || a.worker != k.spec.ID || a.phase == phaseHeld {
		return l.stranger(k, t)
	}
	if t.Saved != "" {
		a.checkpoint = t.Saved
	}
	if !t.State.Ended() {
		l.confirm(a)
		l.measured(a, t)
		return true
	}
	if k.known[t.Attempt] || l.queue.full() {
		return false // the worker repeats it until it is acknowledged
	}
	k.known[t.Attempt] = true
	l.endAttempt(a, l.endOf(a, t.State), t)
	return true
}

func (l *loop) measured(a *attempt, t worker.TaskReport) {
	if !t.Usage.IsZero() {
		l.feed(sched.UsageReported{Task: a.id.Task, Attempt: a.id.Number, Usage: t.Usage})
	}
}

// stranger handles an attempt that the loop does not know: one of the former
// owner, or one that is over.
func (l *loop) stranger(k *link, t worker.TaskReport) bool {
	if t.Direct && !t.State.Ended() {
		l.adoptDirect(k, t)
		return true
	}
	if !t.Direct && l.isNewer(t.Attempt) {
		l.adoptUnrecorded(k, t)
		return true
	}
	if t.State.Ended() {
		k.acks = append(k.acks, t.Attempt)
		return true
	}
	client, fence := k.client, l.held.Fence
	l.spawn(func(ctx context.Context) {
		_ = command(ctx, func(ctx context.Context) error { return client.Stop(ctx, fence, t.Attempt) })
	})
	return true
}

// isNewer reports whether an unknown attempt is the newest of a task that goes
// on: the former owner started it before it could write the record, after it had
// seen the end of the one before. Attempts of a former owner may have the
// numbers of this owner's; what this owner has sent counts.
func (l *loop) isNewer(id worker.Attempt) bool {
	j, ok := l.state.Jobs[id.Task.Job]
	if !ok || j.Ended != nil || id.Task.Index < 0 || id.Task.Index >= j.Spec.Tasks {
		return false
	}
	if t, ok := j.Tasks[id.Task.Index]; ok && id.Number <= t.Attempt {
		return false
	}
	current := l.current[id.Task]
	return current == nil || !current.own || current.phase == phaseHeld
}

// adoptUnrecorded takes over an attempt without a start record. It replaces an
// older one whose end was not recorded either.
func (l *loop) adoptUnrecorded(k *link, t worker.TaskReport) {
	j := l.state.Jobs[t.Attempt.Task.Job]
	l.replaceOlder(t.Attempt.Task)
	a := &attempt{
		id: t.Attempt, job: &j.Spec, worker: k.spec.ID, phase: phaseRunning,
		boot: k.boot, size: t.Size, checkpoint: t.Saved,
	}
	l.track(a)
	l.append(func() { a.recorded = true }, false, startRecord(a))
	l.adopt(a, time.Now().Add(-t.Ran))
	if t.State.Ended() {
		l.reported(k, t)
	}
}

// replaceOlder removes the attempt that a later one replaces, without telling
// the core, which learns of the later one by its adoption.
func (l *loop) replaceOlder(id model.TaskID) {
	older := l.current[id]
	if older == nil {
		return
	}
	if l.isRecorded(older) {
		l.append(nil, false, endRecord(older, string(sched.EndLeaseExpired), worker.TaskReport{Error: "a later attempt runs"}))
	}
	l.untrack(older)
}

// adoptDirect takes over a direct request that runs under a former owner's
// ticket.
func (l *loop) adoptDirect(k *link, t worker.TaskReport) {
	job := &model.Job{
		ID: t.Attempt.Task.Job, Team: t.Team, Policy: model.PolicyDirect, Tasks: 1,
		Task: model.TaskSpec{Resources: t.Size, Connections: 1},
	}
	a := &attempt{id: t.Attempt, job: job, worker: k.spec.ID, phase: phaseRunning, boot: k.boot, size: t.Size}
	l.track(a)
	l.adopt(a, time.Now().Add(-t.Ran))
}

func (l *loop) adopt(a *attempt, started time.Time) {
	l.feed(sched.TaskAdopted{
		Job: *a.job, Index: a.id.Task.Index, Attempt: a.id.Number, Worker: a.worker, Started: started, Size: a.size,
	})
}

// restore feeds the core what the journal knows, in the order in which jobs
// were submitted.
func (l *loop) restore() {
	for _, j := range inOrder(l.state) {
		switch {
		case j.Ended != nil:
			l.history = append(l.history, endedJob{j.Spec.ID, time.Unix(0, j.Ended.GetEndedNs())})
		case l.mayRunUnrecorded(j) && len(j.Tasks) == 0:
			l.inherited[j.Spec.ID] = true
			l.restored = append(l.restored, j.Spec.ID)
		default:
			l.inherited[j.Spec.ID] = l.mayRunUnrecorded(j)
			l.restoreJob(j)
		}
	}
	l.sortHistory()
}

// mayRunUnrecorded reports whether the former owner may have started tasks of
// the job without a record. Such tasks wait for the inventories.
func (l *loop) mayRunUnrecorded(j *journal.Job) bool {
	return !l.held.clean && j.Spec.Task.Idempotent
}

func (l *loop) restoreJob(j *journal.Job) {
	id := j.Spec.ID
	l.feed(sched.JobAdded{Job: j.Spec, Restored: true})
	for _, i := range slices.Sorted(maps.Keys(j.Tasks)) {
		t := j.Tasks[i]
		task := model.TaskID{Job: id, Index: i}
		if t.End == "" {
			l.restoreAttempt(j, task, t)
			continue
		}
		l.feed(sched.TaskRestored{
			Task: task, LastAttempt: t.Attempt, Finished: l.isOver(j, t), End: sched.End(t.End),
			Restarts: t.Failures, Checkpoint: t.Checkpoint,
		})
	}
	if j.Cancelled {
		l.feed(sched.JobCancelled{Job: id})
	}
}

// restoreAttempt adopts an attempt that may run, until its worker tells.
func (l *loop) restoreAttempt(j *journal.Job, id model.TaskID, t *journal.Task) {
	a := &attempt{
		id: worker.Attempt{Task: id, Number: t.Attempt}, job: &j.Spec, worker: t.Worker,
		phase: phaseRunning, recorded: true, boot: t.Boot, size: j.Spec.Task.Resources, checkpoint: t.Checkpoint,
	}
	if _, tracked := l.attempts[a.id]; tracked {
		return
	}
	l.track(a)
	l.adopt(a, t.Started)
}

// isOver reports whether a task whose newest attempt ended never starts again.
func (l *loop) isOver(j *journal.Job, t *journal.Task) bool {
	service := j.Spec.Policy == model.PolicyService
	switch sched.End(t.End) {
	case sched.EndDone:
		return !service
	case sched.EndAbandoned:
		return true
	case sched.EndFailed:
		return !j.Spec.Task.Idempotent || (!service && t.Failures > l.cfg.Policy.RestartLimit())
	case sched.EndStopped, sched.EndLeaseExpired:
		return !j.Spec.Task.Idempotent
	}
	return false
}

// releaseRestored lets the restored idempotent jobs start once each worker has
// told what it runs, or can run nothing of the former owner's any more.
func (l *loop) releaseRestored() {
	if len(l.inherited) == 0 || !l.accounted() {
		return
	}
	ids := l.restored
	l.restored = nil
	clear(l.inherited)
	for _, id := range ids {
		if j, ok := l.state.Jobs[id]; ok && j.Ended == nil {
			l.restoreJob(j)
		}
	}
}

// accounted reports whether nothing unrecorded of the former owner can run
// unseen: it starts such work only within the solo window, and the leases lapse
// afterwards. A lease counts twice: a renewal that was decided within the window
// may be sent late by a frozen process, and extends a lease that still holds.
func (l *loop) accounted() bool {
	wait := l.cfg.Policy.SoloWindow() + 2*l.lease() + l.startWindow() + leaseMargin
	if time.Since(l.takenAt) > wait {
		return true
	}
	for _, k := range l.workers {
		if !k.everMet {
			return false
		}
	}
	return true
}

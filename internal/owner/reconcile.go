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

// reconcile compares a worker's inventory with the loop's attempts.
func (l *loop) reconcile(k *workerLink, inv worker.Inventory) {
	listed := make(map[worker.Attempt]bool, len(inv.Tasks))
	for _, t := range inv.Tasks {
		listed[t.Attempt] = true
		l.handleReport(k, t)
	}
	for id, a := range l.attemptsOn[k.spec.ID] {
		if !listed[id] {
			l.handleMissingAttempt(a, inv.Boot)
		}
	}
}

// handleReport processes a worker's report of one attempt, and returns whether it
// contained anything new.
func (l *loop) handleReport(k *workerLink, t worker.TaskReport) bool {
	a, ok := l.attempts[t.Attempt]
	if !ok || a.worker != k.spec.ID || a.phase == phaseWaiting {
		return l.handleUnknownAttempt(k, t)
	}
	if t.Saved != "" {
		a.checkpoint = t.Saved
	}
	if !t.State.Ended() {
		l.confirm(a)
		l.reportUsage(a, t)
		return true
	}
	if k.processedEnds[t.Attempt] || l.queue.full() {
		return false // the worker repeats the report until it is acknowledged
	}
	k.processedEnds[t.Attempt] = true
	l.endAttempt(a, l.endOf(a, t.State), t)
	return true
}

func (l *loop) reportUsage(a *attempt, t worker.TaskReport) {
	if !t.Usage.IsZero() {
		l.feed(sched.UsageReported{Task: a.id.Task, Attempt: a.id.Number, Usage: t.Usage})
	}
}

// handleUnknownAttempt handles a report of an attempt that the loop does not know: it
// belongs to the former owner, or has ended.
func (l *loop) handleUnknownAttempt(k *workerLink, t worker.TaskReport) bool {
	if t.Direct && !t.State.Ended() {
		l.adoptDirect(k, t)
		return true
	}
	if !t.Direct && l.isNewer(t.Attempt) {
		l.adoptUnrecorded(k, t)
		return true
	}
	if t.State.Ended() {
		k.pendingAcks = append(k.pendingAcks, t.Attempt)
		return true
	}
	client, fence := k.client, l.ownerRow.Fence
	l.spawn(func(ctx context.Context) {
		_ = withCommandTimeout(ctx, func(ctx context.Context) error { return client.Stop(ctx, fence, t.Attempt) })
	})
	return true
}

// isNewer reports whether an unknown attempt is the newest of an unfinished task. The
// former owner started such an attempt after the end of the previous one, but could
// not write the record. Attempts of a former owner may have the same numbers as this
// owner's; attempts that this owner has sent take precedence.
func (l *loop) isNewer(id worker.Attempt) bool {
	j, ok := l.state.Jobs[id.Task.Job]
	if !ok || j.Ended != nil || id.Task.Index < 0 || id.Task.Index >= j.Spec.Tasks {
		return false
	}
	if t, ok := j.Tasks[id.Task.Index]; ok && id.Number <= t.Attempt {
		return false
	}
	current := l.newestAttempt[id.Task]
	return current == nil || !current.startedHere || current.phase == phaseWaiting
}

// adoptUnrecorded adopts an attempt without a start record. It replaces an older
// attempt whose end was not recorded either.
func (l *loop) adoptUnrecorded(k *workerLink, t worker.TaskReport) {
	j := l.state.Jobs[t.Attempt.Task.Job]
	l.replaceOlder(t.Attempt.Task)
	a := &attempt{
		id: t.Attempt, job: &j.Spec, worker: k.spec.ID, phase: phaseRunning,
		boot: k.boot, size: t.Size, checkpoint: t.Saved,
	}
	l.track(a)
	l.append(func() { a.recorded = true }, false, startRecord(a))
	l.adoptAttempt(a, time.Now().Add(-t.Ran))
	if t.State.Ended() {
		l.handleReport(k, t)
	}
}

// replaceOlder removes the attempt that a later one replaces. The core is not notified
// here: it learns of the later attempt by its adoption.
func (l *loop) replaceOlder(id model.TaskID) {
	older := l.newestAttempt[id]
	if older == nil {
		return
	}
	if l.isRecorded(older) {
		l.append(nil, false, endRecord(older, string(sched.EndLeaseExpired), worker.TaskReport{Error: "a later attempt runs"}))
	}
	l.untrack(older)
}

// adoptDirect adopts a direct request that runs with a ticket of a former owner.
func (l *loop) adoptDirect(k *workerLink, t worker.TaskReport) {
	job := &model.Job{
		ID: t.Attempt.Task.Job, Team: t.Team, Policy: model.PolicyDirect, Tasks: 1,
		Task: model.TaskSpec{Resources: t.Size, Connections: 1},
	}
	a := &attempt{id: t.Attempt, job: job, worker: k.spec.ID, phase: phaseRunning, boot: k.boot, size: t.Size}
	l.track(a)
	l.adoptAttempt(a, time.Now().Add(-t.Ran))
}

func (l *loop) adoptAttempt(a *attempt, started time.Time) {
	l.feed(sched.TaskAdopted{
		Job: *a.job, Index: a.id.Task.Index, Attempt: a.id.Number, Worker: a.worker, Started: started, Size: a.size,
	})
}

// restore passes the journaled state to the core, in the order of submission.
func (l *loop) restore() {
	for _, j := range bySubmission(l.state) {
		switch {
		case j.Ended != nil:
			l.history = append(l.history, endedJob{j.Spec.ID, time.Unix(0, j.Ended.GetEndedNs())})
		case l.mayHaveUnrecordedStarts(j) && len(j.Tasks) == 0:
			l.awaitingInventory[j.Spec.ID] = true
			l.jobsToRestore = append(l.jobsToRestore, j.Spec.ID)
		default:
			l.awaitingInventory[j.Spec.ID] = l.mayHaveUnrecordedStarts(j)
			l.restoreJob(j)
		}
	}
	l.sortHistory()
}

// mayHaveUnrecordedStarts reports whether the former owner may have started tasks of
// the job without a record. No task of such a job starts before the inventories are
// known.
func (l *loop) mayHaveUnrecordedStarts(j *journal.Job) bool {
	return !l.ownerRow.cleanHandover && j.Spec.Task.Idempotent
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
			Task: task, LastAttempt: t.Attempt, Finished: l.isFinished(j, t), End: sched.End(t.End),
			Restarts: t.Failures, Checkpoint: t.Checkpoint,
		})
	}
	if j.Cancelled {
		l.feed(sched.JobCancelled{Job: id})
	}
}

// restoreAttempt adopts an attempt that may run until its worker reports its state.
func (l *loop) restoreAttempt(j *journal.Job, id model.TaskID, t *journal.Task) {
	a := &attempt{
		id: worker.Attempt{Task: id, Number: t.Attempt}, job: &j.Spec, worker: t.Worker,
		phase: phaseRunning, recorded: true, boot: t.Boot, size: j.Spec.Task.Resources, checkpoint: t.Checkpoint,
	}
	if _, tracked := l.attempts[a.id]; tracked {
		return
	}
	l.track(a)
	l.adoptAttempt(a, t.Started)
}

// isFinished reports whether a task whose newest attempt has ended never starts again.
func (l *loop) isFinished(j *journal.Job, t *journal.Task) bool {
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

// restoreAwaitingJobs lets the restored idempotent jobs start once no unrecorded task
// of the former owner can run undetected.
func (l *loop) restoreAwaitingJobs() {
	if len(l.awaitingInventory) == 0 || !l.unrecordedWorkExcluded() {
		return
	}
	ids := l.jobsToRestore
	l.jobsToRestore = nil
	clear(l.awaitingInventory)
	for _, id := range ids {
		if j, ok := l.state.Jobs[id]; ok && j.Ended == nil {
			l.restoreJob(j)
		}
	}
}

// unrecordedWorkExcluded reports whether no unrecorded task of the former owner can
// run undetected: either each worker was contacted, or enough time has passed. The
// former owner starts such tasks only within the solo window, and their leases expire
// afterwards. The lease counts twice, because a renewal that was decided within the
// window may be sent late by a frozen process, and then extends a lease that is still
// valid.
func (l *loop) unrecordedWorkExcluded() bool {
	wait := l.cfg.Policy.SoloWindow() + 2*l.lease() + l.startWindow() + leaseMargin
	if time.Since(l.takenAt) > wait {
		return true
	}
	for _, k := range l.workers {
		if !k.contacted {
			return false
		}
	}
	return true
}

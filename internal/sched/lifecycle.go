package sched

import (
	"slices"
	"time"

	"cuminloft/internal/model"
)

// maxBackoff bounds the delay before a failed task is restarted.
const maxBackoff = 5 * time.Minute

// maxAvoid is the maximum number of workers that a job avoids after its tasks failed
// on them.
const maxAvoid = 16

// addReady adds n to the number of ready tasks of j. It removes j from its lane if
// none is left.
func (c *Core) addReady(j *job, n int) {
	j.ready += n
	j.team.pending[j.lane] += n
	j.team.pendingSize.addScaled(&j.size, int64(n))
	if j.ready == 0 && j.list != nil {
		j.list.remove(j)
		c.updateActive(j.team)
	}
}

// enqueue adds a job with ready tasks to its lane.
func (c *Core) enqueue(j *job, front bool) {
	t := j.team
	if j.ready == 0 || j.adoptedOnly || j.list != nil {
		return
	}
	j.waitingSince = c.now
	t.updateSmallest(j)
	if front {
		t.lanes[j.lane].pushFront(j)
	} else {
		t.lanes[j.lane].pushBack(j)
	}
	c.updateActive(t)
	c.markTeamDirty(t)
}

// updateSmallest updates the component-wise minimum of the pending sizes.
func (t *team) updateSmallest(j *job) {
	k := j.lane.tier()
	if !t.active[k] {
		t.smallest[k] = j.declaredSize
		return
	}
	for i := range j.declaredSize {
		t.smallest[k][i] = min(t.smallest[k][i], j.declaredSize[i])
	}
}

// markTeamDirty makes the next pass check all pending jobs of t.
func (c *Core) markTeamDirty(t *team) {
	if !t.dirty {
		t.dirty = true
		c.dirtyTeams = append(c.dirtyTeams, t)
	}
}

// startTask starts the next ready task of j on w.
func (c *Core) startTask(j *job, w *worker, reason string) *attempt {
	i := j.takeReady()
	tk := &j.tasks[i]
	c.addReady(j, -1)
	tk.lastAttempt++
	a := &attempt{job: j, index: i, number: int(tk.lastAttempt), worker: w, size: j.size, started: c.now}
	tk.state, tk.running = taskRunning, a
	c.addAttempt(a)
	j.lastPlacement = reason
	c.emit(StartTask{
		Task: a.id(), Attempt: a.number, Worker: w.spec.ID,
		Size: a.size.resources(), Checkpoint: tk.checkpoint, Reason: reason,
	})
	return a
}

// addAttempt counts the capacity that a takes.
func (c *Core) addAttempt(a *attempt) {
	w, j := a.worker, a.job
	j.running++
	a.workerPos = len(w.attempts)
	w.attempts = append(w.attempts, a)
	w.used.add(&a.size)
	c.chargeTeam(j.team, &a.size, 1)
	c.direct.attemptStarted(c, a)
	c.racks.addTasks(j, w, 1)
	c.updateIndex(w)
}

// removeAttempt frees the capacity that a took.
func (c *Core) removeAttempt(a *attempt) {
	w, j := a.worker, a.job
	j.running--
	c.endLoan(a)
	j.tasks[a.index].running = nil
	last := len(w.attempts) - 1
	w.attempts[a.workerPos] = w.attempts[last]
	w.attempts[a.workerPos].workerPos = a.workerPos
	w.attempts[last] = nil
	w.attempts = w.attempts[:last]
	w.used.sub(&a.size)
	c.chargeTeam(j.team, &a.size, -1)
	c.direct.attemptEnded(c, a)
	c.preemptions.attemptEnded(a)
	c.racks.addTasks(j, w, -1)
	c.capacityFreed(w)
	c.retryAfterLimit(j.team)
}

// retryAfterLimit makes the next pass retry a team whose usage has decreased and that
// was blocked by its limit or grant.
func (c *Core) retryAfterLimit(t *team) {
	if t.atLimit {
		t.atLimit = false
		c.markTeamDirty(t)
	}
}

// findAttempt returns the running attempt, or nil if it is not known.
func (c *Core) findAttempt(id model.TaskID, number int) *attempt {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	tk := j.task(id.Index)
	if tk == nil || tk.running == nil || tk.running.number != number {
		return nil
	}
	return tk.running
}

func (c *Core) startConfirmed(ev StartConfirmed) {
	if a := c.findAttempt(ev.Task, ev.Attempt); a != nil {
		a.confirmed = true
		a.job.mayHaveRun = true
	}
}

// startRefused requeues the task, backs it off or drops it: the attempt certainly did
// not start.
func (c *Core) startRefused(ev StartRefused) {
	a := c.findAttempt(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	j, w := a.job, a.worker
	if ev.WorkerFault {
		c.pauseWorker(w, w.refusalBackoff.nextPause(c.now, refusalPause))
	}
	c.removeAttempt(a)
	switch {
	case j.cancelled:
		c.finishTask(j, a.index, taskWithdrawn)
	case j.spec.Policy == model.PolicyDirect:
		j.code, j.reason = RefusedByWorker, ev.Reason
		c.finishTask(j, a.index, taskWithdrawn)
	case ev.WorkerFault:
		c.requeue(j, a.index)
	default:
		c.backOff(j, a.index)
	}
	if !j.startDeadline.IsZero() && !c.now.Before(j.startDeadline) {
		c.expireWaitingJob(j)
	}
}

// taskEnded finishes or restarts the task whose attempt no longer runs.
func (c *Core) taskEnded(ev TaskEnded) {
	a := c.findAttempt(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	c.observeEnd(a, ev.End)
	c.endAttempt(a, ev.End, ev.Checkpoint)
}

func (c *Core) endAttempt(a *attempt, end End, checkpoint string) {
	j := a.job
	tk := &j.tasks[a.index]
	j.mayHaveRun = true
	if checkpoint != "" {
		tk.checkpoint = checkpoint
	}
	c.removeAttempt(a)
	switch end {
	case EndDone:
		if j.lane == laneService && j.restartable() && !j.cancelled {
			c.restartTask(j, a.index)
			return
		}
		c.finishTask(j, a.index, taskDone)
	case EndFailed:
		c.avoidWorker(j, a.worker)
		c.handleTaskFailure(j, a.index)
	case EndStopped, EndLeaseExpired:
		c.handleInterruption(j, a.index)
	case EndAbandoned:
		c.finishTask(j, a.index, taskAbandoned)
	}
}

// handleTaskFailure handles a task that failed with its own error.
func (c *Core) handleTaskFailure(j *job, i int) {
	tk := &j.tasks[i]
	limit := int32(c.cfg.Policy.RestartLimit())
	switch {
	case j.cancelled, !j.restartable():
		c.finishTask(j, i, taskFailed)
	case tk.restarts >= limit && j.spec.Policy != model.PolicyService:
		c.finishTask(j, i, taskFailed)
	default:
		c.restartTask(j, i)
	}
}

// avoidWorker makes the tasks of j avoid the worker on which one of them failed.
// Beyond the limit, the oldest avoided worker is dropped from the list.
func (c *Core) avoidWorker(j *job, w *worker) {
	if slices.Contains(j.avoid, w.spec.ID) {
		return
	}
	j.avoid = append(j.avoid, w.spec.ID)
	if len(j.avoid) > min(maxAvoid, len(c.indexedWorkers)/2) {
		j.avoid = j.avoid[1:]
	}
}

// handleInterruption handles a task that was stopped, or whose worker was lost.
func (c *Core) handleInterruption(j *job, i int) {
	switch {
	case j.cancelled:
		c.finishTask(j, i, taskWithdrawn)
	case j.restartable():
		c.requeue(j, i)
		c.stopGangTasks(j, "another task of the gang was stopped")
	default:
		c.finishTask(j, i, taskAbandoned)
	}
}

// restartTask schedules the restart of a task that ended by itself.
func (c *Core) restartTask(j *job, i int) {
	j.tasks[i].restarts++
	c.backOff(j, i)
	c.stopGangTasks(j, "another task of the gang failed")
}

// backOff makes a task ready after a delay that doubles with each restart. A random
// addition keeps tasks that failed together from restarting together.
func (c *Core) backOff(j *job, i int) {
	tk := &j.tasks[i]
	delay := c.cfg.Policy.RestartBackoff() << min(max(tk.restarts-1, 0), 20)
	delay = min(delay, maxBackoff)
	delay += time.Duration(c.rng.Int64N(int64(delay)/4 + 1))
	tk.state = taskBackoff
	c.timers.add(timer{at: c.now.Add(delay), kind: timerRestart, job: j, index: i})
}

// restartDue makes a task ready whose backoff has passed.
func (c *Core) restartDue(j *job, i int) {
	if !j.finished && !j.cancelled && j.tasks[i].state == taskBackoff {
		c.requeue(j, i)
	}
}

// requeue makes a task ready again, before the tasks that were never started.
func (c *Core) requeue(j *job, i int) {
	j.tasks[i].state = taskReady
	j.requeued = append(j.requeued, i)
	c.addReady(j, 1)
	c.enqueue(j, true)
	c.markTeamDirty(j.team)
}

// finishTask records that a task has finished for good.
func (c *Core) finishTask(j *job, i int, state taskState) {
	j.tasks[i].state = state
	j.unfinished--
	switch state {
	case taskFailed:
		j.failed++
	case taskAbandoned:
		j.abandoned++
	case taskDone:
		j.done++
	}
	if c.gangCannotComplete(j) {
		c.withdrawJob(j, "", "a task of the gang failed for good")
	}
	c.finishJobIfDone(j)
}

// gangCannotComplete reports whether a gang can never run with all its tasks again.
func (c *Core) gangCannotComplete(j *job) bool {
	return j.spec.Policy == model.PolicyGang && j.restartable() && j.failed+j.abandoned > 0
}

// finishJobIfDone ends a job whose tasks have all finished.
func (c *Core) finishJobIfDone(j *job) {
	if j.finished || j.unfinished > 0 || j.running > 0 {
		return
	}
	j.finished = true
	c.releaseReservationOf(j)
	delete(c.jobs, j.spec.ID)
	c.emitJobEnded(j.endDecision())
}

// endDecision returns the outcome of a job that has ended.
func (j *job) endDecision() JobEnded {
	e := JobEnded{Job: j.spec.ID, Code: j.code, Reason: j.reason}
	switch {
	case j.abandoned > 0:
		e.Outcome = model.OutcomeUnknown
	case j.done == len(j.tasks):
		e.Outcome = model.OutcomeDone
	case j.failed > 0 || j.done > 0 || j.mayHaveRun:
		e.Outcome = model.OutcomeFailed
	default:
		e.Outcome = model.OutcomeNotRun
		if j.code == RefusedByWorker || j.code == RefusedDeadline {
			e.RetryAfter = minRetryAfter
		}
		return e
	}
	e.Code = ""
	return e
}

// expireAttemptsOn ends the attempts on a worker whose leases have expired.
func (c *Core) expireAttemptsOn(w *worker) {
	for len(w.attempts) > 0 {
		c.endAttempt(w.attempts[len(w.attempts)-1], EndLeaseExpired, "")
	}
}

// taskRestored applies the journaled state of a task.
func (c *Core) taskRestored(ev TaskRestored) {
	j := c.jobs[ev.Task.Job]
	if j == nil {
		return
	}
	tk := j.task(ev.Task.Index)
	if tk == nil || tk.running != nil {
		return
	}
	tk.lastAttempt = max(tk.lastAttempt, int32(ev.LastAttempt))
	tk.restarts = int32(ev.Restarts)
	tk.checkpoint = ev.Checkpoint
	j.mayHaveRun = j.mayHaveRun || ev.LastAttempt > 0
	if !ev.Finished || tk.state != taskReady {
		return
	}
	c.addReady(j, -1)
	c.finishTask(j, ev.Task.Index, finalState(ev.End))
}

// finalState returns the state of a task that ended and never starts again.
func finalState(end End) taskState {
	switch end {
	case EndDone:
		return taskDone
	case EndFailed:
		return taskFailed
	case EndAbandoned:
		return taskAbandoned
	case EndStopped, EndLeaseExpired:
	}
	return taskWithdrawn
}

// taskAdopted adds the attempt of a task that already runs.
func (c *Core) taskAdopted(ev TaskAdopted) {
	j := c.jobs[ev.Job.ID]
	if j == nil {
		j = c.newJob(ev.Job)
		j.adoptedOnly = true
	}
	tk := j.task(ev.Index)
	if tk != nil && tk.running != nil && (tk.running.number != ev.Attempt || tk.running.worker.spec.ID != ev.Worker) {
		c.removeAttempt(tk.running)
		tk.state = taskBackoff
	}
	if tk == nil || (tk.state != taskReady && tk.state != taskBackoff) {
		return
	}
	if tk.state == taskReady {
		c.addReady(j, -1)
	}
	tk.state = taskRunning
	tk.lastAttempt = max(tk.lastAttempt, int32(ev.Attempt))
	size := j.size
	admitted := newVec(ev.Size, 0)
	size.raiseTo(&admitted)
	tk.running = &attempt{
		job: j, index: ev.Index, number: ev.Attempt, worker: c.worker(ev.Worker),
		size: size, started: ev.Started, confirmed: true,
	}
	j.mayHaveRun = true
	c.addAttempt(tk.running)
}

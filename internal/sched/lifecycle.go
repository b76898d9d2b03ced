package sched

import (
	"slices"
	"time"

	"cuminloft/internal/model"
)

// maxBackoff bounds the delay before a failed task is started again.
const maxBackoff = 5 * time.Minute

// maxAvoid is how many workers a job avoids after its tasks failed there.
const maxAvoid = 16

// countReady adds n to the ready tasks of j and takes j in or out of its lane.
func (c *Core) countReady(j *job, n int) {
	j.ready += n
	j.team.pending[j.lane] += n
	j.team.waiting.addScaled(&j.size, int64(n))
	if j.ready == 0 && j.in != nil {
		j.in.remove(j)
		c.updateActive(j.team)
	}
}

// enqueue puts a job with ready tasks into its lane.
func (c *Core) enqueue(j *job, front bool) {
	t := j.team
	if j.ready == 0 || j.partial || j.in != nil {
		return
	}
	j.waits = c.now
	t.noteSmallest(j)
	if front {
		t.lanes[j.lane].pushFront(j)
	} else {
		t.lanes[j.lane].pushBack(j)
	}
	c.updateActive(t)
	c.markDirty(t)
}

// noteSmallest keeps the component-wise minimum of the sizes that wait.
func (t *team) noteSmallest(j *job) {
	k := j.lane.tier()
	if !t.active[k] {
		t.smallest[k] = j.asked
		return
	}
	for i := range j.asked {
		t.smallest[k][i] = min(t.smallest[k][i], j.asked[i])
	}
}

// markDirty has the next pass look at all pending work of t.
func (c *Core) markDirty(t *team) {
	if !t.dirty {
		t.dirty = true
		c.dirtyTeams = append(c.dirtyTeams, t)
	}
}

// begin starts the next ready task of j on w.
func (c *Core) begin(j *job, w *worker, reason string) *attempt {
	i := j.takeReady()
	tk := &j.tasks[i]
	c.countReady(j, -1)
	tk.lastAttempt++
	a := &attempt{job: j, index: i, number: int(tk.lastAttempt), worker: w, size: j.size, started: c.now}
	tk.state, tk.running = taskRunning, a
	c.attach(a)
	j.lastPlaced = reason
	c.decide(StartTask{
		Task: a.id(), Attempt: a.number, Worker: w.spec.ID,
		Size: a.size.resources(), Checkpoint: tk.checkpoint, Reason: reason,
	})
	return a
}

// attach counts the room that a takes.
func (c *Core) attach(a *attempt) {
	w, j := a.worker, a.job
	j.running++
	a.slot = len(w.attempts)
	w.attempts = append(w.attempts, a)
	w.used.add(&a.size)
	c.charge(j.team, &a.size, 1)
	c.direct.started(c, a)
	c.racks.count(j, w, 1)
	c.refresh(w)
}

// detach gives back the room that a took.
func (c *Core) detach(a *attempt) {
	w, j := a.worker, a.job
	j.running--
	c.endLoan(a)
	j.tasks[a.index].running = nil
	last := len(w.attempts) - 1
	w.attempts[a.slot] = w.attempts[last]
	w.attempts[a.slot].slot = a.slot
	w.attempts[last] = nil
	w.attempts = w.attempts[:last]
	w.used.sub(&a.size)
	c.charge(j.team, &a.size, -1)
	c.direct.ended(c, a)
	c.preempts.ended(a)
	c.racks.count(j, w, -1)
	c.grew(w)
	c.limitFreed(j.team)
}

// limitFreed has the next pass look at a team that runs less than before and
// may have been at its limit.
func (c *Core) limitFreed(t *team) {
	if t.atLimit {
		t.atLimit = false
		c.markDirty(t)
	}
}

// find returns the running attempt, or nil if the core does not know it.
func (c *Core) find(id model.TaskID, number int) *attempt {
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
	if a := c.find(ev.Task, ev.Attempt); a != nil {
		a.confirmed = true
		a.job.wasStarted = true
	}
}

// startRefused makes the task ready again: the attempt provably did not start.
func (c *Core) startRefused(ev StartRefused) {
	a := c.find(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	j, w := a.job, a.worker
	if ev.WorkerFault {
		c.pauseWorker(w, w.refusals.next(c.now, refusalPause))
	}
	c.detach(a)
	switch {
	case j.cancelled:
		c.settle(j, a.index, taskDropped)
	case j.spec.Policy == model.PolicyDirect:
		j.code, j.reason = RefusedByWorker, ev.Reason
		c.settle(j, a.index, taskDropped)
	case ev.WorkerFault:
		c.readyAgain(j, a.index)
	default:
		c.backOff(j, a.index)
	}
	if !j.giveUp.IsZero() && !c.now.Before(j.giveUp) {
		c.waitedTooLong(j)
	}
}

// taskEnded settles or restarts the task whose attempt no longer runs.
func (c *Core) taskEnded(ev TaskEnded) {
	a := c.find(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	c.observeEnd(a, ev.End)
	c.end(a, ev.End, ev.Checkpoint)
}

func (c *Core) end(a *attempt, end End, checkpoint string) {
	j := a.job
	tk := &j.tasks[a.index]
	j.wasStarted = true
	if checkpoint != "" {
		tk.checkpoint = checkpoint
	}
	c.detach(a)
	switch end {
	case EndDone:
		if j.lane == laneService && j.restartable() && !j.cancelled {
			c.restart(j, a.index)
			return
		}
		c.settle(j, a.index, taskDone)
	case EndFailed:
		c.avoidNext(j, a.worker)
		c.endedByItself(j, a.index)
	case EndStopped, EndLeaseExpired:
		c.endedByOthers(j, a.index)
	case EndAbandoned:
		c.settle(j, a.index, taskAbandoned)
	}
}

// endedByItself handles a task that failed with an error of its own.
func (c *Core) endedByItself(j *job, i int) {
	tk := &j.tasks[i]
	limit := int32(c.cfg.Policy.RestartLimit())
	switch {
	case j.cancelled, !j.restartable():
		c.settle(j, i, taskFailed)
	case tk.restarts >= limit && j.spec.Policy != model.PolicyService:
		c.settle(j, i, taskFailed)
	default:
		c.restart(j, i)
	}
}

// avoidNext has the tasks of j tried elsewhere than on a worker on which one
// failed; the oldest such worker is forgotten for it.
func (c *Core) avoidNext(j *job, w *worker) {
	if slices.Contains(j.avoid, w.spec.ID) {
		return
	}
	j.avoid = append(j.avoid, w.spec.ID)
	if len(j.avoid) > min(maxAvoid, len(c.byPos)/2) {
		j.avoid = j.avoid[1:]
	}
}

// endedByOthers handles a task that was stopped, or whose worker was lost.
func (c *Core) endedByOthers(j *job, i int) {
	switch {
	case j.cancelled:
		c.settle(j, i, taskDropped)
	case j.restartable():
		c.readyAgain(j, i)
		c.stopGang(j, "another task of the gang was stopped")
	default:
		c.settle(j, i, taskAbandoned)
	}
}

// restart lets a task that ended by itself wait and start again.
func (c *Core) restart(j *job, i int) {
	j.tasks[i].restarts++
	c.backOff(j, i)
	c.stopGang(j, "another task of the gang failed")
}

// backOff makes a task ready after a delay that doubles with each restart, by
// a random part more so that tasks that failed together do not return together.
func (c *Core) backOff(j *job, i int) {
	tk := &j.tasks[i]
	delay := c.cfg.Policy.RestartBackoff() << min(max(tk.restarts-1, 0), 20)
	delay = min(delay, maxBackoff)
	delay += time.Duration(c.rng.Int64N(int64(delay)/4 + 1))
	tk.state = taskBackoff
	c.timers.add(timer{at: c.now.Add(delay), kind: timerRestart, job: j, index: i})
}

// restartDue makes a task ready whose backoff is over.
func (c *Core) restartDue(j *job, i int) {
	if !j.over && !j.cancelled && j.tasks[i].state == taskBackoff {
		c.readyAgain(j, i)
	}
}

// readyAgain puts a task back before the ones that were never started.
func (c *Core) readyAgain(j *job, i int) {
	j.tasks[i].state = taskReady
	j.again = append(j.again, i)
	c.countReady(j, 1)
	c.enqueue(j, true)
	c.markDirty(j.team)
}

// settle records that a task is over.
func (c *Core) settle(j *job, i int, state taskState) {
	j.tasks[i].state = state
	j.unsettled--
	switch state {
	case taskFailed:
		j.failed++
	case taskAbandoned:
		j.abandoned++
	case taskDone:
		j.done++
	}
	if c.gangBroken(j) {
		c.withdraw(j, "", "a task of the gang failed for good")
	}
	c.finishIfOver(j)
}

// gangBroken reports whether a gang can never be whole again.
func (c *Core) gangBroken(j *job) bool {
	return j.spec.Policy == model.PolicyGang && j.restartable() && j.failed+j.abandoned > 0
}

// finishIfOver ends a job all of whose tasks are over.
func (c *Core) finishIfOver(j *job) {
	if j.over || j.unsettled > 0 || j.running > 0 {
		return
	}
	j.over = true
	c.dropReservation(j)
	delete(c.jobs, j.spec.ID)
	c.ended(j.ending())
}

// ending returns the truth about a job that is over.
func (j *job) ending() JobEnded {
	e := JobEnded{Job: j.spec.ID, Code: j.code, Reason: j.reason}
	switch {
	case j.abandoned > 0:
		e.Outcome = model.OutcomeUnknown
	case j.done == len(j.tasks):
		e.Outcome = model.OutcomeDone
	case j.failed > 0 || j.done > 0 || j.wasStarted:
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

// lapseAll ends what ran on a worker whose leases have lapsed.
func (c *Core) lapseAll(w *worker) {
	for len(w.attempts) > 0 {
		c.end(w.attempts[len(w.attempts)-1], EndLeaseExpired, "")
	}
}

// taskRestored takes what the journal knows of a task.
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
	j.wasStarted = j.wasStarted || ev.LastAttempt > 0
	if !ev.Finished || tk.state != taskReady {
		return
	}
	c.countReady(j, -1)
	c.settle(j, ev.Task.Index, settledState(ev.End))
}

// settledState returns the state of a task that is over for good.
func settledState(end End) taskState {
	switch end {
	case EndDone:
		return taskDone
	case EndFailed:
		return taskFailed
	case EndAbandoned:
		return taskAbandoned
	case EndStopped, EndLeaseExpired:
	}
	return taskDropped
}

// taskAdopted counts a task that runs already.
func (c *Core) taskAdopted(ev TaskAdopted) {
	j := c.jobs[ev.Job.ID]
	if j == nil {
		j = c.newJob(ev.Job)
		j.partial = true
	}
	tk := j.task(ev.Index)
	if tk != nil && tk.running != nil && (tk.running.number != ev.Attempt || tk.running.worker.spec.ID != ev.Worker) {
		c.detach(tk.running)
		tk.state = taskBackoff
	}
	if tk == nil || (tk.state != taskReady && tk.state != taskBackoff) {
		return
	}
	if tk.state == taskReady {
		c.countReady(j, -1)
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
	j.wasStarted = true
	c.attach(tk.running)
}

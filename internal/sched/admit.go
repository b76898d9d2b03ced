package sched

import (
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// queueFullRetryAfter is the retry delay returned to a caller whose job is refused
// because the queue is full.
const queueFullRetryAfter = 5 * time.Second

// jobAdded admits accepted work, or refuses a job that can never run.
func (c *Core) jobAdded(ev JobAdded) {
	if j := c.jobs[ev.Job.ID]; j != nil {
		c.completeAdoptedJob(j)
		return
	}
	if code, reason, retry := c.checkAdmission(&ev.Job); code != "" && (!ev.Restored || code == RefusedUnknownTeam) {
		c.refuseJob(ev.Job.ID, code, reason, retry)
		return
	}
	j := c.newJob(ev.Job)
	j.avoid = ev.Avoid
	j.tasks[0].lastAttempt = int32(ev.LastAttempt)
	c.enqueue(j, false)
	c.setStartDeadline(j)
}

// completeAdoptedJob makes the remaining tasks of a job startable that was known only
// from adopted tasks until its JobAdded arrived.
func (c *Core) completeAdoptedJob(j *job) {
	if !j.adoptedOnly {
		return
	}
	j.adoptedOnly = false
	if j.ready > 0 {
		c.enqueue(j, false)
	}
}

// newJob creates a job with all its tasks ready.
func (c *Core) newJob(spec model.Job) *job {
	spec.Tasks = max(spec.Tasks, 1)
	if spec.Policy == model.PolicyDirect {
		spec.Tasks = 1
	}
	t := c.team(spec.Team)
	j := &job{spec: spec, team: t, lane: laneOf(&spec), waitingSince: c.now}
	j.declaredSize = taskSize(&spec)
	j.size = j.declaredSize
	j.estimate = c.estimates.forJob(j)
	j.tasks = make([]task, spec.Tasks)
	j.unfinished = spec.Tasks
	c.jobs[spec.ID] = j
	c.addReady(j, spec.Tasks)
	return j
}

// taskSize returns the resources that one task takes: a direct request takes at least
// one connection, other work at least one slot.
func taskSize(spec *model.Job) vec {
	size := newVec(spec.Task.Resources, spec.Task.Connections)
	if spec.Policy == model.PolicyDirect {
		size[dimConnections] = max(size[dimConnections], 1)
	} else {
		size[dimSlots] = max(size[dimSlots], 1)
	}
	return size
}

func laneOf(spec *model.Job) lane {
	switch {
	case spec.Policy == model.PolicyDirect && spec.Urgent:
		return laneUrgent
	case spec.Policy == model.PolicyDirect:
		return laneDirect
	case spec.Policy == model.PolicyService:
		return laneService
	case spec.Urgent:
		return laneUrgentBatch
	}
	return laneBatch
}

// checkAdmission checks whether a job can run at all and whether its queue has
// capacity for it. It returns an empty code if so.
func (c *Core) checkAdmission(spec *model.Job) (code RefusalCode, reason string, retry time.Duration) {
	t := c.teams[spec.Team]
	if t == nil || !t.known {
		return RefusedUnknownTeam, "no team of this name is configured", 0
	}
	size := taskSize(spec)
	if code, reason := c.checkFeasibility(spec, &size, t); code != "" {
		return code, reason, 0
	}
	lane := laneOf(spec)
	if t.pending[lane]+max(spec.Tasks, 1) > c.maxPending(spec.Queue) {
		return RefusedQueueFull, "the team has too much waiting in this queue", queueFullRetryAfter
	}
	if lane <= laneDirect {
		return c.checkStartDeadline(spec, &size, lane)
	}
	return "", "", 0
}

// checkFeasibility detects jobs that can never run, however long they wait.
func (c *Core) checkFeasibility(spec *model.Job, size *vec, t *team) (RefusalCode, string) {
	if !size.fitsWithin(&vec{}, &t.limit) {
		return RefusedOverLimit, "one task is larger than the team's upper limit"
	}
	if q := c.queues[spec.Queue]; q != nil {
		bound := limitVec(q.MaxTask)
		if !size.fitsWithin(&vec{}, &bound) {
			return RefusedTooLarge, "one task is larger than the queue allows"
		}
	}
	if len(c.indexedWorkers) == 0 {
		return "", "" // no worker is known yet
	}
	if !c.fitsSomeWorker(size) {
		return RefusedTooLarge, "no worker is large enough for one task"
	}
	if spec.Policy != model.PolicyGang {
		return "", ""
	}
	all := vec{}
	all.addScaled(size, int64(spec.Tasks))
	if !all.fitsWithin(&vec{}, &t.limit) {
		return RefusedOverLimit, "the gang is larger than the team's upper limit"
	}
	if c.countFitting(size, spec.Tasks) < spec.Tasks {
		return RefusedGangTooBig, "the shard's workers together cannot hold the gang"
	}
	return "", ""
}

// fitsSomeWorker reports whether a task of this size fits on an empty worker of the
// shard.
func (c *Core) fitsSomeWorker(size *vec) bool {
	if !size.fits(&c.largest) {
		return false
	}
	for _, w := range c.indexedWorkers {
		if c.presentOrConfigured(w) && size.fits(&w.capacity) {
			return true
		}
	}
	return false
}

// countFitting returns how many tasks of this size fit on the shard's empty workers,
// at most bound.
func (c *Core) countFitting(size *vec, bound int) int {
	n := 0
	for _, w := range c.indexedWorkers {
		if !c.presentOrConfigured(w) {
			continue
		}
		n += w.capacity.fitCount(size, bound-n)
		if n >= bound {
			break
		}
	}
	return n
}

func (c *Core) maxPending(queue string) int {
	if q := c.queues[queue]; q != nil && q.MaxPending > 0 {
		return q.MaxPending
	}
	return config.DefaultMaxPending
}

// refuseJob ends a job that is not admitted.
func (c *Core) refuseJob(id model.JobID, code RefusalCode, reason string, retry time.Duration) {
	c.emitJobEnded(JobEnded{Job: id, Outcome: model.OutcomeNotRun, Code: code, Reason: reason, RetryAfter: retry})
}

func (c *Core) emitJobEnded(e JobEnded) {
	c.endedJobs.record(e)
	c.emit(e)
}

// setStartDeadline sets the time at which a job ends as not run if none of its tasks
// was started.
func (c *Core) setStartDeadline(j *job) {
	if j.spec.MaxWait <= 0 {
		return
	}
	from := c.now
	if s := j.spec.Submitted; !s.IsZero() && s.Before(from) && j.spec.Policy != model.PolicyDirect {
		from = s
	}
	j.startDeadline = from.Add(j.spec.MaxWait)
	c.timers.schedule(j.startDeadline, timerMaxWait, nil, j, nil)
}

// expireWaitingJob ends a job whose start deadline has passed, unless one of its tasks
// may have run.
func (c *Core) expireWaitingJob(j *job) {
	if j.finished || j.mayHaveRun || j.running > 0 {
		return
	}
	c.withdrawJob(j, RefusedDeadline, "waited as long as it may")
}

// jobCancelled drops the pending tasks of a job and stops the running ones.
func (c *Core) jobCancelled(id model.JobID) {
	if j := c.jobs[id]; j != nil && !j.finished {
		c.withdrawJob(j, RefusedCancelled, "cancelled by its team")
	}
}

// withdrawJob drops the pending tasks of j and stops the running ones. Its cost grows
// with the number of running tasks only.
func (c *Core) withdrawJob(j *job, code RefusalCode, reason string) {
	if j.cancelled {
		return
	}
	j.cancelled, j.code, j.reason = true, code, reason
	c.releaseReservationOf(j)
	c.addReady(j, -j.ready)
	j.unfinished = j.running
	if j.running > 0 {
		for i := range j.tasks {
			if a := j.tasks[i].running; a != nil {
				c.stopAttempt(a, reason)
			}
		}
	}
	c.finishJobIfDone(j)
}

// withdrawJobsOf withdraws the pending jobs of a team that is no longer configured.
// Running tasks continue to their end.
func (c *Core) withdrawJobsOf(t *team) {
	for lane := range t.lanes {
		for t.lanes[lane].head != nil {
			c.withdrawJob(t.lanes[lane].head, RefusedUnknownTeam, "its team is no longer configured")
		}
	}
}

package sched

import (
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// queueFullRetry is when a caller refused for a full queue may come back.
const queueFullRetry = 5 * time.Second

// jobAdded takes in accepted work, or refuses what can never run.
func (c *Core) jobAdded(ev JobAdded) {
	if j := c.jobs[ev.Job.ID]; j != nil {
		c.completePartial(j)
		return
	}
	if code, reason, retry := c.refusal(&ev.Job); code != "" && (!ev.Restored || code == RefusedUnknownTeam) {
		c.refuse(ev.Job.ID, code, reason, retry)
		return
	}
	j := c.newJob(ev.Job)
	j.avoid = ev.Avoid
	j.tasks[0].lastAttempt = int32(ev.LastAttempt)
	c.enqueue(j, false)
	c.setMaxWait(j)
}

// completePartial lets the tasks of a job start that was known from adopted
// tasks alone.
func (c *Core) completePartial(j *job) {
	if !j.partial {
		return
	}
	j.partial = false
	if j.ready > 0 {
		c.enqueue(j, false)
	}
}

// newJob enters a job with all tasks ready.
func (c *Core) newJob(spec model.Job) *job {
	spec.Tasks = max(spec.Tasks, 1)
	if spec.Policy == model.PolicyDirect {
		spec.Tasks = 1
	}
	t := c.team(spec.Team)
	j := &job{spec: spec, team: t, lane: laneOf(&spec), waits: c.now}
	j.asked = taskSize(&spec)
	j.size = j.asked
	j.est = c.estimates.of(j)
	j.tasks = make([]task, spec.Tasks)
	j.unsettled = spec.Tasks
	c.jobs[spec.ID] = j
	c.countReady(j, spec.Tasks)
	return j
}

// taskSize returns what one task takes: a direct request at least one
// connection, other work at least one slot.
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
		return laneUrgentWork
	}
	return laneWork
}

// refusal checks whether a job can run at all and may wait. It returns an
// empty code if so.
func (c *Core) refusal(spec *model.Job) (code RefusalCode, reason string, retry time.Duration) {
	t := c.teams[spec.Team]
	if t == nil || !t.known {
		return RefusedUnknownTeam, "no team of this name is configured", 0
	}
	size := taskSize(spec)
	if code, reason := c.neverFits(spec, &size, t); code != "" {
		return code, reason, 0
	}
	lane := laneOf(spec)
	if t.pending[lane]+max(spec.Tasks, 1) > c.maxPending(spec.Queue) {
		return RefusedQueueFull, "the team has too much waiting in this queue", queueFullRetry
	}
	if lane <= laneDirect {
		return c.lateRefusal(spec, &size, lane)
	}
	return "", "", 0
}

// neverFits finds work that no wait can make possible.
func (c *Core) neverFits(spec *model.Job, size *vec, t *team) (RefusalCode, string) {
	if !size.fitsWith(&vec{}, &t.limit) {
		return RefusedOverLimit, "one task is larger than the team's upper limit"
	}
	if q := c.queues[spec.Queue]; q != nil {
		bound := limitVec(q.MaxTask)
		if !size.fitsWith(&vec{}, &bound) {
			return RefusedTooLarge, "one task is larger than the queue allows"
		}
	}
	if len(c.byPos) == 0 {
		return "", "" // the workers are not known yet
	}
	if !c.fitsSomeWorker(size) {
		return RefusedTooLarge, "no worker is large enough for one task"
	}
	if spec.Policy != model.PolicyGang {
		return "", ""
	}
	all := vec{}
	all.addScaled(size, int64(spec.Tasks))
	if !all.fitsWith(&vec{}, &t.limit) {
		return RefusedOverLimit, "the gang is larger than the team's upper limit"
	}
	if c.places(size, spec.Tasks) < spec.Tasks {
		return RefusedGangTooBig, "the shard's workers together cannot hold the gang"
	}
	return "", ""
}

// fitsSomeWorker reports whether an empty worker of the shard holds size.
func (c *Core) fitsSomeWorker(size *vec) bool {
	if !size.fits(&c.largest) {
		return false
	}
	for _, w := range c.byPos {
		if c.mayReturn(w) && size.fits(&w.capacity) {
			return true
		}
	}
	return false
}

// places returns how many tasks of size the shard's empty workers hold, at
// most bound.
func (c *Core) places(size *vec, bound int) int {
	n := 0
	for _, w := range c.byPos {
		if !c.mayReturn(w) {
			continue
		}
		n += w.capacity.times(size, bound-n)
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

// refuse ends a job that was not taken in.
func (c *Core) refuse(id model.JobID, code RefusalCode, reason string, retry time.Duration) {
	c.ended(JobEnded{Job: id, Outcome: model.OutcomeNotRun, Code: code, Reason: reason, RetryAfter: retry})
}

func (c *Core) ended(e JobEnded) {
	c.recent.add(e)
	c.decide(e)
}

// setMaxWait sets the time at which a job that still waits is given up.
func (c *Core) setMaxWait(j *job) {
	if j.spec.MaxWait <= 0 {
		return
	}
	from := c.now
	if s := j.spec.Submitted; !s.IsZero() && s.Before(from) && j.spec.Policy != model.PolicyDirect {
		from = s
	}
	j.giveUp = from.Add(j.spec.MaxWait)
	c.timers.push(j.giveUp, timerMaxWait, nil, j, nil)
}

// waitedTooLong ends a job none of whose tasks was ever started.
func (c *Core) waitedTooLong(j *job) {
	if j.over || j.wasStarted || j.running > 0 {
		return
	}
	c.withdraw(j, RefusedDeadline, "waited as long as it may")
}

// jobCancelled drops what waits and stops what runs.
func (c *Core) jobCancelled(id model.JobID) {
	if j := c.jobs[id]; j != nil && !j.over {
		c.withdraw(j, RefusedCancelled, "cancelled by its team")
	}
}

// withdraw drops the tasks of j that wait and stops those that run. Its cost
// grows with the running tasks alone.
func (c *Core) withdraw(j *job, code RefusalCode, reason string) {
	if j.cancelled {
		return
	}
	j.cancelled, j.code, j.reason = true, code, reason
	c.dropReservation(j)
	c.countReady(j, -j.ready)
	j.unsettled = j.running
	if j.running > 0 {
		for i := range j.tasks {
			if a := j.tasks[i].running; a != nil {
				c.stop(a, reason)
			}
		}
	}
	c.finishIfOver(j)
}

// endUnknownTeam withdraws what waits for a team that is no longer configured.
// What runs goes on to its end.
func (c *Core) endUnknownTeam(t *team) {
	for lane := range t.lanes {
		for t.lanes[lane].head != nil {
			c.withdraw(t.lanes[lane].head, RefusedUnknownTeam, "its team is no longer configured")
		}
	}
}

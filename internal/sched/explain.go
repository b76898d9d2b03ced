package sched

import (
	"fmt"
	"slices"

	"cuminloft/internal/model"
)

// blockReason is the reason why a job's next task does not start.
type blockReason uint8

const (
	notBlocked blockReason = iota
	blockedByCapacity
	blockedByLimit
	blockedByGrant
	blockedByHeadroom
	blockedByReservation
	blockedByGang
)

// String returns a description for operators.
func (b blockReason) String() string {
	switch b {
	case blockedByCapacity:
		return "no worker has enough free room"
	case blockedByLimit:
		return "the team is at its upper limit"
	case blockedByGrant:
		return "this shard's part of the team's upper limit is used up"
	case blockedByHeadroom:
		return "the room that is left is kept free for direct requests"
	case blockedByReservation:
		return "waits for the room that is reserved for it"
	case blockedByGang:
		return "waits until all tasks of the gang are ready"
	}
	return "waits for its turn"
}

// Explain describes the state of a job and why its tasks are pending. It returns nil
// if the job is neither known nor among the most recently ended ones.
func (c *Core) Explain(id model.JobID) []string {
	j := c.jobs[id]
	if j == nil {
		return c.endedJobs.explain(id)
	}
	lines := []string{fmt.Sprintf("shard %s: %s job of team %s in queue %s: %d tasks, %d ready, %d running, %d failed",
		c.shard, j.spec.Policy, j.spec.Team, j.spec.Queue, len(j.tasks), j.ready, j.running, j.failed)}
	if j.size != j.declaredSize {
		lines = append(lines, "each task counts as "+j.size.resources().String()+", more than declared, as measured before")
	}
	if j.ready > 0 {
		lines = append(lines, "pending: "+c.pendingReason(j).String())
	}
	if r := j.reservation; r != nil {
		lines = append(lines, r.explain())
	}
	return append(lines, c.explainTasks(j)...)
}

// pendingReason returns the reason why the next task of j does not start now.
func (c *Core) pendingReason(j *job) blockReason {
	if j.reservation != nil {
		return blockedByReservation
	}
	if j.spec.Policy == model.PolicyGang && !j.gangReady() {
		return blockedByGang
	}
	if reason := j.team.checkLimits(&j.size, j.tasksPerStart()); reason != notBlocked {
		return reason
	}
	all := vec{}
	all.addScaled(&j.size, j.tasksPerStart())
	if j.lane.tier() == tierShared && !c.leavesHeadroom(&all) {
		return blockedByHeadroom
	}
	if c.capacityIndex.nextFit(&j.size, 0) < 0 || j.spec.Policy == model.PolicyGang {
		return blockedByCapacity
	}
	return notBlocked
}

// explainTasks describes where each running task runs.
func (c *Core) explainTasks(j *job) []string {
	var lines []string
	for i := range j.tasks {
		a := j.tasks[i].running
		if a == nil {
			continue
		}
		line := fmt.Sprintf("task %d attempt %d on %s since %s",
			i, a.number, a.worker.spec.ID, a.started.UTC().Format("15:04:05.000"))
		if a.stopping {
			line += ", asked to give up its room: " + string(a.preemptStep)
		}
		lines = append(lines, line)
	}
	if j.lastPlacement != "" {
		lines = append(lines, "last placed: "+j.lastPlacement)
	}
	return lines
}

// maxEndedJobs is the number of ended jobs that can still be explained.
const maxEndedJobs = 1024

// endedJobs is a ring buffer of the most recently ended jobs.
type endedJobs struct {
	ring []JobEnded
	next int
}

func (r *endedJobs) record(e JobEnded) {
	if len(r.ring) < maxEndedJobs {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % maxEndedJobs
}

func (r *endedJobs) explain(id model.JobID) []string {
	i := slices.IndexFunc(r.ring, func(e JobEnded) bool { return e.Job == id })
	if i < 0 {
		return nil
	}
	e := r.ring[i]
	lines := []string{"ended: " + string(e.Outcome)}
	if e.Code != "" {
		lines = append(lines, "code: "+string(e.Code))
	}
	if e.Reason != "" {
		lines = append(lines, "reason: "+e.Reason)
	}
	return lines
}

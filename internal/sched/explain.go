package sched

import (
	"fmt"
	"slices"

	"cuminloft/internal/model"
)

// blockReason is why a job's next task does not start.
type blockReason uint8

const (
	notBlocked blockReason = iota
	blockedByRoom
	blockedByLimit
	blockedByGrant
	blockedByHeadroom
	blockedByReservation
	blockedByGang
)

// String returns the reason in words for operators.
func (b blockReason) String() string {
	switch b {
	case blockedByRoom:
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

// Explain tells where a job stands and why. It returns nil if the job is
// neither known nor among the last that ended.
func (c *Core) Explain(id model.JobID) []string {
	j := c.jobs[id]
	if j == nil {
		return c.recent.explain(id)
	}
	lines := []string{fmt.Sprintf("shard %s: %s job of team %s in queue %s: %d tasks, %d ready, %d running, %d failed",
		c.shard, j.spec.Policy, j.spec.Team, j.spec.Queue, len(j.tasks), j.ready, j.running, j.failed)}
	if j.size != j.asked {
		lines = append(lines, "each task counts as "+j.size.resources().String()+", more than declared, as measured before")
	}
	if j.ready > 0 {
		lines = append(lines, "pending: "+c.whyPending(j).String())
	}
	if r := j.reserved; r != nil {
		lines = append(lines, r.explain())
	}
	return append(lines, c.explainTasks(j)...)
}

// whyPending finds out why the next task of j does not start now.
func (c *Core) whyPending(j *job) blockReason {
	if j.reserved != nil {
		return blockedByReservation
	}
	if j.spec.Policy == model.PolicyGang && !j.gangReady() {
		return blockedByGang
	}
	if reason := j.team.mayRun(&j.size, j.atOnce()); reason != notBlocked {
		return reason
	}
	all := vec{}
	all.addScaled(&j.size, j.atOnce())
	if j.lane.tier() == tierShared && !c.leavesHeadroom(&all) {
		return blockedByHeadroom
	}
	if c.index.next(&j.size, 0) < 0 || j.spec.Policy == model.PolicyGang {
		return blockedByRoom
	}
	return notBlocked
}

// explainTasks tells of each running task where it runs.
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
			line += ", asked to give up its room: " + string(a.step)
		}
		lines = append(lines, line)
	}
	if j.lastPlaced != "" {
		lines = append(lines, "last placed: "+j.lastPlaced)
	}
	return lines
}

// recentJobs is how many ended jobs can still be explained.
const recentJobs = 1024

// recent remembers how the last jobs ended.
type recent struct {
	ring []JobEnded
	next int
}

func (r *recent) add(e JobEnded) {
	if len(r.ring) < recentJobs {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % recentJobs
}

func (r *recent) explain(id model.JobID) []string {
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

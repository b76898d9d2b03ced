package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// lateFactor times the objective is the longest time that a job may take and still be
// worth a part of its price, as agreed with the callers.
const lateFactor = 3

// typicalCallWorkers is the number of workers in a call for advice that is assumed in
// estimates.
const typicalCallWorkers = 30

// objective is the time allowed for an occurrence, derived from its critical path.
type objective struct {
	onTimeWithin time.Duration // worth its whole price if it ends within this time after it was due to begin
	remaining    time.Duration // critical path of the unfinished steps
	// basis is the number of known facts that the objective was computed from: finished
	// steps, steps with a measured duration, and failed runs, plus 1. It is 0 before the
	// first computation.
	basis int
	startMargin
}

// criticalPath returns the length of the longest dependency chain, where step i takes
// duration(i).
func criticalPath(spec *workload.Job, duration func(i int) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(spec.Steps))
	for i := range spec.Steps {
		for _, before := range spec.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// currentBasis returns the basis of an objective that is computed now.
func (o *occurrence) currentBasis() int {
	basis := 1
	for _, s := range o.steps {
		if s.finished() {
			basis++
		}
		if s.durations.n > 0 {
			basis++
		}
		basis += s.failedRuns
	}
	return basis
}

// refresh recomputes the objective when more is known about the steps.
func (o *occurrence) refresh(c *Core, q *workload.Queue) {
	basis := o.currentBasis()
	if basis == o.basis {
		return
	}
	o.basis = basis
	spec := o.steps[0].job.spec
	var advice time.Duration
	if q.Advice != nil {
		advice = q.Advice.Duration(typicalCallWorkers)
	}
	// The agreement with the callers allows extra time for runs that failed by a task's
	// own fault.
	path := criticalPath(spec, func(i int) time.Duration { return c.expectedDuration(o.steps[i]) + advice + o.steps[i].maxFailedTime })
	o.onTimeWithin = time.Duration(q.Slack*float64(path)) + q.Allowance
	o.remaining = criticalPath(spec, func(i int) time.Duration {
		if o.steps[i].finished() {
			return 0
		}
		return c.expectedDuration(o.steps[i]) + advice
	})
}

// Groups of ranks; steps of a lower group are placed first.
const (
	groupUrgent   = iota // highest priority, and can still be on time
	groupOnTime          // can still be on time
	groupLate            // can still be worth a part of the price
	groupOverRate        // exceeds its team's rate
	groupExpired         // no longer worth anything
)

// rank orders steps: by group, then tight jobs behind the others, then by the latest time at
// which the rest of the job can start and still meet the goal of its group. Load
// pattern: a burst beyond the cell's capacity. Jobs that can no longer be on time yield, so
// that a backlog does not make every later job late too.
type rank struct {
	group int32
	// tight is set if the job can hardly be on time any more, see isTight. Only urgent jobs
	// are tight, and none without Policy.StartMargins.
	tight       bool
	latestStart time.Time
}

func (r rank) before(o rank) bool {
	if r.group != o.group {
		return r.group < o.group
	}
	if r.tight != o.tight {
		return o.tight
	}
	return r.latestStart.Before(o.latestStart)
}

// rankOf ranks the steps of an occurrence.
func (c *Core) rankOf(j *job, o *occurrence, now time.Time) rank {
	q := c.queueOf(j)
	o.refresh(c, q)
	begin := timeOfMillis(j.spec.AcceptedAt)
	if at := j.spec.Due(o.index); at != 0 {
		begin = timeOfMillis(at)
	}
	remaining := o.remaining
	latestStart, lateEnd := begin.Add(o.onTimeWithin-remaining), begin.Add(lateFactor*o.onTimeWithin)
	switch {
	case j.overRate:
		return rank{group: groupOverRate, latestStart: latestStart}
	case !now.After(latestStart) && q.Priority == 0:
		return rank{group: groupUrgent, latestStart: latestStart, tight: c.isTight(o, q, latestStart, now)}
	case !now.After(latestStart):
		return rank{group: groupOnTime, latestStart: latestStart}
	case !now.After(lateEnd.Add(-remaining)):
		return rank{group: groupLate, latestStart: lateEnd.Add(-remaining)}
	default:
		return rank{group: groupExpired, latestStart: latestStart}
	}
}

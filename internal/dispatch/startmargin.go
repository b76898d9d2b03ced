package dispatch

import (
	"math"
	"time"

	"cuminloft/internal/workload"
)

// startReportTime is the time assumed for a start order to arrive and for the end of the
// run to be reported and stored. Urgent tasks of 0.64 s were done 0.78 s after their start
// at the usual load (docs/design/0014-shifted-work.md).
const startReportTime = 100 * time.Millisecond

// startMargin is how long before its latest start a job becomes tight, by the uncertainty
// of its durations.
type startMargin struct {
	margin time.Duration
	// marginBasis is the objective's basis that the margin was computed from; 0 while the
	// deviation of the queue's durations is unknown.
	marginBasis int
}

// isTight reports whether an urgent occurrence that has not started before now can hardly
// be on time. Load pattern: demand of two to three times the cell's capacity for some
// seconds, so that urgent jobs wait for urgent jobs. Jobs that are all started at their
// latest start are late half of the time, since that time follows from uncertain
// durations. Starting first what can surely be on time turns late jobs into jobs on time.
// Jobs of other priorities also wait in a cell that is merely full, so their order does
// not change: gangs that lost their place to later ones were on time less often.
func (c *Core) isTight(o *occurrence, q *workload.Queue, latestStart, now time.Time) bool {
	return c.policy.StartMargins && o.refreshMargin(c, q) &&
		now.After(latestStart.Add(-o.margin-c.startDelay-startReportTime))
}

// refreshMargin recomputes the margin when more is known about the steps. It returns false
// while the deviation of the queue's durations is unknown.
func (o *occurrence) refreshMargin(c *Core, q *workload.Queue) bool {
	if o.marginBasis == o.basis {
		return true
	}
	job := o.steps[0].job.spec
	deviation, known := c.durationModels[job.Queue].deviation()
	if !known {
		return false
	}
	o.marginBasis = o.basis
	expected, shorter := o.paths(c, 1), o.paths(c, math.Exp(-deviation))
	// The objective of a job with shorter durations is shorter as well, by the slack. So a
	// job must start earlier than expected if its durations are shorter than expected.
	o.margin = max(0, time.Duration(q.Slack*float64(expected.whole-shorter.whole))-(expected.unfinished-shorter.unfinished))
	return true
}

// paths are the critical paths of a job: of all its steps, and of the unfinished ones.
type paths struct{ whole, unfinished time.Duration }

// paths returns the critical paths if steps whose durations are not measured take this
// share of their expected durations. Fixed times, as for advice, are left out.
func (o *occurrence) paths(c *Core, share float64) paths {
	job := o.steps[0].job.spec
	duration := func(i int) time.Duration {
		s := o.steps[i]
		if s.finished() || s.durations.n > 0 {
			return c.expectedDuration(s)
		}
		return time.Duration(share * float64(c.expectedDuration(s)))
	}
	return paths{criticalPath(job, duration), criticalPath(job, func(i int) time.Duration {
		if o.steps[i].finished() {
			return 0
		}
		return duration(i)
	})}
}

// tightSteps counts the steps with tight jobs of the latest scheduling pass.
func (c *Core) tightSteps() int {
	n := 0
	for _, r := range c.ready {
		if r.rank.tight {
			n++
		}
	}
	return n
}

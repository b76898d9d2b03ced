package dispatch

import (
	"math"
	"time"

	"cuminloft/internal/workload"
)

// Learning the duration of tasks. Load pattern: declared estimates that are wrong by a
// factor of two and more, so that capacity is reserved for the wrong times, and jobs that
// are on time rank as late ones.
const (
	// minProgress is the progress in percent from which a run's speed is used to project
	// its duration.
	minProgress = 8
	// historyDecay is the factor on the weight of a queue's history for each further
	// step.
	historyDecay = 0.99
	// priorWeight is the number of steps at which a queue's history counts as much as
	// the declared estimate.
	priorWeight = 4
	// overdueRemaining is the share of its estimate that a run past its estimate is
	// assumed to need, if its speed is unknown.
	overdueRemaining = 0.2
	// minDeviationSteps is the number of steps of a queue from which the deviation of
	// their durations counts as known. The first predictions are the declared estimates.
	minDeviationSteps = 10
	// maxDeviation bounds the influence of one step on the deviation, as the logarithm of
	// actual over predicted duration. One stalled run in thirty would otherwise account for
	// most of it.
	maxDeviation = 1.1 // a factor of three
)

// durationModel relates the durations of a queue's steps to their declared estimates. It
// is a linear regression between the logarithms, on sums with exponential decay.
type durationModel struct {
	n, x, y, xx, xy float64
	// squares sums up, with the same decay, the squared logarithm of each actual over its
	// predicted duration.
	squares float64
}

// add adds a step with its declared estimate and its duration.
func (m *durationModel) add(estimate, duration time.Duration) {
	if estimate <= 0 || duration <= 0 {
		return
	}
	deviation := math.Log(duration.Seconds() / m.predict(estimate).Seconds())
	x, y := math.Log(estimate.Seconds()), math.Log(duration.Seconds())
	for _, sum := range [...]*float64{&m.n, &m.x, &m.y, &m.xx, &m.xy, &m.squares} {
		*sum *= historyDecay
	}
	m.squares += min(maxDeviation*maxDeviation, deviation*deviation)
	m.n++
	m.x, m.y, m.xx, m.xy = m.x+x, m.y+y, m.xx+x*x, m.xy+x*y
}

// predict returns the expected duration of a step with this estimate.
func (m *durationModel) predict(estimate time.Duration) time.Duration {
	if m.n < 1 || estimate <= 0 {
		return estimate
	}
	x := math.Log(estimate.Seconds())
	meanX, meanY := m.x/m.n, m.y/m.n
	slope := 0.0
	if spread := m.xx/m.n - meanX*meanX; spread > 0 {
		slope = min(1, max(0, (m.xy/m.n-meanX*meanY)/spread))
	}
	trust := m.n / (m.n + priorWeight)
	y := trust*(meanY+slope*(x-meanX)) + (1-trust)*x
	return time.Duration(math.Exp(y) * float64(time.Second))
}

// deviation returns the standard deviation of the logarithm of actual over predicted
// durations; false while too few steps are known.
func (m *durationModel) deviation() (float64, bool) {
	if m == nil || m.n < minDeviationSteps {
		return 0, false
	}
	return math.Sqrt(m.squares / m.n), true
}

// measuredDurations holds the durations of a step's tasks, as far as its runs have shown
// them.
type measuredDurations struct {
	n    int
	logs float64
}

// mean returns the geometric mean of the durations, 0 if none is known.
func (m measuredDurations) mean() time.Duration {
	if m.n == 0 {
		return 0
	}
	return time.Duration(math.Exp(m.logs/float64(m.n)) * float64(time.Second))
}

// expectedDuration returns how long a task of the step is expected to take.
func (c *Core) expectedDuration(s *step) time.Duration {
	if known := s.durations.mean(); known > 0 {
		return known
	}
	return c.predictDuration(s.job.spec.Queue, s.spec)
}

// predictDuration returns the expected duration of a step that has not run yet.
func (c *Core) predictDuration(queue string, spec *workload.Step) time.Duration {
	if m := c.durationModels[queue]; m != nil {
		return m.predict(spec.Estimate)
	}
	return spec.Estimate
}

// learnDuration records the duration of one of the step's tasks. Each task counts once.
func (c *Core) learnDuration(s *step, t *task, duration time.Duration) {
	if t.durationCounted || duration <= 0 || s.spec.Service || s.spec.BestEffort {
		return
	}
	t.durationCounted = true
	duration = c.durationOnFast(t.worker, duration)
	s.durations.n++
	s.durations.logs += math.Log(duration.Seconds())
	if s.durations.n > 1 {
		return // a step counts once for its queue, whatever its number of tasks
	}
	m := c.durationModels[s.job.spec.Queue]
	if m == nil {
		m = &durationModel{}
		c.durationModels[s.job.spec.Queue] = m
	}
	m.add(s.spec.Estimate, duration)
}

// learnFromEnd records the duration of a run that ended successfully, if the run was
// observed from its start. Gangs are excluded, since a member may have waited for slower
// ones.
func (c *Core) learnFromEnd(s *step, t *task, now time.Time) {
	if !s.spec.Gang && t.run == 1 && !t.speedFrom.IsZero() && t.speedFromPercent == 0 {
		c.learnDuration(s, t, now.Sub(t.speedFrom))
	}
}

// recordProgress applies the progress that a worker reports for a run.
func (c *Core) recordProgress(s *step, t *task, percent int, now time.Time) {
	if t.speedFrom.IsZero() {
		t.speedFrom, t.speedFromPercent = now, percent
	}
	if percent != t.percent || t.progressedAt.IsZero() {
		t.percent, t.progressedAt = percent, now
	}
	if percent < 100 {
		c.learnDuration(s, t, t.projectedDuration())
	}
}

// projectedDuration returns the duration of the current run, projected from its speed; 0
// if the speed is not known yet.
func (t *task) projectedDuration() time.Duration {
	done := t.percent - t.speedFromPercent
	if done < minProgress || !t.progressedAt.After(t.speedFrom) {
		return 0
	}
	return t.progressedAt.Sub(t.speedFrom) * 100 / time.Duration(done)
}

// expectedEnd estimates when a run ends, from its speed or else from the durations known
// for the step and its queue. Members of a gang end together.
func (c *Core) expectedEnd(s *step, t *task, now time.Time) time.Time {
	if s.spec.Service {
		return now.Add(2 * reservationHorizon)
	}
	if !s.spec.Gang {
		return c.expectedOwnEnd(s, t, now)
	}
	if !s.gangEndAsOf.Equal(now) {
		s.gangEndAsOf, s.gangEnd = now, now
		for i := range s.tasks {
			if m := &s.tasks[i]; m.state.mayRun() {
				if end := c.expectedOwnEnd(s, m, now); end.After(s.gangEnd) {
					s.gangEnd = end
				}
			}
		}
	}
	return s.gangEnd
}

// expectedOwnEnd estimates when a run has done its own work, without waiting for others.
func (c *Core) expectedOwnEnd(s *step, t *task, now time.Time) time.Time {
	expected := c.expectedDurationOn(s, c.workers[t.worker])
	if t.state != taskRunning || t.progressedAt.IsZero() {
		return now.Add(max(overrunAllowance, expected))
	}
	end := t.progressedAt.Add(expected * time.Duration(100-t.percent) / 100)
	if duration := t.projectedDuration(); duration > 0 {
		end = t.progressedAt.Add(duration * time.Duration(100-t.percent) / 100)
	} else if !end.After(now) {
		end = now.Add(time.Duration(overdueRemaining * float64(expected)))
	}
	if least := now.Add(overrunAllowance); end.Before(least) {
		return least
	}
	return end
}

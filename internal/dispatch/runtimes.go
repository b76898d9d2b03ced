package dispatch

import (
	"math"
	"time"

	"cuminloft/internal/workload"
)

// Learning how long tasks take. Load pattern: declared estimates that are off by a
// factor of two and more, so that rooms are kept for the wrong times and jobs that are
// on time rank behind as late.
const (
	// progressLeast is the progress in percent from which a run's pace tells its length.
	progressLeast = 8
	// learnDecay is the weight of what is known of a queue after one more step.
	learnDecay = 0.99
	// learnDoubt is the number of steps from which the queue's past counts as much as
	// the declared estimate.
	learnDoubt = 4
	// unknownLeft is the share of its estimate that a run which is past it is taken to
	// need still, if its pace is not known.
	unknownLeft = 0.2
)

// runTimes relates how long the steps of a queue take to what they declare: a linear
// regression between the logarithms, over decayed sums.
type runTimes struct{ n, x, y, xx, xy float64 }

// add takes in a step that declared an estimate and took a time.
func (l *runTimes) add(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	for _, sum := range [...]*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy} {
		*sum *= learnDecay
	}
	l.n++
	l.x, l.y, l.xx, l.xy = l.x+x, l.y+y, l.xx+x*x, l.xy+x*y
}

// predict returns how long a step with that estimate is likely to take.
func (l *runTimes) predict(estimate time.Duration) time.Duration {
	if l.n < 1 || estimate <= 0 {
		return estimate
	}
	x := math.Log(estimate.Seconds())
	meanX, meanY := l.x/l.n, l.y/l.n
	slope := 0.0
	if spread := l.xx/l.n - meanX*meanX; spread > 0 {
		slope = min(1, max(0, (l.xy/l.n-meanX*meanY)/spread))
	}
	trust := l.n / (l.n + learnDoubt)
	y := trust*(meanY+slope*(x-meanX)) + (1-trust)*x
	return time.Duration(math.Exp(y) * float64(time.Second))
}

// measured is what the runs of a step have shown of its tasks' length.
type measured struct {
	n    int
	logs float64
}

// length returns the mean length, 0 if nothing is known.
func (m measured) length() time.Duration {
	if m.n == 0 {
		return 0
	}
	return time.Duration(math.Exp(m.logs/float64(m.n)) * float64(time.Second))
}

// expected returns how long a task of the step is likely to take.
func (c *Core) expected(s *step) time.Duration {
	if known := s.measured.length(); known > 0 {
		return known
	}
	return c.predict(s.job.spec.Queue, s.spec)
}

// predict returns how long a step of a queue is likely to take that has not run yet.
func (c *Core) predict(queue string, spec *workload.Step) time.Duration {
	if l := c.runTimes[queue]; l != nil {
		return l.predict(spec.Estimate)
	}
	return spec.Estimate
}

// learn takes in the length of one of the step's tasks; each task counts once.
func (c *Core) learn(s *step, t *task, length time.Duration) {
	if t.measured || length <= 0 || s.spec.Service || s.spec.BestEffort {
		return
	}
	t.measured = true
	s.measured.n++
	s.measured.logs += math.Log(length.Seconds())
	if s.measured.n > 1 {
		return // steps of many tasks count no more than others
	}
	l := c.runTimes[s.job.spec.Queue]
	if l == nil {
		l = &runTimes{}
		c.runTimes[s.job.spec.Queue] = l
	}
	l.add(s.spec.Estimate, length)
}

// learnEnd takes in the length of a run that ended with success, if it was seen from
// its begin. A member of a gang may have waited for slower ones.
func (c *Core) learnEnd(s *step, t *task, now time.Time) {
	if !s.spec.Gang && t.run == 1 && !t.paceFrom.IsZero() && t.pacePercent == 0 {
		c.learn(s, t, now.Sub(t.paceFrom))
	}
}

// notePace takes in a report of a run's progress.
func (c *Core) notePace(s *step, t *task, percent int, now time.Time) {
	if t.paceFrom.IsZero() {
		t.paceFrom, t.pacePercent = now, percent
	}
	if percent != t.percent || t.progressed.IsZero() {
		t.percent, t.progressed = percent, now
	}
	if percent < 100 {
		c.learn(s, t, t.length())
	}
}

// length returns how long the present run takes in all, by its pace; 0 if that is not
// known yet.
func (t *task) length() time.Duration {
	done := t.percent - t.pacePercent
	if done < progressLeast || !t.progressed.After(t.paceFrom) {
		return 0
	}
	return t.progressed.Sub(t.paceFrom) * 100 / time.Duration(done)
}

// expectedEnd judges when a run ends: by its pace, else by what is known of the step
// and its queue. Members of a gang end together.
func (c *Core) expectedEnd(s *step, t *task, now time.Time) time.Time {
	if s.spec.Service {
		return now.Add(2 * holdHorizon)
	}
	if !s.spec.Gang {
		return c.expectedOwnEnd(s, t, now)
	}
	if !s.endsAsOf.Equal(now) {
		s.endsAsOf, s.ends = now, now
		for i := range s.tasks {
			if m := &s.tasks[i]; m.state.occupies() {
				if end := c.expectedOwnEnd(s, m, now); end.After(s.ends) {
					s.ends = end
				}
			}
		}
	}
	return s.ends
}

// expectedOwnEnd judges when a run is done with its own work.
func (c *Core) expectedOwnEnd(s *step, t *task, now time.Time) time.Time {
	expected := c.expected(s)
	if t.state != taskRunning || t.progressed.IsZero() {
		return now.Add(max(overrun, expected))
	}
	end := t.progressed.Add(expected * time.Duration(100-t.percent) / 100)
	if length := t.length(); length > 0 {
		end = t.progressed.Add(length * time.Duration(100-t.percent) / 100)
	} else if !end.After(now) {
		end = now.Add(time.Duration(unknownLeft * float64(expected)))
	}
	if least := now.Add(overrun); end.Before(least) {
		return least
	}
	return end
}

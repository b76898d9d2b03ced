package sched

import (
	"time"
)

// Bounds that limit the effect of a single wrong measurement.
const (
	maxKinds       = 10_000
	maxGrowth      = 8  // maximum ratio of learned to declared size
	estimateWindow = 16 // number of samples that the moving averages cover
)

// kindKey identifies jobs that are expected to behave alike.
type kindKey struct{ team, kind string }

// estimate holds the usage and run time measured for jobs of one kind.
type estimate struct {
	mean           vec           // moving mean of the measured sizes
	spread         vec           // moving mean of the distance from mean
	runTime        time.Duration // moving mean
	runSpread      time.Duration
	runTimeSamples int // number of tasks included in runTime
	sizeSamples    int
	lastEnds       []kindEnd // last end on each of the most recent workers
}

// estimates holds one estimate per team and kind.
type estimates struct{ byKind map[kindKey]*estimate }

func newEstimates() estimates {
	return estimates{byKind: make(map[kindKey]*estimate)}
}

// forJob returns the estimate of j's kind, or nil if maxKinds is reached.
func (e *estimates) forJob(j *job) *estimate {
	key := kindKey{j.spec.Team, j.spec.Kind}
	est := e.byKind[key]
	if est == nil && len(e.byKind) < maxKinds {
		est = &estimate{}
		e.byKind[key] = est
	}
	return est
}

// learnedSize returns the size used to schedule one task of j: the larger of the
// declared and the measured size, but no more than fits a worker and the team's limit.
// Measurements of the job itself take precedence over those of its kind.
func (c *Core) learnedSize(j *job) vec {
	size := j.declaredSize
	learned := j.peakUsage
	if learned == (vec{}) {
		learned = j.estimate.likelySize()
	}
	for i := range dimConnections {
		if i == dimSlots || learned[i] <= size[i] {
			continue
		}
		bound := min(j.team.limit[i], size[i]*maxGrowth)
		if len(c.indexedWorkers) > 0 {
			bound = min(bound, c.largest[i])
		}
		size[i] = max(size[i], min(learned[i], bound))
	}
	if len(c.indexedWorkers) > 0 && !c.fitsSomeWorker(&size) {
		return j.declaredSize
	}
	return size
}

// updateSize applies the latest estimate to the size of j's pending tasks. Capacity
// that is already reserved keeps its size.
func (c *Core) updateSize(j *job) {
	if j.estimate == nil || j.estSamples == j.estimate.sizeSamples || j.reservation != nil {
		return
	}
	j.estSamples = j.estimate.sizeSamples
	size := c.learnedSize(j)
	if size == j.size {
		return
	}
	j.team.pendingSize.addScaled(&j.size, -int64(j.ready))
	j.size = size
	j.team.pendingSize.addScaled(&j.size, int64(j.ready))
}

// usageReported raises the size of an attempt to the measured usage and updates the
// estimate of its kind.
func (c *Core) usageReported(ev UsageReported) {
	a := c.findAttempt(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	measured := newVec(ev.Usage, 0)
	a.job.peakUsage.raiseTo(&measured)
	if est := a.job.estimate; est != nil {
		est.observeSize(&measured)
	}
	grown := a.size
	grown.raiseTo(&measured)
	if grown == a.size {
		return
	}
	delta := grown
	delta.sub(&a.size)
	a.size = grown
	a.worker.used.add(&delta)
	c.chargeTeam(a.job.team, &delta, 1)
	c.direct.attemptGrew(a, &delta)
	c.updateIndex(a.worker)
	c.relieveOvercommitted(a.worker)
}

// observeSize moves the mean and the spread towards a measurement. The first
// measurements have a larger weight.
func (e *estimate) observeSize(measured *vec) {
	e.sizeSamples++
	inertia := int64(min(e.sizeSamples, estimateWindow))
	for i := range e.mean {
		off := measured[i] - e.mean[i]
		e.mean[i] += off / inertia
		if e.sizeSamples > 1 {
			e.spread[i] += (max(off, -off) - e.spread[i]) / inertia
		}
	}
}

// likelySize returns a size that most tasks of the kind do not exceed.
func (e *estimate) likelySize() vec {
	size := e.mean
	size.add(&e.spread)
	return size
}

// observeRunTime moves the mean run time and its spread towards a measurement.
func (e *estimate) observeRunTime(ran time.Duration) {
	e.runTimeSamples++
	inertia := time.Duration(min(e.runTimeSamples, estimateWindow))
	off := ran - e.runTime
	e.runTime += off / inertia
	if e.runTimeSamples > 1 {
		e.runSpread += (max(off, -off) - e.runSpread) / inertia
	}
}

// expectedRunTime returns a time within which a task of j is expected to finish: the
// longest run time seen in its job, or else the likely one of its kind.
func (j *job) expectedRunTime() (time.Duration, bool) {
	if j.longestRunTime > 0 {
		return j.longestRunTime, true
	}
	if j.estimate == nil {
		return 0, false
	}
	return j.estimate.likelyRunTime()
}

// likelyRunTime returns a time within which most tasks of the kind finish; false if
// none has finished yet. Declared run times are not used, because they are not
// reliable.
func (e *estimate) likelyRunTime() (time.Duration, bool) {
	return e.runTime + e.runSpread, e.runTimeSamples > 0
}

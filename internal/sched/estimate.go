package sched

import (
	"time"
)

// Bounds on what is learned, against one wrong measurement.
const (
	maxKinds        = 10_000
	maxGrowth       = 8  // learned sizes are at most this many times the declared
	estimateInertia = 16 // samples until an estimate has mostly moved
)

// kindKey groups jobs that are expected to behave alike.
type kindKey struct{ team, kind string }

// estimate is what was measured of a kind.
type estimate struct {
	mean      vec           // of the measured sizes, moving
	spread    vec           // mean distance from mean, moving
	runTime   time.Duration // mean, moving
	runSpread time.Duration
	ended     int // tasks that runTime respects
	samples   int
	ends      []kindEnd // the last end on each of the last workers
}

// estimates holds what was learned per team and kind.
type estimates struct{ byKind map[kindKey]*estimate }

func newEstimates() estimates {
	return estimates{byKind: make(map[kindKey]*estimate)}
}

// of returns the estimate of j's kind; nil if there are too many kinds.
func (e *estimates) of(j *job) *estimate {
	key := kindKey{j.spec.Team, j.spec.Kind}
	est := e.byKind[key]
	if est == nil && len(e.byKind) < maxKinds {
		est = &estimate{}
		e.byKind[key] = est
	}
	return est
}

// learnedSize returns what one task of j counts as: what was declared or what
// was measured, whichever is the larger, but no more than still fits a worker
// and the team's limit. The job's own measurements go before those of its kind.
func (c *Core) learnedSize(j *job) vec {
	size := j.asked
	learned := j.measured
	if learned == (vec{}) {
		learned = j.est.likely()
	}
	for i := range dimConnections {
		if i == dimSlots || learned[i] <= size[i] {
			continue
		}
		bound := min(j.team.limit[i], size[i]*maxGrowth)
		if len(c.byPos) > 0 {
			bound = min(bound, c.largest[i])
		}
		size[i] = max(size[i], min(learned[i], bound))
	}
	if len(c.byPos) > 0 && !c.fitsSomeWorker(&size) {
		return j.asked
	}
	return size
}

// resize brings the size of j's tasks that wait up to date with what was
// learned since. Room that is reserved already keeps its size.
func (c *Core) resize(j *job) {
	if j.est == nil || j.estSamples == j.est.samples || j.reserved != nil {
		return
	}
	j.estSamples = j.est.samples
	size := c.learnedSize(j)
	if size == j.size {
		return
	}
	j.team.waiting.addScaled(&j.size, -int64(j.ready))
	j.size = size
	j.team.waiting.addScaled(&j.size, int64(j.ready))
}

// usageReported raises the size of an attempt to what was measured and learns.
func (c *Core) usageReported(ev UsageReported) {
	a := c.find(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	measured := newVec(ev.Usage, 0)
	a.job.measured.raiseTo(&measured)
	if est := a.job.est; est != nil {
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
	c.charge(a.job.team, &delta, 1)
	c.direct.grown(a, &delta)
	c.refresh(a.worker)
	c.relieve(a.worker)
}

// observeSize moves the mean and the spread towards a measurement. The first
// ones count for more.
func (e *estimate) observeSize(measured *vec) {
	e.samples++
	inertia := int64(min(e.samples, estimateInertia))
	for i := range e.mean {
		off := measured[i] - e.mean[i]
		e.mean[i] += off / inertia
		if e.samples > 1 {
			e.spread[i] += (max(off, -off) - e.spread[i]) / inertia
		}
	}
}

// likely returns a size that most tasks of the kind stay below.
func (e *estimate) likely() vec {
	size := e.mean
	size.add(&e.spread)
	return size
}

// observeRunTime moves the mean run time and its spread towards a measurement.
func (e *estimate) observeRunTime(ran time.Duration) {
	e.ended++
	inertia := time.Duration(min(e.ended, estimateInertia))
	off := ran - e.runTime
	e.runTime += off / inertia
	if e.ended > 1 {
		e.runSpread += (max(off, -off) - e.runSpread) / inertia
	}
}

// expectedRunTime returns a time within which a task of j is expected to be
// over: the longest of its job, or else what is likely for its kind.
func (j *job) expectedRunTime() (time.Duration, bool) {
	if j.longest > 0 {
		return j.longest, true
	}
	if j.est == nil {
		return 0, false
	}
	return j.est.likelyRunTime()
}

// likelyRunTime returns a time within which most tasks of the kind are over;
// false if none was seen to its end. Declared run times are not trusted.
func (e *estimate) likelyRunTime() (time.Duration, bool) {
	return e.runTime + e.runSpread, e.ended > 0
}

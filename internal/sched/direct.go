package sched

import (
	"math"
	"time"

	"cuminloft/internal/model"
)

const (
	// headroomDecayInterval is the interval at which the peak demand of direct
	// requests shrinks.
	headroomDecayInterval = 10 * time.Second
	// headroomDivisor bounds the headroom to 1/headroomDivisor of the capacity.
	headroomDivisor = 5
	// headroomMarginDivisor sets the margin above the peak demand to
	// 1/headroomMarginDivisor of the peak.
	headroomMarginDivisor = 4
	// drainTimeConstant is the time constant of the measured drain rate.
	drainTimeConstant = 5 * time.Second
	// minQueueForDrainRate is the queue length below which the drain rate is not used
	// to refuse requests.
	minQueueForDrainRate = 16
	// Bounds of the retry delay returned to a refused caller.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// directStats holds the demand and drain statistics for direct requests.
type directStats struct {
	used         vec // by direct requests
	peakDemand   vec // of the demand, decaying
	decayedUntil time.Time

	recentEnds     float64 // number of attempts that ended, decaying with drainTimeConstant
	recentEndsAt   time.Time
	retryScheduled bool
}

func (d *directStats) attemptStarted(c *Core, a *attempt) {
	if a.job.spec.Policy != model.PolicyDirect {
		return
	}
	d.used.add(&a.size)
	a.job.team.runningDirect++
	d.observeDemand(c.now, &vec{})
}

// observeDemand raises the peak to the current demand: the capacity that direct
// requests use and the capacity that pending ones need.
func (d *directStats) observeDemand(now time.Time, waiting *vec) {
	d.decayPeak(now)
	want := d.used
	want.add(waiting)
	d.peakDemand.raiseTo(&want)
}

func (d *directStats) attemptEnded(c *Core, a *attempt) {
	d.recentEnds = d.recentEndsBy(c.now) + 1
	d.recentEndsAt = c.now
	if a.job.spec.Policy == model.PolicyDirect {
		d.used.sub(&a.size)
		a.job.team.runningDirect--
	}
}

// attemptGrew adds the usage by which a running request exceeds its size.
func (d *directStats) attemptGrew(a *attempt, delta *vec) {
	if a.job.spec.Policy == model.PolicyDirect {
		d.used.add(delta)
		d.peakDemand.raiseTo(&d.used)
	}
}

func (d *directStats) recentEndsBy(now time.Time) float64 {
	return d.recentEnds * math.Exp(-now.Sub(d.recentEndsAt).Seconds()/drainTimeConstant.Seconds())
}

// decayPeak shrinks the peak demand by an eighth for each headroomDecayInterval.
func (d *directStats) decayPeak(now time.Time) {
	for now.Sub(d.decayedUntil) >= headroomDecayInterval {
		if d.peakDemand == d.used || now.Sub(d.decayedUntil) > 100*headroomDecayInterval {
			d.peakDemand, d.decayedUntil = d.used, now
			return
		}
		d.decayedUntil = d.decayedUntil.Add(headroomDecayInterval)
		for i := range d.peakDemand {
			d.peakDemand[i] = max(d.used[i], d.peakDemand[i]-d.peakDemand[i]/8-1)
		}
	}
}

// observeDirectDemand records the demand of the requests that could not be started.
func (c *Core) observeDirectDemand() {
	if len(c.activeTeams[tierUrgent]) == 0 && len(c.activeTeams[tierDirect]) == 0 {
		return
	}
	waiting := vec{}
	for _, k := range [...]tier{tierUrgent, tierDirect} {
		for _, t := range c.activeTeams[k] {
			waiting.addScaled(&t.smallest[k], int64(t.pending[k]))
		}
	}
	c.direct.observeDemand(c.now, &waiting)
}

// leavesHeadroom reports whether the shard keeps the headroom for the observed peak
// demand of direct requests after one more task of this size has started.
func (c *Core) leavesHeadroom(size *vec) bool {
	for i := range size {
		peak := c.direct.peakDemand[i] + c.direct.peakDemand[i]/headroomMarginDivisor
		want := min(peak, c.capacity[i]/headroomDivisor) - c.direct.used[i]
		if want > 0 && c.free[i]-size[i] < want {
			return false
		}
	}
	return true
}

// headroomBlocks reports whether a task of this size would take headroom of direct
// requests. If so, it schedules a retry.
func (c *Core) headroomBlocks(size *vec) bool {
	if c.leavesHeadroom(size) {
		return false
	}
	c.scheduleHeadroomRetry()
	return true
}

// scheduleHeadroomRetry schedules a full pass for when the headroom has shrunk.
func (c *Core) scheduleHeadroomRetry() {
	if !c.direct.retryScheduled {
		c.direct.retryScheduled = true
		c.timers.schedule(c.now.Add(headroomDecayInterval), timerPass, nil, nil, nil)
	}
}

// checkStartDeadline refuses a direct request immediately if the requests queued
// before it cannot be started in time at the rate at which attempts end.
func (c *Core) checkStartDeadline(spec *model.Job, size *vec, l lane) (RefusalCode, string, time.Duration) {
	if spec.MaxWait <= 0 || c.capacityIndex.nextFit(size, 0) >= 0 {
		return "", "", 0
	}
	ahead := 0
	for _, t := range c.activeTeams[tierUrgent] {
		ahead += t.pending[laneUrgent]
	}
	if l == laneDirect {
		for _, t := range c.activeTeams[tierDirect] {
			ahead += t.pending[laneDirect]
		}
	}
	if ahead < minQueueForDrainRate {
		return "", "", 0
	}
	rate := c.direct.recentEndsBy(c.now) / drainTimeConstant.Seconds()
	wait := time.Duration(float64(ahead) / max(rate, 0.001) * float64(time.Second))
	if wait <= spec.MaxWait {
		return "", "", 0
	}
	retry := min(max(wait-spec.MaxWait, minRetryAfter), maxRetryAfter)
	return RefusedDeadline, "what waits before it cannot be started in time", retry
}

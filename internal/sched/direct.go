package sched

import (
	"math"
	"time"

	"cuminloft/internal/model"
)

const (
	// headroomDecay is how often the remembered peak of direct work shrinks.
	headroomDecay = 10 * time.Second
	// headroomPart is the part of the capacity that may be kept free, as a divisor.
	headroomPart = 5
	// headroomMargin is the part of the peak that is added to it, as a divisor.
	headroomMargin = 4
	// drainTime is the time constant of the measured drain rate.
	drainTime = 5 * time.Second
	// minQueue is the queue length below which no drain rate is trusted.
	minQueue = 16
	// Bounds on when a refused caller may come back.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// direct keeps what the policy of direct requests needs to know.
type direct struct {
	used  vec // by direct requests
	peak  vec // of used, decaying
	since time.Time

	freed     float64 // ends of attempts, decaying with drainTime
	freedAt   time.Time
	wakeArmed bool
}

func (d *direct) started(c *Core, a *attempt) {
	if a.job.spec.Policy != model.PolicyDirect {
		return
	}
	d.used.add(&a.size)
	a.job.team.requests++
	d.wanted(c.now, &vec{})
}

// wanted notes how much room direct requests need now: what they use and what
// those that wait ask for.
func (d *direct) wanted(now time.Time, waiting *vec) {
	d.decay(now)
	want := d.used
	want.add(waiting)
	d.peak.raiseTo(&want)
}

func (d *direct) ended(c *Core, a *attempt) {
	d.freed = d.freedBy(c.now) + 1
	d.freedAt = c.now
	if a.job.spec.Policy == model.PolicyDirect {
		d.used.sub(&a.size)
		a.job.team.requests--
	}
}

// grown counts room that a running request was measured to use beyond its size.
func (d *direct) grown(a *attempt, delta *vec) {
	if a.job.spec.Policy == model.PolicyDirect {
		d.used.add(delta)
		d.peak.raiseTo(&d.used)
	}
}

func (d *direct) freedBy(now time.Time) float64 {
	return d.freed * math.Exp(-now.Sub(d.freedAt).Seconds()/drainTime.Seconds())
}

// decay shrinks the remembered peak by an eighth for each headroomDecay.
func (d *direct) decay(now time.Time) {
	for now.Sub(d.since) >= headroomDecay {
		if d.peak == d.used || now.Sub(d.since) > 100*headroomDecay {
			d.peak, d.since = d.used, now
			return
		}
		d.since = d.since.Add(headroomDecay)
		for i := range d.peak {
			d.peak[i] = max(d.used[i], d.peak[i]-d.peak[i]/8-1)
		}
	}
}

// noteDirectNeed remembers what the requests that could not be started need.
func (c *Core) noteDirectNeed() {
	if len(c.active[tierUrgent]) == 0 && len(c.active[tierDirect]) == 0 {
		return
	}
	waiting := vec{}
	for _, k := range [...]tier{tierUrgent, tierDirect} {
		for _, t := range c.active[k] {
			waiting.addScaled(&t.smallest[k], int64(t.pending[k]))
		}
	}
	c.direct.wanted(c.now, &waiting)
}

// leavesHeadroom reports whether the shard keeps, after one more task of size
// is started, the room that direct requests were seen to need.
func (c *Core) leavesHeadroom(size *vec) bool {
	for i := range size {
		peak := c.direct.peak[i] + c.direct.peak[i]/headroomMargin
		want := min(peak, c.capacity[i]/headroomPart) - c.direct.used[i]
		if want > 0 && c.free[i]-size[i] < want {
			return false
		}
	}
	return true
}

// headroomBlocks reports whether size would take room that is kept for direct
// requests, and has the work tried again later.
func (c *Core) headroomBlocks(size *vec) bool {
	if c.leavesHeadroom(size) {
		return false
	}
	c.wakeForHeadroom()
	return true
}

// wakeForHeadroom has blocked work tried again when the headroom has shrunk.
func (c *Core) wakeForHeadroom() {
	if !c.direct.wakeArmed {
		c.direct.wakeArmed = true
		c.timers.push(c.now.Add(headroomDecay), timerPass, nil, nil, nil)
	}
}

// lateRefusal refuses a direct request at once if what waits before it cannot
// be started in time at the rate at which room became free.
func (c *Core) lateRefusal(spec *model.Job, size *vec, l lane) (RefusalCode, string, time.Duration) {
	if spec.MaxWait <= 0 || c.index.next(size, 0) >= 0 {
		return "", "", 0
	}
	ahead := 0
	for _, t := range c.active[tierUrgent] {
		ahead += t.pending[laneUrgent]
	}
	if l == laneDirect {
		for _, t := range c.active[tierDirect] {
			ahead += t.pending[laneDirect]
		}
	}
	if ahead < minQueue {
		return "", "", 0
	}
	rate := c.direct.freedBy(c.now) / drainTime.Seconds()
	wait := time.Duration(float64(ahead) / max(rate, 0.001) * float64(time.Second))
	if wait <= spec.MaxWait {
		return "", "", 0
	}
	retry := min(max(wait-spec.MaxWait, minRetryAfter), maxRetryAfter)
	return RefusedDeadline, "what waits before it cannot be started in time", retry
}

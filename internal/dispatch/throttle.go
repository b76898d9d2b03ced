package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// Throttling of best-effort tasks. They slow down the services on the same worker by
// amounts that change within seconds, so their speed follows the tail latency of these
// services: it is halved at once when the latency approaches the target, and raised
// slowly while the latency is well below the target.
const (
	fullSpeed        = 100 // percent
	speedStep        = 20  // percentage points by which the speed is raised
	minSpeed         = 10  // percent; below it the tasks pause
	slowDownAbove    = 0.9 // share of the latency target
	speedUpBelow     = 0.6 // share of the latency target
	speedUpInterval  = time.Second
	slowDownInterval = 400 * time.Millisecond // time until the effect of an earlier change is measurable
)

// ThrottleOrder is a decision to limit a run to a percentage of its full speed.
type ThrottleOrder struct {
	Worker  workload.Worker
	Run     workload.Run
	Percent int
}

// throttle is the speed of the best-effort tasks on a worker.
type throttle struct {
	percent   int // valid if set; otherwise the speed is fullSpeed
	set       bool
	changedAt time.Time
}

func (t *throttle) speed() int {
	if !t.set {
		return fullSpeed
	}
	return t.percent
}

// next returns the speed for the largest ratio of a service's tail latency to its target,
// and whether it differs from the current speed.
func (t *throttle) next(worstRatio float64, now time.Time) (int, bool) {
	speed, since := t.speed(), now.Sub(t.changedAt)
	switch {
	case worstRatio > slowDownAbove && speed > 0 && since >= slowDownInterval:
		if speed /= 2; speed < minSpeed {
			speed = 0
		}
	case worstRatio < speedUpBelow && speed < fullSpeed && since >= speedUpInterval:
		speed = min(fullSpeed, speed+speedStep)
	default:
		return speed, false
	}
	return speed, true
}

// throttleBestEffort sets the speed of a worker's best-effort tasks by the latency of its
// services.
func (c *Core) throttleBestEffort(w *worker, now time.Time) {
	worstRatio := 0.0
	var bestEffort []workload.TaskID
	for id := range w.tasks {
		s, t := c.findTask(id)
		switch {
		case t == nil || t.state != taskRunning:
		case s.spec.BestEffort:
			bestEffort = append(bestEffort, id)
		case s.spec.TailTarget > 0:
			worstRatio = max(worstRatio, t.load/float64(s.spec.TailTarget.Milliseconds()))
		}
	}
	if !w.throttle.set && worstRatio > 0 {
		w.throttle = c.inheritedThrottle(bestEffort, now)
	}
	if speed, changed := w.throttle.next(worstRatio, now); changed {
		w.throttle = throttle{percent: speed, set: true, changedAt: now}
		c.emit("filling tasks paced", "worker", w.info.ID, "percent", speed, "tail over target", worstRatio, "tasks", len(bestEffort))
	}
	for _, id := range bestEffort {
		if _, t := c.findTask(id); t.throttlePercent != w.throttle.speed() {
			t.throttlePercent = w.throttle.speed()
			c.throttleOrders = append(c.throttleOrders, ThrottleOrder{w.info, workload.Run{Task: id, Number: t.run}, t.throttlePercent})
		}
	}
}

// inheritedThrottle returns the speed of a worker's best-effort tasks as an earlier term has
// left it; it is not set if this term has set their speed, or has started them all. Workers
// do not list the speed but the cores in use, which are at most that share of the request.
func (c *Core) inheritedThrottle(bestEffort []workload.TaskID, now time.Time) throttle {
	var inherited throttle
	for _, id := range bestEffort {
		s, t := c.findTask(id)
		if t.startSentAt.IsZero() && t.throttlePercent == 0 && s.spec.Resources.MilliCores > 0 {
			share := int(fullSpeed * t.load / float64(s.spec.Resources.MilliCores))
			inherited = throttle{percent: min(fullSpeed, max(inherited.percent, share)), set: true, changedAt: now}
		}
	}
	return inherited
}

// TakeThrottleOrders returns the throttle orders decided since the previous call.
func (c *Core) TakeThrottleOrders() []ThrottleOrder {
	out := c.throttleOrders
	c.throttleOrders = nil
	return out
}

// HandleThrottleError handles a failed throttle order. It is repeated after the worker's
// next inventory.
func (c *Core) HandleThrottleError(o ThrottleOrder) {
	if _, t := c.findTask(o.Run.Task); t != nil && t.run == o.Run.Number {
		t.throttlePercent = -1
	}
}

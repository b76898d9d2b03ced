package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// Pacing of tasks that fill idle cores. They slow down the services beside them
// by amounts that change within seconds, so their share follows the tail latency
// of these services: halved at once when it nears the target, raised slowly
// while it is well below.
const (
	paceFull      = 100 // percent
	paceStep      = 20  // percent by which the share is raised
	paceLeast     = 10  // percent below which the tasks pause
	paceDownAbove = 0.9 // of the target
	paceUpBelow   = 0.6 // of the target
	paceUpPause   = time.Second
	paceDownPause = 400 * time.Millisecond // until an earlier change shows
)

// ThrottleOrder is a decision to let a run work at a share of its speed.
type ThrottleOrder struct {
	Worker  workload.Worker
	Run     workload.Run
	Percent int
}

// pacing is the share that filling tasks on a worker work at.
type pacing struct {
	percent int // paceFull if unset is false
	set     bool
	changed time.Time
}

func (p *pacing) share() int {
	if !p.set {
		return paceFull
	}
	return p.percent
}

// next returns the share for the worst ratio of a service's tail latency to its
// target, and whether it differs from the present one.
func (p *pacing) next(worst float64, now time.Time) (int, bool) {
	share, since := p.share(), now.Sub(p.changed)
	switch {
	case worst > paceDownAbove && share > 0 && since >= paceDownPause:
		if share /= 2; share < paceLeast {
			share = 0
		}
	case worst < paceUpBelow && share < paceFull && since >= paceUpPause:
		share = min(paceFull, share+paceStep)
	default:
		return share, false
	}
	return share, true
}

// pace adjusts the filling tasks of a worker to its services' latency.
func (c *Core) pace(w *worker, now time.Time) {
	worst := 0.0
	var fills []workload.TaskID
	for id := range w.tasks {
		s, t := c.find(id)
		switch {
		case t == nil || t.state != taskRunning:
		case s.spec.BestEffort:
			fills = append(fills, id)
		case s.spec.TailTarget > 0:
			worst = max(worst, t.load/float64(s.spec.TailTarget.Milliseconds()))
		}
	}
	if share, changed := w.pacing.next(worst, now); changed {
		w.pacing = pacing{percent: share, set: true, changed: now}
		c.emit("filling tasks paced", "worker", w.info.ID, "percent", share, "tail over target", worst, "tasks", len(fills))
	}
	for _, id := range fills {
		if _, t := c.find(id); t.paced != w.pacing.share() {
			t.paced = w.pacing.share()
			c.paces = append(c.paces, ThrottleOrder{w.info, workload.Run{Task: id, Number: t.run}, t.paced})
		}
	}
}

// TakeThrottleOrders returns the pace orders decided since the last call.
func (c *Core) TakeThrottleOrders() []ThrottleOrder {
	out := c.paces
	c.paces = nil
	return out
}

// HandleThrottleError takes note that an order was not carried out; the next report of
// the worker repeats it.
func (c *Core) HandleThrottleError(o ThrottleOrder) {
	if _, t := c.find(o.Run.Task); t != nil && t.run == o.Run.Number {
		t.paced = -1
	}
}

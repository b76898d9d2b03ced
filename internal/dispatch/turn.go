package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Which steps are near enough to their turn to ask for advice. Load pattern: a backlog
// of hundreds of steps; tickets hold two seconds, and those of steps far behind expire
// before there is room for them, while the hosts that ask are needed by the first.
const (
	// turnHorizon is how far ahead room is taken into account that comes free: about
	// as long as a ticket holds.
	turnHorizon = 2 * time.Second
	// turnRoom times the cores that are free or come free by then may be wanted by
	// steps that ask: not all of these fit where there is room.
	turnRoom = 1.5
	// turnKept is how long the room that comes free is reckoned with as it was.
	turnKept = 100 * time.Millisecond
	// turnCheap is the longest call that is made for any step, wherever it stands: the
	// small tasks of such queues fill gaps, and the hosts hardly feel it.
	turnCheap = 50 * time.Millisecond
)

// outlook is what is likely to be free within turnHorizon.
type outlook struct {
	asOf  time.Time
	free  map[*worker]model.Resources
	pools map[string]float64 // millicores of each pool
}

// lookAhead returns the outlook for the open workers.
func (c *Core) lookAhead(now time.Time) *outlook {
	if c.round == nil {
		return &outlook{}
	}
	if c.ahead != nil && now.Sub(c.ahead.asOf) < turnKept {
		return c.ahead
	}
	o := &outlook{asOf: now, free: map[*worker]model.Resources{}, pools: map[string]float64{}}
	for name, p := range c.round.pools {
		for _, w := range p.workers {
			free := w.free()
			for id := range w.tasks {
				if s, t := c.find(id); t != nil && c.expectedEnd(s, t, now).Sub(now) <= turnHorizon {
					free = free.Add(s.spec.RequiredCapacity())
				}
			}
			o.free[w] = free
			o.pools[name] += float64(free.MilliCores)
		}
	}
	c.ahead = o
	return o
}

// turn counts what steps want, best rank first.
type turn struct {
	*outlook
	core   *Core
	wanted map[string]float64 // by pool: millicores wanted by the steps so far
	teams  map[string]model.Resources
}

// newTurn returns a turn in which no step has been counted.
func (c *Core) newTurn(now time.Time) *turn {
	return &turn{c.lookAhead(now), c, map[string]float64{}, map[string]model.Resources{}}
}

// near counts a step and reports whether its turn is near: it may start within its
// team's limit, and the steps before it do not want more than comes free.
func (t *turn) near(s *step, q *workload.Queue) bool {
	team, size := s.job.spec.Team, s.spec.Resources
	n := min(s.pending, t.core.teamRoomBeside(s, t.teams[team]))
	if n <= 0 || s.spec.Gang && n < len(s.tasks) {
		return false
	}
	t.teams[team] = t.teams[team].Add(size.Scale(int64(n)))
	before := t.wanted[q.Pool]
	t.wanted[q.Pool] += float64(int64(n) * s.spec.RequiredCapacity().MilliCores)
	return before <= turnRoom*t.pools[q.Pool] || shortCalls(q)
}

// shortCalls reports whether calls for the queue's steps are so short that they need
// not be saved.
func shortCalls(q *workload.Queue) bool {
	return q.Advice != nil && q.Advice.Duration(adviceSample) <= turnCheap
}

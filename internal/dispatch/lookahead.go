package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Lookahead: which steps are close enough to starting to request advice. Load pattern: a
// backlog of hundreds of steps. Tickets are valid for two seconds. Those of steps far
// back in the order expire before capacity is free, and calls for them occupy the hosts
// that the first steps need.
const (
	// lookaheadHorizon is how far ahead releases of capacity are taken into account. It
	// is about the validity of a ticket.
	lookaheadHorizon = 2 * time.Second
	// lookaheadDemand times the cores that are free within the horizon may be requested
	// by steps with calls, since not all of these steps fit where capacity is free.
	lookaheadDemand = 1.5
	// lookaheadMaxAge is how long a lookahead is reused.
	lookaheadMaxAge = 100 * time.Millisecond
	// shortCallMax is the longest call that is made for a step at any position: the small
	// tasks of such queues fill gaps, and the calls cost the hosts little time.
	shortCallMax = 50 * time.Millisecond
)

// lookahead is the capacity expected to be free within lookaheadHorizon.
type lookahead struct {
	asOf     time.Time
	free     map[*worker]model.Resources
	poolFree map[string]float64 // by pool, in thousandths of a core
}

// currentLookahead returns the lookahead for the schedulable workers.
func (c *Core) currentLookahead(now time.Time) *lookahead {
	if c.pass == nil {
		return &lookahead{}
	}
	if c.lookahead != nil && now.Sub(c.lookahead.asOf) < lookaheadMaxAge {
		return c.lookahead
	}
	ahead := &lookahead{asOf: now, free: map[*worker]model.Resources{}, poolFree: map[string]float64{}}
	for name, p := range c.pass.pools {
		for _, w := range p.workers {
			free := w.free()
			for id := range w.tasks {
				if s, t := c.findTask(id); t != nil && c.expectedEnd(s, t, now).Sub(now) <= lookaheadHorizon {
					free = free.Add(s.spec.RequiredCapacity())
				}
			}
			ahead.free[w] = free
			ahead.poolFree[name] += float64(free.MilliCores)
		}
	}
	c.lookahead = ahead
	return ahead
}

// demand adds up the capacity that steps request, best rank first.
type demand struct {
	*lookahead
	core      *Core
	requested map[string]float64 // by pool: thousandths of a core requested by the steps so far
	teams     map[string]model.Resources
}

// newDemand returns a demand without any step.
func (c *Core) newDemand(now time.Time) *demand {
	return &demand{c.currentLookahead(now), c, map[string]float64{}, map[string]model.Resources{}}
}

// nearFront adds a step to the demand and reports whether it is near the front of the
// order: its team's limit allows it to start, and the steps before it do not request more
// than lookaheadDemand times the capacity expected to be free. A step with short calls
// counts as near the front at any position.
func (d *demand) nearFront(s *step, q *workload.Queue) bool {
	team, size := s.job.spec.Team, s.spec.Resources
	n := min(s.pending, d.core.fitInTeamLimitBeside(s, d.teams[team]))
	if n <= 0 || s.spec.Gang && n < len(s.tasks) {
		return false
	}
	d.teams[team] = d.teams[team].Add(size.Scale(int64(n)))
	before := d.requested[q.Pool]
	d.requested[q.Pool] += float64(int64(n) * s.spec.RequiredCapacity().MilliCores)
	return before <= lookaheadDemand*d.poolFree[q.Pool] || hasShortCalls(q)
}

// hasShortCalls reports whether calls for the queue's steps are so short that they need
// not be rationed.
func hasShortCalls(q *workload.Queue) bool {
	return q.Advice != nil && q.Advice.Duration(typicalCallWorkers) <= shortCallMax
}

package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// WaitReason tells why tasks of a step that could start have no place.
type WaitReason string

// The reasons, in the order in which they are looked at.
const (
	WaitsForTeamLimit       WaitReason = "team's limit"
	WaitsForCapacity        WaitReason = "room"
	WaitsForGangReservation WaitReason = "room kept for a gang"
	WaitsForUrgentHeadroom  WaitReason = "room kept for better work"
	WaitsForAdvice          WaitReason = "advice"
	WaitsForPass            WaitReason = "next look for places"
)

// WaitReasons lists all reasons.
var WaitReasons = [...]WaitReason{
	WaitsForTeamLimit, WaitsForCapacity, WaitsForGangReservation, WaitsForUrgentHeadroom, WaitsForAdvice, WaitsForPass,
}

// Waiting sums up what waits.
type Waiting struct {
	Steps     int
	Tasks     map[WaitReason]int // of the steps looked at, best rank first
	OldestAge time.Duration      // since the acceptance of the oldest job with such a step
	// IdleMilliCores idle though tasks that wait fit there: they wait for advice, for
	// kept room, or for the next look. OpenMilliCores is what all open workers have.
	IdleMilliCores, OpenMilliCores int64
}

// explainMost bounds the steps that Explain looks at.
const explainMost = 60

// Explain tells why tasks wait, by the steps of the latest look for places. Load pattern:
// work waits while cores are idle, and nobody can tell for what.
func (c *Core) Explain(now time.Time) Waiting {
	out := Waiting{Tasks: map[WaitReason]int{}}
	if len(c.order) == 0 {
		return out
	}
	defer func(latest *round) { c.round = latest }(c.round)
	c.round = c.newRound(now)
	for _, r := range c.order {
		s := r.step
		if !s.startable() {
			continue
		}
		out.Steps++
		out.OldestAge = max(out.OldestAge, now.Sub(millisOf(s.job.spec.AcceptedAt)))
		if out.Steps <= explainMost {
			out.Tasks[c.waitReason(r)] += s.pending
		}
	}
	out.IdleMilliCores = c.idleBeside()
	for _, p := range c.round.pools {
		out.OpenMilliCores += p.capacity
	}
	return out
}

// idleBeside returns the thousandths of a core that the steps that wait could use,
// best rank first, if neither advice nor kept room stood in the way. A gang counts
// only with all its members, a step only within its team's limit.
func (c *Core) idleBeside() int64 {
	free := make(map[*worker]model.Resources)
	for _, p := range c.round.pools {
		for _, w := range p.workers {
			free[w] = w.free()
		}
	}
	var idle int64
	looked := 0
	for _, r := range c.order {
		s := r.step
		p := c.round.pools[c.queueOf(s.job).Pool]
		if p == nil || !s.startable() || s.spec.BestEffort {
			continue
		}
		if looked++; looked > explainMost {
			break
		}
		idle += s.fillIdle(p.workers, free, min(s.pending, c.teamRoom(s)))
	}
	return idle
}

// fillIdle takes the room for up to n tasks of the step out of free and returns the
// thousandths of a core that this is. It takes nothing for a gang that does not fit.
func (s *step) fillIdle(workers []*worker, free map[*worker]model.Resources, n int) int64 {
	size := s.spec.RequiredCapacity()
	if s.spec.Gang && n < len(s.tasks) {
		return 0
	}
	taken := map[*worker]int{}
	left := n
	for _, w := range workers {
		if left == 0 {
			break
		}
		if !s.takes(w) || s.advice.denied[w.info.ID] {
			continue
		}
		if k := min(left, copies(free[w], size)); k > 0 {
			taken[w] = k
			left -= k
		}
	}
	if s.spec.Gang && left > 0 {
		return 0
	}
	for w, k := range taken {
		for range k {
			free[w] = free[w].Sub(size)
		}
	}
	return int64(n-left) * size.MilliCores
}

// waitReason tells why a step has no place for its next task, or a gang for all.
func (c *Core) waitReason(r rankedStep) WaitReason {
	s, q := r.step, c.queueOf(r.step.job)
	need := 1
	if s.spec.Gang {
		need = len(s.tasks)
	}
	if c.teamRoom(s) < need {
		return WaitsForTeamLimit
	}
	places := c.waitPlaces(r, q)
	for _, reason := range [...]WaitReason{WaitsForCapacity, WaitsForGangReservation, WaitsForUrgentHeadroom, WaitsForAdvice} {
		if places[reason] < need {
			return reason
		}
	}
	return WaitsForPass
}

// waitPlaces counts the places for tasks of the step that are left when each
// reason, and those before it, are taken into account.
func (c *Core) waitPlaces(r rankedStep, q *workload.Queue) map[WaitReason]int {
	s, now := r.step, c.round.now
	places := map[WaitReason]int{}
	p := c.round.pools[q.Pool]
	if p == nil {
		return places
	}
	for _, w := range p.workers {
		if !s.takes(w) || s.advice.denied[w.info.ID] {
			continue
		}
		places[WaitsForCapacity] += fits(w, s)
		if c.held(s, w, r.rank, now) {
			continue
		}
		places[WaitsForGangReservation] += fits(w, s)
		n := c.room(w, s, r.rank)
		places[WaitsForUrgentHeadroom] += n
		if q.Advice != nil {
			if _, ok := s.advice.valid(w, c.arrival(now)); !ok {
				continue
			}
		}
		places[WaitsForAdvice] += n
	}
	return places
}

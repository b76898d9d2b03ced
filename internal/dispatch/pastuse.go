package dispatch

import (
	"slices"
	"time"
)

// Steps past their useful time are considered in turn. Load pattern: seconds of demand of two
// to three times the capacity leave a backlog of 1,000 to 2,000 such steps, while the jobs that
// can still be on time wait for the coordinator's processor. Passes over all steps took several
// times as long as passes over those of use.
const (
	// pastUsePerPass is the number of steps past their useful time that one pass considers,
	// apart from those with calls or tickets for advice. It is about that of the steps that an
	// advice pass examines (maxStepsWithoutCall).
	pastUsePerPass = 60
	// pastUsePasses is the number of passes within which each step has its turn, however long
	// the backlog is. A pass is made every 15 to 25 ms under load, so that this is about a
	// second: callers expect that work with free capacity starts within 3 s, and a call for
	// advice and the start take some of this time.
	pastUsePasses = 50
)

// pastUseTurns holds the occurrences past their useful time that have tasks to start.
type pastUseTurns struct {
	perPass int           // pastUsePerPass
	queue   []*occurrence // the next in turn first
	// advised has those steps with a call for advice in progress or with valid tickets, the
	// next in turn first. They are considered besides the others: tickets expire within
	// passes. Their number is bounded by the calls that the hosts can make in that time.
	advised []*step
	// taken and takenAdvised are the numbers of occurrences and steps at the front that the
	// current pass considers.
	taken, takenAdvised int
	// left is the number of occurrences that had no turn since the state last changed.
	left int
}

// pastUse reports whether an occurrence of this rank earns nothing any more. One that exceeds
// its team's rate may earn as much as others if it completes in time.
func (o *occurrence) pastUse(r rank, now time.Time) bool {
	if r.group == groupOverRate {
		return now.After(r.latestStart.Add((lateFactor - 1) * o.onTimeWithin))
	}
	return r.group == groupExpired
}

// hasService reports whether a step of the occurrence is a service. Services are urgent
// whatever the age of their job, so that such an occurrence does not wait for its turn.
func (o *occurrence) hasService() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.spec.Service })
}

// waitsForTurn reports whether the occurrence is past its useful time, as far as known: more
// may become known as its runs end or fail.
func (o *occurrence) waitsForTurn() bool { return o.inTurn && o.basis == o.currentBasis() }

// add adds an occurrence that is past its useful time, behind the others.
func (p *pastUseTurns) add(o *occurrence) {
	if !o.inTurn {
		o.inTurn = true
		p.queue = append(p.queue, o)
		p.left++
	}
}

// remove takes an occurrence that is of use again out of the queue.
func (p *pastUseTurns) remove(o *occurrence) {
	if o.inTurn {
		o.inTurn = false
		p.queue = slices.DeleteFunc(p.queue, func(other *occurrence) bool { return other == o })
	}
}

// park excludes a job from ranking until it leaves the turns or has a run. Without a run nothing
// becomes known that changes its objective. Jobs on a schedule are not parked: their further
// occurrences open on time.
func (c *Core) park(j *job) {
	if j.spec.Occurrences() == 1 && len(j.occurrences) == 1 && j.occurrences[0].inTurn && j.idle() {
		delete(c.toRank, j.spec.ID)
	}
}

// unpark includes a job in ranking again.
func (c *Core) unpark(j *job) {
	if c.active[j.spec.ID] == j {
		c.toRank[j.spec.ID] = j
	}
}

// endTurn moves what the pass has considered behind the others.
func (p *pastUseTurns) endTurn() {
	p.left = max(0, min(p.left, len(p.queue))-p.taken)
	p.queue = rotate(p.queue, p.taken)
	p.advised = rotate(p.advised, p.takenAdvised)
	p.taken, p.takenAdvised = 0, 0
}

// rotate moves the first n elements behind the others.
func rotate[T any](queue []T, n int) []T {
	first := slices.Clone(queue[:n])
	return append(append(queue[:0], queue[n:]...), first...)
}

// appendTurns appends the steps past their useful time that the pass considers.
func (c *Core) appendTurns(out []rankedStep, now time.Time) []rankedStep {
	p := &c.pastUse
	p.taken, p.takenAdvised = 0, 0
	limit := max(p.perPass, (len(p.queue)+pastUsePasses-1)/pastUsePasses)
	p.advised = slices.DeleteFunc(p.advised, func(s *step) bool { return !c.isAdvised(s, now) })
	considered := map[*step]bool{}
	for _, s := range p.advised[:min(limit, len(p.advised))] {
		p.takenAdvised++
		if o := c.turnOf(s); o != nil && o.dependenciesDone(s) && !c.isSuspended(s.job) {
			considered[s] = true
			out = append(out, rankedStep{s, c.rankOf(s.job, o, now)})
		}
	}
	// Those that have ended, or have no task to start, leave the queue. They are added again
	// once they have one.
	n, kept := 0, p.queue[:0]
	for i, o := range p.queue {
		if n >= limit {
			kept = append(kept, p.queue[i:]...)
			break
		}
		steps := c.stepsInTurn(o)
		if len(steps) == 0 {
			o.inTurn = false
			c.unpark(o.steps[0].job)
			continue
		}
		r := c.rankOf(o.steps[0].job, o, now)
		if o.pastUse(r, now) {
			kept = append(kept, o)
			p.taken++
		} else { // the clock was set back
			o.inTurn = false
			c.unpark(o.steps[0].job)
		}
		for _, s := range steps {
			if !considered[s] {
				n++
				out = append(out, rankedStep{s, r})
			}
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return out
}

// stepsInTurn returns the steps with tasks to start of an occurrence in the queue.
func (c *Core) stepsInTurn(o *occurrence) []*step {
	j := o.steps[0].job
	if !o.waitsForTurn() || c.active[j.spec.ID] != j || j.state.Final() || c.isSuspended(j) || !slices.Contains(j.occurrences, o) {
		return nil
	}
	var out []*step
	for _, s := range o.steps {
		if s.startable() && o.dependenciesDone(s) {
			out = append(out, s)
		}
	}
	return out
}

// stepsAwaitingTurn returns the steps with tasks to start that the latest pass did not consider.
func (c *Core) stepsAwaitingTurn() []*step {
	considered := make(map[*step]bool, len(c.ready))
	for _, r := range c.ready {
		considered[r.step] = true
	}
	var out []*step
	for _, o := range c.pastUse.queue {
		for _, s := range c.stepsInTurn(o) {
			if !considered[s] {
				out = append(out, s)
			}
		}
	}
	return out
}

// addTurn adds an occurrence that is past its useful time, and notes the steps whose calls for
// advice were made before. Their tickets would otherwise expire before its turn.
func (c *Core) addTurn(o *occurrence, now time.Time) {
	c.pastUse.add(o)
	for _, s := range o.steps {
		if c.isAdvised(s, now) {
			c.noteCall(s)
		}
	}
}

// noteCall records that a call for advice is made for a step.
func (c *Core) noteCall(s *step) {
	if c.turnOf(s) != nil && !slices.Contains(c.pastUse.advised, s) {
		c.pastUse.advised = append(c.pastUse.advised, s)
	}
}

// isAdvised reports whether the step waits for its turn with tasks to start, and has a call for
// advice in progress or valid tickets.
func (c *Core) isAdvised(s *step, now time.Time) bool {
	return s.startable() && (s.advice.callPending || now.Before(s.advice.lastExpiry)) && c.turnOf(s) != nil
}

// turnOf returns the occurrence of a step that waits for its turn, or nil.
func (c *Core) turnOf(s *step) *occurrence {
	if c.active[s.job.spec.ID] != s.job {
		return nil
	}
	for _, o := range s.job.occurrences {
		if o.index == s.id.Occurrence && o.waitsForTurn() {
			return o
		}
	}
	return nil
}

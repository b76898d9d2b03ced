package dispatch

import (
	"iter"
	"slices"
	"sort"
	"time"

	"cuminloft/internal/workload"
)

// askGang picks workers for a gang. The first call finds out which ones the gang
// may choose from; later calls renew tickets when there is room, or is about to be.
func (c *Core) askGang(r rankedStep, q *workload.Queue, hosts AdviceCapacity, now time.Time) []string {
	s := r.step
	if s.advice.tickets == nil {
		return c.firstAsk(r, q, hosts, now)
	}
	if unknown := c.askFurther(r, q, hosts); len(unknown) > 0 {
		return unknown
	}
	candidates, likely := c.askCandidates(r, slices.Values(c.allowed(s, q, c.round.eligible(s, q))), now, true)
	if likely >= float64(len(s.tasks)) {
		sort.Slice(candidates, func(a, b int) bool {
			x, y := candidates[a], candidates[b]
			if x.known != y.known {
				return x.known
			}
			if x.room != y.room {
				return x.room > y.room
			}
			return x.id < y.id
		})
		named, _ := cutAsk(s, q, candidates)
		return named
	}
	if s.heldFrom.IsZero() {
		return nil
	}
	var held []string
	for id, w := range c.holds {
		if w.hold.step != s {
			continue
		}
		if _, valid := s.advice.valid(w, c.arrival(now)); !valid {
			held = append(held, id)
		}
	}
	if len(held) == 0 || s.heldFrom.Sub(now) > q.Advice.Duration(len(held)) {
		return nil
	}
	sort.Strings(held)
	return held
}

// firstAsk names the workers of a gang's first call: those with room now, if all
// members are likely to find a place on the allowed ones. Else it names as many as
// a call may, since room is kept on the allowed ones and more to choose from is
// better; if hosts that ask are scarce, no more than the gang needs to choose
// from. Load pattern: a lost AZ, which leaves more gangs than hosts that ask; a
// call that names 100 workers takes a host twice as long as one that names 30.
func (c *Core) firstAsk(r rankedStep, q *workload.Queue, hosts AdviceCapacity, now time.Time) []string {
	s, p := r.step, c.round.pools[q.Pool]
	if p == nil {
		return nil
	}
	workers := c.toAsk(s, p)
	if named, enough := c.askRoomy(r, q, workers, now); enough {
		return named
	}
	all, _ := c.askCandidates(r, workers, now, false)
	sort.Slice(all, func(a, b int) bool { return all[a].id < all[b].id })
	places := 0.0
	for i, x := range all {
		if i >= askMost || hosts.FewIdle && places >= float64(scarceChoice*len(s.tasks)) {
			return names(all[:i])
		}
		places += askAllowedShare * float64(copies(c.workers[x.id].info.Capacity, s.spec.RequiredCapacity()))
	}
	return names(all)
}

// askRoomy names workers that have room now, those of the roomiest AZ first, and
// tells whether they are likely to be enough.
func (c *Core) askRoomy(r rankedStep, q *workload.Queue, workers iter.Seq[*worker], now time.Time) ([]string, bool) {
	roomy, _ := c.askCandidates(r, workers, now, true)
	az := roomiestAZ(roomy)
	sort.Slice(roomy, func(a, b int) bool {
		x, y := roomy[a], roomy[b]
		if (x.az == az) != (y.az == az) {
			return x.az == az
		}
		if x.room != y.room {
			return x.room > y.room
		}
		return x.id < y.id
	})
	return cutAsk(r.step, q, roomy)
}

// How many times a gang's tasks should fit on its allowed workers if these were empty.
// With less to choose from, they would hardly ever have room for all of them at once
// (docs/design/0007, 0013).
const (
	gangChoice = 30
	// scarceChoice holds while few of the hosts that ask are idle.
	scarceChoice = 8
)

// choice returns the one that applies.
func (h AdviceCapacity) choice() int {
	if h.FewIdle {
		return scarceChoice
	}
	return gangChoice
}

// askFurther names workers that the service has not been asked about, if those
// that it allowed are too few for the gang even when empty. Load pattern: gangs
// as wide as a tenth of a large cell.
func (c *Core) askFurther(r rankedStep, q *workload.Queue, hosts AdviceCapacity) []string {
	s, p := r.step, c.round.pools[q.Pool]
	if p == nil {
		return nil
	}
	places := 0
	var unknown []candidate
	for w := range c.toAsk(s, p) {
		_, known := s.advice.tickets[w.info.ID]
		switch {
		case !s.takes(w) || s.advice.denied[w.info.ID]:
		case known:
			places += copies(w.info.Capacity, s.spec.RequiredCapacity())
		default:
			unknown = append(unknown, candidate{id: w.info.ID})
		}
	}
	if places >= hosts.choice()*len(s.tasks) {
		return nil
	}
	sort.Slice(unknown, func(a, b int) bool { return unknown[a].id < unknown[b].id })
	return names(unknown[:min(len(unknown), askMost)])
}

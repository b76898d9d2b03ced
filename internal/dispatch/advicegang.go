package dispatch

import (
	"iter"
	"slices"
	"sort"
	"time"

	"cuminloft/internal/workload"
)

// gangCallWorkers chooses the workers for a call for a gang. The first call finds out
// which workers the gang may use. Later calls renew tickets when capacity is free or
// about to be, and name further workers while the allowed ones are few. With
// Policy.RenewFirst, tickets are renewed first. Load pattern: hosts busy with calls for
// further workers, while tickets of gangs with free capacity expire.
func (c *Core) gangCallWorkers(r rankedStep, q *workload.Queue, capacity AdviceCapacity, now time.Time) []string {
	s := r.step
	if s.advice.tickets == nil {
		return c.firstGangCall(r, q, capacity, now)
	}
	if c.policy.RenewFirst {
		if named, suffices := c.renewalCall(r, q, now); suffices || len(named) > 0 {
			return named
		}
		return c.furtherGangCall(r, q, capacity)
	}
	if unknown := c.furtherGangCall(r, q, capacity); len(unknown) > 0 {
		return unknown
	}
	named, _ := c.renewalCall(r, q, now)
	return named
}

// renewalCall chooses workers known to be allowed whose tickets are to be renewed: those with
// free capacity if the gang is expected to fit there, or else those with capacity reserved for
// it, shortly before its start. It reports whether the gang is expected to fit.
func (c *Core) renewalCall(r rankedStep, q *workload.Queue, now time.Time) (named []string, fits bool) {
	s := r.step
	candidates, expected := c.callCandidates(r, slices.Values(c.gangWorkersByAdvice(s, q, c.pass.schedulableFor(s, q))), now, true)
	if expected >= float64(len(s.tasks)) {
		sort.Slice(candidates, func(a, b int) bool {
			x, y := candidates[a], candidates[b]
			if x.known != y.known {
				return x.known
			}
			if x.fitsNow != y.fitsNow {
				return x.fitsNow > y.fitsNow
			}
			return x.id < y.id
		})
		named, _ := trimCandidates(s, q, candidates)
		return named, true
	}
	if s.reservedFrom.IsZero() {
		return nil, false
	}
	var reserved []string
	for _, w := range c.reservedFor(s) {
		if _, valid := s.advice.validTicket(w, c.sendTime(now)); !valid {
			reserved = append(reserved, w.info.ID)
		}
	}
	if len(reserved) == 0 || s.reservedFrom.Sub(now) > q.Advice.Duration(len(reserved)) {
		return nil, false
	}
	sort.Strings(reserved)
	return reserved[:min(len(reserved), maxCallWorkers)], false
}

// firstGangCall chooses the workers of a gang's first call: those with free capacity, if
// all members are likely to fit on the allowed ones. Otherwise it names as many workers
// as a call may, since capacity is reserved on the allowed ones and a larger choice is
// better. While few hosts are idle, it names only as many as the gang needs to choose
// from. Load pattern: an AZ is lost, which leaves more gangs than hosts that make calls.
// A call that names 100 workers occupies a host twice as long as one that names 30.
func (c *Core) firstGangCall(r rankedStep, q *workload.Queue, capacity AdviceCapacity, now time.Time) []string {
	s, p := r.step, c.pass.pools[q.Pool]
	if p == nil {
		return nil
	}
	workers := c.callWorkers(s, p)
	if named, enough := c.gangCallWithFreeCapacity(r, q, workers, now); enough {
		return named
	}
	all, _ := c.callCandidates(r, workers, now, false)
	sort.Slice(all, func(a, b int) bool { return all[a].id < all[b].id })
	fits := 0.0
	for i, x := range all {
		if i >= maxCallWorkers || capacity.FewIdle && fits >= float64(gangChoiceFewIdle*len(s.tasks)) {
			return candidateIDs(all[:i])
		}
		fits += assumedAllowedShare * float64(fitCount(c.workers[x.id].info.Capacity, s.spec.RequiredCapacity()))
	}
	return candidateIDs(all)
}

// gangCallWithFreeCapacity chooses workers with free capacity, those of the AZ with the
// most free capacity first, and reports whether they are expected to suffice.
func (c *Core) gangCallWithFreeCapacity(r rankedStep, q *workload.Queue, workers iter.Seq[*worker], now time.Time) ([]string, bool) {
	candidates, _ := c.callCandidates(r, workers, now, true)
	az := azWithMostCapacity(candidates)
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		if (x.az == az) != (y.az == az) {
			return x.az == az
		}
		if x.fitsNow != y.fitsNow {
			return x.fitsNow > y.fitsNow
		}
		return x.id < y.id
	})
	return trimCandidates(r.step, q, candidates)
}

// How many times a gang's tasks should fit on its allowed workers if these were empty.
// With fewer workers to choose from, the gang would hardly ever find enough free capacity
// at one time (docs/design/0007, 0013).
const (
	gangChoiceDefault = 30
	// gangChoiceFewIdle applies while few of the hosts that make calls are idle.
	gangChoiceFewIdle = 8
)

// gangChoice returns the factor that applies.
func (a AdviceCapacity) gangChoice() int {
	if a.FewIdle {
		return gangChoiceFewIdle
	}
	return gangChoiceDefault
}

// furtherGangCall chooses workers that no call has named yet, if the allowed ones are too
// few for the gang even when empty. Load pattern: gangs as wide as a tenth of a large
// cell.
func (c *Core) furtherGangCall(r rankedStep, q *workload.Queue, capacity AdviceCapacity) []string {
	s, p := r.step, c.pass.pools[q.Pool]
	if p == nil {
		return nil
	}
	fits := 0
	var unknown []adviceCandidate
	for w := range c.callWorkers(s, p) {
		_, known := s.advice.tickets[w.info.ID]
		switch {
		case !s.matchesLabel(w) || s.advice.denied[w.info.ID]:
		case known:
			fits += fitCount(w.info.Capacity, s.spec.RequiredCapacity())
		default:
			unknown = append(unknown, adviceCandidate{id: w.info.ID})
		}
	}
	if fits >= capacity.gangChoice()*len(s.tasks) {
		return nil
	}
	sort.Slice(unknown, func(a, b int) bool { return unknown[a].id < unknown[b].id })
	return candidateIDs(unknown[:min(len(unknown), maxCallWorkers)])
}

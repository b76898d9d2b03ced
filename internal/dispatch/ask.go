package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"strings"
	"time"

	"cuminloft/internal/workload"
)

// Sizes of a call for advice.
const (
	// askAllowedShare is the share of workers that a strict policy allows.
	askAllowedShare = 0.35
	askLeast        = 8
	// askSpread is the share of a call's fixed time that naming workers may add
	// without need; a second call costs the fixed time again.
	askSpread = 0.3
	askMost   = 100 // the service's limit
	// askSurplus is how many times the places needed a call should yield, since
	// other steps take some of them before the answer is in.
	askSurplus = 2.0
	// askSample is how many workers the choice is made from, beside those that are known
	// to be allowed.
	askSample = 1000
)

// toAsk returns the workers that a call for the step is chosen from: those that it is known
// to be allowed on and, of a large pool, a sample of the others. Load pattern: a takeover in a
// cell of thousands of workers, after which hundreds of steps need a call at once; looking at
// every worker for each step takes the coordinator all of its time, and it is taken for gone.
func (c *Core) toAsk(s *step, p *pool) iter.Seq[*worker] {
	if len(p.workers) <= askSample {
		return slices.Values(p.workers)
	}
	return func(yield func(*worker) bool) {
		for _, w := range p.workers[:askSample] { // in another order in each round
			if !yield(w) {
				return
			}
		}
		for id := range s.advice.tickets {
			if w := c.workers[id]; w != nil && w.openIn == c.round && w.place >= askSample && !yield(w) {
				return
			}
		}
	}
}

// candidate is a worker that a call for advice could name.
type candidate struct {
	id    string
	az    string
	known bool // it was allowed before
	valid bool // its ticket still holds
	room  int  // for tasks now
	soon  int  // the same within turnHorizon
	order uint64
}

// setOrder sets where the candidate of a step of single tasks stands: known ones first,
// then those with room now, those of one AZ, and the fullest, since small tasks fill gaps
// and leave whole workers to gangs.
func (x *candidate) setOrder(home string) {
	const countBits = 20 // of room and soon, more than a worker runs tasks
	const most = 1<<countBits - 1
	bit := func(first bool) uint64 {
		if first {
			return 0
		}
		return 1
	}
	x.order = bit(x.known)<<2 | bit(x.room > 0)<<1 | bit(x.az == home)
	x.order = x.order<<countBits | uint64(min(most, x.room))
	x.order = x.order<<countBits | uint64(most-min(most, x.soon))
}

// askWorkers picks the workers to name. Load pattern: calls are the bottleneck
// when many steps start at once, so no more are named than are likely to be
// needed.
func (c *Core) askWorkers(r rankedStep, q *workload.Queue, hosts AdviceCapacity, now time.Time) []string {
	if r.step.spec.Gang {
		return c.askGang(r, q, hosts, now)
	}
	candidates, enough := c.askSoon(r, q, now)
	if enough {
		return nil
	}
	home := r.step.job.home
	if home == "" {
		home = roomiestAZ(candidates)
	}
	for i := range candidates {
		candidates[i].setOrder(home)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.order, b.order), strings.Compare(a.id, b.id))
	})
	named, _ := cutAsk(r.step, q, candidates)
	return named
}

// askSoon returns the workers that a call could name which have room now or soon, and
// whether the valid tickets are enough for what waits. Load pattern: a full cell, where
// room comes free here and there; asking for the few workers that have room at each
// moment takes a call for every task or two. Urgent steps and those with
// short calls do not wait for room to come free on the workers of their tickets.
func (c *Core) askSoon(r rankedStep, q *workload.Queue, now time.Time) (out []candidate, enough bool) {
	s, p := r.step, c.round.pools[q.Pool]
	if p == nil {
		return nil, false
	}
	ahead := c.lookAhead(now)
	waits := r.rank.group != groupUrgent && !shortCalls(q)
	ready := 0
	for w := range c.toAsk(s, p) {
		x, ok := c.candidate(r, w, now)
		if waits {
			x.soon = max(x.soon, copies(ahead.free[w], s.spec.RequiredCapacity()))
		}
		if !ok || x.soon == 0 {
			continue
		}
		if x.valid {
			ready += x.soon
			continue
		}
		out = append(out, x)
	}
	return out, ready >= s.pending
}

// candidate returns what a call for the step should know of a worker, false if the
// step cannot run there.
func (c *Core) candidate(r rankedStep, w *worker, now time.Time) (candidate, bool) {
	s := r.step
	if !s.takes(w) || s.advice.denied[w.info.ID] {
		return candidate{}, false
	}
	x := candidate{id: w.info.ID, az: w.info.AZ}
	if !c.held(s, w, r.rank, now) {
		x.room = c.room(w, s, r.rank)
	}
	x.soon = x.room
	_, x.known = s.advice.tickets[w.info.ID]
	_, x.valid = s.advice.valid(w, c.arrival(now))
	return x, true
}

// likely is how many tasks the worker will probably take within turnHorizon.
func (x candidate) likely() float64 {
	if x.known {
		return float64(x.soon)
	}
	return askAllowedShare * float64(x.soon)
}

// roomiestAZ returns the AZ whose candidates have room for the most tasks.
func roomiestAZ(candidates []candidate) string {
	room := map[string]int{}
	best := ""
	for _, x := range candidates {
		room[x.az] += x.room
	}
	for az, n := range room {
		if best == "" || n > room[best] || n == room[best] && az < best {
			best = az
		}
	}
	return best
}

// askCandidates returns those of the workers that a call could name, and how many
// places the step is likely to be allowed on these and on those with a valid ticket.
func (c *Core) askCandidates(r rankedStep, workers iter.Seq[*worker], now time.Time, withRoom bool) ([]candidate, float64) {
	var out []candidate
	likely := 0.0
	for w := range workers {
		x, ok := c.candidate(r, w, now)
		if !ok || withRoom && x.room == 0 {
			continue
		}
		likely += x.likely()
		if !x.valid {
			out = append(out, x)
		}
	}
	return out, likely
}

// cutAsk cuts a list of candidates to those that are likely to be needed, and
// tells whether they are likely to be enough.
func cutAsk(s *step, q *workload.Queue, candidates []candidate) ([]string, bool) {
	least := askLeast
	if cost := q.Advice; cost.PerWorker > 0 {
		least = max(least, int(askSpread*float64(cost.PerCall)/float64(cost.PerWorker)))
	}
	expected := 0.0
	for i, x := range candidates {
		enough := expected >= askSurplus*float64(s.pending)
		if i >= askMost || i >= least && enough {
			return names(candidates[:i]), enough
		}
		expected += x.likely()
	}
	return names(candidates), expected >= askSurplus*float64(s.pending)
}

func names(candidates []candidate) []string {
	out := make([]string, 0, len(candidates))
	for _, x := range candidates {
		out = append(out, x.id)
	}
	return out
}

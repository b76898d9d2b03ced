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
	// assumedAllowedShare is the assumed share of workers that the service allows. It is
	// that of a strict policy.
	assumedAllowedShare = 0.35
	minCallWorkers      = 8
	// extraNamingShare is the share of a call's fixed time that may be spent on naming
	// more workers than needed, since a second call costs the fixed time again.
	extraNamingShare = 0.3
	maxCallWorkers   = 100 // limit of the advice service
	// callSurplus is the ratio of the tasks that a call should find capacity for to the
	// tasks that need it. Other steps use some of that capacity before the answer
	// arrives.
	callSurplus = 2.0
	// callSampleSize is the number of workers that a call is chosen from, besides those
	// known to be allowed.
	callSampleSize = 1000
)

// callWorkers returns the workers that a call for the step is chosen from: the workers
// known to be allowed and, in a large pool, a sample of the others. Load pattern: after a
// takeover in a cell of thousands of workers, hundreds of steps need a call at once.
// Examining every worker for each step takes all of the coordinator's time, and it
// appears to have failed.
func (c *Core) callWorkers(s *step, p *poolState) iter.Seq[*worker] {
	avoidsSlow := c.avoidsSlow(s, c.queueOf(s.job))
	return func(yield func(*worker) bool) {
		for _, w := range p.workers[:min(len(p.workers), callSampleSize)] { // the order differs from pass to pass
			if w.schedulableIn == c.pass && (!avoidsSlow || !w.isSlow()) && !yield(w) { // otherwise it is gone since the pass
				return
			}
		}
		if len(p.workers) <= callSampleSize {
			return
		}
		for id := range s.advice.tickets {
			if w := c.workers[id]; w != nil && w.schedulableIn == c.pass && w.poolIndex >= callSampleSize && (!avoidsSlow || !w.isSlow()) && !yield(w) {
				return
			}
		}
	}
}

// adviceCandidate is a worker that a call for advice could name.
type adviceCandidate struct {
	id        string
	az        string
	known     bool // the service has allowed it before
	hasTicket bool // its ticket is still valid
	fitsNow   int  // tasks that fit now
	fitsSoon  int  // tasks that fit within lookaheadHorizon
	unwanted  bool // it is not of the speed that the step prefers
	sortKey   uint64
}

// setSortKey sets the position of a candidate for a step of single tasks: known workers
// first, then those with free capacity, then those of the preferred speed, then those of the
// home AZ, then the fullest, since small tasks fill gaps and leave whole workers to gangs.
func (x *adviceCandidate) setSortKey(home string) {
	const countBits = 20 // of each count; a worker never runs as many tasks
	const most = 1<<countBits - 1
	bit := func(first bool) uint64 {
		if first {
			return 0
		}
		return 1
	}
	x.sortKey = bit(x.known)<<3 | bit(x.fitsNow > 0)<<2 | bit(!x.unwanted)<<1 | bit(x.az == home)
	x.sortKey = x.sortKey<<countBits | uint64(min(most, x.fitsNow))
	x.sortKey = x.sortKey<<countBits | uint64(most-min(most, x.fitsSoon))
}

// chooseCallWorkers chooses the workers that a call names. Load pattern: many steps start
// at once and calls are the bottleneck, so a call names no more workers than are likely
// to be needed.
func (c *Core) chooseCallWorkers(r rankedStep, q *workload.Queue, capacity AdviceCapacity, now time.Time) []string {
	if r.step.spec.Gang {
		return c.gangCallWorkers(r, q, capacity, now)
	}
	candidates, enough := c.candidatesSoon(r, q, now)
	if enough {
		return nil
	}
	home := r.step.job.homeAZ
	if home == "" {
		home = azWithMostCapacity(candidates)
	}
	speed := c.speedPreference(r)
	for i := range candidates {
		candidates[i].unwanted = speed != noPreference && speed.score(c.workers[candidates[i].id]) > 0
		candidates[i].setSortKey(home)
	}
	slices.SortFunc(candidates, func(a, b adviceCandidate) int {
		return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), strings.Compare(a.id, b.id))
	})
	named, _ := trimCandidates(r.step, q, candidates)
	return named
}

// candidatesSoon returns the workers without a valid ticket that have free capacity now
// or soon, and whether the valid tickets suffice for the waiting tasks. Load pattern: a
// full cell with small releases of capacity. Calls that name only the few workers with
// free capacity at each moment would be made for every task or two. Urgent steps and
// those with short calls do not wait for capacity on the workers of their tickets.
func (c *Core) candidatesSoon(r rankedStep, q *workload.Queue, now time.Time) (out []adviceCandidate, enough bool) {
	s, p := r.step, c.pass.pools[q.Pool]
	if p == nil {
		return nil, false
	}
	ahead := c.currentLookahead(now)
	waits := r.rank.group != groupUrgent && !hasShortCalls(q)
	ticketed := 0
	for w := range c.callWorkers(s, p) {
		fitsNow := c.fitBesideOthers(r, w, now)
		fitsSoon := fitsNow
		if waits {
			fitsSoon = max(fitsSoon, fitCount(ahead.free[w], s.spec.RequiredCapacity()))
		}
		if fitsSoon == 0 {
			continue
		}
		x, ok := c.newCandidate(r, w, now)
		if !ok {
			continue
		}
		x.fitsNow, x.fitsSoon = fitsNow, fitsSoon
		if x.hasTicket {
			ticketed += x.fitsSoon
			continue
		}
		out = append(out, x)
	}
	return out, ticketed >= s.pending
}

// newCandidate returns what is known about a worker for a call for the step, apart from the
// tasks that fit. It returns false if the step cannot run there. It takes several times as long
// as fitBesideOthers, and in a full cell few workers have free capacity.
func (c *Core) newCandidate(r rankedStep, w *worker, now time.Time) (adviceCandidate, bool) {
	s := r.step
	if !s.matchesLabel(w) || s.advice.denied[w.info.ID] {
		return adviceCandidate{}, false
	}
	t, known := s.advice.tickets[w.info.ID]
	return adviceCandidate{id: w.info.ID, az: w.info.AZ, known: known, hasTicket: known && t.valid(w, c.sendTime(now))}, true
}

// expectedTasks estimates how many tasks the worker will be allowed to take within
// lookaheadHorizon.
func (x adviceCandidate) expectedTasks() float64 {
	if x.known {
		return float64(x.fitsSoon)
	}
	return assumedAllowedShare * float64(x.fitsSoon)
}

// azWithMostCapacity returns the AZ on whose candidates the most tasks fit now.
func azWithMostCapacity(candidates []adviceCandidate) string {
	fits := map[string]int{}
	best := ""
	for _, x := range candidates {
		fits[x.az] += x.fitsNow
	}
	for az, n := range fits {
		if best == "" || n > fits[best] || n == fits[best] && az < best {
			best = az
		}
	}
	return best
}

// callCandidates returns the workers without a valid ticket, and the expected number of
// tasks of the step that can run on all given workers. With onlyFree it ignores workers
// without free capacity.
func (c *Core) callCandidates(r rankedStep, workers iter.Seq[*worker], now time.Time, onlyFree bool) ([]adviceCandidate, float64) {
	var out []adviceCandidate
	expected := 0.0
	for w := range workers {
		fitsNow := c.fitBesideOthers(r, w, now)
		if onlyFree && fitsNow == 0 {
			continue
		}
		x, ok := c.newCandidate(r, w, now)
		if !ok {
			continue
		}
		x.fitsNow, x.fitsSoon = fitsNow, fitsNow
		expected += x.expectedTasks()
		if !x.hasTicket {
			out = append(out, x)
		}
	}
	return out, expected
}

// trimCandidates returns the first candidates, as many as are likely to be needed, and
// reports whether these are expected to suffice.
func trimCandidates(s *step, q *workload.Queue, candidates []adviceCandidate) ([]string, bool) {
	minimum := minCallWorkers
	if cost := q.Advice; cost.PerWorker > 0 {
		minimum = max(minimum, int(extraNamingShare*float64(cost.PerCall)/float64(cost.PerWorker)))
	}
	expected := 0.0
	for i, x := range candidates {
		enough := expected >= callSurplus*float64(s.pending)
		if i >= maxCallWorkers || i >= minimum && enough {
			return candidateIDs(candidates[:i]), enough
		}
		expected += x.expectedTasks()
	}
	return candidateIDs(candidates), expected >= callSurplus*float64(s.pending)
}

func candidateIDs(candidates []adviceCandidate) []string {
	out := make([]string, 0, len(candidates))
	for _, x := range candidates {
		out = append(out, x.id)
	}
	return out
}

package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Keeping room for gangs that wait.
const (
	// holdShare is the share of a pool's workers on which room is kept at a time;
	// more would idle the cell.
	holdShare = 0.7
	// holdHorizon is how far ahead room is kept; estimates further out are too
	// uncertain to turn other work away for.
	holdHorizon = 15 * time.Second
	// backfillMargin is the factor on an estimate by which a task must be done
	// before the kept room is needed.
	backfillMargin = 1.3
	// overrun is how much longer a task is taken to run once it is past its
	// estimate.
	overrun = 300 * time.Millisecond
)

// hold keeps a worker's room for a gang from a time on.
type hold struct {
	step *step
	at   time.Time
}

// slot is a place for one task of a gang, free from a time on.
type slot struct {
	at     time.Time
	worker *worker
}

// reserve keeps room for a gang that could not be placed: on the workers where
// it can start first, judging by the estimates of what runs there. Load pattern:
// a stream of small tasks that takes every core that comes free, so that a gang
// of wide tasks never finds room at once.
func (c *Core) reserve(s *step, now time.Time) {
	var slots []slot
	q := c.queueOf(s.job)
	p := c.round.pools[q.Pool]
	if p == nil || float64(len(c.holds)) >= holdShare*float64(len(p.workers)) {
		return
	}
	for _, w := range c.allowed(s, q, p.workers) {
		if w.hold == nil && s.takes(w) {
			slots = c.appendSlots(slots, s, w, now)
		}
	}
	if len(slots) < len(s.tasks) {
		return
	}
	slices.SortFunc(slots, func(a, b slot) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return strings.Compare(a.worker.info.ID, b.worker.info.ID)
	})
	slots = slots[:len(s.tasks)]
	at := slots[len(slots)-1].at
	if at.Sub(now) > holdHorizon {
		return
	}
	kept := &hold{s, at}
	for _, x := range slots {
		c.holds[x.worker.info.ID] = x.worker
		x.worker.hold = kept
	}
	s.heldFrom = at
}

// allowed returns those of the workers that the advice service is known to allow
// for the step, in no particular order.
func (c *Core) allowed(s *step, q *workload.Queue, workers []*worker) []*worker {
	if q.Advice == nil {
		return workers
	}
	out := make([]*worker, 0, len(s.advice.tickets))
	for id := range s.advice.tickets {
		if w := c.workers[id]; w != nil && w.info.Pool == q.Pool && w.openIn == c.round {
			out = append(out, w)
		}
	}
	return out
}

// appendSlots adds the places that a worker has for tasks of the step, now and
// as its tasks end.
func (c *Core) appendSlots(slots []slot, s *step, w *worker, now time.Time) []slot {
	free := w.free()
	size := s.spec.RequiredCapacity()
	n := copies(free, size)
	for range n {
		slots = append(slots, slot{now, w})
	}
	for _, r := range c.releases(w, now) {
		free = free.Add(r.size)
		for more := copies(free, size); n < more; n++ {
			slots = append(slots, slot{r.at, w})
		}
	}
	return slots
}

// release is room that comes free when a task ends.
type release struct {
	at   time.Time
	size model.Resources
}

// releases returns what comes free on a worker as its tasks end, in order. Each round
// works that out once: many gangs that wait look at the same workers.
func (c *Core) releases(w *worker, now time.Time) []release {
	if out, known := c.round.releases[w]; known {
		return out
	}
	out := make([]release, 0, len(w.tasks))
	for id := range w.tasks {
		if s, t := c.find(id); t != nil {
			out = append(out, release{c.expectedEnd(s, t, now), s.spec.RequiredCapacity()})
		}
	}
	slices.SortFunc(out, func(a, b release) int { return a.at.Compare(b.at) })
	c.round.releases[w] = out
	return out
}

// dropHolds forgets which room is kept.
func (c *Core) dropHolds() {
	for _, w := range c.holds {
		w.hold = nil
	}
	clear(c.holds)
}

// held reports whether a worker's room is kept from tasks of the step: another
// gang needs it before they would be done.
func (c *Core) held(s *step, w *worker, r rank, now time.Time) bool {
	h := w.hold
	if h == nil || h.step == s || r.group == groupUrgent {
		return false
	}
	length := time.Duration(backfillMargin * float64(c.expected(s)))
	return now.Add(length).After(h.at)
}

// Keeping room for urgent work.
const (
	urgentHalfLife = 10 * time.Second // in which the remembered peak halves
	urgentMargin   = 1.25             // room kept, as a multiple of the peak
	urgentMost     = 0.06             // largest share of a worker that is kept
)

// urgentRoom remembers how much urgent work ran lately. Load pattern: urgent
// tasks of a second that come in bursts onto a cell full of tasks of many
// seconds; without room they would wait for one of these to end.
type urgentRoom struct {
	urgentUsed int64 // thousandths of a core, running now
	peak       float64
	at         time.Time
}

func (u *urgentRoom) updatePeak(now time.Time) {
	if !u.at.IsZero() {
		u.peak *= math.Exp2(-float64(now.Sub(u.at)) / float64(urgentHalfLife))
	}
	u.at = now
	u.peak = max(u.peak, float64(u.urgentUsed))
}

// keep returns the thousandths of a core that each of n workers keeps free of
// other work.
func (u *urgentRoom) keep(n int) int64 {
	if n == 0 {
		return 0
	}
	return int64(max(0, urgentMargin*u.peak-float64(u.urgentUsed)) / float64(n))
}

// urgent reports whether the step's queue goes before all others.
func (c *Core) urgent(s *step) bool { return c.queueOf(s.job).Priority == 0 }

// expiredKept is the share of a worker that work which is worth nothing any more
// leaves free. Load pattern: the time after an overload, whose backlog would
// otherwise take every core that comes free and make later work late as well. It
// applies while more than loadedShare of the pool's cores are in use.
const (
	expiredKept = 0.25
	loadedShare = 0.6
)

// kept returns the thousandths of a core that a worker keeps from work of this
// rank.
func (r *round) keptFrom(w *worker, k rank) int64 {
	capacity := float64(w.info.Capacity.MilliCores)
	switch k.group {
	case groupUrgent:
		return 0
	case groupExpired:
		if p := r.pools[w.info.Pool]; p == nil || float64(p.used) < loadedShare*float64(p.capacity) {
			return 0
		}
		return int64(expiredKept * capacity)
	default:
		return min(r.kept, int64(urgentMost*capacity))
	}
}

// room returns how many more tasks of the step a worker has room for, with
// regard to what it keeps for better work.
func (c *Core) room(w *worker, s *step, r rank) int {
	n := fits(w, s)
	size := s.spec.Resources.MilliCores
	if n == 0 || size == 0 || s.spec.BestEffort {
		return n
	}
	return min(n, int(max(0, w.free().MilliCores-c.round.keptFrom(w, r))/size))
}

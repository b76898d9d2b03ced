package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Reservations of capacity for waiting gangs.
const (
	// maxReservedShare is the largest share of a pool's workers with reservations at one
	// time; more would leave too much of the cell idle.
	maxReservedShare = 0.7
	// reservationHorizon is how far ahead capacity is reserved. Estimates beyond it are
	// too uncertain to reject other work for.
	reservationHorizon = 15 * time.Second
	// backfillMargin is the factor on a task's expected duration when it is checked
	// against the start of a reservation.
	backfillMargin = 1.3
	// overrunAllowance is the assumed remaining time of a task that has exceeded its
	// estimate.
	overrunAllowance = 300 * time.Millisecond
)

// reservation reserves a worker's capacity for a gang, which is expected to start at
// startAt.
type reservation struct {
	step    *step
	startAt time.Time
}

// slot is capacity for one task of a gang on a worker, free from freeAt on.
type slot struct {
	freeAt time.Time
	worker *worker
}

// reserve reserves capacity for a gang that could not be placed, on the workers where it
// can start first, as estimated from their running tasks. Load pattern: a stream of small
// tasks occupies every core that is released, so that a gang of wide tasks never finds
// enough free capacity at one time.
func (c *Core) reserve(s *step, now time.Time) {
	var slots []slot
	q := c.queueOf(s.job)
	p := c.pass.pools[q.Pool]
	if p == nil || float64(len(c.reservedWorkers)) >= maxReservedShare*float64(len(p.workers)) {
		return
	}
	for _, w := range c.gangWorkersByAdvice(s, q, p.workers) {
		if w.reservation == nil {
			slots = c.appendSlots(slots, s, w, now)
		}
	}
	if len(slots) < len(s.tasks) {
		return
	}
	slices.SortFunc(slots, func(a, b slot) int {
		if order := a.freeAt.Compare(b.freeAt); order != 0 {
			return order
		}
		return strings.Compare(a.worker.info.ID, b.worker.info.ID)
	})
	slots = slots[:len(s.tasks)]
	startAt := slots[len(slots)-1].freeAt
	if startAt.Sub(now) > reservationHorizon {
		return
	}
	res := &reservation{s, startAt}
	for _, x := range slots {
		c.reservedWorkers[x.worker.info.ID] = x.worker
		x.worker.reservation = res
	}
	s.reservedFrom = startAt
}

// allowedByAdvice returns the workers that the advice service is known to allow for the
// step, in no particular order. Without advice these are all given workers.
func (c *Core) allowedByAdvice(s *step, q *workload.Queue, workers []*worker) []*worker {
	if q.Advice == nil {
		return workers
	}
	out := make([]*worker, 0, len(s.advice.tickets))
	for id := range s.advice.tickets {
		if w := c.workers[id]; w != nil && w.info.Pool == q.Pool && w.schedulableIn == c.pass {
			out = append(out, w)
		}
	}
	return out
}

// appendSlots adds the slots for tasks of the step that a worker has now and as its
// running tasks end.
func (c *Core) appendSlots(slots []slot, s *step, w *worker, now time.Time) []slot {
	free := w.free()
	size := s.spec.RequiredCapacity()
	n := fitCount(free, size)
	for range n {
		slots = append(slots, slot{now, w})
	}
	for _, r := range c.releases(w, now) {
		free = free.Add(r.size)
		for more := fitCount(free, size); n < more; n++ {
			slots = append(slots, slot{r.freeAt, w})
		}
	}
	return slots
}

// release is capacity that is released when a task ends.
type release struct {
	freeAt time.Time
	size   model.Resources
}

// releases returns the expected releases on a worker, in order of time. They are computed
// once for each scheduling pass, since many waiting gangs examine the same workers.
func (c *Core) releases(w *worker, now time.Time) []release {
	if out, known := c.pass.releases[w]; known {
		return out
	}
	out := make([]release, 0, len(w.tasks))
	for id := range w.tasks {
		if s, t := c.findTask(id); t != nil {
			out = append(out, release{c.expectedEnd(s, t, now), s.spec.RequiredCapacity()})
		}
	}
	slices.SortFunc(out, func(a, b release) int { return a.freeAt.Compare(b.freeAt) })
	c.pass.releases[w] = out
	return out
}

// clearReservations removes all reservations.
func (c *Core) clearReservations() {
	for _, w := range c.reservedWorkers {
		w.reservation = nil
	}
	clear(c.reservedWorkers)
}

// reservedForOther reports whether a worker's capacity is reserved against tasks of the
// step: another gang is expected to need it before these tasks would end.
func (c *Core) reservedForOther(s *step, w *worker, r rank, now time.Time) bool {
	res := w.reservation
	if res == nil || res.step == s || r.group == groupUrgent {
		return false
	}
	duration := time.Duration(backfillMargin * float64(c.expectedDurationOn(s, w)))
	return now.Add(duration).After(res.startAt)
}

// Headroom reserved for urgent work.
const (
	urgentPeakHalfLife = 10 * time.Second // half-life of the recorded peak of urgent work
	urgentPeakFactor   = 1.25             // reserved capacity as a multiple of the peak
	maxUrgentShare     = 0.06             // largest share of a worker's capacity that is reserved
)

// urgentHeadroom records the recent peak of urgent work. Load pattern: bursts of urgent
// tasks of a second arrive at a cell full of tasks of many seconds. Without reserved
// headroom they would wait for one of these to end.
type urgentHeadroom struct {
	urgentUsed int64 // thousandths of a core used by urgent tasks now
	peak       float64
	peakAt     time.Time
}

func (h *urgentHeadroom) updatePeak(now time.Time) {
	if !h.peakAt.IsZero() {
		h.peak *= math.Exp2(-float64(now.Sub(h.peakAt)) / float64(urgentPeakHalfLife))
	}
	h.peakAt = now
	h.peak = max(h.peak, float64(h.urgentUsed))
}

// headroomPerWorker returns the thousandths of a core that each of n workers reserves for
// urgent work.
func (h *urgentHeadroom) headroomPerWorker(n int) int64 {
	if n == 0 {
		return 0
	}
	return int64(max(0, urgentPeakFactor*h.peak-float64(h.urgentUsed)) / float64(n))
}

// urgent reports whether the step's queue has the highest priority.
func (c *Core) urgent(s *step) bool { return c.queueOf(s.job).Priority == 0 }

// expiredHeadroom is the share of a worker's capacity that is not available to work past
// its useful time. Load pattern: the time after an overload. Its backlog would otherwise
// occupy every core that is released and make later work late as well. The headroom
// applies while more than loadedShare of the pool's cores are in use.
const (
	expiredHeadroom = 0.25
	loadedShare     = 0.6
)

// headroomAgainst returns the thousandths of a core on a worker that are not available to
// work of this rank.
func (pass *schedulingPass) headroomAgainst(w *worker, r rank) int64 {
	capacity := float64(w.info.Capacity.MilliCores)
	switch r.group {
	case groupUrgent:
		return 0
	case groupExpired:
		if p := pass.pools[w.info.Pool]; p == nil || float64(p.used) < loadedShare*float64(p.capacity) {
			return 0
		}
		return int64(expiredHeadroom * capacity)
	default:
		return min(pass.urgentHeadroom, int64(maxUrgentShare*capacity))
	}
}

// fitBesideHeadroom returns how many more tasks of the step fit on a worker beside the
// headroom that is reserved for other work.
func (c *Core) fitBesideHeadroom(w *worker, s *step, r rank) int {
	n := fitOnWorker(w, s)
	size := s.spec.Resources.MilliCores
	if n == 0 || size == 0 || s.spec.BestEffort {
		return n
	}
	return min(n, int(max(0, w.free().MilliCores-c.pass.headroomAgainst(w, r))/size))
}

// fitBesideOthers is fitBesideHeadroom without capacity that is reserved for other gangs.
func (c *Core) fitBesideOthers(r rankedStep, w *worker, now time.Time) int {
	n := c.fitBesideHeadroom(w, r.step, r.rank)
	if n == 0 || c.reservedForOther(r.step, w, r.rank, now) {
		return 0
	}
	return c.fitBesideAmounts(r, w, n, now)
}

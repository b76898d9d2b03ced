package dispatch

import (
	"slices"
	"strings"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// This file reserves capacity for gangs by amount (Policy.ReserveAmounts), instead of by
// whole workers as in reserve.go.

const (
	// maxReservedAmount is the largest share of a pool's cores that is reserved at one time.
	// It is that of reserved workers, and a single gang may exceed it.
	maxReservedAmount = maxReservedShare
	// reservationMaxAge is how long reservations are kept between scheduling passes. To
	// compute them for all waiting gangs takes as long as the rest of a pass.
	reservationMaxAge = 100 * time.Millisecond
	// reservedSlotsPerTask is how many slots are reserved for each task of a gang. The gang
	// starts as soon as one for each task is free. Estimates are often wrong by half, so with
	// exactly one slot for each task, a gang of 20 nearly always waits for a late release:
	// on the replay of a full cell such gangs earned 0.05 less than with whole workers.
	reservedSlotsPerTask = 2.5
	// amountBackfillMargin is the factor on a task's expected duration when it is checked
	// against the start of a reservation. It is larger than backfillMargin, since fewer cores
	// are reserved and one late task of a worse rank delays the whole gang. On the replay of
	// a full cell gangs earned 0.771 with 1.3 and 0.805 with 3.
	amountBackfillMargin = 3
	// delayCost is the cost of starting a gang later than possible, as a share of the gang's
	// cores. Holding a core idle for the same time costs 1. On the replay of a full cell
	// gangs earned 0.791 with 0.5, and 0.805 if they always took the earliest start.
	delayCost = 4
)

// gangReservation is capacity reserved for all tasks of a gang, which is expected to start
// at startAt.
type gangReservation struct {
	step       *step
	rank       rank // at the time of the reservation
	startAt    time.Time
	workers    []*worker // each once
	pool       string
	milliCores int64 // thousandths of a core on all workers
}

// reservedAmount is the capacity that is reserved on one worker for tasks of a gang.
type reservedAmount struct {
	reservation *gangReservation
	size        model.Resources
	// free is the capacity that the worker is expected to have free at startAt, without
	// regard to reservations. It is valid for one scheduling pass, see expectFree.
	free model.Resources
}

// gangReservations holds the amounts reserved for gangs.
type gangReservations struct {
	byStep     map[*step]*gangReservation
	computedAt time.Time
	milliCores map[string]int64 // reserved thousandths of a core by pool
}

// beginReservations prepares the reservations for a scheduling pass and reports whether
// gangs without a reservation may get one in it. Load pattern: a burst with hundreds of
// waiting gangs, whose reservations would otherwise be computed in each of 50 passes a
// second. Reservations of gangs that wait no longer, or with a worker that takes no tasks
// any more, are dropped in each pass, and such gangs choose again at once.
func (c *Core) beginReservations(now time.Time) (compute bool) {
	age := now.Sub(c.reservations.computedAt)
	if age < 0 || age >= reservationMaxAge {
		for s := range c.reservations.byStep {
			c.dropReservation(s)
		}
		c.reservations.computedAt = now
		return true
	}
	for s, res := range c.reservations.byStep {
		lost := slices.ContainsFunc(res.workers, func(w *worker) bool { return w.schedulableIn != c.pass })
		if waits := s.startable() && c.isActive(s.job); lost || !waits {
			c.dropReservation(s)
			compute = compute || waits
		}
	}
	return compute
}

// isActive reports whether the job is known and may start tasks.
func (c *Core) isActive(j *job) bool { return c.active[j.spec.ID] == j && !c.isSuspended(j) }

// dropReservation removes the amounts that are reserved for a gang.
func (c *Core) dropReservation(s *step) {
	res := c.reservations.byStep[s]
	if res == nil {
		return
	}
	delete(c.reservations.byStep, s)
	c.reservations.milliCores[res.pool] -= res.milliCores
	s.reservedFrom = time.Time{}
	for _, w := range res.workers {
		w.amounts = slices.DeleteFunc(w.amounts, func(a reservedAmount) bool { return a.reservation == res })
		if len(w.amounts) == 0 {
			delete(c.reservedWorkers, w.info.ID)
		}
	}
}

// reserveAmounts reserves capacity for a gang that could not be placed: for each of its
// tasks the size of the task, from the expected start of the gang on. Load pattern: gangs
// of tasks that are much smaller than a worker, in a full cell. Reserving whole workers
// leaves a third of the cell idle while other gangs wait.
func (c *Core) reserveAmounts(r rankedStep, now time.Time) {
	s, q := r.step, c.queueOf(r.step.job)
	p := c.pass.pools[q.Pool]
	if p == nil {
		return
	}
	size := s.spec.RequiredCapacity()
	need := size.MilliCores * int64(len(s.tasks))
	reserved := c.reservations.milliCores[q.Pool]
	most := int64(maxReservedAmount * float64(p.capacity))
	if reserved > 0 && reserved+need > most {
		return
	}
	var slots []slot
	for _, w := range c.gangWorkersByAdvice(s, q, p.workers) {
		slots = c.appendAmountSlots(slots, r, w, now)
	}
	limit := r.rank.latestStart
	if at := s.expectedStart; !at.IsZero() && at.Before(limit) {
		limit = at // otherwise the choice of a later start could be repeated again and again
	}
	slots, following := chooseSlots(slots, len(s.tasks), limit)
	if len(slots) == 0 {
		return
	}
	startAt := slots[len(slots)-1].freeAt
	if startAt.Sub(now) > reservationHorizon {
		return
	}
	spare := int((reservedSlotsPerTask - 1) * float64(len(s.tasks)))
	if size.MilliCores > 0 {
		spare = min(spare, int(max(0, most-reserved-need)/size.MilliCores))
	}
	spare = min(spare, len(following))
	slots = slots[:len(slots)+spare]
	need += size.MilliCores * int64(spare)
	res := &gangReservation{step: s, rank: r.rank, startAt: startAt, pool: q.Pool, milliCores: need}
	slices.SortFunc(slots, func(a, b slot) int { return strings.Compare(a.worker.info.ID, b.worker.info.ID) })
	for len(slots) > 0 {
		w, n := slots[0].worker, 1
		for n < len(slots) && slots[n].worker == w {
			n++
		}
		slots = slots[n:]
		res.workers = append(res.workers, w)
		w.addAmount(reservedAmount{reservation: res, size: size.Scale(int64(n))})
		c.reservedWorkers[w.info.ID] = w
	}
	c.reservations.byStep[s] = res
	c.reservations.milliCores[q.Pool] += need
	s.reservedFrom, s.expectedStart = startAt, startAt
}

// addAmount adds an amount to those of the worker, which are in order of time.
func (w *worker) addAmount(a reservedAmount) {
	i := len(w.amounts)
	for i > 0 && w.amounts[i-1].reservation.startAt.After(a.reservation.startAt) {
		i--
	}
	w.amounts = slices.Insert(w.amounts, i, a)
	w.amountsIn = nil
}

// chooseSlots returns n slots for a gang, in order of time, or none if there are fewer, and
// the slots that follow them. It chooses the consecutive slots with the lowest cost, which is the time that the slots are
// held until the last of them is free, plus delayCost for the time that the gang starts
// later than it could. It does not delay a gang beyond its latest start. Load pattern: one
// slot is free now and the others when long tasks end. Other work can use the first slot
// meanwhile.
func chooseSlots(slots []slot, n int, latestStart time.Time) (chosen, following []slot) {
	if n == 0 || len(slots) < n {
		return nil, nil
	}
	slices.SortFunc(slots, func(a, b slot) int {
		if order := a.freeAt.Compare(b.freeAt); order != 0 {
			return order
		}
		return strings.Compare(a.worker.info.ID, b.worker.info.ID)
	})
	earliest := slots[n-1].freeAt
	var sum time.Duration // of the times between earliest and when the slots are free
	for _, x := range slots[:n] {
		sum += x.freeAt.Sub(earliest)
	}
	best, lowest := 0, -float64(sum)
	for i := 1; i+n <= len(slots); i++ {
		last := slots[i+n-1].freeAt
		if last.After(latestStart) {
			break
		}
		sum += last.Sub(earliest) - slots[i-1].freeAt.Sub(earliest)
		delay := last.Sub(earliest)
		cost := float64(n)*float64(delay) - float64(sum) + delayCost*float64(n)*float64(delay)
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return slots[best : best+n], slots[best+n:]
}

// capacityLevel is the capacity that is free on a worker from a time on.
type capacityLevel struct {
	from time.Time
	free model.Resources
}

// appendAmountSlots adds the slots for tasks of the step that a worker has now and as its
// running tasks end. A slot is capacity that stays free beside the amounts reserved for
// other gangs and the headroom for urgent work.
func (c *Core) appendAmountSlots(slots []slot, r rankedStep, w *worker, now time.Time) []slot {
	s := r.step
	size := s.spec.RequiredCapacity()
	most := int(reservedSlotsPerTask * float64(len(s.tasks)))
	if limit := s.spec.MaxPerWorker; limit > 0 {
		most = min(most, limit)
	}
	free := w.free()
	free.MilliCores -= c.pass.headroomAgainst(w, r.rank)
	levels := c.levels[:0]
	levels = append(levels, capacityLevel{now, free})
	releases, amounts := c.releases(w, now), w.amounts
	for len(releases) > 0 || len(amounts) > 0 {
		if len(amounts) == 0 || len(releases) > 0 && !releases[0].freeAt.After(amounts[0].reservation.startAt) {
			free = free.Add(releases[0].size)
			levels = append(levels, capacityLevel{releases[0].freeAt, free})
			releases = releases[1:]
			continue
		}
		if amounts[0].reservation.step != s {
			free = free.Sub(amounts[0].size)
			levels = append(levels, capacityLevel{amounts[0].reservation.startAt, free})
		}
		amounts = amounts[1:]
	}
	c.levels = levels
	for i := len(levels) - 2; i >= 0; i-- { // what stays free
		levels[i].free = levels[i].free.Min(levels[i+1].free)
	}
	n := 0
	for _, l := range levels {
		for fits := min(most, fitCount(l.free, size)); n < fits; n++ {
			slots = append(slots, slot{l.from, w})
		}
	}
	return slots
}

// expectFree computes reservedAmount.free of the worker's amounts, once for each scheduling
// pass and after each placement on the worker.
func (c *Core) expectFree(w *worker, now time.Time) {
	if w.amountsIn == c.pass {
		return
	}
	w.amountsIn = c.pass
	free := w.free()
	releases := c.releases(w, now)
	for i := range w.amounts {
		a := &w.amounts[i]
		for len(releases) > 0 && !releases[0].freeAt.After(a.reservation.startAt) {
			free = free.Add(releases[0].size)
			releases = releases[1:]
		}
		a.free = free
	}
}

// forgetExpectations is called when a task is placed on the worker in this pass.
func (c *Core) forgetExpectations(w *worker) {
	if len(w.amounts) > 0 || c.policy.ReserveAmounts {
		w.amountsIn = nil
		delete(c.pass.releases, w)
	}
}

// fitBesideAmounts returns how many of n tasks of the step may start on the worker beside
// the amounts reserved for gangs of a better rank. Tasks may use reserved capacity that they
// are expected to release before it is needed. Urgent work does not wait for reservations.
func (c *Core) fitBesideAmounts(r rankedStep, w *worker, n int, now time.Time) int {
	if n == 0 || len(w.amounts) == 0 || r.rank.group == groupUrgent {
		return n
	}
	c.expectFree(w, now)
	s := r.step
	size := s.spec.RequiredCapacity()
	margin := float64(amountBackfillMargin)
	if w.isSlow() { // the large margin covers most of what a task takes longer there
		margin = max(margin, backfillMargin*w.speed.ratio)
	}
	end := now.Add(time.Duration(margin * float64(c.expectedInPass(s))))
	held := model.Resources{MilliCores: c.pass.headroomAgainst(w, r.rank)}
	for i := range w.amounts {
		a := &w.amounts[i]
		if !end.After(a.reservation.startAt) {
			break
		}
		if a.reservation.step == s || !a.reservation.rank.before(r.rank) {
			continue
		}
		held = held.Add(a.size)
		n = min(n, fitCount(a.free.Sub(held), size))
	}
	return n
}

// expectedInPass is expectedDuration, computed once for each scheduling pass.
func (c *Core) expectedInPass(s *step) time.Duration {
	if s.expectedIn != c.pass {
		s.expectedIn, s.expected = c.pass, c.expectedDuration(s)
	}
	return s.expected
}

// gangWorkersByAdvice returns the workers that a gang may use as far as speed, label and advice
// are known, in no particular order. Reservations and renewals of tickets choose from them.
func (c *Core) gangWorkersByAdvice(s *step, q *workload.Queue, workers []*worker) []*worker {
	out := c.workersBySpeed(s, c.allowedByAdvice(s, q, workers))
	if s.spec.Label == "" {
		return out
	}
	return slices.DeleteFunc(slices.Clone(out), func(w *worker) bool { return !s.matchesLabel(w) })
}

// reservedFor returns the workers with capacity reserved for a gang.
func (c *Core) reservedFor(s *step) []*worker {
	if res := c.reservations.byStep[s]; res != nil {
		return res.workers
	}
	var out []*worker
	for _, w := range c.reservedWorkers {
		if w.reservation != nil && w.reservation.step == s {
			out = append(out, w)
		}
	}
	return out
}

// beginPassReservations prepares the reservations for a scheduling pass and reports whether
// gangs without a reservation may get one in it.
func (c *Core) beginPassReservations(now time.Time) bool {
	if c.policy.ReserveAmounts {
		return c.beginReservations(now)
	}
	c.clearReservations()
	return true
}

// reserveFor reserves capacity for a gang that could not be placed, as the policy says.
func (c *Core) reserveFor(r rankedStep, now time.Time) {
	if c.policy.ReserveAmounts {
		c.reserveAmounts(r, now)
		return
	}
	c.reserve(r.step, now)
}

// fitToPlace returns how many more tasks of the step may be placed on a worker that was
// eligible at the beginning of the step's placement.
func (c *Core) fitToPlace(r rankedStep, w *worker) int {
	if !c.policy.ReserveAmounts {
		return c.fitBesideHeadroom(w, r.step, r.rank) // whole workers that are reserved are not eligible
	}
	return c.fitBesideOthers(r, w, c.pass.now)
}

package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// WaitReason is why tasks of a step that could start are not placed.
type WaitReason string

// The reasons, in the order in which they are checked.
const (
	WaitsForTeamLimit       WaitReason = "team's limit"
	WaitsForCapacity        WaitReason = "room"
	WaitsAfterCrashes       WaitReason = "retry after crashes"
	WaitsForGangReservation WaitReason = "room kept for a gang"
	WaitsForUrgentHeadroom  WaitReason = "room kept for better work"
	WaitsForAdvice          WaitReason = "advice"
	WaitsForRow             WaitReason = "room in the progress row"
	WaitsForPass            WaitReason = "next look for places"
)

// WaitReasons lists all reasons.
var WaitReasons = [...]WaitReason{
	WaitsForTeamLimit, WaitsForCapacity, WaitsAfterCrashes, WaitsForGangReservation, WaitsForUrgentHeadroom, WaitsForAdvice, WaitsForRow, WaitsForPass,
}

// Waiting sums up the waiting work.
type Waiting struct {
	Steps     int
	Tasks     map[WaitReason]int // of the steps examined, best rank first
	OldestAge time.Duration      // since the acceptance of the oldest job with a waiting step
	// IdleMilliCores is idle capacity on which waiting tasks fit. These tasks wait for
	// advice, for reserved capacity, or for the next scheduling pass. OpenMilliCores is
	// the capacity of all schedulable workers.
	IdleMilliCores, OpenMilliCores int64
}

// maxExplainedSteps limits the steps that Explain examines.
const maxExplainedSteps = 60

// Explain determines why tasks wait, from the steps of the latest scheduling pass. Load
// pattern: work waits while cores are idle, and the cause is not visible.
func (c *Core) Explain(now time.Time) Waiting {
	out := Waiting{Tasks: map[WaitReason]int{}}
	if len(c.ready) == 0 {
		return out
	}
	defer c.preservePass()()
	c.pass = c.newPass(now)
	for _, r := range c.ready {
		s := r.step
		if !s.startable() {
			continue
		}
		out.Steps++
		out.OldestAge = max(out.OldestAge, now.Sub(timeOfMillis(s.job.spec.AcceptedAt)))
		if out.Steps <= maxExplainedSteps {
			out.Tasks[c.waitReason(r)] += s.pending
		}
	}
	for _, s := range c.stepsAwaitingTurn() {
		out.Steps++
		out.OldestAge = max(out.OldestAge, now.Sub(timeOfMillis(s.job.spec.AcceptedAt)))
	}
	out.IdleMilliCores = c.idleMilliCores()
	for _, p := range c.pass.pools {
		out.OpenMilliCores += p.capacity
	}
	return out
}

// idleMilliCores returns the thousandths of a core that the waiting steps, best rank
// first, could use if advice and reservations were ignored. A gang counts only if all of
// its members fit, a step only within its team's limit.
func (c *Core) idleMilliCores() int64 {
	free := make(map[*worker]model.Resources)
	for _, p := range c.pass.pools {
		for _, w := range p.workers {
			free[w] = w.free()
		}
	}
	var idle int64
	examined := 0
	for _, r := range c.ready {
		s := r.step
		p := c.pass.pools[c.queueOf(s.job).Pool]
		if p == nil || !s.startable() || s.spec.BestEffort {
			continue
		}
		if examined++; examined > maxExplainedSteps {
			break
		}
		idle += s.takeIdle(c.workersBySpeed(s, p.workers), free, min(s.pending, c.fitInTeamLimit(s)))
	}
	return idle
}

// takeIdle subtracts the capacity for up to n tasks of the step from free and returns the
// thousandths of a core subtracted. It subtracts nothing for a gang that does not fit.
func (s *step) takeIdle(workers []*worker, free map[*worker]model.Resources, n int) int64 {
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
		if !s.matchesLabel(w) || s.advice.denied[w.info.ID] {
			continue
		}
		if k := min(left, fitCount(free[w], size)); k > 0 {
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

// waitReason returns why the next task of a step, or a gang as a whole, is not placed.
func (c *Core) waitReason(r rankedStep) WaitReason {
	s, q := r.step, c.queueOf(r.step.job)
	need := 1
	if s.spec.Gang {
		need = len(s.tasks)
	}
	if c.fitInTeamLimit(s) < need {
		return WaitsForTeamLimit
	}
	fits := c.fitByReason(r, q)
	for _, reason := range [...]WaitReason{WaitsForCapacity, WaitsAfterCrashes, WaitsForGangReservation, WaitsForUrgentHeadroom, WaitsForAdvice} {
		if fits[reason] < need {
			return reason
		}
	}
	if s.job.bytes()+need*(taskBytes+endGrowthBytes) > maxProgressBytes {
		return WaitsForRow
	}
	return WaitsForPass
}

// fitByReason counts for each reason how many tasks of the step still fit if this reason
// and those before it are taken into account.
func (c *Core) fitByReason(r rankedStep, q *workload.Queue) map[WaitReason]int {
	s, now := r.step, c.pass.now
	isolates, waits := s.isolates(), c.waitsAfterCrashes(s, q)
	fits := map[WaitReason]int{}
	p := c.pass.pools[q.Pool]
	if p == nil {
		return fits
	}
	for _, w := range c.workersBySpeed(s, p.workers) {
		if !s.matchesLabel(w) || s.advice.denied[w.info.ID] {
			continue
		}
		fits[WaitsForCapacity] += fitOnWorker(w, s)
		if waits || !w.acceptsBesideSuspects(isolates) {
			continue
		}
		fits[WaitsAfterCrashes] += fitOnWorker(w, s)
		if c.reservedForOther(s, w, r.rank, now) {
			continue
		}
		fits[WaitsForGangReservation] += c.fitBesideAmounts(r, w, fitOnWorker(w, s), now)
		n := c.fitBesideOthers(r, w, now)
		fits[WaitsForUrgentHeadroom] += n
		if q.Advice != nil {
			if _, ok := s.advice.validTicket(w, c.sendTime(now)); !ok {
				continue
			}
		}
		fits[WaitsForAdvice] += n
	}
	return fits
}

package dispatch

import (
	"sort"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// rankedStep is a step with tasks to start, and its rank.
type rankedStep struct {
	step *step
	rank rank
}

// readySteps returns the steps that could start tasks, ordered by rank; of those past their
// useful time only the ones whose turn it is. Services have no objective: a missing service
// task is always urgent, whatever the age of its job.
func (c *Core) readySteps(now time.Time) []rankedStep {
	var out []rankedStep
	for _, j := range c.toRank {
		if j.state.Final() || c.isSuspended(j) {
			continue
		}
		for _, o := range j.occurrences {
			if o.waitsForTurn() {
				c.park(j)
				continue
			}
			var r rank
			ranked := false
			for _, s := range o.steps {
				if !s.startable() || !o.dependenciesDone(s) {
					continue
				}
				if !ranked {
					r, ranked = c.rankOf(j, o, now), true
				}
				if o.pastUse(r, now) && !o.hasService() {
					c.addTurn(o, now)
					c.park(j)
					break
				}
				c.pastUse.remove(o)
				out = append(out, rankedStep{s, stepRank(s, r, now)})
			}
		}
	}
	out = c.appendTurns(out, now)
	sort.Slice(out, func(a, b int) bool {
		if out[a].rank != out[b].rank {
			return out[a].rank.before(out[b].rank)
		}
		x, y := out[a].step.id, out[b].step.id
		if x.Job != y.Job {
			return x.Job < y.Job
		}
		return x.Step < y.Step
	})
	return out
}

// stepRank returns the rank of a step of an occurrence with rank r.
func stepRank(s *step, r rank, now time.Time) rank {
	if s.spec.Service {
		return rank{group: groupUrgent, latestStart: now}
	}
	return r
}

// startable reports whether the step has tasks to start. A gang has none while members of
// its previous run may still be running.
func (s *step) startable() bool {
	return s.pending > 0 && !s.closed && (!s.spec.Gang || s.busy == 0) && !s.job.state.Final()
}

// schedulingPass holds what one scheduling pass computes once for all steps.
type schedulingPass struct {
	now   time.Time
	pools map[string]*poolState
	// urgentHeadroom is the capacity, in thousandths of a core, that each worker reserves
	// for urgent work.
	urgentHeadroom int64
	releases       map[*worker][]release
}

// poolState lists the schedulable workers of a pool, in no particular order.
type poolState struct {
	workers []*worker
	// maxFree is an upper bound of the free capacity of each worker. It is not lowered as
	// tasks are placed.
	maxFree model.Resources
	// used and capacity are sums over these workers, in thousandths of a core.
	used, capacity int64
	slow           int     // number of slow workers
	slowRatios     float64 // sum of their ratios
}

// newPass collects the schedulable workers.
func (c *Core) newPass(now time.Time) *schedulingPass {
	pass := &schedulingPass{now: now, pools: map[string]*poolState{}, releases: map[*worker][]release{}}
	n := 0
	for _, w := range c.workers {
		if !c.schedulable(w, now) {
			continue
		}
		n++
		w.schedulableIn = pass
		p := pass.pools[w.info.Pool]
		if p == nil {
			p = &poolState{}
			pass.pools[w.info.Pool] = p
		}
		w.poolIndex = len(p.workers)
		p.workers = append(p.workers, w)
		p.maxFree = p.maxFree.Max(w.free())
		p.used += w.used.MilliCores
		p.capacity += w.info.Capacity.MilliCores
		if w.isSlow() {
			p.slow++
			p.slowRatios += w.speed.ratio
		}
	}
	c.updatePeak(now)
	pass.urgentHeadroom = c.headroomPerWorker(n)
	return pass
}

// schedulable reports whether a worker accepts new tasks at all. One that has restarted
// under its ID may be of another kind, until its registration is read.
func (c *Core) schedulable(w *worker, now time.Time) bool {
	return w.registered && w.reachable && w.registrationIsCurrent() && !w.info.Draining && !c.evacuated[w.info.AZ] && !c.cordoned[w.info.ID] &&
		!now.Before(w.backoffUntil) && !now.Before(w.quarantineUntil) && !now.Before(c.suspectAZ[w.info.AZ])
}

// schedulableFor returns the schedulable workers of the queue's pool, without regard to
// advice and to the capacity of each worker. It returns nil if no worker of the pool has
// free capacity for one task of the step.
func (pass *schedulingPass) schedulableFor(s *step, q *workload.Queue) []*worker {
	p := pass.pools[q.Pool]
	if p == nil || !s.spec.RequiredCapacity().Fits(p.maxFree) {
		return nil
	}
	return p.workers
}

// matchesLabel reports whether the worker has the label that the step requires.
func (s *step) matchesLabel(w *worker) bool {
	return s.spec.Label == "" || w.info.HasLabel(s.spec.Label)
}

// RefreshReadySteps recomputes the steps with tasks to start and the schedulable workers.
// It places no tasks. Advice passes use its result.
func (c *Core) RefreshReadySteps(now time.Time) {
	changed := c.needsScheduling
	c.needsScheduling = false
	c.interference.advance(now)
	c.ready = c.readySteps(now)
	if changed { // steps that have had their turn may be placed now
		c.pastUse.left = len(c.pastUse.queue)
	}
	for _, r := range c.ready {
		r.step.advice.newTickets = false
	}
	c.updateSlowWorkers(now)
	c.pass = c.newPass(now)
}

// Schedule runs a scheduling pass: it places tasks in the order of their steps' ranks. It
// reports whether it placed any.
func (c *Core) Schedule(now time.Time) bool {
	c.RefreshReadySteps(now)
	placed := false
	mayReserve := c.beginPassReservations(now)
	for _, r := range c.ready {
		s := r.step
		if s.closed {
			continue
		}
		if !s.spec.Gang {
			placed = c.placeTasks(r) || placed
			continue
		}
		if !c.policy.ReserveAmounts {
			s.reservedFrom = time.Time{}
		}
		if c.placeGang(r) {
			placed = true
		} else if mayReserve && s.reservedFrom.IsZero() && r.rank.group <= groupLate && !c.waitsAfterCrashes(s, c.queueOf(s.job)) && c.fitInTeamLimit(s) >= len(s.tasks) {
			c.reserveFor(r, now)
		}
	}
	c.separateImages()
	c.pastUse.endTurn()
	return placed
}

// NeedsScheduling reports whether a scheduling pass may find a task to place.
func (c *Core) NeedsScheduling() bool { return c.needsScheduling || c.pastUse.left > 0 }

// fitOnWorker returns how many more tasks of the step fit into the worker's free
// capacity.
func fitOnWorker(w *worker, s *step) int {
	n := fitCount(w.free(), s.spec.RequiredCapacity())
	if size := s.bestEffortMilliCores(); size > 0 {
		n = min(n, int(max(0, w.free().MilliCores-w.bestEffortMilliCores)/size))
	}
	if limit := s.spec.MaxPerWorker; limit > 0 && n > 0 {
		n = min(n, limit-s.tasksOnWorker(w.info.ID))
	}
	return max(0, n)
}

// fitCount returns how many times size fits into free.
func fitCount(free, size model.Resources) int {
	n := int64(1 << 30)
	for _, c := range [...][2]int64{
		{free.MilliCores, size.MilliCores},
		{free.MemoryMB, size.MemoryMB},
		{free.Accelerators, size.Accelerators},
	} {
		if c[1] > 0 {
			n = min(n, c[0]/c[1])
		}
	}
	return int(max(0, n))
}

// tasksOnWorker counts the step's tasks that may be running on a worker.
func (s *step) tasksOnWorker(id string) int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].worker == id && s.tasks[i].state.mayRun() {
			n++
		}
	}
	return n
}

// fitInTeamLimit returns how many more tasks of the step the team's limit allows.
func (c *Core) fitInTeamLimit(s *step) int { return c.fitInTeamLimitBeside(s, model.Resources{}) }

// fitInTeamLimitBeside is like fitInTeamLimit, but subtracts other work that the team is
// about to start.
func (c *Core) fitInTeamLimitBeside(s *step, other model.Resources) int {
	if c.cell == nil {
		return 0
	}
	team := c.cell.Team(s.job.spec.Team)
	if team == nil {
		return len(s.tasks)
	}
	left := team.Limit.Sub(c.usage[team.Name]).Sub(other)
	size := s.spec.Resources
	// A zero component of the limit is unlimited.
	if team.Limit.MilliCores == 0 {
		size.MilliCores = 0
	}
	if team.Limit.MemoryMB == 0 {
		size.MemoryMB = 0
	}
	if team.Limit.Accelerators == 0 {
		size.Accelerators = 0
	}
	return fitCount(left, size)
}

// eligibleWorkers returns the workers that can take a task of the step now, in no
// particular order.
func (c *Core) eligibleWorkers(r rankedStep) []*worker {
	s, q := r.step, c.queueOf(r.step.job)
	workers := c.pass.schedulableFor(s, q)
	if len(workers) == 0 || q.Advice != nil && !c.sendTime(c.pass.now).Before(s.advice.lastExpiry) {
		return nil
	}
	var out []*worker
	isolates := s.spec.Gang && s.isolates()
	for _, w := range c.workersBySpeed(s, c.allowedByAdvice(s, q, workers)) {
		if !w.acceptsBesideSuspects(isolates) || !s.matchesLabel(w) || c.fitBesideOthers(r, w, c.pass.now) == 0 {
			continue
		}
		if q.Advice != nil {
			if _, ok := s.advice.validTicket(w, c.sendTime(c.pass.now)); !ok {
				continue
			}
		}
		out = append(out, w)
	}
	return out
}

// placeTasks starts as many single tasks of the step as fit, each on the worker with the
// best score. Load pattern: small tasks beside tasks of 9 to 30 cores. Filling the
// fullest workers first leaves whole workers free for gangs.
func (c *Core) placeTasks(r rankedStep) bool {
	s := r.step
	workers := c.eligibleWorkers(r)
	if len(workers) == 0 {
		return false
	}
	left := c.fitInTeamLimit(s)
	placed := false
	for i := range s.tasks {
		if s.tasks[i].state != taskPending {
			continue
		}
		if left <= 0 {
			break
		}
		t := &s.tasks[i]
		if t.retriesLater(c.pass.now) || t.isolates() && !c.mayIsolate(c.queueOf(s.job)) {
			continue
		}
		best := c.bestWorker(r, t, workers)
		if best == nil && t.isolates() {
			continue // others of the step may fit
		}
		if best == nil {
			break
		}
		if !c.fitsRow(s, t, best) {
			break
		}
		c.assign(s, i, best, t.run+1, t.checkpoint)
		c.notePlaced(r, i)
		left--
		placed = true
	}
	return placed
}

// bestWorker returns the worker with free capacity for a task and the lowest score, or nil.
func (c *Core) bestWorker(r rankedStep, t *task, workers []*worker) *worker {
	var best *worker
	var bestScore float64
	speed := c.speedPreference(r)
	for _, w := range workers {
		if c.fitToPlace(r, w) == 0 || !w.acceptsBesideSuspects(t.isolates()) {
			continue
		}
		score := c.placeScore(r.step, w) + w.suspectScore(t.crashCount) + speed.score(w)
		if t.isolates() {
			score += suspectPenalty * float64(c.youngRuns(w, r.step.job))
		}
		if best == nil || score < bestScore || score == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// Weights in the score of a worker, as shares of the worker's capacity.
const (
	avoidPenalty   = 4.0 // for each failure of the step on this worker
	farDataPenalty = 2.0 // the input data is on another rack
	awayPenalty    = 0.4 // the job's latest task was placed in another AZ
)

// placeScore rates a worker for a task of the step; lower is better. Load pattern: an AZ
// becomes unreachable, which delays every job with a task there. Keeping a job's tasks in
// one AZ limits the number of delayed jobs.
func (c *Core) placeScore(s *step, w *worker) float64 {
	left := w.free().Sub(s.spec.RequiredCapacity())
	score := left.DominantShare(w.info.Capacity) + avoidPenalty*float64(s.failuresByWorker[w.info.ID])
	if s.spec.DataRack != "" && s.spec.DataRack != w.info.Rack {
		score += farDataPenalty
	}
	if c.slow(w) {
		score += slowPenalty
	}
	if home := s.job.homeAZ; home != "" && home != w.info.AZ {
		score += awayPenalty
	}
	return score
}

// assign records a run on a worker. The start order is sent once the record is stored.
func (c *Core) assign(s *step, i int, w *worker, run int, checkpoint string) {
	now := c.pass.now
	t := &s.tasks[i]
	s.reserveStart(t, w)
	t.state, t.run, t.worker, t.address = taskAssigned, run, w.info.ID, w.info.Address
	t.incarnation, t.startedOn = w.incarnation, w.incarnation
	t.startConfirmed, t.percent, t.progressedAt = time.Time{}, 0, time.Time{}
	t.speedFrom, t.speedFromPercent = time.Time{}, 0
	t.load, t.throttlePercent = 0, fullSpeed
	s.pending--
	s.busy++
	t.startedApart = t.isolates() && c.youngRuns(w, s.job) == 0
	c.chargeTask(w, s, i)
	c.forgetExpectations(w)
	j := s.job
	c.unpark(j)
	j.homeAZ = w.info.AZ
	token := c.useTicket(&s.advice, w, now)
	j.starts = append(j.starts, Start{Worker: w.info, DecidedAt: now, Order: workload.StartOrder{
		Run: workload.Run{Task: s.taskID(i), Number: run}, Incarnation: w.incarnation, Spec: j.spec.Spec, Checkpoint: checkpoint, Ticket: token,
	}})
	c.markDirty(j)
	c.emit("run assigned", "task", s.taskID(i).String(), "run", run, "worker", w.info.ID, "born", w.incarnation,
		"age", now.Sub(timeOfMillis(j.spec.AcceptedAt)), "estimate", s.spec.Estimate, "checkpoint", checkpoint != "")
}

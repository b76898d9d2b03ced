package dispatch

import (
	"sort"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// rankedStep is a step with tasks to start.
type rankedStep struct {
	step *step
	rank rank
}

// readySteps returns the steps that could start tasks, in order of rank. Services
// have no due time; what is missing of one is missed at once, however old its job.
func (c *Core) readySteps(now time.Time) []rankedStep {
	var out []rankedStep
	for _, j := range c.active {
		if j.state.Final() {
			continue
		}
		for _, o := range j.occ {
			var r rank
			ranked := false
			for _, s := range o.steps {
				if !s.startable() || !o.ready(s) {
					continue
				}
				if !ranked {
					r, ranked = c.rankOf(j, o, now), true
				}
				if s.spec.Service {
					out = append(out, rankedStep{s, rank{groupUrgent, now}})
					continue
				}
				out = append(out, rankedStep{s, r})
			}
		}
	}
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

// startable reports whether the step has tasks to start. A gang has none while
// members of its last run may be running.
func (s *step) startable() bool {
	return s.pending > 0 && (!s.spec.Gang || s.busy == 0) && !s.job.state.Final()
}

// round is what one Schedule works out once for all steps.
type round struct {
	now   time.Time
	pools map[string]*pool
	// kept is the thousandths of a core that each worker keeps for urgent work.
	kept     int64
	releases map[*worker][]release
}

// pool lists the workers of a pool on which tasks may start now, in no particular
// order.
type pool struct {
	workers []*worker
	// most bounds the free capacity of each worker. It is not lowered as tasks are
	// placed, so it is an upper bound.
	most model.Resources
	// used and capacity are thousandths of a core, over these workers.
	used, capacity int64
}

// newRound collects the workers on which tasks may start.
func (c *Core) newRound(now time.Time) *round {
	r := &round{now: now, pools: map[string]*pool{}, releases: map[*worker][]release{}}
	n := 0
	for _, w := range c.workers {
		if !c.open(w, now) {
			continue
		}
		n++
		w.openIn = r
		p := r.pools[w.info.Pool]
		if p == nil {
			p = &pool{}
			r.pools[w.info.Pool] = p
		}
		w.place = len(p.workers)
		p.workers = append(p.workers, w)
		p.most = p.most.Max(w.free())
		p.used += w.used.MilliCores
		p.capacity += w.info.Capacity.MilliCores
	}
	c.updatePeak(now)
	r.kept = c.keep(n)
	return r
}

// open reports whether tasks of any kind may start on a worker.
func (c *Core) open(w *worker, now time.Time) bool {
	return w.listed && w.contact && !w.info.Draining && !c.evacuated[w.info.AZ] && !c.cordoned[w.info.ID] &&
		!now.Before(w.backoff) && !now.Before(w.quarantine) && !now.Before(c.suspectAZ[w.info.AZ])
}

// eligible returns the workers on which tasks of the step may start, leaving
// aside room and advice. It is empty if no worker has room for one task.
func (r *round) eligible(s *step, q *workload.Queue) []*worker {
	p := r.pools[q.Pool]
	if p == nil || !s.spec.RequiredCapacity().Fits(p.most) {
		return nil
	}
	return p.workers
}

// takes reports whether a worker carries the label that the step needs.
func (s *step) takes(w *worker) bool { return s.spec.Label == "" || w.info.HasLabel(s.spec.Label) }

// RefreshReadySteps works out anew which steps wait and where tasks may start, without
// placing any. Advice is asked for by it.
func (c *Core) RefreshReadySteps(now time.Time) {
	c.changed = false
	c.order = c.readySteps(now)
	for _, r := range c.order {
		r.step.advice.news = false
	}
	c.round = c.newRound(now)
}

// Schedule places what can start, best rank first, and reports whether it
// placed anything.
func (c *Core) Schedule(now time.Time) bool {
	c.RefreshReadySteps(now)
	placed := false
	c.dropHolds()
	for _, r := range c.order {
		s := r.step
		if !s.spec.Gang {
			placed = c.placeTasks(r) || placed
			continue
		}
		s.heldFrom = time.Time{}
		if c.placeGang(r) {
			placed = true
		} else if r.rank.group <= groupLate && c.teamRoom(s) >= len(s.tasks) {
			c.reserve(s, now)
		}
	}
	return placed
}

// NeedsScheduling reports whether Schedule may find something new to place.
func (c *Core) NeedsScheduling() bool { return c.changed }

// fits returns how many more tasks of the step the worker has room for.
func fits(w *worker, s *step) int {
	n := copies(w.free(), s.spec.RequiredCapacity())
	if size := s.filledCores(); size > 0 {
		n = min(n, int(max(0, w.free().MilliCores-w.filled)/size))
	}
	if limit := s.spec.MaxPerWorker; limit > 0 {
		n = min(n, limit-s.onWorker(w.info.ID))
	}
	return max(0, n)
}

// copies returns how many times size fits into room.
func copies(room, size model.Resources) int {
	n := int64(1 << 30)
	for _, c := range [...][2]int64{
		{room.MilliCores, size.MilliCores},
		{room.MemoryMB, size.MemoryMB},
		{room.Accelerators, size.Accelerators},
	} {
		if c[1] > 0 {
			n = min(n, c[0]/c[1])
		}
	}
	return int(max(0, n))
}

// onWorker counts the step's tasks that may be running on a worker.
func (s *step) onWorker(id string) int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].worker == id && s.tasks[i].state.occupies() {
			n++
		}
	}
	return n
}

// teamRoom returns how many more tasks of the step its team's limit allows.
func (c *Core) teamRoom(s *step) int { return c.teamRoomBeside(s, model.Resources{}) }

// teamRoomBeside is teamRoom beside other work that the team is about to start.
func (c *Core) teamRoomBeside(s *step, other model.Resources) int {
	if c.cell == nil {
		return 0
	}
	team := c.cell.Team(s.job.spec.Team)
	if team == nil {
		return len(s.tasks)
	}
	left := team.Limit.Sub(c.usage[team.Name]).Sub(other)
	size := s.spec.Resources
	// A zero component of the limit means none.
	if team.Limit.MilliCores == 0 {
		size.MilliCores = 0
	}
	if team.Limit.MemoryMB == 0 {
		size.MemoryMB = 0
	}
	if team.Limit.Accelerators == 0 {
		size.Accelerators = 0
	}
	return copies(left, size)
}

// candidates returns the workers on which the step may start now, with room, in
// no particular order.
func (c *Core) candidates(r rankedStep) []*worker {
	s, q := r.step, c.queueOf(r.step.job)
	workers := c.round.eligible(s, q)
	if len(workers) == 0 || q.Advice != nil && !c.arrival(c.round.now).Before(s.advice.expires) {
		return nil
	}
	var out []*worker
	for _, w := range c.allowed(s, q, workers) {
		if q.Advice != nil {
			if _, ok := s.advice.valid(w, c.arrival(c.round.now)); !ok {
				continue
			}
		}
		if s.takes(w) && !c.held(s, w, r.rank, c.round.now) && c.room(w, s, r.rank) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// placeTasks starts as many single tasks of the step as there is room for, each
// on the worker that it fills best. Load pattern: small tasks between tasks of
// 9 to 30 cores; filling the fullest workers keeps whole ones free for gangs.
func (c *Core) placeTasks(r rankedStep) bool {
	s := r.step
	workers := c.candidates(r)
	if len(workers) == 0 {
		return false
	}
	left := c.teamRoom(s)
	placed := false
	for i := range s.tasks {
		if s.tasks[i].state != taskPending {
			continue
		}
		if left <= 0 {
			break
		}
		best := c.bestWorker(r, workers)
		if best == nil {
			break
		}
		c.assign(s, i, best, s.tasks[i].run+1, s.tasks[i].saved)
		left--
		placed = true
	}
	return placed
}

// bestWorker returns the worker with room and the lowest score, or nil.
func (c *Core) bestWorker(r rankedStep, workers []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if c.room(w, r.step, r.rank) == 0 {
			continue
		}
		score := c.placeScore(r.step, w)
		if best == nil || score < bestScore || score == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// Weights of a worker's score, in shares of a worker's capacity.
const (
	avoidPenalty   = 4.0 // for each failure of the step there
	farDataPenalty = 2.0 // the input is on another rack
	awayPenalty    = 0.4 // other tasks of the job are in another AZ
)

// placeScore rates a worker for a task of the step; the lowest is best. Load
// pattern: an AZ that is cut off. It holds up every job that has a task there, so
// a job's tasks stay together.
func (c *Core) placeScore(s *step, w *worker) float64 {
	left := w.free().Sub(s.spec.RequiredCapacity())
	score := left.DominantShare(w.info.Capacity) + avoidPenalty*float64(s.avoid[w.info.ID])
	if s.spec.DataRack != "" && s.spec.DataRack != w.info.Rack {
		score += farDataPenalty
	}
	if c.slow(w) {
		score += slowPenalty
	}
	if home := s.job.home; home != "" && home != w.info.AZ {
		score += awayPenalty
	}
	return score
}

// assign records a run on a worker. Its order is sent once the record is stored.
func (c *Core) assign(s *step, i int, w *worker, run int, checkpoint string) {
	now := c.round.now
	t := &s.tasks[i]
	t.state, t.run, t.worker, t.born = taskAssigned, run, w.info.ID, w.born
	t.confirmed, t.percent, t.progressed = time.Time{}, 0, time.Time{}
	t.paceFrom, t.pacePercent = time.Time{}, 0
	t.load, t.paced = 0, paceFull
	s.pending--
	s.busy++
	c.occupy(w, s, i)
	j := s.job
	j.home = w.info.AZ
	text := c.use(&s.advice, w, now)
	j.starts = append(j.starts, Start{Worker: w.info, Order: workload.StartOrder{
		Run: workload.Run{Task: s.taskID(i), Number: run}, Spec: j.spec.Spec, Checkpoint: checkpoint, Ticket: text,
	}})
	c.touch(j)
	c.emit("run assigned", "task", s.taskID(i).String(), "run", run, "worker", w.info.ID,
		"age", now.Sub(millisOf(j.spec.AcceptedAt)), "estimate", s.spec.Estimate, "checkpoint", checkpoint != "")
}

package dispatch

import "slices"

// interferencePenalty times the slowdown (less 1) that a task would cause and suffer on a worker
// is added to the worker's score, in shares of its capacity. A slowdown of a tenth weighs as
// much as a fifth of a worker that stays idle.
const interferencePenalty = 2.0

// placedTask is a task that the current pass has placed.
type placedTask struct {
	rankedStep
	index int
}

// notePlaced remembers a task that separateImages may move.
func (c *Core) notePlaced(r rankedStep, i int) {
	if in := c.interference; in != nil && len(in.partners[r.step.spec.Image]) > 0 {
		in.placed = append(in.placed, placedTask{r, i})
	}
}

// neighbourPenalty rates the images on a worker as neighbours of the step's tasks; lower is
// better. The task itself does not count if it is on the worker.
func (c *Core) neighbourPenalty(s *step, w *worker, own bool) float64 {
	penalty := 0.0
	for _, p := range c.interference.partners[s.spec.Image] {
		b := c.interference.byName[p.name]
		if b == nil {
			continue
		}
		itself := 0
		if own && p.name == s.spec.Image {
			itself = 1
		}
		for i := range w.images {
			if w.images[i].image == b.index && w.images[i].tasks > itself {
				penalty += interferencePenalty * p.cost
			}
		}
	}
	return penalty
}

// separateImages moves tasks that this pass has placed beside an image that they should be kept
// apart from, to workers that still have free capacity. No start is stored or sent yet. Load
// pattern: tasks of images that slow each other down, in a cell with free capacity.
//
// It runs at the end of the pass. A preference during the pass would spread tasks over more
// workers and could leave no room for a large task later in the order; capacity that is free
// at the end was of no use to any step of the pass.
func (c *Core) separateImages() {
	in := c.interference
	if in == nil || len(in.placed) == 0 {
		return
	}
	var eligible []*worker
	var of *step
	for _, p := range in.placed {
		s, t := p.step, &p.step.tasks[p.index]
		from := c.workers[t.worker]
		if from == nil || t.state != taskAssigned || t.crashes > 0 || s.closed || c.neighbourPenalty(s, from, true) == 0 {
			continue
		}
		if of != s {
			of, eligible = s, c.eligibleWorkers(p.rankedStep)
		}
		if best := c.quieterWorker(p.rankedStep, from, eligible); best != nil && c.fitsRow(s, t, best) {
			c.moveStart(s, p.index, best)
		}
	}
	in.placed = in.placed[:0]
}

// quieterWorker returns the worker with free capacity for a task that has the lowest score with
// the penalty for neighbours, or nil if that is not lower than on the task's own worker.
func (c *Core) quieterWorker(r rankedStep, from *worker, workers []*worker) *worker {
	s := r.step
	var best *worker
	speed := c.speedPreference(r)
	from.used = from.used.Sub(s.spec.RequiredCapacity()) // as if the task were not placed yet
	bestScore := c.placeScore(s, from) + speed.score(from) + c.neighbourPenalty(s, from, true)
	from.used = from.used.Add(s.spec.RequiredCapacity())
	for _, w := range workers {
		if w == from || c.fitBesideOthers(r, w, c.pass.now) == 0 {
			continue
		}
		score := c.placeScore(s, w) + speed.score(w) + c.neighbourPenalty(s, w, false)
		if score < bestScore || best != nil && score == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// moveStart assigns a task to another worker before its start is stored.
func (c *Core) moveStart(s *step, i int, to *worker) {
	t, j, id := &s.tasks[i], s.job, s.taskID(i)
	run, checkpoint, due := t.run, t.checkpoint, c.needsScheduling
	c.emit("start moved to keep images apart", "task", id.String(), "run", run, "from", t.worker, "to", to.info.ID)
	j.starts = slices.DeleteFunc(j.starts, func(st Start) bool { return st.Order.Run.Task == id })
	c.releaseTask(s, i)
	t.state = taskPending
	s.pending++
	c.assign(s, i, to, run, checkpoint)
	c.needsScheduling = due // the pass found no use for the capacity that was exchanged
}

package dispatch

import (
	"errors"
	"time"

	"cuminloft/internal/workload"
)

// Pauses before a worker that refused a start is tried again.
const (
	unhealthyBackoff = time.Second
	noRoomBackoff    = 500 * time.Millisecond
)

// startFailed takes note that a start was refused, or got no answer: then the
// run is stopped, which bars it from arriving late.
func (c *Core) startFailed(s *step, i int, w *worker, err error, now time.Time) {
	if errors.Is(err, workload.ErrNoAnswer) {
		c.stop(s, i)
		return
	}
	switch {
	case errors.Is(err, workload.ErrReplaced):
		c.HandleReplaced(s.tasks[i].worker, now)
		return
	case errors.Is(err, workload.ErrBadTicket):
		s.advice.drop(s.tasks[i].worker)
		c.account.TicketsRefused++
	case errors.Is(err, workload.ErrInsufficientCapacity):
		w.backoff = now.Add(noRoomBackoff)
	case errors.Is(err, workload.ErrUnhealthy):
		w.backoff = now.Add(unhealthyBackoff)
	}
	c.ended(s, i, workload.RunStopped, "", now)
}

// HandleStopResult takes in the answer to a stop order.
func (c *Core) HandleStopResult(o StopOrder, err error, now time.Time) {
	_, t := c.find(o.Run.Task)
	if t == nil || t.run != o.Run.Number || t.worker != o.Worker.ID || t.state != taskStopping {
		return
	}
	if err == nil {
		t.stopped = now
	}
	if errors.Is(err, workload.ErrReplaced) {
		c.HandleReplaced(o.Worker.ID, now)
	}
}

// stopRetry is the pause before an unanswered or ineffective stop is repeated.
const stopRetry = 800 * time.Millisecond

// Tick does what is due with time: leaving workers are emptied, stops are sent and
// repeated, leases run out, stalled tasks are moved, occurrences come due.
func (c *Core) Tick(now time.Time) {
	c.changed = c.changed || len(c.active) > 0 // pauses of workers may be over
	for _, w := range c.workers {
		c.tickLeaving(w, now)
	}
	if c.stopsDue || now.Sub(c.tasksTicked) >= tasksPause {
		c.stopsDue, c.tasksTicked = false, now
		c.tickTasks(now)
	}
	for _, j := range c.active {
		if j.nextOcc < j.spec.Occurrences() && !j.state.Final() {
			c.openOccurrences(j, now)
		}
	}
}

// tasksPause is how often all tasks are looked at if none is to be stopped.
const tasksPause = 150 * time.Millisecond

// tickTasks does what is due of tasks that may be running.
func (c *Core) tickTasks(now time.Time) {
	for _, w := range c.workers {
		if len(w.tasks) == 0 {
			continue
		}
		if !w.contact && !w.leaseOver.IsZero() && now.After(w.leaseOver) {
			c.emit("leases on worker are over", "worker", w.info.ID, "lost tasks", len(w.tasks))
			c.loseTasks(w, now)
			continue
		}
		for id := range w.tasks {
			if s, t := c.find(id); t != nil {
				c.tickTask(w, s, id, t, now)
			}
		}
	}
}

// Detecting tasks that stand still.
const (
	stallLeast = 2500 * time.Millisecond // shortest time without progress that counts
	// stallShare of a task's estimate without a percent of progress counts.
	stallShare = 0.15
)

func (c *Core) tickTask(w *worker, s *step, id workload.TaskID, t *task, now time.Time) {
	if t.state == taskStopping {
		if w.info.Address != "" && now.Sub(t.stopSent) >= stopRetry {
			t.stopSent = now
			c.stops = append(c.stops, StopOrder{w.info, workload.Run{Task: id, Number: t.run}})
		}
		return
	}
	if t.state != taskRunning || !w.contact || s.spec.Service || t.progressed.IsZero() {
		return
	}
	if s.spec.Gang && t.percent >= 100 {
		return // it waits for slower members
	}
	limit := max(stallLeast, time.Duration(stallShare*float64(s.spec.Estimate)))
	if now.Sub(t.progressed) < limit {
		return
	}
	c.emit("stalled run moved", "task", id.String(), "run", t.run, "worker", w.info.ID,
		"percent", t.percent, "still for", now.Sub(t.progressed))
	w.note(true, now)
	if s.avoid == nil {
		s.avoid = map[string]int{}
	}
	s.avoid[w.info.ID]++
	c.stop(s, id.Index)
}

package dispatch

import (
	"errors"
	"time"

	"cuminloft/internal/workload"
)

// How long a worker gets no tasks after it refused a start.
const (
	unhealthyBackoff  = time.Second
	noCapacityBackoff = 500 * time.Millisecond
)

// HandleStartResult applies the answer to a start order.
func (c *Core) HandleStartResult(st Start, err error, now time.Time) {
	run := st.Order.Run
	s, t := c.findTask(run.Task)
	if t == nil || t.run != run.Number || t.worker != st.Worker.ID || t.state == taskDone {
		return
	}
	w := c.workers[t.worker]
	if err == nil {
		t.startConfirmed = now
		s.job.begin()
		if t.state == taskAssigned {
			t.state = taskRunning
			t.progressedAt, t.percent = now, 0
			if t.run == 1 {
				t.speedFrom, t.speedFromPercent = now, 0 // it starts without a checkpoint
			}
		}
		return
	}
	c.emit("start refused", "task", run.Task.String(), "run", run.Number, "worker", st.Worker.ID,
		"born", st.Order.Incarnation, "lease until", st.Order.LeaseUntil, "cause", err.Error())
	c.handleStartError(s, run.Task.Index, w, st, err, now)
}

// handleStartError handles a start that was refused or not answered. A run whose start
// was not answered is stopped, so that a delayed start order has no effect.
func (c *Core) handleStartError(s *step, i int, w *worker, st Start, err error, now time.Time) {
	if errors.Is(err, workload.ErrNoAnswer) {
		c.stop(s, i)
		return
	}
	switch {
	case errors.Is(err, workload.ErrReplaced):
		// Unless an earlier order was lost, this one did not reach the worker.
		s.tasks[i].startSent = !w.unansweredAt.IsZero()
		c.HandleReplaced(w.info.ID, st.Worker.Address, now)
		return
	case errors.Is(err, workload.ErrRestarted):
		if w.reachable && w.incarnation == st.Order.Incarnation {
			w.reachable, w.unreachableSince = false, now
			c.emit("worker restarted unnoticed", "worker", w.info.ID, "born", w.incarnation, "tasks", len(w.tasks))
		}
	case errors.Is(err, workload.ErrBadTicket):
		s.advice.dropTicket(s.tasks[i].worker)
		c.adviceStats.TicketsRefused++
	case errors.Is(err, workload.ErrInsufficientCapacity):
		w.backoffUntil = now.Add(noCapacityBackoff)
	case errors.Is(err, workload.ErrUnhealthy):
		w.backoffUntil = now.Add(unhealthyBackoff)
	}
	c.runEnded(s, i, workload.RunStopped, now)
}

// HandleStopResult applies the answer to a stop order.
func (c *Core) HandleStopResult(o StopOrder, err error, now time.Time) {
	_, t := c.findTask(o.Run.Task)
	if t == nil || t.run != o.Run.Number || t.worker != o.Worker.ID || t.state != taskStopping {
		return
	}
	if err == nil {
		t.stopConfirmed = now
	}
	if errors.Is(err, workload.ErrReplaced) {
		c.HandleReplaced(o.Worker.ID, o.Worker.Address, now)
	}
}

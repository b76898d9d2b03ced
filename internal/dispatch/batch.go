package dispatch

import (
	"math"
	"time"

	"cuminloft/internal/workload"
)

// Batch is the progress of jobs to store together, and what follows once they
// are stored.
type Batch struct {
	Progress []workload.JobProgress
	starts   []Start
	shown    map[*job]workload.State
	acks     map[string]int64
}

// TakeBatch returns the changes to store next, of at most so many jobs and about
// so many bytes, or nil when there are none.
func (c *Core) TakeBatch(jobs, bytes int) *Batch {
	if len(c.dirty) == 0 {
		for _, w := range c.unacked {
			c.ack(w, w.applied)
		}
		return nil
	}
	b := &Batch{shown: map[*job]workload.State{}}
	size := 0
	for len(c.dirty) > 0 && len(b.Progress) < jobs && size < bytes {
		j := c.dirty[0]
		c.dirty = c.dirty[1:]
		j.dirty = false
		data := j.encode()
		size += len(data)
		b.Progress = append(b.Progress, workload.JobProgress{Job: j.spec.ID, Data: data})
		b.shown[j] = j.state
		b.starts = append(b.starts, j.starts...)
		j.starts = nil
	}
	if len(c.dirty) == 0 {
		b.acks = make(map[string]int64, len(c.unacked))
		for id, w := range c.unacked {
			b.acks[id] = w.applied
		}
	}
	return b
}

// TakeSnapshot returns the progress of all jobs whose rows are whole, to be stored in place
// of all that was stored before.
func (c *Core) TakeSnapshot() *Batch {
	for _, j := range c.jobs {
		if !j.marked {
			c.touch(j)
		}
	}
	if b := c.TakeBatch(math.MaxInt, math.MaxInt); b != nil {
		return b
	}
	return &Batch{}
}

// ack takes note that a worker's ends up to seq are stored.
func (c *Core) ack(w *worker, seq int64) {
	w.acked = seq
	c.touched[w.info.ID] = true
	if w.acked == w.applied {
		delete(c.unacked, w.info.ID)
	}
}

// HandleStored takes note that a batch is stored and returns the starts to send: those
// whose task still waits for them.
func (c *Core) HandleStored(b *Batch) []Start {
	for j, state := range b.shown {
		j.shown = state
	}
	for id, seq := range b.acks {
		if w := c.workers[id]; w != nil && seq > w.acked && seq <= w.applied {
			c.ack(w, seq)
		}
	}
	var out []Start
	for _, st := range b.starts {
		s, t := c.find(st.Order.Run.Task)
		if t == nil || t.run != st.Order.Run.Number {
			continue
		}
		if t.state == taskStopping && t.confirmed.IsZero() && t.stopSent.IsZero() {
			// Stopped before it was sent: nothing runs there.
			c.ended(s, st.Order.Run.Task.Index, workload.RunStopped, "", time.Time{})
			continue
		}
		if t.state == taskAssigned {
			out = append(out, st)
		}
	}
	return out
}

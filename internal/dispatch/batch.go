package dispatch

import (
	"math"
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// Batch is the progress of several jobs to store together, and the effects that become
// due once it is stored.
type Batch struct {
	Progress     []workload.JobProgress
	starts       []Start
	storedStates map[*job]workload.State
	acks         map[string]storedEnds // by worker
}

// storedEnds are the ends of a worker's incarnation up to a sequence number.
type storedEnds struct{ incarnation, seq int64 }

// TakeBatch returns the changes to store next, or nil if there are none. A batch has at
// most maxJobs jobs and about maxBytes bytes.
func (c *Core) TakeBatch(maxJobs, maxBytes int) *Batch {
	if len(c.dirtyJobs) == 0 {
		for id, w := range c.unacked {
			if seq := min(w.appliedSeq, c.ackLimit(id)); seq > w.ackedSeq || seq == w.appliedSeq {
				c.ackEnds(w, seq)
			}
		}
		return nil
	}
	b := &Batch{storedStates: map[*job]workload.State{}}
	size := 0
	for len(c.dirtyJobs) > 0 && len(b.Progress) < maxJobs && size < maxBytes {
		j := c.dirtyJobs[0]
		c.dirtyJobs = c.dirtyJobs[1:]
		j.dirty, j.unstoredOutlived = false, time.Time{}
		data := j.encode()
		size += len(data)
		b.Progress = append(b.Progress, workload.JobProgress{Job: j.spec.ID, Data: data})
		b.storedStates[j] = j.state
		b.starts = append(b.starts, j.starts...)
		j.starts = nil
	}
	if len(c.dirtyJobs) == 0 {
		b.acks = make(map[string]storedEnds, len(c.unacked))
		for id, w := range c.unacked {
			b.acks[id] = storedEnds{w.incarnation, min(w.appliedSeq, c.ackLimit(id))}
		}
	}
	return b
}

// Split returns the batch in two halves. Ends are not acknowledged with either: some of them
// are in the other half.
func (b *Batch) Split() (first, second *Batch) {
	half := len(b.Progress) / 2
	inFirst := map[string]bool{}
	for _, p := range b.Progress[:half] {
		inFirst[p.Job] = true
	}
	first = &Batch{Progress: b.Progress[:half], storedStates: map[*job]workload.State{}}
	second = &Batch{Progress: b.Progress[half:], storedStates: map[*job]workload.State{}}
	part := func(job string) *Batch {
		if inFirst[job] {
			return first
		}
		return second
	}
	for j, state := range b.storedStates {
		part(j.spec.ID).storedStates[j] = state
	}
	for _, st := range b.starts {
		p := part(st.Order.Run.Task.Job)
		p.starts = append(p.starts, st)
	}
	return first, second
}

// TakeSnapshot returns the progress of all jobs without a tombstone. It replaces all
// progress stored before.
func (c *Core) TakeSnapshot() *Batch {
	for _, j := range c.jobs {
		if !j.hasTombstone {
			c.markDirty(j)
		}
	}
	b := c.TakeBatch(math.MaxInt, math.MaxInt)
	if b == nil {
		b = &Batch{}
	}
	for id := range c.suspended {
		if !b.holds(id) {
			b.Progress = append(b.Progress, workload.JobProgress{Job: id, Data: []byte(unreadableProgress)})
		}
	}
	for id, progress := range c.held {
		b.Progress = append(b.Progress, workload.JobProgress{Job: id, Data: progress})
	}
	return b
}

// holds reports whether the batch has the progress of a job.
func (b *Batch) holds(job string) bool {
	return slices.ContainsFunc(b.Progress, func(p workload.JobProgress) bool { return p.Job == job })
}

// ackEnds records that a worker's ends up to sequence number seq are stored.
func (c *Core) ackEnds(w *worker, seq int64) {
	w.ackedSeq = seq
	c.changedWorkers[w.info.ID] = true
	if w.ackedSeq == w.appliedSeq {
		delete(c.unacked, w.info.ID)
	}
}

// HandleStored handles a stored batch. It returns the starts to send now, without those whose
// task has been stopped or reassigned since, or no longer fits its worker.
func (c *Core) HandleStored(b *Batch, now time.Time) []Start {
	c.storeAnswered = true
	for j, state := range b.storedStates {
		j.storedState = state
		c.resume(j)
	}
	for id, ends := range b.acks {
		if w := c.workers[id]; w != nil && w.incarnation == ends.incarnation && ends.seq > w.ackedSeq && ends.seq <= w.appliedSeq {
			c.ackEnds(w, ends.seq)
		}
	}
	c.withdrawUnfit(b.starts)
	var out []Start
	for _, st := range b.starts {
		s, t := c.findTask(st.Order.Run.Task)
		if t == nil || t.run != st.Order.Run.Number {
			continue
		}
		if t.state == taskStopping && t.startConfirmed.IsZero() && t.stopSentAt.IsZero() {
			// It was stopped before its start was sent, so nothing runs.
			c.runEnded(s, st.Order.Run.Task.Index, workload.RunStopped, time.Time{})
			continue
		}
		if t.state == taskAssigned {
			t.startSent, t.startSentAt = true, now
			out = append(out, st)
		}
	}
	return out
}

// HandleRenewal records that the store has answered a commit without a batch.
func (c *Core) HandleRenewal() { c.storeAnswered = true }

// withdrawUnfit withdraws the starts whose worker's capacity has shrunk since they were
// decided: a start waits for a commit.
func (c *Core) withdrawUnfit(starts []Start) {
	for _, st := range starts {
		run := st.Order.Run
		s, t := c.findTask(run.Task)
		if t == nil || t.run != run.Number || t.state != taskAssigned {
			continue
		}
		w, size := c.workers[t.worker], s.spec.RequiredCapacity()
		if w == nil || fitCount(w.free().Add(size), size) > 0 {
			continue
		}
		c.emit("start withdrawn", "task", run.Task.String(), "run", run.Number, "worker", w.info.ID,
			"used millicores", w.used.MilliCores, "of millicores", w.info.Capacity.MilliCores)
		c.runEnded(s, run.Task.Index, workload.RunStopped, time.Time{})
	}
}

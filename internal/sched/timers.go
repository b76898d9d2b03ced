package sched

import (
	"container/heap"
	"time"
)

// timerKind is what a timer is for.
type timerKind uint8

const (
	timerWorker      timerKind = iota // a pause or a probe of a worker is due
	timerMaxWait                      // a job has waited as long as it may
	timerRestart                      // a failed task may start again
	timerPreempt                      // a preempted attempt goes to its next step
	timerReservation                  // a reservation has lasted as long as it may
	timerPass                         // look at all pending work again
	timerHelp                         // help the job that is farthest below its share
)

// timer is one thing to do at a time. It names what it is about; whether it
// is still due is checked when it fires, so timers are never searched for.
type timer struct {
	at   time.Time
	seq  uint64 // equal times fire in the order of setting
	kind timerKind

	worker  *worker
	job     *job
	attempt *attempt
	index   int // of the task, for timerRestart
}

// timers is a heap, the next one first.
type timers struct {
	list []timer
	seq  uint64
}

func (t *timers) Len() int { return len(t.list) }

func (t *timers) Less(i, j int) bool {
	a, b := &t.list[i], &t.list[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.seq < b.seq
}

func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { t.list = append(t.list, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(t.list) - 1
	x := t.list[last]
	t.list[last] = timer{}
	t.list = t.list[:last]
	return x
}

func (t *timers) add(x timer) {
	t.seq++
	x.seq = t.seq
	heap.Push(t, x)
}

func (t *timers) push(at time.Time, kind timerKind, w *worker, j *job, a *attempt) {
	t.add(timer{at: at, kind: kind, worker: w, job: j, attempt: a})
}

// fireTimers does everything that is due by now.
func (c *Core) fireTimers() {
	for len(c.timers.list) > 0 && !c.timers.list[0].at.After(c.now) {
		c.fire(heap.Pop(&c.timers).(timer))
	}
}

func (c *Core) fire(t timer) {
	switch t.kind {
	case timerWorker:
		c.workerTimer(t.worker)
	case timerMaxWait:
		c.waitedTooLong(t.job)
	case timerRestart:
		c.restartDue(t.job, t.index)
	case timerPreempt:
		c.escalate(t.attempt)
	case timerReservation:
		c.reservationOver(t.job)
	case timerPass:
		c.passAll = true
		c.direct.wakeArmed = false
	case timerHelp:
		c.helpDue, c.helpArmed = true, false
	}
}

package sched

import (
	"container/heap"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerWorker      timerKind = iota // a pause or a probe of a worker is due
	timerMaxWait                      // a job's start deadline has passed
	timerRestart                      // a failed task may start again
	timerPreempt                      // a preemption takes its next step
	timerReservation                  // a reservation expires
	timerPass                         // all pending jobs are checked again
	timerHelp                         // help the job that is farthest below its share
)

// timer is a scheduled action. Whether the action is still needed is checked when the
// timer fires, so timers are never searched for or cancelled.
type timer struct {
	at   time.Time
	seq  uint64 // timers with equal times fire in the order in which they were added
	kind timerKind

	worker  *worker
	job     *job
	attempt *attempt
	index   int // of the task, for timerRestart
}

// timers is a min-heap by time.
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

func (t *timers) schedule(at time.Time, kind timerKind, w *worker, j *job, a *attempt) {
	t.add(timer{at: at, kind: kind, worker: w, job: j, attempt: a})
}

// fireTimers fires all timers that are due.
func (c *Core) fireTimers() {
	for len(c.timers.list) > 0 && !c.timers.list[0].at.After(c.now) {
		c.fireTimer(heap.Pop(&c.timers).(timer))
	}
}

func (c *Core) fireTimer(t timer) {
	switch t.kind {
	case timerWorker:
		c.handleWorkerTimer(t.worker)
	case timerMaxWait:
		c.expireWaitingJob(t.job)
	case timerRestart:
		c.restartDue(t.job, t.index)
	case timerPreempt:
		c.escalatePreemption(t.attempt)
	case timerReservation:
		c.expireReservation(t.job)
	case timerPass:
		c.fullPass = true
		c.direct.retryScheduled = false
	case timerHelp:
		c.helpDue, c.helpTimerSet = true, false
	}
}

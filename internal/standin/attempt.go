package standin

import (
	"time"

	"cuminloft/internal/worker"
)

// attempt is one attempt that the worker admitted.
type attempt struct {
	start    worker.Start
	work     Behaviour
	state    worker.TaskState
	began    time.Time
	ended    time.Time // valid if the state has ended
	lease    time.Time // end of the lease
	resumed  time.Time // since when speed holds
	left     time.Duration
	percent  int // of full speed
	saved    string
	reported worker.TaskReport // usage of the last heartbeat
}

// finish returns when the work itself would be over.
func (a *attempt) finish() time.Time {
	return a.resumed.Add(a.left * 100 / time.Duration(a.percent))
}

// next returns when the attempt ends by itself, by its work or its lease.
func (a *attempt) next() time.Time {
	if a.lease.Before(a.finish()) {
		return a.lease
	}
	return a.finish()
}

// advance ends the attempt if its work is over or its lease has lapsed by now.
func (a *attempt) advance(now time.Time, failAll bool) bool {
	if a.state.Ended() || a.next().After(now) {
		return false
	}
	switch {
	case a.lease.Before(a.finish()):
		a.end(worker.TaskLeaseExpired, a.lease)
	case a.work.Fail || failAll:
		a.end(worker.TaskFailed, a.finish())
	default:
		a.end(worker.TaskDone, a.finish())
	}
	return true
}

func (a *attempt) end(state worker.TaskState, at time.Time) {
	a.state = state
	a.ended = at
}

// setSpeed changes the share of full speed from now on.
func (a *attempt) setSpeed(now time.Time, percent int) {
	a.left = a.remaining(now)
	a.resumed = now
	a.percent = percent
}

// remaining returns the work left at full speed.
func (a *attempt) remaining(now time.Time) time.Duration {
	return a.left - now.Sub(a.resumed)*time.Duration(a.percent)/100
}

// report returns what the worker says of the attempt. Usage is as it was lag
// ago.
func (a *attempt) report(now time.Time, lag time.Duration) worker.TaskReport {
	r := worker.TaskReport{
		Attempt: a.start.Attempt,
		State:   a.state,
		Team:    a.start.Team,
		Direct:  a.start.Direct,
		Size:    a.start.Resources,
		Saved:   a.saved,
	}
	until := now
	if a.state.Ended() {
		until = a.ended
	}
	r.Ran = until.Sub(a.began)
	if r.Ran >= lag {
		r.Usage = a.work.Usage
	}
	if a.state == worker.TaskFailed {
		r.Error = "task failed"
	}
	if a.state == worker.TaskDone && !a.start.Direct {
		r.Result = a.work.Answer
	}
	return r
}

package standin

import (
	"time"

	"cuminloft/internal/worker"
)

// attempt is the state of an admitted attempt.
type attempt struct {
	start               worker.Start
	behaviour           Behaviour
	state               worker.TaskState
	startedAt           time.Time
	endedAt             time.Time // set once the state is final
	leaseEnd            time.Time
	speedSetAt          time.Time     // when speedPercent was last set
	remainingAtSpeedSet time.Duration // run time left at speedSetAt, at full speed
	speedPercent        int           // of full speed
	checkpoint          string
	lastReport          worker.TaskReport // the report of the last heartbeat that carried a change
}

// workEnd returns when the work ends at the current speed, without regard to the lease.
func (a *attempt) workEnd() time.Time {
	return a.speedSetAt.Add(a.remainingAtSpeedSet * 100 / time.Duration(a.speedPercent))
}

// endTime returns when the attempt ends by itself: when its work ends or its lease
// expires.
func (a *attempt) endTime() time.Time {
	if a.leaseEnd.Before(a.workEnd()) {
		return a.leaseEnd
	}
	return a.workEnd()
}

// endIfDue ends the attempt if its work has ended or its lease has expired by now.
func (a *attempt) endIfDue(now time.Time, failAll bool) bool {
	if a.state.Ended() || a.endTime().After(now) {
		return false
	}
	switch {
	case a.leaseEnd.Before(a.workEnd()):
		a.end(worker.TaskLeaseExpired, a.leaseEnd)
	case a.behaviour.Fail || failAll:
		a.end(worker.TaskFailed, a.workEnd())
	default:
		a.end(worker.TaskDone, a.workEnd())
	}
	return true
}

func (a *attempt) end(state worker.TaskState, at time.Time) {
	a.state = state
	a.endedAt = at
}

// setSpeed sets the speed, in percent of full speed, from now on.
func (a *attempt) setSpeed(now time.Time, percent int) {
	a.remainingAtSpeedSet = a.remaining(now)
	a.speedSetAt = now
	a.speedPercent = percent
}

// remaining returns the run time left at full speed.
func (a *attempt) remaining(now time.Time) time.Duration {
	return a.remainingAtSpeedSet - now.Sub(a.speedSetAt)*time.Duration(a.speedPercent)/100
}

// report returns the attempt's report. Usage lags: it is zero until the attempt has run
// for lag.
func (a *attempt) report(now time.Time, lag time.Duration) worker.TaskReport {
	r := worker.TaskReport{
		Attempt: a.start.Attempt,
		State:   a.state,
		Team:    a.start.Team,
		Direct:  a.start.Direct,
		Size:    a.start.Resources,
		Saved:   a.checkpoint,
	}
	end := now
	if a.state.Ended() {
		end = a.endedAt
	}
	r.Ran = end.Sub(a.startedAt)
	if r.Ran >= lag {
		r.Usage = a.behaviour.Usage
	}
	if a.state == worker.TaskFailed {
		r.Error = "task failed"
	}
	if a.state == worker.TaskDone && !a.start.Direct {
		r.Result = a.behaviour.Answer
	}
	return r
}

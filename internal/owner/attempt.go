package owner

import (
	"time"

	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// phase is the progress of an attempt.
type phase string

const (
	phaseWaiting      phase = "held"      // waits for the table or for the workers' inventories
	phaseRecording    phase = "recording" // its start record is being written
	phaseSending      phase = "sending"   // the start command is in flight
	phaseReadingClock phase = "clock"     // the worker's clock is being read for a ticket
	phaseTicket       phase = "ticket"    // a ticket was issued; the door may start it
	phaseSettling     phase = "settling"  // the worker is asked for its state
	phaseRunning      phase = "running"   // runs or may run
	phaseEnded        phase = "ended"     // its end is being written
)

// attempt is the event loop's view of one start of a task.
type attempt struct {
	id            worker.Attempt
	job           *model.Job
	worker        string // never changes
	startedHere   bool   // started by this owner rather than adopted
	phase         phase
	recorded      bool   // its start record is durable
	boot          string // boot id of the worker at the start
	size          model.Resources
	restoreFrom   string // checkpoint to resume from
	checkpoint    string // newest checkpoint
	startBy       int64  // end of a ticket's start window on the worker's clock, in ns
	stopRequested bool   // the core has requested its stop
	// renewedAt is when the last successful heartbeat that renewed the lease was
	// ordered.
	renewedAt time.Time
}

func (a *attempt) isDirect() bool { return a.job.Policy == model.PolicyDirect }

// mayBeRunning reports whether the worker may have received the start.
func (a *attempt) mayBeRunning() bool {
	return a.phase != phaseWaiting && a.phase != phaseReadingClock && a.phase != phaseRecording && a.phase != phaseEnded
}

// track adds an attempt to the loop's maps.
func (l *loop) track(a *attempt) {
	l.attempts[a.id] = a
	if l.attemptsOn[a.worker] == nil {
		l.attemptsOn[a.worker] = map[worker.Attempt]*attempt{}
	}
	l.attemptsOn[a.worker][a.id] = a
	l.newestAttempt[a.id.Task] = a
	l.attemptCount[a.id.Task.Job]++
	l.notify(a.id.Task.Job)
}

// untrack removes an attempt that has ended.
func (l *loop) untrack(a *attempt) {
	if l.attempts[a.id] != a {
		return
	}
	delete(l.attempts, a.id)
	delete(l.attemptsOn[a.worker], a.id)
	if len(l.attemptsOn[a.worker]) == 0 {
		delete(l.attemptsOn, a.worker)
	}
	if l.newestAttempt[a.id.Task] == a {
		delete(l.newestAttempt, a.id.Task)
	}
	l.attemptCount[a.id.Task.Job]--
	if l.attemptCount[a.id.Task.Job] == 0 {
		delete(l.attemptCount, a.id.Task.Job)
	}
	l.notify(a.id.Task.Job)
}

// confirm records that the worker admitted the attempt.
func (l *loop) confirm(a *attempt) {
	if a.phase == phaseRunning || a.phase == phaseEnded {
		return
	}
	a.phase = phaseRunning
	l.notify(a.id.Task.Job)
	l.feed(sched.StartConfirmed{Task: a.id.Task, Attempt: a.id.Number})
	if a.stopRequested {
		l.stop(a)
	}
}

// refuseStart handles an attempt that certainly did not start.
func (l *loop) refuseStart(a *attempt, reason string, workerFault bool) {
	if a.phase == phaseEnded || l.attempts[a.id] != a {
		return
	}
	if !a.isDirect() && l.isRecorded(a) {
		l.append(nil, false, endRecord(a, journal.EndNotStarted, worker.TaskReport{Error: reason}))
	}
	l.untrack(a)
	l.feed(sched.StartRefused{Task: a.id.Task, Attempt: a.id.Number, Reason: reason, WorkerFault: workerFault})
}

// isRecorded reports whether the attempt's start is in the state, whether already
// written or queued.
func (l *loop) isRecorded(a *attempt) bool {
	j, ok := l.state.Jobs[a.id.Task.Job]
	if !ok {
		return false
	}
	t, ok := j.Tasks[a.id.Task.Index]
	return ok && t.Attempt == a.id.Number && t.End == ""
}

// endAttempt handles an attempt that no longer runs.
func (l *loop) endAttempt(a *attempt, end sched.End, report worker.TaskReport) {
	if a.phase == phaseEnded || l.attempts[a.id] != a {
		return
	}
	if report.Saved != "" {
		a.checkpoint = report.Saved
	}
	a.phase = phaseEnded
	l.record(timeline.Event{
		Kind: timeline.KindTaskEnded, Job: string(a.id.Task.Job), Team: a.job.Team,
		Target: a.worker, Detail: string(end), Duration: report.Ran,
	})
	l.recordEnd(a, end, report)
	l.feed(sched.TaskEnded{Task: a.id.Task, Attempt: a.id.Number, End: end, Checkpoint: a.checkpoint})
}

// recordEnd journals the end of a job's attempt. The worker may discard the attempt
// once the record is durable. Ends of direct requests are not journaled.
func (l *loop) recordEnd(a *attempt, end sched.End, report worker.TaskReport) {
	if _, known := l.state.Jobs[a.id.Task.Job]; !known {
		l.untrack(a)
		l.acknowledge(a)
		return
	}
	l.append(func() {
		l.untrack(a)
		l.acknowledge(a)
	}, false, endRecord(a, string(end), report))
}

func endRecord(a *attempt, end string, report worker.TaskReport) *journal.Record {
	return &journal.Record{Kind: &journal.Record_TaskEnded{TaskEnded: &journal.TaskEnded{
		JobId:      string(a.id.Task.Job),
		Index:      int32(a.id.Task.Index),
		Attempt:    int32(a.id.Number),
		End:        end,
		Checkpoint: a.checkpoint,
		Result:     report.Result,
		Error:      report.Error,
	}}}
}

func startRecord(a *attempt) *journal.Record {
	return &journal.Record{Kind: &journal.Record_TaskStarted{TaskStarted: &journal.TaskStarted{
		JobId:     string(a.id.Task.Job),
		Index:     int32(a.id.Task.Index),
		Attempt:   int32(a.id.Number),
		Worker:    a.worker,
		Boot:      a.boot,
		StartedNs: time.Now().UnixNano(),
	}}}
}

// endOf maps the worker's state of an ended attempt to an End. A non-idempotent task
// that was stopped or lost may have taken effect, so it counts as abandoned. Only if
// its team has cancelled the job does a stop count as a regular stop.
func (l *loop) endOf(a *attempt, s worker.TaskState) sched.End {
	j := l.state.Jobs[a.id.Task.Job]
	switch {
	case s == worker.TaskDone:
		return sched.EndDone
	case s == worker.TaskFailed:
		return sched.EndFailed
	case s == worker.TaskStopped && (a.job.Task.Idempotent || (j != nil && j.Cancelled)):
		return sched.EndStopped
	case !a.job.Task.Idempotent:
		return sched.EndAbandoned
	}
	return sched.EndLeaseExpired
}

package owner

import (
	"time"

	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// phase is how far an attempt has come.
type phase string

const (
	phaseHeld      phase = "held"      // waits for the table or the workers
	phaseRecording phase = "recording" // its start record is being written
	phaseSending   phase = "sending"   // the start command is under way
	phaseClock     phase = "clock"     // a ticket waits for the worker's clock
	phaseTicket    phase = "ticket"    // the door may start it
	phaseSettling  phase = "settling"  // the worker is asked what became of it
	phaseRunning   phase = "running"   // or may be
	phaseEnded     phase = "ended"     // its end is being written
)

// attempt is one start of a task as the event loop knows it.
type attempt struct {
	id         worker.Attempt
	job        *model.Job
	worker     string // never changes
	own        bool   // started by this owner, not adopted
	phase      phase
	recorded   bool   // its start record is durable
	boot       string // of the worker at the start
	size       model.Resources
	restore    string // checkpoint to resume from
	checkpoint string // newest one
	startBy    int64  // on the worker's clock; of tickets
	stopped    bool   // the core wants it to end
	// renewedAt is when the last heartbeat that extended the lease was ordered.
	renewedAt time.Time
}

func (a *attempt) direct() bool { return a.job.Policy == model.PolicyDirect }

// mayRun reports whether the worker may have got the start.
func (a *attempt) mayRun() bool {
	return a.phase != phaseHeld && a.phase != phaseClock && a.phase != phaseRecording && a.phase != phaseEnded
}

// track enters an attempt in the tables.
func (l *loop) track(a *attempt) {
	l.attempts[a.id] = a
	if l.on[a.worker] == nil {
		l.on[a.worker] = map[worker.Attempt]*attempt{}
	}
	l.on[a.worker][a.id] = a
	l.current[a.id.Task] = a
	l.active[a.id.Task.Job]++
	l.notify(a.id.Task.Job)
}

// untrack removes an attempt that is over.
func (l *loop) untrack(a *attempt) {
	if l.attempts[a.id] != a {
		return
	}
	delete(l.attempts, a.id)
	delete(l.on[a.worker], a.id)
	if len(l.on[a.worker]) == 0 {
		delete(l.on, a.worker)
	}
	if l.current[a.id.Task] == a {
		delete(l.current, a.id.Task)
	}
	l.active[a.id.Task.Job]--
	if l.active[a.id.Task.Job] == 0 {
		delete(l.active, a.id.Task.Job)
	}
	l.notify(a.id.Task.Job)
}

// confirm notes that the worker admitted the attempt.
func (l *loop) confirm(a *attempt) {
	if a.phase == phaseRunning || a.phase == phaseEnded {
		return
	}
	a.phase = phaseRunning
	l.notify(a.id.Task.Job)
	l.feed(sched.StartConfirmed{Task: a.id.Task, Attempt: a.id.Number})
	if a.stopped {
		l.stop(a)
	}
}

// refuseStart handles an attempt that provably did not start.
func (l *loop) refuseStart(a *attempt, reason string, workerFault bool) {
	if a.phase == phaseEnded || l.attempts[a.id] != a {
		return
	}
	if !a.direct() && l.isRecorded(a) {
		l.append(nil, false, endRecord(a, journal.EndNotStarted, worker.TaskReport{Error: reason}))
	}
	l.untrack(a)
	l.feed(sched.StartRefused{Task: a.id.Task, Attempt: a.id.Number, Reason: reason, WorkerFault: workerFault})
}

// isRecorded reports whether the attempt's start is in the state, written or
// queued.
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

// recordEnd writes the end of a job's attempt; the worker may forget it once
// the record is durable. Ends of direct requests are not written.
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

// endOf translates a worker's word for an ended attempt. Work that is not
// idempotent and ended otherwise than by itself may have had its effect; only if
// its team has cancelled it is that the end that was asked for.
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

package owner

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// startTask executes the core's decision to start an attempt.
func (l *loop) startTask(d sched.StartTask) {
	id := worker.Attempt{Task: d.Task, Number: d.Attempt}
	if r, ok := l.reservations[d.Task.Job]; ok {
		l.prepareTicket(r, id, d)
		return
	}
	j, ok := l.state.Jobs[d.Task.Job]
	if !ok || l.draining {
		// The start is not sent: the successor will start the task.
		l.feed(sched.StartRefused{Task: d.Task, Attempt: d.Attempt, Reason: "shard is handed over"})
		return
	}
	a := &attempt{
		id: id, job: &j.Spec, worker: d.Worker, startedHere: true, phase: phaseWaiting,
		size: d.Size, restoreFrom: d.Checkpoint, checkpoint: d.Checkpoint,
	}
	l.track(a)
	l.dispatch(a)
}

// dispatch starts a waiting attempt if it may start now.
func (l *loop) dispatch(a *attempt) {
	k, ok := l.workers[a.worker]
	if !ok || !k.reachable {
		l.refuseStart(a, "worker cannot be reached", true)
		return
	}
	if !l.mayDispatch(a) {
		return
	}
	a.boot = k.boot
	if a.job.Task.Idempotent {
		l.append(func() { a.recorded = true }, false, startRecord(a))
		l.sendStart(a)
		return
	}
	// For a non-idempotent task the record must be durable before the command is sent,
	// so that no successor starts the task a second time.
	a.phase = phaseRecording
	l.append(func() {
		a.recorded = true
		l.sendRecordedStart(a)
	}, true, startRecord(a))
}

// mayDispatch reports whether a journaled task may start now. Without the table only
// restartable tasks may, and only within the solo window. After a takeover, tasks that
// the former owner may have started without a record wait for the workers'
// inventories.
func (l *loop) mayDispatch(a *attempt) bool {
	if l.queue.full() || time.Now().After(l.soloUntil()) {
		return false
	}
	if !a.job.Task.Idempotent {
		return !l.tableDown
	}
	return !l.awaitingInventory[a.id.Task.Job]
}

// dispatchWaiting retries the waiting attempts.
func (l *loop) dispatchWaiting() {
	for _, a := range l.attempts {
		if a.phase == phaseWaiting && !l.draining {
			l.dispatch(a)
		}
	}
}

// sendRecordedStart sends the start whose record is durable, unless a stop was
// requested meanwhile or the shard is being handed over.
func (l *loop) sendRecordedStart(a *attempt) {
	if a.stopRequested || l.draining {
		l.refuseStart(a, "not wanted any more", false)
		return
	}
	l.sendStart(a)
}

// sendStart sends the start command once.
func (l *loop) sendStart(a *attempt) {
	k, ok := l.workers[a.worker]
	if !ok || !k.reachable || k.boot != a.boot {
		l.refuseStart(a, "worker was lost before the start", true)
		return
	}
	a.phase = phaseSending
	l.startsInFlight++
	counters.Add("starts", 1)
	s := worker.Start{
		Attempt: a.id, Fence: l.ownerRow.Fence, StartBy: k.clock + int64(l.startWindow()),
		Lease: l.lease(), Resources: a.size, Team: a.job.Team,
		RunTime: a.job.Task.RunTime, Payload: a.job.Task.Payload, Restore: a.restoreFrom,
	}
	solo, client, job, boot, window, fresh := l.soloUntil(), k.client, a.job, a.boot, l.startWindow(), l.clockFresh(k)
	l.spawn(func(ctx context.Context) {
		if !fresh {
			clock, err := l.readClock(ctx, k, client, boot)
			if err != nil {
				l.post(ctx, startedMessage{a, &errNotSent{err}})
				return
			}
			s.StartBy = clock + int64(window)
		}
		err := l.allowStart(ctx, job, a.worker, solo)
		if err == nil {
			err = withCommandTimeout(ctx, func(ctx context.Context) error { return client.Start(ctx, s) })
		}
		l.post(ctx, startedMessage{a, err})
	})
}

// errNotSent proves that a start was not sent, because reading the worker's clock
// failed before. It does not unwrap: the cause says nothing about the start itself.
type errNotSent struct{ cause error }

// Error returns the cause.
func (e *errNotSent) Error() string { return "start was not sent: " + e.cause.Error() }

// errNotAllowed proves that a start was not sent, because the configuration or
// the solo window forbids it.
type errNotAllowed struct{ reason string }

// Error returns the reason.
func (e *errNotAllowed) Error() string { return e.reason }

// allowStart checks the configuration in force right before a start is sent.
func (l *loop) allowStart(ctx context.Context, job *model.Job, target string, solo time.Time) error {
	if err := l.opts.View.EnsureFresh(ctx); err != nil {
		return &errNotAllowed{"configuration is stale"}
	}
	cfg, _ := l.opts.View.Effective()
	if reason := startForbidden(cfg, job, l.opts.Shard, l.opts.AZ, target); reason != "" {
		return &errNotAllowed{reason}
	}
	if time.Now().After(solo) {
		return &errNotAllowed{"the table was not reached for the solo window"}
	}
	return nil
}

// startForbidden returns why the configuration does not allow a job's task to start on
// a worker, or an empty string.
func startForbidden(cfg *config.Config, job *model.Job, shard, az, target string) string {
	if cfg == nil {
		return "no configuration"
	}
	if _, ok := cfg.Team(job.Team); !ok {
		return "its team is no longer configured"
	}
	if q, ok := cfg.Queue(job.Queue); !ok || !q.Allows(job.Team) {
		return "its team may no longer use the queue"
	}
	if zone, ok := cfg.AZ(az); !ok || !zone.InService {
		return "the AZ is out of service"
	}
	if s, ok := cfg.ShardOfWorker(target); !ok || s.Name != shard {
		return "the worker is no longer in the shard"
	}
	return ""
}

// startedMessage carries the result of a start command.
type startedMessage struct {
	attempt *attempt
	err     error
}

func (m startedMessage) handle(l *loop) {
	l.startsInFlight--
	a := m.attempt
	if a.phase != phaseSending {
		return // the worker has already reported the attempt
	}
	var notAllowed *errNotAllowed
	switch {
	case m.err == nil:
		l.record(timeline.Event{Kind: timeline.KindTaskStarted, Job: string(a.id.Task.Job), Team: a.job.Team, Target: a.worker})
		l.confirm(a)
	case errors.As(m.err, &notAllowed):
		l.refuseStart(a, m.err.Error(), false)
	case errors.Is(m.err, worker.ErrAmbiguous), errors.Is(m.err, worker.ErrDuplicate):
		l.settle(a)
	default:
		l.refuseStart(a, m.err.Error(), true)
	}
}

// preempt executes a preemption step that the core decided.
func (l *loop) preempt(d sched.PreemptTask) {
	a, ok := l.attempts[worker.Attempt{Task: d.Task, Number: d.Attempt}]
	if !ok {
		return
	}
	l.record(timeline.Event{
		Kind: timeline.KindTaskPreempted, Job: string(d.Task.Job), Team: a.job.Team,
		Target: a.worker, Detail: string(d.Step) + ": " + d.Reason,
	})
	switch d.Step {
	case sched.PreemptThrottle:
		l.throttle(a)
	case sched.PreemptCheckpoint:
		l.checkpoint(a)
	case sched.PreemptStop:
		l.stop(a)
	}
}

// stop ends an attempt. A start that was not sent yet is withdrawn.
func (l *loop) stop(a *attempt) {
	a.stopRequested = true
	switch a.phase {
	case phaseWaiting, phaseReadingClock:
		l.refuseStart(a, "not wanted any more", false)
	case phaseRunning, phaseTicket, phaseSettling:
		l.commandWorker(a, func(ctx context.Context, c worker.Client) error {
			return c.Stop(ctx, l.ownerRow.Fence, a.id)
		})
	case phaseRecording, phaseSending, phaseEnded:
		// stopRequested is checked when the record is durable or the reply arrives.
	}
}

func (l *loop) throttle(a *attempt) {
	l.commandWorker(a, func(ctx context.Context, c worker.Client) error {
		return c.Throttle(ctx, l.ownerRow.Fence, a.id, throttlePercent)
	})
}

// checkpointMessage carries the name of a checkpoint.
type checkpointMessage struct {
	attempt *attempt
	name    string
}

func (m checkpointMessage) handle(l *loop) {
	if m.name != "" {
		m.attempt.checkpoint = m.name
	}
	l.stop(m.attempt)
}

// checkpoint saves the task's progress and then stops the attempt.
func (l *loop) checkpoint(a *attempt) {
	k, ok := l.workers[a.worker]
	if !ok || a.phase != phaseRunning {
		l.stop(a)
		return
	}
	client, fence := k.client, l.ownerRow.Fence
	l.spawn(func(ctx context.Context) {
		var name string
		_ = withCommandTimeout(ctx, func(ctx context.Context) (err error) {
			name, err = client.Checkpoint(ctx, fence, a.id)
			return err
		})
		l.post(ctx, checkpointMessage{a, name})
	})
}

// commandWorker repeats an idempotent command until the worker has replied, at most
// maxStopTries times.
func (l *loop) commandWorker(a *attempt, f func(context.Context, worker.Client) error) {
	k, ok := l.workers[a.worker]
	if !ok {
		return
	}
	client := k.client
	l.spawn(func(ctx context.Context) {
		for range maxStopTries {
			err := withCommandTimeout(ctx, func(ctx context.Context) error { return f(ctx, client) })
			if err == nil || errors.Is(err, worker.ErrUnknownTask) || errors.Is(err, worker.ErrFenced) {
				return
			}
			if wait.For(ctx, fenceRetry) != nil {
				return
			}
		}
	})
}

// withCommandTimeout bounds one call to a worker.
func withCommandTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return f(ctx)
}

package owner

import (
	"context"

	"cuminloft/internal/sched"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// settledMessage carries the worker's report of an attempt whose state was unknown.
type settledMessage struct {
	attempt *attempt
	report  worker.TaskReport
}

// settle asks the worker for the state of an attempt, until it replies.
func (l *loop) settle(a *attempt) {
	k, ok := l.workers[a.worker]
	if !ok {
		return
	}
	a.phase = phaseSettling
	client, fence := k.client, l.ownerRow.Fence
	l.spawn(func(ctx context.Context) {
		for {
			m := settledMessage{attempt: a}
			err := withCommandTimeout(ctx, func(ctx context.Context) (err error) {
				m.report, err = client.Settle(ctx, fence, a.id)
				return err
			})
			if err == nil {
				l.post(ctx, m)
				return
			}
			if wait.For(ctx, fenceRetry) != nil {
				return
			}
		}
	})
}

// handle applies the worker's report, with one exception: a restarted worker has lost
// its attempts, so "never seen" is proof only with the boot id of the start.
func (m settledMessage) handle(l *loop) {
	a := m.attempt
	if l.attempts[a.id] != a || a.phase != phaseSettling {
		return
	}
	switch {
	case m.report.State == worker.TaskRunning:
		l.confirm(a)
	case m.report.State != worker.TaskNeverSeen:
		l.endAttempt(a, l.endOf(a, m.report.State), m.report)
	case a.isDirect(), m.report.Boot == a.boot:
		l.refuseStart(a, "the worker never saw the start", false)
	default:
		l.endAttempt(a, l.endOf(a, worker.TaskLeaseExpired), worker.TaskReport{Error: "the worker restarted"})
	}
}

// handleMissingAttempt handles an attempt that is not in the worker's inventory.
func (l *loop) handleMissingAttempt(a *attempt, boot string) {
	switch {
	case a.phase != phaseRunning:
		// A command is in flight, or the end is being written.
	case a.isDirect(), a.job.Task.Idempotent:
		l.endAttempt(a, sched.EndLeaseExpired, worker.TaskReport{Error: "the worker does not know the attempt"})
	case boot != a.boot:
		l.endAttempt(a, sched.EndAbandoned, worker.TaskReport{Error: "the worker restarted"})
	default:
		l.settle(a)
	}
}

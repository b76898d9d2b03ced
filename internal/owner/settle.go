package owner

import (
	"context"

	"cuminloft/internal/sched"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// settledMessage tells what a worker says of an attempt whose fate was not
// known.
type settledMessage struct {
	attempt *attempt
	report  worker.TaskReport
}

// settle asks the worker what became of an attempt, until it answers.
func (l *loop) settle(a *attempt) {
	k, ok := l.workers[a.worker]
	if !ok {
		return
	}
	a.phase = phaseSettling
	client, fence := k.client, l.held.Fence
	l.spawn(func(ctx context.Context) {
		for {
			m := settledMessage{attempt: a}
			err := command(ctx, func(ctx context.Context) (err error) {
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

// handle takes the worker's word, with one exception: a worker that has
// restarted has forgotten what it ran, so only the boot of the start can prove
// that the attempt was never seen.
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
	case a.direct(), m.report.Boot == a.boot:
		l.refuseStart(a, "the worker never saw the start", false)
	default:
		l.endAttempt(a, l.endOf(a, worker.TaskLeaseExpired), worker.TaskReport{Error: "the worker restarted"})
	}
}

// missing handles an attempt that the worker's inventory does not list.
func (l *loop) missing(a *attempt, boot string) {
	switch {
	case a.phase != phaseRunning:
		// A command is under way, or the end is being written.
	case a.direct(), a.job.Task.Idempotent:
		l.endAttempt(a, sched.EndLeaseExpired, worker.TaskReport{Error: "the worker does not know the attempt"})
	case boot != a.boot:
		l.endAttempt(a, sched.EndAbandoned, worker.TaskReport{Error: "the worker restarted"})
	default:
		l.settle(a)
	}
}

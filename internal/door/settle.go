package door

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cuminloft/api"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// Delays between the queries by which an attempt is settled at its worker.
const (
	initialSettleDelay = 5 * time.Millisecond
	maxSettleDelay     = 200 * time.Millisecond
)

// settle determines the outcome of an attempt whose answer is lost, within the settle
// timeout and the caller's deadline.
func (f *Frontend) settle(ctx context.Context, req *request, a *attempt) attemptResult {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), f.settleDeadline(req))
	defer cancel()
	end := f.settleAndRelease(ctx, req, a)
	if end.err.Outcome != api.OutcomeNotRun {
		req.possiblyRan = end.err
	}
	return end
}

func (f *Frontend) settleDeadline(req *request) time.Time {
	limit := time.Now().Add(f.limits.SettleTimeout)
	if req.deadline.Before(limit) {
		return req.deadline
	}
	return limit
}

// settleAndRelease settles an attempt and releases its ticket if the attempt has ended. The
// ticket of an attempt that may still run is kept: the owner counts its resources as used
// until the worker's inventory shows the end.
func (f *Frontend) settleAndRelease(ctx context.Context, req *request, a *attempt) attemptResult {
	report, err := f.finalState(ctx, req, a)
	if err != nil {
		return attemptResult{err: unsettled(api.CodeUnsettled, "the worker cannot be asked what became of the request").
			retryAfter(max(time.Duration(a.ticket.GetLeaseNs()), retryAfterTakeover))}
	}
	countSettled.Add(1)
	f.record(req, timeline.KindRequestSettled, a.ticket.GetWorker(), string(report.State))
	switch report.State {
	case worker.TaskNeverSeen:
		return f.notStarted(req, a, ProofSettled, true, worker.ErrVoided)
	case worker.TaskRunning:
		return attemptResult{err: unsettled(api.CodeStillRunning, "the request was still running when its deadline passed").
			retryAfter(retryAfterTakeover)}
	case worker.TaskFailed:
		f.releaseEnded(req, a, sched.EndFailed)
		return attemptResult{err: taskFailed(report.Error), ended: true}
	}
	f.releaseEnded(req, a, endOfState(report.State))
	req.avoidWorkers = append(req.avoidWorkers, a.ticket.GetWorker())
	return attemptResult{err: unsettled(api.CodeAnswerLost, "the request ran, but its answer is lost (worker says "+string(report.State)+")").
		retryAfter(retryAfterShort), ended: true}
}

// unsettled returns the final error for a request that may have run.
func unsettled(code api.Code, message string) *Error {
	return &Error{
		Status:  http.StatusGatewayTimeout,
		Outcome: api.OutcomeUnknown,
		Code:    code,
		Message: message,
		Remedy:  "repeat the request only if it may run twice",
	}
}

func taskFailed(message string) *Error {
	return &Error{
		Status:  http.StatusBadGateway,
		Outcome: api.OutcomeFailed,
		Code:    api.CodeTaskFailed,
		Message: message,
	}
}

// finalState queries the worker until the attempt's state is known. An idempotent attempt
// that is still running is stopped first, so that a retry never runs concurrently with it.
func (f *Frontend) finalState(ctx context.Context, req *request, a *attempt) (worker.TaskReport, error) {
	pause := initialSettleDelay
	for {
		report, err := f.queryState(ctx, a)
		if err == nil && (report.State.Ended() || !req.job.Task.Idempotent) {
			return report, nil
		}
		if errors.Is(err, worker.ErrUnknownTask) {
			return worker.TaskReport{}, err // the attempt has ended and the worker no longer knows it
		}
		if err == nil {
			_ = a.client.Stop(ctx, f.newestFence(a), a.id)
		}
		if wait.For(ctx, pause) != nil {
			return report, unresolvedError(report, err)
		}
		pause = min(2*pause, maxSettleDelay)
	}
}

// queryState queries the worker once. A worker that has restarted since the ticket was
// issued no longer knows what it ran before. Its state "never seen" then proves only that
// the attempt is not running any more.
func (f *Frontend) queryState(ctx context.Context, a *attempt) (worker.TaskReport, error) {
	report, err := a.client.Settle(ctx, f.newestFence(a), a.id)
	if err != nil {
		return report, err
	}
	if report.Attempt != a.id {
		countForeign.Add(1)
		return worker.TaskReport{}, worker.ErrForeignAnswer
	}
	if report.State == worker.TaskNeverSeen && report.Boot != a.ticket.GetBoot() {
		report.State = worker.TaskLeaseExpired
	}
	return report, nil
}

// unresolvedError returns the error of settling that ran out of time: nil if the attempt is
// known to be running.
func unresolvedError(report worker.TaskReport, err error) error {
	if err == nil && report.State == worker.TaskRunning {
		return nil
	}
	if err == nil {
		return context.DeadlineExceeded
	}
	return err
}

// newestFence returns the ticket's fence, or the shard's fence if its owner has changed.
func (f *Frontend) newestFence(a *attempt) worker.Fence {
	fence := a.fence()
	if s, ok := f.opts.Directory.Shard(a.shard.Name); ok && s.Digest != nil {
		fence = max(fence, worker.Fence(s.Digest.GetFence()))
	}
	return fence
}

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

// Settling asks a worker again and again; these are the pauses between.
const (
	initialSettleDelay = 5 * time.Millisecond
	maxSettleDelay     = 200 * time.Millisecond
)

// settle finds out what became of an attempt whose answer is lost, for as long
// as the caller's deadline allows.
func (d *Frontend) settle(ctx context.Context, req *request, a *attempt) attemptResult {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), d.settleDeadline(req))
	defer cancel()
	end := d.settleAndRelease(ctx, req, a)
	if end.err.Outcome != api.OutcomeNotRun {
		req.possiblyRan = end.err
	}
	return end
}

func (d *Frontend) settleDeadline(req *request) time.Time {
	limit := time.Now().Add(d.limits.SettleTimeout)
	if req.deadline.Before(limit) {
		return req.deadline
	}
	return limit
}

// settleAndRelease settles an attempt and releases its ticket if it has ended.
// The ticket of an attempt that may still run is kept: the owner counts its room
// until the worker's inventory shows the end.
func (d *Frontend) settleAndRelease(ctx context.Context, req *request, a *attempt) attemptResult {
	report, err := d.finalState(ctx, req, a)
	if err != nil {
		return attemptResult{err: unsettled(api.CodeUnsettled, "the worker cannot be asked what became of the request").
			retryAfter(max(time.Duration(a.ticket.GetLeaseNs()), retryAfterTakeover))}
	}
	countSettled.Add(1)
	d.record(req, timeline.KindRequestSettled, a.ticket.GetWorker(), string(report.State))
	switch report.State {
	case worker.TaskNeverSeen:
		return d.notStarted(req, a, ProofSettled, true, worker.ErrVoided)
	case worker.TaskRunning:
		return attemptResult{err: unsettled(api.CodeStillRunning, "the request was still running when its deadline passed").
			retryAfter(retryAfterTakeover)}
	case worker.TaskFailed:
		d.releaseEnded(req, a, sched.EndFailed)
		return attemptResult{err: taskFailed(report.Error), ended: true}
	}
	d.releaseEnded(req, a, endOfState(report.State))
	req.avoidWorkers = append(req.avoidWorkers, a.ticket.GetWorker())
	return attemptResult{err: unsettled(api.CodeAnswerLost, "the request ran, but its answer is lost (worker says "+string(report.State)+")").
		retryAfter(retryAfterShort), ended: true}
}

// unsettled returns the final answer to a request that may have run.
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

// finalState asks the worker for the attempt's state until it is known. An
// idempotent attempt that still runs is stopped first, so that it never runs in
// two places when it is tried again.
func (d *Frontend) finalState(ctx context.Context, req *request, a *attempt) (worker.TaskReport, error) {
	pause := initialSettleDelay
	for {
		report, err := d.queryState(ctx, a)
		if err == nil && (report.State.Ended() || !req.job.Task.Idempotent) {
			return report, nil
		}
		if errors.Is(err, worker.ErrUnknownTask) {
			return worker.TaskReport{}, err // has ended and was forgotten
		}
		if err == nil {
			_ = a.client.Stop(ctx, d.newestFence(a), a.id)
		}
		if wait.For(ctx, pause) != nil {
			return report, unresolvedError(report, err)
		}
		pause = min(2*pause, maxSettleDelay)
	}
}

// queryState asks the worker once. A worker that has restarted since the ticket
// was made has forgotten what it ran: its "never seen" means that the attempt no
// longer runs, and proves nothing else.
func (d *Frontend) queryState(ctx context.Context, a *attempt) (worker.TaskReport, error) {
	report, err := a.client.Settle(ctx, d.newestFence(a), a.id)
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

// unresolvedError keeps what was known when the time was over.
func unresolvedError(report worker.TaskReport, err error) error {
	if err == nil && report.State == worker.TaskRunning {
		return nil
	}
	if err == nil {
		return context.DeadlineExceeded
	}
	return err
}

// newestFence is the ticket's fence, or the shard's if its owner has changed.
func (d *Frontend) newestFence(a *attempt) worker.Fence {
	fence := a.fence()
	if s, ok := d.opts.Directory.Shard(a.shard.Name); ok && s.Digest != nil {
		fence = max(fence, worker.Fence(s.Digest.GetFence()))
	}
	return fence
}

package door

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cuminloft/api"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// idemGrace extends the time in which repeats do not settle a first request, to allow for
// clock differences. Safety does not depend on it: a repeat settles the recorded attempt
// at its worker, and every attempt requires the newest version of the row.
const idemGrace = 2 * time.Second

// serveWithKey runs a request with an idempotency key, or returns the outcome of the first
// request with that key.
func (f *Frontend) serveWithKey(ctx context.Context, req *request) (*answer, *Error) {
	if f.opts.Table == nil {
		return nil, tableUnavailable("no table is configured")
	}
	row, err := readIdem(ctx, f.opts.Table, idemKey(req.caller.team, req.key))
	if err != nil {
		return nil, tableUnavailable(err.Error())
	}
	if row.version != 0 {
		countRepeats.Add(1)
		if ans, found := f.firstOutcome(ctx, req, row); ans != nil || found != nil {
			return ans, found
		}
	}
	req.idem = row
	ans, refusal := f.serveWithRetries(ctx, req)
	if refusal != nil {
		f.background(func(ctx context.Context) { f.closeIdem(ctx, req, refusal) })
	}
	return ans, refusal
}

// tableUnavailable refuses a request whose idempotency key cannot be stored. Without the
// stored key a repeat could run the request a second time.
func tableUnavailable(why string) *Error {
	return neverSent(http.StatusServiceUnavailable, api.CodeTableDown, "the idempotency key cannot be kept: "+why).
		retryAfter(retryAfterOutage).
		remedy("come back later with the same key")
}

// firstOutcome returns the answer or error for a repeat. It returns nil, nil if the first
// request is proved never to have run, so that its row may be reused.
func (f *Frontend) firstOutcome(ctx context.Context, req *request, row *idemRow) (*answer, *Error) {
	rec := &row.record
	if rec.Fingerprint != req.fingerprint() {
		return nil, neverSent(http.StatusUnprocessableEntity, api.CodeKeyReused,
			"the idempotency key was used for another request").field(api.HeaderIdempotencyKey)
	}
	if rec.Outcome != "" {
		return rec.storedOutcome()
	}
	open := time.Until(time.Unix(0, rec.OpenUntil))
	if open > 0 {
		return nil, inProgress(min(open, retryAfterTakeover))
	}
	return nil, f.settleRecordedAttempt(ctx, req, row)
}

func inProgress(after time.Duration) *Error {
	return &Error{
		Status:     http.StatusConflict,
		Outcome:    api.OutcomeUnknown,
		Code:       api.CodeInProgress,
		Message:    "the first request with this key is not settled yet",
		Remedy:     "come back with the same key",
		RetryAfter: max(after, retryAfterShort),
	}
}

// storedOutcome returns the recorded outcome of the first request.
func (r *idemRecord) storedOutcome() (*answer, *Error) {
	if r.Stored {
		return &answer{
			attempt:  &attempt{id: r.Attempt},
			failed:   r.Outcome == api.OutcomeFailed,
			length:   int64(len(r.Answer)),
			head:     r.Answer,
			released: true,
			repeated: true,
			cancel:   func() {},
		}, nil
	}
	e := &Error{Status: http.StatusGatewayTimeout, Outcome: r.Outcome, Code: r.Code, Message: r.Message}
	switch r.Outcome {
	case api.OutcomeFailed:
		e.Status = http.StatusBadGateway
	case api.OutcomeDone:
		e.Status = http.StatusGone
	}
	return nil, e
}

// settleRecordedAttempt asks the worker for the outcome of a first request that its entry
// host no longer processes. It returns nil if the request is proved never to have run.
func (f *Frontend) settleRecordedAttempt(ctx context.Context, req *request, row *idemRow) *Error {
	a := f.recordedAttempt(&row.record)
	ctx, cancel := context.WithDeadline(ctx, f.settleDeadline(req))
	defer cancel()
	report, err := f.queryState(ctx, a)
	if err != nil {
		return unsettled(api.CodeUnsettled, "the worker of the first request cannot be asked").retryAfter(retryAfterTakeover)
	}
	countSettled.Add(1)
	f.record(req, timeline.KindRequestSettled, row.record.Worker, "first request: "+string(report.State))
	switch report.State {
	case worker.TaskNeverSeen:
		return nil
	case worker.TaskRunning:
		return inProgress(retryAfterTakeover)
	case worker.TaskFailed:
		row.record.setError(taskFailed(report.Error))
	default:
		row.record.setError(unsettled(api.CodeAnswerLost, "the first request ran, but its answer is lost"))
	}
	f.background(func(ctx context.Context) { _ = row.write(ctx, f.opts.Table) })
	_, outcome := row.record.storedOutcome()
	return outcome
}

func (r *idemRecord) setError(e *Error) {
	r.Outcome, r.Code, r.Message = e.Outcome, e.Code, e.Message
}

// recordedAttempt returns the attempt that a record names, with the fields needed to settle
// it.
func (f *Frontend) recordedAttempt(r *idemRecord) *attempt {
	a := &attempt{id: r.Attempt, client: f.opts.Connect(r.Worker, r.Addr)}
	a.shard.Name = r.Shard
	a.ticket = ticketOf(r)
	return a
}

// recordIntent records durably which attempt is sent next, before it is sent.
func (f *Frontend) recordIntent(ctx context.Context, req *request, a *attempt) *Error {
	if req.idem == nil {
		return nil
	}
	req.idem.record = idemRecord{
		Request:     req.id,
		Fingerprint: req.fingerprint(),
		Shard:       a.shard.Name,
		Worker:      a.ticket.GetWorker(),
		Addr:        a.ticket.GetWorkerAddr(),
		Attempt:     a.id,
		Fence:       a.fence(),
		Boot:        a.ticket.GetBoot(),
		OpenUntil:   req.deadline.Add(idemGrace).UnixNano(),
	}
	err := req.idem.write(ctx, f.opts.Table)
	if err == nil {
		req.intentRecorded = true
		return nil
	}
	if errors.Is(err, errIdemConflict) {
		// Another request with the same key has written the row, and its outcome is now
		// the outcome of the key. This request has sent nothing since its last proof.
		req.intentRecorded = false
		return inProgress(retryAfterShort)
	}
	return tableUnavailable(err.Error())
}

// closeIdem updates the row of a request that has no answer. If the request is proved never
// to have run, the key becomes free; otherwise a repeat may settle it immediately.
func (f *Frontend) closeIdem(ctx context.Context, req *request, e *Error) {
	if !req.intentRecorded {
		return
	}
	switch e.Outcome {
	case api.OutcomeNotRun:
		_ = req.idem.remove(ctx, f.opts.Table)
		return
	case api.OutcomeFailed:
		req.idem.record.setError(e)
	default:
		req.idem.record.OpenUntil = time.Now().UnixNano()
	}
	_ = req.idem.write(ctx, f.opts.Table)
}

// completeIdem records the outcome of a request that has an answer.
func (f *Frontend) completeIdem(req *request, ans *answer) {
	if !req.intentRecorded || ans.repeated {
		return
	}
	rec := &req.idem.record
	rec.Outcome = ans.outcome()
	rec.Stored = ans.rest == nil && ans.length <= f.limits.StoredAnswer
	if rec.Stored {
		rec.Answer = ans.head
	} else {
		rec.Code = api.CodeAnswerTooLarge
		rec.Message = "the request ran to its end; its answer was too large to be kept for a repeat"
	}
	f.background(func(ctx context.Context) { _ = req.idem.write(ctx, f.opts.Table) })
}

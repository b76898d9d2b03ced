package door

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cuminloft/api"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
)

// handleRun serves POST /v1/run/{queue}.
func (f *Frontend) handleRun(w http.ResponseWriter, r *http.Request) {
	countRequests.Add(1)
	id := newID()
	w.Header().Set(api.HeaderRequestID, id)
	req, refusal := f.readRequest(r, id)
	if refusal != nil {
		f.refuse(w, nil, refusal)
		return
	}
	f.record(req, timeline.KindRequestReceived, req.job.Queue, "")
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	if refusal := f.admission.enter(ctx, req.caller.team, req.share); refusal != nil {
		f.refuse(w, req, refusal)
		return
	}
	gaugeInFlight.Add(1)
	admitted := time.Now()
	defer func() {
		gaugeInFlight.Add(-1)
		f.admission.leave(req.caller.team, time.Since(admitted))
	}()
	if req.body, refusal = readBody(w, r, f.limits); refusal != nil {
		f.refuse(w, req, refusal)
		return
	}
	ans, refusal := f.answerRequest(ctx, req)
	if refusal != nil {
		f.refuse(w, req, refusal)
		return
	}
	f.deliver(r.Context(), w, req, ans)
}

func (f *Frontend) answerRequest(ctx context.Context, req *request) (*answer, *Error) {
	if req.key == "" {
		return f.serveWithRetries(ctx, req)
	}
	return f.serveWithKey(ctx, req)
}

// serveWithRetries runs the request, if necessary on several workers in turn, until it has
// an answer or a final error.
func (f *Frontend) serveWithRetries(ctx context.Context, req *request) (*answer, *Error) {
	f.retryBudgets.earn(req.caller.team)
	for sends := 1; ; sends++ {
		a, refusal := f.reserve(ctx, req)
		if refusal != nil {
			return req.finalOutcome(refusal)
		}
		end := f.runAttempt(ctx, req, a)
		f.observeShardHealth(req, a, end)
		if end.answer != nil && !f.retriesFailedTask(ctx, req, end.answer, sends) {
			return end.answer, nil
		}
		if end.answer == nil && !f.mayRetry(ctx, req, end, sends) {
			return req.finalOutcome(end.err)
		}
		f.record(req, timeline.KindRequestRetried, a.ticket.GetWorker(), "")
		if wait.For(ctx, f.backoff(sends)) != nil {
			return req.finalOutcome(pastDeadline())
		}
	}
}

// observeShardHealth records whether the attempt failed on its shard.
func (f *Frontend) observeShardHealth(req *request, a *attempt, end attemptResult) {
	if end.final {
		return // nothing was sent
	}
	failed := end.answer == nil || end.answer.failed
	f.router.health.observe(shardQueue{a.shard.Name, req.job.Queue}, failed, time.Now())
	if failed {
		req.failedShards[a.shard.Name] = true
	}
}

// finalOutcome returns the outcome of a request that is not retried further: the outcome of
// an earlier attempt that ran takes precedence over the refusal of the last one.
func (r *request) finalOutcome(last *Error) (*answer, *Error) {
	if r.failedAnswer != nil {
		return r.failedAnswer, nil
	}
	if r.possiblyRan != nil {
		return nil, r.possiblyRan
	}
	if last.Outcome == api.OutcomeNotRun {
		last.Proof = r.proof.weaker(last.Proof)
	}
	return nil, last
}

// mayRetry reports whether an attempt without an answer may be followed by another, and
// takes the retry from the budget. A request is sent again only if its attempt is proved
// not to have started, or if it is idempotent and its attempt is proved to have ended.
func (f *Frontend) mayRetry(ctx context.Context, req *request, end attemptResult, sends int) bool {
	if end.final {
		return false
	}
	harmless := end.err.Outcome == api.OutcomeNotRun || (req.job.Task.Idempotent && end.ended)
	return harmless && f.canRetry(ctx, req, sends)
}

// retriesFailedTask reports whether an idempotent request whose task reported an error is
// retried on another worker. The first failed answer is kept in case the retry gives no
// answer.
func (f *Frontend) retriesFailedTask(ctx context.Context, req *request, ans *answer, sends int) bool {
	if !ans.failed || ans.rest != nil || !req.job.Task.Idempotent || req.failedAnswer != nil {
		return false
	}
	if !f.canRetry(ctx, req, sends) {
		return false
	}
	req.failedAnswer = ans
	req.avoidWorkers = append(req.avoidWorkers, ans.attempt.ticket.GetWorker())
	f.releaseEnded(req, ans.attempt, endOfOutcome(ans.outcome()))
	ans.released = true
	return true
}

func (f *Frontend) canRetry(ctx context.Context, req *request, sends int) bool {
	return sends < f.limits.MaxAttempts &&
		ctx.Err() == nil &&
		time.Now().Before(req.runDeadline(f.limits)) &&
		req.body.resendable() &&
		f.takeRetry(req.caller.team)
}

// backoff returns the jittered delay after the given number of sends.
func (f *Frontend) backoff(sends int) time.Duration {
	longest := f.limits.RetryBackoff << (sends - 1)
	return longest/2 + rand.N(longest/2+1)
}

// refuse sends a final error. req is nil if the request could not be parsed.
func (f *Frontend) refuse(w http.ResponseWriter, req *request, e *Error) {
	switch e.Outcome {
	case api.OutcomeNotRun:
		countNotRun.Add(1)
	case api.OutcomeFailed:
		countFailed.Add(1)
	default:
		countUnknown.Add(1)
	}
	if req != nil {
		f.recordEnd(req, "", string(e.Outcome)+" "+string(e.Code)+" "+string(e.Proof))
	}
	writeError(w, e)
}

// record adds an event of the request to the time line.
func (f *Frontend) record(req *request, kind timeline.Kind, target, detail string) {
	f.rec.Record(timeline.Event{
		Kind:    kind,
		Request: req.id,
		Job:     string(req.job.ID),
		Team:    req.caller.team,
		Target:  target,
		Detail:  detail,
	})
}

// recordEnd adds the request's final answer to the time line.
func (f *Frontend) recordEnd(req *request, target, detail string) {
	f.rec.Record(timeline.Event{
		Kind:     timeline.KindRequestAnswered,
		Request:  req.id,
		Job:      string(req.job.ID),
		Team:     req.caller.team,
		Target:   target,
		Detail:   detail,
		Duration: time.Since(req.received),
	})
}

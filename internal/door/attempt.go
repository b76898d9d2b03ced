package door

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cuminloft/api"
	"cuminloft/internal/member"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// attempt is one attempt to run a direct request on one worker.
type attempt struct {
	shard  member.ShardRef
	ticket *rpc.Ticket
	client worker.Client
	id     worker.Attempt
	sent   time.Time
}

func (r *request) taskID() model.TaskID { return model.TaskID{Job: r.job.ID} }

// newAttempt creates the attempt for a ticket. It refuses a ticket that was issued for
// another request or attempt.
func (f *Frontend) newAttempt(req *request, shard member.ShardRef, t *rpc.Ticket) (*attempt, *Error, disposition) {
	a := &attempt{
		shard:  shard,
		ticket: t,
		id:     worker.Attempt{Task: req.taskID(), Number: int(req.attempts)},
	}
	if t.GetTask() != a.id.Task.String() || t.GetAttempt() != req.attempts {
		countForeign.Add(1)
		return nil, neverSent(http.StatusServiceUnavailable, api.CodeNoShard, "the owner answered for another request").
			retryAfter(retryAfterShort), reroute
	}
	a.client = f.opts.Connect(t.GetWorker(), t.GetWorkerAddr())
	return a, nil, final
}

// ticketOf returns the part of a ticket that an idempotency record stores.
func ticketOf(r *idemRecord) *rpc.Ticket {
	return &rpc.Ticket{Shard: r.Shard, Worker: r.Worker, WorkerAddr: r.Addr, Fence: int64(r.Fence), Boot: r.Boot}
}

func (a *attempt) fence() worker.Fence { return worker.Fence(a.ticket.GetFence()) }

func (a *attempt) start(req *request) worker.Start {
	return worker.Start{
		Attempt:   a.id,
		Fence:     a.fence(),
		StartBy:   a.ticket.GetStartBy(),
		Lease:     time.Duration(a.ticket.GetLeaseNs()),
		Resources: a.ticket.GetSize().Model(),
		Direct:    true,
		Team:      a.ticket.GetTeam(),
		RunTime:   req.job.Task.RunTime,
	}
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	answer *answer // answer of the task; nil if there is none
	err    *Error  // outcome without an answer
	// ended means that the attempt is proved not to be running (any more).
	ended bool
	// final means that no further attempt is made.
	final bool
}

// runAttempt sends one attempt and determines its result.
func (f *Frontend) runAttempt(ctx context.Context, req *request, a *attempt) attemptResult {
	in, err := req.body.open()
	if err != nil {
		f.giveBackUnused(req, a, "")
		return attemptResult{err: notRun(req.proof, http.StatusServiceUnavailable, api.CodeNoWorker,
			"the body is too large to be kept for another attempt").retryAfter(retryAfterShort), ended: true}
	}
	defer func() { _ = in.Close() }()
	if refusal := f.recordIntent(ctx, req, a); refusal != nil {
		f.giveBackUnused(req, a, "")
		return attemptResult{err: refusal, final: true}
	}
	runCtx, cancel := f.runContext(ctx, req)
	countAttempts.Add(1)
	a.sent = time.Now()
	f.record(req, timeline.KindRequestSent, a.ticket.GetWorker(), "")
	got, err := a.client.Run(runCtx, a.start(req), in)
	if err == nil {
		got, err = f.checkEcho(req, a, got)
	}
	var ans *answer
	if err == nil {
		ans, err = f.readAnswer(req, a, got, cancel)
	}
	if err == nil {
		f.runTimes.observe(req.runKey(), time.Since(a.sent))
		return attemptResult{answer: ans, ended: true}
	}
	cancel()
	if proof, fault := proofOf(err); proof != "" {
		return f.notStarted(req, a, proof, fault, err)
	}
	return f.settle(ctx, req, a)
}

// runContext bounds the time of an attempt. When the caller disconnects, idempotent work is
// cancelled; other work runs to its end, because it can never be repeated.
func (f *Frontend) runContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if !req.job.Task.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, req.runDeadline(f.limits))
}

// checkEcho rejects an answer that belongs to another attempt.
func (f *Frontend) checkEcho(req *request, a *attempt, got *worker.Answer) (*worker.Answer, error) {
	if got.Attempt == a.id {
		return got, nil
	}
	_ = got.Body.Close()
	countForeign.Add(1)
	f.record(req, timeline.KindAnswerDropped, a.ticket.GetWorker(), "belongs to "+got.Attempt.Task.String())
	return nil, worker.ErrForeignAnswer
}

// notStarted ends an attempt that is proved never to have run on the worker. fault means
// that the worker is the cause.
func (f *Frontend) notStarted(req *request, a *attempt, proof Proof, fault bool, err error) attemptResult {
	req.proof = req.proof.weaker(proof)
	reason := ""
	if fault {
		reason = a.ticket.GetWorker() + ": " + refusalClause(err)
		req.avoidWorkers = append(req.avoidWorkers, a.ticket.GetWorker())
	}
	f.giveBackUnused(req, a, reason)
	return attemptResult{
		err: notRun(req.proof, http.StatusServiceUnavailable, api.CodeNoWorker, "no worker started the request: "+refusalClause(err)).
			retryAfter(retryAfterShort),
		ended: true,
	}
}

// refusalClause returns the part of a worker's error text that is the same for all workers.
func refusalClause(err error) string {
	for _, r := range startRefusals {
		if errors.Is(err, r.err) {
			return r.err.Error()
		}
	}
	return "unsettled"
}

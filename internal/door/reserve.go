package door

import (
	"context"
	"net/http"
	"time"

	"cuminloft/api"
	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
)

// reserve obtains a ticket for the request's next attempt from a shard. It sends nothing to
// a worker, so its refusals prove that nothing ran.
func (f *Frontend) reserve(ctx context.Context, req *request) (*attempt, *Error) {
	req.awaitRelease(ctx)
	var last *Error
	for {
		c, refusal := f.configuration(ctx)
		if refusal != nil {
			return nil, refusal
		}
		shard, ok := f.router.choose(c, &req.job, req.excludedShards, req.failedShards)
		if !ok {
			return nil, orNoShard(last)
		}
		a, refusal, next := f.reserveOn(ctx, req, shard)
		if a != nil {
			return a, nil
		}
		req.excludedShards[shard.Name] = true
		last = refusal
		if !f.mayTryElsewhere(ctx, req, next) {
			return nil, last
		}
	}
}

func orNoShard(last *Error) *Error {
	if last != nil {
		return last
	}
	return neverSent(http.StatusServiceUnavailable, api.CodeNoShard, "no shard has a ready owner now").
		retryAfter(retryAfterTakeover)
}

// mayTryElsewhere reports whether another shard may be tried after a refusal by one shard.
// Rerouting is bounded by the number of shards. Trying another shard because one is full
// multiplies the load, so it takes a retry from the budget.
func (f *Frontend) mayTryElsewhere(ctx context.Context, req *request, next disposition) bool {
	if ctx.Err() != nil {
		return false
	}
	switch next {
	case reroute:
		return true
	case loaded:
		return f.takeRetry(req.caller.team)
	}
	return false
}

// reserveOn requests a ticket from one shard.
func (f *Frontend) reserveOn(ctx context.Context, req *request, shard member.ShardRef) (*attempt, *Error, disposition) {
	wait := time.Until(f.startDeadline(req))
	if wait <= 0 {
		return nil, pastDeadline(), final
	}
	if expected, ok := f.waitEstimator.join(req.waitKey(), wait, time.Now()); !ok {
		return nil, overloaded(api.CodeDeadline, "the queue is longer than the request can wait", expected-wait), final
	}
	req.attempts++
	f.router.countSent(shard)
	f.record(req, timeline.KindRequestRouted, shard.Name, "")
	ticket, err := shard.Owner.Reserve(ctx, req.reserveRequest(shard.Name, wait))
	f.waitEstimator.leave(req.waitKey(), err == nil, time.Now())
	if err == nil {
		return f.newAttempt(req, shard, ticket)
	}
	if _, refused := rpc.RefusalFromTwirp(err); !refused {
		// The ticket may have been granted and the reply lost.
		f.release(shard, &rpc.ReleaseRequest{
			Shard: shard.Name, Task: req.taskID().String(), Attempt: req.attempts, End: endNotStarted,
		})
	}
	if ctx.Err() != nil {
		return nil, pastDeadline(), final
	}
	refusal, next := errorFromOwner(err)
	return nil, refusal, next
}

func pastDeadline() *Error {
	return overloaded(api.CodeDeadline, "no worker had room before the deadline", retryAfterShort)
}

// takeRetry takes one retry from the budgets of the team and the process.
func (f *Frontend) takeRetry(team string) bool {
	if !f.retryBudgets.take(team, time.Now()) {
		countNoBudget.Add(1)
		return false
	}
	countRetries.Add(1)
	return true
}

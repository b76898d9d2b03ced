package door

import (
	"net/http"

	"cuminloft/api"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
)

// disposition is how a request proceeds after an owner's refusal.
type disposition int

const (
	// final: every other shard would refuse as well.
	final disposition = iota
	// reroute: this shard cannot decide now, but another shard may.
	reroute
	// loaded: this shard is full; trying another one takes a retry from the budget.
	loaded
)

// refusalRule is the HTTP status and the disposition for an owner's refusal.
type refusalRule struct {
	status      int
	disposition disposition
}

// refusalRules covers the refusal codes of owners and of the scheduling core.
var refusalRules = map[rpc.RefusalCode]refusalRule{
	rpc.CodeNotOwner:             {http.StatusServiceUnavailable, reroute},
	rpc.CodeNotReady:             {http.StatusServiceUnavailable, reroute},
	rpc.CodeTableUnreachable:     {http.StatusServiceUnavailable, reroute},
	rpc.CodeConfigStale:          {http.StatusServiceUnavailable, reroute},
	rpc.CodeAZOutOfService:       {http.StatusServiceUnavailable, reroute},
	rpc.CodeJournalFull:          {http.StatusServiceUnavailable, loaded},
	rpc.CodeInsufficientCapacity: {http.StatusTooManyRequests, loaded},
	rpc.CodeLimit:                {http.StatusTooManyRequests, loaded},
	rpc.CodeUnauthenticated:      {http.StatusUnauthorized, final},
	rpc.CodeForbidden:            {http.StatusForbidden, final},
	rpc.CodeUnknownQueue:         {http.StatusNotFound, final},
	rpc.CodeNotFound:             {http.StatusNotFound, final},
	rpc.CodeInvalid:              {http.StatusBadRequest, final},

	rpc.RefusalCode(sched.RefusedQueueFull):   {http.StatusTooManyRequests, loaded},
	rpc.RefusalCode(sched.RefusedDeadline):    {http.StatusTooManyRequests, loaded},
	rpc.RefusalCode(sched.RefusedTooLarge):    {http.StatusUnprocessableEntity, reroute},
	rpc.RefusalCode(sched.RefusedGangTooBig):  {http.StatusUnprocessableEntity, final},
	rpc.RefusalCode(sched.RefusedOverLimit):   {http.StatusUnprocessableEntity, final},
	rpc.RefusalCode(sched.RefusedUnknownTeam): {http.StatusForbidden, final},
	rpc.RefusalCode(sched.RefusedCancelled):   {http.StatusConflict, final},
}

// isDuplicateID reports whether an owner refused a job id because it is in use.
func isDuplicateID(err error) bool {
	refusal, ok := rpc.RefusalFromTwirp(err)
	return ok && refusal.Code == rpc.CodeInvalid && refusal.Field == "id"
}

// errorFromOwner converts an owner's error to the answer that the caller gets if nothing
// else is tried, and returns how the request may proceed. It is for calls that start no
// task, so that a lost reply still proves that nothing ran.
func errorFromOwner(err error) (*Error, disposition) {
	refusal, ok := rpc.RefusalFromTwirp(err)
	if !ok {
		return neverSent(http.StatusServiceUnavailable, api.CodeNoShard, "the shard's owner did not answer").
			retryAfter(retryAfterTakeover), reroute
	}
	rule, known := refusalRules[refusal.Code]
	if isDuplicateID(refusal) {
		// The shard still holds an earlier ticket of this request that was given back.
		rule = refusalRule{http.StatusServiceUnavailable, reroute}
	}
	if !known {
		rule = refusalRule{http.StatusServiceUnavailable, final}
	}
	e := neverSent(rule.status, api.Code(refusal.Code), refusal.Reason).
		field(refusal.Field).
		retryAfter(refusal.RetryAfter)
	if rule.status == http.StatusServiceUnavailable || rule.status == http.StatusTooManyRequests {
		e.RetryAfter = max(e.RetryAfter, retryAfterShort)
	}
	return e, rule.disposition
}

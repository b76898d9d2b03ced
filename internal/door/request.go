package door

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
)

// request is the state of one direct request.
type request struct {
	id       string
	caller   identity
	share    int // share of the team, its weight in admission
	job      model.Job
	key      string // idempotency key; empty: none
	received time.Time
	deadline time.Time // for the complete answer
	body     *body

	attempts       int32           // tickets requested; the number of the next attempt is one higher
	excludedShards map[string]bool // shards that are not tried again for this request
	failedShards   map[string]bool // shards on which an attempt failed
	avoidWorkers   []string        // workers that earlier attempts failed on
	proof          Proof           // proves that the attempts so far had no effect, if possiblyRan is nil
	possiblyRan    *Error          // outcome of an attempt that may have run; nil: none may have run
	released       <-chan struct{} // closed when the release of the last ticket has finished
	idem           *idemRow        // row of the idempotency key; nil without a key
	intentRecorded bool            // the row in the table names this request's last attempt
	failedAnswer   *answer         // complete answer in which the task reported an error
}

// newID returns 128 random bits in hexadecimal.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// configuration returns the configuration in force, or a refusal if it may be outdated.
func (f *Frontend) configuration(ctx context.Context) (*config.Config, *Error) {
	if err := f.opts.View.EnsureFresh(ctx); err != nil {
		return nil, staleConfig(err.Error())
	}
	c, _ := f.opts.View.Effective()
	if c == nil {
		return nil, staleConfig("no configuration was read yet")
	}
	return c, nil
}

func staleConfig(why string) *Error {
	return neverSent(http.StatusServiceUnavailable, api.CodeStale, why).retryAfter(retryAfterTakeover)
}

// readRequest authenticates a direct request and parses its headers.
func (f *Frontend) readRequest(r *http.Request, id string) (*request, *Error) {
	c, refusal := f.configuration(r.Context())
	if refusal != nil {
		return nil, refusal
	}
	caller, queue, refusal := f.authorize(r, c, r.PathValue("queue"))
	if refusal != nil {
		return nil, refusal
	}
	if queue.Policy != model.PolicyDirect {
		return nil, wrongPolicy(queue, "submit it with POST /v1/jobs")
	}
	h, refusal := parseHeaders(r.Header, f.limits)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := checkTask(queue, h.resources); refusal != nil {
		return nil, refusal
	}
	now := time.Now()
	req := &request{
		id:             id,
		caller:         caller,
		share:          teamShare(c, caller.team),
		key:            h.key,
		received:       now,
		deadline:       now.Add(h.timeout),
		excludedShards: make(map[string]bool),
		failedShards:   make(map[string]bool),
		proof:          ProofNeverSent,
	}
	req.job = h.job(model.JobID(id), caller.team, queue, now)
	return req, nil
}

func wrongPolicy(q *config.Queue, remedy string) *Error {
	return neverSent(http.StatusBadRequest, api.CodeWrongPolicy,
		"queue "+q.Name+" has policy "+string(q.Policy)).field("queue").remedy(remedy)
}

func teamShare(c *config.Config, name string) int {
	if t, ok := c.Team(name); ok {
		return t.Share
	}
	return 1
}

// headers are the parsed headers of a direct request.
type headers struct {
	idempotent bool
	timeout    time.Duration
	runTime    time.Duration
	resources  model.Resources
	kind       string
	key        string
}

// parseHeaders parses and validates the headers of a direct request.
func parseHeaders(in http.Header, l Limits) (headers, *Error) {
	h := headers{timeout: l.DefaultTimeout, kind: in.Get(api.HeaderKind), key: in.Get(api.HeaderIdempotencyKey)}
	var refusal *Error
	if h.idempotent, refusal = boolHeader(in, api.HeaderIdempotent); refusal != nil {
		return headers{}, refusal
	}
	if refusal = durationHeader(in, api.HeaderTimeout, l.MaxTimeout, &h.timeout); refusal != nil {
		return headers{}, refusal
	}
	if refusal = durationHeader(in, api.HeaderRunTime, maxRunTime, &h.runTime); refusal != nil {
		return headers{}, refusal
	}
	var err error
	if h.resources, err = api.ParseResources(in.Get(api.HeaderResources)); err != nil {
		return headers{}, invalid(api.HeaderResources, err.Error())
	}
	if len(h.key) > l.MaxIdempotencyKeyBytes {
		return headers{}, invalid(api.HeaderIdempotencyKey,
			"longer than "+strconv.Itoa(l.MaxIdempotencyKeyBytes)+" bytes")
	}
	if len(h.kind) > maxKindBytes {
		return headers{}, invalid(api.HeaderKind, "longer than "+strconv.Itoa(maxKindBytes)+" bytes")
	}
	return h, nil
}

const (
	maxRunTime   = 30 * 24 * time.Hour // longest declared run time
	maxKindBytes = 128
)

func boolHeader(in http.Header, name string) (bool, *Error) {
	text := in.Get(name)
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, invalid(name, "want true or false")
	}
	return v, nil
}

// durationHeader sets v if the header is present.
func durationHeader(in http.Header, name string, longest time.Duration, v *time.Duration) *Error {
	text := in.Get(name)
	if text == "" {
		return nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 || parsed > longest {
		return invalid(name, "want a duration such as 1.5s, above zero and at most "+longest.String())
	}
	*v = parsed
	return nil
}

// job returns the job with one task that represents the request.
func (h headers) job(id model.JobID, team string, q *config.Queue, now time.Time) model.Job {
	size := h.resources
	size.Slots = max(size.Slots, 1)
	return model.Job{
		ID:     id,
		Team:   team,
		Queue:  q.Name,
		Kind:   h.kind,
		Policy: model.PolicyDirect,
		Tasks:  1,
		Task: model.TaskSpec{
			Resources:   size,
			Connections: 1,
			RunTime:     h.runTime,
			Idempotent:  h.idempotent,
		},
		Urgent:    q.Urgent,
		Submitted: now,
	}
}

// reserveRequest returns the reservation request for the next attempt.
func (r *request) reserveRequest(shard string, wait time.Duration) *rpc.ReserveRequest {
	return &rpc.ReserveRequest{
		Shard:      shard,
		Job:        rpc.FromJob(r.job),
		Credential: r.caller.credential,
		WaitNs:     int64(wait),
		Attempt:    r.attempts,
		Avoid:      r.avoidWorkers,
	}
}

// settleReserve returns how long before the deadline an attempt without an answer is
// abandoned, so that there is time to settle its outcome.
func (r *request) settleReserve(l Limits) time.Duration {
	return min(l.SettleTimeout, r.deadline.Sub(r.received)/settleReserveFraction)
}

// settleReserveFraction is the largest part of the timeout, as 1/n, for settleReserve.
const settleReserveFraction = 10

// runDeadline returns when an attempt without an answer is abandoned.
func (r *request) runDeadline(l Limits) time.Time {
	return r.deadline.Add(-r.settleReserve(l))
}

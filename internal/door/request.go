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
	share    int // weight of the team
	job      model.Job
	key      string // idempotency key; empty: none
	received time.Time
	deadline time.Time // of the whole answer
	body     *body

	attempts       int32           // tickets asked for; the next attempt's number is one more
	excludedShards map[string]bool // shards that cannot serve the request now
	failedShards   map[string]bool // shards on which an attempt failed
	avoidWorkers   []string        // workers that failed earlier attempts
	proof          Proof           // that the attempts so far had no effect, if ran is nil
	possiblyRan    *Error          // what is known of an attempt that may have run
	released       <-chan struct{} // closed when the last ticket's release is over
	idem           *idemRow        // of the idempotency key; nil without one
	intentRecorded bool            // idem names this request's last attempt
	failedAnswer   *answer         // a whole answer that reports an error of the task
}

// newID returns 128 random bits in hexadecimal.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// configuration returns the configuration that may be acted on now.
func (d *Frontend) configuration(ctx context.Context) (*config.Config, *Error) {
	if err := d.opts.View.EnsureFresh(ctx); err != nil {
		return nil, staleConfig(err.Error())
	}
	c, _ := d.opts.View.Effective()
	if c == nil {
		return nil, staleConfig("no configuration was read yet")
	}
	return c, nil
}

func staleConfig(why string) *Error {
	return neverSent(http.StatusServiceUnavailable, api.CodeStale, why).retryAfter(retryAfterTakeover)
}

// readRequest authenticates a direct request and reads its headers.
func (d *Frontend) readRequest(r *http.Request, id string) (*request, *Error) {
	c, refusal := d.configuration(r.Context())
	if refusal != nil {
		return nil, refusal
	}
	caller, queue, refusal := d.authorize(r, c, r.PathValue("queue"))
	if refusal != nil {
		return nil, refusal
	}
	if queue.Policy != model.PolicyDirect {
		return nil, wrongPolicy(queue, "submit it with POST /v1/jobs")
	}
	h, refusal := parseHeaders(r.Header, d.limits)
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

// headers is what a direct request's headers say.
type headers struct {
	idempotent bool
	timeout    time.Duration
	runTime    time.Duration
	resources  model.Resources
	kind       string
	key        string
}

// parseHeaders reads and checks the headers of a direct request.
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

// durationHeader sets v if the header is there.
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

// job returns the job of one task that stands for the request.
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

// reserveRequest asks for room for the next attempt.
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

// settleReserve is the end of the time to the deadline that is kept for finding
// out what became of an attempt without an answer.
func (r *request) settleReserve(l Limits) time.Duration {
	return min(l.SettleTimeout, r.deadline.Sub(r.received)/settleReserveFraction)
}

// settleReserveFraction is the part of the timeout, as 1/n, that answerReserve keeps.
const settleReserveFraction = 10

// runDeadline is when an attempt without an answer is given up.
func (r *request) runDeadline(l Limits) time.Time {
	return r.deadline.Add(-r.settleReserve(l))
}

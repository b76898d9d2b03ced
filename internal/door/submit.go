package door

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/member"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
)

const (
	submitTimeout = 10 * time.Second // until a submission is answered at the latest
	maxTasks      = 10_000           // of one job
)

// submission is the state of one POST /v1/jobs.
type submission struct {
	caller         identity
	job            model.Job
	key            string
	excludedShards map[string]bool // shards that cannot take the job now
	pendingShard   string          // shard whose answer was lost; empty: none
}

// handleSubmit serves POST /v1/jobs. The job is durable when it answers 200.
func (d *Frontend) handleSubmit(w http.ResponseWriter, r *http.Request) {
	countRequests.Add(1)
	sub, refusal := d.readSubmission(w, r)
	if refusal != nil {
		d.refuse(w, nil, refusal)
		return
	}
	w.Header().Set(api.HeaderRequestID, string(sub.job.ID))
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	reply, refusal := d.submit(ctx, sub)
	if refusal != nil {
		d.refuse(w, nil, refusal)
		return
	}
	d.rec.Record(timeline.Event{
		Kind: timeline.KindJobAccepted, Job: reply.GetJobId(), Team: sub.caller.team, Target: reply.GetShard(),
	})
	writeJSON(w, http.StatusOK, api.Accepted{ID: reply.GetJobId(), Shard: reply.GetShard(), Repeated: reply.GetRepeated()})
}

func (d *Frontend) readSubmission(w http.ResponseWriter, r *http.Request) (*submission, *Error) {
	var in api.Submission
	if err := decodeBody(w, r, d.limits.MaxSubmission, &in); err != nil {
		return nil, err
	}
	c, refusal := d.configuration(r.Context())
	if refusal != nil {
		return nil, refusal
	}
	caller, queue, refusal := d.authorize(r, c, in.Queue)
	if refusal != nil {
		return nil, refusal
	}
	if in.IdempotencyKey == "" {
		in.IdempotencyKey = r.Header.Get(api.HeaderIdempotencyKey)
	}
	if refusal := checkSubmission(&in, queue, d.limits); refusal != nil {
		return nil, refusal
	}
	return &submission{
		caller:         caller,
		job:            jobOf(&in, caller.team, queue, time.Now()),
		key:            in.IdempotencyKey,
		excludedShards: make(map[string]bool),
	}, nil
}

func checkSubmission(in *api.Submission, q *config.Queue, l Limits) *Error {
	if q.Policy == model.PolicyDirect {
		return wrongPolicy(q, "send it with POST /v1/run/"+q.Name)
	}
	if in.Tasks == 0 {
		in.Tasks = 1
	}
	if in.Tasks < 0 || in.Tasks > maxTasks {
		return invalid("tasks", "want 1 to "+strconv.Itoa(maxTasks))
	}
	if in.Resources.IsNegative() || in.Connections < 0 {
		return invalid("resources", "amounts are natural numbers")
	}
	if in.RunTime < 0 || time.Duration(in.RunTime) > maxRunTime {
		return invalid("run_time", "want 0 to "+maxRunTime.String())
	}
	if in.MaxWait < 0 {
		return invalid("max_wait", "must not be negative")
	}
	if len(in.Kind) > maxKindBytes {
		return invalid("kind", "longer than "+strconv.Itoa(maxKindBytes)+" bytes")
	}
	if len(in.IdempotencyKey) > l.MaxIdempotencyKeyBytes {
		return invalid("idempotency_key", "longer than "+strconv.Itoa(l.MaxIdempotencyKeyBytes)+" bytes")
	}
	return checkTask(q, in.Resources)
}

func jobOf(in *api.Submission, team string, q *config.Queue, now time.Time) model.Job {
	size := in.Resources
	size.Slots = max(size.Slots, 1)
	return model.Job{
		ID:     model.JobID(newID()),
		Team:   team,
		Queue:  q.Name,
		Kind:   in.Kind,
		Policy: q.Policy,
		Tasks:  in.Tasks,
		Task: model.TaskSpec{
			Resources:   size,
			Connections: in.Connections,
			RunTime:     time.Duration(in.RunTime),
			Idempotent:  in.Idempotent,
			Payload:     in.Payload,
		},
		Urgent:    q.Urgent,
		Submitted: now,
		MaxWait:   time.Duration(in.MaxWait),
	}
}

// submit hands the job to one shard. Once a shard's answer is lost, the job may
// be durable there, and no other shard is asked.
func (d *Frontend) submit(ctx context.Context, sub *submission) (*rpc.SubmitReply, *Error) {
	var last *Error
	for pause := initialSettleDelay; ; pause = min(2*pause, maxSettleDelay) {
		shard, refusal := d.submitShard(ctx, sub)
		if refusal != nil {
			return nil, orElse(last, refusal)
		}
		reply, err := d.submitOrQuery(ctx, shard, sub)
		if err == nil {
			return reply, nil
		}
		last = d.handleSubmitError(ctx, sub, shard, err)
		if last.final {
			return nil, last
		}
		if sub.pendingShard != "" && wait.For(ctx, pause) != nil {
			return nil, submissionUnknown(sub)
		}
	}
}

// submitOrQuery sends the submission. After a lost answer it is sent again only if
// its idempotency key keeps it from being accepted twice; else the shard is asked
// whether it has the job.
func (d *Frontend) submitOrQuery(ctx context.Context, shard member.ShardRef, sub *submission) (*rpc.SubmitReply, error) {
	if shard.Owner == nil {
		return nil, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if sub.pendingShard == "" || sub.key != "" {
		reply, err := shard.Owner.Submit(ctx, &rpc.SubmitRequest{
			Shard:          shard.Name,
			Job:            rpc.FromJob(sub.job),
			Credential:     sub.caller.credential,
			IdempotencyKey: sub.key,
		})
		if sub.pendingShard != "" && isDuplicateID(err) {
			return &rpc.SubmitReply{JobId: string(sub.job.ID), Shard: shard.Name}, nil
		}
		return reply, err
	}
	status, err := shard.Owner.GetJob(ctx, &rpc.GetJobRequest{
		Shard: shard.Name, JobId: string(sub.job.ID), Credential: sub.caller.credential,
	})
	if err != nil {
		return nil, err
	}
	return &rpc.SubmitReply{JobId: status.GetJobId(), Shard: shard.Name}, nil
}

// orElse returns e, or other if e is nil.
func orElse(e, other *Error) *Error {
	if e != nil {
		return e
	}
	return other
}

// submitShard returns the shard to send the submission to.
func (d *Frontend) submitShard(ctx context.Context, sub *submission) (member.ShardRef, *Error) {
	if sub.pendingShard != "" {
		if s, ok := d.opts.Directory.Shard(sub.pendingShard); ok && s.Owner != nil {
			return s, nil
		}
		return member.ShardRef{Name: sub.pendingShard}, nil
	}
	c, refusal := d.configuration(ctx)
	if refusal != nil {
		return member.ShardRef{}, refusal
	}
	s, ok := d.router.choose(c, &sub.job, sub.excludedShards, nil)
	if !ok {
		return member.ShardRef{}, orNoShard(nil)
	}
	return s, nil
}

// errNoOwner means that a shard has no owner now; nothing was sent.
var errNoOwner = &rpc.Refusal{Code: rpc.CodeNotReady, Reason: "the shard has no owner now", RetryAfter: retryAfterTakeover}

// handleSubmitError notes what a failed call proves. While an answer is lost, later
// refusals prove nothing about the call whose answer it was.
func (d *Frontend) handleSubmitError(ctx context.Context, sub *submission, shard member.ShardRef, err error) *Error {
	if _, refused := rpc.RefusalFromTwirp(err); !refused && !isDialError(err) {
		sub.pendingShard = shard.Name
	}
	if sub.pendingShard != "" {
		return submissionUnknown(sub)
	}
	sub.excludedShards[shard.Name] = true
	e, next := errorFromOwner(err)
	e.final = next == final || ctx.Err() != nil || (next == loaded && !d.takeRetry(sub.caller.team))
	return e
}

// isDialError reports that a connection to the owner could not be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func submissionUnknown(sub *submission) *Error {
	e := unsettled(api.CodeUnsettled, "the job may have been accepted; its id is "+string(sub.job.ID))
	e.Remedy = "ask GET /v1/jobs/" + string(sub.job.ID) + ", or repeat with the same idempotency key"
	return e.retryAfter(retryAfterTakeover)
}

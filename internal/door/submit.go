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
	submitTimeout = 10 * time.Second // maximum time to answer a submission
	maxTasks      = 10_000           // of one job
)

// submission is the state of one POST /v1/jobs.
type submission struct {
	caller         identity
	job            model.Job
	key            string
	excludedShards map[string]bool // shards that are not tried again for this job
	pendingShard   string          // shard whose reply was lost; empty: none
}

// handleSubmit serves POST /v1/jobs. Status 200 means that the job is stored durably.
func (f *Frontend) handleSubmit(w http.ResponseWriter, r *http.Request) {
	countRequests.Add(1)
	sub, refusal := f.readSubmission(w, r)
	if refusal != nil {
		f.refuse(w, nil, refusal)
		return
	}
	w.Header().Set(api.HeaderRequestID, string(sub.job.ID))
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	reply, refusal := f.submit(ctx, sub)
	if refusal != nil {
		f.refuse(w, nil, refusal)
		return
	}
	f.rec.Record(timeline.Event{
		Kind: timeline.KindJobAccepted, Job: reply.GetJobId(), Team: sub.caller.team, Target: reply.GetShard(),
	})
	writeJSON(w, http.StatusOK, api.Accepted{ID: reply.GetJobId(), Shard: reply.GetShard(), Repeated: reply.GetRepeated()})
}

func (f *Frontend) readSubmission(w http.ResponseWriter, r *http.Request) (*submission, *Error) {
	var in api.Submission
	if err := decodeBody(w, r, f.limits.MaxSubmission, &in); err != nil {
		return nil, err
	}
	c, refusal := f.configuration(r.Context())
	if refusal != nil {
		return nil, refusal
	}
	caller, queue, refusal := f.authorize(r, c, in.Queue)
	if refusal != nil {
		return nil, refusal
	}
	if in.IdempotencyKey == "" {
		in.IdempotencyKey = r.Header.Get(api.HeaderIdempotencyKey)
	}
	if refusal := checkSubmission(&in, queue, f.limits); refusal != nil {
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

// submit submits the job to one shard. After a lost reply the job may be durable in that
// shard, so no other shard is tried.
func (f *Frontend) submit(ctx context.Context, sub *submission) (*rpc.SubmitReply, *Error) {
	var last *Error
	for pause := initialSettleDelay; ; pause = min(2*pause, maxSettleDelay) {
		shard, refusal := f.submitShard(ctx, sub)
		if refusal != nil {
			return nil, orElse(last, refusal)
		}
		reply, err := f.submitOrQuery(ctx, shard, sub)
		if err == nil {
			return reply, nil
		}
		last = f.handleSubmitError(ctx, sub, shard, err)
		if last.final {
			return nil, last
		}
		if sub.pendingShard != "" && wait.For(ctx, pause) != nil {
			return nil, submissionUnknown(sub)
		}
	}
}

// submitOrQuery sends the submission. After a lost reply it sends the submission again only
// if its idempotency key prevents a second acceptance; otherwise it queries the shard for
// the job.
func (f *Frontend) submitOrQuery(ctx context.Context, shard member.ShardRef, sub *submission) (*rpc.SubmitReply, error) {
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

// submitShard returns the shard to which the submission is sent.
func (f *Frontend) submitShard(ctx context.Context, sub *submission) (member.ShardRef, *Error) {
	if sub.pendingShard != "" {
		if s, ok := f.opts.Directory.Shard(sub.pendingShard); ok && s.Owner != nil {
			return s, nil
		}
		return member.ShardRef{Name: sub.pendingShard}, nil
	}
	c, refusal := f.configuration(ctx)
	if refusal != nil {
		return member.ShardRef{}, refusal
	}
	s, ok := f.router.choose(c, &sub.job, sub.excludedShards, nil)
	if !ok {
		return member.ShardRef{}, orNoShard(nil)
	}
	return s, nil
}

// errNoOwner means that the shard has no owner, and that nothing was sent.
var errNoOwner = &rpc.Refusal{Code: rpc.CodeNotReady, Reason: "the shard has no owner now", RetryAfter: retryAfterTakeover}

// handleSubmitError updates sub after a failed call and returns the error for the caller.
// After a lost reply, later refusals prove nothing about the call whose reply was lost.
func (f *Frontend) handleSubmitError(ctx context.Context, sub *submission, shard member.ShardRef, err error) *Error {
	if _, refused := rpc.RefusalFromTwirp(err); !refused && !isDialError(err) {
		sub.pendingShard = shard.Name
	}
	if sub.pendingShard != "" {
		return submissionUnknown(sub)
	}
	sub.excludedShards[shard.Name] = true
	e, next := errorFromOwner(err)
	e.final = next == final || ctx.Err() != nil || (next == loaded && !f.takeRetry(sub.caller.team))
	return e
}

// isDialError reports whether the connection to the owner could not be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func submissionUnknown(sub *submission) *Error {
	e := unsettled(api.CodeUnsettled, "the job may have been accepted; its id is "+string(sub.job.ID))
	e.Remedy = "ask GET /v1/jobs/" + string(sub.job.ID) + ", or repeat with the same idempotency key"
	return e.retryAfter(retryAfterTakeover)
}

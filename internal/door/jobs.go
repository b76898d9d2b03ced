package door

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/member"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
)

const (
	ownerTimeout    = 3 * time.Second // of one call to a shard owner
	defaultJobLimit = 100             // jobs on a page
	maxJobLimit     = 1000
)

// queryError returns an error of a call that runs no work, and so has no outcome.
func queryError(status int, code api.Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message}
}

// asQueryError removes the outcome from a refusal of a call that runs no work.
func asQueryError(e *Error) *Error {
	e.Outcome, e.Proof = "", ""
	return e
}

// credentialOf returns the caller's credential, which the owner checks. It is empty for
// requests without a key, which suffice for jobs of open queues.
func (f *Frontend) credentialOf(r *http.Request) (*rpc.Credential, *Error) {
	if r.Header.Get("Authorization") == "" {
		return &rpc.Credential{}, nil
	}
	c, refusal := f.configuration(r.Context())
	if refusal != nil {
		return nil, asQueryError(refusal)
	}
	caller, refusal := f.authenticate(r, c)
	if refusal != nil {
		return nil, asQueryError(refusal)
	}
	return caller.credential, nil
}

// handleJob serves GET /v1/jobs/{id}?wait=&seen=&explain=.
func (f *Frontend) handleJob(w http.ResponseWriter, r *http.Request) {
	credential, refusal := f.credentialOf(r)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	wait, refusal := f.waitParam(r)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	req := &rpc.GetJobRequest{
		JobId:      r.PathValue("id"),
		Credential: credential,
		SeenState:  r.URL.Query().Get("seen"),
		Explain:    r.URL.Query().Get("explain") == "true",
	}
	shard, status, refusal := f.findJob(r.Context(), req)
	if refusal == nil && wait > 0 && status.GetState() != api.JobEnded {
		status, refusal = f.waitJob(r.Context(), shard, req, wait)
	}
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, jobFromStatus(status))
}

func (f *Frontend) waitParam(r *http.Request) (time.Duration, *Error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, asQueryError(invalid("wait", "want a duration such as 30s"))
	}
	return min(wait, f.limits.MaxJobWait), nil
}

// findJob queries all shards for a job. The job's id does not name its shard, because a job
// may move to another shard when its AZ is lost.
func (f *Frontend) findJob(ctx context.Context, req *rpc.GetJobRequest) (member.ShardRef, *rpc.JobStatus, *Error) {
	shards := f.opts.Directory.Shards()
	found := make([]*rpc.JobStatus, len(shards))
	refused := make([]*Error, len(shards))
	f.queryShards(ctx, shards, func(ctx context.Context, i int, owner rpc.Shard) error {
		var err error
		found[i], err = owner.GetJob(ctx, &rpc.GetJobRequest{
			Shard: shards[i].Name, JobId: req.JobId, Credential: req.Credential, Explain: req.Explain,
		})
		return err
	}, refused)
	for i, status := range found {
		if status != nil && refused[i] == nil {
			return shards[i], status, nil
		}
	}
	return member.ShardRef{}, nil, notFound(req.JobId, refused)
}

// notFound returns the error for a job that was not found. It reports that the job does not
// exist only if every shard has replied so.
func notFound(id string, refused []*Error) *Error {
	missing := queryError(http.StatusNotFound, api.CodeNoSuchJob, "no job with id "+id).field("id")
	if len(refused) == 0 {
		missing = queryError(http.StatusServiceUnavailable, api.CodeNoShard, "no shard is known yet").retryAfter(retryAfterTakeover)
	}
	for _, e := range refused {
		if e.Status == http.StatusForbidden || e.Status == http.StatusUnauthorized {
			return e
		}
		if e.Status != http.StatusNotFound {
			missing = queryError(http.StatusServiceUnavailable, api.CodeNoShard,
				"the job was not found, but not every shard answered").retryAfter(retryAfterTakeover)
		}
	}
	return missing
}

// queryShards calls fn for all shards concurrently and stores the error of shard i in
// refused[i].
func (f *Frontend) queryShards(ctx context.Context, shards []member.ShardRef, fn func(ctx context.Context, i int, owner rpc.Shard) error, refused []*Error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var g errgroup.Group
	for i, s := range shards {
		if s.Owner == nil {
			refused[i] = queryError(http.StatusServiceUnavailable, api.CodeNoShard, "shard "+s.Name+" has no owner now").
				retryAfter(retryAfterTakeover)
			continue
		}
		g.Go(func() error {
			if err := fn(ctx, i, s.Owner); err != nil {
				e, _ := errorFromOwner(err)
				refused[i] = asQueryError(e)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// waitJob polls until the job's state differs from the state seen by the caller or, if the
// caller names none, until the job has ended.
func (f *Frontend) waitJob(ctx context.Context, shard member.ShardRef, req *rpc.GetJobRequest, wait time.Duration) (*rpc.JobStatus, *Error) {
	until := time.Now().Add(wait)
	ask := &rpc.GetJobRequest{
		Shard: shard.Name, JobId: req.JobId, Credential: req.Credential, Explain: req.Explain, SeenState: req.SeenState,
	}
	for {
		ask.WaitNs = int64(max(time.Until(until), 0))
		status, err := f.getJob(ctx, shard, ask, wait)
		if err != nil {
			e, _ := errorFromOwner(err)
			return nil, asQueryError(e)
		}
		changed := req.SeenState != "" && status.GetState() != req.SeenState
		if changed || status.GetState() == api.JobEnded || ask.WaitNs == 0 {
			return status, nil
		}
		ask.SeenState = status.GetState()
	}
}

func (f *Frontend) getJob(ctx context.Context, shard member.ShardRef, ask *rpc.GetJobRequest, wait time.Duration) (*rpc.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+ownerTimeout)
	defer cancel()
	return shard.Owner.GetJob(ctx, ask)
}

// handleCancel serves DELETE /v1/jobs/{id}. It is idempotent.
func (f *Frontend) handleCancel(w http.ResponseWriter, r *http.Request) {
	credential, refusal := f.credentialOf(r)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	id := r.PathValue("id")
	shard, _, refusal := f.findJob(r.Context(), &rpc.GetJobRequest{JobId: id, Credential: credential})
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), ownerTimeout)
	defer cancel()
	status, err := shard.Owner.CancelJob(ctx, &rpc.CancelJobRequest{Shard: shard.Name, JobId: id, Credential: credential})
	if err != nil {
		e, _ := errorFromOwner(err)
		writeError(w, asQueryError(e))
		return
	}
	writeJSON(w, http.StatusOK, jobFromStatus(status))
}

// handleList serves GET /v1/jobs?state=&limit=&after=.
func (f *Frontend) handleList(w http.ResponseWriter, r *http.Request) {
	c, refusal := f.configuration(r.Context())
	if refusal != nil {
		writeError(w, asQueryError(refusal))
		return
	}
	caller, refusal := f.authenticate(r, c)
	if refusal != nil {
		writeError(w, asQueryError(refusal))
		return
	}
	limit, refusal := limitParam(r)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, f.listJobs(r.Context(), &rpc.ListJobsRequest{
		Team:       caller.team,
		State:      r.URL.Query().Get("state"),
		Limit:      int32(limit),
		After:      r.URL.Query().Get("after"),
		Credential: caller.credential,
	}))
}

func limitParam(r *http.Request) (int, *Error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultJobLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxJobLimit {
		return 0, asQueryError(invalid("limit", "want a number from 1 to "+strconv.Itoa(maxJobLimit)))
	}
	return n, nil
}

// listJobs merges the pages of all shards, ordered by job id.
func (f *Frontend) listJobs(ctx context.Context, req *rpc.ListJobsRequest) api.JobList {
	shards := f.opts.Directory.Shards()
	pages := make([]*rpc.ListJobsReply, len(shards))
	refused := make([]*Error, len(shards))
	f.queryShards(ctx, shards, func(ctx context.Context, i int, owner rpc.Shard) error {
		var err error
		pages[i], err = owner.ListJobs(ctx, &rpc.ListJobsRequest{
			Shard: shards[i].Name, Team: req.Team, State: req.State, Limit: req.Limit, After: req.After, Credential: req.Credential,
		})
		return err
	}, refused)
	list := api.JobList{Jobs: []api.Job{}}
	for i, page := range pages {
		if refused[i] != nil {
			list.Missing = append(list.Missing, shards[i].Name)
			continue
		}
		for _, j := range page.GetJobs() {
			list.Jobs = append(list.Jobs, jobFromStatus(j))
		}
	}
	sort.Slice(list.Jobs, func(i, j int) bool { return list.Jobs[i].ID < list.Jobs[j].ID })
	if limit := int(req.Limit); len(list.Jobs) >= limit {
		list.Jobs = list.Jobs[:limit]
		list.Next = list.Jobs[limit-1].ID
	}
	return list
}

func jobFromStatus(s *rpc.JobStatus) api.Job {
	j := api.Job{
		ID:           s.GetJobId(),
		Team:         s.GetTeam(),
		Queue:        s.GetQueue(),
		Policy:       s.GetPolicy(),
		State:        s.GetState(),
		Outcome:      api.Outcome(s.GetOutcome()),
		Code:         api.Code(s.GetCode()),
		Reason:       s.GetReason(),
		RetryAfterMS: time.Duration(s.GetRetryAfterNs()).Milliseconds(),
		Submitted:    time.Unix(0, s.GetSubmittedNs()).UTC(),
		Shard:        s.GetShard(),
		TaskCount:    int(s.GetTaskCount()),
		Explanation:  s.GetExplanation(),
	}
	for _, t := range s.GetTasks() {
		j.Tasks = append(j.Tasks, api.Task{
			Index:    int(t.GetIndex()),
			State:    t.GetState(),
			Attempt:  int(t.GetAttempt()),
			Worker:   t.GetWorker(),
			Restarts: int(t.GetRestarts()),
			Result:   t.GetResult(),
			Error:    t.GetError(),
		})
	}
	return j
}

// checkTask refuses a task that is larger than the queue allows.
func checkTask(q *config.Queue, size model.Resources) *Error {
	bound := q.MaxTask
	over := (bound.MilliCores > 0 && size.MilliCores > bound.MilliCores) ||
		(bound.MemoryMB > 0 && size.MemoryMB > bound.MemoryMB) ||
		(bound.Accelerators > 0 && size.Accelerators > bound.Accelerators) ||
		(bound.Slots > 0 && size.Slots > bound.Slots)
	if !over {
		return nil
	}
	return neverSent(http.StatusUnprocessableEntity, api.CodeTaskTooLarge,
		"a task of "+size.String()+" is larger than queue "+q.Name+" allows ("+bound.String()+")").field("resources")
}

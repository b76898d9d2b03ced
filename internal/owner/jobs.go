package owner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/worker"
)

// States of a job in replies to callers.
const (
	stateQueued  = "queued"
	stateRunning = "running"
	stateEnded   = "ended"
)

// watcher is a caller that waits for a change of a job's state.
type watcher struct {
	seenState string
	expiresAt time.Time // the caller no longer waits after this time
	reply     chan response[*rpc.JobStatus]
	message   *getMessage
}

// GetJob returns a job's state. With wait_ns it waits until the state differs from
// seen_state.
func (o *Owner) GetJob(ctx context.Context, r *rpc.GetJobRequest) (*rpc.JobStatus, error) {
	status, err := o.getJob(ctx, r)
	if err != nil {
		return nil, wireError(err)
	}
	return status, nil
}

func (o *Owner) getJob(ctx context.Context, r *rpc.GetJobRequest) (*rpc.JobStatus, error) {
	cfg, err := o.effectiveConfig(ctx)
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(r.GetWaitNs()), maxLongPoll)
	m := &getMessage{cfg: cfg, request: r, wait: wait > 0, reply: newReplyChan[*rpc.JobStatus]()}
	if !m.wait {
		return call(ctx, o, m, m.reply)
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	status, err := call(bounded, o, m, m.reply)
	if err == nil || ctx.Err() != nil || bounded.Err() == nil {
		return status, err
	}
	now := &getMessage{cfg: cfg, request: r, reply: newReplyChan[*rpc.JobStatus]()}
	return call(ctx, o, now, now.reply)
}

// getMessage asks the event loop for a job's state.
type getMessage struct {
	cfg     *config.Config
	request *rpc.GetJobRequest
	wait    bool
	reply   chan response[*rpc.JobStatus]
}

func (m *getMessage) handle(l *loop) {
	id := model.JobID(m.request.GetJobId())
	j, ok := l.state.Jobs[id]
	if !ok {
		m.reply <- response[*rpc.JobStatus]{nil, jobNotFound(id)}
		return
	}
	if err := checkAccess(m.cfg, m.request.GetCredential(), &j.Spec); err != nil {
		m.reply <- response[*rpc.JobStatus]{nil, err}
		return
	}
	if m.wait && l.stateOf(j) == m.request.GetSeenState() {
		l.watch(id, m)
		return
	}
	m.reply <- response[*rpc.JobStatus]{l.status(j, m.request.GetExplain()), nil}
}

// watch adds a watcher to a job and drops the expired ones.
func (l *loop) watch(id model.JobID, m *getMessage) {
	now := time.Now()
	list := slices.DeleteFunc(l.watchers[id], func(w watcher) bool { return now.After(w.expiresAt) })
	l.watchers[id] = append(list, watcher{m.request.GetSeenState(), now.Add(maxLongPoll), m.reply, m})
}

// notify replies to the watchers of a job whose state has changed. Replies to callers
// that no longer wait stay in their buffered channels.
func (l *loop) notify(id model.JobID) {
	waiting := l.watchers[id]
	if len(waiting) == 0 {
		return
	}
	j, ok := l.state.Jobs[id]
	if !ok {
		return
	}
	state := l.stateOf(j)
	var kept []watcher
	for _, w := range waiting {
		if w.seenState == state {
			kept = append(kept, w)
			continue
		}
		w.reply <- response[*rpc.JobStatus]{l.status(j, w.message.request.GetExplain()), nil}
	}
	delete(l.watchers, id)
	if len(kept) > 0 {
		l.watchers[id] = kept
	}
}

func (l *loop) stateOf(j *journal.Job) string {
	switch {
	case j.Ended != nil:
		return stateEnded
	case l.attemptCount[j.Spec.ID] > 0:
		return stateRunning
	}
	return stateQueued
}

func (l *loop) status(j *journal.Job, explain bool) *rpc.JobStatus {
	s := l.summary(j)
	for _, i := range slices.Sorted(maps.Keys(j.Tasks)) {
		if len(s.Tasks) == maxListedTasks {
			break
		}
		s.Tasks = append(s.Tasks, l.taskStatus(j, i))
	}
	if explain {
		s.Explanation = l.explain(j)
	}
	return s
}

// explain returns the reasons for a job's state.
func (l *loop) explain(j *journal.Job) []string {
	if j.Ended == nil && l.awaitingInventory[j.Spec.ID] {
		return []string{"waits until each worker has told what the former owner started"}
	}
	why := l.core.Explain(j.Spec.ID)
	if j.Ended == nil && time.Now().After(l.soloUntil()) {
		why = append(why, "the table was not reached for the solo window; nothing journaled starts")
	}
	return why
}

// summary returns a job's state without its tasks.
func (l *loop) summary(j *journal.Job) *rpc.JobStatus {
	s := &rpc.JobStatus{
		JobId:       string(j.Spec.ID),
		Team:        j.Spec.Team,
		Queue:       j.Spec.Queue,
		Policy:      string(j.Spec.Policy),
		State:       l.stateOf(j),
		SubmittedNs: j.Spec.Submitted.UnixNano(),
		Shard:       l.opts.Shard,
		TaskCount:   int32(j.Spec.Tasks),
	}
	if e := j.Ended; e != nil {
		s.Outcome, s.Code, s.Reason = e.GetOutcome(), e.GetCode(), e.GetReason()
		s.RetryAfterNs = e.GetRetryAfterNs()
	}
	return s
}

func (l *loop) taskStatus(j *journal.Job, index int) *rpc.TaskStatus {
	t := j.Tasks[index]
	s := &rpc.TaskStatus{
		Index:    int32(index),
		State:    t.End,
		Attempt:  int32(t.Attempt),
		Worker:   t.Worker,
		Restarts: int32(t.Failures),
		Result:   t.Result,
		Error:    t.Error,
	}
	a, ok := l.attempts[worker.Attempt{Task: model.TaskID{Job: j.Spec.ID, Index: index}, Number: t.Attempt}]
	switch {
	case ok && a.phase == phaseRunning:
		s.State = "running"
	case ok && a.phase != phaseEnded:
		s.State = "starting"
	case j.Ended == nil && t.End != "" && !l.isFinished(j, t):
		s.State = stateQueued
	}
	return s
}

// ListJobs returns the team's jobs, sorted by id.
func (o *Owner) ListJobs(ctx context.Context, r *rpc.ListJobsRequest) (*rpc.ListJobsReply, error) {
	reply, err := o.listJobs(ctx, r)
	if err != nil {
		return nil, wireError(err)
	}
	return reply, nil
}

func (o *Owner) listJobs(ctx context.Context, r *rpc.ListJobsRequest) (*rpc.ListJobsReply, error) {
	cfg, err := o.effectiveConfig(ctx)
	if err != nil {
		return nil, err
	}
	team, err := keyTeam(cfg, r.GetCredential())
	if err != nil {
		return nil, err
	}
	m := &listMessage{request: r, team: team, reply: newReplyChan[*rpc.ListJobsReply]()}
	return call(ctx, o, m, m.reply)
}

// listMessage asks the event loop for a team's jobs.
type listMessage struct {
	request *rpc.ListJobsRequest
	team    string
	reply   chan response[*rpc.ListJobsReply]
}

func (m *listMessage) handle(l *loop) {
	limit := min(int(m.request.GetLimit()), maxListed)
	if limit <= 0 {
		limit = maxListed
	}
	var ids []model.JobID
	for id, j := range l.state.Jobs {
		if string(id) > m.request.GetAfter() && j.Spec.Team == m.team &&
			(m.request.GetState() == "" || l.stateOf(j) == m.request.GetState()) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	reply := &rpc.ListJobsReply{}
	for _, id := range ids[:min(limit, len(ids))] {
		reply.Jobs = append(reply.Jobs, l.summary(l.state.Jobs[id]))
	}
	m.reply <- response[*rpc.ListJobsReply]{reply, nil}
}

// CancelJob withdraws a job. It returns once the cancellation is durable.
func (o *Owner) CancelJob(ctx context.Context, r *rpc.CancelJobRequest) (*rpc.JobStatus, error) {
	status, err := o.cancelJob(ctx, r)
	if err != nil {
		return nil, wireError(err)
	}
	return status, nil
}

func (o *Owner) cancelJob(ctx context.Context, r *rpc.CancelJobRequest) (*rpc.JobStatus, error) {
	cfg, err := o.effectiveConfig(ctx)
	if err != nil {
		return nil, err
	}
	m := &cancelMessage{cfg: cfg, request: r, reply: newReplyChan[*rpc.JobStatus]()}
	return call(ctx, o, m, m.reply)
}

// cancelMessage asks the event loop to withdraw a job.
type cancelMessage struct {
	cfg     *config.Config
	request *rpc.CancelJobRequest
	reply   chan response[*rpc.JobStatus]
}

func (m *cancelMessage) answer(s *rpc.JobStatus, err error) {
	m.reply <- response[*rpc.JobStatus]{s, err}
}

func (m *cancelMessage) handle(l *loop) {
	id := model.JobID(m.request.GetJobId())
	j, ok := l.state.Jobs[id]
	if !ok {
		m.answer(nil, jobNotFound(id))
		return
	}
	if err := checkAccess(m.cfg, m.request.GetCredential(), &j.Spec); err != nil {
		m.answer(nil, err)
		return
	}
	switch {
	case j.Ended != nil || j.Cancelled:
		m.answer(l.status(j, false), nil)
	case l.draining:
		m.answer(nil, notReady())
	case !l.tableUsable():
		m.answer(nil, tableUnreachable())
	default:
		l.cancelJob(m, id)
	}
}

func (l *loop) cancelJob(m *cancelMessage, id model.JobID) {
	r := &journal.Record{Kind: &journal.Record_JobCancelled{JobCancelled: &journal.JobCancelled{JobId: string(id)}}}
	l.queue.add(&queuedEntry{
		entry:  journal.Entry{Records: []*journal.Record{r}},
		urgent: true,
		durable: func() {
			if err := l.state.Apply(r); err != nil {
				l.loseShard(err)
				return
			}
			l.feed(sched.JobCancelled{Job: id})
			m.answer(l.status(l.state.Jobs[id], false), nil)
		},
		refused: func(refusal *rpc.Refusal) { m.answer(nil, refusal) },
	})
}

// bySubmission returns all jobs in the order of their submission.
func bySubmission(s *journal.State) []*journal.Job {
	jobs := slices.Collect(maps.Values(s.Jobs))
	slices.SortFunc(jobs, func(a, b *journal.Job) int {
		return cmp.Or(a.Spec.Submitted.Compare(b.Spec.Submitted), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return jobs
}

func (l *loop) sortHistory() {
	slices.SortFunc(l.history, func(a, b endedJob) int {
		return cmp.Or(a.endedAt.Compare(b.endedAt), cmp.Compare(a.id, b.id))
	})
}

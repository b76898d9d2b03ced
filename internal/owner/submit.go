package owner

import (
	"context"
	"time"

	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
)

// Submit accepts a job. It returns once the job is durable. A refusal proves that the
// job was not accepted; after any other error it may have been.
func (o *Owner) Submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	reply, err := o.submit(ctx, r)
	if err != nil {
		return nil, wireError(err)
	}
	return reply, nil
}

func (o *Owner) submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	cfg, err := o.effectiveConfig(ctx)
	if err != nil {
		return nil, err
	}
	job := r.GetJob().Model()
	if err := o.admitJob(cfg, r.GetCredential(), &job); err != nil {
		return nil, err
	}
	if job.Policy == model.PolicyDirect {
		return nil, &rpc.Refusal{Code: rpc.CodeInvalid, Reason: "the queue takes direct requests", Field: "queue"}
	}
	m := &submitMessage{job: job, reply: newReplyChan[*rpc.SubmitReply]()}
	if key := r.GetIdempotencyKey(); key != "" {
		m.row = journal.IdempotencyKey(job.Team, key)
	}
	return call(ctx, o, m, m.reply)
}

// submitMessage asks the event loop to accept a job.
type submitMessage struct {
	job   model.Job
	row   string // row of the idempotency key; empty if there is no key
	reply chan response[*rpc.SubmitReply]
}

func (m *submitMessage) answer(r *rpc.SubmitReply, err error) {
	m.reply <- response[*rpc.SubmitReply]{r, err}
}

func (m *submitMessage) handle(l *loop) {
	switch {
	case l.draining:
		m.answer(nil, notReady())
	case !l.tableUsable():
		m.answer(nil, tableUnreachable())
	case l.queue.full():
		m.answer(nil, &rpc.Refusal{Code: rpc.CodeJournalFull, Reason: "too much waits to be written", RetryAfter: retryAfterRefusal})
	case l.state.Jobs[m.job.ID] != nil:
		m.answer(nil, &rpc.Refusal{Code: rpc.CodeInvalid, Reason: "a job of this id exists", Field: "id"})
	case m.row != "" && l.duplicateSubmits[m.row] != nil:
		l.duplicateSubmits[m.row] = append(l.duplicateSubmits[m.row], m) // gets the outcome of the first submission
	default:
		l.acceptJob(m)
	}
}

// acceptJob queues the job's record and, in the same transaction, its idempotency row.
func (l *loop) acceptJob(m *submitMessage) {
	r := &journal.Record{Kind: &journal.Record_JobAccepted{JobAccepted: &journal.JobAccepted{
		Job: rpc.FromJob(m.job), IdempotencyRow: m.row,
	}}}
	e := &queuedEntry{entry: journal.Entry{Records: []*journal.Record{r}}, urgent: true}
	e.durable = func() { l.jobAccepted(m, r) }
	e.refused = func(refusal *rpc.Refusal) {
		l.answerDuplicates(m.row, nil, refusal)
		m.answer(nil, refusal)
	}
	if m.row != "" {
		l.duplicateSubmits[m.row] = []*submitMessage{}
		e.entry.Idempotency = &journal.Idempotency{
			Row:   m.row,
			Value: &journal.IdempotencyRow{JobId: string(m.job.ID), Shard: l.opts.Shard},
		}
		e.duplicate = func(first *journal.IdempotencyRow) {
			repeated := &rpc.SubmitReply{JobId: first.GetJobId(), Shard: first.GetShard(), Repeated: true}
			l.answerDuplicates(m.row, repeated, nil)
			m.answer(repeated, nil)
		}
	}
	l.queue.add(e)
}

// jobAccepted is called once the job is durable.
func (l *loop) jobAccepted(m *submitMessage, r *journal.Record) {
	if err := l.state.Apply(r); err != nil {
		l.loseShard(err)
		return
	}
	l.record(timeline.Event{Kind: timeline.KindJobAccepted, Job: string(m.job.ID), Team: m.job.Team, Target: l.opts.Shard})
	reply := &rpc.SubmitReply{JobId: string(m.job.ID), Shard: l.opts.Shard}
	l.answerDuplicates(m.row, &rpc.SubmitReply{JobId: reply.GetJobId(), Shard: reply.GetShard(), Repeated: true}, nil)
	m.answer(reply, nil)
	if !l.draining {
		l.feed(sched.JobAdded{Job: l.state.Jobs[m.job.ID].Spec})
	}
}

// answerDuplicates replies to the repeated submissions that arrived while the first
// one was being written.
func (l *loop) answerDuplicates(row string, reply *rpc.SubmitReply, refusal *rpc.Refusal) {
	for _, m := range l.duplicateSubmits[row] {
		if refusal != nil {
			m.answer(nil, refusal)
			continue
		}
		m.answer(reply, nil)
	}
	delete(l.duplicateSubmits, row)
}

// jobEnded handles the core's decision that a job has ended.
func (l *loop) jobEnded(d sched.JobEnded) {
	if r, ok := l.reservations[d.Job]; ok {
		l.endReservation(r, d)
		return
	}
	j, ok := l.state.Jobs[d.Job]
	if !ok || j.Ended != nil || l.draining {
		return
	}
	now := time.Now()
	l.append(nil, false, &journal.Record{Kind: &journal.Record_JobEnded{JobEnded: &journal.JobEnded{
		JobId:        string(d.Job),
		Outcome:      string(truthfulOutcome(j, d.Outcome)),
		Code:         string(d.Code),
		Reason:       d.Reason,
		RetryAfterNs: int64(d.RetryAfter),
		EndedNs:      now.UnixNano(),
	}}})
	l.history = append(l.history, endedJob{d.Job, now})
	l.record(timeline.Event{
		Kind: timeline.KindJobEnded, Job: string(d.Job), Team: j.Spec.Team,
		Detail: string(d.Outcome), Duration: now.Sub(j.Spec.Submitted),
	})
	l.notify(d.Job)
}

// truthfulOutcome replaces the outcome "not run" by "failed" for a job of which a task
// may have started.
func truthfulOutcome(j *journal.Job, o model.Outcome) model.Outcome {
	if o != model.OutcomeNotRun {
		return o
	}
	for _, t := range j.Tasks {
		if t.End != journal.EndNotStarted {
			return model.OutcomeFailed
		}
	}
	return o
}

// endedJob is an entry of the history.
type endedJob struct {
	id      model.JobID
	endedAt time.Time
}

// removeOldJobs removes ended jobs beyond the retention time or the maximum number,
// with their idempotency rows.
func (l *loop) removeOldJobs() {
	for range maxRemovalsPerTick {
		if len(l.history) == 0 || l.queue.full() || l.tableDown {
			return
		}
		oldest := l.history[0]
		if len(l.history) <= maxHistoryJobs && time.Since(oldest.endedAt) < historyRetention {
			return
		}
		l.history = l.history[1:]
		l.removeJob(oldest.id)
	}
}

func (l *loop) removeJob(id model.JobID) {
	j, ok := l.state.Jobs[id]
	if !ok || l.attemptCount[id] > 0 {
		return
	}
	r := &journal.Record{Kind: &journal.Record_JobForgotten{JobForgotten: &journal.JobForgotten{JobId: string(id)}}}
	if err := l.state.Apply(r); err != nil {
		l.loseShard(err)
		return
	}
	l.queue.add(&queuedEntry{entry: journal.Entry{Records: []*journal.Record{r}, Delete: j.IdempotencyRow}})
}

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

// Submit accepts a job: it returns once the job is durable. A refusal proves
// that the job was not accepted; after any other error it may have been.
func (o *Owner) Submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	reply, err := o.submit(ctx, r)
	if err != nil {
		return nil, wireError(err)
	}
	return reply, nil
}

func (o *Owner) submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	cfg, err := o.effective(ctx)
	if err != nil {
		return nil, err
	}
	job := r.GetJob().Model()
	if err := o.admit(cfg, r.GetCredential(), &job); err != nil {
		return nil, err
	}
	if job.Policy == model.PolicyDirect {
		return nil, &rpc.Refusal{Code: rpc.CodeInvalid, Reason: "the queue takes direct requests", Field: "queue"}
	}
	m := &submitMessage{job: job, reply: newReply[*rpc.SubmitReply]()}
	if key := r.GetIdempotencyKey(); key != "" {
		m.row = journal.IdempotencyKey(job.Team, key)
	}
	return ask(ctx, o, m, m.reply)
}

// submitMessage asks to accept a job.
type submitMessage struct {
	job   model.Job
	row   string // of the idempotency key; empty: none
	reply chan answer[*rpc.SubmitReply]
}

func (m *submitMessage) answer(r *rpc.SubmitReply, err error) {
	m.reply <- answer[*rpc.SubmitReply]{r, err}
}

func (m *submitMessage) handle(l *loop) {
	switch {
	case l.draining:
		m.answer(nil, notReady())
	case !l.tableUsable():
		m.answer(nil, tableUnreachable())
	case l.queue.full():
		m.answer(nil, &rpc.Refusal{Code: rpc.CodeJournalFull, Reason: "too much waits to be written", RetryAfter: refusedRetry})
	case l.state.Jobs[m.job.ID] != nil:
		m.answer(nil, &rpc.Refusal{Code: rpc.CodeInvalid, Reason: "a job of this id exists", Field: "id"})
	case m.row != "" && l.claims[m.row] != nil:
		l.claims[m.row] = append(l.claims[m.row], m) // shares the first one's fate
	default:
		l.accept(m)
	}
}

// accept writes the job and, in the same transaction, the idempotency row.
func (l *loop) accept(m *submitMessage) {
	r := &journal.Record{Kind: &journal.Record_JobAccepted{JobAccepted: &journal.JobAccepted{
		Job: rpc.FromJob(m.job), IdempotencyRow: m.row,
	}}}
	e := &queued{entry: journal.Entry{Records: []*journal.Record{r}}, urgent: true}
	e.durable = func() { l.accepted(m, r) }
	e.refused = func(refusal *rpc.Refusal) {
		l.answerClaims(m.row, nil, refusal)
		m.answer(nil, refusal)
	}
	if m.row != "" {
		l.claims[m.row] = []*submitMessage{}
		e.entry.Idempotency = &journal.Idempotency{
			Row:   m.row,
			Value: &journal.IdempotencyRow{JobId: string(m.job.ID), Shard: l.opts.Shard},
		}
		e.claimed = func(first *journal.IdempotencyRow) {
			repeated := &rpc.SubmitReply{JobId: first.GetJobId(), Shard: first.GetShard(), Repeated: true}
			l.answerClaims(m.row, repeated, nil)
			m.answer(repeated, nil)
		}
	}
	l.queue.add(e)
}

// accepted runs once the job is durable.
func (l *loop) accepted(m *submitMessage, r *journal.Record) {
	if err := l.state.Apply(r); err != nil {
		l.lose(err)
		return
	}
	l.record(timeline.Event{Kind: timeline.KindJobAccepted, Job: string(m.job.ID), Team: m.job.Team, Target: l.opts.Shard})
	reply := &rpc.SubmitReply{JobId: string(m.job.ID), Shard: l.opts.Shard}
	l.answerClaims(m.row, &rpc.SubmitReply{JobId: reply.GetJobId(), Shard: reply.GetShard(), Repeated: true}, nil)
	m.answer(reply, nil)
	if !l.draining {
		l.feed(sched.JobAdded{Job: l.state.Jobs[m.job.ID].Spec})
	}
}

// answerClaims answers the repeats of a submission that came while it was
// being written.
func (l *loop) answerClaims(row string, reply *rpc.SubmitReply, refusal *rpc.Refusal) {
	for _, m := range l.claims[row] {
		if refusal != nil {
			m.answer(nil, refusal)
			continue
		}
		m.answer(reply, nil)
	}
	delete(l.claims, row)
}

// jobEnded handles the core's word that a job is over.
func (l *loop) jobEnded(d sched.JobEnded) {
	if r, ok := l.direct[d.Job]; ok {
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
		Outcome:      string(truthful(j, d.Outcome)),
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

// truthful keeps "not run" from being said of a job of which a task may have
// started.
func truthful(j *journal.Job, o model.Outcome) model.Outcome {
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

// endedJob is a job of the history.
type endedJob struct {
	id model.JobID
	at time.Time
}

// forgetHistory removes ended jobs that are too old or too many, and their
// idempotency rows.
func (l *loop) forgetHistory() {
	for range forgetBatch {
		if len(l.history) == 0 || l.queue.full() || l.tableDown {
			return
		}
		oldest := l.history[0]
		if len(l.history) <= historyMax && time.Since(oldest.at) < historyKeep {
			return
		}
		l.history = l.history[1:]
		l.forget(oldest.id)
	}
}

func (l *loop) forget(id model.JobID) {
	j, ok := l.state.Jobs[id]
	if !ok || l.active[id] > 0 {
		return
	}
	r := &journal.Record{Kind: &journal.Record_JobForgotten{JobForgotten: &journal.JobForgotten{JobId: string(id)}}}
	if err := l.state.Apply(r); err != nil {
		l.lose(err)
		return
	}
	l.queue.add(&queued{entry: journal.Entry{Records: []*journal.Record{r}, Delete: j.IdempotencyRow}})
}

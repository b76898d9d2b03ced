package owner

import (
	"context"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/worker"
)

// endNotStarted is ReleaseRequest.End of an attempt that provably never ran.
const endNotStarted = "not_started"

// reservation is a direct request that waits for room or holds a ticket.
type reservation struct {
	job     model.Job
	message *reserveMessage
	reply   chan answer[*rpc.Ticket] // nil once it is answered
	// attempt is set once the core has found room.
	attempt *attempt
}

func (r *reservation) answer(t *rpc.Ticket, err error) {
	r.reply <- answer[*rpc.Ticket]{t, err}
	r.reply = nil
}

// Reserve returns a ticket for one attempt of a direct request. A refusal
// proves that nothing was reserved.
func (o *Owner) Reserve(ctx context.Context, r *rpc.ReserveRequest) (*rpc.Ticket, error) {
	ticket, err := o.reserve(ctx, r)
	if err != nil {
		return nil, wireError(err)
	}
	return ticket, nil
}

func (o *Owner) reserve(ctx context.Context, r *rpc.ReserveRequest) (*rpc.Ticket, error) {
	cfg, err := o.effective(ctx)
	if err != nil {
		return nil, err
	}
	job := r.GetJob().Model()
	job.Tasks = 1
	if err := o.admit(cfg, r.GetCredential(), &job); err != nil {
		return nil, err
	}
	if job.Policy != model.PolicyDirect {
		return nil, &rpc.Refusal{Code: rpc.CodeInvalid, Reason: "the queue takes jobs", Field: "queue"}
	}
	wait := max(minReserveWait, min(time.Duration(r.GetWaitNs()), maxReserveWait))
	job.MaxWait = wait
	m := &reserveMessage{job: job, request: r, reply: newReply[*rpc.Ticket]()}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticket, err := ask(bounded, o, m, m.reply)
	if err == nil || bounded.Err() == nil {
		return ticket, err
	}
	return nil, o.withdraw(m)
}

// withdraw takes back a reservation whose caller waits no longer. A ticket that
// was granted meanwhile is returned unused.
func (o *Owner) withdraw(m *reserveMessage) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	o.post(ctx, withdrawMessage{m})
	return &rpc.Refusal{Code: rpc.CodeInsufficientCapacity, Reason: "no room within the wait", RetryAfter: time.Second}
}

// reserveMessage asks for room.
type reserveMessage struct {
	job     model.Job
	request *rpc.ReserveRequest
	reply   chan answer[*rpc.Ticket]
}

func (m *reserveMessage) handle(l *loop) {
	refuse := func(r *rpc.Refusal) { m.reply <- answer[*rpc.Ticket]{nil, r} }
	switch {
	case l.draining:
		refuse(notReady())
		return
	case l.direct[m.job.ID] != nil || l.active[m.job.ID] > 0:
		refuse(&rpc.Refusal{Code: rpc.CodeInvalid, Reason: "an attempt of the request is under way", Field: "id"})
		return
	}
	l.direct[m.job.ID] = &reservation{job: m.job, message: m, reply: m.reply}
	l.feed(sched.JobAdded{
		Job: m.job, Avoid: m.request.GetAvoid(), LastAttempt: int(m.request.GetAttempt()) - 1,
	})
}

// withdrawMessage tells that nobody waits for a reservation any more.
type withdrawMessage struct{ of *reserveMessage }

func (m withdrawMessage) handle(l *loop) {
	r, ok := l.direct[m.of.job.ID]
	if !ok || r.message != m.of {
		return
	}
	r.reply = nil
	if r.attempt == nil {
		l.feed(sched.JobCancelled{Job: m.of.job.ID})
		delete(l.direct, m.of.job.ID)
		return
	}
	if r.attempt.phase == phaseTicket || r.attempt.phase == phaseClock {
		l.refuseStart(r.attempt, "its caller waits no longer", false)
	}
}

// grantTicket answers a reservation for which the core has found room.
func (l *loop) grantTicket(r *reservation, id worker.Attempt, d sched.StartTask) {
	k, ok := l.workers[d.Worker]
	a := &attempt{id: id, job: &r.job, worker: d.Worker, own: true, phase: phaseClock, size: d.Size}
	r.attempt = a
	l.track(a)
	if !ok || !k.reached {
		l.refuseStart(a, "worker cannot be reached", true)
		return
	}
	a.boot = k.boot
	if l.clockFresh(k) {
		l.issueTicket(r, a, k)
		return
	}
	client, boot := k.client, k.boot
	l.spawn(func(ctx context.Context) {
		_, err := l.readClock(ctx, k, client, boot)
		l.post(ctx, ticketMessage{a, k, err})
	})
}

// ticketMessage tells that the clock for a ticket was read.
type ticketMessage struct {
	attempt *attempt
	link    *link
	err     error
}

func (m ticketMessage) handle(l *loop) {
	a, r := m.attempt, l.direct[m.attempt.id.Task.Job]
	if l.attempts[a.id] != a || a.phase != phaseClock || r == nil || r.reply == nil {
		return
	}
	if m.err != nil || l.workers[a.worker] != m.link || m.link.boot != a.boot {
		l.refuseStart(a, "worker cannot be reached", true)
		return
	}
	l.issueTicket(r, a, m.link)
}

// issueTicket answers a reservation, if the configuration still allows it. The
// ticket's start window begins with the newest reading of the worker's clock.
func (l *loop) issueTicket(r *reservation, a *attempt, k *link) {
	if reason := forbidden(l.cfg, a.job, l.opts.Shard, l.opts.AZ, a.worker); reason != "" {
		l.refuseStart(a, reason, false)
		return
	}
	a.phase = phaseTicket
	a.startBy = k.clock + int64(l.startWindow())
	counters.Add("tickets", 1)
	r.answer(&rpc.Ticket{
		Shard:      l.opts.Shard,
		Worker:     k.spec.ID,
		WorkerAddr: k.spec.Addr,
		Task:       a.id.Task.String(),
		Attempt:    int32(a.id.Number),
		Fence:      int64(l.held.Fence),
		StartBy:    a.startBy,
		LeaseNs:    int64(l.lease()),
		Size:       rpc.FromResources(a.size),
		Team:       a.job.Team,
		Boot:       a.boot,
	}, nil)
}

// endReservation handles the core's word that a direct request is over.
func (l *loop) endReservation(r *reservation, d sched.JobEnded) {
	delete(l.direct, d.Job)
	if r.reply == nil {
		return
	}
	r.answer(nil, &rpc.Refusal{Code: rpc.RefusalCode(d.Code), Reason: d.Reason, RetryAfter: d.RetryAfter})
}

// checkTickets frees the room of tickets that were never used: their start
// window has passed on the worker's own clock, and the worker says that it
// never saw the attempt.
func (l *loop) checkTickets() {
	for _, a := range l.attempts {
		if a.phase != phaseTicket {
			continue
		}
		if k, ok := l.workers[a.worker]; ok && k.reached && k.clock > a.startBy {
			l.settle(a)
		}
	}
}

// Release frees a ticket's room.
func (o *Owner) Release(ctx context.Context, r *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	id, err := model.ParseTaskID(r.GetTask())
	if err != nil {
		return nil, wireError(&rpc.Refusal{Code: rpc.CodeInvalid, Reason: err.Error(), Field: "task"})
	}
	m := &releaseMessage{
		id:      worker.Attempt{Task: id, Number: int(r.GetAttempt())},
		request: r, reply: newReply[*rpc.ReleaseReply](),
	}
	reply, err := ask(ctx, o, m, m.reply)
	if err != nil {
		return nil, wireError(err)
	}
	return reply, nil
}

// releaseMessage tells how a ticket's attempt ended.
type releaseMessage struct {
	id      worker.Attempt
	request *rpc.ReleaseRequest
	reply   chan answer[*rpc.ReleaseReply]
}

func (m *releaseMessage) handle(l *loop) {
	m.reply <- answer[*rpc.ReleaseReply]{&rpc.ReleaseReply{}, nil}
	a, ok := l.attempts[m.id]
	if !ok || !a.direct() {
		return // its worker has reported the end already
	}
	switch end := sched.End(m.request.GetEnd()); end {
	case endNotStarted:
		l.refuseStart(a, m.request.GetReason(), m.request.GetWorkerFault())
	case sched.EndDone, sched.EndFailed, sched.EndStopped:
		l.endAttempt(a, end, worker.TaskReport{})
	default:
		// The door does not know whether it still runs; the worker does.
		if a.phase == phaseTicket {
			l.settle(a)
		}
	}
}

package owner

import (
	"context"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/worker"
)

// endNotStarted is the value of ReleaseRequest.End for an attempt that certainly never
// ran.
const endNotStarted = "not_started"

// reservation is a direct request that waits for capacity or has a ticket.
type reservation struct {
	job     model.Job
	message *reserveMessage
	reply   chan response[*rpc.Ticket] // nil after the reply
	// attempt is set once the core has found capacity.
	attempt *attempt
}

func (r *reservation) answer(t *rpc.Ticket, err error) {
	r.reply <- response[*rpc.Ticket]{t, err}
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
	cfg, err := o.effectiveConfig(ctx)
	if err != nil {
		return nil, err
	}
	job := r.GetJob().Model()
	job.Tasks = 1
	if err := o.admitJob(cfg, r.GetCredential(), &job); err != nil {
		return nil, err
	}
	if job.Policy != model.PolicyDirect {
		return nil, &rpc.Refusal{Code: rpc.CodeInvalid, Reason: "the queue takes jobs", Field: "queue"}
	}
	wait := max(minReserveWait, min(time.Duration(r.GetWaitNs()), maxReserveWait))
	job.MaxWait = wait
	m := &reserveMessage{job: job, request: r, reply: newReplyChan[*rpc.Ticket]()}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticket, err := call(bounded, o, m, m.reply)
	if err == nil || bounded.Err() == nil {
		return ticket, err
	}
	return nil, o.withdrawReservation(m)
}

// withdrawReservation withdraws a reservation whose caller no longer waits. A ticket
// that was issued meanwhile is returned unused.
func (o *Owner) withdrawReservation(m *reserveMessage) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	o.post(ctx, withdrawMessage{m})
	return &rpc.Refusal{Code: rpc.CodeInsufficientCapacity, Reason: "no room within the wait", RetryAfter: time.Second}
}

// reserveMessage asks the event loop for a ticket.
type reserveMessage struct {
	job     model.Job
	request *rpc.ReserveRequest
	reply   chan response[*rpc.Ticket]
}

func (m *reserveMessage) handle(l *loop) {
	refuse := func(r *rpc.Refusal) { m.reply <- response[*rpc.Ticket]{nil, r} }
	switch {
	case l.draining:
		refuse(notReady())
		return
	case l.reservations[m.job.ID] != nil || l.attemptCount[m.job.ID] > 0:
		refuse(&rpc.Refusal{Code: rpc.CodeInvalid, Reason: "an attempt of the request is under way", Field: "id"})
		return
	}
	l.reservations[m.job.ID] = &reservation{job: m.job, message: m, reply: m.reply}
	l.feed(sched.JobAdded{
		Job: m.job, Avoid: m.request.GetAvoid(), LastAttempt: int(m.request.GetAttempt()) - 1,
	})
}

// withdrawMessage reports that the caller of a reservation no longer waits.
type withdrawMessage struct{ reserve *reserveMessage }

func (m withdrawMessage) handle(l *loop) {
	r, ok := l.reservations[m.reserve.job.ID]
	if !ok || r.message != m.reserve {
		return
	}
	r.reply = nil
	if r.attempt == nil {
		l.feed(sched.JobCancelled{Job: m.reserve.job.ID})
		delete(l.reservations, m.reserve.job.ID)
		return
	}
	if r.attempt.phase == phaseTicket || r.attempt.phase == phaseReadingClock {
		l.refuseStart(r.attempt, "its caller waits no longer", false)
	}
}

// prepareTicket prepares the ticket for a reservation for which the core has found
// capacity.
func (l *loop) prepareTicket(r *reservation, id worker.Attempt, d sched.StartTask) {
	k, ok := l.workers[d.Worker]
	a := &attempt{id: id, job: &r.job, worker: d.Worker, startedHere: true, phase: phaseReadingClock, size: d.Size}
	r.attempt = a
	l.track(a)
	if !ok || !k.reachable {
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

// ticketMessage reports that the worker's clock was read for a ticket.
type ticketMessage struct {
	attempt *attempt
	link    *workerLink
	err     error
}

func (m ticketMessage) handle(l *loop) {
	a, r := m.attempt, l.reservations[m.attempt.id.Task.Job]
	if l.attempts[a.id] != a || a.phase != phaseReadingClock || r == nil || r.reply == nil {
		return
	}
	if m.err != nil || l.workers[a.worker] != m.link || m.link.boot != a.boot {
		l.refuseStart(a, "worker cannot be reached", true)
		return
	}
	l.issueTicket(r, a, m.link)
}

// issueTicket replies to a reservation with a ticket, if the configuration still
// allows it. The ticket's start window begins at the latest reading of the worker's
// clock.
func (l *loop) issueTicket(r *reservation, a *attempt, k *workerLink) {
	if reason := startForbidden(l.cfg, a.job, l.opts.Shard, l.opts.AZ, a.worker); reason != "" {
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
		Fence:      int64(l.ownerRow.Fence),
		StartBy:    a.startBy,
		LeaseNs:    int64(l.lease()),
		Size:       rpc.FromResources(a.size),
		Team:       a.job.Team,
		Boot:       a.boot,
	}, nil)
}

// endReservation handles the core's decision that a direct request has ended.
func (l *loop) endReservation(r *reservation, d sched.JobEnded) {
	delete(l.reservations, d.Job)
	if r.reply == nil {
		return
	}
	r.answer(nil, &rpc.Refusal{Code: rpc.RefusalCode(d.Code), Reason: d.Reason, RetryAfter: d.RetryAfter})
}

// checkTickets asks the workers about unused tickets, to free their capacity: the
// start window has passed on the worker's own clock, so the worker can tell whether it
// ever saw the attempt.
func (l *loop) checkTickets() {
	for _, a := range l.attempts {
		if a.phase != phaseTicket {
			continue
		}
		if k, ok := l.workers[a.worker]; ok && k.reachable && k.clock > a.startBy {
			l.settle(a)
		}
	}
}

// Release frees the capacity of a ticket.
func (o *Owner) Release(ctx context.Context, r *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	id, err := model.ParseTaskID(r.GetTask())
	if err != nil {
		return nil, wireError(&rpc.Refusal{Code: rpc.CodeInvalid, Reason: err.Error(), Field: "task"})
	}
	m := &releaseMessage{
		id:      worker.Attempt{Task: id, Number: int(r.GetAttempt())},
		request: r, reply: newReplyChan[*rpc.ReleaseReply](),
	}
	reply, err := call(ctx, o, m, m.reply)
	if err != nil {
		return nil, wireError(err)
	}
	return reply, nil
}

// releaseMessage carries the end of a ticket's attempt.
type releaseMessage struct {
	id      worker.Attempt
	request *rpc.ReleaseRequest
	reply   chan response[*rpc.ReleaseReply]
}

func (m *releaseMessage) handle(l *loop) {
	m.reply <- response[*rpc.ReleaseReply]{&rpc.ReleaseReply{}, nil}
	a, ok := l.attempts[m.id]
	if !ok || !a.isDirect() {
		return // the worker has already reported the end
	}
	switch end := sched.End(m.request.GetEnd()); end {
	case endNotStarted:
		l.refuseStart(a, m.request.GetReason(), m.request.GetWorkerFault())
	case sched.EndDone, sched.EndFailed, sched.EndStopped:
		l.endAttempt(a, end, worker.TaskReport{})
	default:
		// The door does not know whether the attempt still runs; the worker does.
		if a.phase == phaseTicket {
			l.settle(a)
		}
	}
}

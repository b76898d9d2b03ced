package dispatch

import (
	"errors"
	"time"

	"cuminloft/internal/workload"
)

// ticketMargin is subtracted from a ticket's validity for the time until a start that
// carries it reaches the worker.
const ticketMargin = 300 * time.Millisecond

const (
	// minCallInterval is the shortest time between two calls for one step.
	minCallInterval = 150 * time.Millisecond
	// recheckInterval is how long a step that needed no call is not examined again.
	// Urgent steps are examined again after minCallInterval.
	recheckInterval = 250 * time.Millisecond
)

// ticket allows tasks of a step to start on one incarnation of a worker until it expires.
type ticket struct {
	token       string
	incarnation int64
	expires     time.Time
	used        bool
}

// adviceState is what the advice service has answered for a step. The set of allowed
// workers does not change; tickets expire.
type adviceState struct {
	tickets         map[string]ticket
	denied          map[string]bool
	callPending     bool
	calledAt        time.Time
	recheckAt       time.Time // the step is not examined again before this time
	newTickets      bool      // tickets arrived since the latest scheduling pass
	countedAsNeeded bool      // the step is included in AdviceStats.HostTimeNeeded
	lastExpiry      time.Time // when the last ticket expires
}

func (a *adviceState) dropTicket(worker string) { delete(a.tickets, worker) }

// SetStartDelay sets how long a start waits until its record is stored. Load pattern: a
// store so slow that tickets valid for two seconds expire before the start is sent.
func (c *Core) SetStartDelay(d time.Duration) { c.startDelay = d }

// sendTime returns when a start that is decided now will be sent.
func (c *Core) sendTime(now time.Time) time.Time { return now.Add(c.startDelay) }

// validTicket returns the token of the ticket for the worker's current incarnation, if
// the ticket is still valid at the given time.
func (a *adviceState) validTicket(w *worker, at time.Time) (string, bool) {
	t, ok := a.tickets[w.info.ID]
	if !ok || !t.valid(w, at) {
		return "", false
	}
	return t.token, true
}

// valid reports whether the ticket is for the worker's current incarnation and still valid at
// the given time.
func (t *ticket) valid(w *worker, at time.Time) bool {
	return t.incarnation == w.incarnation && at.Before(t.expires)
}

// AdviceCall is a call for advice to make.
type AdviceCall struct {
	Step     workload.StepID
	Workers  []string
	Duration time.Duration // how long the call is expected to take
	// incarnations are those of the workers when the call was made. A ticket is valid for one
	// incarnation; the answer names only the worker.
	incarnations map[string]int64
}

// AdviceCapacity is the capacity of the hosts that make calls for advice.
type AdviceCapacity struct {
	MaxDuration time.Duration // the longest call to make
	FewIdle     bool          // few of the hosts are idle
}

// AdvicePass goes once through the waiting steps in the order of their ranks and chooses
// calls for advice. Load pattern: hundreds of waiting steps, most of which need no call.
type AdvicePass struct {
	core             *Core
	now              time.Time
	demand           *demand
	next             int // index in Core.ready of the step to examine next
	stepsWithoutCall int // number of steps that were examined and needed no call
}

// NewAdvicePass returns a pass that begins with the step of the best rank.
func (c *Core) NewAdvicePass(now time.Time) *AdvicePass {
	return &AdvicePass{core: c, now: now, demand: c.newDemand(now)}
}

// Next returns the next call for advice that the hosts have time for, or false. The
// caller passes the answer to HandleAdvice.
func (p *AdvicePass) Next(capacity AdviceCapacity) (AdviceCall, bool) {
	c, now := p.core, p.now
	for p.next < len(c.ready) && p.stepsWithoutCall <= maxStepsWithoutCall {
		r := c.ready[p.next]
		p.next++
		s := r.step
		if !s.startable() || s.awaitsEvidence() {
			continue
		}
		q := c.queueOf(s.job)
		if near := p.demand.nearFront(s, q); !near || s.advice.callPending || s.advice.newTickets || now.Sub(s.advice.calledAt) < minCallInterval || now.Before(s.advice.recheckAt) {
			continue
		}
		if q.Advice == nil || q.Advice.PerCall > capacity.MaxDuration {
			continue
		}
		workers := c.chooseCallWorkers(r, q, capacity, now)
		if len(workers) == 0 {
			s.advice.calledAt = now
			if r.rank.group != groupUrgent {
				s.advice.recheckAt = now.Add(recheckInterval)
			}
			p.stepsWithoutCall++
			continue
		}
		s.advice.callPending, s.advice.calledAt = true, now
		call := AdviceCall{Step: s.id, Workers: workers, Duration: q.Advice.Duration(len(workers)), incarnations: make(map[string]int64, len(workers))}
		for _, id := range workers {
			if w := c.workers[id]; w != nil { // it may be gone since the scheduling pass
				call.incarnations[id] = w.incarnation
			}
		}
		c.recordCall(s, q, call)
		c.noteCall(s)
		return call, true
	}
	return AdviceCall{}, false
}

// recordCall adds a call to the statistics.
func (c *Core) recordCall(s *step, q *workload.Queue, call AdviceCall) {
	purpose := s.callPurpose(call.Workers)
	c.adviceStats.Calls[purpose]++
	c.adviceStats.HostTime[purpose] += call.Duration
	if !s.advice.countedAsNeeded {
		s.advice.countedAsNeeded = true
		c.adviceStats.HostTimeNeeded += q.Advice.Duration(typicalCallWorkers)
	}
}

// callPurpose returns the purpose of a call for the step that names these workers.
func (s *step) callPurpose(workers []string) AdvicePurpose {
	switch {
	case s.advice.tickets == nil && s.job.restored:
		return AdviceAfterTakeover
	case s.advice.tickets == nil:
		return AdviceFirst
	}
	for _, id := range workers {
		if _, known := s.advice.tickets[id]; !known {
			return AdviceMoreWorkers
		}
	}
	return AdviceRenewal
}

// maxStepsWithoutCall limits how many steps of one pass are examined although they need
// no call.
const maxStepsWithoutCall = 60

// HandleAdvice applies the answer to a call for advice.
func (c *Core) HandleAdvice(call AdviceCall, tickets []workload.Ticket, err error, now time.Time) {
	s := c.findStep(call.Step)
	if s == nil {
		return
	}
	s.advice.callPending = false
	if err != nil {
		c.emit("advice failed", "step", call.Step.String(), "workers", len(call.Workers), "tickets", len(tickets), "cause", err.Error())
		if !errors.Is(err, workload.ErrAdviceIncomplete) {
			return
		}
	}
	s.advice.newTickets = len(tickets) > 0
	if s.advice.tickets == nil {
		s.advice.tickets = map[string]ticket{}
		s.advice.denied = map[string]bool{}
	}
	expires := now
	if q := c.queueOf(s.job); q.Advice != nil {
		expires = now.Add(q.Advice.Validity - ticketMargin)
	}
	tokens := map[string]string{}
	for _, t := range tickets {
		tokens[t.Worker] = t.Token
	}
	for _, id := range call.Workers {
		token, ok := tokens[id]
		switch {
		case !ok && err == nil:
			s.advice.denied[id] = true
		case !ok:
		case c.workers[id] != nil:
			s.advice.lastExpiry = expires
			s.advice.tickets[id] = ticket{token: token, incarnation: call.incarnations[id], expires: expires}
			c.adviceStats.TicketsReceived++
		}
	}
	c.needsScheduling = true
	c.emit("advice", "step", call.Step.String(), "asked", len(call.Workers), "allowed", len(tickets))
}

// useTicket returns the token of the valid ticket for a start on a worker, if any, and
// counts the ticket as used.
func (c *Core) useTicket(a *adviceState, w *worker, now time.Time) string {
	token, ok := a.validTicket(w, now)
	if !ok {
		return ""
	}
	if t := a.tickets[w.info.ID]; !t.used {
		t.used = true
		a.tickets[w.info.ID] = t
		c.adviceStats.TicketsUsed++
	}
	return token
}

// findStep returns the step with this ID, or nil.
func (c *Core) findStep(id workload.StepID) *step {
	s, _ := c.findTask(workload.TaskID{StepID: id})
	return s
}

package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// ticketMargin is taken off a ticket's life for the time until a start that
// carries it arrives.
const ticketMargin = 300 * time.Millisecond

const (
	// askPause is the least time between two calls for one step.
	askPause = 150 * time.Millisecond
	// askRest is how long a step that needed no call is not looked at again. An urgent one
	// is after askPause.
	askRest = 250 * time.Millisecond
)

// ticket lets tasks of a step start on a worker until it expires.
type ticket struct {
	text    string
	born    int64
	expires time.Time
	used    bool
}

// adviceState is what the advice service has said of a step. Which workers are
// allowed does not change; tickets expire.
type adviceState struct {
	tickets map[string]ticket
	denied  map[string]bool
	asking  bool
	asked   time.Time
	rest    time.Time // until when the step need not be looked at
	news    bool      // tickets came in since places were last looked for
	charged bool      // the step counts among those that need a call
	expires time.Time // when the last of the tickets expires
}

func (a *adviceState) drop(worker string) { delete(a.tickets, worker) }

// SetStartDelay tells how long a start waits for its record to be stored. Load
// pattern: a store so slow that tickets of two seconds expire meanwhile.
func (c *Core) SetStartDelay(d time.Duration) { c.startDelay = d }

// arrival is when a start that is decided now is sent.
func (c *Core) arrival(now time.Time) time.Time { return now.Add(c.startDelay) }

// valid returns the ticket for a worker's present life, if it still holds.
func (a *adviceState) valid(w *worker, now time.Time) (string, bool) {
	t, ok := a.tickets[w.info.ID]
	if !ok || t.born != w.born || !now.Before(t.expires) {
		return "", false
	}
	return t.text, true
}

// AdviceCall is a call for advice to make.
type AdviceCall struct {
	Step     workload.StepID
	Workers  []string
	Duration time.Duration // how long the service will take
}

// AdviceCapacity tells what the hosts that ask for advice have time for.
type AdviceCapacity struct {
	MaxDuration time.Duration // the longest call to make
	FewIdle     bool          // few of them are idle
}

// AdvicePass goes once through the steps that wait, most pressing first, and picks calls
// for advice. Load pattern: hundreds of steps that wait, most of which need no call.
type AdvicePass struct {
	core   *Core
	now    time.Time
	turn   *turn
	next   int // the step to look at next
	looked int // steps that needed no call after all
}

// NewAdvicePass returns a pass that begins with the most pressing step.
func (c *Core) NewAdvicePass(now time.Time) *AdvicePass {
	return &AdvicePass{core: c, now: now, turn: c.newTurn(now)}
}

// Next returns the next call for advice for which the hosts have time, or false. The
// caller answers with Advised.
func (p *AdvicePass) Next(hosts AdviceCapacity) (AdviceCall, bool) {
	c, now := p.core, p.now
	for p.next < len(c.order) && p.looked <= askLook {
		r := c.order[p.next]
		p.next++
		s := r.step
		if !s.startable() {
			continue
		}
		q := c.queueOf(s.job)
		if near := p.turn.near(s, q); !near || s.advice.asking || s.advice.news || now.Sub(s.advice.asked) < askPause || now.Before(s.advice.rest) {
			continue
		}
		if q.Advice == nil || q.Advice.PerCall > hosts.MaxDuration {
			continue
		}
		workers := c.askWorkers(r, q, hosts, now)
		if len(workers) == 0 {
			s.advice.asked = now
			if r.rank.group != groupUrgent {
				s.advice.rest = now.Add(askRest)
			}
			p.looked++
			continue
		}
		s.advice.asking, s.advice.asked = true, now
		ask := AdviceCall{Step: s.id, Workers: workers, Duration: q.Advice.Duration(len(workers))}
		c.charge(s, q, ask)
		return ask, true
	}
	return AdviceCall{}, false
}

// charge puts a call on the account.
func (c *Core) charge(s *step, q *workload.Queue, ask AdviceCall) {
	purpose := s.askPurpose(ask.Workers)
	c.account.Calls[purpose]++
	c.account.HostTime[purpose] += ask.Duration
	if !s.advice.charged {
		s.advice.charged = true
		c.account.HostTimeNeeded += q.Advice.Duration(adviceSample)
	}
}

// askPurpose tells what a call for the step that names these workers is made for.
func (s *step) askPurpose(workers []string) AdvicePurpose {
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

// askLook bounds the steps of one pass that are looked at closely and need no call.
const askLook = 60

// HandleAdvice takes in the answer to a call for advice.
func (c *Core) HandleAdvice(a AdviceCall, tickets []workload.Ticket, err error, now time.Time) {
	s := c.findStep(a.Step)
	if s == nil {
		return
	}
	s.advice.asking = false
	if err != nil {
		c.emit("advice failed", "step", a.Step.String(), "workers", len(a.Workers), "cause", err.Error())
		return
	}
	s.advice.news = len(tickets) > 0
	if s.advice.tickets == nil {
		s.advice.tickets = map[string]ticket{}
		s.advice.denied = map[string]bool{}
	}
	expires := now
	if q := c.queueOf(s.job); q.Advice != nil {
		expires = now.Add(q.Advice.Validity - ticketMargin)
	}
	allowed := map[string]string{}
	for _, t := range tickets {
		allowed[t.Worker] = t.Token
	}
	for _, id := range a.Workers {
		text, ok := allowed[id]
		w := c.workers[id]
		switch {
		case !ok:
			s.advice.denied[id] = true
		case w != nil:
			s.advice.expires = expires
			s.advice.tickets[id] = ticket{text: text, born: w.born, expires: expires}
			c.account.TicketsReceived++
		}
	}
	c.changed = true
	c.emit("advice", "step", a.Step.String(), "asked", len(a.Workers), "allowed", len(tickets))
}

// use returns the text of the ticket for a start on a worker, which counts as used.
func (c *Core) use(a *adviceState, w *worker, now time.Time) string {
	text, ok := a.valid(w, now)
	if !ok {
		return ""
	}
	if t := a.tickets[w.info.ID]; !t.used {
		t.used = true
		a.tickets[w.info.ID] = t
		c.account.TicketsUsed++
	}
	return text
}

// findStep returns the step of that name, or nil.
func (c *Core) findStep(id workload.StepID) *step {
	s, _ := c.find(workload.TaskID{StepID: id})
	return s
}

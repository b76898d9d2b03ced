package dispatch

import (
	"sort"
	"time"

	"cuminloft/internal/workload"
)

// ticketMargin is taken off a ticket's life for the time until a start that
// carries it arrives.
const ticketMargin = 300 * time.Millisecond

// askPause is the least time between two calls for one step.
const askPause = 150 * time.Millisecond

// ticket lets tasks of a step start on a worker until it expires.
type ticket struct {
	text    string
	born    int64
	expires time.Time
}

// adviceState is what the advice service has said of a step. Which workers are
// allowed does not change; tickets expire.
type adviceState struct {
	tickets map[string]ticket
	denied  map[string]bool
	asking  bool
	asked   time.Time
	news    bool // tickets came in since places were last looked for
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

// Ask is a call for advice to make.
type Ask struct {
	Step    workload.StepID
	Workers []string
	Cost    time.Duration // how long the service will take
}

// Askers tells what the hosts that ask for advice have time for.
type Askers struct {
	Longest time.Duration // the longest call to make
	Scarce  bool          // few of them are idle
}

// NextAsk returns the most pressing call for advice for which the hosts have time,
// or false. The caller answers with Advised.
func (c *Core) NextAsk(now time.Time, hosts Askers) (Ask, bool) {
	looked := 0
	for _, r := range c.order {
		s := r.step
		if s.advice.asking || s.advice.news || now.Sub(s.advice.asked) < askPause || !s.startable() {
			continue
		}
		q := c.queueOf(s.job)
		if q.Advice == nil || q.Advice.PerCall > hosts.Longest {
			continue
		}
		if looked++; looked > askLook {
			break
		}
		workers := c.askWorkers(r, q, hosts, now)
		if len(workers) == 0 {
			s.advice.asked = now
			continue
		}
		s.advice.asking, s.advice.asked = true, now
		return Ask{Step: s.id, Workers: workers, Cost: q.Advice.Duration(len(workers))}, true
	}
	return Ask{}, false
}

// askLook bounds the steps that one NextAsk looks at.
const askLook = 60

// Sizes of a call for advice.
const (
	// askAllowedShare is the share of workers that a strict policy allows.
	askAllowedShare = 0.35
	askLeast        = 8
	// askSpread is the share of a call's fixed time that naming workers may add
	// without need; a second call costs the fixed time again.
	askSpread = 0.3
	askMost   = 100 // the service's limit
)

// candidate is a worker that a call for advice could name.
type candidate struct {
	id    string
	az    string
	known bool // it was allowed before; its ticket has expired
	room  int
}

// askWorkers picks the workers to name. Load pattern: calls are the bottleneck
// when many steps start at once, so no more are named than are likely to be
// needed.
func (c *Core) askWorkers(r rankedStep, q *workload.Queue, hosts Askers, now time.Time) []string {
	if r.step.spec.Gang {
		return c.askGang(r, q, hosts, now)
	}
	candidates, _ := c.askCandidates(r, c.round.eligible(r.step, q), now, true)
	// Known ones first, then those of one AZ, then the fullest that have room: small
	// tasks fill gaps and leave whole workers to gangs.
	home := r.step.job.home
	if home == "" {
		home = roomiestAZ(candidates)
	}
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		if x.known != y.known {
			return x.known
		}
		if (x.az == home) != (y.az == home) {
			return x.az == home
		}
		if x.room != y.room {
			return x.room < y.room
		}
		return x.id < y.id
	})
	named, _ := cutAsk(r.step, q, candidates)
	return named
}

// roomiestAZ returns the AZ whose candidates have room for the most tasks.
func roomiestAZ(candidates []candidate) string {
	room := map[string]int{}
	best := ""
	for _, x := range candidates {
		room[x.az] += x.room
	}
	for az, n := range room {
		if best == "" || n > room[best] || n == room[best] && az < best {
			best = az
		}
	}
	return best
}

// askGang picks workers for a gang. The first call finds out which ones the gang
// may choose from; later calls renew tickets when there is room, or is about to be.
func (c *Core) askGang(r rankedStep, q *workload.Queue, hosts Askers, now time.Time) []string {
	s := r.step
	if s.advice.tickets == nil {
		return c.firstAsk(r, q, hosts, now)
	}
	if unknown := c.askFurther(r, q); len(unknown) > 0 {
		return unknown
	}
	candidates, likely := c.askCandidates(r, c.round.eligible(s, q), now, true)
	if likely >= float64(len(s.tasks)) {
		sort.Slice(candidates, func(a, b int) bool {
			x, y := candidates[a], candidates[b]
			if x.known != y.known {
				return x.known
			}
			if x.room != y.room {
				return x.room > y.room
			}
			return x.id < y.id
		})
		named, _ := cutAsk(s, q, candidates)
		return named
	}
	if s.heldFrom.IsZero() {
		return nil
	}
	var held []string
	for id, h := range c.holds {
		w := c.workers[id]
		if h.step != s || w == nil {
			continue
		}
		if _, valid := s.advice.valid(w, c.arrival(now)); !valid {
			held = append(held, id)
		}
	}
	if len(held) == 0 || s.heldFrom.Sub(now) > q.Advice.Duration(len(held)) {
		return nil
	}
	sort.Strings(held)
	return held
}

// firstAsk names the workers of a gang's first call: those with room now, if all
// members are likely to find a place on the allowed ones. Else it names as many as
// a call may, since room is kept on the allowed ones and more to choose from is
// better; if hosts that ask are scarce, no more than the gang needs to choose
// from. Load pattern: a lost AZ, which leaves more gangs than hosts that ask; a
// call that names 100 workers takes a host twice as long as one that names 30.
func (c *Core) firstAsk(r rankedStep, q *workload.Queue, hosts Askers, now time.Time) []string {
	s, p := r.step, c.round.pools[q.Pool]
	if p == nil {
		return nil
	}
	if named, enough := c.askRoomy(r, q, p.workers, now); enough {
		return named
	}
	all, _ := c.askCandidates(r, p.workers, now, false)
	sort.Slice(all, func(a, b int) bool { return all[a].id < all[b].id })
	places := 0.0
	for i, x := range all {
		if i >= askMost || hosts.Scarce && places >= float64(gangChoice*len(s.tasks)) {
			return names(all[:i])
		}
		places += askAllowedShare * float64(copies(c.workers[x.id].info.Capacity, s.spec.Charged()))
	}
	return names(all)
}

// askRoomy names workers that have room now, those of the roomiest AZ first, and
// tells whether they are likely to be enough.
func (c *Core) askRoomy(r rankedStep, q *workload.Queue, workers []*worker, now time.Time) ([]string, bool) {
	roomy, _ := c.askCandidates(r, workers, now, true)
	az := roomiestAZ(roomy)
	sort.Slice(roomy, func(a, b int) bool {
		x, y := roomy[a], roomy[b]
		if (x.az == az) != (y.az == az) {
			return x.az == az
		}
		if x.room != y.room {
			return x.room > y.room
		}
		return x.id < y.id
	})
	return cutAsk(r.step, q, roomy)
}

// gangChoice is how many times a gang's tasks should fit on its allowed workers
// if these were empty. With less to choose from, they would hardly ever have room
// for all of them at once (docs/design/0007).
const gangChoice = 8

// askFurther names workers that the service has not been asked about, if those
// that it allowed are too few for the gang even when empty. Load pattern: gangs
// as wide as a tenth of a large cell.
func (c *Core) askFurther(r rankedStep, q *workload.Queue) []string {
	s, p := r.step, c.round.pools[q.Pool]
	if p == nil {
		return nil
	}
	places := 0
	var unknown []candidate
	for _, w := range p.workers {
		_, known := s.advice.tickets[w.info.ID]
		switch {
		case !s.takes(w) || s.advice.denied[w.info.ID]:
		case known:
			places += copies(w.info.Capacity, s.spec.Charged())
		default:
			unknown = append(unknown, candidate{id: w.info.ID})
		}
	}
	if places >= gangChoice*len(s.tasks) {
		return nil
	}
	sort.Slice(unknown, func(a, b int) bool { return unknown[a].id < unknown[b].id })
	return names(unknown[:min(len(unknown), askMost)])
}

// askCandidates returns those of the workers that a call could name, and how many
// places the step is likely to be allowed on these and on those with a valid ticket.
func (c *Core) askCandidates(r rankedStep, workers []*worker, now time.Time, withRoom bool) ([]candidate, float64) {
	s := r.step
	var out []candidate
	likely := 0.0
	for _, w := range workers {
		if !s.takes(w) || s.advice.denied[w.info.ID] {
			continue
		}
		n := 0
		if !c.held(s, w, r.rank, now) {
			n = c.room(w, s, r.rank)
		}
		if withRoom && n == 0 {
			continue
		}
		_, known := s.advice.tickets[w.info.ID]
		if known {
			likely += float64(n)
		} else {
			likely += askAllowedShare * float64(n)
		}
		if _, ok := s.advice.valid(w, c.arrival(now)); ok {
			continue
		}
		out = append(out, candidate{w.info.ID, w.info.AZ, known, n})
	}
	return out, likely
}

// cutAsk cuts a list of candidates to those that are likely to be needed, and
// tells whether they are likely to be enough.
func cutAsk(s *step, q *workload.Queue, candidates []candidate) ([]string, bool) {
	least := askLeast
	if cost := q.Advice; cost.PerWorker > 0 {
		least = max(least, int(askSpread*float64(cost.PerCall)/float64(cost.PerWorker)))
	}
	expected := 0.0
	for i, x := range candidates {
		enough := expected >= askSurplus*float64(s.pending)
		if i >= askMost || i >= least && enough {
			return names(candidates[:i]), enough
		}
		if x.known {
			expected += float64(x.room)
		} else {
			expected += askAllowedShare * float64(x.room)
		}
	}
	return names(candidates), expected >= askSurplus*float64(s.pending)
}

func names(candidates []candidate) []string {
	out := make([]string, 0, len(candidates))
	for _, x := range candidates {
		out = append(out, x.id)
	}
	return out
}

// askSurplus is how many times the places needed a call should yield, since
// other steps take some of them before the answer is in.
const askSurplus = 2.0

// Advised takes in the answer to a call for advice.
func (c *Core) Advised(a Ask, tickets []workload.Ticket, err error, now time.Time) {
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
		allowed[t.Worker] = t.Text
	}
	for _, id := range a.Workers {
		text, ok := allowed[id]
		w := c.workers[id]
		switch {
		case !ok:
			s.advice.denied[id] = true
		case w != nil:
			s.advice.tickets[id] = ticket{text, w.born, expires}
		}
	}
	c.changed = true
	c.emit("advice", "step", a.Step.String(), "asked", len(a.Workers), "allowed", len(tickets))
}

// findStep returns the step of that name, or nil.
func (c *Core) findStep(id workload.StepID) *step {
	s, _ := c.find(workload.TaskID{StepID: id})
	return s
}

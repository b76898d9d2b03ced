package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/workload"
)

// Looking for places.
const (
	// schedulePause is the least time between two looks for places; starts wait for
	// a commit anyway. It is at least schedulePart times what the last look took:
	// with a long backlog the loop has to hear of the tasks that end, too.
	schedulePause = 15 * time.Millisecond
	schedulePart  = 4
	// askPause is the pause between two choices of calls for advice while nothing was
	// looked at anew: hosts may have become idle.
	askPause = 20 * time.Millisecond
)

// yieldAfter is how long a host coordinates before it gives way to a much larger
// one. By then hosts that are gone are known to be.
const yieldAfter = 12 * time.Second

// errYield ends the term of a host that gives way.
var errYield = errors.New("gives way to a host with a larger share of a core")

const (
	// tick is how often what is due with time is looked at.
	tick = 50 * time.Millisecond
	// leasesPause is how often the leases of all workers are looked at; those of a
	// worker that does not answer are known with its silence.
	leasesPause = 500 * time.Millisecond
	// statsPause is how often the gauges are set and what waits is logged.
	statsPause = time.Second
)

// termLoop is the task that owns the core during one term.
type termLoop struct {
	*Coordinator
	term     *Term
	core     *dispatch.Core
	events   chan any
	links    *linkSet
	advice   *adviceDesk
	hostDesk *maintenanceDesk
	commits  chan commitRequest
	// committing tells that a commit is under way; committedAt is when the last
	// one succeeded, in nanoseconds since term.Since.
	committing   bool
	commitBegan  time.Time
	commitTime   time.Duration // smoothed
	scheduled    time.Time     // when the last look for places ended
	scheduleTook time.Duration
	asked        time.Time // when calls for advice were last chosen
	waking       bool      // a wake event is due
	leasesRead   time.Time // when the links were last asked for their leases
	statsTold    time.Time // when the gauges were last set
	reviewed     bool      // the core was reviewed since, without placing anything
	book         *jobstore.ProgressIndex
	swept        time.Time // when ended jobs were last looked for
	committedAt  atomic.Int64
	loaded       atomic.Bool // the core holds all jobs
	endings      endings
	spent        loopTime
}

func newTermLoop(c *Coordinator, term *Term, events chan any) *termLoop {
	t := &termLoop{
		Coordinator: c, term: term, core: dispatch.New(), events: events, statsTold: time.Now(),
		commits: make(chan commitRequest, 1), book: jobstore.NewProgressIndex(), endings: endings{}, spent: loopTime{},
	}
	t.links = newLinkSet(c, term.Epoch, t.lastCommit, events)
	t.advice = newAdviceDesk(c.Advisers, events)
	t.hostDesk = newMaintenanceDesk()
	return t
}

// lastCommit is when the seat was last confirmed.
func (t *termLoop) lastCommit() time.Time {
	return t.term.Since.Add(time.Duration(t.committedAt.Load()))
}

// run handles events until the seat is lost.
func (t *termLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-t.queries:
			q.ask(t)
			close(q.asked)
			continue
		case e := <-t.events:
			began := time.Now()
			if err := t.handle(ctx, e); err != nil {
				return err
			}
			if err := t.drain(ctx); err != nil {
				return err
			}
			t.spent.spend(phaseEvents, began)
		case <-ticker.C:
			if time.Since(t.term.Since) > yieldAfter && t.Undersized() {
				return errYield
			}
			began := time.Now()
			t.tick(ctx)
			t.spent.spend(phaseTick, began)
		}
		t.act(ctx)
	}
}

// drain handles the events that wait already, so that one decision covers them.
func (t *termLoop) drain(ctx context.Context) error {
	for range eventBacklog {
		select {
		case e := <-t.events:
			if err := t.handle(ctx, e); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// handle takes one event into the core.
func (t *termLoop) handle(ctx context.Context, event any) error {
	now := time.Now()
	switch e := event.(type) {
	case jobEntries:
		t.takeEntries(e, now)
	case registry:
		t.takeRegistry(e)
	case registryChanges:
		for _, ch := range e {
			t.core.SetWorker(ch)
		}
	case report:
		t.takeReport(e, now)
	case startAnswer:
		t.core.HandleStartResult(e.start, e.err, now)
	case unanswered:
		t.core.HandleUnansweredOrder(e.worker, now)
	case stopAnswer:
		t.core.HandleStopResult(e.stop, e.err, now)
	case paceFailed:
		t.Log.Info("filling task not paced", "task", e.order.Run.Task.String(), "worker", e.order.Worker.ID, "cause", e.err.Error())
		t.core.HandleThrottleError(e.order)
	case advised:
		t.advice.answered(e, now)
		t.core.HandleAdvice(e.ask, e.tickets, e.err, now)
	case marked:
		for id := range e {
			t.core.TombstoneStored(id)
			t.book.Drop(id)
		}
	case removed:
		for _, id := range e {
			t.core.RemoveJob(id)
		}
	case campaignLoaded, hostsListed, maintained, campaignReported:
		t.handleMaintenance(ctx, e, now)
	case wake:
		t.waking = false
	case committed:
		t.committing = false
		t.commitTime += time.Duration(commitWeight * float64(e.took-t.commitTime))
		t.core.SetStartDelay(t.commitTime)
		if e.book != nil {
			t.book = e.book
		}
		for _, batch := range e.batches {
			t.links.start(ctx, t.core.HandleStored(batch))
		}
		t.endings.tell(t.core, now)
	case partRefuses:
		t.rebase(e.request)
	default:
		return fmt.Errorf("event %T is unknown to the coordinator", event)
	}
	return nil
}

func (t *termLoop) takeEntries(entries []jobstore.Entry, now time.Time) {
	for _, e := range entries {
		if e.Job != nil {
			t.core.AddJob(e.Job, now)
		}
	}
	for _, e := range entries {
		if e.Cancelled {
			t.core.Cancel(e.ID, now)
		}
	}
}

// takeRegistry takes the whole registry: workers that it does not name are gone.
func (t *termLoop) takeRegistry(all registry) {
	named := make(map[string]bool, len(all))
	for _, ch := range all {
		named[ch.ID] = ch.Worker != nil
		t.core.SetWorker(ch)
	}
	for _, id := range t.core.RegisteredWorkers() {
		if !named[id] {
			t.core.SetWorker(workload.WorkerChange{ID: id})
		}
	}
}

func (t *termLoop) takeReport(r report, now time.Time) {
	t.core.ExtendLease(r.worker, t.links.over(r.worker))
	switch {
	case r.err == nil:
		t.core.HandleInventory(r.worker, r.inv, r.asked, now)
	case errors.Is(r.err, workload.ErrReplaced):
		t.core.HandleReplaced(r.worker, now)
	default:
		t.core.HandleLostContact(r.worker)
	}
}

// tick does what is due with time.
func (t *termLoop) tick(ctx context.Context) {
	now := time.Now()
	t.sweep(ctx, now)
	t.syncCell()
	if now.Sub(t.leasesRead) >= leasesPause {
		t.leasesRead = now
		for id, over := range t.links.overs() {
			t.core.ExtendLease(id, over)
		}
	}
	t.maintain(ctx, now)
	t.core.Tick(now)
	if span := now.Sub(t.statsTold); span >= statsPause {
		t.statsTold = now
		t.tellStats(now)
		t.tellLoopTime(span)
	}
}

// tellStats sets the gauges and logs what waits.
func (t *termLoop) tellStats(now time.Time) {
	stats, waiting := t.core.Stats(), t.core.Explain(now)
	t.Observer.SetGauges(stats, waiting)
	t.tellAdvice()
	if waiting.Steps == 0 {
		return
	}
	fields := []any{"steps", waiting.Steps, "oldest", waiting.OldestAge, "used millicores", stats.UsedMilliCores,
		"of millicores", stats.CapacityMilliCores, "open millicores", waiting.OpenMilliCores,
		"idle millicores", waiting.IdleMilliCores, "workers with kept room", stats.ReservedWorkers}
	for _, reason := range dispatch.WaitReasons {
		if n := waiting.Tasks[reason]; n > 0 {
			fields = append(fields, string(reason), n)
		}
	}
	t.Log.Info("tasks wait", fields...)
}

// tellAdvice counts and logs what calls for advice were made for since the last time.
func (t *termLoop) tellAdvice() {
	a := t.core.TakeAdviceStats()
	t.Observer.CountAdvice(a)
	if len(a.Calls) == 0 && a.TicketsReceived == 0 {
		return
	}
	fields := []any{"needed", a.HostTimeNeeded, "took", a.Total(), "tickets", a.TicketsReceived, "tickets used", a.TicketsUsed, "tickets refused", a.TicketsRefused}
	for _, purpose := range dispatch.AdvicePurposes {
		if n := a.Calls[purpose]; n > 0 {
			fields = append(fields, string(purpose)+" calls", n, string(purpose)+" took", a.HostTime[purpose])
		}
	}
	t.Log.Info("calls for advice", fields...)
}

// syncCell takes the operators' newest wishes into the core.
func (t *termLoop) syncCell() {
	if cell := t.Watch.Cell(); cell != nil {
		t.core.SetCell(cell)
	}
	t.core.SetEvacuatedAZs(t.Watch.Evacuated())
}

// act decides and sends what follows from the core's state.
func (t *termLoop) act(ctx context.Context) {
	now := time.Now()
	looked := t.schedule(ctx, now)
	at := t.spent.spend(phaseSchedule, now)
	if looked || now.Sub(t.asked) >= askPause {
		t.asked = now
		t.advice.ask(ctx, t.core, now)
		at = t.spent.spend(phaseAdvice, at)
	}
	t.commit(ctx, now)
	at = t.spent.spend(phaseCommit, at)
	t.links.sync(ctx, t.core)
	t.links.stop(ctx, t.core.TakeStopOrders())
	t.links.pace(ctx, t.core.TakeThrottleOrders())
	at = t.spent.spend(phaseOrders, at)
	t.report()
	t.spent.spend(phaseLog, at)
}

// schedule looks for places when something has changed. While a slow commit is
// under way it only reviews what waits: a start that was decided now would wait
// for two commits, and its ticket expire. It reports whether it looked at what waits.
func (t *termLoop) schedule(ctx context.Context, now time.Time) (looked bool) {
	slow := t.commitTime >= slowCommit
	if !t.core.NeedsScheduling() && (!t.reviewed || t.committing) {
		return false
	}
	pause := max(schedulePause, schedulePart*t.scheduleTook)
	if left := pause - now.Sub(t.scheduled); left > 0 {
		t.wakeAfter(ctx, left)
		return false
	}
	t.reviewed = slow && t.committing
	if t.reviewed {
		t.core.RefreshReadySteps(now)
	} else {
		t.core.Schedule(now)
	}
	t.scheduled = time.Now()
	t.scheduleTook = t.scheduled.Sub(now)
	return true
}

// post hands an event to the loop.
func (t *termLoop) post(ctx context.Context, event any) {
	select {
	case t.events <- event:
	case <-ctx.Done():
	}
}

// wakeAfter makes the loop look again after d.
func (t *termLoop) wakeAfter(ctx context.Context, d time.Duration) {
	if t.waking {
		return
	}
	t.waking = true
	time.AfterFunc(d, func() { t.post(ctx, wake{}) })
}

// report logs the core's decisions.
func (t *termLoop) report() {
	for _, e := range t.core.TakeEvents() {
		t.Observer.CountEvent(e.Name)
		t.Log.Info(e.Name, e.Fields...)
	}
}

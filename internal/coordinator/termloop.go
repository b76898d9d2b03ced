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

// Timing of scheduling passes.
const (
	// scheduleInterval is the minimum time between two scheduling passes; starts wait
	// for a commit anyway. The pause is at least scheduleTimeFactor times the duration
	// of the last pass: with a long backlog the event loop also needs time to handle
	// ended tasks.
	scheduleInterval   = 15 * time.Millisecond
	scheduleTimeFactor = 4
	// adviceInterval is the pause between two selections of calls for advice while
	// there is no scheduling pass: hosts may have become idle.
	adviceInterval = 20 * time.Millisecond
)

// yieldAfter is how long a host coordinates before it yields to a much larger one. By
// then hosts that are down are known to be down.
const yieldAfter = 12 * time.Second

// errYield ends the term of a host that yields to a larger one.
var errYield = errors.New("yields to a host with a larger share of a core")

const (
	// tickInterval is the interval of periodic work.
	tickInterval = 50 * time.Millisecond
	// statsInterval is how often the gauges are set and the waiting tasks are logged.
	statsInterval = time.Second
)

// termLoop is the event loop that owns the core during one term.
type termLoop struct {
	*Coordinator
	term        *Term
	core        *dispatch.Core
	events      chan any
	links       *linkSet
	advice      *advicePool
	maintenance *maintenanceController
	commits     chan commitRequest
	rejected    []*dispatch.Batch // parts of a rejected commit that are still to be stored, the next one last
	// committing is set while a commit is in progress; committedAt is when the last one
	// that succeeded began, in nanoseconds since term.Since.
	committing      bool
	commitBeganAt   time.Time
	commitTime      time.Duration // smoothed
	scheduledAt     time.Time     // end of the last scheduling pass
	scheduleTook    time.Duration
	adviceCalledAt  time.Time // when calls for advice were last selected
	wakeScheduled   bool      // a wakeUp event is scheduled
	statsReportedAt time.Time // when the gauges were last set
	refreshedOnly   bool      // the latest pass only refreshed the ready steps
	index           *jobstore.ProgressIndex
	sweptAt         time.Time // when the last sweep began
	hints           hintStorage
	committedAt     atomic.Int64
	leaseBasis      atomic.Pointer[time.Time] // when the last commit since the load began; nil if there is none
	loaded          atomic.Bool               // the core holds all jobs
	endWaiters      endWaiters
	loopTime        loopTime
	leaseBounds     leaseBounds // to be stored with the next commit
	commitDue       bool        // a commit is due although no job has changed
	registryRead    bool        // the core knows all registered workers
}

func newTermLoop(c *Coordinator, term *Term, events chan any) *termLoop {
	t := &termLoop{
		Coordinator: c, term: term, core: dispatch.New(), events: events, statsReportedAt: time.Now(),
		commits: make(chan commitRequest, 1), index: jobstore.NewProgressIndex(), endWaiters: endWaiters{}, loopTime: loopTime{},
	}
	t.hints = hintStorage{dueAt: time.Now().Add(t.hintInterval()), stored: map[string]storedHints{}}
	t.links = newLinkSet(c, term.firstFence(), t.leasesEndBefore, events)
	t.advice = newAdvicePool(c.Advisers, events)
	t.maintenance = newMaintenanceController()
	t.takeOverLeaseBounds()
	return t
}

// lastCommit returns when the leadership was last renewed.
func (t *termLoop) lastCommit() time.Time {
	return t.term.Since.Add(time.Duration(t.committedAt.Load()))
}

// leasesEndBefore returns the time by which the leases given now have to end: a successor
// relies on takeoverBound after the last commit since the load, or, if there is none, on
// the end of the earlier leases that the record announces. The takeover is no such commit:
// its answer may arrive after another host has taken the leadership.
func (t *termLoop) leasesEndBefore() time.Time {
	if began := t.leaseBasis.Load(); began != nil {
		return began.Add(takeoverBound)
	}
	return t.term.firstLeasesEnd
}

// run handles events until the leadership is lost.
func (t *termLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-t.queries:
			q.run(t)
			close(q.done)
			continue
		case e := <-t.events:
			began := time.Now()
			if err := t.handle(ctx, e); err != nil {
				return err
			}
			if err := t.drain(ctx); err != nil {
				return err
			}
			t.loopTime.add(phaseEvents, began)
		case <-ticker.C:
			if time.Since(t.term.Since) > yieldAfter && t.LargerHostUp() {
				return errYield
			}
			began := time.Now()
			t.tick(ctx)
			t.loopTime.add(phaseTick, began)
		}
		t.act(ctx)
	}
}

// drain handles the events that are queued already, so that one scheduling pass covers
// them.
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

// handle applies one event to the core.
func (t *termLoop) handle(ctx context.Context, event any) error {
	now := time.Now()
	switch e := event.(type) {
	case jobEntries:
		t.handleJobEntries(e, now)
	case registrySnapshot:
		t.handleRegistry(e)
	case registryChanges:
		for _, ch := range e {
			t.core.SetWorker(ch)
		}
	case heartbeatResult:
		t.handleHeartbeatResult(e, now)
	case startResult:
		t.core.HandleStartResult(e.start, e.err, now)
	case firstAttemptLost:
		t.core.HandleUnansweredOrder(e.worker, now)
	case stopResult:
		t.core.HandleStopResult(e.stop, e.err, now)
	case throttleFailed:
		t.Log.Info("best-effort task not throttled", "task", e.order.Run.Task.String(), "worker", e.order.Worker.ID, "cause", e.err.Error())
		t.core.HandleThrottleError(e.order)
	case adviceResult:
		t.advice.finishCall(e, now)
		t.core.HandleAdvice(e.call, e.tickets, e.err, now)
	case tombstonesStored:
		for id := range e {
			t.core.TombstoneStored(id)
			t.index.Drop(id)
		}
	case tombstonesRemoved:
		for _, id := range e {
			t.core.RemoveJob(id)
		}
	case campaignLoaded, campaignSaved, hostsListed, maintenanceOrdered, campaignReported:
		t.handleMaintenance(e, now)
	case hintsRead:
		t.handleHintsRead(e)
	case hintsStored:
		t.handleHintsStored(e)
	case wakeUp:
		t.wakeScheduled = false
	case commitDone:
		t.committing = false
		t.commitTime += time.Duration(commitTimeWeight * float64(e.took-t.commitTime))
		t.core.SetStartDelay(t.commitTime)
		t.index.Placed(e.placement)
		if e.index != nil {
			t.index = e.index
		}
		t.releaseLeases(e.leaseBounds)
		t.links.renewLeaseless(ctx)
		if len(e.batches) == 0 {
			t.core.HandleRenewal()
		}
		for _, batch := range e.batches {
			t.links.start(ctx, t.core.HandleStored(batch, now))
		}
		t.endWaiters.notify(t.core, now)
	case commitRefused:
		t.moveProgress(e.request)
	case commitRejected:
		return t.handleRejected(e.request, e.cause, now)
	default:
		return fmt.Errorf("event of type %T is not handled by the coordinator", event)
	}
	return nil
}

func (t *termLoop) handleJobEntries(entries []jobstore.Entry, now time.Time) {
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

// handleRegistry applies the complete registry: workers that it does not list are
// removed.
func (t *termLoop) handleRegistry(all registrySnapshot) {
	t.registryRead = true
	listed := make(map[string]bool, len(all))
	for _, ch := range all {
		listed[ch.ID] = ch.Worker != nil
		t.core.SetWorker(ch)
	}
	for _, id := range t.core.RegisteredWorkers() {
		if !listed[id] {
			t.core.SetWorker(workload.WorkerChange{ID: id})
		}
	}
}

func (t *termLoop) handleHeartbeatResult(r heartbeatResult, now time.Time) {
	t.core.ExtendLease(r.worker, t.links.leasesEnd(r.worker))
	if address := t.core.WorkerAddress(r.worker); address != "" && address != r.address && !errors.Is(r.err, workload.ErrReplaced) {
		return // from before the worker's address changed
	}
	switch {
	case r.err == nil:
		t.removeLeaseBound(r.worker)
		t.core.HandleInventory(r.worker, r.inventory, r.sentAt, now)
	case errors.Is(r.err, workload.ErrReplaced):
		t.core.HandleReplaced(r.worker, r.address, now)
	default:
		t.core.HandleLostContact(r.worker, now)
	}
}

// tick does the periodic work.
func (t *termLoop) tick(ctx context.Context) {
	now := time.Now()
	t.sweep(ctx, now)
	t.writeHints(ctx, now)
	t.syncConfiguration()
	for _, id := range t.core.WorkersOutOfReach() {
		t.core.ExtendLease(id, t.links.leasesEnd(id))
	}
	t.updateLeaseBounds()
	t.maintain(ctx, now)
	t.core.Tick(now)
	if span := now.Sub(t.statsReportedAt); span >= statsInterval {
		t.statsReportedAt = now
		t.reportStats(now)
		t.reportLoopTime(span)
	}
}

// reportStats sets the gauges and logs the waiting tasks.
func (t *termLoop) reportStats(now time.Time) {
	stats, waiting, away := t.core.Stats(), t.core.Explain(now), t.core.OutOfReach(now)
	t.Observer.SetGauges(stats, waiting, away)
	t.reportAdvice()
	if away.Tasks > 0 {
		t.Log.Info("tasks on workers out of reach", "workers", away.Workers, "tasks", away.Tasks, "service tasks", away.ServiceTasks,
			"longest", away.Longest, "first leases end in", away.FirstEnd, "last leases end in", away.LastEnd)
	}
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

// reportAdvice logs the statistics of calls for advice since the last report and passes
// them to the observer.
func (t *termLoop) reportAdvice() {
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

// syncConfiguration passes the settings' policy and the operators' current configuration and
// evacuations to the core.
func (t *termLoop) syncConfiguration() {
	t.core.SetPolicy(t.Policy())
	if t.IgnoredImagePairs != nil {
		t.core.SetIgnoredImagePairs(t.IgnoredImagePairs())
	}
	if cell := t.Watch.Cell(); cell != nil {
		t.core.SetCell(cell)
	}
	t.core.SetEvacuatedAZs(t.Watch.Evacuated())
}

// act schedules, commits and sends the orders that follow from the core's state.
func (t *termLoop) act(ctx context.Context) {
	now := time.Now()
	ran := t.schedule(ctx, now)
	phaseBegan := t.loopTime.add(phaseSchedule, now)
	if ran || now.Sub(t.adviceCalledAt) >= adviceInterval {
		t.adviceCalledAt = now
		t.advice.startCalls(ctx, t.core, now)
		phaseBegan = t.loopTime.add(phaseAdvice, phaseBegan)
	}
	t.commit(ctx, now)
	phaseBegan = t.loopTime.add(phaseCommit, phaseBegan)
	t.links.sync(ctx, t.core)
	t.links.stop(ctx, t.core.TakeStopOrders())
	t.links.throttle(ctx, t.core.TakeThrottleOrders())
	phaseBegan = t.loopTime.add(phaseOrders, phaseBegan)
	t.logDecisions()
	t.loopTime.add(phaseLog, phaseBegan)
}

// schedule runs a scheduling pass if the core's state has changed. While a slow commit
// is in progress it only refreshes the ready steps: a start decided now would wait for
// two commits, and its ticket would expire. It reports whether it ran a pass or a
// refresh.
func (t *termLoop) schedule(ctx context.Context, now time.Time) (ran bool) {
	slow := t.commitTime >= slowCommit
	if !t.core.NeedsScheduling() && (!t.refreshedOnly || t.committing) {
		return false
	}
	pause := max(scheduleInterval, scheduleTimeFactor*t.scheduleTook)
	if left := pause - now.Sub(t.scheduledAt); left > 0 {
		t.wakeAfter(ctx, left)
		return false
	}
	t.refreshedOnly = slow && t.committing
	if t.refreshedOnly {
		t.core.RefreshReadySteps(now)
	} else {
		t.core.Schedule(now)
	}
	t.scheduledAt = time.Now()
	t.scheduleTook = t.scheduledAt.Sub(now)
	return true
}

// post passes an event to the event loop.
func (t *termLoop) post(ctx context.Context, event any) {
	select {
	case t.events <- event:
	case <-ctx.Done():
	}
}

// wakeAfter makes the event loop act again after d.
func (t *termLoop) wakeAfter(ctx context.Context, d time.Duration) {
	if t.wakeScheduled {
		return
	}
	t.wakeScheduled = true
	time.AfterFunc(d, func() { t.post(ctx, wakeUp{}) })
}

// logDecisions logs and counts the core's decisions.
func (t *termLoop) logDecisions() {
	for _, e := range t.core.TakeEvents() {
		t.Observer.CountEvent(e.Name)
		t.Log.Info(e.Name, e.Fields...)
	}
}

package owner

import (
	"context"
	"sync"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// message is an input of the event loop.
type message interface{ handle(l *loop) }

// loop is the shard's event loop. Only its goroutine accesses its fields.
type loop struct {
	*Owner
	ownerRow ownerRow
	// ownershipCtx is the context of all goroutines of this ownership.
	ownershipCtx context.Context
	wg           *sync.WaitGroup

	core    *sched.Core
	events  []sched.Event // not yet handled by the core
	feeding bool
	cfg     *config.Config
	version config.Version

	state            *journal.State // includes the records in queue that were applied before they are durable
	queue            writeQueue
	attempts         map[worker.Attempt]*attempt
	attemptsOn       map[string]map[worker.Attempt]*attempt // attempts by worker
	newestAttempt    map[model.TaskID]*attempt              // newest attempt of each task
	attemptCount     map[model.JobID]int                    // number of attempts by job
	reservations     map[model.JobID]*reservation
	workers          map[string]*workerLink
	watchers         map[model.JobID][]watcher
	duplicateSubmits map[string][]*submitMessage // repeated submissions, by the idempotency row that is being written
	history          []endedJob                  // oldest first

	takenAt           time.Time
	jobsToRestore     []model.JobID        // jobs that are not passed to the core before the inventories are known
	awaitingInventory map[model.JobID]bool // jobs of which no task starts before the inventories are known
	lastTableWrite    time.Time            // start of the last guarded write that succeeded
	tableDown         bool
	draining          bool
	lostErr           error // set when the shard is lost

	startsInFlight     int       // number of start commands in flight
	confirmedVersion   int64     // version published as confirmed in the digest
	olderStartsVoidAt  time.Time // starts decided under the older version are void after this time
	digestPublishedAt  time.Time
	workersPublishedAt time.Time
	fleetReadAt        time.Time
	// grantsSeen is the channel that signals the next change of the grants.
	grantsSeen <-chan struct{}
}

// run handles messages until ctx ends or the shard is lost.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(housekeepingInterval)
	defer timer.Stop()
	for l.lostErr == nil {
		// The channels are read before the state whose changes they signal, so that no
		// change in between is missed.
		configChanged := l.opts.View.Changed()
		l.applyConfig()
		grantsChanged := l.grantsChanged()
		if grantsChanged != l.grantsSeen {
			l.grantsSeen = grantsChanged
			l.applyGrants()
		}
		l.afterMessage()
		timer.Reset(l.maxSleep())
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			m.handle(l)
		case <-configChanged:
		case <-grantsChanged:
		case <-timer.C:
			l.tick()
		}
	}
	return l.lostErr
}

// afterMessage does the work that is due after every message.
func (l *loop) afterMessage() {
	l.confirmConfig()
	l.flush()
	l.publish()
}

// maxSleep returns how long the loop may wait for a message.
func (l *loop) maxSleep() time.Duration {
	wait := l.queue.maxSleep()
	if at, ok := l.core.NextWake(); ok {
		wait = min(wait, time.Until(at))
	}
	return max(wait, minSleep)
}

// tick runs the periodic checks.
func (l *loop) tick() {
	l.feed(sched.Tick{})
	l.checkTickets()
	l.updateLeavingHosts()
	l.checkUnreachableWorkers()
	l.restoreAwaitingJobs()
	l.dispatchWaiting()
	l.refuseOverdue()
	l.removeOldJobs()
	l.readFleet()
}

func (l *loop) readFleet() {
	now := time.Now()
	if l.opts.Fleet == nil || now.Sub(l.fleetReadAt) < fleetInterval {
		return
	}
	l.fleetReadAt = now
	l.feed(l.opts.Fleet())
}

// feed passes an event to the core and executes its decisions. Events that result from
// a decision are processed after all decisions of the current event.
func (l *loop) feed(ev sched.Event) {
	l.events = append(l.events, ev)
	if l.feeding {
		return
	}
	l.feeding = true
	for len(l.events) > 0 {
		next := l.events[0]
		l.events = l.events[1:]
		for _, d := range l.core.Handle(time.Now(), next) {
			l.execute(d)
		}
	}
	l.feeding = false
}

// execute executes one decision of the core.
func (l *loop) execute(d sched.Decision) {
	switch d := d.(type) {
	case sched.StartTask:
		l.startTask(d)
	case sched.PreemptTask:
		l.preempt(d)
	case sched.JobEnded:
		l.jobEnded(d)
	case sched.RequestGrant:
		if l.opts.Grants != nil {
			l.opts.Grants.Request(d.Team, d.Total)
		}
	case sched.WorkerHealthChanged:
		l.record(timeline.Event{Kind: timeline.KindWorkerState, Target: d.Worker, Detail: d.Reason})
	}
}

// spawn runs f in a goroutine whose context ends with the ownership.
func (l *loop) spawn(f func(ctx context.Context)) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f(l.ownershipCtx)
	}()
}

func (l *loop) record(e timeline.Event) { l.opts.Recorder.Record(e) }

// loseShard ends the ownership. Only the first error is kept.
func (l *loop) loseShard(err error) {
	if l.lostErr == nil {
		l.lostErr = err
	}
}

func (l *loop) lease() time.Duration { return l.cfg.Policy.Lease() }

func (l *loop) startWindow() time.Duration { return l.cfg.Policy.StartWindow() }

// soloUntil returns the time until which journaled work may start without the table.
func (l *loop) soloUntil() time.Time { return l.lastTableWrite.Add(l.cfg.Policy.SoloWindow()) }

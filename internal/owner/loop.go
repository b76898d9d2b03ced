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

// message is anything that reaches the event loop.
type message interface{ handle(l *loop) }

// loop is the shard's event loop. Its goroutine alone uses its fields.
type loop struct {
	*Owner
	held held
	// work ends all goroutines of this ownership.
	work context.Context
	wg   *sync.WaitGroup

	core    *sched.Core
	events  []sched.Event // not yet handled by the core
	feeding bool
	cfg     *config.Config
	version config.Version

	state    *journal.State // as it will be once the queue is written
	queue    writeQueue
	attempts map[worker.Attempt]*attempt
	on       map[string]map[worker.Attempt]*attempt // the same by worker
	current  map[model.TaskID]*attempt              // newest attempt of each task
	active   map[model.JobID]int                    // attempts by job
	direct   map[model.JobID]*reservation
	workers  map[string]*link
	watchers map[model.JobID][]watcher
	claims   map[string][]*submitMessage // by idempotency row that is being written
	history  []endedJob                  // oldest first

	takenAt   time.Time
	restored  []model.JobID        // idempotent jobs that the core does not know yet
	inherited map[model.JobID]bool // jobs that start nothing until the workers are accounted for
	lastSign  time.Time            // start of the last guarded write that succeeded
	tableDown bool
	draining  bool
	lost      error // set when the shard is lost

	sends     int       // start commands under way
	confirmed int64     // configuration version that nothing older can start under
	confirmBy time.Time // when starts under the older version are void
	digestAt  time.Time
	workersAt time.Time
	fleetAt   time.Time
	// grantsSeen announces the next change after the grants in force.
	grantsSeen <-chan struct{}
}

// run handles messages until ctx ends or the shard is lost.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(housekeeping)
	defer timer.Stop()
	for l.lost == nil {
		// The channels are taken before the state that they announce is read, so
		// that no change is missed between the two.
		configChanged := l.opts.View.Changed()
		l.applyConfig()
		grantsChanged := l.grantsChanged()
		if grantsChanged != l.grantsSeen {
			l.grantsSeen = grantsChanged
			l.applyGrants()
		}
		l.settleTurn()
		timer.Reset(l.sleep())
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
	return l.lost
}

// settleTurn does what follows from every message.
func (l *loop) settleTurn() {
	l.confirmConfig()
	l.flush()
	l.publish()
}

// sleep returns how long the loop may wait for a message.
func (l *loop) sleep() time.Duration {
	wait := l.queue.sleep()
	if at, ok := l.core.NextWake(); ok {
		wait = min(wait, time.Until(at))
	}
	return max(wait, shortestSleep)
}

// tick lets time pass.
func (l *loop) tick() {
	l.feed(sched.Tick{})
	l.checkTickets()
	l.readHosts()
	l.checkWorkers()
	l.releaseRestored()
	l.releaseHeld()
	l.refuseOverdue()
	l.forgetHistory()
	l.readFleet()
}

func (l *loop) readFleet() {
	now := time.Now()
	if l.opts.Fleet == nil || now.Sub(l.fleetAt) < fleetEvery {
		return
	}
	l.fleetAt = now
	l.feed(l.opts.Fleet())
}

// feed passes an event to the core and carries out what it decides. Events
// that follow from decisions are handled after them.
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
			l.decide(d)
		}
	}
	l.feeding = false
}

// decide carries out one decision of the core.
func (l *loop) decide(d sched.Decision) {
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

// spawn runs f until the ownership ends.
func (l *loop) spawn(f func(ctx context.Context)) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f(l.work)
	}()
}

func (l *loop) record(e timeline.Event) { l.opts.Recorder.Record(e) }

// lose ends the ownership; the first cause counts.
func (l *loop) lose(err error) {
	if l.lost == nil {
		l.lost = err
	}
}

func (l *loop) lease() time.Duration { return l.cfg.Policy.Lease() }

func (l *loop) startWindow() time.Duration { return l.cfg.Policy.StartWindow() }

// soloUntil is how long journaled work may start without the table.
func (l *loop) soloUntil() time.Time { return l.lastSign.Add(l.cfg.Policy.SoloWindow()) }

package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"cuminloft/internal/cellwatch"
	"cuminloft/internal/dispatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// Coordinator dispatches the cell's jobs while its host is the leader.
type Coordinator struct {
	Store     platform.Store
	Jobs      jobstore.Jobs
	Watch     *cellwatch.Watch
	Workers   platform.Feed[workload.WorkerChange]
	Commander workload.Commander
	// Advisers returns the hosts through which the advice service can be called.
	Advisers func() []Adviser
	Log      logr.Logger
	Observer Observer
	// Hosts operates the workers' hosts; nil if the platform has no API for that.
	Hosts workload.HostOperator
	// OrderLease is the minimum time between the last maintenance order of one leader
	// and the first order of the next.
	OrderLease time.Duration
	// Retention is how long the state of ended jobs remains available.
	Retention time.Duration
	// LargerHostUp reports whether another host that is known to be up has a much larger
	// share of a core and should coordinate instead.
	LargerHostUp func() bool
	// Policy returns the scheduling policy of the settings.
	Policy func() dispatch.Policy
	// IgnoredImagePairs returns the pairs of images that the settings exclude from being kept
	// apart; nil if there are none.
	IgnoredImagePairs func() [][2]string
	// ThinLink is set if this host's link would be filled by the calls of a coordinator
	// at its usual pace.
	ThinLink bool

	hintKinds   []hintKind
	queries     chan query
	currentTerm *atomic.Pointer[termLoop]
}

// Observer receives the values for metrics. Its methods must not block.
type Observer interface {
	CountEvent(name string)
	ObserveCommit(rows int, took time.Duration)
	// SetGauges sets the current state; zero when this host is no longer the leader.
	SetGauges(dispatch.Stats, dispatch.Waiting, dispatch.OutOfReach)
	// ObserveLoopTime adds the time that a phase of the event loop took since the
	// previous call.
	ObserveLoopTime(phase string, took time.Duration)
	// CountAdvice adds the statistics of calls for advice since the previous call.
	CountAdvice(dispatch.AdviceStats)
	// CountHints counts a row of hints. Unlike the other methods it is also called outside
	// the event loop.
	CountHints(kind, outcome string)
}

// Adviser is a host through which the advice service can be called.
type Adviser struct {
	Name string
	workload.Adviser
}

// New returns a coordinator that is not the leader yet.
func New(c Coordinator) *Coordinator {
	if c.Policy == nil {
		c.Policy = func() dispatch.Policy { return dispatch.Policy{} }
	}
	c.hintKinds = hintKinds
	c.queries = make(chan query)
	c.currentTerm = new(atomic.Pointer[termLoop])
	return &c
}

// query is a function to run in the event loop, which owns the core.
type query struct {
	run  func(*termLoop)
	done chan struct{}
}

// errNotReady: this host is not the leader, or has not loaded the jobs yet.
var errNotReady = errors.New("this host has no jobs loaded")

// do runs f in the event loop, which owns the core. It returns errNotReady if this host
// is not the leader. After an error f may still run, so its results must not be read.
func (c *Coordinator) do(ctx context.Context, f func(*termLoop)) error {
	if t := c.currentTerm.Load(); t == nil || !t.loaded.Load() {
		return errNotReady
	}
	q := query{f, make(chan struct{})}
	select {
	case c.queries <- q:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// JobState returns the state of a job if the core knows it. For a job that is about to
// end it waits for the final state, at most for the given duration.
func (c *Coordinator) JobState(ctx context.Context, id string, wait time.Duration) (workload.State, bool, error) {
	var state workload.State
	var found bool
	var ended <-chan workload.State
	err := c.do(ctx, func(t *termLoop) {
		state, found = t.core.JobState(id)
		if wait > 0 && t.core.AboutToEnd(id) {
			ended = t.endWaiters.add(id, time.Now().Add(wait))
		}
	})
	if err != nil {
		return "", false, err
	}
	if ended == nil {
		return state, found, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case state = <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	return state, found, nil
}

// Pending counts the jobs of a queue of which no task has started.
func (c *Coordinator) Pending(ctx context.Context, queue string) (int, error) {
	var n int
	if err := c.do(ctx, func(t *termLoop) { n = t.core.Pending(queue) }); err != nil {
		return 0, err
	}
	return n, nil
}

// Notify passes on a job that was just stored or cancelled. It does nothing if this
// host is not the leader or the event loop is behind: the loop follows the job table as
// well.
func (c *Coordinator) Notify(entry jobstore.Entry) {
	t := c.currentTerm.Load()
	if t == nil {
		return
	}
	select {
	case t.events <- jobEntries{entry}:
	default:
	}
}

// Status is the coordinator's state as reported to other hosts' probes.
type Status struct {
	Epoch     int64
	CommitAge time.Duration // since the last commit
}

// Status returns the status of the current term, false if this host is not the leader.
func (c *Coordinator) Status() (Status, bool) {
	t := c.currentTerm.Load()
	if t == nil {
		return Status{}, false
	}
	return Status{t.term.Epoch, time.Since(t.lastCommit())}, true
}

// Timing of the feeds that the event loop follows.
const (
	feedWaitTime       = 2 * time.Second
	jobsPollPause      = 250 * time.Millisecond // hosts that accept jobs notify the leader directly
	jobsRelistInterval = 20 * time.Second       // longest delay of a job whose notification was lost
	registryPollPause  = 250 * time.Millisecond
	eventBacklog       = 1024
)

// Lead dispatches jobs until the leadership is lost or ctx ends. If the leadership is
// not lost, it resigns.
func (c *Coordinator) Lead(ctx context.Context, term *Term) error {
	group, ctx := errgroup.WithContext(ctx)
	events := make(chan any, eventBacklog)
	t := newTermLoop(c, term, events)
	c.currentTerm.Store(t)
	defer c.currentTerm.Store(nil)
	defer c.Observer.SetGauges(dispatch.Stats{}, dispatch.Waiting{}, dispatch.OutOfReach{})
	t.readHints(ctx)
	jobsVersion, err := t.loadWhileRenewing(ctx)
	if err != nil {
		if !errors.Is(err, errLeadershipLost) {
			c.resign(term)
		}
		return fmt.Errorf("%w: %w", errNotLoaded, err)
	}
	term.Loaded()
	t.loaded.Store(true)
	t.commitDue = true // leases are based on commits after the load
	post := func(ctx context.Context, event any) error {
		t.post(ctx, event)
		return ctx.Err()
	}
	group.Go(func() error {
		return platform.Follow(ctx, platform.Feed[jobstore.Entry](c.Jobs.NewFeed()), jobsVersion, platform.Follower[jobstore.Entry]{
			Wait: feedWaitTime, MinInterval: jobsPollPause, RelistInterval: jobsRelistInterval,
			OnRead:   platform.NewReadStatus(c.Log, "jobs").Record,
			OnList:   func(ctx context.Context, all []jobstore.Entry) error { return post(ctx, jobEntries(all)) },
			OnChange: func(ctx context.Context, all []jobstore.Entry) error { return post(ctx, jobEntries(all)) },
		})
	})
	group.Go(func() error {
		return platform.Follow(ctx, c.Workers, 0, platform.Follower[workload.WorkerChange]{
			Wait: feedWaitTime, MinInterval: registryPollPause,
			OnRead:   platform.NewReadStatus(c.Log, "workers' registry").Record,
			OnList:   func(ctx context.Context, all []workload.WorkerChange) error { return post(ctx, registrySnapshot(all)) },
			OnChange: func(ctx context.Context, all []workload.WorkerChange) error { return post(ctx, registryChanges(all)) },
		})
	})
	group.Go(func() error { return t.commitLoop(ctx) })
	group.Go(func() error { return t.run(ctx) })
	err = group.Wait()
	t.links.closeAll()
	if !errors.Is(err, errLeadershipLost) {
		c.resign(term)
	}
	return err
}

// resignTimeout bounds the resignation at the end of the process.
const resignTimeout = 2 * time.Second

func (c *Coordinator) resign(term *Term) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := term.resign(ctx); err != nil {
		c.Log.Info("resignation as coordinator failed", "epoch", term.Epoch, "cause", err.Error())
	}
}

// errNotLoaded ends a term in which the stored jobs could not be read.
var errNotLoaded = errors.New("stored jobs cannot be loaded")

// Events of the event loop.
type (
	jobEntries       []jobstore.Entry
	registrySnapshot []workload.WorkerChange // the complete registry
	registryChanges  []workload.WorkerChange
	adviceResult     struct {
		call    dispatch.AdviceCall
		adviser string
		tickets []workload.Ticket
		err     error
	}
	commitDone struct {
		batches   []*dispatch.Batch
		placement jobstore.Placement
		index     *jobstore.ProgressIndex // set after a move to another partition
		// leaseBounds are the stored ones.
		leaseBounds leaseBounds
		took        time.Duration
	}
	// commitRefused reports a commit that the active partition refused.
	commitRefused struct{ request commitRequest }
	// commitRejected reports a commit that the store rejects, however often it is repeated.
	commitRejected struct {
		request commitRequest
		cause   error
	}
	wakeUp            struct{}
	tombstonesStored  map[string]jobstore.Tombstone // jobs whose rows were replaced by tombstones
	tombstonesRemoved []string                      // jobs whose tombstones were removed
)

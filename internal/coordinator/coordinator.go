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

// Coordinator dispatches the cell's jobs while its host holds the seat.
type Coordinator struct {
	Store     platform.Store
	Jobs      jobstore.Jobs
	Watch     *cellwatch.Watch
	Workers   platform.Feed[workload.WorkerChange]
	Commander workload.Commander
	// Advisers are the hosts through which the advice service can be asked.
	Advisers func() []Adviser
	Log      logr.Logger
	Observer Observer
	// Hosts operates the workers' hosts; nil where the platform has no such API.
	Hosts workload.HostOperator
	// OrderLease is how long after another holder's last order the first one of this
	// one may follow.
	OrderLease time.Duration
	// Retention is how long ended jobs are shown.
	Retention time.Duration
	// Undersized reports whether another live host is much better suited to
	// coordinate.
	Undersized func() bool

	queries chan query
	leading *atomic.Pointer[termLoop]
}

// Observer hears what the metrics count. Its methods must not block.
type Observer interface {
	CountEvent(name string)
	ObserveCommit(rows int, took time.Duration)
	// SetGauges tells how things stand; zero when this host coordinates no more.
	SetGauges(dispatch.Stats, dispatch.Waiting)
	// ObserveLoopTime tells what a phase of the loop has taken since it was last called.
	ObserveLoopTime(phase string, took time.Duration)
	// CountAdvice tells what calls for advice were made for since it was last called.
	CountAdvice(dispatch.AdviceStats)
}

// Adviser is a host through which the advice service can be asked.
type Adviser struct {
	Name string
	workload.Adviser
}

// New returns a coordinator that does not lead yet.
func New(c Coordinator) *Coordinator {
	c.queries = make(chan query)
	c.leading = new(atomic.Pointer[termLoop])
	return &c
}

// query is a question to the loop that owns the core.
type query struct {
	ask   func(*termLoop)
	asked chan struct{}
}

// errNotReady tells that this host does not coordinate, or has not loaded the jobs yet.
var errNotReady = errors.New("this host has no jobs loaded")

// do runs ask in the loop that owns the core. It returns errNotReady if there is none.
func (c *Coordinator) do(ctx context.Context, ask func(*termLoop)) error {
	if t := c.leading.Load(); t == nil || !t.loaded.Load() {
		return errNotReady
	}
	q := query{ask, make(chan struct{})}
	select {
	case c.queries <- q:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-q.asked:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// JobState returns the state of a job that is known here. If the job is about to end it
// waits for that, at most for so long.
func (c *Coordinator) JobState(ctx context.Context, id string, wait time.Duration) (state workload.State, found bool, err error) {
	var ended <-chan workload.State
	err = c.do(ctx, func(t *termLoop) {
		state, found = t.core.JobState(id)
		if wait > 0 && t.core.AboutToEnd(id) {
			ended = t.endings.await(id, time.Now().Add(wait))
		}
	})
	if err != nil || ended == nil {
		return state, found, err
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

// Pending counts the jobs of a queue of which nothing has started.
func (c *Coordinator) Pending(ctx context.Context, queue string) (n int, err error) {
	err = c.do(ctx, func(t *termLoop) { n = t.core.Pending(queue) })
	return n, err
}

// Notify tells of a job that was just stored, or cancelled. It does nothing if
// this host does not lead or its loop is behind: the store tells as well.
func (c *Coordinator) Notify(entry jobstore.Entry) {
	t := c.leading.Load()
	if t == nil {
		return
	}
	select {
	case t.events <- jobEntries{entry}:
	default:
	}
}

// Status is what the coordinator tells of itself.
type Status struct {
	Epoch     int64
	CommitAge time.Duration // since the last commit
}

// Status returns the present term's status, false if this host does not lead.
func (c *Coordinator) Status() (Status, bool) {
	t := c.leading.Load()
	if t == nil {
		return Status{}, false
	}
	return Status{t.term.Epoch, time.Since(t.lastCommit())}, true
}

// Following the store.
const (
	feedWait      = 2 * time.Second
	jobsPause     = 250 * time.Millisecond // accepting hosts tell of jobs at once
	jobsRelist    = 20 * time.Second       // a job that no message told of waits at most so long
	registryPause = 250 * time.Millisecond
	eventBacklog  = 1024
)

// Lead dispatches until the seat is lost or ctx ends; then it gives the seat up.
func (c *Coordinator) Lead(ctx context.Context, term *Term) error {
	group, ctx := errgroup.WithContext(ctx)
	events := make(chan any, eventBacklog)
	t := newTermLoop(c, term, events)
	c.leading.Store(t)
	defer c.leading.Store(nil)
	defer c.Observer.SetGauges(dispatch.Stats{}, dispatch.Waiting{})
	jobsVersion, err := t.loadUnderSeat(ctx)
	if err != nil {
		if !errors.Is(err, errDeposed) {
			c.resign(term)
		}
		return fmt.Errorf("%w: %w", errNotLoaded, err)
	}
	t.loaded.Store(true)
	post := func(ctx context.Context, event any) error {
		t.post(ctx, event)
		return ctx.Err()
	}
	group.Go(func() error {
		return platform.Follow(ctx, platform.Feed[jobstore.Entry](c.Jobs), jobsVersion, platform.Follower[jobstore.Entry]{
			Wait: feedWait, MinInterval: jobsPause, RelistInterval: jobsRelist,
			OnRead:   platform.NewReadStatus(c.Log, "jobs").Record,
			OnList:   func(ctx context.Context, all []jobstore.Entry) error { return post(ctx, jobEntries(all)) },
			OnChange: func(ctx context.Context, all []jobstore.Entry) error { return post(ctx, jobEntries(all)) },
		})
	})
	group.Go(func() error {
		return platform.Follow(ctx, c.Workers, 0, platform.Follower[workload.WorkerChange]{
			Wait: feedWait, MinInterval: registryPause,
			OnRead:   platform.NewReadStatus(c.Log, "workers' registry").Record,
			OnList:   func(ctx context.Context, all []workload.WorkerChange) error { return post(ctx, registry(all)) },
			OnChange: func(ctx context.Context, all []workload.WorkerChange) error { return post(ctx, registryChanges(all)) },
		})
	})
	group.Go(func() error { return t.commitLoop(ctx) })
	group.Go(func() error { return t.run(ctx) })
	err = group.Wait()
	t.links.closeAll()
	if !errors.Is(err, errDeposed) {
		c.resign(term)
	}
	return err
}

// resignTimeout bounds giving the seat up at the end of the process.
const resignTimeout = 2 * time.Second

func (c *Coordinator) resign(term *Term) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := term.resignTerm(ctx); err != nil {
		c.Log.Info("coordinator's seat not given up", "epoch", term.Epoch, "cause", err.Error())
	}
}

// errNotLoaded ends a term in which the stored jobs could not be read.
var errNotLoaded = errors.New("jobs cannot be loaded")

// Events of the loop.
type (
	jobEntries      []jobstore.Entry
	registry        []workload.WorkerChange // the whole registry
	registryChanges []workload.WorkerChange
	advised         struct {
		ask     dispatch.AdviceCall
		adviser string
		tickets []workload.Ticket
		err     error
	}
	committed struct {
		batches []*dispatch.Batch
		book    *jobstore.ProgressIndex // set after a move
		took    time.Duration
	}
	// partRefuses tells that a commit was given up.
	partRefuses struct{ request commitRequest }
	wake        struct{}
	marked      map[string]jobstore.Tombstone // jobs whose rows are marks now
	removed     []string                      // jobs whose marks are gone
)

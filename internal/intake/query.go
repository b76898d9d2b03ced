package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/workload"
)

// Limits of queries while the coordinator is unreachable. Load pattern: hundreds of
// queries a second at a host with a link of 2 to 10 Mbit/s. The cost of a query must
// not grow with the number of jobs; otherwise queries delay the reads that the host
// needs to find the coordinator.
const (
	// maxCachedStates bounds the cached job states, at some 100 bytes each.
	maxCachedStates = 8192
	// stateTTL is the maximum age of a cached state that is not final. It equals the
	// time within which an accepted job must become visible.
	stateTTL = 3 * time.Second
	// rowReadsPerSecond and rowReadBurst bound the reads of job rows. At 2 kB each, these take
	// a third of a link of 2 Mbit/s, and a hundredth of the store's rate.
	rowReadsPerSecond = 40
	rowReadBurst      = 20
)

// stateCache holds the last known state of jobs.
type stateCache struct {
	states *lru.Cache[string, cachedState]
}

type cachedState struct {
	state     workload.State
	updatedAt time.Time
}

func newStateCache() *stateCache {
	states, err := lru.New[string, cachedState](maxCachedStates)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
	return &stateCache{states}
}

func (c *stateCache) put(id string, state workload.State, now time.Time) {
	c.states.Add(id, cachedState{state, now})
}

func (c *stateCache) remove(id string) { c.states.Remove(id) }

// get returns a job's last known state, whether there is one, and whether it is
// fresh. A final state is always fresh, since it cannot change.
func (c *stateCache) get(id string, now time.Time) (state workload.State, known, fresh bool) {
	cached, known := c.states.Get(id)
	return cached.state, known, known && (cached.state.Final() || now.Sub(cached.updatedAt) <= stateTTL)
}

// errReadLimitExceeded is returned when the rate limit of job row reads is used up.
var errReadLimitExceeded = errors.New("this host reads too many jobs' rows already")

// rowReader reads job rows at a limited rate. Concurrent reads of one row share a
// single call.
type rowReader struct {
	jobs   jobstore.Jobs
	limit  *rate.Limiter
	flight singleflight.Group
}

func newRowReader(jobs jobstore.Jobs) *rowReader {
	return &rowReader{jobs: jobs, limit: rate.NewLimiter(rowReadsPerSecond, rowReadBurst)}
}

// rowRead is the result of a read of a job's row.
type rowRead struct {
	state jobstore.StoredState
	began time.Time
}

// find returns a job's stored state. It may be as old as a shared read, but that a job does not
// exist is true at some time after the call.
func (r *rowReader) find(ctx context.Context, id string) (jobstore.StoredState, error) {
	called := time.Now()
	read, err := r.read(ctx, id)
	if err == nil && !read.state.Exists && read.began.Before(called) {
		read, err = r.read(ctx, id)
	}
	return read.state, err
}

// read reads a job's row, or shares a read that has begun.
func (r *rowReader) read(ctx context.Context, id string) (rowRead, error) {
	read, err, _ := r.flight.Do(id, func() (any, error) {
		began := time.Now()
		if !r.limit.Allow() {
			return rowRead{}, errReadLimitExceeded
		}
		state, err := r.jobs.Find(context.WithoutCancel(ctx), id) // other callers may share this read
		return rowRead{state, began}, err
	})
	return read.(rowRead), err
}

// maxQueryWait is how long a query waits for the end of a job that is about to end: each
// of its tasks is done or may be running, or its final state is not stored yet.
// Load pattern: callers that query when they expect the job's end, milliseconds before
// the end is stored, and that query again only after a pause.
const maxQueryWait = 300 * time.Millisecond

// queryJob returns a job's state from the first of these sources that has it: the
// coordinator, which waits up to maxWait for the end of a job that is about to end;
// this host's cache; the job's row in the store.
func (s *Server) queryJob(ctx context.Context, id string, maxWait time.Duration) Reply {
	if end, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(end)/4) // leaves time for the other sources
	}
	callCtx, cancel := context.WithTimeout(ctx, dispatcherTimeout+maxWait)
	state, found, err := s.Dispatcher.JobState(callCtx, id, maxWait)
	cancel()
	if err == nil && found {
		s.states.put(id, state, time.Now())
		return Reply{Outcome: Shown, State: state}
	}
	last, known, fresh := s.states.get(id, time.Now())
	if fresh {
		return Reply{Outcome: Shown, State: last}
	}
	stored, err := s.rows.find(ctx, id)
	switch {
	case err != nil && known:
		return Reply{Outcome: Shown, State: last}
	case err != nil:
		return Reply{Outcome: NotRun, RetryAfter: retryStore, Reason: fmt.Sprintf("job cannot be looked up: %v", err)}
	case !stored.Exists:
		s.states.remove(id)
		return Reply{Outcome: NoJob, Reason: "no such job"}
	case known && stored.State == workload.Queued:
		stored.State = last // the row shows Queued also while the job's tasks run
	}
	s.states.put(id, stored.State, time.Now())
	return Reply{Outcome: Shown, State: stored.State}
}

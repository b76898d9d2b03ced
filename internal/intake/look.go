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

// Looks while the coordinator cannot be asked. Load pattern: hundreds of looks a second
// at a host with a link of 2 to 10 Mbit/s. What a look costs then must not grow with
// the number of jobs, or the looks delay what the host needs to find the coordinator.
const (
	// toldMost bounds the jobs whose state a host remembers, some 100 bytes each.
	toldMost = 8192
	// toldFresh is how old a state may be that may have changed since. It is as long as
	// an accepted job may take to become visible.
	toldFresh = 3 * time.Second
	// readsPerSecond and readsBurst bound the reads of jobs' rows. At 2 kB each they take
	// a third of a link of 2 Mbit/s, and a hundredth of the store's rate.
	readsPerSecond = 40
	readsBurst     = 20
)

// memory holds what a host was told of jobs last.
type memory struct{ states *lru.Cache[string, toldState] }

type toldState struct {
	state workload.State
	at    time.Time
}

func newMemory() *memory {
	states, err := lru.New[string, toldState](toldMost)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &memory{states}
}

func (m *memory) note(id string, state workload.State, now time.Time) {
	m.states.Add(id, toldState{state, now})
}

func (m *memory) forget(id string) { m.states.Remove(id) }

// stateOf returns the state told last, whether there is one, and whether it is still
// good: a final state does not change.
func (m *memory) stateOf(id string, now time.Time) (state workload.State, known, fresh bool) {
	t, known := m.states.Get(id)
	return t.state, known, known && (t.state.Final() || now.Sub(t.at) <= toldFresh)
}

// errReadsSpent tells that the host has read as many jobs' rows as it may.
var errReadsSpent = errors.New("this host reads too many jobs' rows already")

// lookReads reads jobs' rows, each once at a time.
type lookReads struct {
	jobs   jobstore.Jobs
	limit  *rate.Limiter
	flight singleflight.Group
}

func newLookReads(jobs jobstore.Jobs) *lookReads {
	return &lookReads{jobs: jobs, limit: rate.NewLimiter(readsPerSecond, readsBurst)}
}

func (r *lookReads) find(ctx context.Context, id string) (jobstore.StoredState, error) {
	found, err, _ := r.flight.Do(id, func() (any, error) {
		if !r.limit.Allow() {
			return jobstore.StoredState{}, errReadsSpent
		}
		return r.jobs.Find(context.WithoutCancel(ctx), id) // others may wait for it, too
	})
	return found.(jobstore.StoredState), err
}

// lookPatience is how long a caller's look at a job of which all tasks run waits for the job's end.
// Load pattern: callers that look when they expect the end, milliseconds before it is
// stored, and come back only after a pause.
const lookPatience = 300 * time.Millisecond

// look tells a job's state: as the coordinator knows it, which may wait for so long until
// the job has ended; else as this host was told last; else as the job's own row has it.
func (d *Server) look(ctx context.Context, id string, patience time.Duration) Reply {
	if end, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Until(end)/4) // there may be more to do
	}
	ask, cancel := context.WithTimeout(ctx, dispatcherTimeout+patience)
	state, found, err := d.Dispatcher.JobState(ask, id, patience)
	cancel()
	if err == nil && found {
		d.told.note(id, state, time.Now())
		return Reply{Outcome: Shown, State: state}
	}
	last, known, fresh := d.told.stateOf(id, time.Now())
	if fresh {
		return Reply{Outcome: Shown, State: last}
	}
	stored, err := d.reads.find(ctx, id)
	switch {
	case err != nil && known:
		return Reply{Outcome: Shown, State: last}
	case err != nil:
		return Reply{Outcome: NotRun, RetryAfter: retryStore, Reason: fmt.Sprintf("job cannot be looked up: %v", err)}
	case !stored.Exists:
		d.told.forget(id)
		return Reply{Outcome: NoJob, Reason: "no such job"}
	case known && stored.State == workload.Queued:
		stored.State = last // what was told last is not older than the row
	}
	d.told.note(id, stored.State, time.Now())
	return Reply{Outcome: Shown, State: stored.State}
}

package coordinator

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/cellwatch"
	"cuminloft/internal/dispatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// listFeed is a feed that never changes.
type listFeed[T any] struct{ all []T }

func (f listFeed[T]) List(context.Context) ([]T, int64, error) { return f.all, 1, nil }
func (f listFeed[T]) Next(ctx context.Context, after int64, wait time.Duration) ([]T, int64, error) {
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

// quickWorker runs every task for quickRun and ends it with success.
type quickWorker struct {
	fakeWorker
	mu   sync.Mutex
	runs map[workload.Run]time.Time
	ends []workload.RunEnd
	seq  int64
}

const quickRun = 100 * time.Millisecond

func (q *quickWorker) Start(_ context.Context, _ *workload.Worker, o workload.StartOrder) (int64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs[o.Run] = time.Now()
	return q.clock(), nil
}

func (q *quickWorker) Heartbeat(_ context.Context, _ *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	time.Sleep(min(o.Wait, quickRun/2))
	q.mu.Lock()
	defer q.mu.Unlock()
	inv := workload.Inventory{ClockMS: q.clock(), Incarnation: 1}
	for run, began := range q.runs {
		if time.Since(began) < quickRun {
			inv.Running = append(inv.Running, workload.RunStatus{Run: run})
			continue
		}
		delete(q.runs, run)
		q.seq++
		q.ends = append(q.ends, workload.RunEnd{Seq: q.seq, Run: run, Outcome: workload.RunDone})
	}
	for _, e := range q.ends {
		if e.Seq > o.AckSeq {
			inv.Ended = append(inv.Ended, e)
		}
	}
	return inv, nil
}

type nopObserver struct{}

func (nopObserver) CountEvent(string)                                               {}
func (nopObserver) ObserveCommit(int, time.Duration)                                {}
func (nopObserver) SetGauges(dispatch.Stats, dispatch.Waiting, dispatch.OutOfReach) {}
func (nopObserver) ObserveLoopTime(string, time.Duration)                           {}
func (nopObserver) CountAdvice(dispatch.AdviceStats)                                {}
func (nopObserver) CountHints(string, string)                                       {}

// lead runs a coordinator on the store until the returned function is called.
func lead(t *testing.T, store *rows.Store, retention time.Duration) (*Coordinator, context.CancelFunc) {
	t.Helper()
	health := platform.NewHealth(store)
	cell := workload.NewCell(1, []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, []workload.Team{{Name: "team"}}, nil)
	watch := cellwatch.New(listFeed[workload.OperatorChange]{[]workload.OperatorChange{{Cell: cell}}}, health.RecentlyServed, logr.Discard())
	worker := &workload.Worker{ID: "w", Incarnation: 1, Address: "w:1", Pool: "p", Capacity: model.Resources{MilliCores: 8000}}
	c := New(Coordinator{
		Store: health, Jobs: jobstore.Jobs{Store: health}, Watch: watch,
		Workers:   listFeed[workload.WorkerChange]{[]workload.WorkerChange{{ID: "w", Worker: worker}}},
		Commander: &quickWorker{fakeWorker: fakeWorker{began: time.Now()}, runs: map[workload.Run]time.Time{}},
		Advisers:  func() []Adviser { return nil }, Log: logr.Discard(), Observer: nopObserver{},
		Retention: retention, LargerHostUp: func() bool { return false },
	})
	e := &Elector{Store: health, Host: "host", Address: "host:1", Log: logr.Discard(), Rank: func() int { return 0 }, Undersized: func() bool { return false }, Lead: c.Lead,
		Probe: func(context.Context, string) (int64, time.Duration, error) { return 0, 0, errLeadershipLost }}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = watch.Run(ctx) })
	running.Go(func() { _ = e.Run(ctx) })
	return c, func() { cancel(); running.Wait() }
}

// The row of a job that has ended is replaced by a tombstone, which still answers a
// repeated submission and the callers' queries, and is removed after the retention.
func TestEndedJobsLeaveTombstones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		retention := 30 * time.Second
		c, end := lead(t, store, retention)
		defer end()
		job := &workload.Job{ID: "00112233445566aa", Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
			Steps: []workload.Step{{Tasks: 3, Resources: model.Resources{MilliCores: 1000}}}}
		is.NoErr(c.Jobs.Insert(t.Context(), job))
		time.Sleep(2 * time.Second)
		state, known, err := c.JobState(t.Context(), job.ID, 0)
		is.NoErr(err)
		is.True(known && state == workload.Completed)
		is.True(dispatch.ProgressIsFinal([]byte(progressValue(t, store, job.ID)))) // a successor finds the end as well
		found, err := c.Jobs.Find(t.Context(), job.ID)
		is.NoErr(err)
		is.True(found.Exists)

		time.Sleep(2 * sweepInterval)
		entries, _, err := c.Jobs.List(t.Context())
		is.NoErr(err)
		is.Equal(len(entries), 1)
		is.Equal(entries[0].State, workload.Completed) // a tombstone
		is.Equal(progressValue(t, store, job.ID), "")
		is.NoErr(c.Jobs.Insert(t.Context(), job)) // a repeated submission changes nothing
		found, err = c.Jobs.Find(t.Context(), job.ID)
		is.NoErr(err)
		is.Equal(found.State, workload.Completed)
		state, known, err = c.JobState(t.Context(), job.ID, 0)
		is.NoErr(err)
		is.True(known && state == workload.Completed)

		time.Sleep(retention + 2*sweepInterval)
		entries, _, err = c.Jobs.List(t.Context())
		is.NoErr(err)
		is.Equal(len(entries), 0)
	})
}

// The coordinator continues after a store outage, and a successor finds the tombstones.
func TestCoordinatorSurvivesAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		c, end := lead(t, store, time.Minute)
		insert := func(id string) {
			is.NoErr(c.Jobs.Insert(t.Context(), &workload.Job{ID: id, Queue: "q", Team: "team",
				AcceptedAt: time.Now().UnixMilli(), Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1000}}}}))
		}
		insert("00000000000000a1")
		time.Sleep(2 * sweepInterval)
		store.SetDown(true)
		time.Sleep(5 * time.Second)
		store.SetDown(false)
		insert("00000000000000a2")
		time.Sleep(3 * time.Second)
		end()
		next, end := lead(t, store, time.Minute)
		defer end()
		time.Sleep(time.Second)
		for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
			state, known, err := next.JobState(t.Context(), id, 0)
			is.NoErr(err)
			is.True(known && state == workload.Completed)
		}
	})
}

// unreadableStore accepts commits but refuses reads.
type unreadableStore struct{ *rows.Store }

func (unreadableStore) Scan(context.Context, string, string, string, string) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

// A leader that cannot read the jobs resigns after loadTimeout, and renews its
// leadership until then.
func TestLeaderThatCannotReadResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		c, record := becomeLeader(t, store, "a")
		c.store = unreadableStore{store}
		cell := workload.NewCell(1, []workload.Queue{{Name: "q", Pool: "p"}}, nil, nil)
		health := platform.NewHealth(c.store)
		watch := cellwatch.New(listFeed[workload.OperatorChange]{[]workload.OperatorChange{{Cell: cell}}}, health.RecentlyServed, logr.Discard())
		coordinator := New(Coordinator{
			Store: health, Jobs: jobstore.Jobs{Store: health}, Watch: watch, Log: logr.Discard(), Observer: nopObserver{},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = watch.Run(ctx) })
		time.Sleep(time.Second)
		began := time.Now()
		err := coordinator.Lead(ctx, &Term{Epoch: record.Epoch, Since: began, record: record, chain: c})
		is.True(errors.Is(err, errNotLoaded))
		is.True(time.Since(began) <= loadTimeout+time.Second)
		current, err := readLeaderRows(t.Context(), store)
		is.NoErr(err)
		is.True(current.active().Seq >= int64(loadTimeout/renewInterval)/2) // renewed meanwhile
		is.Equal(current.active().Leader, "")                               // and resigned
		cancel()
		running.Wait()
	})
}

package intake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// linkedStore is a store behind a link of limited bandwidth, which carries one response
// after the other.
type linkedStore struct {
	*rows.Store
	bytesPerSecond float64

	mu     sync.Mutex
	idleAt time.Time // when the link has carried all queued responses
	bytes  int
}

// rowOverhead is the approximate size in bytes of a row's names, and of a response's
// header, on the wire.
const rowOverhead = 150

// Scan implements platform.Store.
func (s *linkedStore) Scan(ctx context.Context, table, partition, from, to string) (platform.Page, error) {
	page, err := s.Store.Scan(ctx, table, partition, from, to)
	size := rowOverhead
	for _, r := range page.Rows {
		size += rowOverhead + len(r.Value)*4/3
	}
	s.mu.Lock()
	s.bytes += size
	if now := time.Now(); s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(time.Duration(float64(size) / s.bytesPerSecond * float64(time.Second)))
	wait := time.Until(s.idleAt)
	s.mu.Unlock()
	select {
	case <-time.After(wait):
		return page, err
	case <-ctx.Done():
		return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
}

func (s *linkedStore) bytesSent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// flakyCoordinator is a coordinator that can be made unavailable.
type flakyCoordinator struct {
	unavailable atomic.Bool
	lastWait    atomic.Int64 // wait limit of the latest JobState call, in nanoseconds
}

func (a *flakyCoordinator) JobState(ctx context.Context, _ string, wait time.Duration) (workload.State, bool, error) {
	a.lastWait.Store(int64(wait))
	if a.unavailable.Load() {
		<-ctx.Done()
		return "", false, ctx.Err()
	}
	return workload.Running, true, nil
}
func (a *flakyCoordinator) Notify(jobstore.Entry)                        {}
func (a *flakyCoordinator) Pending(context.Context, string) (int, error) { return 0, nil }

// storeJobs stores n jobs, and bundles their progress in shared rows.
func storeJobs(t *testing.T, store *rows.Store, n int) {
	var progress []workload.JobProgress
	jobs := jobstore.Jobs{Store: platform.NewHealth(store)}
	for i := range n {
		job := &workload.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", Team: "team", Spec: strings.Repeat("s", 600),
			Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1}}}}
		if err := jobs.Insert(t.Context(), job); err != nil {
			t.Fatal(err)
		}
		progress = append(progress, workload.JobProgress{Job: job.ID, Data: []byte(`{"state":"running","steps":"` + strings.Repeat("t", 250) + `"}`)})
	}
	if _, err := store.Commit(t.Context(), platform.Tx{Puts: jobstore.NewProgressIndex().Put(progress)}); err != nil {
		t.Fatal(err)
	}
}

// Load pattern: the coordinator is unreachable for a second under 150 queries a second
// at a host with a link of 10 or 2 Mbit/s. Each query reads at most 2 kB, no store call
// waits much longer than usual, and queries succeed again once the coordinator is back.
// Guards against queries that read the bundled progress of all jobs and fill the link.
func TestQueriesWhileTheCoordinatorIsUnavailable(t *testing.T) {
	const perSecond, jobs, maxBytes = 150, 1000, 2 << 10
	for _, megabits := range []float64{10, 2} {
		t.Run(fmt.Sprint(megabits, " Mbit/s"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := rows.New()
				storeJobs(t, store, jobs)
				link := &linkedStore{Store: store, bytesPerSecond: megabits * 1e6 / 8}
				h := newHost(t, link)
				coordinator := &flakyCoordinator{}
				h.Dispatcher = coordinator
				coordinator.unavailable.Store(true)
				var queries sync.WaitGroup
				var shown, refused atomic.Int64
				for n := range perSecond {
					queries.Go(func() {
						reply := h.Handle(t.Context(), requestForJob(Query, n))
						switch {
						case reply.Outcome == Shown && !reply.State.Final():
							shown.Add(1)
						case reply.Outcome == NotRun && reply.RetryAfter > 0:
							refused.Add(1)
						default:
							t.Errorf("unexpected reply to a query: %+v", reply)
						}
					})
					time.Sleep(time.Second / perSecond)
				}
				coordinator.unavailable.Store(false)
				time.Sleep(2 * time.Second)
				is.True(link.bytesSent() <= perSecond*maxBytes)
				is.True(!h.StoreSuspect(time.Now()))
				began := time.Now()
				is.Equal(h.Handle(t.Context(), requestForJob(Query, 7)).State, workload.Running)
				_, err := h.Jobs.Store.Scan(t.Context(), jobstore.JobTable, jobstore.PartitionOf(testID), "", "")
				is.NoErr(err)
				is.True(time.Since(began) < 100*time.Millisecond)
				queries.Wait()
				t.Logf("%d queries answered, %d refused, %d bytes read", shown.Load(), refused.Load(), link.bytesSent())
			})
		})
	}
}

// A host answers queries from its cache of job states, and reads a job's row only if the
// cache has no state of the job or only an old one.
func TestQueryFromCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		storeJobs(t, store, 2)
		h := newHost(t, store)
		h.dispatcher.state, h.dispatcher.err = workload.Running, nil
		is.Equal(h.Handle(t.Context(), requestForJob(Query, 0)).State, workload.Running)
		h.dispatcher.state, h.dispatcher.err = "", errors.New("coordinator is gone")
		is.Equal(h.Handle(t.Context(), requestForJob(Query, 0)).State, workload.Running)
		is.Equal(h.Handle(t.Context(), requestForJob(Query, 1)).State, workload.Queued) // from the job's row
		// The job ends, and a tombstone takes the place of its row.
		id := fmt.Sprintf("%016x", 0)
		ended := map[string]jobstore.Tombstone{id: {State: workload.Completed, At: 1}}
		is.NoErr(h.Jobs.WriteTombstones(t.Context(), jobstore.PartitionOf(id), ended))
		time.Sleep(2 * stateTTL)
		is.Equal(h.Handle(t.Context(), requestForJob(Query, 0)).State, workload.Completed)
		// A final state stays valid while the store is unavailable as well.
		store.SetDown(true)
		time.Sleep(2 * stateTTL)
		is.Equal(h.Handle(t.Context(), requestForJob(Query, 0)).State, workload.Completed)
		is.Equal(h.Handle(t.Context(), requestForJob(Query, 1)).State, workload.Queued)
	})
}

// A query may wait for the end of its job; a cancellation is carried out at once.
func TestOnlyQueriesWait(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	storeJobs(t, store, 1)
	h := newHost(t, store)
	coordinator := &flakyCoordinator{}
	h.Dispatcher = coordinator
	is.Equal(h.Handle(t.Context(), requestForJob(Query, 0)).State, workload.Running)
	is.Equal(time.Duration(coordinator.lastWait.Load()), maxQueryWait)
	is.Equal(h.Handle(t.Context(), requestForJob(Cancel, 0)).Outcome, Accepted)
	is.Equal(coordinator.lastWait.Load(), int64(0))
}

// heldStore holds back the answers of reads.
type heldStore struct {
	*rows.Store
	read    chan struct{} // receives a value when a read has been carried out
	release chan struct{}
}

func (s *heldStore) Scan(ctx context.Context, table, partition, from, to string) (platform.Page, error) {
	page, err := s.Store.Scan(ctx, table, partition, from, to)
	s.read <- struct{}{}
	<-s.release
	return page, err
}

// Guards against the denial of a job that was accepted before the request: the request shared the
// read of a row that had begun before. A cancellation was lost in this way.
func TestReadThatBeganEarlierDoesNotDenyAJob(t *testing.T) {
	for op, want := range map[Operation]Outcome{Query: Shown, Cancel: Accepted} {
		t.Run(string(op), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := rows.New()
				held := &heldStore{store, make(chan struct{}, 8), make(chan struct{})}
				h, other := newHost(t, held), newHost(t, store)
				first := make(chan Reply, 1)
				go func() { first <- h.Handle(t.Context(), request(Query)) }()
				<-held.read
				time.Sleep(time.Millisecond)
				is.Equal(other.Handle(t.Context(), request(Submit)).Outcome, Accepted)
				second := make(chan Reply, 1)
				go func() { second <- h.Handle(t.Context(), request(op)) }()
				synctest.Wait()
				close(held.release)
				is.Equal((<-first).Outcome, NoJob)
				is.Equal((<-second).Outcome, want)
			})
		})
	}
}

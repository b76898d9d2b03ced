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

// linkedStore is a store behind a link that carries so many bytes a second, one answer
// after the other.
type linkedStore struct {
	*rows.Store
	rate float64

	mu    sync.Mutex
	free  time.Time // when the link has carried what waits
	bytes int
}

// rowOverhead is about what a row's names and an answer's header take on the wire.
const rowOverhead = 150

// Scan implements platform.Store.
func (s *linkedStore) Scan(ctx context.Context, table, part, from, to string) (platform.Page, error) {
	page, err := s.Store.Scan(ctx, table, part, from, to)
	size := rowOverhead
	for _, r := range page.Rows {
		size += rowOverhead + len(r.Value)*4/3
	}
	s.mu.Lock()
	s.bytes += size
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(size) / s.rate * float64(time.Second)))
	wait := time.Until(s.free)
	s.mu.Unlock()
	select {
	case <-time.After(wait):
		return page, err
	case <-ctx.Done():
		return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
}

func (s *linkedStore) carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// absent is a coordinator that can be asked now and then.
type absent struct {
	away   atomic.Bool
	waited atomic.Int64 // nanoseconds that the latest question might wait
}

func (a *absent) JobState(ctx context.Context, _ string, wait time.Duration) (workload.State, bool, error) {
	a.waited.Store(int64(wait))
	if a.away.Load() {
		<-ctx.Done()
		return "", false, ctx.Err()
	}
	return workload.Running, true, nil
}
func (a *absent) Notify(jobstore.Entry)                        {}
func (a *absent) Pending(context.Context, string) (int, error) { return 0, nil }

// storeJobs stores jobs and the progress of all in common rows.
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

// Load pattern: the coordinator cannot be asked for a second under 150 looks a second at
// a host with a link of 10 or 2 Mbit/s. Each look costs at most 2 kB, none waits for
// the store much longer than usual, and all is as before when the coordinator is back.
func TestLooksWhileTheCoordinatorIsAway(t *testing.T) {
	const perSecond, jobs, mostBytes = 150, 1000, 2 << 10
	for _, megabits := range []float64{10, 2} {
		t.Run(fmt.Sprint(megabits, " Mbit/s"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := rows.New()
				storeJobs(t, store, jobs)
				link := &linkedStore{Store: store, rate: megabits * 1e6 / 8}
				h := newHost(t, link)
				coordinator := &absent{}
				h.Dispatcher = coordinator
				coordinator.away.Store(true)
				var looks sync.WaitGroup
				var shown, refused atomic.Int64
				for n := range perSecond {
					looks.Go(func() {
						reply := h.Handle(t.Context(), named(Query, n))
						switch {
						case reply.Outcome == Shown && !reply.State.Final():
							shown.Add(1)
						case reply.Outcome == NotRun && reply.RetryAfter > 0:
							refused.Add(1)
						default:
							t.Errorf("look answered %+v", reply)
						}
					})
					time.Sleep(time.Second / perSecond)
				}
				coordinator.away.Store(false)
				time.Sleep(2 * time.Second)
				is.True(link.carried() <= perSecond*mostBytes)
				is.True(!h.StoreSuspect(time.Now()))
				began := time.Now()
				is.Equal(h.Handle(t.Context(), named(Query, 7)).State, workload.Running)
				_, err := h.Jobs.Store.Scan(t.Context(), jobstore.JobTable, jobstore.PartitionOf(testID), "", "")
				is.NoErr(err)
				is.True(time.Since(began) < 100*time.Millisecond)
				looks.Wait()
				t.Logf("%d looks answered, %d refused, %d bytes read", shown.Load(), refused.Load(), link.carried())
			})
		})
	}
}

// A host answers from what it was told of a job lately, and reads a job's own row only
// when it was not, or long ago.
func TestLookFromMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		storeJobs(t, store, 2)
		h := newHost(t, store)
		h.dispatcher.state, h.dispatcher.err = workload.Running, nil
		is.Equal(h.Handle(t.Context(), named(Query, 0)).State, workload.Running)
		h.dispatcher.state, h.dispatcher.err = "", errors.New("coordinator is gone")
		is.Equal(h.Handle(t.Context(), named(Query, 0)).State, workload.Running)
		is.Equal(h.Handle(t.Context(), named(Query, 1)).State, workload.Queued) // accepted, at least
		// The job ends, and its mark takes the place of its row.
		id := fmt.Sprintf("%016x", 0)
		ended := map[string]jobstore.Tombstone{id: {State: workload.Completed, At: 1}}
		is.NoErr(h.Jobs.WriteTombstones(t.Context(), jobstore.PartitionOf(id), ended))
		time.Sleep(2 * toldFresh)
		is.Equal(h.Handle(t.Context(), named(Query, 0)).State, workload.Completed)
		// What has ended stays so, though the store cannot be asked either.
		store.SetDown(true)
		time.Sleep(2 * toldFresh)
		is.Equal(h.Handle(t.Context(), named(Query, 0)).State, workload.Completed)
		is.Equal(h.Handle(t.Context(), named(Query, 1)).State, workload.Queued)
	})
}

// A caller's look may wait for the end of its job; a cancellation is carried out at once.
func TestOnlyLooksWait(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	storeJobs(t, store, 1)
	h := newHost(t, store)
	coordinator := &absent{}
	h.Dispatcher = coordinator
	is.Equal(h.Handle(t.Context(), named(Query, 0)).State, workload.Running)
	is.Equal(time.Duration(coordinator.waited.Load()), lookPatience)
	is.Equal(h.Handle(t.Context(), named(Cancel, 0)).Outcome, Accepted)
	is.Equal(coordinator.waited.Load(), int64(0))
}

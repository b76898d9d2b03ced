package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// What a call of the store takes: usually, and at a store that is 94 times
// slower.
const (
	usualCall = 5 * time.Millisecond
	slowCall  = 94 * usualCall
)

// Load pattern: the store turns 94 times slower at once. Repeats of commits that
// are only slow wait in the seat's partition like any other transaction; the
// coordinator must not bury its own commits under them.
func TestCommitsGoOnWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := rows.NewSlowStore(rows.New(), usualCall)
		store := platform.NewHealth(slow)
		last, err := readSeat(t.Context(), store)
		is.NoErr(err)
		c := &chain{store: store, last: last}
		seat := LeaderRecord{Holder: "a", Epoch: 1}
		for range 20 {
			is.NoErr(c.commit(t.Context(), seat, nil))
		}
		slow.SetLatency(slowCall)
		before, _ := slow.Counts()
		began, commits := time.Now(), 0
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		for c.commit(ctx, seat, nil) == nil {
			commits++
		}
		after, refused := slow.Counts()
		t.Logf("%d commits of %d transactions in %v, %d refused", commits, after-before, time.Since(began), refused)
		is.True(commits >= 8)              // 10 fit into 5 s, one after the other
		is.True(after-before <= commits+2) // repeats stop once the slowness is known
	})
}

// Load pattern: a burst on a store that is 94 times slower. 40 hosts take 220
// jobs a second; each job is stored within a client's patience of 3 s.
func TestAcceptanceWhileTheStoreIsSlow(t *testing.T) {
	const hosts, perSecond = 40, 220
	synctest.Test(t, func(t *testing.T) {
		slow := rows.NewSlowStore(rows.New(), usualCall)
		var desks [hosts]jobstore.Jobs
		for i := range desks {
			desks[i] = jobstore.Jobs{Store: platform.NewHealth(slow), Log: logr.Discard()}
		}
		var waits sync.WaitGroup
		var mu sync.Mutex
		var failed int
		var worst time.Duration
		insert := func(i int, measured bool) {
			id := fmt.Sprintf("%016x", i*7919)
			began := time.Now()
			err := desks[i%hosts].Insert(context.Background(), testJob(id))
			mu.Lock()
			defer mu.Unlock()
			if measured && err != nil {
				failed++
			}
			if measured {
				worst = max(worst, time.Since(began))
			}
		}
		for i := range 6 * perSecond {
			if i == perSecond {
				slow.SetLatency(slowCall)
			}
			waits.Go(func() { insert(i, i >= perSecond) })
			time.Sleep(time.Second / perSecond)
		}
		waits.Wait()
		commits, refused := slow.Counts()
		t.Logf("%d not stored, worst %v, %d transactions, %d refused", failed, worst, commits, refused)
		if failed > 5*perSecond/50 {
			t.Errorf("%d of %d jobs were not stored", failed, 5*perSecond)
		}
	})
}

// A coordinator whose commits are only slow keeps its seat.
func TestSlowStoreDeposesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		e := newElection(commitPause)
		for rank := range 10 {
			e.add(ctx, rank, false, 0)
		}
		time.Sleep(5 * time.Second)
		e.store.SetLatency(slowCall)
		time.Sleep(10 * time.Second)
		cancel()
		e.wait.Wait()
		_, epoch := e.present()
		is.Equal(epoch, int64(1))
	})
}

func testJob(id string) *workload.Job {
	return &workload.Job{ID: id, Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
		Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1000}}}}
}

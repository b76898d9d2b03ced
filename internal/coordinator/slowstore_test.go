package coordinator

import (
	"context"
	"fmt"
	"sync"
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

// Duration of a call to the store: usually, and at a store that is 94 times slower.
const (
	usualCall = 5 * time.Millisecond
	slowCall  = 94 * usualCall
)

// Load pattern: the store suddenly becomes 94 times slower. Repeats of commits that are
// only slow queue in the active partition like any other transaction, so the
// coordinator must not delay its own commits by repeating them.
func TestCommitsGoOnWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := rows.NewSlowStore(rows.New(), usualCall)
		store := platform.NewHealth(slow)
		last, err := readLeaderRows(t.Context(), store)
		is.NoErr(err)
		c := &commitChain{store: store, last: last}
		record := LeaderRecord{Leader: "a", Epoch: 1}
		for range 20 {
			is.NoErr(c.commit(t.Context(), record, nil))
		}
		slow.SetLatency(slowCall)
		before, _ := slow.Counts()
		began, commits := time.Now(), 0
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		for c.commit(ctx, record, nil) == nil {
			commits++
		}
		after, refused := slow.Counts()
		t.Logf("%d commits of %d transactions in %v, %d refused", commits, after-before, time.Since(began), refused)
		is.True(commits >= 8)              // 10 fit into 5 s, one after the other
		is.True(after-before <= commits+2) // repeats stop once the latency is known
	})
}

// Load pattern: a burst on a store that is 94 times slower. 40 hosts accept 220 jobs a
// second. The target is that each job is stored within a client's timeout of 3 s; the
// check tolerates one failure in 50 jobs.
func TestAcceptanceWhileTheStoreIsSlow(t *testing.T) {
	const hosts, perSecond = 40, 220
	synctest.Test(t, func(t *testing.T) {
		slow := rows.NewSlowStore(rows.New(), usualCall)
		var stores [hosts]jobstore.Jobs
		for i := range stores {
			stores[i] = jobstore.Jobs{Store: platform.NewHealth(slow)}
		}
		var waits sync.WaitGroup
		var mu sync.Mutex
		var failed int
		var worst time.Duration
		insert := func(i int, measured bool) {
			id := fmt.Sprintf("%016x", i*7919)
			began := time.Now()
			err := stores[i%hosts].Insert(context.Background(), testJob(id))
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

// A leader whose commits are only slow keeps the leadership.
func TestSlowStoreCausesNoTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		e := newElection(commitInterval)
		for rank := range 10 {
			e.add(ctx, rank, false, 0)
		}
		time.Sleep(5 * time.Second)
		e.store.SetLatency(slowCall)
		time.Sleep(10 * time.Second)
		cancel()
		e.wait.Wait()
		_, epoch := e.current()
		is.Equal(epoch, int64(firstEpoch))
	})
}

func testJob(id string) *workload.Job {
	return &workload.Job{ID: id, Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
		Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1000}}}}
}

package platform_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
)

const (
	typicalLatency = 5 * time.Millisecond
	hedgeAfter     = 300 * time.Millisecond
)

var putRow = platform.Tx{Puts: []platform.PartitionRow{{Table: "t", Partition: "p", Key: "k"}}}

// firstUnansweredStore does not answer the first transaction.
type firstUnansweredStore struct {
	*rows.SlowStore
	commits atomic.Int64
}

func (s *firstUnansweredStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if s.commits.Add(1) > 1 {
		return s.SlowStore.Commit(ctx, tx)
	}
	<-ctx.Done()
	return 0, platform.ErrAmbiguous
}

// An answer counts as lost as soon as a later call has been answered, else after a
// second. Guards against an abandoned copy making the store suspect.
func TestCommitHedgedAfterALostAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		later bool
		limit time.Duration
	}{"a later call is answered": {true, 2 * hedgeAfter}, "no other call": {false, 1100 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &firstUnansweredStore{SlowStore: rows.NewSlowStore(rows.New(), typicalLatency)}
				h := platform.NewHealth(store)
				began := time.Now()
				if test.later {
					time.AfterFunc(50*time.Millisecond, func() { _, _ = h.Scan(context.Background(), "t", "p", "", "") })
				}
				_, err := platform.CommitHedged(t.Context(), h, putRow, hedgeAfter)
				is.NoErr(err)
				is.True(time.Since(began) <= test.limit)
				is.Equal(store.commits.Load(), int64(2))
				synctest.Wait()
				is.True(!h.Suspect(time.Now()))
			})
		})
	}
}

// A store that is merely slow gets one copy. Guards against load by copies of
// transactions that the store is about to apply anyway.
func TestCommitHedgedWithASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.NewSlowStore(rows.New(), 94*typicalLatency)
		_, err := platform.CommitHedged(t.Context(), platform.NewHealth(store), putRow, hedgeAfter)
		is.NoErr(err)
		commits, _ := store.Counts()
		is.Equal(commits, 1)
	})
}

// A refused transaction returns an error; with the store back, it is applied.
func TestCommitHedgedRefused(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	store.SetDown(true)
	_, err := platform.CommitHedged(t.Context(), store, putRow, hedgeAfter)
	is.True(err != nil)
	store.SetDown(false)
	_, err = platform.CommitHedged(t.Context(), store, putRow, hedgeAfter)
	is.NoErr(err)
}

// unresponsiveStore answers no call that begins before back.
type unresponsiveStore struct {
	*rows.SlowStore
	back time.Time
}

func (s *unresponsiveStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return 0, platform.ErrAmbiguous
	}
	return s.SlowStore.Commit(ctx, tx)
}

func (s *unresponsiveStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartitionRow, int64, error) {
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return nil, after, platform.ErrUnavailable
	}
	return s.SlowStore.Changes(ctx, table, after, wait)
}

// A transaction whose copies were sent to an unresponsive store is sent again as soon as the
// store has answered another call. Guards against a leader that loses its leadership
// because its transaction waits for copies that the store will never answer.
func TestCommitHedgedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const outage = 4200 * time.Millisecond
		store := &unresponsiveStore{rows.NewSlowStore(rows.New(), typicalLatency), time.Now().Add(outage)}
		h := platform.NewHealth(store)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				go func() {
					read, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
					defer cancel()
					_, _, _ = h.Changes(read, "t", 0, 0)
				}()
				time.Sleep(150 * time.Millisecond)
			}
		}()
		call, giveUp := context.WithTimeout(ctx, 10*time.Second)
		defer giveUp()
		_, err := platform.CommitHedged(call, h, putRow, hedgeAfter)
		is.NoErr(err)
		is.True(time.Since(store.back) <= 200*time.Millisecond) // before another host takes the leadership
		is.True(!h.Unreachable(time.Now()))
		cancel()
		time.Sleep(time.Second) // until the reader has ended
	})
}

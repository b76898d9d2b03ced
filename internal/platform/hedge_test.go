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
	usualCall   = 5 * time.Millisecond
	repeatAfter = 300 * time.Millisecond
)

var putRow = platform.Tx{Puts: []platform.PartRow{{Table: "t", Part: "p", Key: "k"}}}

// muteStore does not answer the first transaction that it takes.
type muteStore struct {
	*rows.Slow
	taken atomic.Int64
}

func (s *muteStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if s.taken.Add(1) > 1 {
		return s.Slow.Commit(ctx, tx)
	}
	<-ctx.Done()
	return 0, platform.ErrAmbiguous
}

// A lost answer is taken for lost as soon as a later call has been answered, else
// after a second; the copy that is given up does not make the store suspect.
func TestCommitTwiceAfterALostAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		later bool
		most  time.Duration
	}{"a later call is answered": {true, 2 * repeatAfter}, "no other call": {false, 1100 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &muteStore{Slow: rows.NewSlow(rows.New(), usualCall)}
				h := platform.NewHealth(store)
				began := time.Now()
				if test.later {
					time.AfterFunc(50*time.Millisecond, func() { _, _ = h.Scan(context.Background(), "t", "p", "", "") })
				}
				_, err := platform.CommitTwice(t.Context(), h, putRow, repeatAfter)
				is.NoErr(err)
				is.True(time.Since(began) <= test.most)
				is.Equal(store.taken.Load(), int64(2))
				synctest.Wait()
				is.True(!h.Suspect(time.Now()))
			})
		})
	}
}

// A store that is only slow gets one copy.
func TestCommitTwiceAtASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.NewSlow(rows.New(), 94*usualCall)
		_, err := platform.CommitTwice(t.Context(), platform.NewHealth(store), putRow, repeatAfter)
		is.NoErr(err)
		commits, _ := store.Counts()
		is.Equal(commits, 1)
	})
}

// A refusal of one copy leaves the outcome to the other.
func TestCommitTwiceRefused(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	store.SetDown(true)
	_, err := platform.CommitTwice(t.Context(), store, putRow, repeatAfter)
	is.True(err != nil)
	store.SetDown(false)
	_, err = platform.CommitTwice(t.Context(), store, putRow, repeatAfter)
	is.NoErr(err)
}

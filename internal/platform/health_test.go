package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
)

// repeatCalls calls f ten times a second for the given time, with the call's number.
func repeatCalls(span time.Duration, f func(n int)) {
	began := time.Now()
	for n := 0; time.Since(began) < span; n++ {
		f(n)
		time.Sleep(100 * time.Millisecond)
	}
}

// A store with one refusing partition is not suspected by a host whose calls to another
// partition are served from time to time. A store that refuses all calls is suspected.
// Guards against hosts that refuse all jobs because one partition is down.
func TestHealthOfARefusingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		h := platform.NewHealth(store)
		store.SetPartitionDown("a", true)
		repeatCalls(5*time.Second, func(n int) {
			partition := "a"
			if n%9 == 0 { // as rarely as a feed without changes returns
				partition = "b"
			}
			_, err := h.Scan(t.Context(), "t", partition, "", "")
			is.Equal(errors.Is(err, platform.ErrRefused), partition == "a")
			is.True(!h.Suspect(time.Now()))
			is.True(h.RecentlyServed(time.Now()))
		})
		store.SetDown(true)
		repeatCalls(1500*time.Millisecond, func(int) { _, _ = h.Scan(t.Context(), "t", "b", "", "") })
		is.True(h.Suspect(time.Now()) && h.Unreachable(time.Now()))
		is.True(!h.RecentlyServed(time.Now()))
		store.SetDown(false)
		_, _ = h.Scan(t.Context(), "t", "b", "", "")
		is.True(!h.Suspect(time.Now()) && h.RecentlyServed(time.Now()))
	})
}

// unreachableStore accepts no connections.
type unreachableStore struct{ *rows.Store }

func (unreachableStore) Commit(context.Context, platform.Tx) (int64, error) {
	return 0, platform.ErrUnavailable
}

// A call that could not be sent counts as unanswered.
func TestHealthOfAnUnreachableStore(t *testing.T) {
	is := is.New(t)
	h := platform.NewHealth(unreachableStore{rows.New()})
	_, _ = h.Commit(t.Context(), putRow)
	is.True(h.Suspect(time.Now()))
}

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

// play makes calls at a store for a time: f is called with the number of each, ten a
// second, and makes it.
func play(span time.Duration, f func(n int)) {
	began := time.Now()
	for n := 0; time.Since(began) < span; n++ {
		f(n)
		time.Sleep(100 * time.Millisecond)
	}
}

// A store of which one partition refuses is not suspected by hosts that are served
// elsewhere now and then; one that refuses all calls is soon.
func TestHealthOfAStoreThatRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		h := platform.NewHealth(store)
		store.SetPartitionDown("a", true)
		play(5*time.Second, func(n int) {
			part := "a"
			if n%9 == 0 { // as seldom as a feed that has nothing to tell
				part = "b"
			}
			_, err := h.Scan(t.Context(), "t", part, "", "")
			is.Equal(errors.Is(err, platform.ErrRefused), part == "a")
			is.True(!h.Suspect(time.Now()))
			is.True(h.RecentlyServed(time.Now()))
		})
		store.SetDown(true)
		play(1500*time.Millisecond, func(int) { _, _ = h.Scan(t.Context(), "t", "b", "", "") })
		is.True(h.Suspect(time.Now()) && h.Unreachable(time.Now()))
		is.True(!h.RecentlyServed(time.Now()))
		store.SetDown(false)
		_, _ = h.Scan(t.Context(), "t", "b", "", "")
		is.True(!h.Suspect(time.Now()) && h.RecentlyServed(time.Now()))
	})
}

// shutStore cannot be connected to.
type shutStore struct{ *rows.Store }

func (shutStore) Commit(context.Context, platform.Tx) (int64, error) {
	return 0, platform.ErrUnavailable
}

// A call that could not be sent is no answer.
func TestHealthOfAStoreThatCannotBeReached(t *testing.T) {
	is := is.New(t)
	h := platform.NewHealth(shutStore{rows.New()})
	_, _ = h.Commit(t.Context(), putRow)
	is.True(h.Suspect(time.Now()))
}

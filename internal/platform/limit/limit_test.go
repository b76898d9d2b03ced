package limit

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin"
)

// Guards against a thundering herd: 1,000 concurrent writers are admitted at the rate of
// the budget.
func TestWritesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := standin.NewTable()
		table := NewLimiter(Budget{Writes: 50, Reads: 100, Burst: 10}).Table(inner)
		for range 1000 {
			go func() {
				_, _ = table.Apply(t.Context(), []platform.Write{{Key: "k", IfVersion: platform.AnyVersion}})
			}()
		}
		time.Sleep(10 * time.Second)
		is.True(inner.Stats().Writes <= 10+50*10)
		is.True(inner.Stats().Writes >= 50*10-10)
		time.Sleep(10 * time.Second)
		is.Equal(inner.Stats().Writes, int64(1000))
	})
}

func TestCallOverBudgetIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := standin.NewTable()
		table := NewLimiter(Budget{Writes: 1, Reads: 1, Burst: 1}).Table(inner)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := table.Range(ctx, "", "", 1)
		is.NoErr(err)
		_, err = table.Range(ctx, "", "", 1)
		is.True(errors.Is(err, platform.ErrUnavailable))
		is.Equal(inner.Stats().Reads, int64(1))
	})
}

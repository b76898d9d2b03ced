package cellwatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// While the operators' changes were listed again, evacuations and campaigns were not in force for a moment.
func TestChangesStayInForceWhileTheyAreListedAgain(t *testing.T) {
	is := is.New(t)
	w := New(nil, func(time.Time) bool { return true }, logr.Discard())
	all := []workload.OperatorChange{{EvacuatedAZ: "a"}, {Maintenance: &workload.Maintenance{ID: 7}}}
	is.NoErr(w.applyAll(t.Context(), all))
	ctx, cancel := context.WithCancel(t.Context())
	var listing sync.WaitGroup
	for range 4 {
		listing.Go(func() {
			for ctx.Err() == nil {
				_ = w.applyAll(ctx, all) // never fails
			}
		})
	}
	evacuated, campaigns := 1, 1
	for range 200_000 {
		evacuated, campaigns = min(evacuated, len(w.Evacuated())), min(campaigns, len(w.Campaigns()))
	}
	cancel()
	listing.Wait()
	is.Equal(evacuated, 1)
	is.Equal(campaigns, 1)
	is.NoErr(w.applyAll(t.Context(), nil)) // withdrawn while no change was read
	is.Equal(len(w.Evacuated())+len(w.Campaigns()), 0)
}

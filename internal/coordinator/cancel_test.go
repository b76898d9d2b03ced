package coordinator

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// A cancellation is in force once it is stored, whether or not a coordinator was notified of it.
// Guards against answers about jobs by a successor that has not loaded them yet.
func TestCancellationOutlivesTheCoordinator(t *testing.T) {
	const stopped = 3 * time.Second // within which a cancelled job's tasks have to stop
	for name, resigns := range map[string]bool{"resigns": true, "cut off from the store": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2)
				old, task, _ := f.leadService(2)
				if resigns {
					old.stop()
				}
				old.store.setCut(true)
				jobs := jobstore.Jobs{Store: platform.NewHealth(f.store)}
				is.NoErr(jobs.Cancel(t.Context(), task.Job))
				l := f.lead("host-1")
				loaded := func() bool { term := l.currentTerm.Load(); return term != nil && term.loaded.Load() }
				for !loaded() {
					state, _, err := l.JobState(t.Context(), task.Job, 0)
					is.True(errors.Is(err, errNotReady) || err == nil && loaded() && state == workload.Cancelled) // loaded by now
					_, err = l.Pending(t.Context(), "q")
					is.True(errors.Is(err, errNotReady) || err == nil && loaded())
					time.Sleep(time.Millisecond)
				}
				_, found, err := l.JobState(t.Context(), task.Job, 0)
				is.NoErr(err)
				is.True(found)
				time.Sleep(stopped)
				is.Equal(f.placeOf(task), "")
				state, _, err := l.JobState(t.Context(), task.Job, 0)
				is.NoErr(err)
				is.Equal(state, workload.Cancelled)
				old.store.setCut(false)
				time.Sleep(time.Second)
				_, _, err = old.JobState(t.Context(), task.Job, 0)
				is.True(errors.Is(err, errNotReady))
				if !resigns {
					old.stop()
				}
				l.stop()
			})
		})
	}
}

package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A worker whose host is leaving gets no new tasks after a few seconds, keeps its
// running tasks, and gets tasks again if the host stays after all.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	const bound = 4 * time.Second
	withTestCell(t, 2, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		running := o.mustSubmit(t, r.jobRequest(2, true, time.Minute))
		time.Sleep(time.Second)
		var ids []string
		for id := range r.workers {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		leaving := ids[0]
		r.leaving.Store(&leaving)
		time.Sleep(bound)
		before := len(r.workers[leaving].AttemptRecords())
		other := o.mustSubmit(t, r.jobRequest(4, true, time.Second))
		time.Sleep(time.Minute)
		is.Equal(o.mustStatus(t, other).GetOutcome(), "done")
		is.Equal(len(r.workers[leaving].AttemptRecords()), before) // no new task on this worker
		is.Equal(o.mustStatus(t, running).GetOutcome(), "done")

		r.leaving.Store(nil)
		time.Sleep(bound)
		o.mustSubmit(t, r.jobRequest(12, true, time.Second))
		time.Sleep(time.Minute)
		is.True(len(r.workers[leaving].AttemptRecords()) > before)
	})
}

package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A worker whose host leaves gets no new work within the bound of a few
// seconds, keeps what it runs, and gets work again when it stays after all.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	const bound = 4 * time.Second
	inBubble(t, 2, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.ready(t)
		running := o.mustSubmit(t, r.job(2, true, time.Minute))
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
		other := o.mustSubmit(t, r.job(4, true, time.Second))
		time.Sleep(time.Minute)
		is.Equal(o.mustStatus(t, other).GetOutcome(), "done")
		is.Equal(len(r.workers[leaving].AttemptRecords()), before) // nothing new there
		is.Equal(o.mustStatus(t, running).GetOutcome(), "done")

		r.leaving.Store(nil)
		time.Sleep(bound)
		o.mustSubmit(t, r.job(12, true, time.Second))
		time.Sleep(time.Minute)
		is.True(len(r.workers[leaving].AttemptRecords()) > before)
	})
}

package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// After a takeover the leases ran out on workers in reach whose entry had lapsed: their address was
// known to the predecessor only.
func TestTakeoverKeepsWorkersWhoseEntryHasLapsed(t *testing.T) {
	cases := map[string]struct {
		back    time.Duration // when the entry is back; 0: never
		crashed bool          // the worker has ended
	}{
		"entry is missing": {},
		"entry is back":    {back: 12 * time.Second},
		"worker has ended": {crashed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2)
				l, task, worker := f.leadService(1)
				if c.crashed {
					f.crash(worker)
				} else {
					f.setRegistered(worker, false)
				}
				l.stop()
				next := f.lead("host-1")
				defer next.stop()
				next.awaitLoaded()
				if c.back > 0 {
					time.AfterFunc(c.back, func() { f.setRegistered(worker, true) })
				}
				time.Sleep(2 * takeoverBound)
				if c.crashed {
					is.True(f.placeOf(task) != "" && f.placeOf(task) != worker)
					return
				}
				is.Equal(f.placeOf(task), worker)
				is.Equal(f.gap(), time.Duration(0))
			})
		})
	}
}

package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against leases that are given to a restarted worker by the clock of its earlier
// incarnation. They last as long as the worker allows, so its run was still going on when
// the task started on another worker.
func TestLeaseIsNotGivenByTheClockOfAnEarlierIncarnation(t *testing.T) {
	for name, registersFirst := range map[string]bool{
		"first order is a start":     false,
		"first order is a heartbeat": true,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2)
				l := f.lead("host-0")
				defer l.stop()
				time.Sleep(electionTime + 2*longestLease)
				f.restart("w0")
				f.restart("w1")
				register := func() {
					f.setRegistered("w0", true)
					f.setRegistered("w1", true)
					time.Sleep(time.Second) // until it is read
				}
				job := serviceJob(1)
				if registersFirst {
					register()
				}
				is.NoErr(l.Jobs.Insert(t.Context(), job))
				time.Sleep(time.Second)
				if !registersFirst {
					register()
				}
				for deadline := time.Now().Add(placementTime); !f.runs(job) && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				is.True(f.runs(job))
				f.setUnreachable(f.placeOf(taskOf(job, 0)), true)
				time.Sleep(2 * longestLease) // the fleet fails the test if a second run starts beside the first
				is.True(f.runs(job))
				is.True(f.gap() <= serviceRestart)
			})
		})
	}
}

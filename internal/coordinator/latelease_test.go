package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a lease by the clock of an earlier incarnation that its successor takes from
// a start order which is carried out late, before the first heartbeat reaches it. The order's
// own run is stopped, but the lease holds for the runs that follow.
func TestLateStartLeavesNoLongLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			late    = 500 * time.Millisecond
			stopped = time.Second // both attempts of the order have gone unanswered
		)
		is := is.New(t)
		f := newFleet(t, 2)
		l, _, _ := f.leadService(2)
		defer l.stop()
		time.Sleep(2 * longestLease)
		f.setRegistered("w1", false)
		time.Sleep(time.Second) // until it is read
		f.delayStarts(late)
		job := serviceJob(1)
		job.ID = "00000000000000a2"
		is.NoErr(l.Jobs.Insert(t.Context(), job))
		time.Sleep(late - 50*time.Millisecond)
		f.restart("w0")
		f.setRegistered("w0", true)
		time.Sleep(100 * time.Millisecond)
		f.delayStarts(0)
		f.setRegistered("w1", true)
		time.Sleep(stopped)
		for began := time.Now(); !f.runs(job) && time.Since(began) < placementTime; {
			time.Sleep(time.Millisecond)
		}
		is.True(f.runs(job))
		f.setUnreachable("w0", true)
		time.Sleep(2 * longestLease) // the fleet fails the test if a second run starts beside the first
		is.True(f.runs(job))
	})
}

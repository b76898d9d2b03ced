package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A start order that waits behind orders which a worker leaves unanswered must not be sent
// once its run counts as ended and the task runs elsewhere. Here a worker with a stored
// lease bound answers one heartbeat, is out of reach again, and returns when the bound is
// over.
func TestQueuedStartIsNotSentAfterItsRunEnded(t *testing.T) {
	for _, back := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprint(back), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1)
				l, cancelled, _ := f.leadService(6)
				defer l.stop()
				f.setUnreachable("w0", true)
				is.NoErr(l.Jobs.Cancel(t.Context(), cancelled.Job)) // stop orders stay unanswered
				time.Sleep(2 * time.Second)
				job := serviceJob(1)
				job.ID = "00000000000000a2"
				is.NoErr(l.Jobs.Insert(t.Context(), job))
				task := taskOf(job, 0)
				time.Sleep(f.leaseLeft("w0") - 800*time.Millisecond)
				f.answerOnce("w0", func() { f.store.SetLatency(2 * slowCall) }) // one slow commit
				time.Sleep(1400 * time.Millisecond)
				f.store.SetLatency(usualCall)
				f.add("w1")
				for deadline := time.Now().Add(serviceRestart); f.placeOf(task) == "" && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				is.Equal(f.placeOf(task), "w1")
				time.Sleep(back)
				f.setUnreachable("w0", false)
				time.Sleep(5 * time.Second) // the fleet fails the test if a second run starts
				is.Equal(f.placeOf(task), "w1")
			})
		})
	}
}

// leaseLeft returns how long a worker's lease lasts.
func (f *fleet) leaseLeft(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.workers[id].lease)
}

// answerOnce makes a worker out of reach answer one heartbeat. It calls then before.
func (f *fleet) answerOnce(id string, then func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].answerOnce = then
}

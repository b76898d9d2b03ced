package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A takeover while the store is slow leaves just enough time to renew the leases of
// services. A successor must not withhold leases from workers that it has yet to hear
// from: here the first heartbeats take longer than tickInterval.
func TestTakeoverAtSlowStoreKeepsServices(t *testing.T) {
	for phase := range 4 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2)
				f.answerTime = 80 * time.Millisecond
				l, _, _ := f.leadService(12)
				defer l.stop()
				time.Sleep(time.Second)
				f.store.SetLatency(slowCall)
				time.Sleep(3*time.Second + time.Duration(phase)*170*time.Millisecond)
				l.store.setCut(true) // the process ends without a resignation
				ended := make(chan struct{})
				go func() { l.stop(); close(ended) }()
				next := f.lead("host-1")
				time.Sleep(8 * time.Second)
				next.stop()
				<-ended
				is.Equal(len(f.ended), 0)
			})
		})
	}
}

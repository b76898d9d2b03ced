package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

func TestAnswerTimeout(t *testing.T) {
	is := is.New(t)
	var a answerTimes
	is.Equal(a.timeout(0), maxAnswerTimeout) // nothing is known yet
	for range 50 {
		a.add(2 * time.Millisecond)
	}
	is.Equal(a.timeout(0), minAnswerTimeout)
	is.Equal(a.timeout(1), 2*minAnswerTimeout)
	is.Equal(a.timeout(9), maxAnswerTimeout)
	for i := range 50 { // the link is full
		a.add(time.Duration(100+i%5*50) * time.Millisecond)
	}
	is.Equal(a.timeout(0), maxAnswerTimeout)
}

// lossyWorker runs a task every 300 ms whose end it reports with the next heartbeat that
// it answers. It leaves every lose-th heartbeat unanswered.
type lossyWorker struct {
	fakeWorker
	lose int

	mu      sync.Mutex
	count   int
	endedAt []time.Time // of the runs that were not reported yet
	delays  []time.Duration
}

func (w *lossyWorker) Heartbeat(ctx context.Context, _ *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	w.mu.Lock()
	w.count++
	lost := w.count%w.lose == 0
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return workload.Inventory{}, workload.ErrNoAnswer
	}
	for began := time.Now(); time.Since(began) < o.Wait; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		ended := len(w.endedAt) > 0
		w.mu.Unlock()
		if ended || ctx.Err() != nil {
			break
		}
	}
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.endedAt {
		w.delays = append(w.delays, time.Since(at))
	}
	w.endedAt = nil
	return workload.Inventory{ClockMS: w.clock(), Incarnation: 1}, nil
}

// TestLostHeartbeats replays urgent runs on a worker that leaves heartbeats unanswered.
// Their ends must be reported within the 0.5 s that are left of an urgent job's time, and
// a worker that answers the next heartbeat must not count as out of reach, which would
// keep further tasks from it.
func TestLostHeartbeats(t *testing.T) {
	const worst = 500 * time.Millisecond
	for _, lose := range []int{2, 3, 10} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := &lossyWorker{fakeWorker: fakeWorker{began: time.Now()}, lose: lose}
			events := make(chan any, 10_000)
			l := newLink(newLinkSet(&Coordinator{Commander: w}, 1, renewedNow, events),
				dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, ShortTasks: true})
			l.update(dispatch.WorkerView{Worker: l.worker, Tasks: 1, ShortTasks: true})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { l.run(ctx) })
			time.Sleep(2 * time.Second)
			for range 100 {
				time.Sleep(300 * time.Millisecond)
				w.mu.Lock()
				w.endedAt = append(w.endedAt, time.Now())
				w.mu.Unlock()
			}
			time.Sleep(time.Second)
			cancel()
			running.Wait()
			is.Equal(len(w.delays), 100)
			for _, d := range w.delays {
				if d > worst {
					t.Errorf("one heartbeat of %d lost: an end was reported after %v", lose, d)
				}
			}
			for len(events) > 0 {
				r, ok := (<-events).(heartbeatResult)
				is.True(ok && (r.err == nil || ctx.Err() != nil)) // in reach all the time
			}
		})
	}
}

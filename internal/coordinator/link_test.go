package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// fakeWorker answers commands from a script.
type fakeWorker struct {
	mu    sync.Mutex
	began time.Time
	gone  bool
	born  int64
	holds []workload.Heartbeat
}

func (f *fakeWorker) clock() int64 { return time.Since(f.began).Milliseconds() + 1 }

func (f *fakeWorker) Heartbeat(ctx context.Context, _ *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	f.mu.Lock()
	gone, born := f.gone, f.born
	f.holds = append(f.holds, o)
	f.mu.Unlock()
	if gone {
		<-ctx.Done()
		return workload.Inventory{}, workload.ErrNoAnswer
	}
	time.Sleep(o.Wait)
	return workload.Inventory{ClockMS: f.clock(), Incarnation: born}, nil
}

func (f *fakeWorker) Start(context.Context, *workload.Worker, workload.StartOrder) (int64, error) {
	return f.clock(), nil
}
func (f *fakeWorker) Stop(context.Context, *workload.Worker, workload.Run, int64) error { return nil }
func (f *fakeWorker) Throttle(context.Context, *workload.Worker, workload.Run, int, int64) error {
	return nil
}
func (f *fakeWorker) Disconnect(*workload.Worker) {}

// The leases of a worker that is gone are over a lease's time later, however
// often it is called in vain.
func TestLeasesOfAWorkerThatIsGoneEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), born: 1}
		events := make(chan any, 10_000)
		l := newLink(newLinkSet(&Coordinator{Commander: f}, 1, time.Now, events),
			dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		time.Sleep(3 * time.Second)
		is.True(l.over().After(time.Now().Add(lease / 2)))
		f.mu.Lock()
		f.gone = true
		f.mu.Unlock()
		time.Sleep(time.Duration(clockSlack*float64(lease)) + 4*time.Second)
		is.True(l.over().Before(time.Now()))
		is.Equal(l.leaseUntil(), int64(0)) // nothing is started there meanwhile
		cancel()
		<-ended
	})
}

// Ends are acknowledged only to the life that listed them: a new life under the
// same ID counts anew.
func TestNewLifeIsAcknowledgedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), born: 1}
		view := dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, Incarnation: 1}
		l := newLink(newLinkSet(&Coordinator{Commander: f}, 1, time.Now, make(chan any, 10_000)), view)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		holds := func(born int64, gone bool, wait time.Duration) []workload.Heartbeat {
			f.mu.Lock()
			f.born, f.gone, f.holds = born, gone, nil
			f.mu.Unlock()
			time.Sleep(wait)
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.holds
		}
		view.Acked = 5
		l.update(view)
		first := holds(1, false, 3*holdWaitBusy)
		is.Equal(first[len(first)-1].AckSeq, int64(5))
		holds(1, true, 2*holdWaitBusy) // the worker restarts
		for _, o := range holds(2, false, 5*holdWaitBusy) {
			is.Equal(o.AckSeq, int64(0))
		}
		view.Acked, view.Incarnation = 2, 2
		l.update(view)
		last := holds(2, false, 3*holdWaitBusy)
		is.Equal(last[len(last)-1].AckSeq, int64(2))
		cancel()
		<-ended
	})
}

// An idle worker costs few calls in a large cell; what it is given to do, and what
// is to be acknowledged, wakes its link at once.
func TestIdleWorkersCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), born: 1}
		view := dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Incarnation: 1}
		set := newLinkSet(&Coordinator{Commander: f}, 1, time.Now, make(chan any, 10_000))
		set.count.Store(3000)
		l := newLink(set, view)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		count := func(wait time.Duration) int {
			f.mu.Lock()
			f.holds = nil
			f.mu.Unlock()
			time.Sleep(wait)
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.holds)
		}
		is.True(count(60*time.Second) <= 15) // 3,000 workers: 750 calls a second at most
		view.Tasks = 1
		l.update(view)
		is.True(count(100*time.Millisecond) >= 1)
		view.Tasks, view.Acked = 0, 7
		l.update(view)
		is.True(count(holdWaitBusy+holdPause+time.Millisecond) >= 1)
		f.mu.Lock()
		last := f.holds[len(f.holds)-1]
		f.mu.Unlock()
		is.Equal(last.AckSeq, int64(7))
		cancel()
		<-ended
	})
}

// busyHost answers holds one after the other; a call that its caller gave up has
// cost its time all the same.
type busyHost struct {
	fakeWorker
	mu   sync.Mutex
	free time.Time
}

const callCost = 400 * time.Microsecond

func (b *busyHost) Heartbeat(ctx context.Context, _ *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	b.mu.Lock()
	if now := time.Now(); b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(callCost)
	done := b.free
	b.mu.Unlock()
	select {
	case <-time.After(time.Until(done) + o.Wait):
		return workload.Inventory{ClockMS: 1, Incarnation: 1}, nil
	case <-ctx.Done():
		return workload.Inventory{}, workload.ErrNoAnswer
	}
}

// Load pattern: a takeover with 3,000 workers on a process that can make 2,500
// calls a second. All are in reach within a few times what the calls cost.
func TestTakeoverOfManyWorkers(t *testing.T) {
	const workers = 3000
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core := dispatch.New()
		for i := range workers {
			id := fmt.Sprint("w", i)
			core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{ID: id, Incarnation: 1, Address: id + ":1"}})
		}
		events := make(chan any, 100_000)
		set := newLinkSet(&Coordinator{Commander: &busyHost{}}, 1, time.Now, events)
		ctx, cancel := context.WithCancel(t.Context())
		set.sync(ctx, core)
		time.Sleep(5 * workers * callCost)
		reached := map[string]bool{}
		for len(events) > 0 {
			if r, ok := (<-events).(report); ok && r.err == nil {
				reached[r.worker] = true
			}
		}
		is.Equal(len(reached), workers)
		cancel()
		set.closeAll()
	})
}

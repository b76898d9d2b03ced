package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// fakeWorker answers commands as its fields say.
type fakeWorker struct {
	mu          sync.Mutex
	began       time.Time
	unreachable bool
	incarnation int64
	heartbeats  []workload.Heartbeat
}

func (f *fakeWorker) clock() int64 { return time.Since(f.began).Milliseconds() + 1 }

func (f *fakeWorker) Heartbeat(ctx context.Context, _ *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	f.mu.Lock()
	unreachable, incarnation := f.unreachable, f.incarnation
	f.heartbeats = append(f.heartbeats, o)
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return workload.Inventory{}, workload.ErrNoAnswer
	}
	time.Sleep(o.Wait)
	return workload.Inventory{ClockMS: f.clock(), Incarnation: incarnation}, nil
}

func (f *fakeWorker) Start(context.Context, *workload.Worker, workload.StartOrder) (int64, error) {
	return f.clock(), nil
}
func (f *fakeWorker) Stop(context.Context, *workload.Worker, workload.Run, int64) error { return nil }
func (f *fakeWorker) Throttle(context.Context, *workload.Worker, workload.Run, int, int64) error {
	return nil
}
func (f *fakeWorker) Disconnect(*workload.Worker) {}

// renewedNow is linkSet.leasesEndBefore of a leader whose commits are instantaneous.
func renewedNow() time.Time { return time.Now().Add(takeoverBound) }

// The leases of an unreachable worker expire one lease duration after its last answer,
// however many heartbeats are sent to it. Guards against counting leases that are
// offered in unanswered heartbeats, which would keep its tasks from ever being
// restarted elsewhere.
func TestLeasesOfAnUnreachableWorkerExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), incarnation: 1}
		events := make(chan any, 10_000)
		l := newLink(newLinkSet(&Coordinator{Commander: f}, 1, renewedNow, events),
			dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		time.Sleep(3 * time.Second)
		is.True(l.leasesEnd().After(time.Now().Add(leaseDuration / 2)))
		f.mu.Lock()
		f.unreachable = true
		f.mu.Unlock()
		time.Sleep(time.Duration(clockDriftFactor*float64(leaseDuration)) + 4*time.Second)
		is.True(l.leasesEnd().Before(time.Now()))
		is.Equal(l.newLease().until, int64(0)) // no start order is sent there meanwhile
		cancel()
		<-ended
	})
}

// Ends of runs are acknowledged only to the incarnation that reported them: a new
// incarnation under the same ID numbers its ends from the start, and an old number
// would make it drop ends that were never reported.
func TestNewIncarnationGetsNoOldAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), incarnation: 1}
		view := dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, Incarnation: 1}
		l := newLink(newLinkSet(&Coordinator{Commander: f}, 1, renewedNow, make(chan any, 10_000)), view)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		heartbeats := func(incarnation int64, unreachable bool, wait time.Duration) []workload.Heartbeat {
			f.mu.Lock()
			f.incarnation, f.unreachable, f.heartbeats = incarnation, unreachable, nil
			f.mu.Unlock()
			time.Sleep(wait)
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.heartbeats
		}
		view.Acked = 5
		l.update(view)
		first := heartbeats(1, false, 3*heartbeatWaitBusy)
		is.Equal(first[len(first)-1].AckSeq, int64(5))
		heartbeats(1, true, 2*heartbeatWaitBusy) // the worker restarts
		for _, o := range heartbeats(2, false, 5*heartbeatWaitBusy) {
			is.Equal(o.AckSeq, int64(0))
		}
		view.Acked, view.Incarnation = 2, 2
		l.update(view)
		last := heartbeats(2, false, 3*heartbeatWaitBusy)
		is.Equal(last[len(last)-1].AckSeq, int64(2))
		cancel()
		<-ended
	})
}

// A worker that restarts under its ID leaves the heartbeat of its old life unanswered. The
// next one must not acknowledge by the old numbers ends of the new life, which nobody has
// read: their tasks would run again after a success.
func TestUnansweredHeartbeatIsFollowedByNoOldAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), incarnation: 1}
		view := dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, Incarnation: 1}
		l := newLink(newLinkSet(&Coordinator{Commander: f}, 1, time.Now, make(chan any, 10_000)), view)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		view.Acked = 5
		l.update(view)
		time.Sleep(3 * heartbeatWaitBusy)
		f.mu.Lock()
		f.unreachable, f.heartbeats = true, nil
		f.mu.Unlock()
		for failures := 0; failures == 0; time.Sleep(time.Millisecond) {
			l.mu.Lock()
			failures = l.failures
			l.mu.Unlock()
		}
		f.mu.Lock()
		f.incarnation, f.unreachable, f.heartbeats = 2, false, nil
		f.mu.Unlock()
		time.Sleep(3 * heartbeatWaitBusy)
		f.mu.Lock()
		first := f.heartbeats[0]
		f.mu.Unlock()
		cancel()
		<-ended
		is.Equal(first.AckSeq, int64(0))
	})
}

// An idle worker gets few heartbeats in a large cell; a new task and an end to
// acknowledge wake its link at once.
func TestIdleWorkersGetFewHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), incarnation: 1}
		view := dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Incarnation: 1}
		set := newLinkSet(&Coordinator{Commander: f}, 1, renewedNow, make(chan any, 10_000))
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
			f.heartbeats = nil
			f.mu.Unlock()
			time.Sleep(wait)
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.heartbeats)
		}
		is.True(count(60*time.Second) <= 15) // 3,000 workers: 750 calls a second at most
		view.Tasks = 1
		l.update(view)
		is.True(count(100*time.Millisecond) >= 1)
		view.Tasks, view.Acked = 0, 7
		l.update(view)
		is.True(count(heartbeatWaitBusy+heartbeatPause+time.Millisecond) >= 1)
		f.mu.Lock()
		last := f.heartbeats[len(f.heartbeats)-1]
		f.mu.Unlock()
		is.Equal(last.AckSeq, int64(7))
		cancel()
		<-ended
	})
}

// slowWorkers answers heartbeats one after the other; a call whose caller gave up takes
// its time all the same.
type slowWorkers struct {
	fakeWorker
	mu   sync.Mutex
	free time.Time
}

const callCost = 400 * time.Microsecond

func (s *slowWorkers) Heartbeat(ctx context.Context, _ *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	s.mu.Lock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(callCost)
	done := s.free
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(done) + o.Wait):
		return workload.Inventory{ClockMS: 1, Incarnation: 1}, nil
	case <-ctx.Done():
		return workload.Inventory{}, workload.ErrNoAnswer
	}
}

// Guards against calls that time out and are repeated without end after a takeover.
// Load pattern: a takeover with 3,000 workers by a process that can make 2,500 calls a
// second. All workers answer within a small multiple of the time that one call to each
// takes.
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
		set := newLinkSet(&Coordinator{Commander: &slowWorkers{}}, 1, renewedNow, events)
		ctx, cancel := context.WithCancel(t.Context())
		set.sync(ctx, core)
		time.Sleep(5 * workers * callCost)
		reached := map[string]bool{}
		for len(events) > 0 {
			if r, ok := (<-events).(heartbeatResult); ok && r.err == nil {
				reached[r.worker] = true
			}
		}
		is.Equal(len(reached), workers)
		cancel()
		set.closeAll()
	})
}

// silentStarts leaves starts unanswered and records when they arrive, with which lease.
type silentStarts struct {
	fakeWorker
	arrived []arrivedStart
}

type arrivedStart struct {
	at         time.Time
	leaseUntil int64
}

func (s *silentStarts) Start(ctx context.Context, _ *workload.Worker, o workload.StartOrder) (int64, error) {
	s.mu.Lock()
	s.arrived = append(s.arrived, arrivedStart{time.Now(), o.LeaseUntil})
	s.mu.Unlock()
	<-ctx.Done()
	return 0, workload.ErrNoAnswer
}

// arrivals returns the starts that have arrived so far.
func (s *silentStarts) arrivals() []arrivedStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrived)
}

// Guards against starts that wait for a commit, or behind others at a worker that does not
// answer, and then arrive at a worker whose capacity has shrunk meanwhile, or with a lease
// that lasts longer than their run counts.
func TestStartsAreNotSentLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &silentStarts{fakeWorker: fakeWorker{began: time.Now(), incarnation: 1}}
		events := make(chan any, 10_000)
		l := newLink(newLinkSet(&Coordinator{Commander: f}, 1, renewedNow, events),
			dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { l.run(ctx) })
		time.Sleep(time.Second) // the worker's clock is known
		const starts, committedLate = 20, 5
		decided, given := time.Now(), l.newLease()
		for range starts {
			running.Go(func() { l.start(ctx, dispatch.Start{Worker: l.worker, DecidedAt: decided}, given) })
		}
		time.Sleep(10 * time.Second)
		arrived := f.arrivals()
		for _, a := range arrived {
			is.True(a.at.Sub(decided) <= maxStartAge)
			is.Equal(a.leaseUntil, given.until)
		}
		for range committedLate {
			running.Go(func() {
				l.start(ctx, dispatch.Start{Worker: l.worker, DecidedAt: time.Now().Add(-maxStartAge - time.Millisecond)}, l.newLease())
			})
		}
		time.Sleep(time.Second)
		is.Equal(len(f.arrivals()), len(arrived))
		notSent := 0
		for len(events) > 0 {
			if r, ok := (<-events).(startResult); ok && !errors.Is(r.err, workload.ErrNoAnswer) {
				is.True(errors.Is(r.err, workload.ErrStartExpired))
				notSent++
			}
		}
		is.True(notSent > committedLate && notSent <= starts+committedLate)
	})
}

// startRecorder is a fakeWorker that records start orders.
type startRecorder struct {
	*fakeWorker
	starts []workload.StartOrder
}

func (r *startRecorder) Start(_ context.Context, _ *workload.Worker, o workload.StartOrder) (int64, error) {
	r.starts = append(r.starts, o)
	return r.clock(), nil
}

// Guards against a start that names no incarnation while a heartbeat waits at the worker: it
// may reach the next one before the heartbeat fails.
func TestStartBesideAHeartbeatIsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &startRecorder{fakeWorker: &fakeWorker{began: time.Now(), incarnation: 3}}
		l := newLink(newLinkSet(&Coordinator{Commander: r}, 1, renewedNow, make(chan any, 10_000)),
			dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, Incarnation: 3})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			l.run(ctx)
		}()
		time.Sleep(heartbeatWaitBusy / 2) // the second heartbeat waits
		l.start(ctx, dispatch.Start{Worker: l.worker, DecidedAt: time.Now()}, l.newLease())
		is.Equal(len(r.starts), 1)
		is.Equal(r.starts[0].Incarnation, int64(3))
		cancel()
		<-ended
	})
}

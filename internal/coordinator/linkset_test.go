package coordinator

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// A term's fences are above all epochs before it, and none is above its own: a successor of a
// build that uses its epoch as the fence has to be above them.
func TestFencesOfATermEndWithItsEpoch(t *testing.T) {
	is := is.New(t)
	earlier := Term{Epoch: 3 * fencesPerTerm}
	older := Term{Epoch: earlier.Epoch + 1} // of an older build
	later := Term{Epoch: older.Epoch + fencesPerTerm}
	for _, term := range []Term{earlier, later} {
		s := newLinkSet(&Coordinator{}, term.firstFence(), renewedNow, nil)
		is.Equal(s.lastFence, term.Epoch)
		is.Equal(s.fenceAfter(s.lastFence), s.lastFence)
	}
	is.True(later.firstFence() > older.Epoch)
}

// Guards against commands of a link that was closed, which a later incarnation carries out
// once the worker is back: the next link has a higher fence.
func TestFenceIsHigherWhenAWorkerComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorker{began: time.Now(), incarnation: 1}
		s := newLinkSet(&Coordinator{Commander: f, Log: logr.Discard()}, 5, renewedNow, make(chan any, 1000))
		core := dispatch.New()
		w := workload.Worker{ID: "w", Address: "w:1"}
		ctx, cancel := context.WithCancel(t.Context())
		register := func(w *workload.Worker) {
			core.SetWorker(workload.WorkerChange{ID: "w", Worker: w})
			s.sync(ctx, core)
		}
		register(&w)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.incarnation = 2
		f.mu.Unlock()
		time.Sleep(2 * idleInterval)
		closed := s.links["w"].currentFence()
		is.True(closed > 5)
		register(nil)
		is.True(s.links["w"] == nil)
		register(&w)
		is.True(s.links["w"].currentFence() > closed)
		cancel()
		s.closeAll()
	})
}

// fencingWorker is a fakeWorker that refuses starts under a lower fence than that of its
// heartbeats.
type fencingWorker struct{ *fakeWorker }

func (w *fencingWorker) Start(_ context.Context, _ *workload.Worker, o workload.StartOrder) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.heartbeats {
		if o.Fence < h.Fence {
			return 0, workload.ErrFenced
		}
	}
	return w.clock(), nil
}

// A start that the fence of a later incarnation keeps out was meant for an incarnation that
// has ended; one that another coordinator's fence keeps out was not.
func TestStartBehindARaisedFenceFindsARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fencingWorker{&fakeWorker{began: time.Now(), incarnation: 1}}
		events := make(chan any, 1000)
		l := newLink(newLinkSet(&Coordinator{Commander: f, Log: logr.Discard()}, 5, renewedNow, events),
			dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, Incarnation: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { l.run(ctx) })
		outcome := func(given lease) error {
			l.start(ctx, dispatch.Start{Worker: l.worker, DecidedAt: time.Now()}, given)
			for {
				if r, ok := (<-events).(startResult); ok {
					return r.err
				}
			}
		}
		time.Sleep(time.Second)
		before := l.newLease()
		f.mu.Lock()
		f.incarnation = 2
		f.mu.Unlock()
		time.Sleep(2 * heartbeatWaitBusy)
		is.True(errors.Is(outcome(before), workload.ErrRestarted))
		is.NoErr(outcome(l.newLease()))
		f.mu.Lock()
		f.heartbeats = append(f.heartbeats, workload.Heartbeat{Fence: 100}) // of another coordinator
		f.mu.Unlock()
		err := outcome(l.newLease())
		is.True(errors.Is(err, workload.ErrFenced) && !errors.Is(err, workload.ErrRestarted))
		cancel()
		running.Wait()
	})
}

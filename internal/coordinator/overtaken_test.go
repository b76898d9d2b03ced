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

// replacedWorker answers heartbeats that wait with ErrReplaced, at the end of their wait.
type replacedWorker struct{ *fakeWorker }

func (w *replacedWorker) Heartbeat(ctx context.Context, target *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	inv, err := w.fakeWorker.Heartbeat(ctx, target, o)
	if err == nil && o.Wait > 0 {
		return workload.Inventory{}, workload.ErrReplaced
	}
	return inv, err
}

// Guards against a worker that counts as in reach for ever: its link ends when a worker with
// another ID answers at the address, so the core has to learn of that answer, also if a
// heartbeat that overtook it has met another incarnation and raised the fence.
func TestReplacementIsReportedBesideANewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &replacedWorker{&fakeWorker{began: time.Now(), incarnation: 1}}
		events := make(chan any, 1000)
		noLeases := time.Now // the leadership was last renewed too long ago
		l := newLink(newLinkSet(&Coordinator{Commander: f, Log: logr.Discard()}, 1, noLeases, events),
			dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, Incarnation: 1})
		var running sync.WaitGroup
		running.Go(func() { l.run(t.Context()) }) // ends with ErrReplaced
		time.Sleep(heartbeatWaitBusy / 2)         // the second heartbeat waits
		f.mu.Lock()
		f.incarnation = 2
		f.mu.Unlock()
		is.True(l.takeLeaseless())
		_, _ = l.heartbeat(t.Context(), true) // as linkSet.renewLeaseless does
		running.Wait()
		replaced := false
		for len(events) > 0 {
			if r, ok := (<-events).(heartbeatResult); ok && errors.Is(r.err, workload.ErrReplaced) {
				replaced = true
			}
		}
		is.True(replaced)
	})
}

// fenceRecorder is a fakeWorker that records when each fence was first seen.
type fenceRecorder struct {
	*fakeWorker
	seen map[int64]time.Time
}

func (r *fenceRecorder) Heartbeat(ctx context.Context, target *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	r.mu.Lock()
	if _, ok := r.seen[o.Fence]; !ok {
		r.seen[o.Fence] = time.Now()
	}
	r.mu.Unlock()
	return r.fakeWorker.Heartbeat(ctx, target, o)
}

// Guards against an inventory of a later incarnation that is taken for complete although
// commands under the fence of the earlier one may still be carried out.
func TestInventoryUnderAnEarlierFenceIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const fence = 5
		f := &fenceRecorder{&fakeWorker{began: time.Now(), incarnation: 1}, map[int64]time.Time{}}
		events := make(chan any, 1000)
		l := newLink(newLinkSet(&Coordinator{Commander: f, Log: logr.Discard()}, fence, renewedNow, events),
			dispatch.WorkerView{Worker: workload.Worker{ID: "w", Address: "w:1"}, Tasks: 1, Incarnation: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { l.run(ctx) })
		time.Sleep(3 * heartbeatWaitBusy)
		f.mu.Lock()
		f.incarnation = 2
		f.mu.Unlock()
		time.Sleep(5 * heartbeatWaitBusy)
		cancel()
		running.Wait()
		raised, ok := f.seen[fence+1]
		is.True(ok)
		passedOn := 0
		for len(events) > 0 {
			if r, ok := (<-events).(heartbeatResult); ok && r.err == nil && r.inventory.Incarnation == 2 {
				is.True(!r.sentAt.Before(raised))
				passedOn++
			}
		}
		is.True(passedOn > 0)
	})
}

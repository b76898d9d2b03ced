package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// overwrite publishes an entry of another writer in place of a worker's, nil for one that
// names no worker. The worker itself does not change.
func (f *fleet) overwrite(id string, odd func(*workload.Worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	change := workload.WorkerChange{ID: id}
	if odd != nil {
		entry := f.workers[id].Worker
		odd(&entry)
		change.Worker = &entry
	}
	f.changes = append(f.changes, change)
}

// Guards against tasks that are lost or run twice while another writer overwrites the
// entry of their worker again and again. The worker writes its own entry in between.
func TestTasksOutlastOddEntriesOfTheirWorker(t *testing.T) {
	const another = "w9:1" // the address of a worker that runs no task of the test
	for name, odd := range map[string]func(*workload.Worker){
		"names no worker":           nil,
		"address of another worker": func(w *workload.Worker) { w.Address = another },
		"and another birth":         func(w *workload.Worker) { w.Address, w.Incarnation = another, 1<<52 },
		"and no birth":              func(w *workload.Worker) { w.Address, w.Incarnation = another, 0 },
		"another birth":             func(w *workload.Worker) { w.Incarnation = 1 << 52 },
		"another pool":              func(w *workload.Worker) { w.Pool = "none" },
		"no capacity":               func(w *workload.Worker) { w.Capacity = model.Resources{} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3)
				l, task, worker := f.leadService(1)
				for i := range 12 {
					f.overwrite(worker, odd)
					time.Sleep(time.Second)
					if i == 6 {
						f.setRegistered(worker, true)
						time.Sleep(time.Second)
						l.stop()
						l = f.lead(fmt.Sprint("host-", i))
						time.Sleep(2 * time.Second)
					}
				}
				is.Equal(f.placeOf(task), worker) // it has run on there
				is.Equal(f.gap(), time.Duration(0))
				f.setRegistered(worker, true)
				time.Sleep(2 * time.Second)
				back := false
				is.NoErr(l.do(t.Context(), func(loop *termLoop) { back = len(loop.core.RegisteredWorkers()) == 3 }))
				is.True(back)
				l.stop()
			})
		})
	}
}

// Guards against a second run, and against a task that stays down, if a coordinator takes
// over while the entry of a worker that is at work cannot be used.
func TestTakeoverWhileAnEntryIsOdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t, 3)
		l, task, worker := f.leadService(1)
		f.setRegistered(worker, false)
		time.Sleep(3 * time.Second)
		l.stop()
		l = f.lead("host-1")
		time.Sleep(20 * time.Second)
		f.setRegistered(worker, true)
		time.Sleep(3 * time.Second)
		is.True(f.placeOf(task) != "")
		t.Logf("longest time without a run: %v", f.gap())
		is.True(f.gap() <= serviceRestart)
		l.stop()
	})
}

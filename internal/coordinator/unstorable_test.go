package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against service tasks that are stopped on a draining worker by a coordinator that has
// lost the store, so that no start elsewhere can be stored, and against tasks that stay there
// although it has the store and only renews its leadership.
func TestServiceIsMovedThoughNothingCanBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const moveTime = time.Second // within which a task runs elsewhere
		is := is.New(t)
		f := newFleet(t, 1)
		l, task, worker := f.leadService(1)
		defer l.stop()
		f.add("w1")
		time.Sleep(moveTime)
		l.store.setCut(true)
		time.Sleep(moveTime)
		f.drain(worker)
		time.Sleep(3 * time.Second)
		is.Equal(f.placeOf(task), worker)
		l.store.setCut(false)
		time.Sleep(2*moveTime + commitTimeout) // the attempt under way ends first
		is.Equal(f.placeOf(task), "w1")
		is.True(f.gap() < moveTime)
		f.add("w2")
		time.Sleep(2 * moveTime)
		f.drain("w1")
		time.Sleep(moveTime)
		is.Equal(f.placeOf(task), "w2")
	})
}

// drain publishes that a worker drains, without a time at which it leaves.
func (f *fleet) drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].Draining = true
	f.publish(f.workers[id])
}

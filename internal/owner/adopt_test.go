package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
)

// addSecondAZ adds a second AZ with one worker.
func (r *testCell) addSecondAZ() {
	const name = "lager"
	spec := model.WorkerSpec{
		ID: name + "-w", Addr: "127.0.0.1:9100", AZ: name, Rack: "r1", Connections: 8,
		Capacity: model.Resources{MilliCores: 4000, MemoryMB: 8000, Slots: 4},
	}
	r.cfg.AZs = append(r.cfg.AZs, config.AZ{Name: name, InService: true})
	r.cfg.Workers = append(r.cfg.Workers, spec)
	r.workers[spec.ID] = standin.NewWorker(spec, standin.Options{})
}

// requireDone fails the test unless the owner reports each job as done.
func requireDone(t *testing.T, ids []string, o *testOwner) {
	t.Helper()
	for _, id := range ids {
		is.New(t).Equal(o.mustStatus(t, id).GetOutcome(), "done")
	}
}

// The pending jobs of a lost AZ are moved and keep their ids; tasks that run there are
// left there; and when the AZ returns, no task runs twice.
func TestLostAZIsAdopted(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		r.addSecondAZ()
		lost, other := r.startOwner(t.Context()), r.startOwnerOf(t.Context(), "lager")
		time.Sleep(time.Second)
		m := &scheduleRun{testCell: r, idempotent: map[string]bool{}}
		var ids []string
		for i := range 12 { // four run, eight are pending
			req := r.jobRequest(1, i%2 == 0, 10*time.Minute)
			if i == 11 {
				req.IdempotencyKey = "season batch"
			}
			id := lost.mustSubmit(t, req)
			ids = append(ids, id)
			m.idempotent[id] = i%2 == 0
		}
		time.Sleep(time.Second)
		lost.toTable.SetCut(true) // the AZ is cut off; its owner and workers continue
		moved, err := other.Adopt(t.Context(), testShard)
		is.NoErr(err)
		is.Equal(moved, 8)
		is.NoErr(m.check())

		again := r.jobRequest(1, false, time.Minute)
		again.IdempotencyKey = "season batch"
		id := other.mustSubmit(t, again)
		is.Equal(id, ids[11])

		lost.toTable.SetCut(false) // the AZ returns
		time.Sleep(5 * time.Second)
		err = <-lost.ended
		is.True(errors.Is(err, ErrLost))
		lost.ended <- err
		back := r.startOwner(t.Context())
		time.Sleep(time.Hour / 2)
		is.NoErr(m.check())
		requireDone(t, ids[:4], back)
		requireDone(t, ids[4:], other)
		is.Equal(len(r.records()), 12)
	})
}

func TestShardWithLiveOwnerIsNotAdopted(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		r.addSecondAZ()
		living, other := r.startOwner(t.Context()), r.startOwnerOf(t.Context(), "lager")
		time.Sleep(time.Second)
		_, err := other.Adopt(t.Context(), testShard)
		is.True(errors.Is(err, ErrAlive))
		id := living.mustSubmit(t, r.jobRequest(1, false, time.Second))
		is.True(id != "")
	})
}

// After an adoption the shard must not count as cleanly handed over: tasks of the
// absent owner may still run.
func TestAdoptedShardIsNotClean(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		for _, adopted := range []bool{false, true} {
			h, err := takeShard(t.Context(), r.table, "lager-0", &rpc.Member{Host: "a"})
			is.NoErr(err)
			h.Adopted = adopted
			is.NoErr(releaseShard(t.Context(), r.table, "lager-0", h))
			next, err := takeShard(t.Context(), r.table, "lager-0", &rpc.Member{Host: "b"})
			is.NoErr(err)
			is.Equal(next.cleanHandover, !adopted)
			is.Equal(next.Fence, h.Fence+1)
		}
	})
}

// The pending jobs of an AZ that operators take out of service are moved immediately;
// tasks that run there continue under the next owner of the shard, and no task runs
// twice.
func TestQueueOfAnAZOutOfServiceIsMoved(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		r.addSecondAZ()
		leaving, other := r.startOwner(t.Context()), r.startOwnerOf(t.Context(), "lager")
		time.Sleep(time.Second)
		m := &scheduleRun{testCell: r, idempotent: map[string]bool{}}
		var ids []string
		for i := range 12 { // four run, eight are pending
			id := leaving.mustSubmit(t, r.jobRequest(1, i%2 == 0, 10*time.Minute))
			ids = append(ids, id)
			m.idempotent[id] = i%2 == 0
		}
		time.Sleep(time.Second)
		_, err := other.AdoptReleased(t.Context(), testShard)
		is.True(errors.Is(err, ErrNotReleased)) // its owner still serves

		leaving.stop()
		is.NoErr(<-leaving.ended)
		leaving.ended <- nil
		began := time.Now()
		moved, err := other.AdoptReleased(t.Context(), testShard)
		is.NoErr(err)
		is.Equal(moved, 8)
		is.True(time.Since(began) < 4*time.Second)
		is.NoErr(m.check())

		back := r.startOwner(t.Context())
		time.Sleep(time.Hour / 2)
		is.NoErr(m.check())
		requireDone(t, ids[:4], back)
		requireDone(t, ids[4:], other)
		is.Equal(len(r.records()), 12)
	})
}

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

// addLager adds a second AZ with one worker.
func (r *rig) addLager() {
	const name = "lager"
	spec := model.WorkerSpec{
		ID: name + "-w", Addr: "127.0.0.1:9100", AZ: name, Rack: "r1", Connections: 8,
		Capacity: model.Resources{MilliCores: 4000, MemoryMB: 8000, Slots: 4},
	}
	r.cfg.AZs = append(r.cfg.AZs, config.AZ{Name: name, InService: true})
	r.cfg.Workers = append(r.cfg.Workers, spec)
	r.workers[spec.ID] = standin.NewWorker(spec, standin.Options{})
}

// allDone fails unless each job is known to the owner as done.
func allDone(t *testing.T, ids []string, o *testOwner) {
	t.Helper()
	for _, id := range ids {
		is.New(t).Equal(o.mustStatus(t, id).GetOutcome(), "done")
	}
}

// The queue of a lost AZ is moved, with its job ids; what runs there stays there;
// and when the AZ returns, no task runs twice.
func TestLostAZIsAdopted(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.addLager()
		lost, other := r.start(t.Context()), r.startShard(t.Context(), "lager")
		time.Sleep(time.Second)
		m := &machine{rig: r, idem: map[string]bool{}}
		var ids []string
		for i := range 12 { // four run, eight wait
			req := r.job(1, i%2 == 0, 10*time.Minute)
			if i == 11 {
				req.IdempotencyKey = "season batch"
			}
			id := lost.mustSubmit(t, req)
			ids = append(ids, id)
			m.idem[id] = i%2 == 0
		}
		time.Sleep(time.Second)
		lost.toTable.SetCut(true) // the AZ is cut off; its owner and workers go on
		moved, err := other.Adopt(t.Context(), testShard)
		is.NoErr(err)
		is.Equal(moved, 8)
		is.NoErr(m.check())

		again := r.job(1, false, time.Minute)
		again.IdempotencyKey = "season batch"
		id := other.mustSubmit(t, again)
		is.Equal(id, ids[11])

		lost.toTable.SetCut(false) // it returns
		time.Sleep(5 * time.Second)
		err = <-lost.ended
		is.True(errors.Is(err, ErrLost))
		lost.ended <- err
		back := r.start(t.Context())
		time.Sleep(time.Hour / 2)
		is.NoErr(m.check())
		allDone(t, ids[:4], back)
		allDone(t, ids[4:], other)
		is.Equal(len(r.records()), 12)
	})
}

func TestLivingShardIsNotAdopted(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.addLager()
		living, other := r.start(t.Context()), r.startShard(t.Context(), "lager")
		time.Sleep(time.Second)
		_, err := other.Adopt(t.Context(), testShard)
		is.True(errors.Is(err, ErrAlive))
		id := living.mustSubmit(t, r.job(1, false, time.Second))
		is.True(id != "")
	})
}

// A shard that was adopted was not handed over by the owner whose work may
// still run.
func TestAdoptedShardIsNotClean(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		for _, adopted := range []bool{false, true} {
			h, err := take(t.Context(), r.table, "lager-0", &rpc.Member{Host: "a"})
			is.NoErr(err)
			h.Adopted = adopted
			is.NoErr(release(t.Context(), r.table, "lager-0", h))
			next, err := take(t.Context(), r.table, "lager-0", &rpc.Member{Host: "b"})
			is.NoErr(err)
			is.Equal(next.clean, !adopted)
			is.Equal(next.Fence, h.Fence+1)
		}
	})
}

// The queue of an AZ that operators take out is moved at once; what runs there
// goes on under the next owner of its shard, and nothing runs twice.
func TestQueueOfAnAZOutOfServiceIsMoved(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.addLager()
		leaving, other := r.start(t.Context()), r.startShard(t.Context(), "lager")
		time.Sleep(time.Second)
		m := &machine{rig: r, idem: map[string]bool{}}
		var ids []string
		for i := range 12 { // four run, eight wait
			id := leaving.mustSubmit(t, r.job(1, i%2 == 0, 10*time.Minute))
			ids = append(ids, id)
			m.idem[id] = i%2 == 0
		}
		time.Sleep(time.Second)
		_, err := other.AdoptReleased(t.Context(), testShard)
		is.True(errors.Is(err, ErrNotReleased)) // its owner serves

		leaving.stop()
		is.NoErr(<-leaving.ended)
		leaving.ended <- nil
		began := time.Now()
		moved, err := other.AdoptReleased(t.Context(), testShard)
		is.NoErr(err)
		is.Equal(moved, 8)
		is.True(time.Since(began) < 4*time.Second)
		is.NoErr(m.check())

		back := r.start(t.Context())
		time.Sleep(time.Hour / 2)
		is.NoErr(m.check())
		allDone(t, ids[:4], back)
		allDone(t, ids[4:], other)
		is.Equal(len(r.records()), 12)
	})
}

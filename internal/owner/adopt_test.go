package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/standin"
)

// addAZ adds a second AZ with one worker.
func (r *rig) addAZ(name string) {
	spec := model.WorkerSpec{
		ID: name + "-w", Addr: "127.0.0.1:9100", AZ: name, Rack: "r1", Connections: 8,
		Capacity: model.Resources{MilliCores: 4000, MemoryMB: 8000, Slots: 4},
	}
	r.cfg.AZs = append(r.cfg.AZs, config.AZ{Name: name, InService: true})
	r.cfg.Workers = append(r.cfg.Workers, spec)
	r.workers[spec.ID] = standin.NewWorker(spec, standin.Options{})
}

// The queue of a lost AZ is moved, with its job ids; what runs there stays there;
// and when the AZ returns, no task runs twice.
func TestLostAZIsAdopted(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.addAZ("lager")
		lost, other := r.start(t.Context()), r.startShard(t.Context(), "lager")
		time.Sleep(time.Second)
		m := &machine{rig: r, idem: map[string]bool{}}
		var ids []string
		for i := range 12 { // four run, eight wait
			req := r.job(1, i%2 == 0, 10*time.Minute)
			if i == 11 {
				req.IdempotencyKey = "season batch"
			}
			reply, err := lost.Submit(t.Context(), req)
			is.NoErr(err)
			ids = append(ids, reply.GetJobId())
			m.idem[reply.GetJobId()] = i%2 == 0
		}
		time.Sleep(time.Second)
		lost.toTable.Set(true) // the AZ is cut off; its owner and workers go on
		moved, err := other.Adopt(t.Context(), testShard)
		is.NoErr(err)
		is.Equal(moved, 8)
		is.NoErr(m.check())

		again := r.job(1, false, time.Minute)
		again.IdempotencyKey = "season batch"
		reply, err := other.Submit(t.Context(), again)
		is.NoErr(err)
		is.Equal(reply.GetJobId(), ids[11])

		lost.toTable.Set(false) // it returns
		time.Sleep(5 * time.Second)
		err = <-lost.ended
		is.True(errors.Is(err, ErrLost))
		lost.ended <- err
		back := r.start(t.Context())
		time.Sleep(time.Hour / 2)
		is.NoErr(m.check())
		for i, id := range ids {
			o := back
			if i >= 4 {
				o = other
			}
			s, err := o.status(id)
			is.NoErr(err)
			is.Equal(s.GetOutcome(), "done")
		}
		is.Equal(len(r.records()), 12)
	})
}

func TestLivingShardIsNotAdopted(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.addAZ("lager")
		living, other := r.start(t.Context()), r.startShard(t.Context(), "lager")
		time.Sleep(time.Second)
		_, err := other.Adopt(t.Context(), testShard)
		is.True(errors.Is(err, ErrAlive))
		reply, err := living.Submit(t.Context(), r.job(1, false, time.Second))
		is.NoErr(err)
		is.True(reply.GetJobId() != "")
	})
}

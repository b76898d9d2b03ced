package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/journal"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
)

// A worker that restarts forgets what it ran: its "never seen" must not let a
// task that is not idempotent run again.
func TestRestartedWorkerProvesNothing(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.start(t.Context())
		time.Sleep(time.Second)
		_, err := o.Submit(t.Context(), r.job(1, false, time.Minute))
		is.NoErr(err)
		time.Sleep(200 * time.Millisecond) // the worker's clock was read for it
		r.workers["w0"].Set(standin.FaultSet{LoseEvery: 1})
		reply, err := o.Submit(t.Context(), r.job(1, false, time.Minute))
		is.NoErr(err)
		time.Sleep(200 * time.Millisecond) // started, the answer is lost
		is.Equal(len(r.records()), 2)
		r.workers["w0"].Restart()
		r.workers["w0"].Set(standin.FaultSet{})
		time.Sleep(5 * time.Minute)
		is.Equal(len(r.records()), 2)
		s, err := o.status(reply.GetJobId())
		is.NoErr(err)
		is.Equal(s.GetOutcome(), "unknown")
	})
}

// An idle worker is asked seldom, and a start on it is still within its window.
func TestIdleWorkerIsAskedSeldom(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.start(t.Context())
		time.Sleep(time.Second)
		before := o.heartbeats.Load()
		time.Sleep(time.Minute)
		is.True(o.heartbeats.Load()-before <= int64(time.Minute/idleWait)+1)
		time.Sleep(idleWait / 2)
		_, err := o.Reserve(t.Context(), r.slip())
		is.NoErr(err)
		reply, err := o.Submit(t.Context(), r.job(1, false, time.Second))
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		s, err := o.status(reply.GetJobId())
		is.NoErr(err)
		is.Equal(s.GetTasks()[0].GetAttempt(), int32(1)) // no start was refused
	})
}

// An owner without the table starts restartable tasks unrecorded. A successor
// that cannot reach the tasks' worker waits until the leases have lapsed.
func TestSuccessorWaitsForUnrecordedStarts(t *testing.T) {
	for _, recordedBefore := range []bool{false, true} {
		inBubble(t, 2, func(t *testing.T, r *rig) {
			is := is.New(t)
			first := r.start(t.Context())
			time.Sleep(time.Second)
			reply, err := first.Submit(t.Context(), r.job(4, true, 10*time.Minute))
			is.NoErr(err)
			if recordedBefore {
				time.Sleep(2 * lazyDelay)
			}
			first.toTable.Set(true)
			time.Sleep(time.Second)
			hidden := r.records()[0].Worker
			if recordedBefore {
				hidden = r.moveAway(hidden) // the next attempts are not recorded
			}
			second := r.start(t.Context())
			second.toWork[hidden].Set(true)
			m := &machine{rig: r, idem: map[string]bool{reply.GetJobId(): true}}
			for range 60 {
				time.Sleep(5 * time.Second)
				is.NoErr(m.check())
			}
			second.toWork[hidden].Set(false)
			time.Sleep(time.Hour / 2)
			is.NoErr(m.check())
			s, err := second.status(reply.GetJobId())
			is.NoErr(err)
			is.Equal(s.GetOutcome(), "done")
		})
	}
}

// moveAway ends what runs on a worker, so that it starts again on the other one,
// whose name it returns.
func (r *rig) moveAway(from string) string {
	r.workers[from].SetLeaving(true)
	time.Sleep(2 * time.Second)
	r.workers[from].Restart()
	time.Sleep(5 * time.Second)
	r.workers[from].SetLeaving(false)
	for id := range r.workers {
		if id != from {
			return id
		}
	}
	return from
}

// With the platform down, running tasks' leases go on being renewed and direct
// requests are served; afterwards the ends are journaled.
func TestPlatformDownForLong(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.start(t.Context())
		time.Sleep(time.Second)
		reply, err := o.Submit(t.Context(), r.job(2, false, 4*time.Minute))
		is.NoErr(err)
		time.Sleep(time.Second)
		r.table.Set(standin.FaultSet{Down: true})
		time.Sleep(5 * time.Minute)
		ticket, err := o.Reserve(t.Context(), r.slip())
		is.NoErr(err)
		is.True(ticket.GetWorker() != "")
		r.table.Set(standin.FaultSet{})
		time.Sleep(time.Minute)
		s, err := o.status(reply.GetJobId())
		is.NoErr(err)
		is.Equal(s.GetOutcome(), "done")
		is.Equal(len(r.records()), 2)
		loaded, err := journal.Load(t.Context(), r.table, r.objects, testShard)
		is.NoErr(err)
		is.Equal(len(loaded.State.Jobs), 1)
	})
}

// A frozen owner that wakes up after its successor started the task again can
// neither start, stop nor renew anything.
func TestFrozenOwnerWakesUpLate(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, r *rig) {
		is := is.New(t)
		first := r.start(t.Context())
		time.Sleep(time.Second)
		reply, err := first.Submit(t.Context(), r.job(8, true, 20*time.Second))
		is.NoErr(err)
		first.freeze()
		time.Sleep(2 * time.Minute)
		second := r.start(t.Context())
		time.Sleep(5 * time.Second)
		first.thaw()
		time.Sleep(2 * time.Minute)
		m := &machine{rig: r, idem: map[string]bool{reply.GetJobId(): true}}
		is.NoErr(m.check())
		s, err := second.status(reply.GetJobId())
		is.NoErr(err)
		is.Equal(s.GetOutcome(), "done")
		err = <-first.ended
		is.True(errors.Is(err, ErrLost))
		first.ended <- err
	})
}

// A shard whose journal is damaged is not owned.
func TestDamagedJournalIsNotOwned(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		_, err := r.table.Apply(t.Context(), []platform.Write{{Key: journal.RowKey(testShard, 1), Value: []byte("not a record")}})
		is.NoErr(err)
		o := r.start(t.Context())
		err = <-o.ended
		is.True(errors.Is(err, journal.ErrUnknownFormat))
		o.ended <- err
	})
}

// Each of many cancellations stops its queued work at once.
func TestCancelWave(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.start(t.Context())
		time.Sleep(time.Second)
		const jobs = 200
		var ids []string
		for range jobs {
			reply, err := o.Submit(t.Context(), r.job(3, true, time.Hour))
			is.NoErr(err)
			ids = append(ids, reply.GetJobId())
		}
		for _, id := range ids {
			go func() {
				_, _ = o.CancelJob(t.Context(), &rpc.CancelJobRequest{
					JobId: id, Credential: &rpc.Credential{KeySha256: testKeyHash()},
				})
			}()
		}
		time.Sleep(5 * time.Second)
		for _, id := range ids {
			s, err := o.status(id)
			is.NoErr(err)
			is.Equal(s.GetState(), "ended")
		}
		is.Equal(o.used(), int64(0))
	})
}

// A job that is not idempotent and was cancelled while it ran is not "unknown":
// it was started and stopped as asked.
func TestCancelOfWhatRuns(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.start(t.Context())
		time.Sleep(time.Second)
		reply, err := o.Submit(t.Context(), r.job(1, false, time.Hour))
		is.NoErr(err)
		time.Sleep(time.Second)
		_, err = o.CancelJob(t.Context(), &rpc.CancelJobRequest{
			JobId: reply.GetJobId(), Credential: &rpc.Credential{KeySha256: testKeyHash()},
		})
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		s, err := o.status(reply.GetJobId())
		is.NoErr(err)
		is.Equal(s.GetState(), "ended")
		is.Equal(s.GetOutcome(), "failed")
		is.Equal(o.used(), int64(0))
	})
}

// A table that takes 3 s a call is slow, not down: jobs are accepted, and start
// also after the solo window.
func TestSlowTable(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.start(t.Context())
		time.Sleep(time.Second)
		r.table.Set(standin.FaultSet{SlowMillis: 3000})
		time.Sleep(3 * time.Minute)
		reply, err := o.Submit(t.Context(), r.job(1, false, time.Second))
		is.NoErr(err)
		time.Sleep(time.Minute)
		s, err := o.status(reply.GetJobId())
		is.NoErr(err)
		is.Equal(s.GetOutcome(), "done")
	})
}

// When the table hangs, what was not sent to it is refused soon and truthfully.
func TestHangingTable(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.start(t.Context())
		time.Sleep(time.Second)
		r.table.Set(standin.FaultSet{Freeze: true})
		go func() { _, _ = o.Submit(t.Context(), r.job(1, true, time.Second)) }() // its write hangs
		time.Sleep(time.Second)
		began := time.Now()
		_, err := o.Submit(t.Context(), r.job(1, true, time.Second))
		refusal, ok := rpc.RefusalFromTwirp(err)
		is.True(ok)
		is.Equal(refusal.Code, rpc.CodeTableUnreachable)
		is.True(time.Since(began) <= submitPatience+2*housekeeping)
	})
}

package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/config"
	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

// A worker that restarts forgets what it ran: its "never seen" must not let a
// task that is not idempotent run again.
func TestRestartedWorkerProvesNothing(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.ready(t)
		o.mustSubmit(t, r.job(1, false, time.Minute))
		time.Sleep(200 * time.Millisecond) // the worker's clock was read for it
		r.workers["w0"].Set(standin.FaultSet{LoseReplyEvery: 1})
		id := o.mustSubmit(t, r.job(1, false, time.Minute))
		time.Sleep(200 * time.Millisecond) // started, the answer is lost
		is.Equal(len(r.records()), 2)
		r.workers["w0"].Restart()
		r.workers["w0"].Set(standin.FaultSet{})
		time.Sleep(5 * time.Minute)
		is.Equal(len(r.records()), 2)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "unknown")
	})
}

// An idle worker is asked seldom, and a start on it is still within its window.
func TestIdleWorkerIsAskedSeldom(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.ready(t)
		before := o.heartbeats.Load()
		time.Sleep(time.Minute)
		is.True(o.heartbeats.Load()-before <= int64(time.Minute/beatWait)+1)
		time.Sleep(beatWait / 2)
		ticket, err := o.Reserve(t.Context(), r.slip())
		is.NoErr(err)
		left := time.Duration(ticket.GetStartBy() - time.Now().UnixNano()) // w0's clock is exact
		is.True(left > config.DefaultStartWindow/2)
		id := o.mustSubmit(t, r.job(1, false, time.Second))
		time.Sleep(10 * time.Second)
		s := o.mustStatus(t, id)
		is.Equal(s.GetTasks()[0].GetAttempt(), int32(1)) // no start was refused
	})
}

// A worker whose tasks run long is asked as seldom as an idle one, and each lease
// is extended a few times over its length, well before it lapses.
func TestBusyWorkerIsAskedSeldomAndKeepsItsLeases(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.ready(t)
		id := o.mustSubmit(t, r.job(4, false, 10*time.Minute))
		time.Sleep(5 * time.Second)
		beats, renewals := o.heartbeats.Load(), o.renewals.Load()
		time.Sleep(5 * time.Minute)
		leases := int64(5 * time.Minute / config.DefaultLease)
		is.True(o.heartbeats.Load()-beats <= int64(5*time.Minute/beatWait)+1)
		is.True(o.renewals.Load()-renewals <= 4*leases*renewPart) // each task, a few times a lease
		time.Sleep(6 * time.Minute)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "done")
		is.Equal(len(r.records()), 4) // no lease lapsed, nothing ran twice
	})
}

// An owner without the table starts restartable tasks unrecorded. A successor
// that cannot reach the tasks' worker waits until the leases have lapsed.
func TestSuccessorWaitsForUnrecordedStarts(t *testing.T) {
	for _, recordedBefore := range []bool{false, true} {
		inBubble(t, 2, func(t *testing.T, r *rig) {
			is := is.New(t)
			first := r.ready(t)
			id := first.mustSubmit(t, r.job(4, true, 10*time.Minute))
			if recordedBefore {
				time.Sleep(2 * lazyDelay)
			}
			first.toTable.SetCut(true)
			time.Sleep(time.Second)
			hidden := r.records()[0].Worker
			if recordedBefore {
				hidden = r.moveAway(hidden) // the next attempts are not recorded
			}
			for id, c := range first.toWork {
				c.SetCut(id != hidden) // it does not find out that it is replaced
			}
			second := r.start(t.Context())
			second.toWork[hidden].SetCut(true)
			m := &machine{rig: r, idem: map[string]bool{id: true}}
			for range 60 {
				time.Sleep(5 * time.Second)
				is.NoErr(m.check())
			}
			second.toWork[hidden].SetCut(false)
			time.Sleep(time.Hour / 2)
			is.NoErr(m.check())
			is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
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
		o := r.ready(t)
		id := o.mustSubmit(t, r.job(2, false, 4*time.Minute))
		time.Sleep(time.Second)
		r.table.Set(standin.FaultSet{Down: true})
		time.Sleep(5 * time.Minute)
		ticket, err := o.Reserve(t.Context(), r.slip())
		is.NoErr(err)
		is.True(ticket.GetWorker() != "")
		r.table.Set(standin.FaultSet{})
		time.Sleep(time.Minute)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "done")
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
		first := r.ready(t)
		id := first.mustSubmit(t, r.job(8, true, 20*time.Second))
		first.freeze()
		time.Sleep(2 * time.Minute)
		second := r.start(t.Context())
		time.Sleep(5 * time.Second)
		first.thaw()
		time.Sleep(2 * time.Minute)
		m := &machine{rig: r, idem: map[string]bool{id: true}}
		is.NoErr(m.check())
		is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
		err := <-first.ended
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
		o := r.ready(t)
		const jobs = 200
		var ids []string
		for range jobs {
			id := o.mustSubmit(t, r.job(3, true, time.Hour))
			ids = append(ids, id)
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
			s := o.mustStatus(t, id)
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
		o := r.ready(t)
		id := o.mustSubmit(t, r.job(1, false, time.Hour))
		time.Sleep(time.Second)
		_, err := o.CancelJob(t.Context(), &rpc.CancelJobRequest{
			JobId: id, Credential: &rpc.Credential{KeySha256: testKeyHash()},
		})
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		s := o.mustStatus(t, id)
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
		o := r.ready(t)
		r.table.Set(standin.FaultSet{DelayMillis: 3000})
		time.Sleep(3 * time.Minute)
		id := o.mustSubmit(t, r.job(1, false, time.Second))
		time.Sleep(time.Minute)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "done")
	})
}

// When the table hangs, what was not sent to it is refused soon and truthfully.
func TestHangingTable(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.ready(t)
		r.table.Set(standin.FaultSet{Freeze: true})
		first := r.job(1, true, time.Second)
		go func() { _, _ = o.Submit(t.Context(), first) }() // its write hangs
		time.Sleep(time.Second)
		began := time.Now()
		_, err := o.Submit(t.Context(), r.job(1, true, time.Second))
		refusal, ok := rpc.RefusalFromTwirp(err)
		is.True(ok)
		is.Equal(refusal.Code, rpc.CodeTableUnreachable)
		is.True(time.Since(began) <= submitPatience+2*housekeeping)
	})
}

// Without the table, restartable work starts within the solo window and not
// after it.
func TestSoloWindow(t *testing.T) {
	for run, starts := range map[time.Duration]int{config.DefaultSoloWindow / 2: 5, 2 * config.DefaultSoloWindow: 4} {
		inBubble(t, 1, func(t *testing.T, r *rig) {
			is := is.New(t)
			o := r.ready(t)
			for range 5 { // four fit
				o.mustSubmit(t, r.job(1, true, run))
			}
			time.Sleep(time.Second)
			r.table.Set(standin.FaultSet{Down: true})
			time.Sleep(5 * time.Minute)
			is.Equal(len(r.records()), starts)
			r.table.Set(standin.FaultSet{})
			time.Sleep(5 * time.Minute)
			is.Equal(len(r.records()), 5)
		})
	}
}

// A worker may forget an ended attempt only once its end is durable: the owner
// dies before, and the successor still learns that the task is done.
func TestEndIsAcknowledgedOnceDurable(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		first := r.ready(t)
		id := first.mustSubmit(t, r.job(1, true, 5*time.Second))
		time.Sleep(time.Second)
		first.toTable.SetCut(true)
		time.Sleep(10 * time.Second)
		first.kill()
		second := r.start(t.Context())
		time.Sleep(time.Minute)
		is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
		is.Equal(len(r.records()), 1)
	})
}

// A start that the worker knows already is settled, not taken for running.
func TestDuplicateStartIsSettled(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		o := r.ready(t)
		req := r.job(1, true, time.Second)
		old := worker.Attempt{Task: model.TaskID{Job: model.JobID(req.GetJob().GetId())}, Number: 1}
		w := r.workers["w0"]
		is.NoErr(w.Start(t.Context(), worker.Start{
			Attempt: old, Fence: 1, StartBy: time.Now().Add(time.Hour).UnixNano(), Lease: time.Millisecond,
			Payload: []byte(`{"run_ms":1000}`),
		}))
		time.Sleep(time.Minute) // it lapses, and the owner acknowledges it as foreign
		id := o.mustSubmit(t, req)
		time.Sleep(time.Minute)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "done")
	})
}

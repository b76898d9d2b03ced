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

// A restarted worker has lost its attempts. Its "never seen" must not let a
// non-idempotent task run a second time.
func TestRestartedWorkerDoesNotProveNeverSeen(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		o.mustSubmit(t, r.jobRequest(1, false, time.Minute))
		time.Sleep(200 * time.Millisecond) // the worker's clock was read for this start
		r.workers["w0"].Set(standin.FaultSet{LoseReplyEvery: 1})
		id := o.mustSubmit(t, r.jobRequest(1, false, time.Minute))
		time.Sleep(200 * time.Millisecond) // started, but the reply is lost
		is.Equal(len(r.records()), 2)
		r.workers["w0"].Restart()
		r.workers["w0"].Set(standin.FaultSet{})
		time.Sleep(5 * time.Minute)
		is.Equal(len(r.records()), 2)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "unknown")
	})
}

// An idle worker gets few heartbeats, and a start on it still reaches it within the
// start window.
func TestIdleWorkerGetsFewHeartbeats(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		before := o.heartbeats.Load()
		time.Sleep(time.Minute)
		is.True(o.heartbeats.Load()-before <= int64(time.Minute/maxHeartbeatWait)+1)
		time.Sleep(maxHeartbeatWait / 2)
		ticket, err := o.Reserve(t.Context(), r.directRequest())
		is.NoErr(err)
		left := time.Duration(ticket.GetStartBy() - time.Now().UnixNano()) // w0's clock is exact
		is.True(left > config.DefaultStartWindow/2)
		id := o.mustSubmit(t, r.jobRequest(1, false, time.Second))
		time.Sleep(10 * time.Second)
		s := o.mustStatus(t, id)
		is.Equal(s.GetTasks()[0].GetAttempt(), int32(1)) // no start was refused
	})
}

// A worker with long tasks gets as few heartbeats as an idle one, and each lease is
// renewed a few times over its length, well before it expires.
func TestBusyWorkerGetsFewHeartbeatsAndKeepsLeases(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		id := o.mustSubmit(t, r.jobRequest(4, false, 10*time.Minute))
		time.Sleep(5 * time.Second)
		beats, renewals := o.heartbeats.Load(), o.renewals.Load()
		time.Sleep(5 * time.Minute)
		leases := int64(5 * time.Minute / config.DefaultLease)
		is.True(o.heartbeats.Load()-beats <= int64(5*time.Minute/maxHeartbeatWait)+1)
		is.True(o.renewals.Load()-renewals <= 4*leases*renewalDivisor) // a few renewals per task and lease
		time.Sleep(6 * time.Minute)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "done")
		is.Equal(len(r.records()), 4) // no lease expired, no task ran twice
	})
}

// An owner without the table starts restartable tasks without a record. A successor
// that cannot reach their worker must wait until the leases have expired, or the tasks
// run twice.
func TestSuccessorWaitsForUnrecordedStarts(t *testing.T) {
	for _, recordedBefore := range []bool{false, true} {
		withTestCell(t, 2, func(t *testing.T, r *testCell) {
			is := is.New(t)
			first := r.startReady(t)
			id := first.mustSubmit(t, r.jobRequest(4, true, 10*time.Minute))
			if recordedBefore {
				time.Sleep(2 * lazyDelay)
			}
			first.toTable.SetCut(true)
			time.Sleep(time.Second)
			hidden := r.records()[0].Worker
			if recordedBefore {
				hidden = r.moveTasksFrom(hidden) // the next attempts are not recorded
			}
			for id, c := range first.toWorkers {
				c.SetCut(id != hidden) // the first owner does not detect that it is replaced
			}
			second := r.startOwner(t.Context())
			second.toWorkers[hidden].SetCut(true)
			m := &scheduleRun{testCell: r, idempotent: map[string]bool{id: true}}
			for range 60 {
				time.Sleep(5 * time.Second)
				is.NoErr(m.check())
			}
			second.toWorkers[hidden].SetCut(false)
			time.Sleep(time.Hour / 2)
			is.NoErr(m.check())
			is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
		})
	}
}

// moveTasksFrom ends the tasks on a worker, so that they start again on the other
// worker, whose name it returns.
func (r *testCell) moveTasksFrom(from string) string {
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

// While the platform is down, the leases of running tasks are renewed and direct
// requests are served. Afterwards the ends are journaled.
func TestLongPlatformOutage(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		id := o.mustSubmit(t, r.jobRequest(2, false, 4*time.Minute))
		time.Sleep(time.Second)
		r.table.Set(standin.FaultSet{Down: true})
		time.Sleep(5 * time.Minute)
		ticket, err := o.Reserve(t.Context(), r.directRequest())
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

// A frozen owner that resumes after its successor has restarted the task can neither
// start, stop nor renew anything.
func TestFrozenOwnerResumesAfterTakeover(t *testing.T) {
	withTestCell(t, 2, func(t *testing.T, r *testCell) {
		is := is.New(t)
		first := r.startReady(t)
		id := first.mustSubmit(t, r.jobRequest(8, true, 20*time.Second))
		first.freeze()
		time.Sleep(2 * time.Minute)
		second := r.startOwner(t.Context())
		time.Sleep(5 * time.Second)
		first.thaw()
		time.Sleep(2 * time.Minute)
		m := &scheduleRun{testCell: r, idempotent: map[string]bool{id: true}}
		is.NoErr(m.check())
		is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
		err := <-first.ended
		is.True(errors.Is(err, ErrLost))
		first.ended <- err
	})
}

// Run fails for a shard whose journal is damaged.
func TestDamagedJournalIsNotOwned(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		_, err := r.table.Apply(t.Context(), []platform.Write{{Key: journal.RowKey(testShard, 1), Value: []byte("not a record")}})
		is.NoErr(err)
		o := r.startOwner(t.Context())
		err = <-o.ended
		is.True(errors.Is(err, journal.ErrUnknownFormat))
		o.ended <- err
	})
}

// Many concurrent cancellations stop all pending and running tasks.
func TestCancelWave(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		const jobs = 200
		var ids []string
		for range jobs {
			id := o.mustSubmit(t, r.jobRequest(3, true, time.Hour))
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

// A non-idempotent job that is cancelled while it runs must not end as "unknown": it
// was started, and stopped as requested.
func TestCancelRunningNonIdempotentJob(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		id := o.mustSubmit(t, r.jobRequest(1, false, time.Hour))
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

// A table with calls of 3 s is slow, not down: jobs are accepted, and they start even
// after the solo window.
func TestSlowTable(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		r.table.Set(standin.FaultSet{DelayMillis: 3000})
		time.Sleep(3 * time.Minute)
		id := o.mustSubmit(t, r.jobRequest(1, false, time.Second))
		time.Sleep(time.Minute)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "done")
	})
}

// If the table hangs, submissions that were not sent to it are refused in time.
func TestHangingTable(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		r.table.Set(standin.FaultSet{Freeze: true})
		first := r.jobRequest(1, true, time.Second)
		go func() { _, _ = o.Submit(t.Context(), first) }() // the write of this job hangs
		time.Sleep(time.Second)
		began := time.Now()
		_, err := o.Submit(t.Context(), r.jobRequest(1, true, time.Second))
		refusal, ok := rpc.RefusalFromTwirp(err)
		is.True(ok)
		is.Equal(refusal.Code, rpc.CodeTableUnreachable)
		is.True(time.Since(began) <= maxSubmitQueueTime+2*housekeepingInterval)
	})
}

// Without the table, restartable tasks start within the solo window and not after it.
func TestSoloWindow(t *testing.T) {
	for run, starts := range map[time.Duration]int{config.DefaultSoloWindow / 2: 5, 2 * config.DefaultSoloWindow: 4} {
		withTestCell(t, 1, func(t *testing.T, r *testCell) {
			is := is.New(t)
			o := r.startReady(t)
			for range 5 { // four fit
				o.mustSubmit(t, r.jobRequest(1, true, run))
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

// A worker may discard an ended attempt only once its end is durable: if the owner
// dies before, the successor must still learn that the task is done.
func TestEndIsAcknowledgedOnceDurable(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		first := r.startReady(t)
		id := first.mustSubmit(t, r.jobRequest(1, true, 5*time.Second))
		time.Sleep(time.Second)
		first.toTable.SetCut(true)
		time.Sleep(10 * time.Second)
		first.kill()
		second := r.startOwner(t.Context())
		time.Sleep(time.Minute)
		is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
		is.Equal(len(r.records()), 1)
	})
}

// A start of an attempt that the worker already knows must be settled, not counted as
// running.
func TestDuplicateStartIsSettled(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		req := r.jobRequest(1, true, time.Second)
		old := worker.Attempt{Task: model.TaskID{Job: model.JobID(req.GetJob().GetId())}, Number: 1}
		w := r.workers["w0"]
		is.NoErr(w.Start(t.Context(), worker.Start{
			Attempt: old, Fence: 1, StartBy: time.Now().Add(time.Hour).UnixNano(), Lease: time.Millisecond,
			Payload: []byte(`{"run_ms":1000}`),
		}))
		time.Sleep(time.Minute) // its lease expires, and the owner acknowledges the unknown attempt
		id := o.mustSubmit(t, req)
		time.Sleep(time.Minute)
		is.Equal(o.mustStatus(t, id).GetOutcome(), "done")
	})
}

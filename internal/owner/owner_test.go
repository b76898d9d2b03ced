package owner

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
)

func TestJobRunsToItsEnd(t *testing.T) {
	withTestCell(t, 2, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		req := r.jobRequest(3, false, 10*time.Second)
		id := o.mustSubmit(t, req)
		time.Sleep(time.Minute)
		s := o.mustStatus(t, id)
		is.Equal(s.GetState(), "ended")
		is.Equal(s.GetOutcome(), "done")
		is.Equal(len(r.records()), 3)
	})
}

func TestRepeatedSubmissionReturnsFirstJob(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		first := r.jobRequest(1, true, time.Second)
		first.IdempotencyKey = "bottling of 4 December"
		a, err := o.Submit(t.Context(), first)
		is.NoErr(err)
		again := r.jobRequest(1, true, time.Second)
		again.IdempotencyKey = first.GetIdempotencyKey()
		b, err := o.Submit(t.Context(), again)
		is.NoErr(err)
		is.Equal(b.GetJobId(), a.GetJobId())
		is.True(b.GetRepeated())
	})
}

// If every second reply of the table is lost, each job is still accepted and runs
// once.
func TestLostTableReplies(t *testing.T) {
	withTestCell(t, 2, func(t *testing.T, r *testCell) {
		is := is.New(t)
		r.table.Set(standin.FaultSet{LoseReplyEvery: 2})
		o := r.startOwner(t.Context())
		time.Sleep(5 * time.Second)
		for range 10 {
			o.mustSubmit(t, r.jobRequest(1, false, time.Second))
		}
		time.Sleep(time.Minute)
		is.Equal(len(r.records()), 10)
	})
}

func TestSubmitIsRefusedWithoutTheTable(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		r.table.Set(standin.FaultSet{Down: true})
		_, err := o.Submit(t.Context(), r.jobRequest(1, true, time.Second))
		refusal, ok := rpc.RefusalFromTwirp(err)
		is.True(ok) // proves that the job was not accepted
		is.Equal(refusal.Code, rpc.CodeTableUnreachable)
		is.True(refusal.RetryAfter > 0)
		r.table.Set(standin.FaultSet{})
		time.Sleep(10 * time.Second)
		o.mustSubmit(t, r.jobRequest(1, true, time.Second))
	})
}

// The successor of a killed owner lets running tasks continue and starts the rest.
func TestTakeoverAfterKill(t *testing.T) {
	withTestCell(t, 2, func(t *testing.T, r *testCell) {
		is := is.New(t)
		first := r.startReady(t)
		var ids []string
		for i := range 12 {
			id := first.mustSubmit(t, r.jobRequest(1, i%2 == 0, 20*time.Second))
			ids = append(ids, id)
		}
		time.Sleep(time.Second)
		first.kill()
		second := r.startOwner(t.Context())
		time.Sleep(2 * time.Second)
		is.True(second.Digest().GetReady())
		time.Sleep(2 * time.Minute)
		for _, id := range ids {
			is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
		}
		is.Equal(len(r.records()), 12) // each task ran once
	})
}

// The first owner stops after a successor has raised the fence on the same workers.
func TestReplacedOwnerStops(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		first := r.startReady(t)
		r.startOwner(t.Context())
		time.Sleep(3 * time.Second)
		select {
		case err := <-first.ended:
			is.True(errors.Is(err, ErrLost))
			first.ended <- err
		default:
			t.Fatal("the first owner still runs")
		}
	})
}

func TestHandOverReleasesTheShard(t *testing.T) {
	withTestCell(t, 2, func(t *testing.T, r *testCell) {
		is := is.New(t)
		first := r.startReady(t)
		id := first.mustSubmit(t, r.jobRequest(1, true, 10*time.Second))
		time.Sleep(time.Second)
		first.stop()
		err := <-first.ended
		is.NoErr(err)
		first.ended <- err
		row, err := ReadOwnership(t.Context(), r.table, testShard)
		is.NoErr(err)
		is.True(row.Released)
		second := r.startOwner(t.Context())
		time.Sleep(time.Minute)
		is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
		is.Equal(len(r.records()), 1)
	})
}

func TestDirectRequestTakesCapacityUntilRelease(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		ticket, err := o.Reserve(t.Context(), r.directRequest())
		is.NoErr(err)
		is.Equal(o.used(), int64(1000))
		_, err = o.Release(t.Context(), &rpc.ReleaseRequest{Task: ticket.GetTask(), Attempt: ticket.GetAttempt(), End: "done"})
		is.NoErr(err)
		is.Equal(o.used(), int64(0))
	})
}

// A ticket whose door dies without using it frees its capacity soon.
func TestUnusedTicketExpires(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		o := r.startReady(t)
		_, err := o.Reserve(t.Context(), r.directRequest())
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.Equal(o.used(), int64(0))
	})
}

func (o *testOwner) used() int64 {
	time.Sleep(2 * housekeepingInterval)
	synctest.Wait()
	return o.Digest().GetUsed().GetMilliCores()
}

func (r *testCell) directRequest() *rpc.ReserveRequest {
	j := r.jobRequest(1, false, time.Second).GetJob()
	j.Queue = "slips"
	return &rpc.ReserveRequest{
		Shard: testShard, Job: j, Attempt: 1, WaitNs: int64(5 * time.Second),
		Credential: &rpc.Credential{KeySha256: testKeyHash()},
	}
}

func (r *testCell) records() []standin.AttemptRecord {
	var all []standin.AttemptRecord
	for _, w := range r.workers {
		all = append(all, w.AttemptRecords()...)
	}
	return all
}

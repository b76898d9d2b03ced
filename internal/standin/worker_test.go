package standin_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

func newWorker() *standin.Worker {
	return standin.NewWorker(model.WorkerSpec{
		ID: "w1", AZ: "keller", Rack: "r1",
		Capacity:    model.Resources{MilliCores: 4000, MemoryMB: 4096, Slots: 2},
		Connections: 1,
	}, standin.Options{ClockOffset: time.Hour})
}

func start(w *standin.Worker, f worker.Fence, job, payload string) (worker.Start, error) {
	inv, err := w.RaiseFence(context.Background(), f)
	s := worker.Start{
		Attempt:   worker.Attempt{Task: model.TaskID{Job: model.JobID(job)}, Number: 1},
		Fence:     f,
		StartBy:   inv.Clock + int64(2*time.Second),
		Lease:     30 * time.Second,
		Resources: model.Resources{MilliCores: 1000, MemoryMB: 1024, Slots: 1},
		Payload:   []byte(payload),
	}
	return s, err
}

func TestWorkerRefusals(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name    string
		prepare func(*standin.Worker, *worker.Start)
		want    error
	}{
		{"fits", func(*standin.Worker, *worker.Start) {}, nil},
		{"lower fence", func(_ *standin.Worker, s *worker.Start) { s.Fence = 1 }, worker.ErrFenced},
		{"start window passed", func(*standin.Worker, *worker.Start) { time.Sleep(3 * time.Second) }, worker.ErrWindowPassed},
		{"capacity", func(_ *standin.Worker, s *worker.Start) { s.Resources.Slots = 3 }, worker.ErrInsufficientCapacity},
		{"leaving", func(w *standin.Worker, _ *worker.Start) { w.SetLeaving(true) }, worker.ErrLeaving},
		{"down", func(w *standin.Worker, _ *worker.Start) {
			w.Set(standin.FaultSet{Down: true})
		}, worker.ErrUnreachable},
		{"duplicate", func(w *standin.Worker, s *worker.Start) { _ = w.Start(ctx, *s) }, worker.ErrDuplicate},
		{"voided", func(w *standin.Worker, s *worker.Start) { _, _ = w.Settle(ctx, s.Fence, s.Attempt) }, worker.ErrVoided},
		{"restarted", func(w *standin.Worker, _ *worker.Start) { w.Restart() }, worker.ErrFenced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorker()
				s, err := start(w, 2, "a", `{"run_ms":1000}`)
				is.NoErr(err)
				tt.prepare(w, &s)
				is.True(errors.Is(w.Start(ctx, s), tt.want))
			})
		})
	}
}

func TestWorkerLeasesAndReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		w := newWorker()
		short, err := start(w, 2, "short", `{"run_ms":1000}`)
		is.NoErr(err)
		is.NoErr(w.Start(ctx, short))
		long, err := start(w, 2, "long", `{"run_ms":600000}`)
		is.NoErr(err)
		is.NoErr(w.Start(ctx, long))

		startedAt := time.Now()
		heartbeat := worker.Heartbeat{Fence: 2, Lease: 30 * time.Second, Wait: 10 * time.Second, Renew: []worker.Attempt{long.Attempt}}
		reply, err := w.Heartbeat(ctx, heartbeat)
		is.NoErr(err)
		is.Equal(time.Since(startedAt), time.Second) // the end of "short" ends the long poll
		is.Equal(len(reply.Changed), 1)
		is.Equal(reply.Changed[0].State, worker.TaskDone)

		heartbeat.Ack = []worker.Attempt{short.Attempt}
		reply, err = w.Heartbeat(ctx, heartbeat)
		is.NoErr(err)
		is.Equal(time.Since(startedAt), 11*time.Second) // no attempt ended: the heartbeat waits until its deadline
		is.Equal(len(reply.Changed), 1)                 // the report of "long", whose usage is known now
		is.Equal(reply.Changed[0].Usage, long.Resources)

		time.Sleep(time.Minute) // the lease of "long" expires
		report, err := w.Settle(ctx, 2, long.Attempt)
		is.NoErr(err)
		is.Equal(report.State, worker.TaskLeaseExpired)
		is.Equal(report.Ran, 31*time.Second)
		is.Equal(w.AttemptRecords()[1].End, startedAt.Add(31*time.Second))
	})
}

func TestWorkerRunUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.FaultSet
		runErr  error // error of Run
		readErr error // error of reading the answer's body
	}{
		{"healthy", standin.FaultSet{}, nil, nil},
		{"lost", standin.FaultSet{LoseReplyEvery: 1}, worker.ErrAmbiguous, nil},
		{"foreign answer", standin.FaultSet{MisaddressEvery: 1}, worker.ErrForeignAnswer, nil},
		{"truncated", standin.FaultSet{TruncateEvery: 1}, nil, worker.ErrTruncated},
		{"frozen", standin.FaultSet{Freeze: true}, worker.ErrAmbiguous, nil},
		{"down", standin.FaultSet{Down: true}, worker.ErrUnreachable, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				w := newWorker()
				s, err := start(w, 1, "direct", "")
				is.NoErr(err)
				w.Set(tt.faults)
				answer, err := w.Run(ctx, s, strings.NewReader("a proof of twenty by"))
				is.True(errors.Is(err, tt.runErr))
				if err != nil {
					return
				}
				body, err := io.ReadAll(answer.Body)
				is.True(errors.Is(err, tt.readErr))
				is.True(tt.readErr != nil || string(body) == "a proof of twenty by")
			})
		})
	}
}

func TestThrottleAndRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		w := newWorker()
		s, err := start(w, 1, "batch", `{"run_ms":20000}`)
		is.NoErr(err)
		is.NoErr(w.Start(ctx, s))
		is.NoErr(w.Throttle(ctx, 1, s.Attempt, 50))
		time.Sleep(20 * time.Second)
		name, err := w.Checkpoint(ctx, 1, s.Attempt) // half of the work is done
		is.NoErr(err)
		is.NoErr(w.Stop(ctx, 1, s.Attempt))

		restored, err := start(w, 1, "batch", `{"run_ms":20000}`)
		is.NoErr(err)
		restored.Attempt.Number = 2
		restored.Restore = name
		is.NoErr(w.Start(ctx, restored))
		time.Sleep(10 * time.Second)
		record := w.AttemptRecords()
		is.Equal(record[0].State, worker.TaskStopped)
		is.Equal(record[1].State, worker.TaskDone)
	})
}

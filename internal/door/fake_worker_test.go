package door

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// fault is the behaviour of a fake worker for one attempt.
type fault int

const (
	faultNone fault = iota
	faultUnreachable
	faultNoCapacity
	faultStartLost  // the start never arrives
	faultAnswerLost // the task runs; the answer is lost
	faultRunsOn     // the answer is lost and the task runs past the caller's deadline
	faultCrossed    // the answer of another attempt arrives
	faultCut        // the answer breaks off
	faultLong       // the answer is longer than declared
	faultFails      // the task reports an error of its own
	faultDies       // the task continues, and the worker becomes unreachable
	faultRestarts   // the task runs; then the worker restarts and no longer knows it
	faultTwice      // the start arrives twice
	faultLate       // the answer comes after the deadline
	faultCount
)

// run is one run of a task as recorded by the worker.
type run struct {
	attempt    worker.Attempt
	body       string
	began, end time.Time
}

// fakeWorker checks starts like a real worker and injects faults.
type fakeWorker struct {
	id      string
	plan    func(worker.Attempt) fault
	runTime time.Duration // of each run

	mu     sync.Mutex
	fence  worker.Fence
	boot   int
	dead   bool
	cutAt  int
	size   int // of answers; zero: short ones
	states map[worker.Attempt]worker.TaskState
	stops  map[worker.Attempt]chan struct{}
	runs   []*run
}

func newFakeWorker(id string, plan func(worker.Attempt) fault) *fakeWorker {
	return &fakeWorker{
		id: id, plan: plan, runTime: time.Millisecond,
		states: make(map[worker.Attempt]worker.TaskState),
		stops:  make(map[worker.Attempt]chan struct{}),
	}
}

// answerTo returns the complete answer to a body.
func (w *fakeWorker) answerTo(a worker.Attempt, body string) []byte {
	text := fmt.Sprintf("%s#%d of %q", a.Task, a.Number, body)
	return append([]byte(text), bytes.Repeat([]byte("."), w.size)...)
}

func (w *fakeWorker) bootName() string { return fmt.Sprintf("boot-%d", w.boot) }

// admit checks a start as a worker does and records the run.
func (w *fakeWorker) admit(s worker.Start, body string) (*run, chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.dead:
		return nil, nil, worker.ErrUnreachable
	case s.Fence < w.fence:
		return nil, nil, worker.ErrFenced
	case w.states[s.Attempt] == worker.TaskNeverSeen:
		return nil, nil, worker.ErrVoided
	case w.states[s.Attempt] != "":
		return nil, nil, worker.ErrDuplicate
	}
	w.fence = s.Fence
	w.states[s.Attempt] = worker.TaskRunning
	r := &run{attempt: s.Attempt, body: body, began: time.Now()}
	w.runs = append(w.runs, r)
	w.stops[s.Attempt] = make(chan struct{})
	return r, w.stops[s.Attempt], nil
}

func (w *fakeWorker) finish(r *run, s worker.TaskState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.states[r.attempt] == worker.TaskRunning {
		w.states[r.attempt] = s
		r.end = time.Now()
	}
}

// execute runs a task until it ends or is stopped.
func (w *fakeWorker) execute(r *run, stop <-chan struct{}, took time.Duration, s worker.TaskState) {
	select {
	case <-time.After(took):
		w.finish(r, s)
	case <-stop:
		w.finish(r, worker.TaskStopped)
	}
}

func (w *fakeWorker) Run(ctx context.Context, s worker.Start, in io.Reader) (*worker.Answer, error) {
	f := w.plan(s.Attempt)
	switch f {
	case faultUnreachable:
		return nil, worker.ErrUnreachable
	case faultNoCapacity:
		return nil, worker.ErrInsufficientCapacity
	case faultStartLost:
		return nil, worker.ErrAmbiguous
	}
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, worker.ErrAmbiguous
	}
	r, stop, err := w.admit(s, string(data))
	if err != nil {
		return nil, err
	}
	return w.runWithFault(ctx, f, r, stop)
}

func (w *fakeWorker) runWithFault(ctx context.Context, f fault, r *run, stop chan struct{}) (*worker.Answer, error) {
	whole := w.answerTo(r.attempt, r.body)
	answer := &worker.Answer{Attempt: r.attempt, Length: int64(len(whole))}
	state := worker.TaskDone
	switch f {
	case faultRunsOn, faultLate:
		go w.execute(r, stop, time.Minute, worker.TaskDone)
		if f == faultLate {
			<-ctx.Done()
		}
		return nil, worker.ErrAmbiguous
	case faultFails:
		answer.Failed, state = true, worker.TaskFailed
	}
	if f == faultDies {
		w.set(func() { w.dead = true })
		go w.execute(r, stop, time.Minute, state)
		return nil, worker.ErrAmbiguous
	}
	w.execute(r, stop, w.runTime, state)
	switch f {
	case faultAnswerLost:
		return nil, worker.ErrAmbiguous
	case faultTwice:
		return nil, worker.ErrDuplicate
	case faultRestarts:
		w.restart()
		return nil, worker.ErrAmbiguous
	case faultCrossed:
		answer.Attempt.Task.Job = model.JobID("another")
		whole = w.answerTo(answer.Attempt, "another body")
		answer.Length = int64(len(whole))
	case faultCut:
		whole = whole[:w.cutAt%len(whole)]
	case faultLong:
		whole = append(whole, "more"...)
	}
	answer.Body = io.NopCloser(bytes.NewReader(whole))
	return answer, nil
}

func (w *fakeWorker) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// restart ends all runs and clears the worker's state.
func (w *fakeWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.end.IsZero() {
			r.end = time.Now()
			close(w.stops[r.attempt])
		}
	}
	w.boot++
	clear(w.states)
	clear(w.stops)
}

func (w *fakeWorker) Settle(_ context.Context, f worker.Fence, a worker.Attempt) (worker.TaskReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return worker.TaskReport{}, worker.ErrUnreachable
	}
	if f < w.fence {
		return worker.TaskReport{}, worker.ErrFenced
	}
	if w.states[a] == "" {
		w.states[a] = worker.TaskNeverSeen
	}
	return worker.TaskReport{Attempt: a, State: w.states[a], Boot: w.bootName()}, nil
}

func (w *fakeWorker) Stop(_ context.Context, f worker.Fence, a worker.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return worker.ErrUnreachable
	}
	if stop, ok := w.stops[a]; ok && w.states[a] == worker.TaskRunning && f >= w.fence {
		close(stop)
		delete(w.stops, a)
	}
	return nil
}

func (w *fakeWorker) Heartbeat(context.Context, worker.Heartbeat) (worker.HeartbeatReply, error) {
	return worker.HeartbeatReply{}, worker.ErrUnreachable
}

func (w *fakeWorker) RaiseFence(context.Context, worker.Fence) (worker.Inventory, error) {
	return worker.Inventory{}, worker.ErrUnreachable
}
func (w *fakeWorker) Start(context.Context, worker.Start) error { return worker.ErrUnreachable }
func (w *fakeWorker) Checkpoint(context.Context, worker.Fence, worker.Attempt) (string, error) {
	return "", worker.ErrUnreachable
}
func (w *fakeWorker) Throttle(context.Context, worker.Fence, worker.Attempt, int) error {
	return worker.ErrUnreachable
}

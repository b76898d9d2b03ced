package standin

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"cuminloft/internal/worker"
)

var _ worker.Client = (*Worker)(nil)

// RaiseFence implements worker.Client.
func (w *Worker) RaiseFence(ctx context.Context, f worker.Fence) (worker.Inventory, error) {
	var inv worker.Inventory
	err := w.do(ctx, func(now time.Time) error {
		if err := w.obey(f); err != nil {
			return err
		}
		w.fenced = true
		inv = w.inventory(now)
		return nil
	})
	return inv, err
}

// Start implements worker.Client.
func (w *Worker) Start(ctx context.Context, s worker.Start) error {
	return w.do(ctx, func(now time.Time) error {
		_, err := w.admitStart(s, s.Payload, now)
		return err
	})
}

// Run implements worker.Client.
func (w *Worker) Run(ctx context.Context, s worker.Start, body io.Reader) (*worker.Answer, error) {
	a, err := w.Execute(ctx, s, body)
	if err != nil {
		return nil, err
	}
	return worker.CheckAnswer(a, s.Attempt)
}

// Execute runs a direct request and returns the answer as a faulty worker would
// send it, unchecked: crossed or cut short.
func (w *Worker) Execute(ctx context.Context, s worker.Start, body io.Reader) (*worker.Answer, error) {
	s.Direct = true
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, fmt.Errorf("worker %s: reading the body: %w: %w", w.spec.ID, worker.ErrUnreachable, err)
	}
	c, up, err := w.admit(ctx)
	if err != nil {
		return nil, w.answerLost(err)
	}
	if !up {
		return nil, w.unreachable()
	}
	w.mu.Lock()
	a, err := w.admitStart(s, data, time.Now())
	w.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if c.lose {
		return nil, w.answerLost(io.ErrUnexpectedEOF)
	}
	if err := w.wait(ctx, a); err != nil {
		return nil, w.answerLost(err)
	}
	if err := w.answer(ctx); err != nil {
		return nil, w.answerLost(err)
	}
	return w.compose(a, c)
}

// compose makes the answer of an ended attempt.
func (w *Worker) compose(a *attempt, c call) (*worker.Answer, error) {
	if a.state != worker.TaskDone && a.state != worker.TaskFailed {
		return nil, w.answerLost(fmt.Errorf("attempt was %s", a.state))
	}
	data := a.work.Answer
	answer := &worker.Answer{
		Attempt: a.start.Attempt,
		Failed:  a.state == worker.TaskFailed,
		Length:  int64(len(data)),
	}
	if c.cross {
		answer.Attempt.Task.Job = "0" + answer.Attempt.Task.Job
	}
	if c.truncate {
		data = data[:len(data)/2]
	}
	answer.Body = io.NopCloser(bytes.NewReader(data))
	return answer, nil
}

// wait returns when the attempt has ended.
func (w *Worker) wait(ctx context.Context, a *attempt) error {
	for {
		w.mu.Lock()
		w.advance(time.Now())
		ended := a.state.Ended()
		next := a.next()
		wake := w.wake
		w.mu.Unlock()
		if ended {
			return nil
		}
		if err := until(ctx, wake, next); err != nil {
			return err
		}
	}
}

// Heartbeat implements worker.Client.
func (w *Worker) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.HeartbeatReply, error) {
	err := w.do(ctx, func(now time.Time) error {
		if err := w.obey(h.Fence); err != nil {
			return err
		}
		w.renew(h, now)
		return nil
	})
	if err != nil {
		return worker.HeartbeatReply{}, err
	}
	return w.poll(ctx, time.Now().Add(h.Wait), h.Fence)
}

// renew extends leases and forgets what is acknowledged.
func (w *Worker) renew(h worker.Heartbeat, now time.Time) {
	for _, id := range h.Renew {
		if a := w.running[id]; a != nil {
			a.lease = now.Add(h.Lease)
		}
	}
	for _, id := range h.Ack {
		delete(w.unacked, id)
	}
}

// poll waits until an ended attempt is not acknowledged, or until deadline.
func (w *Worker) poll(ctx context.Context, deadline time.Time, f worker.Fence) (worker.HeartbeatReply, error) {
	leaving := w.isLeaving()
	for {
		now := time.Now()
		w.mu.Lock()
		w.advance(now)
		if f < w.fence {
			w.mu.Unlock()
			return worker.HeartbeatReply{}, w.fencedOut(f)
		}
		if len(w.unacked) > 0 || w.leaving != leaving || !now.Before(deadline) {
			reply := w.changes(now)
			w.mu.Unlock()
			return reply, w.delayed(ctx)
		}
		next, wake := w.nextEnd(deadline), w.wake
		w.mu.Unlock()
		if err := until(ctx, wake, next); err != nil {
			return worker.HeartbeatReply{}, w.answerLost(err)
		}
	}
}

func (w *Worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

func (w *Worker) fencedOut(f worker.Fence) error {
	return fmt.Errorf("fence %d, worker %s has seen a higher one: %w", f, w.spec.ID, worker.ErrFenced)
}

// delayed holds an answer back as the faults demand.
func (w *Worker) delayed(ctx context.Context) error {
	if err := w.answer(ctx); err != nil {
		return w.answerLost(err)
	}
	return nil
}

// changes returns the ended attempts that are not acknowledged and the running
// ones whose usage changed.
func (w *Worker) changes(now time.Time) worker.HeartbeatReply {
	reply := worker.HeartbeatReply{Clock: w.clock(now), Boot: w.boot(), Leaving: w.leaving}
	for _, a := range inOrder(w.unacked) {
		reply.Changed = append(reply.Changed, a.report(now, w.options.UsageLag))
	}
	for _, a := range inOrder(w.running) {
		r := a.report(now, w.options.UsageLag)
		if r.Usage != a.reported.Usage || r.Saved != a.reported.Saved {
			a.reported = r
			reply.Changed = append(reply.Changed, r)
		}
	}
	return reply
}

// nextEnd returns when the first running attempt ends, or deadline.
func (w *Worker) nextEnd(deadline time.Time) time.Time {
	next := deadline
	for _, a := range w.running {
		if n := a.next(); n.Before(next) {
			next = n
		}
	}
	return next
}

// Settle implements worker.Client.
func (w *Worker) Settle(ctx context.Context, f worker.Fence, id worker.Attempt) (worker.TaskReport, error) {
	var report worker.TaskReport
	err := w.do(ctx, func(now time.Time) error {
		if err := w.obey(f); err != nil {
			return err
		}
		a := w.attempts[id]
		if a == nil {
			w.voided[id] = true
			report = worker.TaskReport{Attempt: id, State: worker.TaskNeverSeen, Boot: w.boot()}
			return nil
		}
		report = a.report(now, w.options.UsageLag)
		report.Boot = w.boot()
		return nil
	})
	return report, err
}

// Stop implements worker.Client.
func (w *Worker) Stop(ctx context.Context, f worker.Fence, id worker.Attempt) error {
	return w.command(ctx, f, id, func(a *attempt, now time.Time) {
		a.end(worker.TaskStopped, now)
		w.retire(id, a)
		w.signal()
	})
}

// Checkpoint implements worker.Client.
func (w *Worker) Checkpoint(ctx context.Context, f worker.Fence, id worker.Attempt) (string, error) {
	var name string
	err := w.command(ctx, f, id, func(a *attempt, now time.Time) {
		saved := a.work.RunTime - a.remaining(now)
		a.saved = fmt.Sprintf("%s@%s", id.Task, saved)
		name = a.saved
	})
	return name, err
}

// Throttle implements worker.Client.
func (w *Worker) Throttle(ctx context.Context, f worker.Fence, id worker.Attempt, percent int) error {
	return w.command(ctx, f, id, func(a *attempt, now time.Time) {
		a.setSpeed(now, min(max(percent, 1), 100))
		w.signal()
	})
}

// command applies change to a running attempt. An attempt that has ended is
// left as it is.
func (w *Worker) command(ctx context.Context, f worker.Fence, id worker.Attempt, change func(*attempt, time.Time)) error {
	return w.do(ctx, func(now time.Time) error {
		if err := w.obey(f); err != nil {
			return err
		}
		if w.attempts[id] == nil {
			return fmt.Errorf("attempt %s number %d: %w", id.Task, id.Number, worker.ErrUnknownTask)
		}
		if a := w.running[id]; a != nil {
			change(a, now)
		}
		return nil
	})
}

// do runs one command under the faults in force.
func (w *Worker) do(ctx context.Context, op func(now time.Time) error) error {
	c, up, err := w.admit(ctx)
	if err != nil {
		return w.answerLost(err)
	}
	if !up {
		return w.unreachable()
	}
	w.mu.Lock()
	now := time.Now()
	w.advance(now)
	err = op(now)
	w.mu.Unlock()
	if err != nil {
		return err
	}
	if err := w.answer(ctx); err != nil {
		return w.answerLost(err)
	}
	if c.lose {
		return w.answerLost(io.ErrUnexpectedEOF)
	}
	return nil
}

// inventory returns everything the worker says of itself.
func (w *Worker) inventory(now time.Time) worker.Inventory {
	inv := worker.Inventory{
		Worker:   w.spec.ID,
		Clock:    w.clock(now),
		Boot:     w.boot(),
		Fence:    w.fence,
		Leaving:  w.leaving,
		Capacity: w.spec.Capacity,
	}
	for _, a := range inOrder(w.running) {
		inv.Tasks = append(inv.Tasks, a.report(now, w.options.UsageLag))
	}
	for _, a := range inOrder(w.unacked) {
		inv.Tasks = append(inv.Tasks, a.report(now, w.options.UsageLag))
	}
	return inv
}

// inOrder returns attempts in order of task and number, so that equal runs give
// equal reports.
func inOrder(set map[worker.Attempt]*attempt) []*attempt {
	attempts := slices.Collect(maps.Values(set))
	slices.SortFunc(attempts, func(a, b *attempt) int {
		x, y := a.start.Attempt, b.start.Attempt
		return cmp.Or(
			cmp.Compare(x.Task.Job, y.Task.Job),
			cmp.Compare(x.Task.Index, y.Task.Index),
			cmp.Compare(x.Number, y.Number),
		)
	})
	return attempts
}

func (w *Worker) unreachable() error {
	return fmt.Errorf("worker %s is down: %w", w.spec.ID, worker.ErrUnreachable)
}

func (w *Worker) answerLost(cause error) error {
	return fmt.Errorf("worker %s: %w: %w", w.spec.ID, worker.ErrAmbiguous, cause)
}

// progress returns the work that a checkpoint holds.
func progress(checkpoint string) time.Duration {
	_, saved, _ := strings.Cut(checkpoint, "@")
	d, err := time.ParseDuration(saved)
	if err != nil {
		return 0
	}
	return d
}

// until returns at t, when wake is closed, or with the context's error.
func until(ctx context.Context, wake <-chan struct{}, t time.Time) error {
	left := time.Until(t)
	if left <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

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
	err := w.withFaults(ctx, func(now time.Time) error {
		if err := w.acceptFence(f); err != nil {
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
	return w.withFaults(ctx, func(now time.Time) error {
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

// Execute runs a direct request and returns the answer as a faulty worker would send
// it, without checking whether it names another attempt or is truncated.
func (w *Worker) Execute(ctx context.Context, s worker.Start, body io.Reader) (*worker.Answer, error) {
	s.Direct = true
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, fmt.Errorf("worker %s: read the request body: %w: %w", w.spec.ID, worker.ErrUnreachable, err)
	}
	c, up, err := w.beginCall(ctx)
	if err != nil {
		return nil, w.ambiguousError(err)
	}
	if !up {
		return nil, w.unreachableError()
	}
	w.mu.Lock()
	a, err := w.admitStart(s, data, time.Now())
	w.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if c.loseReply {
		return nil, w.ambiguousError(io.ErrUnexpectedEOF)
	}
	if err := w.awaitEnd(ctx, a); err != nil {
		return nil, w.ambiguousError(err)
	}
	if err := w.delayReply(ctx); err != nil {
		return nil, w.ambiguousError(err)
	}
	return w.newAnswer(a, c)
}

// newAnswer returns the answer of an ended attempt, altered by the faults of its call.
func (w *Worker) newAnswer(a *attempt, c callFaults) (*worker.Answer, error) {
	if a.state != worker.TaskDone && a.state != worker.TaskFailed {
		return nil, w.ambiguousError(fmt.Errorf("attempt ended as %s", a.state))
	}
	data := a.behaviour.Answer
	answer := &worker.Answer{
		Attempt: a.start.Attempt,
		Failed:  a.state == worker.TaskFailed,
		Length:  int64(len(data)),
	}
	if c.misaddress {
		answer.Attempt.Task.Job = "0" + answer.Attempt.Task.Job
	}
	if c.truncate {
		data = data[:len(data)/2]
	}
	answer.Body = io.NopCloser(bytes.NewReader(data))
	return answer, nil
}

// awaitEnd blocks until the attempt has ended.
func (w *Worker) awaitEnd(ctx context.Context, a *attempt) error {
	for {
		w.mu.Lock()
		w.endDueAttempts(time.Now())
		ended := a.state.Ended()
		next := a.endTime()
		wake := w.wake
		w.mu.Unlock()
		if ended {
			return nil
		}
		if err := waitUntil(ctx, wake, next); err != nil {
			return err
		}
	}
}

// Heartbeat implements worker.Client.
func (w *Worker) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.HeartbeatReply, error) {
	err := w.withFaults(ctx, func(now time.Time) error {
		if err := w.acceptFence(h.Fence); err != nil {
			return err
		}
		w.renew(h, now)
		return nil
	})
	if err != nil {
		return worker.HeartbeatReply{}, err
	}
	return w.longPoll(ctx, time.Now().Add(h.Wait), h.Fence)
}

// renew extends the leases and removes the acknowledged attempts.
func (w *Worker) renew(h worker.Heartbeat, now time.Time) {
	for _, id := range h.Renew {
		if a := w.running[id]; a != nil {
			a.leaseEnd = now.Add(h.Lease)
		}
	}
	for _, id := range h.Ack {
		delete(w.unacked, id)
	}
}

// longPoll blocks until the worker has an ended attempt that is not acknowledged, the
// leaving state changes, or the deadline passes.
func (w *Worker) longPoll(ctx context.Context, deadline time.Time, f worker.Fence) (worker.HeartbeatReply, error) {
	leaving := w.isLeaving()
	for {
		now := time.Now()
		w.mu.Lock()
		w.endDueAttempts(now)
		if f < w.fence {
			w.mu.Unlock()
			return worker.HeartbeatReply{}, w.fencedError(f)
		}
		if len(w.unacked) > 0 || w.leaving != leaving || !now.Before(deadline) {
			reply := w.heartbeatReply(now)
			w.mu.Unlock()
			return reply, w.replyDelayError(ctx)
		}
		next, wake := w.nextEnd(deadline), w.wake
		w.mu.Unlock()
		if err := waitUntil(ctx, wake, next); err != nil {
			return worker.HeartbeatReply{}, w.ambiguousError(err)
		}
	}
}

func (w *Worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

func (w *Worker) fencedError(f worker.Fence) error {
	return fmt.Errorf("fence %d refused: worker %s has accepted a higher fence: %w", f, w.spec.ID, worker.ErrFenced)
}

// replyDelayError delays a reply as the faults demand. It returns ErrAmbiguous if ctx
// ends meanwhile.
func (w *Worker) replyDelayError(ctx context.Context) error {
	if err := w.delayReply(ctx); err != nil {
		return w.ambiguousError(err)
	}
	return nil
}

// heartbeatReply returns the ended attempts that are not acknowledged and the running
// attempts whose usage or checkpoint changed.
func (w *Worker) heartbeatReply(now time.Time) worker.HeartbeatReply {
	reply := worker.HeartbeatReply{Clock: w.clock(now), Boot: w.bootID(), Leaving: w.leaving}
	for _, a := range sortedAttempts(w.unacked) {
		reply.Changed = append(reply.Changed, a.report(now, w.options.UsageLag))
	}
	for _, a := range sortedAttempts(w.running) {
		r := a.report(now, w.options.UsageLag)
		if r.Usage != a.lastReport.Usage || r.Saved != a.lastReport.Saved {
			a.lastReport = r
			reply.Changed = append(reply.Changed, r)
		}
	}
	return reply
}

// nextEnd returns when the first running attempt ends, or deadline if none ends
// earlier.
func (w *Worker) nextEnd(deadline time.Time) time.Time {
	next := deadline
	for _, a := range w.running {
		if end := a.endTime(); end.Before(next) {
			next = end
		}
	}
	return next
}

// Settle implements worker.Client.
func (w *Worker) Settle(ctx context.Context, f worker.Fence, id worker.Attempt) (worker.TaskReport, error) {
	var report worker.TaskReport
	err := w.withFaults(ctx, func(now time.Time) error {
		if err := w.acceptFence(f); err != nil {
			return err
		}
		a := w.attempts[id]
		if a == nil {
			w.voided[id] = true
			report = worker.TaskReport{Attempt: id, State: worker.TaskNeverSeen, Boot: w.bootID()}
			return nil
		}
		report = a.report(now, w.options.UsageLag)
		report.Boot = w.bootID()
		return nil
	})
	return report, err
}

// Stop implements worker.Client.
func (w *Worker) Stop(ctx context.Context, f worker.Fence, id worker.Attempt) error {
	return w.changeAttempt(ctx, f, id, func(a *attempt, now time.Time) {
		a.end(worker.TaskStopped, now)
		w.retire(id, a)
		w.notifyPolls()
	})
}

// Checkpoint implements worker.Client.
func (w *Worker) Checkpoint(ctx context.Context, f worker.Fence, id worker.Attempt) (string, error) {
	var name string
	err := w.changeAttempt(ctx, f, id, func(a *attempt, now time.Time) {
		savedWork := a.behaviour.RunTime - a.remaining(now)
		a.checkpoint = fmt.Sprintf("%s@%s", id.Task, savedWork)
		name = a.checkpoint
	})
	return name, err
}

// Throttle implements worker.Client.
func (w *Worker) Throttle(ctx context.Context, f worker.Fence, id worker.Attempt, percent int) error {
	return w.changeAttempt(ctx, f, id, func(a *attempt, now time.Time) {
		a.setSpeed(now, min(max(percent, 1), 100))
		w.notifyPolls()
	})
}

// changeAttempt applies change to a running attempt. It leaves an ended attempt as it
// is.
func (w *Worker) changeAttempt(ctx context.Context, f worker.Fence, id worker.Attempt, change func(*attempt, time.Time)) error {
	return w.withFaults(ctx, func(now time.Time) error {
		if err := w.acceptFence(f); err != nil {
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

// withFaults runs one command under the faults in force.
func (w *Worker) withFaults(ctx context.Context, op func(now time.Time) error) error {
	c, up, err := w.beginCall(ctx)
	if err != nil {
		return w.ambiguousError(err)
	}
	if !up {
		return w.unreachableError()
	}
	w.mu.Lock()
	now := time.Now()
	w.endDueAttempts(now)
	err = op(now)
	w.mu.Unlock()
	if err != nil {
		return err
	}
	if err := w.delayReply(ctx); err != nil {
		return w.ambiguousError(err)
	}
	if c.loseReply {
		return w.ambiguousError(io.ErrUnexpectedEOF)
	}
	return nil
}

// inventory returns the worker's state and its running and unacknowledged attempts.
func (w *Worker) inventory(now time.Time) worker.Inventory {
	inv := worker.Inventory{
		Worker:   w.spec.ID,
		Clock:    w.clock(now),
		Boot:     w.bootID(),
		Fence:    w.fence,
		Leaving:  w.leaving,
		Capacity: w.spec.Capacity,
	}
	for _, a := range sortedAttempts(w.running) {
		inv.Tasks = append(inv.Tasks, a.report(now, w.options.UsageLag))
	}
	for _, a := range sortedAttempts(w.unacked) {
		inv.Tasks = append(inv.Tasks, a.report(now, w.options.UsageLag))
	}
	return inv
}

// sortedAttempts returns the attempts by task and number, so that equal runs give equal
// reports.
func sortedAttempts(set map[worker.Attempt]*attempt) []*attempt {
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

func (w *Worker) unreachableError() error {
	return fmt.Errorf("worker %s is down: %w", w.spec.ID, worker.ErrUnreachable)
}

func (w *Worker) ambiguousError(cause error) error {
	return fmt.Errorf("worker %s: %w: %w", w.spec.ID, worker.ErrAmbiguous, cause)
}

// checkpointProgress returns the run time that a checkpoint saves.
func checkpointProgress(checkpoint string) time.Duration {
	_, saved, _ := strings.Cut(checkpoint, "@")
	d, err := time.ParseDuration(saved)
	if err != nil {
		return 0
	}
	return d
}

// waitUntil returns nil at t or when wake is closed, and the context's error when ctx
// ends.
func waitUntil(ctx context.Context, wake <-chan struct{}, t time.Time) error {
	remaining := time.Until(t)
	if remaining <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

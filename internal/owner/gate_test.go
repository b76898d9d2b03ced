package owner

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"cuminloft/internal/platform"
	"cuminloft/internal/worker"
)

// gate holds back every call of a frozen process and sends it late, after the thaw,
// like a process that was paused between a decision and the call.
type gate struct {
	heartbeats atomic.Int64 // sent through the gate
	renewals   atomic.Int64 // leases extended by them

	mu     sync.Mutex
	frozen chan struct{} // closed at the thaw; nil: not frozen
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// pass waits for the thaw. The context of a call that was held back does not end
// before the call is sent.
func (g *gate) pass(ctx context.Context) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen == nil {
		return ctx, func() {}
	}
	<-frozen
	return context.WithTimeout(context.WithoutCancel(ctx), commandTimeout)
}

type gatedTable struct {
	*gate
	to platform.Table
}

func (t gatedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := t.pass(ctx)
	defer cancel()
	return t.to.Get(ctx, key)
}

func (t gatedTable) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := t.pass(ctx)
	defer cancel()
	return t.to.Range(ctx, prefix, after, limit)
}

func (t gatedTable) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	ctx, cancel := t.pass(ctx)
	defer cancel()
	return t.to.Apply(ctx, writes)
}

type gatedWorker struct {
	*gate
	to worker.Client
}

func (w gatedWorker) RaiseFence(ctx context.Context, f worker.Fence) (worker.Inventory, error) {
	ctx, cancel := w.pass(ctx)
	defer cancel()
	return w.to.RaiseFence(ctx, f)
}

func (w gatedWorker) Start(ctx context.Context, s worker.Start) error {
	ctx, cancel := w.pass(ctx)
	defer cancel()
	return w.to.Start(ctx, s)
}

func (w gatedWorker) Run(ctx context.Context, s worker.Start, body io.Reader) (*worker.Answer, error) {
	return w.to.Run(ctx, s, body)
}

func (w gatedWorker) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.HeartbeatReply, error) {
	w.heartbeats.Add(1)
	w.renewals.Add(int64(len(h.Renew)))
	ctx, cancel := w.pass(ctx)
	defer cancel()
	return w.to.Heartbeat(ctx, h)
}

func (w gatedWorker) Settle(ctx context.Context, f worker.Fence, a worker.Attempt) (worker.TaskReport, error) {
	ctx, cancel := w.pass(ctx)
	defer cancel()
	return w.to.Settle(ctx, f, a)
}

func (w gatedWorker) Stop(ctx context.Context, f worker.Fence, a worker.Attempt) error {
	ctx, cancel := w.pass(ctx)
	defer cancel()
	return w.to.Stop(ctx, f, a)
}

func (w gatedWorker) Checkpoint(ctx context.Context, f worker.Fence, a worker.Attempt) (string, error) {
	ctx, cancel := w.pass(ctx)
	defer cancel()
	return w.to.Checkpoint(ctx, f, a)
}

func (w gatedWorker) Throttle(ctx context.Context, f worker.Fence, a worker.Attempt, percent int) error {
	ctx, cancel := w.pass(ctx)
	defer cancel()
	return w.to.Throttle(ctx, f, a, percent)
}

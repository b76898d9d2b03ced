package standin

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"cuminloft/internal/platform"
	"cuminloft/internal/worker"
)

// Link is a link between one client and one or more stand-ins. While it is open
// the client's calls fail as on a network partition; other clients of the same
// stand-ins are not affected.
type Link struct {
	open atomic.Bool
}

// SetCut cuts the link or restores it.
func (c *Link) SetCut(cut bool) { c.open.Store(cut) }

// Table returns t as seen over the link.
func (c *Link) Table(t platform.Table) platform.Table { return &cutTable{cut: c, to: t} }

// Objects returns o as seen over the link.
func (c *Link) Objects(o platform.ObjectStore) platform.ObjectStore {
	return &cutObjects{cut: c, to: o}
}

// Worker returns w as seen over the link. A call during which the link is cut
// loses its answer.
func (c *Link) Worker(w worker.Client) worker.Client { return &cutWorker{cut: c, to: w} }

// platformUp returns ErrUnavailable while the link is cut.
func (c *Link) platformUp() error {
	if c.open.Load() {
		return fmt.Errorf("link is cut: %w", platform.ErrUnavailable)
	}
	return nil
}

// platformAnswer turns an answer that met a cut link into ErrAmbiguous.
func (c *Link) platformAnswer(err error) error {
	if c.open.Load() {
		return fmt.Errorf("link was cut: %w", platform.ErrAmbiguous)
	}
	return err
}

// workerUp returns ErrUnreachable while the link is cut.
func (c *Link) workerUp() error {
	if c.open.Load() {
		return fmt.Errorf("link is cut: %w", worker.ErrUnreachable)
	}
	return nil
}

// workerAnswer turns an answer that met a cut link into ErrAmbiguous.
func (c *Link) workerAnswer(err error) error {
	if c.open.Load() {
		return fmt.Errorf("link was cut: %w", worker.ErrAmbiguous)
	}
	return err
}

type cutTable struct {
	cut *Link
	to  platform.Table
}

// Get implements platform.Table.
func (t *cutTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.cut.platformUp(); err != nil {
		return platform.Row{}, err
	}
	return t.to.Get(ctx, key)
}

// Range implements platform.Table.
func (t *cutTable) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.cut.platformUp(); err != nil {
		return nil, err
	}
	return t.to.Range(ctx, prefix, after, limit)
}

// Apply implements platform.Table.
func (t *cutTable) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	if err := t.cut.platformUp(); err != nil {
		return nil, err
	}
	versions, err := t.to.Apply(ctx, writes)
	return versions, t.cut.platformAnswer(err)
}

type cutObjects struct {
	cut *Link
	to  platform.ObjectStore
}

// Put implements platform.ObjectStore.
func (o *cutObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.cut.platformUp(); err != nil {
		return err
	}
	return o.cut.platformAnswer(o.to.Put(ctx, name, data))
}

// Get implements platform.ObjectStore.
func (o *cutObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.cut.platformUp(); err != nil {
		return nil, err
	}
	return o.to.Get(ctx, name)
}

// Delete implements platform.ObjectStore.
func (o *cutObjects) Delete(ctx context.Context, name string) error {
	if err := o.cut.platformUp(); err != nil {
		return err
	}
	return o.cut.platformAnswer(o.to.Delete(ctx, name))
}

// List implements platform.ObjectStore.
func (o *cutObjects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.cut.platformUp(); err != nil {
		return nil, err
	}
	return o.to.List(ctx, prefix)
}

type cutWorker struct {
	cut *Link
	to  worker.Client
}

// RaiseFence implements worker.Client.
func (w *cutWorker) RaiseFence(ctx context.Context, f worker.Fence) (worker.Inventory, error) {
	if err := w.cut.workerUp(); err != nil {
		return worker.Inventory{}, err
	}
	inv, err := w.to.RaiseFence(ctx, f)
	return inv, w.cut.workerAnswer(err)
}

// Start implements worker.Client.
func (w *cutWorker) Start(ctx context.Context, s worker.Start) error {
	if err := w.cut.workerUp(); err != nil {
		return err
	}
	return w.cut.workerAnswer(w.to.Start(ctx, s))
}

// Run implements worker.Client.
func (w *cutWorker) Run(ctx context.Context, s worker.Start, body io.Reader) (*worker.Answer, error) {
	if err := w.cut.workerUp(); err != nil {
		return nil, err
	}
	a, err := w.to.Run(ctx, s, body)
	if cut := w.cut.workerAnswer(err); cut != nil {
		return nil, cut
	}
	return a, nil
}

// Heartbeat implements worker.Client.
func (w *cutWorker) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.HeartbeatReply, error) {
	if err := w.cut.workerUp(); err != nil {
		return worker.HeartbeatReply{}, err
	}
	reply, err := w.to.Heartbeat(ctx, h)
	return reply, w.cut.workerAnswer(err)
}

// Settle implements worker.Client.
func (w *cutWorker) Settle(ctx context.Context, f worker.Fence, a worker.Attempt) (worker.TaskReport, error) {
	if err := w.cut.workerUp(); err != nil {
		return worker.TaskReport{}, err
	}
	report, err := w.to.Settle(ctx, f, a)
	return report, w.cut.workerAnswer(err)
}

// Stop implements worker.Client.
func (w *cutWorker) Stop(ctx context.Context, f worker.Fence, a worker.Attempt) error {
	if err := w.cut.workerUp(); err != nil {
		return err
	}
	return w.cut.workerAnswer(w.to.Stop(ctx, f, a))
}

// Checkpoint implements worker.Client.
func (w *cutWorker) Checkpoint(ctx context.Context, f worker.Fence, a worker.Attempt) (string, error) {
	if err := w.cut.workerUp(); err != nil {
		return "", err
	}
	name, err := w.to.Checkpoint(ctx, f, a)
	return name, w.cut.workerAnswer(err)
}

// Throttle implements worker.Client.
func (w *cutWorker) Throttle(ctx context.Context, f worker.Fence, a worker.Attempt, percent int) error {
	if err := w.cut.workerUp(); err != nil {
		return err
	}
	return w.cut.workerAnswer(w.to.Throttle(ctx, f, a, percent))
}

package standin

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"cuminloft/internal/platform"
	"cuminloft/internal/worker"
)

// Link is the network link between one client and one or more stand-ins. While it is
// cut, the client's calls fail as on a network partition; other clients of the same
// stand-ins are not affected.
type Link struct {
	cut atomic.Bool
}

// SetCut cuts the link or restores it.
func (l *Link) SetCut(cut bool) { l.cut.Store(cut) }

// Table returns t as reached over the link.
func (l *Link) Table(t platform.Table) platform.Table { return &linkedTable{link: l, next: t} }

// Objects returns o as reached over the link.
func (l *Link) Objects(o platform.ObjectStore) platform.ObjectStore {
	return &linkedObjects{link: l, next: o}
}

// Worker returns w as reached over the link. A call whose reply arrives while the link
// is cut loses that reply.
func (l *Link) Worker(w worker.Client) worker.Client { return &linkedWorker{link: l, next: w} }

// platformRequestError returns ErrUnavailable while the link is cut.
func (l *Link) platformRequestError() error {
	if l.cut.Load() {
		return fmt.Errorf("link is cut: %w", platform.ErrUnavailable)
	}
	return nil
}

// platformReplyError returns err, or ErrAmbiguous if the link is cut when the reply
// arrives.
func (l *Link) platformReplyError(err error) error {
	if l.cut.Load() {
		return fmt.Errorf("link was cut before the reply: %w", platform.ErrAmbiguous)
	}
	return err
}

// workerRequestError returns ErrUnreachable while the link is cut.
func (l *Link) workerRequestError() error {
	if l.cut.Load() {
		return fmt.Errorf("link is cut: %w", worker.ErrUnreachable)
	}
	return nil
}

// workerReplyError returns err, or ErrAmbiguous if the link is cut when the reply
// arrives.
func (l *Link) workerReplyError(err error) error {
	if l.cut.Load() {
		return fmt.Errorf("link was cut before the reply: %w", worker.ErrAmbiguous)
	}
	return err
}

type linkedTable struct {
	link *Link
	next platform.Table
}

// Get implements platform.Table.
func (t *linkedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.link.platformRequestError(); err != nil {
		return platform.Row{}, err
	}
	return t.next.Get(ctx, key)
}

// Range implements platform.Table.
func (t *linkedTable) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.link.platformRequestError(); err != nil {
		return nil, err
	}
	return t.next.Range(ctx, prefix, after, limit)
}

// Apply implements platform.Table.
func (t *linkedTable) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	if err := t.link.platformRequestError(); err != nil {
		return nil, err
	}
	versions, err := t.next.Apply(ctx, writes)
	return versions, t.link.platformReplyError(err)
}

type linkedObjects struct {
	link *Link
	next platform.ObjectStore
}

// Put implements platform.ObjectStore.
func (o *linkedObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.link.platformRequestError(); err != nil {
		return err
	}
	return o.link.platformReplyError(o.next.Put(ctx, name, data))
}

// Get implements platform.ObjectStore.
func (o *linkedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.link.platformRequestError(); err != nil {
		return nil, err
	}
	return o.next.Get(ctx, name)
}

// Delete implements platform.ObjectStore.
func (o *linkedObjects) Delete(ctx context.Context, name string) error {
	if err := o.link.platformRequestError(); err != nil {
		return err
	}
	return o.link.platformReplyError(o.next.Delete(ctx, name))
}

// List implements platform.ObjectStore.
func (o *linkedObjects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.link.platformRequestError(); err != nil {
		return nil, err
	}
	return o.next.List(ctx, prefix)
}

type linkedWorker struct {
	link *Link
	next worker.Client
}

// RaiseFence implements worker.Client.
func (w *linkedWorker) RaiseFence(ctx context.Context, f worker.Fence) (worker.Inventory, error) {
	if err := w.link.workerRequestError(); err != nil {
		return worker.Inventory{}, err
	}
	inv, err := w.next.RaiseFence(ctx, f)
	return inv, w.link.workerReplyError(err)
}

// Start implements worker.Client.
func (w *linkedWorker) Start(ctx context.Context, s worker.Start) error {
	if err := w.link.workerRequestError(); err != nil {
		return err
	}
	return w.link.workerReplyError(w.next.Start(ctx, s))
}

// Run implements worker.Client.
func (w *linkedWorker) Run(ctx context.Context, s worker.Start, body io.Reader) (*worker.Answer, error) {
	if err := w.link.workerRequestError(); err != nil {
		return nil, err
	}
	a, err := w.next.Run(ctx, s, body)
	if replyErr := w.link.workerReplyError(err); replyErr != nil {
		return nil, replyErr
	}
	return a, nil
}

// Heartbeat implements worker.Client.
func (w *linkedWorker) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.HeartbeatReply, error) {
	if err := w.link.workerRequestError(); err != nil {
		return worker.HeartbeatReply{}, err
	}
	reply, err := w.next.Heartbeat(ctx, h)
	return reply, w.link.workerReplyError(err)
}

// Settle implements worker.Client.
func (w *linkedWorker) Settle(ctx context.Context, f worker.Fence, a worker.Attempt) (worker.TaskReport, error) {
	if err := w.link.workerRequestError(); err != nil {
		return worker.TaskReport{}, err
	}
	report, err := w.next.Settle(ctx, f, a)
	return report, w.link.workerReplyError(err)
}

// Stop implements worker.Client.
func (w *linkedWorker) Stop(ctx context.Context, f worker.Fence, a worker.Attempt) error {
	if err := w.link.workerRequestError(); err != nil {
		return err
	}
	return w.link.workerReplyError(w.next.Stop(ctx, f, a))
}

// Checkpoint implements worker.Client.
func (w *linkedWorker) Checkpoint(ctx context.Context, f worker.Fence, a worker.Attempt) (string, error) {
	if err := w.link.workerRequestError(); err != nil {
		return "", err
	}
	name, err := w.next.Checkpoint(ctx, f, a)
	return name, w.link.workerReplyError(err)
}

// Throttle implements worker.Client.
func (w *linkedWorker) Throttle(ctx context.Context, f worker.Fence, a worker.Attempt, percent int) error {
	if err := w.link.workerRequestError(); err != nil {
		return err
	}
	return w.link.workerReplyError(w.next.Throttle(ctx, f, a, percent))
}

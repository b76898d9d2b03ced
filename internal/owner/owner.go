// Package owner runs one shard: it owns the shard's row in the table, its journal, the
// decision core and the connections to its workers. All state belongs to one
// goroutine, the event loop; the other goroutines send it messages.
package owner

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// Options configure an owner.
type Options struct {
	Shard    string
	AZ       string
	Self     *rpc.Member // host, address and incarnation are used
	Table    platform.Table
	Objects  platform.ObjectStore
	Connect  func(model.WorkerSpec) worker.Client
	View     config.View
	Recorder timeline.Recorder
	Log      logr.Logger
	Seed     uint64                  // of the decision core
	Fleet    func() sched.FleetUsage // usage of the other shards; may be nil
	// Leaving reports whether a worker's host is leaving according to the platform's
	// host list; may be nil.
	Leaving func(worker string) bool
	Grants  Grants // nil: each team may use its whole limit on this shard
}

// Owner owns one shard while Run runs.
type Owner struct {
	opts    Options
	inbox   chan message
	serving atomic.Bool // requests are accepted
	digest  atomic.Pointer[rpc.ShardDigest]
	workers atomic.Pointer[[]*rpc.WorkerStatus]
	done    chan struct{} // closed when Run returns
}

var _ rpc.Shard = (*Owner)(nil)

// New returns an owner that is not running yet.
func New(opts Options) *Owner {
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	o := &Owner{opts: opts, inbox: make(chan message, inboxSize), done: make(chan struct{})}
	o.digest.Store(&rpc.ShardDigest{Shard: opts.Shard, Az: opts.AZ, Owner: opts.Self.GetHost()})
	return o
}

// Run takes the shard, recovers its state, and serves until ctx ends or the shard is
// lost. When ctx ends it hands the shard over and returns nil. It returns ErrLost if
// another host has taken the shard, journal.ErrCorrupt or journal.ErrUnknownFormat if
// the state cannot be read, and ErrPanicked after a panic. Run is called once.
func (o *Owner) Run(ctx context.Context) (err error) {
	defer close(o.done)
	defer o.recoverPanic(&err)
	defer o.serving.Store(false)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	l, err := o.takeOver(ctx, work, &wg)
	if err != nil {
		return o.shardLostError(err)
	}
	o.serving.Store(true)
	if err := l.run(ctx); err != nil {
		l.record(timeline.Event{Kind: timeline.KindShardLost, Target: o.opts.Shard, Detail: err.Error()})
		return o.shardLostError(err)
	}
	o.serving.Store(false)
	return trace.Wrap(l.handOver())
}

// recoverPanic converts a panic of Run's goroutine to ErrPanicked, so that a fault in
// one shard does not end the process with its other shards and open requests.
func (o *Owner) recoverPanic(err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	counters.Add("panics", 1)
	o.opts.Log.Error(ErrPanicked, "event loop panicked", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	o.opts.Recorder.Record(timeline.Event{
		Kind: timeline.KindShardLost, Target: o.opts.Shard, Detail: ErrPanicked.Error(),
	})
	*err = trace.Wrap(ErrPanicked, "%v", cause)
}

// shardLostError converts the journal's error for a lost shard to ErrLost.
func (o *Owner) shardLostError(err error) error {
	if errors.Is(err, errReplacedInJournal) {
		return trace.Wrap(ErrLost, "%v", err)
	}
	return trace.Wrap(err)
}

// Digest returns the shard's load. The returned value is shared and must not be
// modified.
func (o *Owner) Digest() *rpc.ShardDigest { return o.digest.Load() }

// post sends a message to the event loop from one of its own goroutines.
func (o *Owner) post(ctx context.Context, m message) {
	select {
	case o.inbox <- m:
	case <-ctx.Done():
	}
}

// call sends a request to the event loop and waits for its reply. After an error other
// than a refusal, the request may have taken effect.
func call[T any](ctx context.Context, o *Owner, m message, reply <-chan response[T]) (T, error) {
	var zero T
	if !o.serving.Load() {
		return zero, notReady()
	}
	select {
	case o.inbox <- m:
	case <-ctx.Done():
		return zero, notReady()
	case <-o.done:
		return zero, notReady()
	}
	select {
	case a := <-reply:
		return a.value, a.err
	case <-ctx.Done():
		return zero, trace.Wrap(ctx.Err())
	case <-o.done:
		return zero, trace.Wrap(ErrLost)
	}
}

// response is the event loop's reply to a request.
type response[T any] struct {
	value T
	err   error
}

func newReplyChan[T any]() chan response[T] { return make(chan response[T], 1) }

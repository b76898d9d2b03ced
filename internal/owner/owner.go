// Package owner runs one shard: it owns the shard's row in the table, its
// journal, the decision core and the connections to its workers. One goroutine,
// the event loop, holds all state; the others send it messages.
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

// Options of an owner.
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
	Fleet    func() sched.FleetUsage // use of the other shards; may be nil
	// Leaving reports whether the platform's host list says that a worker's
	// host is leaving; may be nil.
	Leaving func(worker string) bool
	Grants  Grants // nil: teams are bounded by their whole limit
}

// Owner owns one shard for as long as Run runs.
type Owner struct {
	opts    Options
	inbox   chan message
	serving atomic.Bool // requests are taken
	digest  atomic.Pointer[rpc.ShardDigest]
	workers atomic.Pointer[[]*rpc.WorkerStatus]
	done    chan struct{} // closed when Run returns
}

var _ rpc.Shard = (*Owner)(nil)

// New returns an owner that does nothing yet.
func New(opts Options) *Owner {
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	o := &Owner{opts: opts, inbox: make(chan message, inboxSize), done: make(chan struct{})}
	o.digest.Store(&rpc.ShardDigest{Shard: opts.Shard, Az: opts.AZ, Owner: opts.Self.GetHost()})
	return o
}

// Run takes the shard, recovers its state, and serves until ctx ends, when it
// hands over and returns nil, or until the shard is lost (ErrLost). It returns
// journal.ErrCorrupt or journal.ErrUnknownFormat if the state cannot be read, and
// ErrPanicked after a fault of its own. Run is called once.
func (o *Owner) Run(ctx context.Context) (err error) {
	defer close(o.done)
	defer o.contain(&err)
	defer o.serving.Store(false)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	l, err := o.takeOver(ctx, work, &wg)
	if err != nil {
		return o.taken(err)
	}
	o.serving.Store(true)
	if err := l.run(ctx); err != nil {
		l.record(timeline.Event{Kind: timeline.KindShardLost, Target: o.opts.Shard, Detail: err.Error()})
		return o.taken(err)
	}
	o.serving.Store(false)
	return trace.Wrap(l.handOver())
}

// contain turns a panic of Run's goroutine into ErrPanicked, so that one shard's
// fault does not end the process with its other shards and open requests.
func (o *Owner) contain(err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	counters.Add("panics", 1)
	o.opts.Log.Error(ErrPanicked, "event loop", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	o.opts.Recorder.Record(timeline.Event{
		Kind: timeline.KindShardLost, Target: o.opts.Shard, Detail: ErrPanicked.Error(),
	})
	*err = trace.Wrap(ErrPanicked, "%v", cause)
}

// taken turns the journal's error for a lost shard into this package's.
func (o *Owner) taken(err error) error {
	if errors.Is(err, journalDeposed) {
		return trace.Wrap(ErrLost, "%v", err)
	}
	return trace.Wrap(err)
}

// Digest returns the shard's load. It is shared and must not be changed.
func (o *Owner) Digest() *rpc.ShardDigest { return o.digest.Load() }

// post hands a message to the event loop from one of its goroutines.
func (o *Owner) post(ctx context.Context, m message) {
	select {
	case o.inbox <- m:
	case <-ctx.Done():
	}
}

// ask hands a request to the event loop and waits for its reply. After an
// error other than a refusal the request may have taken effect.
func ask[T any](ctx context.Context, o *Owner, m message, reply <-chan answer[T]) (T, error) {
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

// answer is the event loop's reply to a request.
type answer[T any] struct {
	value T
	err   error
}

func newReply[T any]() chan answer[T] { return make(chan answer[T], 1) }

// Package owner runs one shard: it owns the shard's row in the table, its
// journal, the decision core and the connections to its workers. One goroutine,
// the event loop, holds all state; the others send it messages.
package owner

import (
	"context"

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

// Grants holds the shard's parts of the teams' upper limits.
type Grants interface {
	// Held returns the shard's grant of the team, and false if it holds none.
	// Zero components are unlimited.
	Held(team string) (model.Resources, bool)
	// Want asks for room for the given total use. It returns at once; Changed
	// tells when there is more.
	Want(team string, total model.Resources)
	// GiveBack returns up to want of what exceeds used, and what was given.
	GiveBack(ctx context.Context, team string, used, want model.Resources) (model.Resources, error)
	// Changed returns a channel that is closed at the next change of any grant.
	Changed() <-chan struct{}
}

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
	Grants   Grants                  // nil: teams are bounded by their whole limit
}

// Owner owns one shard for as long as Run runs.
type Owner struct {
	opts Options
	held held
}

var _ rpc.Shard = (*Owner)(nil)

// New returns an owner that does nothing yet.
func New(opts Options) *Owner { return &Owner{opts: opts} }

// Run takes the shard, recovers its state, and serves until ctx ends, when it
// hands over and returns nil, or until the shard is lost (ErrLost). It returns
// journal.ErrCorrupt or journal.ErrUnknownFormat if the state cannot be read.
func (o *Owner) Run(ctx context.Context) error {
	h, err := take(ctx, o.opts.Table, o.opts.Shard, o.opts.Self)
	if err != nil {
		return trace.Wrap(err)
	}
	o.held = h
	<-ctx.Done()
	return trace.Wrap(release(context.WithoutCancel(ctx), o.opts.Table, o.opts.Shard, h))
}

// Digest returns the shard's load.
func (o *Owner) Digest() *rpc.ShardDigest {
	return &rpc.ShardDigest{Shard: o.opts.Shard, Az: o.opts.AZ, Owner: o.opts.Self.GetHost()}
}

// Submit accepts a job.
func (o *Owner) Submit(context.Context, *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	return nil, notReady().ToTwirp()
}

// GetJob returns a job's state.
func (o *Owner) GetJob(context.Context, *rpc.GetJobRequest) (*rpc.JobStatus, error) {
	return nil, notReady().ToTwirp()
}

// ListJobs returns jobs in order of their ids.
func (o *Owner) ListJobs(context.Context, *rpc.ListJobsRequest) (*rpc.ListJobsReply, error) {
	return nil, notReady().ToTwirp()
}

// CancelJob withdraws a job.
func (o *Owner) CancelJob(context.Context, *rpc.CancelJobRequest) (*rpc.JobStatus, error) {
	return nil, notReady().ToTwirp()
}

// Reserve returns a ticket for a direct request.
func (o *Owner) Reserve(context.Context, *rpc.ReserveRequest) (*rpc.Ticket, error) {
	return nil, notReady().ToTwirp()
}

// Release frees a ticket's room.
func (o *Owner) Release(context.Context, *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	return nil, notReady().ToTwirp()
}

// GiveBack returns a part of a team's grant.
func (o *Owner) GiveBack(context.Context, *rpc.GiveBackRequest) (*rpc.GiveBackReply, error) {
	return &rpc.GiveBackReply{}, nil
}

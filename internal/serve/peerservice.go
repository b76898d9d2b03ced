package serve

import (
	"context"
	"time"

	"cuminloft/internal/rpc"
)

// stager accepts configuration versions that other entry hosts push.
type stager interface {
	Stage(ctx context.Context, r *rpc.StageRequest) (*rpc.StageReply, error)
}

// pinger answers pings.
type pinger interface {
	Ping(ctx context.Context, r *rpc.PingRequest) (*rpc.PingReply, error)
}

// peerService serves rpc.Peer for the other entry hosts.
type peerService struct {
	pinger  pinger
	stager  stager
	process *Process
}

var _ rpc.Peer = (*peerService)(nil)

// Ping implements rpc.Peer.
func (s *peerService) Ping(ctx context.Context, r *rpc.PingRequest) (*rpc.PingReply, error) {
	return s.pinger.Ping(ctx, r)
}

// Stage implements rpc.Peer.
func (s *peerService) Stage(ctx context.Context, r *rpc.StageRequest) (*rpc.StageReply, error) {
	return s.stager.Stage(ctx, r)
}

// Events implements rpc.Peer.
func (s *peerService) Events(_ context.Context, r *rpc.EventsRequest) (*rpc.EventsReply, error) {
	return s.process.events(r), nil
}

// Status implements rpc.Peer.
func (s *peerService) Status(_ context.Context, _ *rpc.StatusRequest) (*rpc.StatusReply, error) {
	return s.process.status(), nil
}

// shardService serves rpc.Shard by passing each call to the local owner of the shard
// that the call names.
type shardService struct {
	owners func() map[string]rpc.Shard
}

var _ rpc.Shard = (*shardService)(nil)

// notOwnerRetryAfter is the retry delay in refusals of calls to a host that does not own
// the shard.
const notOwnerRetryAfter = 500 * time.Millisecond

func (s *shardService) owner(shard string) (rpc.Shard, error) {
	if o := s.owners()[shard]; o != nil {
		return o, nil
	}
	refusal := &rpc.Refusal{
		Code:       rpc.CodeNotOwner,
		Reason:     "this host does not own shard " + shard,
		RetryAfter: notOwnerRetryAfter,
	}
	return nil, refusal.ToTwirp()
}

// dispatch calls one method on the owner of shard.
func dispatch[Q, R any](ctx context.Context, s *shardService, shard string, q Q, call func(rpc.Shard, context.Context, Q) (R, error)) (R, error) {
	owner, err := s.owner(shard)
	if err != nil {
		var none R
		return none, err
	}
	reply, err := call(owner, ctx, q)
	return reply, toWire(err)
}

// toWire converts an owner's refusal to a twirp error; other errors stay as they are.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	if refusal, ok := rpc.RefusalFromTwirp(err); ok {
		return refusal.ToTwirp()
	}
	return err
}

// Submit implements rpc.Shard.
func (s *shardService) Submit(ctx context.Context, r *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	return dispatch(ctx, s, r.GetShard(), r, rpc.Shard.Submit)
}

// GetJob implements rpc.Shard.
func (s *shardService) GetJob(ctx context.Context, r *rpc.GetJobRequest) (*rpc.JobStatus, error) {
	return dispatch(ctx, s, r.GetShard(), r, rpc.Shard.GetJob)
}

// ListJobs implements rpc.Shard.
func (s *shardService) ListJobs(ctx context.Context, r *rpc.ListJobsRequest) (*rpc.ListJobsReply, error) {
	return dispatch(ctx, s, r.GetShard(), r, rpc.Shard.ListJobs)
}

// CancelJob implements rpc.Shard.
func (s *shardService) CancelJob(ctx context.Context, r *rpc.CancelJobRequest) (*rpc.JobStatus, error) {
	return dispatch(ctx, s, r.GetShard(), r, rpc.Shard.CancelJob)
}

// Reserve implements rpc.Shard.
func (s *shardService) Reserve(ctx context.Context, r *rpc.ReserveRequest) (*rpc.Ticket, error) {
	return dispatch(ctx, s, r.GetShard(), r, rpc.Shard.Reserve)
}

// Release implements rpc.Shard.
func (s *shardService) Release(ctx context.Context, r *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	return dispatch(ctx, s, r.GetShard(), r, rpc.Shard.Release)
}

// GiveBack implements rpc.Shard.
func (s *shardService) GiveBack(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error) {
	return dispatch(ctx, s, r.GetShard(), r, rpc.Shard.GiveBack)
}

package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cuminloft/internal/config"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
)

// Timing of a rollout.
const (
	// PushTimeout bounds one push to a peer.
	PushTimeout = 300 * time.Millisecond
	// ownerReadInterval is the interval between two reads of the shard owners by an applier.
	ownerReadInterval = 250 * time.Millisecond
	// minPushInterval and maxPushInterval bound the interval between pushes to one peer.
	minPushInterval = 20 * time.Millisecond
	maxPushInterval = 500 * time.Millisecond
	// LivenessMargin is added to the solo window and the lease before an owner without a
	// liveness update counts as unable to start work. It is longer than the interval of
	// the liveness updates plus that of the polls.
	LivenessMargin = 5 * time.Second
)

// PendingShard is a shard that a staged version waits for.
type PendingShard struct {
	Shard  string    `json:"shard"`
	AZ     string    `json:"az"`
	Owner  string    `json:"owner"`
	Reason string    `json:"reason"`
	Since  time.Time `json:"since"`
}

// Progress is the progress of the rollout of a staged version.
type Progress struct {
	Version config.Version `json:"version"`
	Waiting []PendingShard `json:"waiting"`
}

// liveness is the last liveness update that was seen from a shard's owner, with the time
// on the clock of this process.
type liveness struct {
	aliveVersion int64
	fence        int64
	since        time.Time
}

// rollout brings one staged version to acceptance. Several processes may roll out the same
// version at the same time.
type rollout struct {
	sync         *Sync
	staged       VersionInfo
	body         []byte // row of the staged version, for pushes
	shards       []config.Shard
	ownerTimeout time.Duration // time without a liveness update after which an owner cannot start work
	progress     func(Progress)
	started      time.Time
	owners       []ShardState
	lastSeen     map[string]liveness
	confirmed    map[string]*rpc.ShardDigest // by shard: the digest with the highest fence and version
	replies      chan *rpc.StageReply
	pushing      map[string]bool
	group        *errgroup.Group
	reported     []PendingShard
}

// newRollout returns a rollout of the staged version that this process holds.
func (s *Sync) newRollout(ctx context.Context, progress func(Progress)) (*rollout, error) {
	current := s.current.Load()
	record, err := s.store.Version(ctx, current.staged.Version)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	body, err := encodeRecord(record)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if progress == nil {
		progress = func(Progress) {}
	}
	return &rollout{
		sync:         s,
		staged:       current.staged,
		body:         body,
		shards:       shardsOfEither(current.acceptedConfig, current.stagedConfig),
		ownerTimeout: ownerTimeout(current.acceptedConfig, current.stagedConfig),
		progress:     progress,
		started:      time.Now(),
		lastSeen:     map[string]liveness{},
		confirmed:    map[string]*rpc.ShardDigest{},
		replies:      make(chan *rpc.StageReply),
		pushing:      map[string]bool{},
	}, nil
}

// shardsOfEither returns the shards of both versions in name order.
func shardsOfEither(accepted, staged *config.Config) []config.Shard {
	var all []config.Shard
	for _, c := range []*config.Config{accepted, staged} {
		if c != nil {
			all = append(all, c.Shards()...)
		}
	}
	slices.SortFunc(all, func(a, b config.Shard) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return slices.Compact(all)
}

// ownerTimeout returns the time without a liveness update after which an owner cannot start
// work. It uses the longer solo window and the longer lease of both versions, because the
// owner may not know the staged one.
func ownerTimeout(accepted, staged *config.Config) time.Duration {
	var solo, lease time.Duration
	for _, c := range []*config.Config{accepted, staged} {
		if c != nil {
			solo = max(solo, c.Policy.SoloWindow())
			lease = max(lease, c.Policy.Lease())
		}
	}
	return solo + lease + LivenessMargin
}

// run pushes the version to all peers and accepts it as soon as every shard has confirmed
// it or can no longer start work under an older one. It returns nil once the version is
// accepted, by this or another process, and ctx's error if ctx ends earlier.
func (r *rollout) run(ctx context.Context, interval time.Duration) error {
	pushCtx, stopPushes := context.WithCancel(ctx)
	r.group = new(errgroup.Group)
	defer func() {
		stopPushes()
		_ = r.group.Wait()
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	r.readOwners(ctx)
	for {
		r.push(pushCtx)
		changed := r.sync.Changed()
		done, err := r.step(ctx)
		if done || err != nil {
			return trace.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-changed:
		case reply := <-r.replies:
			r.recordConfirmations(reply.GetShards())
		case <-ticker.C:
			r.readOwners(ctx)
		}
	}
}

// step accepts the version if no shard is pending. It returns true if the version is
// accepted.
func (r *rollout) step(ctx context.Context) (bool, error) {
	if r.sync.current.Load().accepted.Version >= r.staged.Version {
		return true, nil
	}
	if r.owners == nil {
		r.report([]PendingShard{{Reason: "the table cannot be read", Since: r.started}})
		return false, nil
	}
	r.recordConfirmations(r.sync.opts.Local())
	r.recordConfirmations(r.sync.opts.Peers.Confirmations())
	pending := r.pendingShards(time.Now())
	r.report(pending)
	if len(pending) > 0 {
		return false, nil
	}
	if err := r.sync.store.accept(ctx, r.staged); err != nil {
		return false, trace.Wrap(err)
	}
	counters.Add("accepted", 1)
	return true, trace.Wrap(r.sync.update(ctx, versionUpdate{accepted: r.staged}))
}

// readOwners reads the shard owners. If the read fails, the last known owners remain valid:
// a host that has become an owner since then reads the staged version before it starts work.
func (r *rollout) readOwners(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	counters.Add("owner_reads", 1)
	states, err := r.sync.opts.Shards.Shards(ctx)
	if err != nil {
		counters.Add("owner_read_failures", 1)
		return
	}
	r.owners = append(make([]ShardState, 0, len(states)), states...)
	now := time.Now()
	for _, st := range states {
		last, known := r.lastSeen[st.Shard]
		if !known || last.aliveVersion != st.AliveVersion || last.fence != st.Fence {
			r.lastSeen[st.Shard] = liveness{aliveVersion: st.AliveVersion, fence: st.Fence, since: now}
		}
	}
}

// recordConfirmations records the newest confirmation of each shard.
func (r *rollout) recordConfirmations(digests []*rpc.ShardDigest) {
	for _, digest := range digests {
		old := r.confirmed[digest.GetShard()]
		newer := digest.GetFence() > old.GetFence() ||
			digest.GetFence() == old.GetFence() && digest.GetConfirmed() > old.GetConfirmed()
		if old == nil || newer {
			r.confirmed[digest.GetShard()] = digest
		}
	}
}

// pendingShards returns the shards whose owners may still start work under an older version,
// each with the reason why it is pending.
func (r *rollout) pendingShards(now time.Time) []PendingShard {
	var pending []PendingShard
	for _, shard := range r.shards {
		if p, isPending := r.pendingShard(shard, now); isPending {
			pending = append(pending, p)
		}
	}
	return pending
}

func (r *rollout) pendingShard(shard config.Shard, now time.Time) (PendingShard, bool) {
	i := slices.IndexFunc(r.owners, func(s ShardState) bool { return s.Shard == shard.Name })
	if i < 0 || r.owners[i].Owner == "" {
		return PendingShard{}, false
	}
	st := r.owners[i]
	c := r.confirmed[shard.Name]
	if c.GetFence() == st.Fence && c.GetOwner() == st.Owner && config.Version(c.GetConfirmed()) >= r.staged.Version {
		return PendingShard{}, false
	}
	sinceUpdate := now.Sub(r.lastSeen[shard.Name].since)
	if sinceUpdate > r.ownerTimeout {
		return PendingShard{}, false
	}
	p := PendingShard{Shard: shard.Name, AZ: shard.AZ, Owner: st.Owner, Since: r.started, Reason: "its owner has not confirmed the version"}
	if sinceUpdate > LivenessMargin {
		p.Since = r.lastSeen[shard.Name].since
		p.Reason = "its owner gives no sign of life and may start work until " +
			p.Since.Add(r.ownerTimeout).UTC().Format(time.TimeOnly) + " UTC"
	}
	return p, true
}

// report calls progress if the pending shards have changed.
func (r *rollout) report(pending []PendingShard) {
	if slices.Equal(pending, r.reported) {
		return
	}
	r.reported = pending
	r.progress(Progress{Version: r.staged.Version, Waiting: pending})
}

// push starts a goroutine that pushes the version for each peer that has none yet.
func (r *rollout) push(ctx context.Context) {
	for _, peer := range r.sync.opts.Peers.Peers() {
		if !r.pushing[peer.Host] {
			r.pushing[peer.Host] = true
			r.group.Go(func() error {
				r.pushTo(ctx, peer)
				return nil
			})
		}
	}
}

// pushTo pushes the version to a peer until the rollout ends. It repeats the push because
// an owner confirms the version some time after its process has adopted it.
func (r *rollout) pushTo(ctx context.Context, peer Peer) {
	delay := minPushInterval
	effective := int64(0)
	for {
		req := &rpc.StageRequest{Staged: int64(r.staged.Version), Accepted: int64(r.staged.Base)}
		if effective < req.GetStaged() {
			req.Body = r.body
		}
		reply, err := stageOn(ctx, peer, req)
		if err == nil {
			effective = reply.GetObeys()
			select {
			case r.replies <- reply:
			case <-ctx.Done():
			}
		}
		if wait.For(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxPushInterval)
	}
}

func stageOn(ctx context.Context, peer Peer, req *rpc.StageRequest) (*rpc.StageReply, error) {
	ctx, cancel := context.WithTimeout(ctx, PushTimeout)
	defer cancel()
	counters.Add("pushes_sent", 1)
	return peer.RPC.Stage(ctx, req)
}

// runAnnouncer announces versions that this process has accepted to the peers. An apply
// does not wait for the announcement: a peer that has not received it acts on the stricter
// merge until it polls.
func (s *Sync) runAnnouncer(ctx context.Context) error {
	for {
		select {
		case v := <-s.announcements:
			s.pushAccepted(ctx, v)
		case <-ctx.Done():
			return nil
		}
	}
}

// pushAccepted announces once to all peers that the version is accepted. Peers that do not
// receive the announcement learn of the acceptance when they poll.
func (s *Sync) pushAccepted(ctx context.Context, v config.Version) {
	group := new(errgroup.Group)
	for _, peer := range s.opts.Peers.Peers() {
		group.Go(func() error {
			_, err := stageOn(ctx, peer, &rpc.StageRequest{Staged: int64(v), Accepted: int64(v)})
			if err != nil {
				counters.Add("push_errors", 1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// recordPending records an event for each shard that a version waits for.
func (s *Sync) recordPending(p Progress) {
	for _, shard := range p.Waiting {
		s.opts.Recorder.Record(timeline.Event{
			Kind:   timeline.KindConfigStaged,
			Target: versionText(p.Version),
			AZ:     shard.AZ,
			Detail: "waits for shard " + shard.Shard + ": " + shard.Reason,
		})
	}
}

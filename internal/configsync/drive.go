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

// Timing of a step from staged to accepted.
const (
	// PushTimeout bounds one push to a peer.
	PushTimeout = 300 * time.Millisecond
	// watchInterval separates two reads of the shards' owners by an applier.
	watchInterval = 250 * time.Millisecond
	// firstRepush and lastRepush bound the pause between pushes to one peer.
	firstRepush = 20 * time.Millisecond
	lastRepush  = 500 * time.Millisecond
	// LivenessMargin is added to solo window and lease before an owner without
	// sign of life counts as unable to start anything. It is longer than the
	// interval of the signs of life plus that of polls.
	LivenessMargin = 5 * time.Second
)

// PendingShard is one shard that a staged version waits for.
type PendingShard struct {
	Shard  string    `json:"shard"`
	AZ     string    `json:"az"`
	Owner  string    `json:"owner"`
	Reason string    `json:"reason"`
	Since  time.Time `json:"since"`
}

// Progress is the state of a staged version.
type Progress struct {
	Version config.Version `json:"version"`
	Waiting []PendingShard `json:"waiting"`
}

// silence is how long an owner's sign of life has not changed, on the clock of
// this process alone.
type silence struct {
	aliveVersion int64
	fence        int64
	since        time.Time
}

// driver brings one staged version to acceptance. Several processes may drive
// the same version.
type driver struct {
	sync      *Sync
	staged    VersionInfo
	body      []byte // of the staged version's row, for pushes
	shards    []config.Shard
	patience  time.Duration // silence after which an owner can start nothing
	progress  func(Progress)
	started   time.Time
	watched   []ShardState
	silent    map[string]silence
	confirmed map[string]*rpc.ShardDigest // by shard, highest fence and version
	replies   chan *rpc.StageReply
	pushing   map[string]bool
	group     *errgroup.Group
	reported  []PendingShard
}

// newDriver prepares to drive the staged version that this process holds.
func (s *Sync) newDriver(ctx context.Context, progress func(Progress)) (*driver, error) {
	now := s.current.Load()
	record, err := s.store.Version(ctx, now.staged.Version)
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
	return &driver{
		sync:      s,
		staged:    now.staged,
		body:      body,
		shards:    shardsOfEither(now.acceptedConfig, now.stagedConfig),
		patience:  patience(now.acceptedConfig, now.stagedConfig),
		progress:  progress,
		started:   time.Now(),
		silent:    map[string]silence{},
		confirmed: map[string]*rpc.ShardDigest{},
		replies:   make(chan *rpc.StageReply),
		pushing:   map[string]bool{},
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

// patience is the longer solo window and the longer lease of both versions,
// since an owner may not know the staged one.
func patience(accepted, staged *config.Config) time.Duration {
	var solo, lease time.Duration
	for _, c := range []*config.Config{accepted, staged} {
		if c != nil {
			solo = max(solo, c.Policy.SoloWindow())
			lease = max(lease, c.Policy.Lease())
		}
	}
	return solo + lease + LivenessMargin
}

// run pushes the version and accepts it as soon as every shard has confirmed it
// or can no longer start anything under an older one. It returns nil once the
// version is accepted, by whomever, and ctx's error if ctx ends before.
func (d *driver) run(ctx context.Context, interval time.Duration) error {
	pushCtx, stopPushes := context.WithCancel(ctx)
	d.group = new(errgroup.Group)
	defer func() {
		stopPushes()
		_ = d.group.Wait()
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	d.watch(ctx)
	for {
		d.push(pushCtx)
		changed := d.sync.Changed()
		done, err := d.step(ctx)
		if done || err != nil {
			return trace.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-changed:
		case reply := <-d.replies:
			d.take(reply.GetShards())
		case <-ticker.C:
			d.watch(ctx)
		}
	}
}

// step accepts the version if nothing is awaited any more.
func (d *driver) step(ctx context.Context) (bool, error) {
	if d.sync.current.Load().accepted.Version >= d.staged.Version {
		return true, nil
	}
	if d.watched == nil {
		d.report([]PendingShard{{Reason: "the table cannot be read", Since: d.started}})
		return false, nil
	}
	d.take(d.sync.opts.Local())
	d.take(d.sync.opts.Peers.Confirmations())
	waiting := d.waiting(time.Now())
	d.report(waiting)
	if len(waiting) > 0 {
		return false, nil
	}
	if err := d.sync.store.accept(ctx, d.staged); err != nil {
		return false, trace.Wrap(err)
	}
	counters.Add("accepted", 1)
	return true, trace.Wrap(d.sync.learn(ctx, learned{accepted: d.staged}))
}

// watch reads the owners. Without an answer the last known state stays: an
// owner that took a shard since then reads the staged version before it starts
// anything.
func (d *driver) watch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	counters.Add("owner_reads", 1)
	states, err := d.sync.opts.Shards.Shards(ctx)
	if err != nil {
		counters.Add("owner_read_failures", 1)
		return
	}
	d.watched = append(make([]ShardState, 0, len(states)), states...)
	now := time.Now()
	for _, st := range states {
		last, known := d.silent[st.Shard]
		if !known || last.aliveVersion != st.AliveVersion || last.fence != st.Fence {
			d.silent[st.Shard] = silence{aliveVersion: st.AliveVersion, fence: st.Fence, since: now}
		}
	}
}

// take keeps the newest confirmation of each shard.
func (d *driver) take(digests []*rpc.ShardDigest) {
	for _, digest := range digests {
		old := d.confirmed[digest.GetShard()]
		newer := digest.GetFence() > old.GetFence() ||
			digest.GetFence() == old.GetFence() && digest.GetConfirmed() > old.GetConfirmed()
		if old == nil || newer {
			d.confirmed[digest.GetShard()] = digest
		}
	}
}

// waiting returns the shards that may still start work under an older version.
func (d *driver) waiting(now time.Time) []PendingShard {
	var waiting []PendingShard
	for _, shard := range d.shards {
		if w, waits := d.waitFor(shard, now); waits {
			waiting = append(waiting, w)
		}
	}
	return waiting
}

func (d *driver) waitFor(shard config.Shard, now time.Time) (PendingShard, bool) {
	i := slices.IndexFunc(d.watched, func(s ShardState) bool { return s.Shard == shard.Name })
	if i < 0 || d.watched[i].Owner == "" {
		return PendingShard{}, false
	}
	st := d.watched[i]
	c := d.confirmed[shard.Name]
	if c.GetFence() == st.Fence && c.GetOwner() == st.Owner && config.Version(c.GetConfirmed()) >= d.staged.Version {
		return PendingShard{}, false
	}
	silent := now.Sub(d.silent[shard.Name].since)
	if silent > d.patience {
		return PendingShard{}, false
	}
	w := PendingShard{Shard: shard.Name, AZ: shard.AZ, Owner: st.Owner, Since: d.started, Reason: "its owner has not confirmed the version"}
	if silent > LivenessMargin {
		w.Since = d.silent[shard.Name].since
		w.Reason = "its owner gives no sign of life and may start work until " +
			w.Since.Add(d.patience).UTC().Format(time.TimeOnly) + " UTC"
	}
	return w, true
}

// report tells the caller if what is awaited has changed.
func (d *driver) report(waiting []PendingShard) {
	if slices.Equal(waiting, d.reported) {
		return
	}
	d.reported = waiting
	d.progress(Progress{Version: d.staged.Version, Waiting: waiting})
}

// push starts a goroutine for each peer that has none yet.
func (d *driver) push(ctx context.Context) {
	for _, peer := range d.sync.opts.Peers.Peers() {
		if !d.pushing[peer.Host] {
			d.pushing[peer.Host] = true
			d.group.Go(func() error {
				d.pushTo(ctx, peer)
				return nil
			})
		}
	}
}

// pushTo repeats the push until the drive ends, because an owner confirms some
// time after its process has taken the version in.
func (d *driver) pushTo(ctx context.Context, peer Peer) {
	delay := firstRepush
	obeys := int64(0)
	for {
		r := &rpc.StageRequest{Staged: int64(d.staged.Version), Accepted: int64(d.staged.Base)}
		if obeys < r.GetStaged() {
			r.Body = d.body
		}
		reply, err := stageAt(ctx, peer, r)
		if err == nil {
			obeys = reply.GetObeys()
			select {
			case d.replies <- reply:
			case <-ctx.Done():
			}
		}
		if wait.For(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, lastRepush)
	}
}

func stageAt(ctx context.Context, peer Peer, r *rpc.StageRequest) (*rpc.StageReply, error) {
	ctx, cancel := context.WithTimeout(ctx, PushTimeout)
	defer cancel()
	counters.Add("pushes_sent", 1)
	return peer.RPC.Stage(ctx, r)
}

// runAnnouncer tells the peers of versions that were accepted here. An apply
// does not wait for it: a peer that does not answer acts on nothing.
func (s *Sync) runAnnouncer(ctx context.Context) error {
	for {
		select {
		case v := <-s.announce:
			s.pushAccepted(ctx, v)
		case <-ctx.Done():
			return nil
		}
	}
}

// pushAccepted tells all peers once that the version is accepted. Polling
// reaches those that do not hear it.
func (s *Sync) pushAccepted(ctx context.Context, v config.Version) {
	group := new(errgroup.Group)
	for _, peer := range s.opts.Peers.Peers() {
		group.Go(func() error {
			_, err := stageAt(ctx, peer, &rpc.StageRequest{Staged: int64(v), Accepted: int64(v)})
			if err != nil {
				counters.Add("push_errors", 1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// noteWaiting records which shards a version waits for.
func (s *Sync) noteWaiting(p Progress) {
	for _, w := range p.Waiting {
		s.opts.Recorder.Record(timeline.Event{
			Kind:   timeline.KindConfigStaged,
			Target: versionText(p.Version),
			AZ:     w.AZ,
			Detail: "waits for shard " + w.Shard + ": " + w.Reason,
		})
	}
}

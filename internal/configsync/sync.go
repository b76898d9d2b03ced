// Package configsync stores the versions of the configuration in the platform's table,
// rolls new versions out to the entry hosts, and provides each process with its effective
// configuration.
//
// A new version is staged first. Every host that knows the staged version acts on the
// stricter merge of it and the accepted version. The staged version becomes the accepted
// one when each shard's owner has confirmed it or can no longer start work under an older
// version. The process that received the apply, the applier, rolls the version out; if the
// applier fails, another host completes the rollout.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cuminloft/internal/config"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
)

// Intervals of the synchronisation.
const (
	// PollInterval is the mean interval between two polls of the version rows.
	PollInterval = time.Second
	// PollJitter is the maximum deviation from PollInterval.
	PollJitter = 100 * time.Millisecond
	// PollTimeout bounds one poll.
	PollTimeout = time.Second
	// FreshFor is how long after the start of the last successful poll a process may act
	// on the configuration without another poll.
	FreshFor = 3 * time.Second
	// refreshTimeout bounds the wait for a poll that a caller requested.
	refreshTimeout = 2 * time.Second
)

// Options configures a Sync.
type Options struct {
	Host  string
	Table platform.Table
	Peers Peers
	// Shards reads the owner of each shard; nil reads the table.
	Shards ShardReader
	// Local returns the digests of the shards that this process owns, with the versions
	// that it has confirmed; may be nil.
	Local    func() []*rpc.ShardDigest
	Recorder timeline.Recorder
	Log      logr.Logger
}

// Sync holds the accepted and the staged configuration of this process. Only the loop of
// Run changes them; readers use an immutable snapshot. Versions never go backwards.
type Sync struct {
	opts          Options
	store         *Store
	requests      chan request
	current       atomic.Pointer[snapshot]
	lastPolls     atomic.Pointer[pollTimes]
	activeApplies atomic.Int32        // number of applies in progress in this process
	announcements chan config.Version // accepted by this process, to be announced to the peers
}

var _ config.View = (*Sync)(nil)

// snapshot is the immutable state of a Sync at one moment.
type snapshot struct {
	accepted       VersionInfo
	acceptedConfig *config.Config
	staged         VersionInfo // the newest staged version; pending if newer than accepted
	stagedConfig   *config.Config
	effective      *config.Config
	changed        chan struct{} // closed when a newer snapshot is published
}

// hasPending reports whether a staged version waits for acceptance.
func (s *snapshot) hasPending() bool { return s.staged.Version > s.accepted.Version }

// effectiveVersion returns the highest version that is part of the effective configuration.
func (s *snapshot) effectiveVersion() config.Version {
	return max(s.accepted.Version, s.staged.Version)
}

// pollTimes holds the start times of the last successful and the last failed poll.
type pollTimes struct {
	succeeded time.Time
	failed    time.Time
}

// request asks the loop of Run to adopt versions or to poll the table.
type request struct {
	update  *versionUpdate // versions to adopt, from an apply or a peer
	poll    chan error     // if not nil, poll the table and send the result here
	adopted chan struct{}  // closed when the update is adopted
}

// versionUpdate holds versions, each with its configuration unless the snapshot has it.
type versionUpdate struct {
	accepted, staged             VersionInfo
	acceptedConfig, stagedConfig *config.Config
}

// New returns a Sync without a configuration. Run starts it.
func New(opts Options) *Sync {
	if opts.Shards == nil {
		opts.Shards = NewTableShardReader(opts.Table)
	}
	if opts.Local == nil {
		opts.Local = func() []*rpc.ShardDigest { return nil }
	}
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	s := &Sync{opts: opts, store: NewStore(opts.Table), requests: make(chan request), announcements: make(chan config.Version, 16)}
	s.current.Store(&snapshot{changed: make(chan struct{})})
	s.lastPolls.Store(&pollTimes{})
	return s
}

// Run polls the table, adopts versions that peers push, and completes rollouts whose
// applier failed, until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runLoop(ctx) })
	group.Go(func() error { return s.runTakeover(ctx) })
	group.Go(func() error { return s.runAnnouncer(ctx) })
	return group.Wait()
}

// runLoop is the only goroutine that changes the snapshot.
func (s *Sync) runLoop(ctx context.Context) error {
	p := &poller{sync: s, results: make(chan pollResult, 1)}
	nextInterval := func() time.Duration { return PollInterval - PollJitter + rand.N(2*PollJitter) }
	p.start(ctx)
	timer := time.NewTimer(nextInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stop()
			return nil
		case <-timer.C:
			p.due = p.running
			p.start(ctx)
			timer.Reset(nextInterval())
		case req := <-s.requests:
			if req.update != nil {
				s.adopt(*req.update)
				close(req.adopted)
			}
			if req.poll != nil {
				p.nextWaiters = append(p.nextWaiters, req.poll)
				p.start(ctx)
			}
		case result := <-p.results:
			p.handleResult(ctx, result)
		}
	}
}

// poller runs one poll at a time for runLoop.
type poller struct {
	sync        *Sync
	results     chan pollResult
	running     bool
	due         bool         // the timer fired while a poll was running
	waiters     []chan error // callers that wait for the running poll
	nextWaiters []chan error // callers that wait for the next poll
}

// start starts a poll unless one is running.
func (p *poller) start(ctx context.Context) {
	if p.running {
		return
	}
	p.running = true
	p.due = false
	p.waiters, p.nextWaiters = p.nextWaiters, nil
	began := time.Now()
	known := p.sync.current.Load()
	go func() { p.results <- p.sync.poll(ctx, known, began) }()
}

// handleResult processes the result of the running poll and answers its callers. If a pushed
// version made the result incomplete, the poll is repeated.
func (p *poller) handleResult(ctx context.Context, result pollResult) {
	p.running = false
	if !p.sync.handlePoll(result) {
		p.nextWaiters = append(p.waiters, p.nextWaiters...)
		p.start(ctx)
		return
	}
	for _, w := range p.waiters {
		w <- result.err
	}
	if len(p.nextWaiters) > 0 || p.due {
		p.start(ctx)
	}
}

// stop waits for the running poll, which ends when the context of Run is done.
func (p *poller) stop() {
	if p.running {
		<-p.results
	}
}

// pollResult is the result of a poll.
type pollResult struct {
	began  time.Time
	update versionUpdate
	err    error
}

// poll reads the version rows, and the configurations that the snapshot known lacks.
func (s *Sync) poll(ctx context.Context, known *snapshot, began time.Time) pollResult {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	counters.Add("polls", 1)
	state, err := s.store.readState(ctx)
	if err != nil {
		return pollResult{began: began, err: trace.Wrap(err)}
	}
	u := versionUpdate{accepted: state.accepted, staged: state.staged}
	if state.accepted.Version > known.accepted.Version && state.accepted.Version != known.staged.Version {
		u.acceptedConfig, err = s.fetch(ctx, state.accepted.Version)
	}
	if err == nil && state.staged.Version > known.staged.Version && state.staged.Version != state.accepted.Version {
		u.stagedConfig, err = s.fetch(ctx, state.staged.Version)
	}
	return pollResult{began: began, update: u, err: trace.Wrap(err)}
}

func (s *Sync) fetch(ctx context.Context, v config.Version) (*config.Config, error) {
	counters.Add("bodies_read", 1)
	return s.store.config(ctx, v)
}

// handlePoll adopts the result of a poll. It returns false if the poll has to be repeated,
// because the snapshot changed during the poll and the result lacks a configuration.
func (s *Sync) handlePoll(result pollResult) bool {
	times := *s.lastPolls.Load()
	if result.err != nil {
		counters.Add("poll_failures", 1)
		if times.failed.Before(times.succeeded) || times.failed.IsZero() {
			s.opts.Recorder.Record(timeline.Event{Kind: timeline.KindPlatformState, Detail: "configuration cannot be read"})
			s.opts.Log.Info("configuration cannot be read", "error", result.err.Error())
		}
		times.failed = result.began
	} else {
		if !s.adopt(result.update) {
			return false
		}
		times.succeeded = result.began
	}
	s.lastPolls.Store(&times)
	return true
}

// adopt adds the versions of u that are newer to the snapshot. It returns false if the
// configuration of such a version is missing.
func (s *Sync) adopt(u versionUpdate) bool {
	current := s.current.Load()
	next := *current
	if u.accepted.Version > current.accepted.Version {
		c := u.acceptedConfig
		if c == nil && u.accepted.Version == current.staged.Version {
			c = current.stagedConfig
		}
		if c == nil {
			return false
		}
		next.accepted, next.acceptedConfig = u.accepted, c
	}
	if u.staged.Version > current.staged.Version {
		c := u.stagedConfig
		if c == nil && u.staged.Version == next.accepted.Version {
			c = next.acceptedConfig
		}
		if c == nil {
			return false
		}
		next.staged, next.stagedConfig = u.staged, c
	}
	if next.accepted.Version != current.accepted.Version || next.staged.Version != current.staged.Version {
		s.publish(current, next)
	}
	return true
}

// publish makes next the current snapshot. Before the first version is accepted there is
// no effective configuration, even while that version is staged.
func (s *Sync) publish(current *snapshot, next snapshot) {
	next.effective = next.acceptedConfig
	if next.hasPending() && next.acceptedConfig != nil {
		next.effective = config.MergeStricter(next.acceptedConfig, next.stagedConfig)
	}
	next.changed = make(chan struct{})
	s.current.Store(&next)
	close(current.changed)
	if next.hasPending() && next.staged.Version > current.staged.Version {
		s.recordVersion(timeline.KindConfigStaged, next.staged)
	}
	if next.accepted.Version > current.accepted.Version {
		s.recordVersion(timeline.KindConfigAccepted, next.accepted)
	}
}

// Effective implements config.View.
func (s *Sync) Effective() (*config.Config, config.Version) {
	current := s.current.Load()
	return current.effective, current.effectiveVersion()
}

// Accepted returns the accepted configuration, nil if none was read yet.
func (s *Sync) Accepted() (*config.Config, config.Version) {
	current := s.current.Load()
	return current.acceptedConfig, current.accepted.Version
}

// Staged returns the version that waits for acceptance, and false if there is none.
func (s *Sync) Staged() (VersionInfo, bool) {
	current := s.current.Load()
	return current.staged, current.hasPending()
}

// Versions returns the accepted version and the version that waits for acceptance, zero
// if there is none.
func (s *Sync) Versions() (accepted, staged int64) {
	current := s.current.Load()
	if current.hasPending() {
		staged = int64(current.staged.Version)
	}
	return int64(current.accepted.Version), staged
}

// Changed implements config.View. The channel is also closed when the staged version
// becomes the accepted one.
func (s *Sync) Changed() <-chan struct{} { return s.current.Load().changed }

// EnsureFresh implements config.View. If a poll failed within the last FreshFor, it does
// not poll again and checks only the solo window.
func (s *Sync) EnsureFresh(ctx context.Context) error {
	now := time.Now()
	times := s.lastPolls.Load()
	if now.Sub(times.succeeded) > FreshFor && now.Sub(times.failed) > FreshFor {
		err := s.Refresh(ctx)
		if err == nil && s.current.Load().effective != nil {
			return nil
		}
		times = s.lastPolls.Load()
	}
	effective := s.current.Load().effective
	if effective == nil {
		return trace.Wrap(config.ErrStale, "no configuration was read yet")
	}
	if age := time.Since(times.succeeded); age > effective.Policy.SoloWindow() {
		return trace.Wrap(config.ErrStale, "last read %v ago", age.Round(time.Second))
	}
	return nil
}

// Refresh implements config.View.
func (s *Sync) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	result := make(chan error, 1)
	select {
	case s.requests <- request{poll: result}:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case err := <-result:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// update passes versions to the loop of Run and waits until they are adopted.
func (s *Sync) update(ctx context.Context, u versionUpdate) error {
	req := request{update: &u, adopted: make(chan struct{})}
	select {
	case s.requests <- req:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case <-req.adopted:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Stage handles a version that a peer pushes; the Peer service delegates to it. The reply
// holds the effective version of this process and the confirmations of its shards.
func (s *Sync) Stage(ctx context.Context, r *rpc.StageRequest) (*rpc.StageReply, error) {
	counters.Add("pushes_received", 1)
	if err := s.handlePush(ctx, r); err != nil {
		counters.Add("push_failures", 1)
	}
	return &rpc.StageReply{
		Host:   s.opts.Host,
		Obeys:  int64(s.current.Load().effectiveVersion()),
		Shards: s.opts.Local(),
	}, nil
}

func (s *Sync) handlePush(ctx context.Context, r *rpc.StageRequest) error {
	current := s.current.Load()
	u := versionUpdate{accepted: VersionInfo{Version: config.Version(r.GetAccepted())}}
	if u.accepted.Version == current.staged.Version {
		u.accepted = current.staged
	}
	if len(r.GetBody()) > 0 && config.Version(r.GetStaged()) > current.staged.Version {
		record, err := decodeRecord("of a push", r.GetBody())
		if err != nil {
			return trace.Wrap(err)
		}
		u.staged = record.VersionInfo
		u.stagedConfig, err = record.Config()
		if err != nil {
			return trace.Wrap(err)
		}
	}
	if err := s.update(ctx, u); err != nil {
		return trace.Wrap(err)
	}
	current = s.current.Load()
	if int64(current.effectiveVersion()) < r.GetStaged() || int64(current.accepted.Version) < r.GetAccepted() {
		return s.Refresh(ctx)
	}
	return nil
}

func (s *Sync) recordVersion(kind timeline.Kind, info VersionInfo) {
	s.opts.Recorder.Record(timeline.Event{Kind: kind, Target: versionText(info.Version), Detail: "by " + info.Author})
	s.opts.Log.Info(string(kind), "version", int64(info.Version), "author", info.Author)
}

// LastRead returns when the last successful poll of the table began.
func (s *Sync) LastRead() time.Time { return s.lastPolls.Load().succeeded }

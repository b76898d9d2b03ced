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
	// PollInterval separates two reads of the version rows.
	PollInterval = time.Second
	// PollJitter is how much a poll may come earlier or later.
	PollJitter = 100 * time.Millisecond
	// PollTimeout bounds one poll.
	PollTimeout = time.Second
	// FreshFor is how long after the start of the last successful poll the
	// configuration may be acted on without another.
	FreshFor = 3 * time.Second
	// refreshTimeout bounds the wait for a poll that a caller asked for.
	refreshTimeout = 2 * time.Second
)

// Options are what a Sync needs.
type Options struct {
	Host  string
	Table platform.Table
	Peers Peers
	// Shards tells who owns each shard; nil reads the table.
	Shards ShardReader
	// Local returns the digests of the shards that this process owns; may be nil.
	Local    func() []*rpc.ShardDigest
	Recorder timeline.Recorder
	Log      logr.Logger
}

// Sync keeps this process' accepted and staged configuration. One goroutine,
// Run, changes them; readers use an immutable snapshot. Versions never go
// backwards.
type Sync struct {
	opts     Options
	store    *Store
	inbox    chan message
	current  atomic.Pointer[snapshot]
	polled   atomic.Pointer[pollTimes]
	applying atomic.Int32        // applies that run in this process
	announce chan config.Version // accepted here; peers are told
}

var _ config.View = (*Sync)(nil)

// snapshot is what one process knows of the versions at one moment.
type snapshot struct {
	accepted       VersionInfo
	acceptedConfig *config.Config
	staged         VersionInfo // of the newest staged version; open if newer than accepted
	stagedConfig   *config.Config
	effective      *config.Config
	changed        chan struct{} // closed when a newer snapshot is published
}

// open reports whether a staged version waits for acceptance.
func (s *snapshot) open() bool { return s.staged.Version > s.accepted.Version }

// obeys returns the highest version that the effective configuration obeys.
func (s *snapshot) obeys() config.Version { return max(s.accepted.Version, s.staged.Version) }

// pollTimes are when the last polls began.
type pollTimes struct {
	succeeded time.Time
	failed    time.Time
}

// message is an order to Run.
type message struct {
	learned *learned   // versions from the table or a peer
	poll    chan error // poll the table anew and report here
	done    chan struct{}
}

// learned are versions with the configurations that the process lacked.
type learned struct {
	accepted, staged             VersionInfo
	acceptedConfig, stagedConfig *config.Config
}

// New returns a Sync that knows no version yet. Run starts it.
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
	s := &Sync{opts: opts, store: NewStore(opts.Table), inbox: make(chan message), announce: make(chan config.Version, 16)}
	s.current.Store(&snapshot{changed: make(chan struct{})})
	s.polled.Store(&pollTimes{})
	return s
}

// Run polls, takes in what peers push and finishes staged versions whose
// applier died, until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runLoop(ctx) })
	group.Go(func() error { return s.runFinisher(ctx) })
	group.Go(func() error { return s.runAnnouncer(ctx) })
	return group.Wait()
}

// runLoop owns the snapshot.
func (s *Sync) runLoop(ctx context.Context) error {
	p := &poller{sync: s, ended: make(chan pollEnd, 1)}
	interval := func() time.Duration { return PollInterval - PollJitter + rand.N(2*PollJitter) }
	p.start(ctx)
	timer := time.NewTimer(interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stop()
			return nil
		case <-timer.C:
			p.due = p.running
			p.start(ctx)
			timer.Reset(interval())
		case m := <-s.inbox:
			if m.learned != nil {
				s.adopt(*m.learned)
				close(m.done)
			}
			if m.poll != nil {
				p.next = append(p.next, m.poll)
				p.start(ctx)
			}
		case end := <-p.ended:
			p.finish(ctx, end)
		}
	}
}

// poller runs one poll at a time for runLoop.
type poller struct {
	sync    *Sync
	ended   chan pollEnd
	running bool
	due     bool         // the timer fired while a poll ran
	waiting []chan error // callers that the running poll answers
	next    []chan error // callers that came after it began
}

// start starts a poll unless one runs.
func (p *poller) start(ctx context.Context) {
	if p.running {
		return
	}
	p.running = true
	p.due = false
	p.waiting, p.next = p.next, nil
	began := time.Now()
	known := p.sync.current.Load()
	go func() { p.ended <- p.sync.poll(ctx, known, began) }()
}

// finish takes in the poll's result and answers its callers. A poll that was
// overtaken by a push is repeated.
func (p *poller) finish(ctx context.Context, end pollEnd) {
	p.running = false
	if !p.sync.pollEnded(end) {
		p.next = append(p.waiting, p.next...)
		p.start(ctx)
		return
	}
	for _, w := range p.waiting {
		w <- end.err
	}
	if len(p.next) > 0 || p.due {
		p.start(ctx)
	}
}

// stop waits for the running poll, which ends with the context of Run.
func (p *poller) stop() {
	if p.running {
		<-p.ended
	}
}

// pollEnd is the result of a poll.
type pollEnd struct {
	began   time.Time
	learned learned
	err     error
}

// poll reads the version rows and the configurations that known lacks.
func (s *Sync) poll(ctx context.Context, known *snapshot, began time.Time) pollEnd {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	counters.Add("polls", 1)
	h, err := s.store.heads(ctx)
	if err != nil {
		return pollEnd{began: began, err: trace.Wrap(err)}
	}
	l := learned{accepted: h.accepted, staged: h.staged}
	if h.accepted.Version > known.accepted.Version && h.accepted.Version != known.staged.Version {
		l.acceptedConfig, err = s.fetch(ctx, h.accepted.Version)
	}
	if err == nil && h.staged.Version > known.staged.Version && h.staged.Version != h.accepted.Version {
		l.stagedConfig, err = s.fetch(ctx, h.staged.Version)
	}
	return pollEnd{began: began, learned: l, err: trace.Wrap(err)}
}

func (s *Sync) fetch(ctx context.Context, v config.Version) (*config.Config, error) {
	counters.Add("bodies_read", 1)
	return s.store.config(ctx, v)
}

// pollEnded returns false if the poll lacks a configuration, because the
// snapshot changed meanwhile, and has to be repeated.
func (s *Sync) pollEnded(end pollEnd) bool {
	times := *s.polled.Load()
	if end.err != nil {
		counters.Add("poll_failures", 1)
		if times.failed.Before(times.succeeded) || times.failed.IsZero() {
			s.opts.Recorder.Record(timeline.Event{Kind: timeline.KindPlatformState, Detail: "configuration cannot be read"})
			s.opts.Log.Info("configuration cannot be read", "error", end.err.Error())
		}
		times.failed = end.began
	} else {
		if !s.adopt(end.learned) {
			return false
		}
		times.succeeded = end.began
	}
	s.polled.Store(&times)
	return true
}

// adopt takes over what is newer than the current snapshot. It returns false if
// l lacks a configuration for that.
func (s *Sync) adopt(l learned) bool {
	now := s.current.Load()
	next := *now
	if l.accepted.Version > now.accepted.Version {
		c := l.acceptedConfig
		if c == nil && l.accepted.Version == now.staged.Version {
			c = now.stagedConfig
		}
		if c == nil {
			return false
		}
		next.accepted, next.acceptedConfig = l.accepted, c
	}
	if l.staged.Version > now.staged.Version {
		c := l.stagedConfig
		if c == nil && l.staged.Version == next.accepted.Version {
			c = next.acceptedConfig
		}
		if c == nil {
			return false
		}
		next.staged, next.stagedConfig = l.staged, c
	}
	if next.accepted.Version != now.accepted.Version || next.staged.Version != now.staged.Version {
		s.publish(now, next)
	}
	return true
}

// publish makes next visible. Before the first accepted version nothing is in
// force, so a staged first version allows nothing either.
func (s *Sync) publish(now *snapshot, next snapshot) {
	next.effective = next.acceptedConfig
	if next.open() && next.acceptedConfig != nil {
		next.effective = config.MergeStricter(next.acceptedConfig, next.stagedConfig)
	}
	next.changed = make(chan struct{})
	s.current.Store(&next)
	close(now.changed)
	if next.open() && next.staged.Version > now.staged.Version {
		s.note(timeline.KindConfigStaged, next.staged)
	}
	if next.accepted.Version > now.accepted.Version {
		s.note(timeline.KindConfigAccepted, next.accepted)
	}
}

// Effective implements config.View.
func (s *Sync) Effective() (*config.Config, config.Version) {
	now := s.current.Load()
	return now.effective, now.obeys()
}

// Accepted returns the accepted configuration, nil if none was read yet.
func (s *Sync) Accepted() (*config.Config, config.Version) {
	now := s.current.Load()
	return now.acceptedConfig, now.accepted.Version
}

// Staged returns the version that waits for acceptance, and false if none does.
func (s *Sync) Staged() (VersionInfo, bool) {
	now := s.current.Load()
	return now.staged, now.open()
}

// Versions returns the accepted version and the staged one, zero if none waits.
func (s *Sync) Versions() (accepted, staged int64) {
	now := s.current.Load()
	if now.open() {
		staged = int64(now.staged.Version)
	}
	return int64(now.accepted.Version), staged
}

// Changed implements config.View. It also tells of a step from staged to
// accepted.
func (s *Sync) Changed() <-chan struct{} { return s.current.Load().changed }

// EnsureFresh implements config.View. If the table could not be reached within the
// last FreshFor either, it decides by the solo window without another try.
func (s *Sync) EnsureFresh(ctx context.Context) error {
	now := time.Now()
	times := s.polled.Load()
	if now.Sub(times.succeeded) > FreshFor && now.Sub(times.failed) > FreshFor {
		err := s.Refresh(ctx)
		if err == nil && s.current.Load().effective != nil {
			return nil
		}
		times = s.polled.Load()
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
	ended := make(chan error, 1)
	select {
	case s.inbox <- message{poll: ended}:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case err := <-ended:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// learn hands versions to Run and waits until they are in force.
func (s *Sync) learn(ctx context.Context, l learned) error {
	m := message{learned: &l, done: make(chan struct{})}
	select {
	case s.inbox <- m:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case <-m.done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Stage takes in a peer's push; the Peer service delegates to it. The reply
// tells what this process obeys now and what its shards have confirmed.
func (s *Sync) Stage(ctx context.Context, r *rpc.StageRequest) (*rpc.StageReply, error) {
	counters.Add("pushes_received", 1)
	if err := s.takePush(ctx, r); err != nil {
		counters.Add("push_failures", 1)
	}
	return &rpc.StageReply{
		Host:   s.opts.Host,
		Obeys:  int64(s.current.Load().obeys()),
		Shards: s.opts.Local(),
	}, nil
}

func (s *Sync) takePush(ctx context.Context, r *rpc.StageRequest) error {
	now := s.current.Load()
	l := learned{accepted: VersionInfo{Version: config.Version(r.GetAccepted())}}
	if l.accepted.Version == now.staged.Version {
		l.accepted = now.staged
	}
	if len(r.GetBody()) > 0 && config.Version(r.GetStaged()) > now.staged.Version {
		record, err := decodeRecord("of a push", r.GetBody())
		if err != nil {
			return trace.Wrap(err)
		}
		l.staged = record.VersionInfo
		l.stagedConfig, err = record.Config()
		if err != nil {
			return trace.Wrap(err)
		}
	}
	if err := s.learn(ctx, l); err != nil {
		return trace.Wrap(err)
	}
	now = s.current.Load()
	if int64(now.obeys()) < r.GetStaged() || int64(now.accepted.Version) < r.GetAccepted() {
		return s.Refresh(ctx)
	}
	return nil
}

func (s *Sync) note(kind timeline.Kind, h VersionInfo) {
	s.opts.Recorder.Record(timeline.Event{Kind: kind, Target: versionText(h.Version), Detail: "by " + h.Author})
	s.opts.Log.Info(string(kind), "version", int64(h.Version), "author", h.Author)
}

// LastRead returns when the last successful poll of the table began.
func (s *Sync) LastRead() time.Time { return s.polled.Load().succeeded }

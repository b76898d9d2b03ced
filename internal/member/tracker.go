package member

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
)

// Intervals and timeouts of the membership protocol. One ping shows both sides that the
// other is alive, so of each pair of hosts only the one that has waited longer sends it.
const (
	// tickInterval is the interval at which the peers are checked.
	tickInterval = 250 * time.Millisecond
	// PingInterval is the time without a message after which an entry host of the own
	// AZ is pinged.
	PingInterval = time.Second
	// CrossAZPingInterval is the same for hosts of other AZs.
	CrossAZPingInterval = 4 * time.Second
	// PingTimeout bounds one ping.
	PingTimeout = 400 * time.Millisecond
	// CrossAZPingTimeout bounds one ping to another AZ.
	CrossAZPingTimeout = 1500 * time.Millisecond
	// FailureTimeout is the time without a message after which a member of the own AZ counts
	// as failed. It leaves time for several pings after the first one is lost.
	FailureTimeout = 2 * time.Second
	// CrossAZFailureTimeout is the same for members of other AZs.
	CrossAZFailureTimeout = 9 * time.Second
	// UsageInterval is the minimum time between two pings to one host that carry the
	// teams' usage; other pings leave the usage out.
	UsageInterval = 10 * time.Second
	// pauseLimit is the gap between two ticks above which this process assumes that it
	// was paused itself, and restarts the failure timeout of all peers.
	pauseLimit = 1500 * time.Millisecond
)

// Shard names one shard of the configuration in force.
type Shard struct {
	Name string
	AZ   string
}

// Options holds this host's description and the dependencies of a Tracker.
type Options struct {
	Self      *rpc.Member
	Seeds     []string // host:port of other entry hosts' RPC listeners; may be empty
	Table     platform.Table
	DialPeer  func(addr string) rpc.Peer
	DialShard func(addr string) rpc.Shard
	// Shards returns the shards of the configuration in force, in name order.
	Shards func() []Shard
	// Local returns the digests of the shards that this process owns, and their
	// owners by shard name.
	Local    func() ([]*rpc.ShardDigest, map[string]rpc.Shard)
	Versions func() (accepted, staged int64)
	// Clock stamps and merges hybrid logical clock readings; may be nil.
	Clock    Clock
	Recorder timeline.Recorder
	Log      logr.Logger
}

// Clock is a hybrid logical clock.
type Clock interface {
	Now() int64
	Observe(remote int64)
}

// peer is the tracker's state of another entry host.
type peer struct {
	member      *rpc.Member
	client      rpc.Peer
	shard       rpc.Shard
	lastContact time.Time
	usageSentAt time.Time // when a ping with the teams' usage was last sent
	alive       bool
	pinging     bool
	digests     []*rpc.ShardDigest
}

// peerAlive is the inbox message that another host sent or answered a ping.
type peerAlive struct {
	member  *rpc.Member
	digests []*rpc.ShardDigest
}

// pingEnded is the inbox message that a ping to a peer or seed was answered or failed.
type pingEnded struct {
	host string // empty for a seed
	seed string
}

// Tracker keeps the list of live entry hosts and of shard owners. One goroutine owns its
// state; readers use an immutable snapshot.
type Tracker struct {
	opts     Options
	inbox    chan any
	announce chan struct{}
	snapshot atomic.Pointer[snapshot]
	leaving  atomic.Bool

	// Owned by Run.
	peers    map[string]*peer
	seeds    map[string]bool // by address: whether a ping is in flight
	lastTick time.Time
	pings    *errgroup.Group
}

// snapshot is the state that readers of a Tracker use.
type snapshot struct {
	members []*rpc.Member
	peers   map[string]rpc.Peer
	remote  map[string]ShardRef // claim with the highest fence per shard, of other hosts only
}

// NewTracker returns a tracker whose only member is this host. Run starts it.
func NewTracker(opts Options) *Tracker {
	t := &Tracker{
		opts:     opts,
		inbox:    make(chan any, 256),
		announce: make(chan struct{}, 1),
		peers:    map[string]*peer{},
		seeds:    map[string]bool{},
	}
	for _, addr := range opts.Seeds {
		if addr != opts.Self.Addr {
			t.seeds[addr] = false
		}
	}
	t.publish()
	return t
}

// Leave announces to the other hosts that this host is leaving, so that they assign it
// no shards and route no requests to it.
func (t *Tracker) Leave() { t.leaving.Store(true) }

// Announce pings all live members at once, so that they learn a change of this host or of
// its shards before the next interval.
func (t *Tracker) Announce() {
	select {
	case t.announce <- struct{}{}:
	default: // an announcement is pending already
	}
}

// Run pings the other members until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	group, pingCtx := errgroup.WithContext(ctx)
	t.pings = group
	group.Go(func() error { return t.runRows(pingCtx) })
	t.lastTick = time.Now()
	t.tick(pingCtx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
			t.tick(pingCtx)
		case <-t.announce:
			t.pingAll(pingCtx)
		case m := <-t.inbox:
			t.handle(m)
		}
	}
}

func (t *Tracker) handle(message any) {
	switch m := message.(type) {
	case peerAlive:
		t.handlePeerAlive(m)
	case pingEnded:
		t.handlePingEnded(m)
	}
}

func (t *Tracker) handlePeerAlive(m peerAlive) {
	if m.member == nil || m.member.GetHost() == t.opts.Self.GetHost() {
		return
	}
	p := t.peers[m.member.GetHost()]
	if p == nil || p.member.GetAddr() != m.member.GetAddr() {
		p = &peer{
			client: t.opts.DialPeer(m.member.GetAddr()),
			shard:  t.opts.DialShard(m.member.GetAddr()),
		}
		t.peers[m.member.GetHost()] = p
	}
	p.member = m.member
	p.lastContact = time.Now()
	p.digests = keepUsage(p.digests, m.digests)
	if !p.alive {
		p.alive = true
		counters.Add("members_up", 1)
		t.opts.Recorder.Record(timeline.Event{Kind: timeline.KindMemberUp, Target: m.member.GetHost()})
		t.opts.Log.Info("entry host is up", "host", m.member.GetHost(), "az", m.member.GetAz())
	}
	delete(t.seeds, m.member.GetAddr())
	t.publish()
}

func (t *Tracker) handlePingEnded(m pingEnded) {
	if p := t.peers[m.host]; p != nil {
		p.pinging = false
	}
	if _, ok := t.seeds[m.seed]; ok {
		t.seeds[m.seed] = false
	}
}

// tick detects failed members and sends the pings that are due.
func (t *Tracker) tick(ctx context.Context) {
	now := time.Now()
	paused := now.Sub(t.lastTick) > pauseLimit
	t.lastTick = now
	for _, host := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[host]
		if paused {
			p.lastContact = now
		}
		t.detectFailure(p, now)
		if t.pingDue(p, now) {
			p.pinging = true
			t.pingPeer(ctx, host, p)
		}
	}
	for addr, busy := range t.seeds {
		if !busy {
			t.seeds[addr] = true
			t.ping(ctx, t.opts.DialPeer(addr), pingEnded{seed: addr}, false, true)
		}
	}
	t.publish()
}

// pingAll pings all live members, including those with a ping in flight: that ping
// carries the state before the change.
func (t *Tracker) pingAll(ctx context.Context) {
	for host, p := range t.peers {
		if p.alive {
			t.pingPeer(ctx, host, p)
		}
	}
	t.publish()
}

// pingPeer pings a known host, with the teams' usage if that is due.
func (t *Tracker) pingPeer(ctx context.Context, host string, p *peer) {
	now := time.Now()
	withUsage := now.Sub(p.usageSentAt) >= UsageInterval
	if withUsage {
		p.usageSentAt = now
	}
	t.ping(ctx, p.client, pingEnded{host: host}, t.sameAZ(p.member), withUsage)
}

func (t *Tracker) sameAZ(m *rpc.Member) bool { return m.GetAz() == t.opts.Self.GetAz() }

func (t *Tracker) pingDue(p *peer, now time.Time) bool {
	interval := CrossAZPingInterval
	if t.sameAZ(p.member) {
		interval = PingInterval
	}
	return !p.pinging && now.Sub(p.lastContact) >= interval
}

func (t *Tracker) detectFailure(p *peer, now time.Time) {
	limit := CrossAZFailureTimeout
	if t.sameAZ(p.member) {
		limit = FailureTimeout
	}
	if !p.alive || now.Sub(p.lastContact) <= limit {
		return
	}
	p.alive = false
	p.digests = nil
	counters.Add("members_down", 1)
	t.opts.Recorder.Record(timeline.Event{Kind: timeline.KindMemberDown, Target: p.member.GetHost()})
	t.opts.Log.Info("entry host counts as failed", "host", p.member.GetHost(), "az", p.member.GetAz())
}

// ping sends one ping in a new goroutine and sends the result to the inbox.
func (t *Tracker) ping(ctx context.Context, client rpc.Peer, end pingEnded, sameAZ, withUsage bool) {
	request := t.PingRequest(withUsage)
	timeout := CrossAZPingTimeout
	if sameAZ {
		timeout = PingTimeout
	}
	t.pings.Go(func() error {
		pingCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		counters.Add("pings_sent", 1)
		reply, err := client.Ping(pingCtx, request)
		if err == nil {
			t.observe(reply.GetHlc())
			t.send(ctx, peerAlive{member: reply.GetFrom(), digests: reply.GetShards()})
		} else {
			counters.Add("pings_failed", 1)
		}
		t.send(ctx, end)
		return nil
	})
}

func (t *Tracker) send(ctx context.Context, message any) {
	select {
	case t.inbox <- message:
	case <-ctx.Done():
	}
}

// PingRequest returns the ping request of this host, with or without the teams' usage.
func (t *Tracker) PingRequest(withUsage bool) *rpc.PingRequest {
	digests, _ := t.opts.Local()
	if !withUsage {
		digests = withoutUsage(digests)
	}
	accepted, staged := t.opts.Versions()
	return &rpc.PingRequest{
		From:      t.self(),
		Hlc:       t.now(),
		Shards:    digests,
		Accepted:  accepted,
		Staged:    staged,
		WithTeams: withUsage,
	}
}

func (t *Tracker) self() *rpc.Member {
	s := t.opts.Self
	return &rpc.Member{
		Host:        s.GetHost(),
		Az:          s.GetAz(),
		Addr:        s.GetAddr(),
		Incarnation: s.GetIncarnation(),
		Leaving:     t.leaving.Load(),
	}
}

func (t *Tracker) now() int64 {
	if t.opts.Clock == nil {
		return 0
	}
	return t.opts.Clock.Now()
}

func (t *Tracker) observe(remote int64) {
	if t.opts.Clock != nil {
		t.opts.Clock.Observe(remote)
	}
}

// Ping answers another host's ping; the Peer service delegates to it.
func (t *Tracker) Ping(ctx context.Context, r *rpc.PingRequest) (*rpc.PingReply, error) {
	t.observe(r.GetHlc())
	t.send(ctx, peerAlive{member: r.GetFrom(), digests: r.GetShards()})
	self := t.PingRequest(r.GetWithTeams())
	return &rpc.PingReply{
		From:     self.GetFrom(),
		Hlc:      self.GetHlc(),
		Shards:   self.GetShards(),
		Accepted: self.GetAccepted(),
		Staged:   self.GetStaged(),
	}, nil
}

// publish replaces the snapshot by the current state.
func (t *Tracker) publish() {
	s := &snapshot{
		members: []*rpc.Member{t.self()},
		peers:   map[string]rpc.Peer{},
		remote:  map[string]ShardRef{},
	}
	for _, host := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[host]
		if !p.alive {
			continue
		}
		s.members = append(s.members, p.member)
		s.peers[host] = p.client
		for _, d := range p.digests {
			s.claim(ShardRef{Name: d.GetShard(), AZ: d.GetAz(), Digest: d, Owner: p.shard})
		}
	}
	t.snapshot.Store(s)
}

// claim adds a host's claim to a shard, unless a claim with the same or a higher fence
// exists.
func (s *snapshot) claim(ref ShardRef) {
	if old, ok := s.remote[ref.Name]; ok && old.Digest.GetFence() >= ref.Digest.GetFence() {
		return
	}
	s.remote[ref.Name] = ref
}

// Members returns the live entry hosts, this one first.
func (t *Tracker) Members() []*rpc.Member { return t.snapshot.Load().members }

// Peer returns a client of a live member's Peer service.
func (t *Tracker) Peer(host string) (rpc.Peer, bool) {
	p, ok := t.snapshot.Load().peers[host]
	return p, ok
}

// Shards returns all shards of the configuration in force, in name order.
func (t *Tracker) Shards() []ShardRef {
	s := t.snapshot.Load()
	digests, owners := t.opts.Local()
	local := map[string]*rpc.ShardDigest{}
	for _, d := range digests {
		local[d.GetShard()] = d
	}
	var refs []ShardRef
	for _, shard := range t.opts.Shards() {
		refs = append(refs, resolve(shard, s.remote[shard.Name], local[shard.Name], owners[shard.Name]))
	}
	return refs
}

// resolve returns the local or the remote claim of a shard, the one with the higher
// fence.
func resolve(shard Shard, remote ShardRef, local *rpc.ShardDigest, owner rpc.Shard) ShardRef {
	ref := remote
	if local != nil && owner != nil && local.GetFence() >= remote.Digest.GetFence() {
		ref = ShardRef{Digest: local, Owner: owner, Local: true}
	}
	ref.Name = shard.Name
	ref.AZ = shard.AZ
	return ref
}

// resolveOne returns one shard with its owner.
func (t *Tracker) resolveOne(shard Shard) ShardRef {
	digests, owners := t.opts.Local()
	var local *rpc.ShardDigest
	for _, d := range digests {
		if d.GetShard() == shard.Name {
			local = d
		}
	}
	return resolve(shard, t.snapshot.Load().remote[shard.Name], local, owners[shard.Name])
}

// Shard returns one shard by name.
func (t *Tracker) Shard(name string) (ShardRef, bool) {
	for _, shard := range t.opts.Shards() {
		if shard.Name == name {
			return t.resolveOne(shard), true
		}
	}
	return ShardRef{}, false
}

var _ Directory = (*Tracker)(nil)

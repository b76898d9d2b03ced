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

// Intervals and timeouts of the membership protocol. One ping tells both sides
// that the other lives, so of each pair only the side that has waited longer
// sends it.
const (
	// tickInterval separates two looks at the peers.
	tickInterval = 250 * time.Millisecond
	// PingInterval is how long an entry host of the own AZ may be unheard before
	// it is pinged.
	PingInterval = time.Second
	// CrossAZPingInterval is the same for hosts of other AZs.
	CrossAZPingInterval = 4 * time.Second
	// PingTimeout bounds one ping.
	PingTimeout = 400 * time.Millisecond
	// CrossAZPingTimeout bounds one ping to another AZ.
	CrossAZPingTimeout = 1500 * time.Millisecond
	// FailureTimeout is how long a member of the own AZ may be unheard before it
	// counts as dead. It leaves time for several pings after the first is lost.
	FailureTimeout = 2 * time.Second
	// CrossAZFailureTimeout is the same for members of other AZs.
	CrossAZFailureTimeout = 9 * time.Second
	// UsageInterval separates two messages to one host that carry what each
	// team uses; the others leave it out.
	UsageInterval = 10 * time.Second
	// pauseLimit is the gap between two ticks from which on this process
	// assumes that it was paused itself and gives every peer a new chance.
	pauseLimit = 1500 * time.Millisecond
)

// Shard names one shard of the configuration in force.
type Shard struct {
	Name string
	AZ   string
}

// Options are what a Tracker needs.
type Options struct {
	Self      *rpc.Member
	Seeds     []string // host:port of other entry hosts' RPC listeners; may be empty
	Table     platform.Table
	DialPeer  func(addr string) rpc.Peer
	DialShard func(addr string) rpc.Shard
	// Shards returns the shards of the configuration in force, in name order.
	Shards func() []Shard
	// Local returns the digests of the shards that this process owns, and
	// their owners by shard name.
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

// peer is what the tracker knows of another entry host.
type peer struct {
	member  *rpc.Member
	client  rpc.Peer
	shard   rpc.Shard
	heard   time.Time
	teamsAt time.Time // when the last ping with the teams' use was sent to it
	alive   bool
	pinging bool
	digests []*rpc.ShardDigest
}

// heardFrom is the message that a member gave a sign of life.
type heardFrom struct {
	member  *rpc.Member
	digests []*rpc.ShardDigest
}

// pingEnded is the message that a ping to a peer or seed came back or failed.
type pingEnded struct {
	host string // empty for a seed
	seed string
}

// Tracker keeps the list of live entry hosts and of shard owners. One goroutine
// owns its state; readers use an immutable snapshot.
type Tracker struct {
	opts     Options
	inbox    chan any
	announce chan struct{}
	snapshot atomic.Pointer[snapshot]
	leaving  atomic.Bool

	// Owned by Run.
	peers    map[string]*peer
	seeds    map[string]bool // addr -> a ping is on its way
	lastTick time.Time
	pings    *errgroup.Group
}

// snapshot is what readers of a Tracker see.
type snapshot struct {
	members []*rpc.Member
	peers   map[string]rpc.Peer
	remote  map[string]ShardRef // newest claim per shard, other hosts' only
}

// NewTracker returns a tracker that knows this host only. Run starts it.
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

// Leave makes this host tell the others that it is leaving, so that they give
// it no shards and route no requests to it.
func (t *Tracker) Leave() { t.leaving.Store(true) }

// Announce pings every live member at once, so that a change of this host or of
// its shards is known before the next interval.
func (t *Tracker) Announce() {
	select {
	case t.announce <- struct{}{}:
	default: // one is pending already
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
	case heardFrom:
		t.heard(m)
	case pingEnded:
		t.pingEnded(m)
	}
}

func (t *Tracker) heard(m heardFrom) {
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
	p.heard = time.Now()
	p.digests = keepTeams(p.digests, m.digests)
	if !p.alive {
		p.alive = true
		counters.Add("members_up", 1)
		t.opts.Recorder.Record(timeline.Event{Kind: timeline.KindMemberUp, Target: m.member.GetHost()})
		t.opts.Log.Info("entry host is up", "host", m.member.GetHost(), "az", m.member.GetAz())
	}
	delete(t.seeds, m.member.GetAddr())
	t.publish()
}

func (t *Tracker) pingEnded(m pingEnded) {
	if p := t.peers[m.host]; p != nil {
		p.pinging = false
	}
	if _, ok := t.seeds[m.seed]; ok {
		t.seeds[m.seed] = false
	}
}

// tick notices silent members and sends the next pings.
func (t *Tracker) tick(ctx context.Context) {
	now := time.Now()
	paused := now.Sub(t.lastTick) > pauseLimit
	t.lastTick = now
	for _, host := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[host]
		if paused {
			p.heard = now
		}
		t.checkSilence(p, now)
		if t.wantsPing(p, now) {
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

// pingAll pings every live member, whether or not a ping is on its way: that
// one carries what was true before.
func (t *Tracker) pingAll(ctx context.Context) {
	for host, p := range t.peers {
		if p.alive {
			t.pingPeer(ctx, host, p)
		}
	}
	t.publish()
}

// pingPeer pings a known host, with the teams' use if it is due.
func (t *Tracker) pingPeer(ctx context.Context, host string, p *peer) {
	now := time.Now()
	withTeams := now.Sub(p.teamsAt) >= UsageInterval
	if withTeams {
		p.teamsAt = now
	}
	t.ping(ctx, p.client, pingEnded{host: host}, t.near(p.member), withTeams)
}

func (t *Tracker) near(m *rpc.Member) bool { return m.GetAz() == t.opts.Self.GetAz() }

func (t *Tracker) wantsPing(p *peer, now time.Time) bool {
	interval := CrossAZPingInterval
	if t.near(p.member) {
		interval = PingInterval
	}
	return !p.pinging && now.Sub(p.heard) >= interval
}

func (t *Tracker) checkSilence(p *peer, now time.Time) {
	limit := CrossAZFailureTimeout
	if t.near(p.member) {
		limit = FailureTimeout
	}
	if !p.alive || now.Sub(p.heard) <= limit {
		return
	}
	p.alive = false
	p.digests = nil
	counters.Add("members_down", 1)
	t.opts.Recorder.Record(timeline.Event{Kind: timeline.KindMemberDown, Target: p.member.GetHost()})
	t.opts.Log.Info("entry host is silent", "host", p.member.GetHost(), "az", p.member.GetAz())
}

// ping sends one ping from a goroutine of its own and reports to the inbox.
func (t *Tracker) ping(ctx context.Context, client rpc.Peer, end pingEnded, near, withTeams bool) {
	request := t.PingRequest(withTeams)
	timeout := CrossAZPingTimeout
	if near {
		timeout = PingTimeout
	}
	t.pings.Go(func() error {
		pingCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		counters.Add("pings_sent", 1)
		reply, err := client.Ping(pingCtx, request)
		if err == nil {
			t.observe(reply.GetHlc())
			t.send(ctx, heardFrom{member: reply.GetFrom(), digests: reply.GetShards()})
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

// PingRequest returns this host's part of a ping, with or without what each team uses.
func (t *Tracker) PingRequest(withTeams bool) *rpc.PingRequest {
	digests, _ := t.opts.Local()
	if !withTeams {
		digests = withoutTeams(digests)
	}
	accepted, staged := t.opts.Versions()
	return &rpc.PingRequest{
		From:      t.self(),
		Hlc:       t.now(),
		Shards:    digests,
		Accepted:  accepted,
		Staged:    staged,
		WithTeams: withTeams,
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
	t.send(ctx, heardFrom{member: r.GetFrom(), digests: r.GetShards()})
	self := t.PingRequest(r.GetWithTeams())
	return &rpc.PingReply{
		From:     self.GetFrom(),
		Hlc:      self.GetHlc(),
		Shards:   self.GetShards(),
		Accepted: self.GetAccepted(),
		Staged:   self.GetStaged(),
	}, nil
}

// publish makes the current state visible to readers.
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

// claim keeps the claim with the highest fence of each shard.
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

// resolve picks the claim with the higher fence, local or remote.
func resolve(shard Shard, remote ShardRef, local *rpc.ShardDigest, owner rpc.Shard) ShardRef {
	ref := remote
	if local != nil && owner != nil && local.GetFence() >= remote.Digest.GetFence() {
		ref = ShardRef{Digest: local, Owner: owner, Local: true}
	}
	ref.Name = shard.Name
	ref.AZ = shard.AZ
	return ref
}

// resolveOne looks up the owner of one shard.
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

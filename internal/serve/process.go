// Package serve is the entry host's daemon: it wires the parts that live as
// long as the process, starts and ends shard owners, and stops in an order that
// cuts off no request.
package serve

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cuminloft/internal/configsync"
	"cuminloft/internal/door"
	"cuminloft/internal/grant"
	"cuminloft/internal/member"
	"cuminloft/internal/model"
	"cuminloft/internal/owner"
	"cuminloft/internal/platform"
	"cuminloft/internal/platform/limit"
	"cuminloft/internal/rpc"
	"cuminloft/internal/settings"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// Bounds of an orderly stop.
const (
	// DrainTimeout is how long open requests may take to finish.
	DrainTimeout = 30 * time.Second
	// serverTimeout bounds the end of a listener after its requests are done.
	serverTimeout = 2 * time.Second
)

// Dependencies is what a process needs of the world: the platform and the workers.
type Dependencies struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Hosts   platform.HostList
	Connect func(model.WorkerSpec) worker.Client
}

// State is the life of a process as members and the balancer see it.
type State string

// The states of a process.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
)

// Process is one entry host's daemon.
type Process struct {
	settings *settings.Settings
	outside  Dependencies
	log      logr.Logger
	self     *rpc.Member
	state    atomic.Value // State

	clock   *timeline.Clock
	ring    *timeline.Ring
	sync    *configsync.Sync
	tracker *member.Tracker
	keeper  *keeper
	hosts   *hostWatch
	door    *door.Door

	callers net.Listener
	peers   net.Listener
}

// New listens on both addresses and wires the parts. Run starts them.
func New(s *settings.Settings, outside Dependencies, log logr.Logger) (*Process, error) {
	s.FillDefaults()
	p := &Process{
		settings: s,
		outside:  limited(outside, s.Budget),
		log:      log.WithValues("host", s.Host),
		self: &rpc.Member{
			Host:        s.Host,
			Az:          s.AZ,
			Addr:        s.RPCAdvertise,
			Incarnation: rand.Text(),
		},
	}
	p.state.Store(StateStarting)
	if err := p.listen(); err != nil {
		return nil, trace.Wrap(err)
	}
	p.wire()
	return p, nil
}

// limited returns the outside with the platform's calls kept within a budget.
func limited(outside Dependencies, b settings.Budget) Dependencies {
	limiter := limit.NewLimiter(limit.Budget{
		Reads:  float64(b.ReadsPerSecond),
		Writes: float64(b.WritesPerSecond),
		Burst:  b.WritesPerSecond,
	})
	outside.Table = limiter.Table(outside.Table)
	outside.Objects = limiter.Objects(outside.Objects)
	return outside
}

func (p *Process) listen() error {
	callers, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", p.settings.RPCListen)
	if err != nil {
		_ = callers.Close()
		return trace.Wrap(err, "listen for entry hosts")
	}
	p.callers = callers
	p.peers = peers
	return nil
}

// Addr returns the host:port that callers reach.
func (p *Process) Addr() string { return p.callers.Addr().String() }

// wire creates the parts of the process, innermost first.
func (p *Process) wire() {
	p.clock = &timeline.Clock{}
	p.ring = timeline.NewRing(p.settings.Host, p.settings.AZ, p.clock, timeline.DefaultEvents, timeline.DefaultBytes)
	clients := newRPCClients(p.settings.DialFrom)
	p.sync = configsync.New(configsync.Options{
		Host:     p.settings.Host,
		Table:    p.outside.Table,
		Peers:    p,
		Local:    p.localDigests,
		Recorder: p.ring,
		Log:      p.log.WithName("config"),
	})
	p.tracker = member.NewTracker(member.Options{
		Self:      p.self,
		Seeds:     p.settings.Peers,
		Table:     p.outside.Table,
		DialPeer:  clients.peer,
		DialShard: clients.shard,
		Shards:    p.shards,
		Local:     p.local,
		Versions:  p.sync.Versions,
		Clock:     p.clock,
		Recorder:  p.ring,
		Log:       p.log.WithName("member"),
	})
	p.keeper = newKeeper(keeperOptions{
		host:      p.settings.Host,
		az:        p.settings.AZ,
		shards:    p.shards,
		directory: p.tracker,
		released:  p.released,
		newOwner:  p.newOwner,

		outOfService: p.outOfService,
		changed:      p.tracker.Announce,
		log:          p.log.WithName("shards"),
	})
	p.hosts = newHostWatch(p.outside.Hosts, p.ownsShard, p.log.WithName("hosts"))
	p.door = p.newDoor()
}

// local returns the digests and the owners of the shards that this process
// owns. The tracker asks before the keeper is made.
func (p *Process) local() ([]*rpc.ShardDigest, map[string]rpc.Shard) {
	if p.keeper == nil {
		return nil, nil
	}
	return p.keeper.local()
}

func (p *Process) localDigests() []*rpc.ShardDigest {
	digests, _ := p.local()
	return digests
}

// Peers implements configsync.Peers.
func (p *Process) Peers() []configsync.Peer {
	return configsync.NewDirectoryPeers(p.tracker, p.self.GetHost()).Peers()
}

// Confirmations implements configsync.Peers.
func (p *Process) Confirmations() []*rpc.ShardDigest {
	return configsync.NewDirectoryPeers(p.tracker, p.self.GetHost()).Confirmations()
}

func (p *Process) ownsShard() bool { return len(*p.keeper.held.Load()) > 0 }

// shards returns the shards of the configuration in force.
func (p *Process) shards() []member.Shard {
	c, _ := p.sync.Effective()
	if c == nil {
		return nil
	}
	var shards []member.Shard
	for _, s := range c.Shards() {
		shards = append(shards, member.Shard{Name: s.Name, AZ: s.AZ})
	}
	return shards
}

// released reports whether the table says that nobody owns the shard.
func (p *Process) released(ctx context.Context, shard string) bool {
	ctx, cancel := context.WithTimeout(ctx, member.RowTimeout)
	defer cancel()
	o, err := owner.ReadOwnership(ctx, p.outside.Table, shard)
	return err == nil && (o.Host == "" || o.Released)
}

// newAdopter returns the adopter of lost AZs' shards.
func (p *Process) newAdopter() *adopter {
	return newAdopter(adopter{
		az:        p.self.GetAz(),
		shards:    p.shards,
		directory: p.tracker,

		adopt:         p.byLocalOwner((*owner.Owner).Adopt),
		adoptReleased: p.byLocalOwner((*owner.Owner).AdoptReleased),
		outOfService:  p.outOfService,
		log:           p.log.WithName("adopter"),
	})
}

// byLocalOwner returns a function that has the owner of the shard named by, if
// this process owns it, move the waiting jobs of another shard.
func (p *Process) byLocalOwner(move func(*owner.Owner, context.Context, string) (int, error)) func(ctx context.Context, by, from string) (int, error) {
	return func(ctx context.Context, by, from string) (int, error) {
		o, ok := (*p.keeper.held.Load())[by].(*owner.Owner)
		if !ok {
			return 0, trace.NotFound("shard %s is no longer owned here", by)
		}
		return move(o, ctx, from)
	}
}

// outOfService reports whether operators have taken the AZ out.
func (p *Process) outOfService(az string) bool {
	cfg, _ := p.sync.Effective()
	if cfg == nil {
		return false
	}
	zone, ok := cfg.AZ(az)
	return ok && !zone.InService
}

func (p *Process) newOwner(shard member.Shard) shardOwner {
	return owner.New(owner.Options{
		Shard:    shard.Name,
		AZ:       shard.AZ,
		Self:     p.self,
		Table:    p.outside.Table,
		Objects:  p.outside.Objects,
		Connect:  p.outside.Connect,
		View:     p.sync,
		Recorder: p.ring,
		Log:      p.log.WithName("owner").WithValues("shard", shard.Name),
		Seed:     seedOf(p.self.GetIncarnation()),
		Fleet:    fleetUsage(p.tracker, shard.Name),
		Grants:   p.newGrants(shard.Name),
		Leaving:  p.hosts.isLeaving,
	})
}

// newGrants returns the holder of a shard's parts of the teams' limits.
func (p *Process) newGrants(shard string) *grant.Holder {
	return grant.New(grant.Options{
		Shard:           shard,
		Table:           p.outside.Table,
		Limits:          p.sync,
		RequestGiveBack: p.askGiveBack,
		Recorder:        p.ring,
		Log:             p.log.WithName("grant").WithValues("shard", shard),
	})
}

// askGiveBack asks the owner of another shard to give back a part of its grant.
func (p *Process) askGiveBack(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error) {
	ref, ok := p.tracker.Shard(r.GetShard())
	if !ok || ref.Owner == nil {
		return nil, trace.NotFound("shard %s has no live owner", r.GetShard())
	}
	reply, err := ref.Owner.GiveBack(ctx, r)
	return reply, trace.Wrap(err)
}

func (p *Process) newDoor() *door.Door {
	hashes := make([]string, len(p.settings.OperatorKeys))
	for i, k := range p.settings.OperatorKeys {
		hashes[i] = k.SHA256
	}
	return door.New(door.Options{
		Self:         p.self,
		Directory:    p.tracker,
		View:         p.sync,
		Connect:      p.connectAddr,
		Recorder:     p.ring,
		Log:          p.log.WithName("door"),
		Table:        p.outside.Table,
		Operator:     &operator{process: p},
		OperatorKeys: hashes,
		Limits:       doorLimits(p.settings.Limits),
	})
}

func (p *Process) connectAddr(id, addr string) worker.Client {
	return p.outside.Connect(model.WorkerSpec{ID: id, Addr: addr})
}

// Run serves until ctx ends, then stops in order and returns nil.
func (p *Process) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	shardsCtx, handOver := context.WithCancel(background)
	defer handOver()
	group, groupCtx := errgroup.WithContext(background)

	callers := p.callerServer()
	peers := p.peerServer()
	group.Go(func() error { return serveHTTP(callers, p.limitedListener()) })
	group.Go(func() error { return serveHTTP(peers, p.peers) })
	group.Go(func() error { return p.sync.Run(groupCtx) })
	group.Go(func() error { return p.tracker.Run(groupCtx) })
	group.Go(func() error { return p.hosts.run(groupCtx) })
	group.Go(func() error { return p.door.Run(groupCtx) })
	handedOver := make(chan struct{})
	group.Go(func() error {
		defer close(handedOver)
		return p.keeper.run(shardsCtx)
	})
	group.Go(func() error { return p.newAdopter().run(shardsCtx) })
	p.state.Store(StateServing)
	p.log.Info("serving", "callers", p.Addr(), "entry_hosts", p.peers.Addr().String())

	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	p.stop(handOver, handedOver, callers)
	stopBackground()
	_ = shutdown(peers)
	return trace.Wrap(group.Wait())
}

// stop leaves the membership, hands over the shards, serves on until the
// balancer has noticed, and finishes the open requests, in this order, so that
// no request is cut off and no shard waits.
func (p *Process) stop(handOver context.CancelFunc, handedOver <-chan struct{}, callers *http.Server) {
	p.log.Info("leaving")
	p.state.Store(StateLeaving)
	p.tracker.Leave()
	p.tracker.Announce()
	handOver()
	<-handedOver
	p.tracker.Announce()
	time.Sleep(time.Duration(p.settings.LeaveGraceMS) * time.Millisecond)
	drainCtx, cancel := context.WithTimeout(context.Background(), DrainTimeout)
	defer cancel()
	if err := p.door.Drain(drainCtx); err != nil {
		p.log.Info("requests were still open at the end of the drain", "after", DrainTimeout.String())
	}
	_ = shutdown(callers)
	p.log.Info("stopped")
}

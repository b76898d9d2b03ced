// Package serve is the entry host's daemon: it creates the components of the process,
// starts and stops shard owners, and shuts down in an order that cuts off no request.
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

// Timeouts of a graceful shutdown.
const (
	// DrainTimeout is how long open requests may take to finish.
	DrainTimeout = 30 * time.Second
	// serverTimeout bounds the shutdown of a server after its requests have finished.
	serverTimeout = 2 * time.Second
)

// Dependencies are the external services that a process uses: the platform and the
// workers.
type Dependencies struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Hosts   platform.HostList
	Connect func(model.WorkerSpec) worker.Client
}

// State is the life cycle state of a process as members and the load balancer see it.
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
	deps     Dependencies
	log      logr.Logger
	self     *rpc.Member
	state    atomic.Value // State

	clock        *timeline.Clock
	ring         *timeline.Ring
	sync         *configsync.Sync
	tracker      *member.Tracker
	shardManager *shardManager
	hosts        *hostListReader
	frontend     *door.Frontend

	callers net.Listener
	peers   net.Listener
}

// New listens on both addresses and creates the components. Run starts them.
func New(s *settings.Settings, deps Dependencies, log logr.Logger) (*Process, error) {
	s.FillDefaults()
	p := &Process{
		settings: s,
		deps:     withBudget(deps, s.Budget),
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

// withBudget returns deps with the rate of platform calls limited by a budget.
func withBudget(deps Dependencies, b settings.Budget) Dependencies {
	limiter := limit.NewLimiter(limit.Budget{
		Reads:  float64(b.ReadsPerSecond),
		Writes: float64(b.WritesPerSecond),
		Burst:  b.WritesPerSecond,
	})
	deps.Table = limiter.Table(deps.Table)
	deps.Objects = limiter.Objects(deps.Objects)
	return deps
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

// Addr returns the host:port on which callers are served.
func (p *Process) Addr() string { return p.callers.Addr().String() }

// wire creates the components of the process, each after those that it uses.
func (p *Process) wire() {
	p.clock = &timeline.Clock{}
	p.ring = timeline.NewRing(p.settings.Host, p.settings.AZ, p.clock, timeline.DefaultEvents, timeline.DefaultBytes)
	clients := newRPCClients(p.settings.DialFrom)
	p.sync = configsync.New(configsync.Options{
		Host:     p.settings.Host,
		Table:    p.deps.Table,
		Peers:    p,
		Local:    p.localDigests,
		Recorder: p.ring,
		Log:      p.log.WithName("config"),
	})
	p.tracker = member.NewTracker(member.Options{
		Self:      p.self,
		Seeds:     p.settings.Peers,
		Table:     p.deps.Table,
		DialPeer:  clients.peer,
		DialShard: clients.shard,
		Shards:    p.shards,
		Local:     p.local,
		Versions:  p.sync.Versions,
		Clock:     p.clock,
		Recorder:  p.ring,
		Log:       p.log.WithName("member"),
	})
	p.shardManager = newShardManager(shardManagerOptions{
		host:       p.settings.Host,
		az:         p.settings.AZ,
		shards:     p.shards,
		directory:  p.tracker,
		isReleased: p.released,
		newOwner:   p.newOwner,

		outOfService: p.outOfService,
		onChange:     p.tracker.Announce,
		log:          p.log.WithName("shards"),
	})
	p.hosts = newHostListReader(p.deps.Hosts, p.ownsShard, p.log.WithName("hosts"))
	p.frontend = p.newFrontend()
}

// local returns the digests and the owners of the shards that this process owns. The
// tracker calls it before the shard manager exists.
func (p *Process) local() ([]*rpc.ShardDigest, map[string]rpc.Shard) {
	if p.shardManager == nil {
		return nil, nil
	}
	return p.shardManager.localShards()
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

func (p *Process) ownsShard() bool { return len(*p.shardManager.owners.Load()) > 0 }

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

// released reports whether the table records that the shard has no owner.
func (p *Process) released(ctx context.Context, shard string) bool {
	ctx, cancel := context.WithTimeout(ctx, member.RowTimeout)
	defer cancel()
	o, err := owner.ReadOwnership(ctx, p.deps.Table, shard)
	return err == nil && (o.Host == "" || o.Released)
}

// newAdopter returns the adopter of shards in lost AZs.
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

// byLocalOwner returns a function that moves the waiting jobs of the shard from to the
// shard by, with move called on the owner of by; it fails if this process does not own by.
func (p *Process) byLocalOwner(move func(*owner.Owner, context.Context, string) (int, error)) func(ctx context.Context, by, from string) (int, error) {
	return func(ctx context.Context, by, from string) (int, error) {
		o, ok := (*p.shardManager.owners.Load())[by].(*owner.Owner)
		if !ok {
			return 0, trace.NotFound("shard %s is no longer owned here", by)
		}
		return move(o, ctx, from)
	}
}

// outOfService reports whether operators have taken the AZ out of service.
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
		Table:    p.deps.Table,
		Objects:  p.deps.Objects,
		Connect:  p.deps.Connect,
		View:     p.sync,
		Recorder: p.ring,
		Log:      p.log.WithName("owner").WithValues("shard", shard.Name),
		Seed:     seedOf(p.self.GetIncarnation()),
		Fleet:    fleetUsage(p.tracker, shard.Name),
		Grants:   p.newGrants(shard.Name),
		Leaving:  p.hosts.isLeaving,
	})
}

// newGrants returns the holder of a shard's grants, which are its parts of the teams'
// limits.
func (p *Process) newGrants(shard string) *grant.Holder {
	return grant.New(grant.Options{
		Shard:           shard,
		Table:           p.deps.Table,
		Limits:          p.sync,
		RequestGiveBack: p.requestGiveBack,
		Recorder:        p.ring,
		Log:             p.log.WithName("grant").WithValues("shard", shard),
	})
}

// requestGiveBack asks the owner of another shard to give back part of its grant.
func (p *Process) requestGiveBack(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error) {
	ref, ok := p.tracker.Shard(r.GetShard())
	if !ok || ref.Owner == nil {
		return nil, trace.NotFound("shard %s has no live owner", r.GetShard())
	}
	reply, err := ref.Owner.GiveBack(ctx, r)
	return reply, trace.Wrap(err)
}

func (p *Process) newFrontend() *door.Frontend {
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
		Table:        p.deps.Table,
		Operator:     &operator{process: p},
		OperatorKeys: hashes,
		Limits:       frontendLimits(p.settings.Limits),
	})
}

func (p *Process) connectAddr(id, addr string) worker.Client {
	return p.deps.Connect(model.WorkerSpec{ID: id, Addr: addr})
}

// Run serves until ctx ends, then shuts down gracefully and returns nil.
func (p *Process) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	shardsCtx, handOver := context.WithCancel(background)
	defer handOver()
	group, groupCtx := errgroup.WithContext(background)

	callers := p.callerServer()
	peers := p.peerServer()
	group.Go(func() error { return serveHTTP(callers, p.callerListener()) })
	group.Go(func() error { return serveHTTP(peers, p.peers) })
	group.Go(func() error { return p.sync.Run(groupCtx) })
	group.Go(func() error { return p.tracker.Run(groupCtx) })
	group.Go(func() error { return p.hosts.run(groupCtx) })
	group.Go(func() error { return p.frontend.Run(groupCtx) })
	handedOver := make(chan struct{})
	group.Go(func() error {
		defer close(handedOver)
		return p.shardManager.run(shardsCtx)
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

// stop leaves the membership, hands the shards over, continues to serve for the leave
// grace until the load balancer has noticed, and finishes the open requests. In this
// order no request is cut off and no shard has to wait for a new owner.
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
	if err := p.frontend.Drain(drainCtx); err != nil {
		p.log.Info("requests still open after the drain timeout", "after", DrainTimeout.String())
	}
	_ = shutdown(callers)
	p.log.Info("stopped")
}

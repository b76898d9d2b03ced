package serve

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

const (
	// shardCheckInterval is the interval between checks of the shards in this host's AZ.
	shardCheckInterval = 100 * time.Millisecond
	// startGrace is how long a new process waits for pings of the shards' owners
	// before it takes a shard over.
	startGrace = member.FailureTimeout + member.PingInterval
	// rankDelay is how much longer a host waits for each host before it in the
	// rendezvous order, so that the next host takes a shard that the first cannot take.
	rankDelay = 2 * time.Second
	// evacuationGap is how long a shard of an AZ out of service stays without an owner,
	// so that a host of another AZ can move its waiting jobs.
	evacuationGap = 5 * time.Second
	// takeRetryDelay is the delay between attempts to take one shard.
	takeRetryDelay = time.Second
)

// shardOwner is one period of ownership of a shard, from takeover to handover.
type shardOwner interface {
	rpc.Shard
	// Run takes the shard and serves it until ctx ends or the ownership is lost.
	Run(ctx context.Context) error
	// Digest returns the shard's state as other hosts see it.
	Digest() *rpc.ShardDigest
	// Workers returns the state of the shard's workers.
	Workers() []*rpc.WorkerStatus
}

// shardManagerOptions configures a shardManager.
type shardManagerOptions struct {
	host string
	az   string
	// shards returns the shards of the configuration in force.
	shards func() []member.Shard
	// directory lists the live hosts and the owners of shards on other hosts.
	directory member.Directory
	// isReleased reports whether the table records that the shard has no owner.
	isReleased func(ctx context.Context, shard string) bool
	newOwner   func(shard member.Shard) shardOwner
	// outOfService reports whether operators have taken an AZ out of service.
	outOfService func(az string) bool
	// onChange is called after this process took or released a shard, and when the part
	// of a digest that is announced has changed; may be nil.
	onChange func()
	log      logr.Logger
}

// shardManager decides which shards of the AZ this process owns and runs their owners.
// Its methods run in the goroutine of run, except for localShards.
type shardManager struct {
	opts    shardManagerOptions
	owners  atomic.Pointer[map[string]shardOwner]
	started time.Time

	// Accessed by the goroutine of run only.
	running      map[string]*runningOwner
	unownedSince map[string]time.Time // by shard: since when it has had no live owner
	retryAt      map[string]time.Time // by shard: earliest time of the next attempt
	ownerEnds    chan ownerEnd
	announced    map[string]announcement // by shard: as last announced
	// evacuated holds the shards that were released since their AZ was taken out of
	// service.
	evacuated map[string]bool
}

// announcement is the part of a digest whose changes are sent to the other hosts at
// once; other changes go with the next ping.
type announcement struct {
	fence     int64
	ready     bool
	confirmed int64
}

// runningOwner is a shard owner that runs in this process.
type runningOwner struct {
	owner  shardOwner
	cancel context.CancelFunc
}

// ownerEnd reports that the Run method of a shard owner returned err.
type ownerEnd struct {
	shard string
	err   error
}

func newShardManager(opts shardManagerOptions) *shardManager {
	m := &shardManager{
		opts:         opts,
		running:      map[string]*runningOwner{},
		unownedSince: map[string]time.Time{},
		retryAt:      map[string]time.Time{},
		ownerEnds:    make(chan ownerEnd),
		announced:    map[string]announcement{},

		evacuated: map[string]bool{},
		started:   time.Now(),
	}
	m.publishOwners()
	return m
}

// run takes and serves shards until ctx ends, then hands all shards over and returns.
func (m *shardManager) run(ctx context.Context) error {
	ticker := time.NewTicker(shardCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.handOverAll()
			return nil
		case e := <-m.ownerEnds:
			m.handleOwnerEnd(e)
		case <-ticker.C:
			m.checkShards(ctx)
			m.announceChanges()
		}
	}
}

// localShards returns the digests and owners of the shards that this process owns. It
// may be called from any goroutine.
func (m *shardManager) localShards() ([]*rpc.ShardDigest, map[string]rpc.Shard) {
	held := *m.owners.Load()
	owners := make(map[string]rpc.Shard, len(held))
	var digests []*rpc.ShardDigest
	for _, name := range slices.Sorted(maps.Keys(held)) {
		owners[name] = held[name]
		digests = append(digests, held[name].Digest())
	}
	return digests, owners
}

// checkShards takes each shard of this host's AZ that has no live owner, when it is this
// host's turn by rank, and evacuates owned shards whose AZ is out of service.
func (m *shardManager) checkShards(ctx context.Context) {
	now := time.Now()
	for _, shard := range m.opts.shards() {
		if shard.AZ != m.opts.az {
			continue
		}
		if h := m.running[shard.Name]; h != nil {
			m.evacuate(shard, h)
			continue
		}
		if ref, ok := m.opts.directory.Shard(shard.Name); ok && ref.Owner != nil {
			delete(m.unownedSince, shard.Name)
			continue
		}
		if _, ok := m.unownedSince[shard.Name]; !ok {
			m.unownedSince[shard.Name] = now
		}
		if m.shouldTake(ctx, shard, now) {
			m.startOwner(ctx, shard)
		}
	}
}

// announceChanges calls onChange when a shard has become ready or has confirmed a
// configuration, so that the other hosts learn it at once.
func (m *shardManager) announceChanges() {
	changed := false
	for name, h := range m.running {
		d := h.owner.Digest()
		now := announcement{fence: d.GetFence(), ready: d.GetReady(), confirmed: d.GetConfirmed()}
		if m.announced[name] != now {
			m.announced[name] = now
			changed = true
		}
	}
	if changed && m.opts.onChange != nil {
		m.opts.onChange()
	}
}

// evacuate releases, once, a shard with waiting jobs whose AZ was taken out of service,
// so that a host of another AZ moves these jobs (see adopter). Running tasks continue:
// their leases outlive the gap until a host of this AZ takes the shard again.
func (m *shardManager) evacuate(shard member.Shard, h *runningOwner) {
	if !m.opts.outOfService(shard.AZ) {
		delete(m.evacuated, shard.Name)
		return
	}
	d := h.owner.Digest()
	if m.evacuated[shard.Name] || !d.GetReady() || d.GetJobsPending() == 0 || !m.otherAZReady() {
		return
	}
	m.evacuated[shard.Name] = true
	m.opts.log.Info("releasing shard so that another AZ takes its waiting jobs", "shard", shard.Name, "jobs", d.GetJobsPending())
	h.cancel()
}

// otherAZReady reports whether a shard in another AZ, which is in service, is ready.
func (m *shardManager) otherAZReady() bool {
	for _, ref := range m.opts.directory.Shards() {
		if ref.AZ != m.opts.az && ref.Digest.GetReady() && !m.opts.outOfService(ref.AZ) {
			return true
		}
	}
	return false
}

// shouldTake reports whether this host should take the shard now. Safety does not depend
// on it: the table's compare-and-set admits one owner, whichever hosts try.
func (m *shardManager) shouldTake(ctx context.Context, shard member.Shard, now time.Time) bool {
	rank := member.Rank(shard, m.opts.host, m.opts.directory.Members())
	if rank < 0 || now.Before(m.retryAt[shard.Name]) {
		return false
	}
	wait := time.Duration(rank) * rankDelay
	if m.opts.outOfService(shard.AZ) {
		wait += evacuationGap
	}
	if now.Sub(m.unownedSince[shard.Name]) < wait {
		return false
	}
	if now.Sub(m.started) >= startGrace {
		return true
	}
	m.retryAt[shard.Name] = now.Add(member.PingInterval)
	return m.opts.isReleased(ctx, shard.Name)
}

func (m *shardManager) startOwner(ctx context.Context, shard member.Shard) {
	owner := m.opts.newOwner(shard)
	ownerCtx, cancel := context.WithCancel(ctx)
	m.running[shard.Name] = &runningOwner{owner: owner, cancel: cancel}
	delete(m.unownedSince, shard.Name)
	m.publishOwners()
	m.opts.log.Info("taking shard", "shard", shard.Name)
	go func() {
		err := owner.Run(ownerCtx)
		cancel()
		m.ownerEnds <- ownerEnd{shard: shard.Name, err: err}
	}()
}

func (m *shardManager) handleOwnerEnd(e ownerEnd) {
	delete(m.running, e.shard)
	m.retryAt[e.shard] = time.Now().Add(takeRetryDelay)
	m.publishOwners()
	if e.err != nil && !errors.Is(e.err, context.Canceled) {
		m.opts.log.Info("shard owner ended", "shard", e.shard, "reason", e.err.Error())
	}
}

// handOverAll stops all owners and waits until each has written its pending records.
func (m *shardManager) handOverAll() {
	for _, h := range m.running {
		h.cancel()
	}
	for len(m.running) > 0 {
		m.handleOwnerEnd(<-m.ownerEnds)
	}
}

func (m *shardManager) publishOwners() {
	held := make(map[string]shardOwner, len(m.running))
	for name, h := range m.running {
		held[name] = h.owner
	}
	m.owners.Store(&held)
	if m.opts.onChange != nil {
		m.opts.onChange()
	}
}

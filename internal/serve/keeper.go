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

// Intervals of the shard keeper.
const (
	// keeperInterval separates two looks at the shards of the own AZ.
	keeperInterval = 100 * time.Millisecond
	// startGrace is how long a process that has just started listens for the
	// owners of shards before it takes one over.
	startGrace = member.FailureTimeout + member.PingInterval
	// rankDelay is how much longer each further choice of the rendezvous order
	// waits, so that a first choice that cannot take a shard is passed over.
	rankDelay = 2 * time.Second
	// evacuateGap is how long a shard of an AZ out of service stays without an
	// owner, so that another AZ's host can move its waiting jobs.
	evacuateGap = 5 * time.Second
	// retryDelay separates two tries to take one shard.
	retryDelay = time.Second
)

// shardOwner is one ownership of a shard, from takeover to hand-over.
type shardOwner interface {
	rpc.Shard
	// Run takes the shard and serves it until ctx ends or the shard is lost.
	Run(ctx context.Context) error
	Digest() *rpc.ShardDigest
	// Workers returns the state of the shard's workers.
	Workers() []*rpc.WorkerStatus
}

// keeperOptions are what a keeper needs.
type keeperOptions struct {
	host string
	az   string
	// shards returns the shards of the configuration in force.
	shards func() []member.Shard
	// owners returns the live claims of other hosts; members the live hosts.
	directory member.Directory
	// released reports whether the table says that nobody owns the shard.
	released func(ctx context.Context, shard string) bool
	newOwner func(shard member.Shard) shardOwner
	// outOfService reports whether operators have taken an AZ out.
	outOfService func(az string) bool
	// changed is called after a shard was taken or given up.
	changed func()
	log     logr.Logger
}

// keeper decides which shards of the AZ this process owns and runs their
// owners. One goroutine, run, owns its state.
type keeper struct {
	opts    keeperOptions
	held    atomic.Pointer[map[string]shardOwner]
	started time.Time

	// Owned by run.
	holdings map[string]*holding
	missing  map[string]time.Time // since when a shard has no live owner
	notUntil map[string]time.Time // when the next try may be made
	ended    chan ownerEnded
	told     map[string]announcement // as last announced
	// evacuated are the shards that were given up since their AZ was taken out.
	evacuated map[string]bool
}

// announcement is the part of a digest that the other hosts must know at once;
// the rest may wait for the next ping.
type announcement struct {
	fence     int64
	ready     bool
	confirmed int64
}

// holding is a shard owner that runs in this process.
type holding struct {
	owner  shardOwner
	cancel context.CancelFunc
}

// ownerEnded is the message that a shard owner's Run returned.
type ownerEnded struct {
	shard string
	err   error
}

func newKeeper(opts keeperOptions) *keeper {
	k := &keeper{
		opts:     opts,
		holdings: map[string]*holding{},
		missing:  map[string]time.Time{},
		notUntil: map[string]time.Time{},
		ended:    make(chan ownerEnded),
		told:     map[string]announcement{},

		evacuated: map[string]bool{},
		started:   time.Now(),
	}
	k.publish()
	return k
}

// run keeps the shards until ctx ends, then hands all over and returns.
func (k *keeper) run(ctx context.Context) error {
	ticker := time.NewTicker(keeperInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.handOver()
			return nil
		case e := <-k.ended:
			k.ownerEnded(e)
		case <-ticker.C:
			k.look(ctx)
			k.announceChanges()
		}
	}
}

// local returns the digests and owners of the shards that this process holds.
func (k *keeper) local() ([]*rpc.ShardDigest, map[string]rpc.Shard) {
	held := *k.held.Load()
	owners := make(map[string]rpc.Shard, len(held))
	var digests []*rpc.ShardDigest
	for _, name := range slices.Sorted(maps.Keys(held)) {
		owners[name] = held[name]
		digests = append(digests, held[name].Digest())
	}
	return digests, owners
}

// look takes the shards of the own AZ that have no live owner and that this
// host is the choice for.
func (k *keeper) look(ctx context.Context) {
	now := time.Now()
	for _, shard := range k.opts.shards() {
		if shard.AZ != k.opts.az {
			continue
		}
		if h := k.holdings[shard.Name]; h != nil {
			k.evacuate(shard, h)
			continue
		}
		if ref, ok := k.opts.directory.Shard(shard.Name); ok && ref.Owner != nil {
			delete(k.missing, shard.Name)
			continue
		}
		if _, ok := k.missing[shard.Name]; !ok {
			k.missing[shard.Name] = now
		}
		if k.mayTake(ctx, shard, now) {
			k.take(ctx, shard)
		}
	}
}

// announceChanges tells the other hosts when a shard has become ready or has
// confirmed a configuration.
func (k *keeper) announceChanges() {
	changed := false
	for name, h := range k.holdings {
		d := h.owner.Digest()
		now := announcement{fence: d.GetFence(), ready: d.GetReady(), confirmed: d.GetConfirmed()}
		if k.told[name] != now {
			k.told[name] = now
			changed = true
		}
	}
	if changed && k.opts.changed != nil {
		k.opts.changed()
	}
}

// evacuate gives up a shard whose AZ was taken out while jobs wait in it, once,
// so that a host of another AZ moves them (see adopter). What runs goes on: its
// leases outlive the gap until a host of this AZ takes the shard again.
func (k *keeper) evacuate(shard member.Shard, h *holding) {
	if !k.opts.outOfService(shard.AZ) {
		delete(k.evacuated, shard.Name)
		return
	}
	d := h.owner.Digest()
	if k.evacuated[shard.Name] || !d.GetReady() || d.GetJobsPending() == 0 || !k.otherServes() {
		return
	}
	k.evacuated[shard.Name] = true
	k.opts.log.Info("giving the shard up, so that its waiting jobs are moved", "shard", shard.Name, "jobs", d.GetJobsPending())
	h.cancel()
}

// otherServes reports whether a shard of another AZ in service is ready.
func (k *keeper) otherServes() bool {
	for _, ref := range k.opts.directory.Shards() {
		if ref.AZ != k.opts.az && ref.Digest.GetReady() && !k.opts.outOfService(ref.AZ) {
			return true
		}
	}
	return false
}

// mayTake reports whether this host should take the shard now. Safety does not
// rest on it: the table's compare-and-set admits one owner whoever tries.
func (k *keeper) mayTake(ctx context.Context, shard member.Shard, now time.Time) bool {
	rank := member.Rank(shard, k.opts.host, k.opts.directory.Members())
	if rank < 0 || now.Before(k.notUntil[shard.Name]) {
		return false
	}
	wait := time.Duration(rank) * rankDelay
	if k.opts.outOfService(shard.AZ) {
		wait += evacuateGap
	}
	if now.Sub(k.missing[shard.Name]) < wait {
		return false
	}
	if now.Sub(k.started) >= startGrace {
		return true
	}
	k.notUntil[shard.Name] = now.Add(member.PingInterval)
	return k.opts.released(ctx, shard.Name)
}

func (k *keeper) take(ctx context.Context, shard member.Shard) {
	owner := k.opts.newOwner(shard)
	ownerCtx, cancel := context.WithCancel(ctx)
	k.holdings[shard.Name] = &holding{owner: owner, cancel: cancel}
	delete(k.missing, shard.Name)
	k.publish()
	k.opts.log.Info("taking shard", "shard", shard.Name)
	go func() {
		err := owner.Run(ownerCtx)
		cancel()
		k.ended <- ownerEnded{shard: shard.Name, err: err}
	}()
}

func (k *keeper) ownerEnded(e ownerEnded) {
	delete(k.holdings, e.shard)
	k.notUntil[e.shard] = time.Now().Add(retryDelay)
	k.publish()
	if e.err != nil && !errors.Is(e.err, context.Canceled) {
		k.opts.log.Info("shard given up", "shard", e.shard, "reason", e.err.Error())
	}
}

// handOver ends all owners and waits until each has written what is pending.
func (k *keeper) handOver() {
	for _, h := range k.holdings {
		h.cancel()
	}
	for len(k.holdings) > 0 {
		k.ownerEnded(<-k.ended)
	}
}

func (k *keeper) publish() {
	held := make(map[string]shardOwner, len(k.holdings))
	for name, h := range k.holdings {
		held[name] = h.owner
	}
	k.held.Store(&held)
	if k.opts.changed != nil {
		k.opts.changed()
	}
}

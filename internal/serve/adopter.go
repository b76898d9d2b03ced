package serve

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

const (
	adopterInterval = time.Second
	// adoptAfter is how long an AZ must have no live host before its shards are
	// adopted. The adoption itself requires that the shard's owner has been silent
	// for much longer.
	adoptAfter = 15 * time.Second
	// adoptRetry is the interval between attempts to adopt one shard.
	adoptRetry = time.Minute
)

// adopter moves the waiting jobs of shards in lost AZs to shards that this process
// owns. Only the goroutine of run accesses its state. Safety does not depend on the
// adopter's decisions: the table admits one adopter, and only of a shard whose owner
// is silent.
type adopter struct {
	az        string
	shards    func() []member.Shard
	directory member.Directory
	// adopt moves the waiting jobs of the shard from to the shard by, and returns how
	// many jobs it moved.
	adopt func(ctx context.Context, by, from string) (int, error)
	// adoptReleased does the same for a shard whose owner released it because the
	// shard's AZ is out of service.
	adoptReleased func(ctx context.Context, by, from string) (int, error)
	// outOfService reports whether operators have taken an AZ out of service.
	outOfService func(az string) bool
	log          logr.Logger

	lostSince map[string]time.Time // by shard: since when its AZ has had no live host
	retryAt   map[string]time.Time // by shard: earliest time of the next attempt
}

func newAdopter(a adopter) *adopter {
	a.lostSince = map[string]time.Time{}
	a.retryAt = map[string]time.Time{}
	return &a
}

// run adopts shards, one at a time, until ctx ends.
func (a *adopter) run(ctx context.Context) error {
	ticker := time.NewTicker(adopterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.checkShards(ctx)
		}
	}
}

func (a *adopter) checkShards(ctx context.Context) {
	now := time.Now()
	alive := azsWithLiveHosts(a.directory.Members())
	for _, shard := range a.shards() {
		if shard.AZ != a.az && alive[shard.AZ] && a.outOfService(shard.AZ) {
			a.adoptReleasedShard(ctx, shard, now)
		}
		if shard.AZ == a.az || alive[shard.AZ] {
			delete(a.lostSince, shard.Name)
			continue
		}
		if _, ok := a.lostSince[shard.Name]; !ok {
			a.lostSince[shard.Name] = now
		}
		if now.Sub(a.lostSince[shard.Name]) < adoptAfter || now.Before(a.retryAt[shard.Name]) {
			continue
		}
		by, ok := a.chooseAdopter(shard.Name)
		if !ok || !by.Local {
			continue
		}
		moved, err := a.adopt(ctx, by.Name, shard.Name)
		a.retryAt[shard.Name] = time.Now().Add(adoptRetry)
		a.log.Info("adopted shard of lost AZ", "shard", shard.Name, "by", by.Name, "moved", moved, "error", err)
	}
}

// adoptReleasedShard moves the waiting jobs of a shard that has no owner because its AZ
// is out of service.
func (a *adopter) adoptReleasedShard(ctx context.Context, shard member.Shard, now time.Time) {
	ref, ok := a.directory.Shard(shard.Name)
	if !ok || ref.Owner != nil || now.Before(a.retryAt[shard.Name]) {
		return
	}
	by, ok := a.chooseAdopter(shard.Name)
	if !ok || !by.Local {
		return
	}
	moved, err := a.adoptReleased(ctx, by.Name, shard.Name)
	if err == nil {
		a.retryAt[shard.Name] = now.Add(adoptRetry)
	}
	if moved > 0 || err == nil {
		a.log.Info("moved waiting jobs of shard in AZ out of service", "shard", shard.Name, "by", by.Name, "moved", moved, "error", err)
	}
}

// chooseAdopter returns the shard that adopts the lost shard: by rendezvous hashing, the
// one with the highest weight among the ready shards that have capacity.
func (a *adopter) chooseAdopter(lost string) (member.ShardRef, bool) {
	var best member.ShardRef
	var bestWeight uint64
	found := false
	for _, ref := range a.directory.Shards() {
		if ref.Owner == nil || a.outOfService(ref.AZ) || !ref.Digest.GetReady() || ref.Digest.GetCapacity().Model().IsZero() {
			continue
		}
		weight := xxhash.Sum64String(lost + "\x00" + ref.Name)
		if !found || weight > bestWeight {
			best, bestWeight, found = ref, weight, true
		}
	}
	return best, found
}

func azsWithLiveHosts(members []*rpc.Member) map[string]bool {
	alive := map[string]bool{}
	for _, m := range members {
		alive[m.GetAz()] = true
	}
	return alive
}

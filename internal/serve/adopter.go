package serve

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

// Intervals of the adopter.
const (
	adopterInterval = time.Second
	// adoptAfter is how long an AZ must have no live host before its shards are
	// adopted. Adoption itself waits much longer for their owners' silence.
	adoptAfter = 15 * time.Second
	// adoptRetry separates two tries to adopt one shard.
	adoptRetry = time.Minute
)

// adopter has the waiting jobs of shards in lost AZs moved to shards that this
// process owns. One goroutine, run, owns its state. Safety does not rest on its
// choice: the table admits one adopter, and only of a silent shard.
type adopter struct {
	az        string
	shards    func() []member.Shard
	directory member.Directory
	// adopt moves the waiting jobs of a shard to the one named by.
	adopt func(ctx context.Context, by, from string) (int, error)
	// adoptReleased does the same for a shard that was handed over because its
	// AZ is out of service.
	adoptReleased func(ctx context.Context, by, from string) (int, error)
	// outOfService reports whether operators have taken an AZ out.
	outOfService func(az string) bool
	log          logr.Logger

	lostSince map[string]time.Time // by shard
	notUntil  map[string]time.Time
}

func newAdopter(a adopter) *adopter {
	a.lostSince = map[string]time.Time{}
	a.notUntil = map[string]time.Time{}
	return &a
}

// run adopts one shard at a time until ctx ends.
func (a *adopter) run(ctx context.Context) error {
	ticker := time.NewTicker(adopterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.look(ctx)
		}
	}
}

func (a *adopter) look(ctx context.Context) {
	now := time.Now()
	alive := liveAZs(a.directory.Members())
	for _, shard := range a.shards() {
		if shard.AZ != a.az && alive[shard.AZ] && a.outOfService(shard.AZ) {
			a.takeReleased(ctx, shard, now)
		}
		if shard.AZ == a.az || alive[shard.AZ] {
			delete(a.lostSince, shard.Name)
			continue
		}
		if _, ok := a.lostSince[shard.Name]; !ok {
			a.lostSince[shard.Name] = now
		}
		if now.Sub(a.lostSince[shard.Name]) < adoptAfter || now.Before(a.notUntil[shard.Name]) {
			continue
		}
		by, ok := a.choice(shard.Name)
		if !ok || !by.Local {
			continue
		}
		moved, err := a.adopt(ctx, by.Name, shard.Name)
		a.notUntil[shard.Name] = time.Now().Add(adoptRetry)
		a.log.Info("adopted a lost AZ's shard", "shard", shard.Name, "by", by.Name, "moved", moved, "error", err)
	}
}

// takeReleased moves the waiting jobs of a shard that has no owner because its
// AZ is out of service.
func (a *adopter) takeReleased(ctx context.Context, shard member.Shard, now time.Time) {
	ref, ok := a.directory.Shard(shard.Name)
	if !ok || ref.Owner != nil || now.Before(a.notUntil[shard.Name]) {
		return
	}
	by, ok := a.choice(shard.Name)
	if !ok || !by.Local {
		return
	}
	moved, err := a.adoptReleased(ctx, by.Name, shard.Name)
	if err == nil {
		a.notUntil[shard.Name] = now.Add(adoptRetry)
	}
	if moved > 0 || err == nil {
		a.log.Info("moved the waiting jobs of an AZ out of service", "shard", shard.Name, "by", by.Name, "moved", moved, "error", err)
	}
}

// choice returns the shard that adopts the lost one: the first by rendezvous
// hashing among those that can run work now.
func (a *adopter) choice(lost string) (member.ShardRef, bool) {
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

func liveAZs(members []*rpc.Member) map[string]bool {
	alive := map[string]bool{}
	for _, m := range members {
		alive[m.GetAz()] = true
	}
	return alive
}

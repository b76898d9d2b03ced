package door

import (
	"math/rand/v2"
	"sync"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/member"
	"cuminloft/internal/model"
)

// router chooses the shard for an attempt of a request.
type router struct {
	directory member.Directory
	az        string // of this entry host
	health    *shardHealth

	mu sync.Mutex
	// sentCounts counts, by shard, the requests that this process has sent since the
	// digest taken at sentSince.digest. With digests alone a burst would go to one shard.
	sentCounts map[string]sentSince
}

// sentSince is the number of requests sent after one digest of a shard.
type sentSince struct {
	digest int64 // ShardDigest.taken_ns
	count  int64
}

func newRouter(d member.Directory, az string) *router {
	return &router{directory: d, az: az, health: newShardHealth(), sentCounts: make(map[string]sentSince)}
}

// choose returns a shard for the job, excluding those in tried: the less loaded of two
// random shards, preferably of shards in this host's AZ with free capacity. Shards in
// failed, and shards that fail requests of the queue while others serve them, are chosen
// only if no other is left. It returns false if no shard with a ready owner is left.
func (r *router) choose(c *config.Config, job *model.Job, tried, failed map[string]bool) (member.ShardRef, bool) {
	var all []member.ShardRef
	for _, s := range r.directory.Shards() {
		if !tried[s.Name] && usable(c, s) {
			all = append(all, s)
		}
	}
	all = r.health.healthyShards(job.Queue, withoutFailed(all, failed), time.Now())
	if len(all) == 0 {
		return member.ShardRef{}, false
	}
	if near := r.localWithCapacity(all, job.Task.Resources); len(near) > 0 {
		return r.lessLoaded(near), true
	}
	return r.lessLoaded(all), true
}

// withoutFailed removes the failed shards, unless none would be left.
func withoutFailed(shards []member.ShardRef, failed map[string]bool) []member.ShardRef {
	var out []member.ShardRef
	for _, s := range shards {
		if !failed[s.Name] {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return shards
	}
	return out
}

// localWithCapacity returns the shards of this host's AZ that have free capacity.
func (r *router) localWithCapacity(shards []member.ShardRef, size model.Resources) []member.ShardRef {
	var out []member.ShardRef
	for _, s := range shards {
		if s.AZ == r.az && r.hasCapacity(s, size) {
			out = append(out, s)
		}
	}
	return out
}

// usable reports whether the shard has a ready owner and its AZ is in service.
func usable(c *config.Config, s member.ShardRef) bool {
	if s.Owner == nil || (s.Digest != nil && !s.Digest.GetReady()) {
		return false
	}
	az, ok := c.AZ(s.AZ)
	return ok && az.InService
}

// hasCapacity reports whether the shard's digest shows free capacity for the task. A shard
// without a digest is assumed to have it.
func (r *router) hasCapacity(s member.ShardRef, size model.Resources) bool {
	if s.Digest == nil {
		return true
	}
	queued := s.Digest.GetDirectPending() + r.sentSinceDigest(s)
	used := s.Digest.GetUsed().Model().Add(size.Scale(queued + 1))
	return used.Fits(s.Digest.GetCapacity().Model())
}

// lessLoaded returns the less loaded of two random shards.
func (r *router) lessLoaded(shards []member.ShardRef) member.ShardRef {
	i := rand.IntN(len(shards))
	if len(shards) == 1 {
		return shards[i]
	}
	j := rand.IntN(len(shards) - 1)
	if j >= i {
		j++
	}
	if r.load(shards[j]) < r.load(shards[i]) {
		return shards[j]
	}
	return shards[i]
}

// load returns the used share of the shard's dominant resource plus the number of waiting
// requests per slot.
func (r *router) load(s member.ShardRef) float64 {
	if s.Digest == nil {
		return 0
	}
	capacity := s.Digest.GetCapacity().Model()
	waiting := float64(s.Digest.GetDirectPending() + r.sentSinceDigest(s))
	return s.Digest.GetUsed().Model().DominantShare(capacity) + waiting/float64(max(capacity.Slots, 1))
}

// countSent records that a request was sent to the shard.
func (r *router) countSent(s member.ShardRef) {
	if s.Digest == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.sentCounts[s.Name]
	if n.digest != s.Digest.GetTakenNs() {
		n = sentSince{digest: s.Digest.GetTakenNs()}
	}
	n.count++
	r.sentCounts[s.Name] = n
}

func (r *router) sentSinceDigest(s member.ShardRef) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.sentCounts[s.Name]
	if n.digest != s.Digest.GetTakenNs() {
		return 0
	}
	return n.count
}

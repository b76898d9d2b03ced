package door

import (
	"math"
	"sync"
	"time"

	"cuminloft/internal/member"
)

// shardHealth tracks which shards fail requests of a queue that other shards serve. The
// owner's scheduling core detects failing workers only one by one: when a whole AZ fails,
// it looks to the owner as if the tasks of the queue were faulty.
type shardHealth struct {
	mu    sync.Mutex
	rates map[shardQueue]*failureRate
}

type shardQueue struct{ shard, queue string }

// failureRate is a moving average of failures. It decays with the time constant
// healthMemory, so that a shard that gets no requests is tried again.
type failureRate struct {
	value float64
	at    time.Time
}

const (
	healthMemory = 10 * time.Second
	// healthWeight is the weight of a new result in the moving average, as 1/n.
	healthWeight = 16
	// badRate is the failure rate from which a shard is excluded, unless the lowest rate of
	// all shards is at least half as high.
	badRate = 0.5
)

func newShardHealth() *shardHealth {
	return &shardHealth{rates: make(map[shardQueue]*failureRate)}
}

// observe adds the result of an attempt.
func (h *shardHealth) observe(k shardQueue, failed bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.rates[k]
	if r == nil {
		r = &failureRate{}
		h.rates[k] = r
	}
	end := 0.0
	if failed {
		end = 1
	}
	value := r.decayed(now)
	r.value = value + (end-value)/healthWeight
	r.at = now
}

func (r *failureRate) decayed(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/healthMemory.Seconds())
}

// healthyShards returns the shards without those that fail requests of the queue while
// other shards serve them.
func (h *shardHealth) healthyShards(queue string, shards []member.ShardRef, now time.Time) []member.ShardRef {
	h.mu.Lock()
	defer h.mu.Unlock()
	rates := make([]float64, len(shards))
	lowest := 1.0
	for i, s := range shards {
		if r := h.rates[shardQueue{s.Name, queue}]; r != nil {
			rates[i] = r.decayed(now)
		}
		lowest = min(lowest, rates[i])
	}
	var out []member.ShardRef
	for i, s := range shards {
		if rates[i] < badRate || rates[i] <= 2*lowest {
			out = append(out, s)
		}
	}
	return out
}

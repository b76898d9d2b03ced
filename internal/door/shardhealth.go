package door

import (
	"math"
	"sync"
	"time"

	"cuminloft/internal/member"
)

// shardHealth learns which shards fail the requests of a queue that others do
// not fail. The owner's core judges single workers; a whole AZ that fails looks
// to its owner like a queue whose tasks are at fault.
type shardHealth struct {
	mu    sync.Mutex
	rates map[shardQueue]*failureRate
}

type shardQueue struct{ shard, queue string }

// failureRate is a moving average of failures, decaying with healthMemory, so
// that a shard that gets no requests is tried again.
type failureRate struct {
	value float64
	at    time.Time
}

const (
	healthMemory = 10 * time.Second
	// healthWeight is the part of a new end in the moving average, as 1/n.
	healthWeight = 16
	// badRate is the failure rate from which a shard is left out, unless the
	// others fail half as much at least.
	badRate = 0.5
)

func newShardHealth() *shardHealth {
	return &shardHealth{rates: make(map[shardQueue]*failureRate)}
}

// observe learns from the end of an attempt.
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

// healthyShards returns the shards that do not fail the queue while others serve it.
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

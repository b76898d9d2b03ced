package configsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cuminloft/internal/config"
	"cuminloft/internal/rpc"
)

// operation is one apply on the version base, or one read of the newest version.
type operation struct {
	read bool
	base config.Version
}

// outcome is what an operation returned.
type outcome struct {
	won     bool
	unknown bool           // the apply ended without a known outcome
	version config.Version // result of a read
}

// versionModel is a register. An apply increments it if it holds the apply's base version.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{config.Version(2)} },
	Step: func(state, input, output any) []any {
		now := state.(config.Version)
		in, out := input.(operation), output.(outcome)
		switch {
		case in.read && out.version == now:
			return []any{now}
		case in.read:
			return nil
		case out.unknown && now == in.base:
			return []any{now, now + 1}
		case out.unknown:
			return []any{now}
		case out.won && now == in.base:
			return []any{now + 1}
		case !out.won && now != in.base:
			return []any{now}
		}
		return nil
	},
}

// recorder records the operations with logical times of their call and return.
type recorder struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
	wins  map[config.Version]int
}

func (r *recorder) run(client int, in operation, call func() outcome) {
	began := r.clock.Add(1)
	out := call()
	ended := r.clock.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
	if out.won {
		r.wins[in.base+1]++
	}
}

// Operators on four hosts apply concurrently while no answer of the table, or every second,
// third or fifth one, is lost. The history must be linearizable, and each version must have
// at most one winner.
func TestConcurrentAppliesHaveOneWinnerPerVersion(t *testing.T) {
	for _, lose := range []int{0, 2, 3, 5} {
		t.Run(fmt.Sprint("lose every ", lose), func(t *testing.T) {
			withCluster(t, 4, func(ctx context.Context, c *cluster) {
				c.table.Set(losingAnswers(lose))
				r := &recorder{wins: map[config.Version]int{}}
				var operators sync.WaitGroup
				for i, h := range c.hosts {
					operators.Go(func() { c.operate(ctx, r, i, h) })
				}
				operators.Wait()
				if !porcupine.CheckOperations(versionModel.ToModel(), r.ops) {
					t.Error("the history is not linearizable")
				}
				for v, n := range r.wins {
					if n > 1 {
						t.Errorf("version %d has %d winners", v, n)
					}
				}
				t.Logf("%d operations, %d versions won", len(r.ops), len(r.wins))
			})
		})
	}
}

// operate applies ten times on the accepted version of the host, and reads after each.
func (c *cluster) operate(ctx context.Context, r *recorder, client int, h *host) {
	for range 10 {
		_, base := h.Accepted()
		r.run(client, operation{base: base}, func() outcome {
			applyCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			result, err := c.apply(applyCtx, h, base)
			if err != nil && result.State == "" {
				return outcome{unknown: true}
			}
			return outcome{won: result.State != StateRefused}
		})
		r.run(client, operation{read: true}, func() outcome {
			for {
				if state, err := h.store.readState(ctx); err == nil {
					return outcome{version: max(state.accepted.Version, state.staged.Version)}
				}
			}
		})
		c.checkMonotone()
	}
}

// The applier's process crashes at each of its calls, before or after the call takes
// effect. The version must then either be accepted by all other hosts in time or never have
// been staged, and the next apply must succeed.
func TestApplierCrashesAtEveryCall(t *testing.T) {
	const maxCalls = 40
	accepted, neverStaged := 0, 0
	for call := 1; call <= maxCalls; call++ {
		for _, afterEffect := range []bool{false, true} {
			withCluster(t, testHosts, func(ctx context.Context, c *cluster) {
				applier := c.hosts[6]
				applier.mu.Lock()
				applier.callsUntilCrash, applier.crashAfterEffect = call, afterEffect
				applier.mu.Unlock()
				applyCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
				_, _ = c.apply(applyCtx, applier, 2)
				cancel()
				applier.crash()
				state, err := c.hosts[0].store.readState(ctx)
				if err != nil {
					t.Fatal(err)
				}
				next := config.Version(2)
				if state.staged.Version == 3 {
					next = 3
					accepted++
					c.waitAccepted(3, TakeoverDelay+applyTarget)
				} else {
					neverStaged++
				}
				c.mustApply(ctx, c.hosts[1], next)
				c.waitAccepted(next+1, applyTarget)
			})
		}
	}
	if accepted == 0 || neverStaged == 0 {
		t.Fatalf("%d accepted, %d never staged: the test misses one of the two", accepted, neverStaged)
	}
	t.Logf("%d accepted, %d never staged", accepted, neverStaged)
}

// A confirmation counts only if it comes from the current owner under the current fence: an
// owner that was replaced must not confirm a version for its successor.
func TestConfirmationCountsOnlyUnderTheCurrentFence(t *testing.T) {
	shard := config.Shard{Name: "az0-0", AZ: "az0"}
	cases := []struct {
		owner     string
		fence     int64
		confirmed int64
		waits     bool
	}{
		{"h1", 2, 7, false},
		{"h1", 2, 6, true},
		{"h1", 1, 7, true},
		{"h1", 3, 7, true},
		{"h0", 2, 7, true},
	}
	for _, c := range cases {
		r := &rollout{
			staged:       VersionInfo{Version: 7},
			ownerTimeout: time.Minute,
			owners:       []ShardState{{Shard: shard.Name, Owner: "h1", Fence: 2}},
			lastSeen:     map[string]liveness{shard.Name: {since: time.Now()}},
			confirmed:    map[string]*rpc.ShardDigest{},
		}
		r.recordConfirmations([]*rpc.ShardDigest{{Shard: shard.Name, Owner: c.owner, Fence: c.fence, Confirmed: c.confirmed}})
		if _, waits := r.pendingShard(shard, time.Now()); waits != c.waits {
			t.Errorf("%+v: waits %v", c, waits)
		}
	}
}

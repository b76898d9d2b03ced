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

// operation is one apply (base is its base version) or read of the history.
type operation struct {
	read bool
	base config.Version
}

// outcome is what an operation returned.
type outcome struct {
	won     bool
	unknown bool           // the answer was lost for good
	version config.Version // of a read
}

// versionModel is a register that an apply raises by one if it holds its base.
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

// recorder gathers the operations in their real order.
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

// Operators on four hosts race one another while every third, second or each
// answer of some calls is lost. The history is linearizable, and each version
// has one winner.
func TestRacingOperatorsHaveOneWinnerEach(t *testing.T) {
	for _, lose := range []int{0, 2, 3, 5} {
		t.Run(fmt.Sprint("lose every ", lose), func(t *testing.T) {
			inCluster(t, 4, func(ctx context.Context, c *cluster) {
				c.table.Set(lossy(lose))
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

// operate applies on the version that the operator sees, ten times.
func (c *cluster) operate(ctx context.Context, r *recorder, client int, h *host) {
	for range 10 {
		_, base := h.Accepted()
		r.run(client, operation{base: base}, func() outcome {
			short, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			result, err := c.apply(short, h, base)
			if err != nil && result.State == "" {
				return outcome{unknown: true}
			}
			return outcome{won: result.State != StateRefused}
		})
		r.run(client, operation{read: true}, func() outcome {
			for {
				if heads, err := h.store.heads(ctx); err == nil {
					return outcome{version: max(heads.accepted.Version, heads.staged.Version)}
				}
			}
		})
		c.checkMonotone()
	}
}

// The applier's process dies at each of its calls, before or after the effect:
// the version is either accepted everywhere soon or was never staged, and the
// next apply works.
func TestApplierKilledAtEveryStep(t *testing.T) {
	const mostCalls = 40
	finished, nothing := 0, 0
	for call := 1; call <= mostCalls; call++ {
		for _, late := range []bool{false, true} {
			inCluster(t, testHosts, func(ctx context.Context, c *cluster) {
				applier := c.hosts[6]
				applier.mu.Lock()
				applier.dieAt, applier.dieLate = call, late
				applier.mu.Unlock()
				short, cancel := context.WithTimeout(ctx, 2*time.Second)
				_, _ = c.apply(short, applier, 2)
				cancel()
				applier.kill()
				h, err := c.hosts[0].store.heads(ctx)
				if err != nil {
					t.Fatal(err)
				}
				next := config.Version(2)
				if h.staged.Version == 3 {
					next = 3
					finished++
					c.waitAccepted(3, TakeoverDelay+applyTarget)
				} else {
					nothing++
				}
				c.must(ctx, c.hosts[1], next)
				c.waitAccepted(next+1, applyTarget)
			})
		}
	}
	if finished == 0 || nothing == 0 {
		t.Fatalf("%d finished, %d never staged: the test misses one of the two", finished, nothing)
	}
	t.Logf("%d finished, %d never staged", finished, nothing)
}

// An owner that was replaced confirms nothing for its successor.
func TestConfirmationCountsUnderTheCurrentFenceOnly(t *testing.T) {
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
		d := &driver{
			staged:    VersionInfo{Version: 7},
			patience:  time.Minute,
			watched:   []ShardState{{Shard: shard.Name, Owner: "h1", Fence: 2}},
			silent:    map[string]silence{shard.Name: {since: time.Now()}},
			confirmed: map[string]*rpc.ShardDigest{},
		}
		d.take([]*rpc.ShardDigest{{Shard: shard.Name, Owner: c.owner, Fence: c.fence, Confirmed: c.confirmed}})
		if _, waits := d.waitFor(shard, time.Now()); waits != c.waits {
			t.Errorf("%+v: waits %v", c, waits)
		}
	}
}

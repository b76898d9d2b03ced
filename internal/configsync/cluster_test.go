package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/wait"
)

const (
	testHosts        = 8
	livenessInterval = 2 * time.Second // interval between liveness updates of an owner
	confirmDelay     = 30 * time.Millisecond
)

// testConfig has three AZs of one shard and a solo window of 10 s. Team t has
// the key "secret" in even versions only.
func testConfig(version config.Version) *config.Config {
	c := &config.Config{
		Cell:          "c",
		Organisations: []config.Organisation{{Name: "o", Share: 1, Teams: []config.Team{{Name: "t", Share: int(version)}}}},
		Policy:        config.Knobs{SoloWindowSeconds: 10, LeaseSeconds: 10},
	}
	if version%2 == 0 {
		c.Organisations[0].Teams[0].Keys = []config.Key{{ID: "k", SHA256: config.HashKey("secret")}}
	}
	for i := range 3 {
		az := fmt.Sprint("az", i)
		c.AZs = append(c.AZs, config.AZ{Name: az, InService: true})
		c.Workers = append(c.Workers, model.WorkerSpec{
			ID: fmt.Sprint("w", i), Addr: fmt.Sprint("127.0.0.1:", i+1), AZ: az, Rack: "r",
			Capacity: model.Resources{MilliCores: 1, MemoryMB: 1, Slots: 1},
		})
	}
	return c
}

// host is one entry host: a Sync and the shards that it owns. A frozen host is paused as a
// whole; an isolated host reaches neither the table nor other hosts.
type host struct {
	*Sync
	cluster          *cluster
	name             string
	mu               sync.Mutex
	frozen           bool
	isolated         bool
	owned            map[string]*rpc.ShardDigest
	highest          config.Version // highest accepted version seen so far
	crashed          bool
	callsUntilCrash  int  // calls until the host crashes, decreasing; 0: it does not crash
	crashAfterEffect bool // the host crashes after the call has taken effect, not before
	stop             context.CancelFunc
}

type cluster struct {
	t     *testing.T
	table *standin.Table
	hosts []*host
	group sync.WaitGroup
}

// newCluster starts the hosts; host i owns the shard of AZ i, for i below 3.
func newCluster(ctx context.Context, t *testing.T, hosts int) *cluster {
	c := &cluster{t: t, table: standin.NewTable()}
	for i := range hosts {
		h := &host{cluster: c, name: fmt.Sprint("h", i), owned: map[string]*rpc.ShardDigest{}}
		h.Sync = New(Options{Host: h.name, Table: hostTable{h}, Peers: h, Local: h.Confirmations, Log: logr.Discard()})
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		c.start(ctx, h)
	}
	return c
}

func (c *cluster) start(ctx context.Context, h *host) {
	ctx, h.stop = context.WithCancel(ctx)
	c.group.Go(func() { _ = h.Run(ctx) })
	c.group.Go(func() { h.runOwner(ctx) })
}

// runOwner confirms versions and writes liveness updates for the shards of the host.
func (h *host) runOwner(ctx context.Context) {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := h.Changed()
		_ = wait.For(ctx, confirmDelay)
		h.confirm(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
			h.updateLiveness(ctx)
		}
	}
}

func (h *host) confirm(ctx context.Context) {
	if h.frozenOrCrashed() || h.EnsureFresh(ctx) != nil {
		return
	}
	_, version := h.Effective()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.owned {
		d.Confirmed = int64(version)
	}
}

func (h *host) updateLiveness(ctx context.Context) {
	if !h.reachable() {
		return
	}
	for _, d := range h.Confirmations() {
		_, _ = h.cluster.table.Apply(ctx, []platform.Write{{Key: "shard/" + d.GetShard() + "/alive", IfVersion: platform.AnyVersion}})
	}
}

func (h *host) frozenOrCrashed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen || h.crashed
}

func (h *host) isFrozen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen
}

func (h *host) set(frozen, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen, h.isolated = frozen, isolated
}

func (h *host) reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.frozen && !h.isolated && !h.crashed
}

// takeShard makes h the owner under the fence. As in internal/owner, the host polls after
// the owner row is written and before it confirms a version.
func (h *host) takeShard(ctx context.Context, shard string, fence int64) {
	value, err := json.Marshal(ownerRow{Host: h.name, Fence: fence})
	if err != nil {
		h.cluster.t.Error(err)
	}
	_, err = h.cluster.table.Apply(ctx, []platform.Write{{Key: "shard/" + shard + "/owner", Value: value, IfVersion: platform.AnyVersion}})
	if err != nil {
		h.cluster.t.Error(err)
	}
	_ = h.Refresh(ctx)
	h.mu.Lock()
	h.owned[shard] = &rpc.ShardDigest{Shard: shard, Owner: h.name, Fence: fence}
	h.mu.Unlock()
	h.confirm(ctx)
}

// accepts reports whether the host would start work for the key "secret" now.
func (h *host) accepts(ctx context.Context) bool {
	if h.frozenOrCrashed() || h.EnsureFresh(ctx) != nil || h.frozenOrCrashed() {
		return false
	}
	c, _ := h.Effective()
	_, ok := c.KeyTeam(config.HashKey("secret"))
	return ok
}

// Peers implements Peers.
func (h *host) Peers() []Peer {
	var peers []Peer
	for _, other := range h.cluster.hosts {
		if other != h {
			peers = append(peers, Peer{Host: other.name, RPC: link{h, other}})
		}
	}
	return peers
}

// Confirmations implements Peers and Options.Local with the host's own shards.
func (h *host) Confirmations() []*rpc.ShardDigest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var digests []*rpc.ShardDigest
	for _, d := range h.owned {
		digests = append(digests, &rpc.ShardDigest{Shard: d.Shard, Owner: d.Owner, Fence: d.Fence, Confirmed: d.Confirmed})
	}
	return digests
}

// countCall counts a call, before or after its effect, and crashes the host when
// callsUntilCrash reaches zero. Nothing of the host runs afterwards.
func (h *host) countCall(afterEffect bool) {
	h.mu.Lock()
	crashes := false
	if h.callsUntilCrash > 0 && afterEffect == h.crashAfterEffect {
		h.callsUntilCrash--
		crashes = h.callsUntilCrash == 0
	}
	h.mu.Unlock()
	if crashes {
		h.crash()
	}
}

func (h *host) crash() {
	h.stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashed = true
}

// link connects one host to another. Calls block while either host is unreachable.
type link struct{ from, to *host }

func (l link) Stage(ctx context.Context, r *rpc.StageRequest) (*rpc.StageReply, error) {
	if err := wait.For(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	l.from.countCall(false)
	if !l.from.reachable() || !l.to.reachable() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := l.to.Stage(ctx, r)
	l.from.countCall(true)
	return reply, err
}

// hostTable is the table as seen by one host.
type hostTable struct{ h *host }

func (t hostTable) admit(ctx context.Context) error {
	if err := wait.For(ctx, 2*time.Millisecond); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	t.h.countCall(false)
	for t.h.isFrozen() {
		time.Sleep(10 * time.Millisecond) // a paused process ignores its deadlines
	}
	for !t.h.reachable() {
		if err := wait.For(ctx, 10*time.Millisecond); err != nil {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
	}
	return nil
}

func (t hostTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.admit(ctx); err != nil {
		return platform.Row{}, err
	}
	row, err := t.h.cluster.table.Get(ctx, key)
	t.h.countCall(true)
	return row, err
}

func (t hostTable) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.admit(ctx); err != nil {
		return nil, err
	}
	rows, err := t.h.cluster.table.Range(ctx, prefix, after, limit)
	t.h.countCall(true)
	return rows, err
}

func (t hostTable) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	if err := t.admit(ctx); err != nil {
		return nil, err
	}
	versions, err := t.h.cluster.table.Apply(ctx, writes)
	t.h.countCall(true)
	return versions, err
}

// apply applies testConfig of the next version from host h.
func (c *cluster) apply(ctx context.Context, h *host, base config.Version) (Result, error) {
	return h.Apply(ctx, ApplyRequest{Base: base, Config: testConfig(base + 1), Author: h.name}, nil)
}

// mustApply applies testConfig of the next version and fails the test unless it is accepted.
func (c *cluster) mustApply(ctx context.Context, h *host, base config.Version) {
	c.t.Helper()
	r, err := c.apply(ctx, h, base)
	if err != nil || r.State != StateAccepted {
		c.t.Fatalf("version %d: %+v, %v", base+1, r, err)
	}
}

// waitAccepted waits until all running hosts hold the accepted version v.
func (c *cluster) waitAccepted(v config.Version, limit time.Duration) {
	c.t.Helper()
	began := time.Now()
	for _, h := range c.hosts {
		for !h.frozenOrCrashed() {
			if _, now := h.Accepted(); now >= v {
				break
			}
			if time.Since(began) > limit {
				c.t.Fatalf("%s does not hold version %d after %v", h.name, v, limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// checkMonotone fails the test if the accepted version of a host decreased.
func (c *cluster) checkMonotone() {
	for _, h := range c.hosts {
		h.mu.Lock()
		_, v := h.Accepted()
		if v < h.highest {
			c.t.Errorf("%s went back from version %d to %d", h.name, h.highest, v)
		}
		h.highest = v
		h.mu.Unlock()
	}
}

// withCluster runs test with started hosts that hold version 2 and own the shards.
func withCluster(t *testing.T, hosts int, test func(ctx context.Context, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, t, hosts)
		defer c.end(cancel)
		c.mustApply(ctx, c.hosts[0], 0)
		c.mustApply(ctx, c.hosts[1%hosts], 1)
		for i := range 3 {
			c.hosts[i%hosts].takeShard(ctx, fmt.Sprintf("az%d-0", i), 1)
		}
		c.waitAccepted(2, 2*time.Second)
		test(ctx, c)
	})
}

// end resumes and stops all hosts.
func (c *cluster) end(cancel func()) {
	for _, h := range c.hosts {
		h.set(false, false)
	}
	cancel()
	c.group.Wait()
}

var isStale = func(err error) bool { return errors.Is(err, config.ErrStale) }

// losingAnswers makes the table lose every n-th answer after the call took effect.
func losingAnswers(n int) standin.FaultSet { return standin.FaultSet{LoseReplyEvery: n} }

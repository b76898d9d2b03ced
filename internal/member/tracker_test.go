package member

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/timeline"
)

var errCut = errors.New("no route")

// network carries pings between the trackers of one test.
type network struct {
	mu       sync.Mutex
	trackers map[string]*Tracker // by address
	cut      map[string]bool     // addresses that answer nobody and reach nobody
}

func (n *network) setCut(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

func (n *network) route(from, to string) *Tracker {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil
	}
	return n.trackers[to]
}

// link is the Peer client of one host for one address.
type link struct {
	rpc.Peer
	network  *network
	from, to string
}

func (l *link) Ping(ctx context.Context, r *rpc.PingRequest) (*rpc.PingReply, error) {
	t := l.network.route(l.from, l.to)
	if t == nil {
		return nil, errCut
	}
	return t.Ping(ctx, r)
}

// cluster starts one tracker a host; hosts are named by az and number.
type cluster struct {
	network *network
	table   platform.Table
	digests map[string][]*rpc.ShardDigest
	mu      sync.Mutex
	hosts   map[string]*Tracker
	stops   map[string]context.CancelFunc
	wait    sync.WaitGroup
}

func newCluster(table platform.Table) *cluster {
	return &cluster{
		network: &network{trackers: map[string]*Tracker{}, cut: map[string]bool{}},
		table:   table,
		digests: map[string][]*rpc.ShardDigest{},
		hosts:   map[string]*Tracker{},
		stops:   map[string]context.CancelFunc{},
	}
}

func (c *cluster) start(az string, n int, seeds ...string) *Tracker {
	host := fmt.Sprintf("%s-%d", az, n)
	t := NewTracker(Options{
		Self:      &rpc.Member{Host: host, Az: az, Addr: host, Incarnation: "1"},
		Seeds:     seeds,
		Table:     c.table,
		DialPeer:  func(addr string) rpc.Peer { return &link{network: c.network, from: host, to: addr} },
		DialShard: func(string) rpc.Shard { return nil },
		Shards:    func() []Shard { return []Shard{{Name: "keller-0", AZ: "keller"}} },
		Local: func() ([]*rpc.ShardDigest, map[string]rpc.Shard) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.digests[host], nil
		},
		Versions: func() (int64, int64) { return 1, 1 },
		Recorder: timeline.Discard{},
		Log:      logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.network.mu.Lock()
	c.network.trackers[host] = t
	c.network.mu.Unlock()
	c.hosts[host] = t
	c.stops[host] = cancel
	c.wait.Go(func() { _ = t.Run(ctx) })
	return t
}

func (c *cluster) claim(host string, digests ...*rpc.ShardDigest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.digests[host] = digests
}

func (c *cluster) close() {
	for _, stop := range c.stops {
		stop()
	}
	c.wait.Wait()
}

func hostsOf(t *Tracker) []string {
	var hosts []string
	for _, m := range t.Members() {
		hosts = append(hosts, m.GetHost())
	}
	return hosts
}

func TestMembersFindEachOtherThroughTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(standin.NewTable())
		defer c.close()
		a := c.start("keller", 1)
		c.start("keller", 2)
		c.start("lager", 1)
		time.Sleep(2 * RowInterval)
		is.Equal(hostsOf(a), []string{"keller-1", "keller-2", "lager-1"})
	})
}

func TestMembersFindEachOtherThroughSeedsWithoutTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewTable()
		table.Set(standin.FaultSet{Down: true})
		c := newCluster(table)
		defer c.close()
		a := c.start("keller", 1)
		c.start("keller", 2, "keller-1")
		time.Sleep(2 * PingInterval)
		is.Equal(hostsOf(a), []string{"keller-1", "keller-2"})
	})
}

func TestCutMemberIsSilentAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(standin.NewTable())
		defer c.close()
		a := c.start("keller", 1)
		c.start("keller", 2, "keller-1")
		c.claim("keller-2", &rpc.ShardDigest{Shard: "keller-0", Az: "keller", Owner: "keller-2", Fence: 3})
		time.Sleep(2 * PingInterval)
		ref, _ := a.Shard("keller-0")
		is.Equal(ref.Digest.GetOwner(), "keller-2")

		c.network.setCut("keller-2", true)
		time.Sleep(FailureTimeout + 2*PingInterval)
		is.Equal(hostsOf(a), []string{"keller-1"})
		ref, _ = a.Shard("keller-0")
		is.True(ref.Digest == nil) // a silent member's claim is gone

		c.network.setCut("keller-2", false)
		time.Sleep(2 * PingInterval)
		is.Equal(hostsOf(a), []string{"keller-1", "keller-2"})
	})
}

func TestHigherFenceWinsBetweenTwoClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(standin.NewTable())
		defer c.close()
		a := c.start("keller", 1)
		c.start("keller", 2, "keller-1")
		c.start("keller", 3, "keller-1")
		c.claim("keller-2", &rpc.ShardDigest{Shard: "keller-0", Owner: "keller-2", Fence: 4})
		c.claim("keller-3", &rpc.ShardDigest{Shard: "keller-0", Owner: "keller-3", Fence: 3})
		time.Sleep(3 * PingInterval)
		ref, _ := a.Shard("keller-0")
		is.Equal(ref.Digest.GetOwner(), "keller-2")
	})
}

func TestRankCoversTheZoneAndPassesOverLeavingHosts(t *testing.T) {
	is := is.New(t)
	shard := Shard{Name: "keller-0", AZ: "keller"}
	members := []*rpc.Member{
		{Host: "a", Az: "keller"},
		{Host: "b", Az: "keller"},
		{Host: "c", Az: "lager"},
		{Host: "d", Az: "keller", Leaving: true},
	}
	order := Order(shard, members)
	is.Equal(len(order), 2)
	is.Equal(Rank(shard, "c", members), -1)
	is.Equal(Rank(shard, "d", members), -1)
	is.Equal(Rank(shard, order[0], members), 0)
}

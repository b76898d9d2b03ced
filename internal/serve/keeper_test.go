package serve

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

var errTaken = errors.New("another host was faster")

// fakeOwner counts how often and for how long it runs.
type fakeOwner struct {
	rpc.Shard
	bench *keeperBench
}

func (o *fakeOwner) Run(ctx context.Context) error {
	o.bench.runs.Add(1)
	o.bench.lastRun.Store(time.Now().UnixNano())
	if o.bench.fail.Load() {
		return errTaken
	}
	<-ctx.Done()
	time.Sleep(handOverTime)
	o.bench.handedOver.Add(1)
	return nil
}

func (o *fakeOwner) Digest() *rpc.ShardDigest {
	return &rpc.ShardDigest{
		Shard:       "keller-0",
		Ready:       true,
		Confirmed:   o.bench.confirmed.Load(),
		JobsPending: o.bench.pending.Load(),
	}
}

func (o *fakeOwner) Workers() []*rpc.WorkerStatus { return nil }

// handOverTime is how long a fake owner takes to hand over.
const handOverTime = 300 * time.Millisecond

// keeperBench is a keeper between fakes. It is the directory, too.
type keeperBench struct {
	member.Directory
	members    []*rpc.Member
	claimed    atomic.Bool // another live host owns the shard
	released   atomic.Bool // the table says that nobody owns it
	fail       atomic.Bool
	runs       atomic.Int64
	handedOver atomic.Int64
	lastRun    atomic.Int64
	confirmed  atomic.Int64 // configuration version in the owner's digest
	announced  atomic.Int64
	out        atomic.Bool  // operators have taken the AZ out
	pending    atomic.Int64 // jobs that wait in the shard
	elsewhere  atomic.Bool  // another AZ's shard is ready
}

func (b *keeperBench) Members() []*rpc.Member { return b.members }

func (b *keeperBench) Shards() []member.ShardRef {
	return []member.ShardRef{{Name: "lager-0", AZ: "lager", Digest: &rpc.ShardDigest{Ready: b.elsewhere.Load()}}}
}

func (b *keeperBench) Shard(string) (member.ShardRef, bool) {
	ref := member.ShardRef{Name: "keller-0", AZ: "keller"}
	if b.claimed.Load() {
		ref.Owner = &fakeOwner{}
	}
	return ref, true
}

// start runs a keeper of the host and returns a function that ends it.
func (b *keeperBench) start(host string) (stop func()) {
	k := newKeeper(keeperOptions{
		host:      host,
		az:        "keller",
		shards:    func() []member.Shard { return []member.Shard{{Name: "keller-0", AZ: "keller"}} },
		directory: b,
		released:  func(context.Context, string) bool { return b.released.Load() },
		newOwner:  func(member.Shard) shardOwner { return &fakeOwner{bench: b} },
		changed:   func() { b.announced.Add(1) },

		outOfService: func(az string) bool { return az == "keller" && b.out.Load() },
		log:          logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func members(hosts ...string) []*rpc.Member {
	var list []*rpc.Member
	for _, h := range hosts {
		list = append(list, &rpc.Member{Host: h, Az: "keller"})
	}
	return list
}

func TestKeeperTakesAReleasedShardAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a")}
		b.released.Store(true)
		defer b.start("a")()
		time.Sleep(2 * keeperInterval)
		is.Equal(b.runs.Load(), int64(1))
	})
}

func TestKeeperThatJustStartedWaitsForTheOwnersPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a")}
		defer b.start("a")()
		time.Sleep(startGrace - keeperInterval)
		is.Equal(b.runs.Load(), int64(0)) // the owner may live
		time.Sleep(3 * keeperInterval)
		is.Equal(b.runs.Load(), int64(1))
	})
}

func TestKeeperLeavesALiveOwnersShardAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a")}
		b.claimed.Store(true)
		defer b.start("a")()
		time.Sleep(time.Minute)
		is.Equal(b.runs.Load(), int64(0))
		b.claimed.Store(false) // it died
		time.Sleep(2 * keeperInterval)
		is.Equal(b.runs.Load(), int64(1))
	})
}

func TestSecondChoiceTakesAShardThatTheFirstDoesNotTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a", "b")}
		order := member.Order(member.Shard{Name: "keller-0", AZ: "keller"}, b.members)
		began := time.Now()
		defer b.start(order[1])()
		time.Sleep(startGrace + rankDelay + time.Second)
		is.Equal(b.runs.Load(), int64(1))
		is.True(b.lastRun.Load()-began.UnixNano() >= int64(rankDelay)) // the first choice had its time
	})
}

func TestKeeperTriesALostShardAgainAfterADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a")}
		b.released.Store(true)
		b.fail.Store(true)
		defer b.start("a")()
		time.Sleep(10 * time.Second)
		runs := b.runs.Load()
		is.True(runs >= 5)                                         // it goes on trying
		is.True(runs <= int64(10*time.Second/retryDelay)+int64(1)) // but not in a tight loop
	})
}

func TestKeeperWaitsForTheHandOverOfItsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a")}
		b.released.Store(true)
		stop := b.start("a")
		time.Sleep(time.Second)
		began := time.Now()
		stop()
		is.Equal(b.handedOver.Load(), int64(1))
		is.True(time.Since(began) >= handOverTime)
	})
}

func TestKeeperAnnouncesAChangeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a")}
		b.released.Store(true)
		defer b.start("a")()
		time.Sleep(time.Second)
		settled := b.announced.Load()
		b.confirmed.Store(7)
		time.Sleep(time.Second)
		is.Equal(b.announced.Load(), settled+1)
	})
}

func TestKeeperGivesUpAShardOfAnAZOutOfServiceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &keeperBench{members: members("a")}
		b.released.Store(true)
		defer b.start("a")()
		time.Sleep(time.Second)
		is.Equal(b.runs.Load(), int64(1))

		b.pending.Store(5)
		b.out.Store(true)
		time.Sleep(time.Minute)
		is.Equal(b.handedOver.Load(), int64(0)) // nobody could take the jobs

		b.elsewhere.Store(true)
		began := time.Now()
		time.Sleep(evacuateGap)
		is.Equal(b.handedOver.Load(), int64(1))
		is.Equal(b.runs.Load(), int64(1)) // it waits for the other AZ's host
		time.Sleep(time.Minute)
		is.Equal(b.runs.Load(), int64(2)) // and takes the shard again
		is.True(b.lastRun.Load()-began.UnixNano() >= int64(evacuateGap))
		is.Equal(b.handedOver.Load(), int64(1)) // once, though jobs still wait
	})
}

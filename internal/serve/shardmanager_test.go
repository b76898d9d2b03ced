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

var errTakenByOther = errors.New("shard was taken by another host")

// fakeOwner records its runs in the fixture and fails if the fixture says so.
type fakeOwner struct {
	rpc.Shard
	fixture *managerFixture
}

func (o *fakeOwner) Run(ctx context.Context) error {
	o.fixture.runs.Add(1)
	o.fixture.lastRun.Store(time.Now().UnixNano())
	if o.fixture.fail.Load() {
		return errTakenByOther
	}
	<-ctx.Done()
	time.Sleep(handOverTime)
	o.fixture.handedOver.Add(1)
	return nil
}

func (o *fakeOwner) Digest() *rpc.ShardDigest {
	return &rpc.ShardDigest{
		Shard:       "keller-0",
		Ready:       true,
		Confirmed:   o.fixture.confirmed.Load(),
		JobsPending: o.fixture.jobsPending.Load(),
	}
}

func (o *fakeOwner) Workers() []*rpc.WorkerStatus { return nil }

// handOverTime is how long a fake owner takes to hand over.
const handOverTime = 300 * time.Millisecond

// managerFixture holds the state and counters of the fakes around a shardManager, and is
// its directory.
type managerFixture struct {
	member.Directory
	members        []*rpc.Member
	otherOwnerLive atomic.Bool // another live host owns the shard
	released       atomic.Bool // the table records that the shard has no owner
	fail           atomic.Bool
	runs           atomic.Int64
	handedOver     atomic.Int64
	lastRun        atomic.Int64
	confirmed      atomic.Int64 // configuration version in the owner's digest
	announced      atomic.Int64
	azOutOfService atomic.Bool  // operators have taken the AZ out of service
	jobsPending    atomic.Int64 // waiting jobs in the shard
	otherAZReady   atomic.Bool  // another AZ's shard is ready
}

func (f *managerFixture) Members() []*rpc.Member { return f.members }

func (f *managerFixture) Shards() []member.ShardRef {
	return []member.ShardRef{{Name: "lager-0", AZ: "lager", Digest: &rpc.ShardDigest{Ready: f.otherAZReady.Load()}}}
}

func (f *managerFixture) Shard(string) (member.ShardRef, bool) {
	ref := member.ShardRef{Name: "keller-0", AZ: "keller"}
	if f.otherOwnerLive.Load() {
		ref.Owner = &fakeOwner{}
	}
	return ref, true
}

// start runs the shard manager of the host and returns a function that stops it.
func (f *managerFixture) start(host string) (stop func()) {
	m := newShardManager(shardManagerOptions{
		host:       host,
		az:         "keller",
		shards:     func() []member.Shard { return []member.Shard{{Name: "keller-0", AZ: "keller"}} },
		directory:  f,
		isReleased: func(context.Context, string) bool { return f.released.Load() },
		newOwner:   func(member.Shard) shardOwner { return &fakeOwner{fixture: f} },
		onChange:   func() { f.announced.Add(1) },

		outOfService: func(az string) bool { return az == "keller" && f.azOutOfService.Load() },
		log:          logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.run(ctx)
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

func TestManagerTakesAReleasedShardAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a")}
		f.released.Store(true)
		defer f.start("a")()
		time.Sleep(2 * shardCheckInterval)
		is.Equal(f.runs.Load(), int64(1))
	})
}

func TestNewManagerWaitsForPingsOfTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a")}
		defer f.start("a")()
		time.Sleep(startGrace - shardCheckInterval)
		is.Equal(f.runs.Load(), int64(0)) // the owner may still be alive
		time.Sleep(3 * shardCheckInterval)
		is.Equal(f.runs.Load(), int64(1))
	})
}

func TestManagerDoesNotTakeTheShardOfALiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a")}
		f.otherOwnerLive.Store(true)
		defer f.start("a")()
		time.Sleep(time.Minute)
		is.Equal(f.runs.Load(), int64(0))
		f.otherOwnerLive.Store(false) // the owner is gone
		time.Sleep(2 * shardCheckInterval)
		is.Equal(f.runs.Load(), int64(1))
	})
}

func TestSecondRankTakesAShardThatTheFirstDoesNotTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a", "b")}
		order := member.Order(member.Shard{Name: "keller-0", AZ: "keller"}, f.members)
		began := time.Now()
		defer f.start(order[1])()
		time.Sleep(startGrace + rankDelay + time.Second)
		is.Equal(f.runs.Load(), int64(1))
		is.True(f.lastRun.Load()-began.UnixNano() >= int64(rankDelay)) // the first rank had time to take the shard
	})
}

func TestManagerRetriesALostShardAfterADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a")}
		f.released.Store(true)
		f.fail.Store(true)
		defer f.start("a")()
		time.Sleep(10 * time.Second)
		runs := f.runs.Load()
		is.True(runs >= 5)                                             // it keeps retrying
		is.True(runs <= int64(10*time.Second/takeRetryDelay)+int64(1)) // but not in a tight loop
	})
}

func TestManagerWaitsForTheHandoverOfItsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a")}
		f.released.Store(true)
		stop := f.start("a")
		time.Sleep(time.Second)
		began := time.Now()
		stop()
		is.Equal(f.handedOver.Load(), int64(1))
		is.True(time.Since(began) >= handOverTime)
	})
}

func TestManagerAnnouncesAChangeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a")}
		f.released.Store(true)
		defer f.start("a")()
		time.Sleep(time.Second)
		settled := f.announced.Load()
		f.confirmed.Store(7)
		time.Sleep(time.Second)
		is.Equal(f.announced.Load(), settled+1)
	})
}

func TestManagerReleasesAShardOfAnAZOutOfServiceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &managerFixture{members: members("a")}
		f.released.Store(true)
		defer f.start("a")()
		time.Sleep(time.Second)
		is.Equal(f.runs.Load(), int64(1))

		f.jobsPending.Store(5)
		f.azOutOfService.Store(true)
		time.Sleep(time.Minute)
		is.Equal(f.handedOver.Load(), int64(0)) // no ready shard could take the jobs

		f.otherAZReady.Store(true)
		began := time.Now()
		time.Sleep(evacuationGap)
		is.Equal(f.handedOver.Load(), int64(1))
		is.Equal(f.runs.Load(), int64(1)) // it waits for the host of the other AZ
		time.Sleep(time.Minute)
		is.Equal(f.runs.Load(), int64(2)) // then it takes the shard again
		is.True(f.lastRun.Load()-began.UnixNano() >= int64(evacuationGap))
		is.Equal(f.handedOver.Load(), int64(1)) // once, though jobs still wait
	})
}

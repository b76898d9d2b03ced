package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

// adopterFixture is the directory of an adopter. With local set its process owns
// keller-0. It records the calls of adopt and adoptReleased.
type adopterFixture struct {
	member.Directory
	members []*rpc.Member
	local   bool
	adopted []string
	// The AZ lager is out of service; the shard lager-0 has an owner.
	outOfService, owned bool
	movedReleased       []string
}

func (f *adopterFixture) Members() []*rpc.Member { return f.members }

func (f *adopterFixture) Shards() []member.ShardRef {
	ready := &rpc.ShardDigest{Ready: true, Capacity: &rpc.Resources{Slots: 8}}
	return []member.ShardRef{
		{Name: "keller-0", AZ: "keller", Owner: &fakeOwner{}, Local: f.local, Digest: ready},
		{Name: "lager-0", AZ: "lager"},
	}
}

func (f *adopterFixture) Shard(name string) (member.ShardRef, bool) {
	ref := member.ShardRef{Name: name, AZ: "lager"}
	if f.owned {
		ref.Owner = &fakeOwner{}
	}
	return ref, true
}

func (f *adopterFixture) run(t *testing.T, d time.Duration) []string {
	t.Helper()
	a := newAdopter(adopter{
		az: "keller",
		shards: func() []member.Shard {
			return []member.Shard{{Name: "keller-0", AZ: "keller"}, {Name: "lager-0", AZ: "lager"}}
		},
		directory: f,
		adopt: func(_ context.Context, by, from string) (int, error) {
			f.adopted = append(f.adopted, by+"<"+from)
			return 1, nil
		},
		adoptReleased: func(_ context.Context, by, from string) (int, error) {
			f.movedReleased = append(f.movedReleased, by+"<"+from)
			return 1, nil
		},
		outOfService: func(az string) bool { return az == "lager" && f.outOfService },
		log:          logr.Discard(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	_ = a.run(ctx)
	return f.adopted
}

func TestAdopterAdoptsShardsOfLostAZsOnly(t *testing.T) {
	lager := &rpc.Member{Host: "l", Az: "lager"}
	cases := []struct {
		name    string
		fixture adopterFixture
		run     time.Duration
		want    int
	}{
		{"lost", adopterFixture{members: members("a"), local: true}, adoptAfter + 10*time.Second, 1},
		{"lost too recently", adopterFixture{members: members("a"), local: true}, adoptAfter, 0},
		{"alive", adopterFixture{members: append(members("a"), lager), local: true}, time.Hour, 0},
		{"another host's choice", adopterFixture{members: members("a")}, time.Hour, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.Equal(len(c.fixture.run(t, c.run)), c.want)
			})
		})
	}
}

func TestAdopterMovesTheJobsOfAnAZOutOfService(t *testing.T) {
	lager := &rpc.Member{Host: "l", Az: "lager"}
	cases := []struct {
		name    string
		fixture adopterFixture
		want    int
	}{
		{"handed over", adopterFixture{local: true, outOfService: true}, 1},
		{"still owned", adopterFixture{local: true, outOfService: true, owned: true}, 0},
		{"in service", adopterFixture{local: true}, 0},
		{"another host's choice", adopterFixture{outOfService: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c.fixture.members = append(members("a"), lager)
				c.fixture.run(t, 10*time.Second)
				is.Equal(len(c.fixture.movedReleased), c.want)
				is.Equal(len(c.fixture.adopted), 0)
			})
		})
	}
}

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

// adopterBench is the directory of an adopter whose process owns keller-0.
type adopterBench struct {
	member.Directory
	members []*rpc.Member
	local   bool
	adopted []string
	// Of AZs out of service.
	out, owned bool
	released   []string
}

func (b *adopterBench) Members() []*rpc.Member { return b.members }

func (b *adopterBench) Shards() []member.ShardRef {
	ready := &rpc.ShardDigest{Ready: true, Capacity: &rpc.Resources{Slots: 8}}
	return []member.ShardRef{
		{Name: "keller-0", AZ: "keller", Owner: &fakeOwner{}, Local: b.local, Digest: ready},
		{Name: "lager-0", AZ: "lager"},
	}
}

func (b *adopterBench) Shard(name string) (member.ShardRef, bool) {
	ref := member.ShardRef{Name: name, AZ: "lager"}
	if b.owned {
		ref.Owner = &fakeOwner{}
	}
	return ref, true
}

func (b *adopterBench) run(t *testing.T, d time.Duration) []string {
	t.Helper()
	a := newAdopter(adopter{
		az: "keller",
		shards: func() []member.Shard {
			return []member.Shard{{Name: "keller-0", AZ: "keller"}, {Name: "lager-0", AZ: "lager"}}
		},
		directory: b,
		adopt: func(_ context.Context, by, from string) (int, error) {
			b.adopted = append(b.adopted, by+"<"+from)
			return 1, nil
		},
		adoptReleased: func(_ context.Context, by, from string) (int, error) {
			b.released = append(b.released, by+"<"+from)
			return 1, nil
		},
		outOfService: func(az string) bool { return az == "lager" && b.out },
		log:          logr.Discard(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	_ = a.run(ctx)
	return b.adopted
}

func TestAdopterTakesLostAZsOnly(t *testing.T) {
	lager := &rpc.Member{Host: "l", Az: "lager"}
	cases := []struct {
		name  string
		bench adopterBench
		run   time.Duration
		want  int
	}{
		{"lost", adopterBench{members: members("a"), local: true}, adoptAfter + 10*time.Second, 1},
		{"not for long", adopterBench{members: members("a"), local: true}, adoptAfter, 0},
		{"alive", adopterBench{members: append(members("a"), lager), local: true}, time.Hour, 0},
		{"another host's choice", adopterBench{members: members("a")}, time.Hour, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.Equal(len(c.bench.run(t, c.run)), c.want)
			})
		})
	}
}

func TestAdopterMovesTheJobsOfAnAZOutOfService(t *testing.T) {
	lager := &rpc.Member{Host: "l", Az: "lager"}
	cases := []struct {
		name  string
		bench adopterBench
		want  int
	}{
		{"handed over", adopterBench{local: true, out: true}, 1},
		{"still owned", adopterBench{local: true, out: true, owned: true}, 0},
		{"in service", adopterBench{local: true}, 0},
		{"another host's choice", adopterBench{out: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c.bench.members = append(members("a"), lager)
				c.bench.run(t, 10*time.Second)
				is.Equal(len(c.bench.released), c.want)
				is.Equal(len(c.bench.adopted), 0)
			})
		})
	}
}

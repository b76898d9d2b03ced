package serve

import (
	"testing"

	"github.com/matryer/is"

	"cuminloft/api"
)

func TestUnconfirmedNamesTheShardsThatAStagedVersionWaitsFor(t *testing.T) {
	shards := []api.ShardStatus{
		{Shard: "keller-0", Owner: "entry-4", Confirmed: 7},
		{Shard: "lager-0", Owner: "entry-7", Confirmed: 6},
	}
	cases := []struct {
		name   string
		staged int64
		want   []string
	}{
		{"none staged", 0, nil},
		{"all have confirmed", 6, nil},
		{"one has not", 7, []string{`shard lager-0 (owner "entry-7")`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(unconfirmed(shards, c.staged), c.want)
		})
	}
}

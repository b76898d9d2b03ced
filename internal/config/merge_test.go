package config

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminloft/internal/model"
)

// genConfig draws a valid configuration from a small set of names, so that two
// configurations overlap.
func genConfig(t *rapid.T, label string) *Config {
	draw := func(name string, highest int) int { return rapid.IntRange(0, highest).Draw(t, label+name) }
	flip := func(name string) bool { return rapid.Bool().Draw(t, label+name) }
	size := func(name string) model.Resources {
		return model.Resources{MilliCores: int64(draw(name+"cores", 3)), Slots: int64(draw(name+"slots", 3))}
	}
	c := &Config{Cell: "c", Policy: Knobs{SoloWindowSeconds: 5 + draw("solo", 3), MaxRestarts: draw("restarts", 3)}}
	for i := range 2 {
		if i == 0 || flip("az") {
			c.AZs = append(c.AZs, AZ{Name: fmt.Sprint("az", i), InService: flip("in"), Shards: draw("shards", 2)})
		}
	}
	for i := range 2 {
		org := Organisation{Name: fmt.Sprint("o", i), Share: 1 + draw("share", 3)}
		for j := range 2 {
			if flip("team") {
				team := Team{Name: fmt.Sprintf("t%d%d", i, j), Share: 1, Limit: size("limit")}
				for k := range 2 {
					if flip("key") {
						id := fmt.Sprintf("k%d%d%d", i, j, k)
						team.Keys = append(team.Keys, Key{ID: id, SHA256: HashKey(id)})
					}
				}
				org.Teams = append(org.Teams, team)
			}
		}
		c.Organisations = append(c.Organisations, org)
	}
	teams := teamNames(c, c)
	for i := range 3 {
		q := Queue{Name: fmt.Sprint("q", i), Policy: model.PolicyBatch, Urgent: flip("urgent"), MaxPending: draw("pending", 3), MaxTask: size("task")}
		if flip("gang") {
			q.Policy = model.PolicyGang
		}
		if len(teams) > 0 && flip("open") {
			q.Open = true
			q.OpenTeam = rapid.SampledFrom(teams).Draw(t, label+"open team")
		}
		for _, team := range teams {
			if flip("listed") {
				q.Teams = append(q.Teams, team)
			}
		}
		c.Queues = append(c.Queues, q)
	}
	for i := range 3 {
		if flip("worker") {
			c.Workers = append(c.Workers, model.WorkerSpec{
				ID: fmt.Sprint("w", i), Addr: fmt.Sprint("127.0.0.1:", 1+3*draw("port", 1)+i), AZ: c.AZs[draw("of az", len(c.AZs)-1)].Name,
				Rack: fmt.Sprint("r", draw("rack", 1)), Connections: draw("conns", 3),
				Capacity: model.Resources{MilliCores: 1, MemoryMB: 1, Slots: int64(1 + draw("cap", 3))},
			})
		}
	}
	return c.withIndex()
}

// permissions returns everything that a configuration permits, one string each. A numeric
// bound permits each value up to the bound.
func permissions(c *Config) []string {
	var all []string
	upTo := func(subject string, bound int64) {
		for n := int64(1); n <= min(bound, 10); n++ {
			all = append(all, fmt.Sprint(subject, " ", n))
		}
	}
	limit := func(subject string, r model.Resources) {
		for _, q := range quantitiesOf(r) {
			if q.value == 0 {
				q.value = 10 // more than any bound drawn
			}
			upTo(subject+q.name, q.value)
		}
	}
	for _, az := range c.AZs {
		if az.InService {
			all = append(all, "starts in "+az.Name)
		}
	}
	for _, w := range c.Workers {
		shard, _ := c.ShardOfWorker(w.ID)
		at := fmt.Sprint("worker ", w.ID, w.Addr, shard.Name)
		all = append(all, at)
		upTo(at+" connections", int64(w.Connections))
		limit(at, w.Capacity)
	}
	for _, name := range teamNames(c, c) {
		team, _ := c.Team(name)
		all = append(all, "team "+name)
		limit("team "+name, team.Limit)
		for _, key := range team.Keys {
			all = append(all, "key "+key.SHA256+" for "+name)
		}
		for _, q := range c.Queues {
			if q.Allows(name) {
				all = append(all, fmt.Sprint("queue ", q.Name, q.Policy, " by ", name))
			}
		}
	}
	for _, q := range c.Queues {
		if q.Open {
			all = append(all, fmt.Sprint("open queue ", q.Name, " as ", q.OpenTeam))
		}
		if q.Urgent {
			all = append(all, "urgent "+q.Name)
		}
		upTo("pending in "+q.Name, int64(orDefault(q.MaxPending, DefaultMaxPending)))
		limit("task in "+q.Name, q.MaxTask)
	}
	upTo("solo", int64(c.Policy.SoloWindow().Seconds()))
	upTo("restarts", int64(c.Policy.RestartLimit()))
	return all
}

func TestMergeStricterAllowsOnlyWhatBothAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := genConfig(t, "a ")
		b := genConfig(t, "b ")
		m := MergeStricter(a, b)
		inA, inB := permissions(a), permissions(b)
		for _, permission := range permissions(m) {
			if !slices.Contains(inA, permission) || !slices.Contains(inB, permission) {
				t.Fatalf("the merge allows %q, but not both do", permission)
			}
		}
		if err := Check(m); err != nil {
			t.Fatalf("the merge is not valid: %v", err)
		}
		if same := MergeStricter(a, a); !slices.Equal(permissions(same), inA) {
			t.Fatalf("the merge with itself allows %v, not %v", permissions(same), inA)
		}
	})
}

func TestDiffAndEffect(t *testing.T) {
	is := is.New(t)
	a, err := Parse("a.hujson", []byte(validFile()))
	is.NoErr(err)
	b := a.Clone()
	b.AZs[0].InService = false
	b.Organisations[0].Teams[0].Limit.Slots = 2
	b.Organisations[0].Teams[0].Keys = nil
	is.Equal(FormatChanges(Diff(a, b)), `az a: in_service: true -> false
team t: limit.slots: 4 -> 2
key k of team t: removed
`)
	is.Equal(len(Diff(a, a)), 0)
	e := ComputeEffect(a, b, []TeamUsage{{"t", model.Resources{Slots: 3, MilliCores: 9}}})
	is.Equal(e.AZsOut, []string{"a"})
	is.Equal(e.CapacityAfter, model.Resources{})
	is.Equal(e.RevokedKeys, []RevokedKey{{"t", "k"}})
	is.Equal(e.Teams[0].OverLimit, model.Resources{Slots: 1})
}

func TestTransitionKeepsWorkersInTheirShards(t *testing.T) {
	is := is.New(t)
	a, err := Parse("a.hujson", []byte(validFile()))
	is.NoErr(err)
	b := a.Clone()
	b.AZs[0].Shards = 2
	is.Equal(problemsOf(t, CheckTransition(a, b))[0].Code, CodeAZInService)
	a.AZs[0].InService = false
	is.NoErr(CheckTransition(a, b))
	b.Cell = "d"
	b.Workers[0].ID = "w9"
	found := problemsOf(t, CheckTransition(a, b))
	is.Equal(found[0].Code, CodeCellChanged)
	is.Equal(found[1].Code, CodeAddressReused)
}

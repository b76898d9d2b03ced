package grant

import (
	"context"
	"fmt"
	"math/rand/v2"
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
)

// Sizes of the target load.
const (
	loadShards = 16
	loadTeams  = 140
	loadStarts = 300 // a second
	loadRun    = 20 * time.Second
	loadWarmUp = 40 * time.Second
	loadTime   = 20 * time.Second
	tableReads = 2000 // a second, the table's whole capacity
)

// busyCore is a stand-in for the owner of one shard with tasks of many teams.
type busyCore struct {
	*Holder
	mu      sync.Mutex
	used    map[string]int64
	pending map[string]int64
	ends    []taskEnd
	late    int // starts that waited for a grant
}

type taskEnd struct {
	at   time.Time
	team string
}

func (c *busyCore) ApplyGrants(context.Context) ([]TeamUsage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var uses []TeamUsage
	for name := range c.used {
		uses = append(uses, TeamUsage{Team: name, Used: slots(c.used[name]), Pending: slots(c.pending[name])})
	}
	return uses, nil
}

func (c *busyCore) submit(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[team]++
	if !c.start(team) {
		c.late++
	}
}

// start starts tasks as far as the team's amount allows and reports whether none is
// pending.
func (c *busyCore) start(team string) bool {
	held, ok := c.Granted(team)
	n := min(c.pending[team], held.Slots-c.used[team])
	if ok && n > 0 {
		c.pending[team] -= n
		c.used[team] += n
		for range n {
			c.ends = append(c.ends, taskEnd{time.Now().Add(loadRun), team})
		}
	}
	if c.pending[team] > 0 {
		c.Request(team, slots(c.used[team]+c.pending[team]))
	}
	return c.pending[team] == 0
}

func (c *busyCore) endAndStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.ends) > 0 && !c.ends[0].at.After(time.Now()) {
		c.used[c.ends[0].team]--
		c.ends = c.ends[1:]
	}
	for team, n := range c.pending {
		if n > 0 {
			c.start(team)
		}
	}
}

// Checks that the shards' reads and writes of the table stay within their budget at the
// target load: 300 starts a second of 140 teams of unequal size, on random shards.
func TestTableLoadAtTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		table := standin.NewTable()
		limits := newLimits(1)
		limits.effective = loadConfig()
		limits.accepted = limits.effective
		cores := map[string]*busyCore{}
		var names []string
		requestGiveBack := func(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error) {
			given, err := cores[r.GetShard()].GiveBack(ctx, r.GetTeam(), r.GetWant().Model())
			return &rpc.GiveBackReply{Given: rpc.FromResources(given)}, err
		}
		for _, shard := range limits.effective.Shards() {
			c := &busyCore{used: map[string]int64{}, pending: map[string]int64{}}
			c.Holder = New(Options{Shard: shard.Name, Table: table, Limits: limits, RequestGiveBack: requestGiveBack, Log: logr.Discard()})
			cores[shard.Name] = c
			names = append(names, shard.Name)
		}
		for _, name := range names {
			key := "shard/" + name + "/owner"
			versions, err := table.Apply(ctx, []platform.Write{{Key: key}})
			if err != nil {
				t.Fatal(err)
			}
			group.Go(func() { _ = cores[name].Run(ctx, cores[name], key, versions[0]) })
		}
		random := rand.New(rand.NewPCG(1, 2))
		zipf := rand.NewZipf(random, 1.1, 4, loadTeams-1)
		starts := 0
		var before standin.TableStats
		for began := time.Now(); time.Since(began) < loadWarmUp+loadTime; time.Sleep(time.Second / loadStarts) {
			cores[names[random.IntN(loadShards)]].submit(fmt.Sprint("t", zipf.Uint64()))
			starts++
			if starts == loadStarts*int(loadWarmUp/time.Second) {
				before = table.Stats()
				for _, c := range cores {
					c.mu.Lock()
					c.late = 0
					c.mu.Unlock()
				}
			}
			if starts%(loadStarts/20) == 0 {
				for _, name := range names {
					cores[name].endAndStart()
				}
			}
		}
		late := 0
		for _, c := range cores {
			late += c.late
		}
		stats := table.Stats()
		seconds := loadTime.Seconds()
		writes := float64(stats.Writes-before.Writes) / seconds
		reads := float64(stats.Reads-before.Reads) / seconds
		t.Logf("%d starts, %d waited for a grant; %.1f writes/s, %.1f reads/s, %d conflicts",
			starts-loadStarts*int(loadWarmUp/time.Second), late, writes, reads, stats.Conflicts-before.Conflicts)
		const maxReadShare = 0.15 // share of the table's reads a second that grants may use
		if reads > maxReadShare*tableReads {
			t.Errorf("more than %.0f reads/s", maxReadShare*tableReads)
		}
		if most := loadShards * (ChangesPerSecond + changeBurst/seconds); writes > most {
			t.Errorf("more than %.0f writes/s", most)
		}
	})
}

// loadConfig gives every team a limit of a sixth of the tasks that run at the target
// load.
func loadConfig() *config.Config {
	c := &config.Config{}
	for i := range loadShards {
		c.AZs = append(c.AZs, config.AZ{Name: fmt.Sprint("az", i), InService: true})
	}
	org := config.Organisation{Name: "o"}
	for i := range loadTeams {
		org.Teams = append(org.Teams, config.Team{Name: fmt.Sprint("t", i), Limit: model.Resources{Slots: 1000}})
	}
	c.Organisations = []config.Organisation{org}
	return c
}

package harness

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

var (
	workersPerAZ = flag.Int("workers-per-az", 17, "size of the cell of -measure capacity")
	busy         = flag.Bool("busy", false, "measure capacity with running tasks and starts in proportion to the target")
	shards       = flag.Int("shards-per-az", 1, "shards of each AZ of -measure capacity")
	window       = flag.Duration("window", 30*time.Second, "length of a capacity measurement")
)

// The target size. The load of a smaller cell is scaled down from it.
const (
	targetWorkers = 930
	targetRunning = 7000
	targetStarts  = 300 // a second
)

// targetTeams is the number of teams at the target size.
const targetTeams = 140

// scaleToTarget sets the shards of each AZ, adds teams up to the target number and
// lifts the limits of the first teams, one of which runs the load.
func scaleToTarget(cfg *config.Config) {
	for i := range cfg.AZs {
		cfg.AZs[i].Shards = *shards
	}
	for i := range cfg.Organisations {
		cfg.Organisations[i].Teams[0].Limit = model.Resources{}
	}
	for i := len(cfg.Organisations); i < targetTeams; i++ {
		team := organisation(fmt.Sprintf("team-%03d", i))
		team.Teams[0].Limit.Slots = slotsPerWorker
		cfg.Organisations = append(cfg.Organisations, team)
	}
}

// hostUse is the resource use of one entry host in a window.
type hostUse struct {
	cores, residentMB, bytesPerSecond float64
}

// TestMeasureCapacity measures the resource use of each entry host and the operations
// of the platform for a cell of a given size.
func TestMeasureCapacity(t *testing.T) {
	c := startMeasured(t, "capacity", 125, *workersPerAZ, scaleToTarget)
	workers := len(c.Config.Workers)
	t.Logf("%d workers, %d shards per AZ, busy %t", workers, *shards, *busy)
	stop := make(chan struct{})
	if *busy {
		generateLoad(t, c, workers, stop)
	}
	time.Sleep(10 * time.Second)
	began := time.Now()
	uses, reads, writes, bytesPut := measureUse(t, c)
	ended := time.Now()
	close(stop)
	if *busy {
		logLoad(t, c, began, ended)
	}
	for i, u := range uses {
		t.Logf("%d workers, %s (%s): %.2f%% of a core, %.1f MB, %.1f KB/s control", workers,
			c.Hosts[i].ID, c.Hosts[i].AZ, u.cores*100, u.residentMB, u.bytesPerSecond/1024)
	}
	t.Logf("%d workers, platform: %.1f table reads/s, %.1f transactions/s, %.1f KB/s written", workers, reads, writes, bytesPut/1024)
}

// logLoad logs the starts and running tasks of the window, from the workers' records.
func logLoad(t *testing.T, c *Cluster, began, ended time.Time) {
	runs, err := c.AttemptRecords(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	starts, running := 0, 0
	for _, r := range runs {
		if r.Start.After(began) && r.Start.Before(ended) {
			starts++
		}
		if r.Start.Before(ended) && (r.End.IsZero() || r.End.After(ended)) {
			running++
		}
	}
	t.Logf("workers: %.1f task starts/s, %d tasks running at the end", float64(starts)/ended.Sub(began).Seconds(), running)
}

// measureUse measures the hosts and the platform over the window.
func measureUse(t *testing.T, c *Cluster) (uses []hostUse, reads, writes, put float64) {
	before := readCounters(t, c)
	time.Sleep(*window)
	after := readCounters(t, c)
	seconds := after.at.Sub(before.at).Seconds()
	for i := range c.Hosts {
		uses = append(uses, hostUse{
			cores:          (after.usage[i].CPU - before.usage[i].CPU).Seconds() / seconds,
			residentMB:     float64(after.usage[i].Resident) / (1 << 20),
			bytesPerSecond: float64(after.bytes[i]-before.bytes[i]) / seconds,
		})
	}
	a, b := after.table, before.table
	return uses, float64(a.Reads-b.Reads) / seconds, float64(a.Writes-b.Writes) / seconds, float64(a.BytesPut-b.BytesPut) / seconds
}

// tableUse is the operation counts of the platform's table.
type tableUse struct{ Reads, Writes, BytesPut int64 }

// counters are all counters at one moment.
type counters struct {
	at    time.Time
	usage []Usage
	bytes []int64 // bytes that the forwarders carried from and to each host
	table tableUse
}

func readCounters(t *testing.T, c *Cluster) counters {
	s, err := c.PlatformStats(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r := counters{at: time.Now(), table: tableUse{s.Table.Reads, s.Table.Writes, s.Table.BytesPut}}
	nodes := []string{platformNode}
	for _, h := range c.Hosts {
		nodes = append(nodes, h.ID)
	}
	for _, w := range c.Config.Workers {
		nodes = append(nodes, w.ID)
	}
	for _, h := range c.Hosts {
		u, err := h.Usage()
		if err != nil {
			t.Fatal(err)
		}
		sum := int64(0)
		for _, n := range nodes {
			sum += c.Net.Bytes(h.ID, n) + c.Net.Bytes(n, h.ID)
		}
		r.usage = append(r.usage, u)
		r.bytes = append(r.bytes, sum)
	}
	return r
}

// generateLoad submits batch jobs until stop is closed, so that tasks run and start in
// proportion to the target.
func generateLoad(t *testing.T, c *Cluster, workers int, stop <-chan struct{}) {
	running := targetRunning * workers / targetWorkers
	starts := max(targetStarts*workers/targetWorkers, 1)
	const tasksPerJob = 10
	// Short tasks take 900 ms and cause the starts; long tasks run for the whole
	// measurement.
	submit := func(tag string, tasks, millis int) {
		body := api.Submission{
			Queue: "season", Tasks: tasks, Idempotent: true, IdempotencyKey: tag,
			Resources: model.Resources{MilliCores: 100, MemoryMB: 64, Slots: 1},
			RunTime:   api.Duration(time.Duration(millis) * time.Millisecond),
			Payload:   taskScript(tag, millis),
		}
		// The length of the tag selects the host. The callers pad the tag with up to seven
		// "x", so that the jobs are spread over the hosts.
		h := c.Hosts[len(tag)%len(c.Hosts)]
		if err := c.submitJob(t.Context(), h, KeyID(TeamSeason, 0), body); err != nil {
			t.Logf("submit %s: %v", tag, err)
		}
	}
	for i := 0; i < running-starts; i += 100 {
		submit(fmt.Sprintf("long-%d%s", i, strings.Repeat("x", i/100%8)), min(100, running-starts-i), 3_600_000)
	}
	go func() {
		ticker := time.NewTicker(time.Second * tasksPerJob / time.Duration(max(starts, tasksPerJob)))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				go submit(fmt.Sprintf("short-%d%s", n, strings.Repeat("x", n%8)), min(tasksPerJob, starts), 900)
			}
		}
	}()
}

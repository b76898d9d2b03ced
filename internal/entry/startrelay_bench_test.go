package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cuminloft/internal/entry"
	"cuminloft/internal/linkmeter"
	"cuminloft/internal/workload"
	"cuminloft/platform"
	"cuminloft/platform/platformtest"
)

// benchServersVariable makes TestBenchServers serve the workers and the relay hosts of
// BenchmarkStarts, so that their processor time is not the coordinator's.
const benchServersVariable = "CUMINLOFT_BENCH_SERVERS"

// benchServers are the addresses of the servers.
type benchServers struct {
	Workers []workload.Worker
	Hosts   []string
}

const (
	benchWorkers = 40
	benchHosts   = 8
	// benchPass is the number of starts of one scheduling pass, which are sent at once.
	benchPass = 40
)

// TestBenchServers serves until its standard input ends.
func TestBenchServers(t *testing.T) {
	if os.Getenv(benchServersVariable) == "" {
		t.Skip("serves BenchmarkStarts only")
	}
	site, err := platformtest.Start(platformtest.Options{Workers: benchWorkers, AZs: []string{"a"}, Cores: 1 << 20, TaskSize: 1})
	if err != nil {
		t.Fatal(err)
	}
	var servers benchServers
	for change := range siteWorkers(t, site) {
		servers.Workers = append(servers.Workers, change)
	}
	for range benchHosts {
		servers.Hosts = append(servers.Hosts, strings.TrimPrefix(httptest.NewServer(entry.NewBenchHost(platform.NewWorkers(0, linkmeter.New()))).URL, "http://"))
	}
	if err := json.NewEncoder(os.Stdout).Encode(servers); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// siteWorkers yields the registered workers of a site.
func siteWorkers(t *testing.T, site *platformtest.Site) func(func(workload.Worker) bool) {
	return func(yield func(workload.Worker) bool) {
		feed := platform.WorkerFeed(platform.NewStore(site.StoreAddress, nil), nil)
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			rows, _, err := feed.List(t.Context())
			if err != nil || len(rows) < benchWorkers {
				continue
			}
			for _, row := range rows {
				if !yield(*row.Worker) {
					return
				}
			}
			return
		}
		t.Fatal("workers are not registered")
	}
}

// startBenchServers runs TestBenchServers in another process.
func startBenchServers(b *testing.B) benchServers {
	cmd := exec.Command(os.Args[0], "-test.run=^TestBenchServers$")
	cmd.Env = append(os.Environ(), benchServersVariable+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close() // the process ends
		_ = cmd.Wait()
	})
	var servers benchServers
	if err := json.NewDecoder(out).Decode(&servers); err != nil {
		b.Fatal(err)
	}
	return servers
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkStarts reports the coordinator's processor time per start order, direct and
// relayed, for jobs with few and with many starts in a scheduling pass.
func BenchmarkStarts(b *testing.B) {
	servers := startBenchServers(b)
	serial := 0
	for _, mode := range []struct {
		name  string
		limit float64
	}{{"direct", 0}, {"relayed", 1e-9}} {
		for _, tasks := range []int{1, 3, 20} {
			b.Run(fmt.Sprintf("%s/tasks=%d", mode.name, tasks), func(b *testing.B) {
				commander := entry.NewBenchRelay(platform.NewWorkers(0, linkmeter.New()), servers.Hosts, mode.limit)
				pass := func() {
					var wg sync.WaitGroup
					for i := range benchPass {
						job := fmt.Sprintf("%016x", serial+i/tasks)
						o := workload.StartOrder{Run: workload.Run{Task: workload.TaskID{StepID: workload.StepID{Job: job}, Index: i % tasks}, Number: 1},
							Spec: strings.Repeat("0", 1000) + "1ms", LeaseUntil: 1 << 40, Fence: 1}
						w := &servers.Workers[(serial+i)%len(servers.Workers)]
						wg.Go(func() {
							if _, err := commander.Start(b.Context(), w, o); err != nil {
								b.Error(err)
							}
						})
					}
					wg.Wait()
					serial += benchPass
				}
				for range 20 {
					pass() // opens the connections
				}
				before := processorTime()
				for b.Loop() {
					pass()
				}
				spent := processorTime() - before
				b.ReportMetric(float64(spent.Microseconds())/float64(b.N*benchPass), "cpu-µs/start")
			})
		}
	}
}

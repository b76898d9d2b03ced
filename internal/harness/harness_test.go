package harness

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

var (
	schedules = flag.Int("schedules", 3, "seeded schedules of faults to run against real processes; 0: none")
	firstSeed = flag.Uint64("first-seed", 22, "seed of the first schedule")
	parallel  = flag.Int("clusters", 3, "schedules that run at once")
	prebuilt  = flag.String("binary", "", "cuminloft binary to run instead of a fresh build")
	keepDir   = flag.String("keep", "", "directory for the logs of runs with violations")
)

// buildDir is the directory of the binary that the tests built; empty if they built
// none.
var buildDir string

// TestMain removes the binary that the tests built.
func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// binary returns the path of the real binary, built once for all tests.
var binary = sync.OnceValues(func() (string, error) {
	if *prebuilt != "" {
		return *prebuilt, nil
	}
	dir, err := os.MkdirTemp("", "cuminloft-harness")
	if err != nil {
		return "", err
	}
	buildDir = dir
	path := filepath.Join(dir, "cuminloft")
	out, err := exec.Command("go", "build", "-o", path, "cuminloft/cmd/cuminloft").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// workDir returns a directory for the settings and logs of one run.
func workDir(t *testing.T, name string) string {
	if *keepDir == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*keepDir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestSchedules runs seeded schedules of faults, each on a new cell of separate
// processes. With the default seeds the faults include lost, late and missing answers
// of workers and of the table, a worker's restart, and hosts and an AZ that are cut
// off.
func TestSchedules(t *testing.T) {
	if *schedules == 0 {
		t.Skip("-schedules is 0")
	}
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	blocks := make(chan int, *parallel)
	for i := range *parallel {
		blocks <- 100 + i
	}
	var wg sync.WaitGroup
	for i := range *schedules {
		block := <-blocks
		seed := *firstSeed + uint64(i)
		wg.Go(func() {
			defer func() { blocks <- block }()
			runSeed(t, path, block, seed)
		})
	}
	wg.Wait()
}

// runSeed runs one schedule and reports its violations.
func runSeed(t *testing.T, path string, block int, seed uint64) {
	report, err := RunSchedule(context.Background(), workDir(t, fmt.Sprintf("seed-%d", seed)), path, block, seed)
	if err != nil {
		t.Errorf("seed %d: %v; steps %v", seed, err, report.Steps)
		return
	}
	t.Logf("seed %d: %d operations %v, %d jobs, %d starts, %d violations; %v",
		seed, report.Operations, report.Outcomes, report.Jobs, report.Starts, len(report.Violations), report.Steps)
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s", seed, v)
	}
}

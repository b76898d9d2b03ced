package dispatch

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// batchCell returns a cell of 350 workers on which the tasks of 75 jobs run, with a few that
// have ended or failed.
func batchCell(b *testing.B) *testCell {
	b.Helper()
	c := &testCell{core: New(), now: time.UnixMilli(1_000_000), running: map[string]map[workload.TaskID]workload.RunStatus{}}
	c.core.SetCell(workload.NewCell(1, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 4}}, []workload.Team{{Name: "team"}}, nil))
	for i := range 350 {
		c.addWorker(fmt.Sprintf("i-%010x", i*7919), 16)
	}
	for i := range 75 {
		step := workload.Step{Tasks: 25, Estimate: time.Second, Checkpoints: i%2 == 0, Resources: model.Resources{MilliCores: 1600, MemoryMB: 1600}}
		next := step
		next.After = []int{0}
		c.addJob(fmt.Sprintf("%016x", i), step, next)
	}
	for i, st := range c.startTasks(nil) {
		switch {
		case i%10 == 0:
			c.reportEnd(int64(i+1), st, workload.RunDone, "")
		case i%20 == 1:
			c.now = c.now.Add(100 * time.Millisecond)
			c.reportEnd(int64(i+1), st, workload.RunFailed, "00000bb87a21d94b")
		}
	}
	c.startTasks(nil)
	return c
}

// Load pattern: a burst, or a slow store, in which each commit stores the progress of many
// jobs.
func BenchmarkTakeBatch(b *testing.B) {
	c := batchCell(b)
	bytes := 0
	b.ReportAllocs()
	began := cpuTime(b)
	for b.Loop() {
		for _, j := range c.core.jobs {
			c.core.markDirty(j)
		}
		bytes = 0
		for _, p := range c.core.TakeBatch(2000, 1<<20).Progress {
			bytes += len(p.Data)
		}
	}
	b.ReportMetric(float64(bytes), "bytes/batch")
	b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the processor time of the process, which unlike the time does not depend on
// what else the machine does.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

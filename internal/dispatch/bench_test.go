package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// backlogCell returns a cell of full workers with waiting jobs, as after a burst.
func backlogCell(b *testing.B, workers, jobs int) *testCell {
	b.Helper()
	queues := []workload.Queue{
		{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 3, Allowance: time.Second, Priority: 1,
			Advice: &workload.AdviceCost{PerCall: 80 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}},
	}
	c := &testCell{core: New(), now: time.UnixMilli(1_000_000), running: map[string]map[workload.TaskID]workload.RunStatus{}}
	c.core.SetCell(workload.NewCell(1, queues, []workload.Team{{Name: "team"}}, nil))
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%d", i), 64)
	}
	for i := range jobs {
		c.addJob(fmt.Sprintf("j%d", i), workload.Step{
			Tasks: 10, Estimate: time.Second, Gang: i%5 == 0,
			Resources: model.Resources{MilliCores: 3600 + int64(i%7)*1000, MemoryMB: 1000},
		})
	}
	for range 2 * jobs {
		c.core.Schedule(c.now)
		call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
		if !ok {
			break
		}
		var tickets []workload.Ticket
		for i, w := range call.Workers {
			if i%3 == 0 {
				tickets = append(tickets, workload.Ticket{Worker: w, Token: "t"})
			}
		}
		c.core.HandleAdvice(call, tickets, nil, c.now)
	}
	c.startTasks(nil)
	return c
}

// Load pattern: the second after a burst, with a backlog that does not fit.
func BenchmarkScheduleBacklog(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{48, 600}, {350, 500}, {930, 2000}} {
		for _, amounts := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/jobs=%d/amounts=%v", size.workers, size.jobs, amounts), func(b *testing.B) {
				c := backlogCell(b, size.workers, size.jobs)
				c.core.SetPolicy(Policy{ReserveAmounts: amounts, RenewFirst: amounts})
				began := cpuTime(b)
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					now := c.now.Add(time.Duration(i%50) * 20 * time.Millisecond) // the tickets stay valid
					c.core.Schedule(now)
					c.core.NewAdvicePass(now).Next(AdviceCapacity{MaxDuration: time.Nanosecond}) // examines all steps, makes no call
					c.core.NewAdvicePass(now).Next(AdviceCapacity{MaxDuration: time.Second})
				}
				b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// Load pattern: the time after a burst. Hundreds of steps wait in a full cell, and most of those
// that are examined need no call for advice.
func BenchmarkChooseCallWorkers(b *testing.B) {
	c := backlogCell(b, 350, 600)
	c.core.Schedule(c.now)
	queue := &workload.Queue{Name: "batch", Pool: "pool", Advice: &workload.AdviceCost{PerCall: 7 * time.Millisecond, PerWorker: 100 * time.Microsecond}}
	b.ReportAllocs()
	began := cpuTime(b)
	for b.Loop() {
		for _, r := range c.core.ready {
			c.core.chooseCallWorkers(r, queue, AdviceCapacity{MaxDuration: time.Second}, c.now)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N*len(c.core.ready)), "cpu-ns/step")
	b.ReportMetric(float64(len(c.core.ready)), "steps")
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// overloadedCell returns a full cell of 350 workers with 60 waiting steps that can be on time
// and a backlog of the given number of steps that are late, over their team's rate or expired,
// as after seconds of overload. 17 of 20 steps of the backlog have short calls for advice.
func overloadedCell(b *testing.B, backlog int) *testCell {
	b.Helper()
	queues := []workload.Queue{
		{Name: "fill", Pool: "pool", Priority: 3, MaxAttempts: 2, Slack: 3, Allowance: time.Second},
		{Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 3, Slack: 2.2, Allowance: time.Second, Advice: adviceCost(455, 6.5)},
		{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 3, Slack: 4, Allowance: 3 * time.Second, Advice: adviceCost(169, 2.34)},
		{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 3, Slack: 1.5, Allowance: 250 * time.Millisecond, Advice: adviceCost(14.3, 0.208)},
	}
	c := &testCell{core: New(), now: time.UnixMilli(1_000_000), running: map[string]map[workload.TaskID]workload.RunStatus{}}
	c.core.SetCell(workload.NewCell(1, queues, []workload.Team{{Name: "team"}, {Name: "over", Weight: 0.001}}, nil))
	for i := range 350 {
		c.addWorker(fmt.Sprintf("i-%010x", i*7919), 16)
	}
	add := func(id, queue, team string, age time.Duration, step workload.Step) {
		c.core.AddJob(&workload.Job{ID: id, Queue: queue, Team: team, Steps: []workload.Step{step}, AcceptedAt: c.now.Add(-age).UnixMilli()}, c.now)
	}
	size := func(milliCores int64) model.Resources { return model.Resources{MilliCores: milliCores, MemoryMB: 500} }
	for i := range 135 {
		add(fmt.Sprintf("f%05d", i), "fill", "team", 0, workload.Step{Tasks: 25, Estimate: 3 * time.Second, Resources: size(1600)})
	}
	c.startTasks(nil)
	for i := range 60 {
		switch i % 3 {
		case 0:
			add(fmt.Sprintf("a%05d", i), "gang", "team", 0, workload.Step{Tasks: 20, Gang: true, Estimate: 4 * time.Second, Resources: size(4500)})
		case 1:
			add(fmt.Sprintf("a%05d", i), "batch", "team", 0, workload.Step{Tasks: 25, Estimate: 3400 * time.Millisecond, Resources: size(2700)})
		default:
			add(fmt.Sprintf("a%05d", i), "urgent", "team", 0, workload.Step{Tasks: 3, Estimate: time.Second, Resources: size(2500)})
		}
	}
	for i := range backlog {
		step, queue, team, age := workload.Step{Tasks: 3, Gang: i%3 == 0, Estimate: time.Second, Resources: size(2500)}, "urgent", "team", 20*time.Second
		if i%20 >= 17 {
			step, queue, age = workload.Step{Tasks: 25, Estimate: 3400 * time.Millisecond, Resources: size(2700)}, "batch", time.Minute
		}
		switch {
		case i%10 == 0 && i < 400: // the backlog of a few seconds
			age = 3 * time.Second // late in its queue of short calls
		case i%10 == 1, i%10 == 2:
			team = "over"
		}
		add(fmt.Sprintf("b%05d", i), queue, team, age, step)
	}
	for range 8 { // as many calls as hosts make while a ticket is valid
		c.core.Schedule(c.now)
		c.advise(40)
		c.startTasks(nil)
	}
	return c
}

// advise makes up to n calls for advice, each of which allows half of the named workers.
func (c *testCell) advise(n int) {
	pass := c.core.NewAdvicePass(c.now)
	for range n {
		call, ok := pass.Next(AdviceCapacity{MaxDuration: time.Minute, FewIdle: true})
		if !ok {
			return
		}
		var tickets []workload.Ticket
		for i, w := range call.Workers {
			if i%2 == 0 {
				tickets = append(tickets, workload.Ticket{Worker: w, Token: "t"})
			}
		}
		c.core.HandleAdvice(call, tickets, nil, c.now)
	}
}

// Load pattern: seconds of overload leave a backlog past its useful time in a full cell. A pass
// must not take longer for it. One operation is a second with 50 scheduling passes and 50 advice
// passes of up to 4 calls.
func BenchmarkBacklogPastUse(b *testing.B) {
	const passes = 50
	for _, backlog := range []int{400, 2000} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) {
			var schedule, advice time.Duration
			steps := 0
			for b.Loop() {
				b.StopTimer()
				c := overloadedCell(b, backlog)
				b.StartTimer()
				for range passes {
					c.now = c.now.Add(time.Second / passes)
					began := cpuTime(b)
					c.core.Schedule(c.now)
					scheduled := cpuTime(b)
					c.advise(4)
					schedule, advice = schedule+scheduled-began, advice+cpuTime(b)-scheduled
					steps += len(c.core.ready)
					c.core.TakeEvents()
				}
			}
			b.ReportMetric(float64(schedule.Microseconds())/float64(b.N*passes), "cpu-us/schedule")
			b.ReportMetric(float64(advice.Microseconds())/float64(b.N*passes), "cpu-us/advice")
			b.ReportMetric(float64(steps)/float64(b.N*passes), "steps/pass")
		})
	}
}

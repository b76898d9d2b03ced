package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Guards against starts that the worker refuses: a ticket that will have expired when the
// record of the start is stored is not used.
func TestExpiringTicketIsNotUsed(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(2)})
	is.Equal(len(c.startTasks(nil)), 0)
	call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	c.core.HandleAdvice(call, []workload.Ticket{{Worker: "w", Token: "t"}}, nil, c.now)
	c.core.SetStartDelay(time.Second)
	c.now = c.now.Add(time.Second)
	is.Equal(len(c.startTasks(nil)), 0) // it is valid for 0.7 s, the start takes 1 s
	call, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok) // the service is asked again
	c.core.HandleAdvice(call, []workload.Ticket{{Worker: "w", Token: "u"}}, nil, c.now)
	is.Equal(len(c.startTasks(nil)), 1)
}

// A service task that ended is restarted where capacity is free, even long after its
// job's objective and while the cell reserves headroom for other work.
func TestServiceRestartsOnALoadedCell(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Service: true})
	first := c.startTasks(nil)
	is.Equal(len(first), 1)
	c.addJob("k", workload.Step{Tasks: 6, Resources: cores(1), Estimate: time.Hour})
	is.Equal(len(c.startTasks(nil)), 6)
	c.now = c.now.Add(time.Minute)
	c.reportEnd(1, first[0], workload.RunFailed, "")
	is.Equal(len(c.startTasks(nil)), 1)
}

// Load pattern: an AZ becomes unreachable. Few jobs should have a task there, for single
// tasks and for gangs.
func TestJobsKeepToOneAZ(t *testing.T) {
	for name, gang := range map[string]bool{"single": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second}},
				[]workload.Team{{Name: "team", Weight: 100}}, nil))
			azOf := map[string]string{}
			for i := range 30 {
				id, az := fmt.Sprint("w", i), fmt.Sprint("az", i%3)
				azOf[id] = az
				c.addWorker(id, 32)
				c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{
					ID: id, Incarnation: testIncarnation, Address: id + ":1", AZ: az, Pool: "pool", Capacity: model.Resources{MilliCores: 32_000, MemoryMB: 64_000}}})
			}
			azsOf := map[string]map[string]bool{}
			const jobs = 40
			for i := range jobs {
				c.addJob(fmt.Sprint("job-", i), workload.Step{Tasks: 3, Resources: cores(4), Gang: gang})
				for _, st := range c.startTasks(nil) {
					id := st.Order.Run.Task.Job
					if azsOf[id] == nil {
						azsOf[id] = map[string]bool{}
					}
					azsOf[id][azOf[st.Worker.ID]] = true
				}
			}
			is.Equal(len(azsOf), jobs)
			split := 0
			for _, azs := range azsOf {
				if len(azs) > 1 {
					split++
				}
			}
			is.True(split <= jobs/10)
		})
	}
}

// Load pattern: many steps wait for few hosts that make calls for advice. An answer must
// be used for scheduling before the next call for the same step.
func TestAnswerIsUsedBeforeTheNextCall(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	for i := range 3 * minCallWorkers {
		c.addWorker(fmt.Sprint("w", i), 4)
	}
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(2)})
	is.Equal(len(c.startTasks(nil)), 0)
	call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	is.True(len(call.Workers) < 3*minCallWorkers)
	c.now = c.now.Add(time.Second)
	c.core.HandleAdvice(call, []workload.Ticket{{Worker: call.Workers[0], Token: "t"}}, nil, c.now)
	_, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(!ok)
	is.Equal(len(c.startTasks(nil)), 2)
	_, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(!ok)
}

// Load pattern: more gangs than hosts that make calls for advice. A gang's first call
// names workers with free capacity if these are expected to suffice. In a full cell it
// names as many workers as possible, or fewer while few hosts are idle.
func TestFirstCallForAGang(t *testing.T) {
	for name, test := range map[string]struct {
		full       int // workers without free capacity
		capacity   AdviceCapacity
		maxWorkers int
		onlyFree   bool // only workers with free capacity are named
	}{
		"free capacity":                    {60, AdviceCapacity{MaxDuration: time.Second}, 30, true},
		"no free capacity":                 {100, AdviceCapacity{MaxDuration: time.Second}, maxCallWorkers, false},
		"no free capacity, few idle hosts": {100, AdviceCapacity{MaxDuration: time.Second, FewIdle: true}, 60, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			configure := func(version int64, advice *workload.AdviceCost) {
				c.core.SetCell(workload.NewCell(version, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2,
					Allowance: time.Second, Advice: advice}}, []workload.Team{{Name: "team", Weight: 100}}, nil))
			}
			configure(2, nil)
			for i := range 100 {
				c.addWorker(fmt.Sprintf("w%02d", i), 8)
			}
			c.addJob("first", workload.Step{Tasks: test.full, Resources: cores(8), MaxPerWorker: 1, Estimate: time.Hour})
			busy := map[string]bool{}
			for _, st := range c.startTasks(nil) {
				busy[st.Worker.ID] = true
			}
			is.Equal(len(busy), test.full)
			configure(3, &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second})
			c.addJob("gang", workload.Step{Tasks: 5, Resources: cores(4), Gang: true, Estimate: time.Second})
			is.Equal(len(c.startTasks(nil)), 0)
			call, ok := c.core.NewAdvicePass(c.now).Next(test.capacity)
			is.True(ok)
			is.True(len(call.Workers) > 0 && len(call.Workers) <= test.maxWorkers)
			for _, id := range call.Workers {
				is.True(!test.onlyFree || !busy[id])
			}
		})
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// A ticket that will have expired when the record of a start is stored is not
// used: the worker would refuse the start.
func TestTicketOutlivesTheCommit(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(2)})
	is.Equal(len(c.store(nil)), 0)
	ask, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	c.core.HandleAdvice(ask, []workload.Ticket{{Worker: "w", Token: "t"}}, nil, c.now)
	c.core.SetStartDelay(time.Second)
	c.now = c.now.Add(time.Second)
	is.Equal(len(c.store(nil)), 0) // it holds for 0.7 s, the start takes 1 s
	ask, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok) // so the service is asked again
	c.core.HandleAdvice(ask, []workload.Ticket{{Worker: "w", Token: "u"}}, nil, c.now)
	is.Equal(len(c.store(nil)), 1)
}

// A service task that ended is started again where there is room, also long after
// its job's objective and while the cell keeps room for better work.
func TestServiceRestartsOnALoadedCell(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1), Service: true})
	first := c.store(nil)
	is.Equal(len(first), 1)
	c.job("k", workload.Step{Tasks: 6, Resources: cores(1), Estimate: time.Hour})
	is.Equal(len(c.store(nil)), 6)
	c.now = c.now.Add(time.Minute)
	c.end(1, first[0], workload.RunFailed, "")
	is.Equal(len(c.store(nil)), 1)
}

// Load pattern: an AZ that is cut off. Few jobs must have a task there, whether
// their tasks run singly or as gangs.
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
				c.worker(id, 32)
				c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{
					ID: id, Incarnation: testBorn, Address: id + ":1", AZ: az, Pool: "pool", Capacity: model.Resources{MilliCores: 32_000, MemoryMB: 64_000}}})
			}
			touched := map[string]map[string]bool{}
			const jobs = 40
			for i := range jobs {
				c.job(fmt.Sprint("job-", i), workload.Step{Tasks: 3, Resources: cores(4), Gang: gang})
				for _, st := range c.store(nil) {
					id := st.Order.Run.Task.Job
					if touched[id] == nil {
						touched[id] = map[string]bool{}
					}
					touched[id][azOf[st.Worker.ID]] = true
				}
			}
			is.Equal(len(touched), jobs)
			split := 0
			for _, azs := range touched {
				if len(azs) > 1 {
					split++
				}
			}
			is.True(split <= jobs/10)
		})
	}
}

// Load pattern: many steps that wait for few hosts that ask for advice. What was
// answered is looked at before the service is asked about the step again.
func TestAnswerIsUsedBeforeTheNextCall(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	for i := range 3 * askLeast {
		c.worker(fmt.Sprint("w", i), 4)
	}
	c.job("j", workload.Step{Tasks: 2, Resources: cores(2)})
	is.Equal(len(c.store(nil)), 0)
	ask, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	is.True(len(ask.Workers) < 3*askLeast)
	c.now = c.now.Add(time.Second)
	c.core.HandleAdvice(ask, []workload.Ticket{{Worker: ask.Workers[0], Token: "t"}}, nil, c.now)
	_, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(!ok)
	is.Equal(len(c.store(nil)), 2)
	_, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(!ok)
}

// Load pattern: more gangs than hosts that ask for advice. A gang's first call
// names the workers that have room, if these are likely to be enough; on a full
// cell it names as many as it may, fewer if such hosts are scarce.
func TestFirstCallForAGang(t *testing.T) {
	for name, test := range map[string]struct {
		full   int // workers without room
		hosts  AdviceCapacity
		most   int
		roomed bool // only workers with room are named
	}{
		"room":                {60, AdviceCapacity{MaxDuration: time.Second}, 30, true},
		"no room":             {100, AdviceCapacity{MaxDuration: time.Second}, askMost, false},
		"no room, few askers": {100, AdviceCapacity{MaxDuration: time.Second, FewIdle: true}, 60, false},
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
				c.worker(fmt.Sprintf("w%02d", i), 8)
			}
			c.job("first", workload.Step{Tasks: test.full, Resources: cores(8), MaxPerWorker: 1, Estimate: time.Hour})
			busy := map[string]bool{}
			for _, st := range c.store(nil) {
				busy[st.Worker.ID] = true
			}
			is.Equal(len(busy), test.full)
			configure(3, &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second})
			c.job("gang", workload.Step{Tasks: 5, Resources: cores(4), Gang: true, Estimate: time.Second})
			is.Equal(len(c.store(nil)), 0)
			ask, ok := c.core.NewAdvicePass(c.now).Next(test.hosts)
			is.True(ok)
			is.True(len(ask.Workers) > 0 && len(ask.Workers) <= test.most)
			for _, id := range ask.Workers {
				is.True(!test.roomed || !busy[id])
			}
		})
	}
}

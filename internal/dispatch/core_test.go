package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// cell drives a core through its interface, as a coordinator would.
type cell struct {
	*testing.T
	core    *Core
	now     time.Time
	running map[string]map[workload.TaskID]workload.RunStatus // by worker
}

const testBorn = 1000

func newCell(t *testing.T, queues ...workload.Queue) *cell {
	c := &cell{T: t, core: New(), now: time.UnixMilli(1_000_000), running: map[string]map[workload.TaskID]workload.RunStatus{}}
	if len(queues) == 0 {
		queues = []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second}}
	}
	teams := []workload.Team{{Name: "team", Weight: 100, Limit: model.Resources{MilliCores: 20_000}}}
	c.core.SetCell(workload.NewCell(1, queues, teams, nil))
	return c
}

func (c *cell) worker(id string, cores int64) {
	c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{
		ID: id, Incarnation: testBorn, Address: id + ":1", AZ: "a", Pool: "pool",
		Capacity: model.Resources{MilliCores: cores * 1000, MemoryMB: 64_000},
	}})
	c.report(id, workload.Inventory{})
}

// report sends an inventory of what runs, with the ends in inv.
func (c *cell) report(id string, inv workload.Inventory) {
	if inv.Incarnation == 0 {
		inv.Incarnation = testBorn
	}
	for _, e := range inv.Ended {
		delete(c.running[id], e.Run.Task)
	}
	if inv.Running == nil {
		for _, r := range c.running[id] {
			inv.Running = append(inv.Running, r)
		}
	}
	c.core.HandleInventory(id, inv, c.now, c.now)
}

func (c *cell) job(id string, steps ...workload.Step) {
	c.core.AddJob(&workload.Job{ID: id, Queue: "batch", Team: "team", Steps: steps, AcceptedAt: c.now.UnixMilli()}, c.now)
}

// store schedules, stores and answers all starts with err; it returns them.
func (c *cell) store(err error) []Start {
	c.core.Schedule(c.now)
	var out []Start
	for {
		b := c.core.TakeBatch(100, 1<<20)
		if b == nil {
			break
		}
		starts := c.core.HandleStored(b)
		out = append(out, starts...)
		for _, st := range starts {
			c.core.HandleStartResult(st, err, c.now)
			if err == nil {
				if c.running[st.Worker.ID] == nil {
					c.running[st.Worker.ID] = map[workload.TaskID]workload.RunStatus{}
				}
				c.running[st.Worker.ID][st.Order.Run.Task] = workload.RunStatus{Run: st.Order.Run}
			}
		}
	}
	c.now = c.now.Add(10 * time.Millisecond)
	return out
}

// end reports the end of a start on its worker; seq numbers it there.
func (c *cell) end(seq int64, st Start, how workload.Outcome, saved string) {
	c.report(st.Worker.ID, workload.Inventory{Ended: []workload.RunEnd{{
		Seq: seq, Run: st.Order.Run, Outcome: how, Checkpoint: saved,
	}}})
}

// state returns the shown state of job "j".
func (c *cell) state() workload.State {
	s, _ := c.core.JobState("j")
	return s
}

func cores(n int64) model.Resources { return model.Resources{MilliCores: n * 1000, MemoryMB: 100} }

func TestJobRunsStepAfterStep(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 2, Resources: cores(2)}, workload.Step{Tasks: 1, Resources: cores(1), After: []int{0}})
	is.Equal(c.state(), workload.Queued)
	first := c.store(nil)
	is.Equal(len(first), 2) // the second step waits
	is.Equal(c.state(), workload.Running)
	c.end(1, first[0], workload.RunDone, "")
	is.Equal(len(c.store(nil)), 0)
	c.end(2, first[1], workload.RunDone, "")
	second := c.store(nil)
	is.Equal(len(second), 1)
	c.end(3, second[0], workload.RunDone, "")
	is.Equal(c.state(), workload.Running) // not stored yet
	c.store(nil)
	is.Equal(c.state(), workload.Completed)
	is.Equal(c.core.teamUsage("team"), model.Resources{})
}

func TestEndIsAcknowledgedOnlyWhenStored(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1)})
	st := c.store(nil)
	c.end(7, st[0], workload.RunDone, "")
	l, _ := c.core.ViewWorker("w")
	is.Equal(l.Acked, int64(0))
	c.store(nil)
	l, _ = c.core.ViewWorker("w")
	is.Equal(l.Acked, int64(7))
}

// What may be running counts: nothing starts in the place of a run that is being
// stopped, whose start was not answered, or whose worker is out of reach.
func TestNothingStartsInThePlaceOfWhatMayRun(t *testing.T) {
	for name, disturb := range map[string]func(c *cell, st Start){
		"stopping":     func(c *cell, _ Start) { c.core.Cancel("j", c.now) },
		"unanswered":   func(c *cell, st Start) { c.core.HandleStartResult(st, workload.ErrNoAnswer, c.now) },
		"out of reach": func(c *cell, _ Start) { c.core.HandleLostContact("w") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.worker("w", 4)
			c.job("j", workload.Step{Tasks: 1, Resources: cores(3)})
			st := c.store(nil)
			is.Equal(len(st), 1)
			disturb(c, st[0])
			c.job("k", workload.Step{Tasks: 1, Resources: cores(3)})
			c.core.Tick(c.now)
			is.Equal(len(c.store(nil)), 0)
		})
	}
}

func TestTeamLimitHolds(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for i := range 4 {
		c.worker(fmt.Sprint("w", i), 16)
	}
	c.job("j", workload.Step{Tasks: 30, Resources: cores(1)})
	is.Equal(len(c.store(nil)), 20) // the team's limit is 20 cores
}

func TestFailedAttemptsEndTheJob(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.worker("v", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1)})
	st := c.store(nil)
	c.end(1, st[0], workload.RunFailed, "saved")
	st = c.store(nil)
	is.Equal(st[0].Order.Run.Number, 2)
	is.Equal(st[0].Order.Checkpoint, "saved")
	c.end(2, st[0], workload.RunFailed, "")
	is.Equal(len(c.store(nil)), 0)
	is.Equal(c.state(), workload.Failed)
}

func TestGangRunsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 4)
	gang := workload.Step{Tasks: 3, Resources: cores(2), Gang: true}
	c.job("j", gang)
	is.Equal(len(c.store(nil)), 0)
	c.worker("v", 4)
	st := c.store(nil)
	is.Equal(len(st), 3)
	// One member fails: the others are stopped, and the gang starts again only
	// when all are gone, with one failure counted.
	c.end(1, st[0], workload.RunFailed, "")
	c.core.Tick(c.now)
	is.Equal(len(c.core.TakeStopOrders()), 2)
	is.Equal(len(c.store(nil)), 0)
	c.end(2, st[1], workload.RunGangBroken, "x")
	c.end(3, st[2], workload.RunFailed, "")
	again := c.store(nil)
	is.Equal(len(again), 3)
	for _, s := range again {
		is.Equal(s.Order.Run.Number, 2)
		is.Equal(s.Order.Checkpoint, "x")
	}
	c.end(4, again[0], workload.RunDone, "")
	c.store(nil)
	is.Equal(c.state(), workload.Completed)
}

// A successor knows from the stored rows what may run where; it starts nothing
// of it anew before its worker has told or cannot hold a lease any more.
func TestSuccessorWaitsForWorkers(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	spec := &workload.Job{ID: "j", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(),
		Steps: []workload.Step{{Tasks: 2, Resources: cores(1)}}}
	c.core.AddJob(spec, c.now)
	c.core.Schedule(c.now)
	row := c.core.TakeBatch(10, 1<<20).Progress[0]

	restored := func(t *testing.T) *cell {
		next := newCell(t)
		if err := next.core.Restore(spec, row.Data, false, next.now); err != nil {
			t.Fatal(err)
		}
		next.core.SetLeaseBound(next.now.Add(10 * time.Second))
		next.worker("v", 8)
		if n := len(next.store(nil)); n != 0 {
			t.Fatalf("%d tasks started that may be running", n)
		}
		return next
	}
	t.Run("told", func(t *testing.T) {
		is, next := is.New(t), restored(t)
		task := workload.TaskID{StepID: workload.StepID{Job: "j"}, Index: 1}
		next.running["w"] = map[workload.TaskID]workload.RunStatus{task: {Run: workload.Run{Task: task, Number: 1}}}
		next.worker("w", 8)
		st := next.store(nil)
		is.Equal(len(st), 1) // task 0 never arrived; task 1 runs
		is.Equal(st[0].Order.Run, workload.Run{Task: workload.TaskID{StepID: task.StepID}, Number: 2})
	})
	t.Run("lease over", func(t *testing.T) {
		is, next := is.New(t), restored(t)
		next.now = next.now.Add(11 * time.Second)
		next.core.Tick(next.now)
		is.Equal(len(next.store(nil)), 2)
	})
}

func TestWorkerThatFailsEverythingGetsNothing(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("bad", 8)
	for i := range 3 {
		c.job(fmt.Sprint("j", i), workload.Step{Tasks: 1, Resources: cores(1)})
	}
	for i, st := range c.store(nil) {
		c.end(int64(i+1), st, workload.RunFailed, "")
	}
	c.worker("good", 8)
	for _, st := range c.store(nil) {
		is.Equal(st.Worker.ID, "good")
	}
}

func TestStalledRunIsMoved(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
	st := c.store(nil)
	c.running["w"][st[0].Order.Run.Task] = workload.RunStatus{Run: st[0].Order.Run, Percent: 40, Checkpoint: "p40"}
	c.report("w", workload.Inventory{})
	c.now = c.now.Add(stallLeast + time.Millisecond)
	c.report("w", workload.Inventory{})
	c.core.Tick(c.now) // decides
	c.core.Tick(c.now) // sends
	is.Equal(len(c.core.TakeStopOrders()), 1)
	c.worker("v", 8)
	c.end(1, st[0], workload.RunStopped, "")
	st = c.store(nil)
	is.Equal(st[0].Worker.ID, "v")
	is.Equal(st[0].Order.Checkpoint, "p40")
}

func TestRefusedStarts(t *testing.T) {
	for name, test := range map[string]struct {
		err    error
		placed int // at once, by the next schedule
	}{
		"no room":   {workload.ErrInsufficientCapacity, 0},
		"unhealthy": {workload.ErrUnhealthy, 0},
		"too old":   {workload.ErrRunTooOld, 1},
		"no answer": {workload.ErrNoAnswer, 0},
		"replaced":  {workload.ErrReplaced, 0},
		"lease":     {workload.ErrLeaseInPast, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.worker("w", 8)
			c.job("j", workload.Step{Tasks: 1, Resources: cores(1)})
			is.Equal(len(c.store(test.err)), 1)
			st := c.store(nil)
			is.Equal(len(st), test.placed)
			if len(st) > 0 {
				is.Equal(st[0].Order.Run.Number, 2)
			}
		})
	}
}

func TestPendingCountsWhatNoWorkerHasBegun(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(c.core.Pending("batch"), 1)
	c.store(workload.ErrUnhealthy)
	is.Equal(c.core.Pending("batch"), 1) // assigned, but refused
	c.now = c.now.Add(2 * unhealthyBackoff)
	c.store(nil)
	is.Equal(c.core.Pending("batch"), 0)
}

func TestEvacuatedAndDrainingWorkersGetNothing(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.core.SetEvacuatedAZs([]string{"a"})
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(len(c.store(nil)), 0)
	c.core.SetEvacuatedAZs(nil)
	is.Equal(len(c.store(nil)), 1)
}

func TestAdviceDecidesWhereStepsRun(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.worker("w", 8)
	c.worker("v", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(len(c.store(nil)), 0)
	ask, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	is.Equal(len(ask.Workers), 2)
	_, again := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(!again) // one call at a time for a step
	c.core.HandleAdvice(ask, []workload.Ticket{{Worker: "v", Token: "t"}}, nil, c.now)
	st := c.store(nil)
	is.Equal(st[0].Worker.ID, "v")
	is.Equal(st[0].Order.Ticket, "t")
	// A lost ticket does not make a denied worker eligible.
	c.core.HandleStartResult(st[0], workload.ErrBadTicket, c.now)
	c.end(1, st[0], workload.RunStopped, "")
	c.now = c.now.Add(askPause)
	c.store(nil)
	ask, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	is.Equal(ask.Workers, []string{"v"})
	c.core.HandleAdvice(ask, nil, errors.New("no answer"), c.now)
	_, ok = c.core.NewAdvicePass(c.now.Add(askPause)).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
}

// A job of the largest size fits into a row of the store with every task placed
// and checkpointed.
func TestLargestProgressFitsIntoARow(t *testing.T) {
	const rowBytes = 65536
	is := is.New(t)
	c := newCell(t)
	c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 9}}, []workload.Team{{Name: "team"}}, nil))
	for i := range 48 {
		c.worker(fmt.Sprintf("i-%010d", i), 64)
	}
	c.job("00112233445566aa", workload.Step{Tasks: workload.MaxTasks, Resources: cores(1)})
	c.store(nil)
	j := c.core.jobs["00112233445566aa"]
	for i := range j.occ[0].steps[0].tasks {
		j.occ[0].steps[0].tasks[i].saved = "00000bb87a21d94b"
	}
	data := j.encode()
	is.True(len(data) <= rowBytes)
	var p Progress
	is.NoErr(json.Unmarshal(data, &p))
	is.Equal(p.Occ[0].Steps[0].Tasks[7].Saved, "00000bb87a21d94b")
}

// Load pattern: an AZ is cut off; its workers look empty and attract every start
// until the holds notice.
func TestSilentWorkersGetNothingMore(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for i := range 6 {
		c.worker(fmt.Sprint("w", i), 8)
	}
	c.job("i", workload.Step{Tasks: 1, Resources: cores(1)})
	c.store(nil)
	c.core.HandleUnansweredOrder("w0", c.now)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(8)})
	is.True(c.store(nil)[0].Worker.ID != "w0")
	for i := 1; i < silentWorkers; i++ {
		c.core.HandleUnansweredOrder(fmt.Sprint("w", i), c.now)
	}
	c.job("k", workload.Step{Tasks: 1, Resources: cores(8)})
	is.Equal(len(c.store(nil)), 0) // the whole AZ is suspect
	c.now = c.now.Add(silentBackoff)
	c.core.Tick(c.now)
	is.Equal(len(c.store(nil)), 1)
}

// Load pattern: workers that turn slow while they look healthy. Tasks on the
// others are the measure, since estimates are off by half or more.
func TestSlowWorkersAreAvoided(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for _, id := range []string{"slow", "v", "w"} {
		c.worker(id, 8)
	}
	c.job("j", workload.Step{Tasks: 3, Resources: cores(4), Estimate: time.Second, MaxPerWorker: 1})
	c.store(nil)
	for range 20 {
		c.now = c.now.Add(50 * time.Millisecond)
		for id, runs := range c.running {
			for task, r := range runs {
				if r.Percent += 4; id == "slow" {
					r.Percent -= 3
				}
				runs[task] = r
			}
			c.report(id, workload.Inventory{})
		}
	}
	c.job("k", workload.Step{Tasks: 2, Resources: cores(2)})
	for _, st := range c.store(nil) {
		is.True(st.Worker.ID != "slow")
	}
}

// Members of a gang that are through wait for the slowest; they do not stall.
func TestMembersThatWaitDoNotStall(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("j", workload.Step{Tasks: 2, Resources: cores(1), Estimate: time.Second, Gang: true})
	c.store(nil)
	for task, r := range c.running["w"] {
		r.Percent = 100
		c.running["w"][task] = r
	}
	c.report("w", workload.Inventory{})
	c.now = c.now.Add(2 * stallLeast)
	c.report("w", workload.Inventory{})
	c.core.Tick(c.now)
	c.core.Tick(c.now)
	is.Equal(len(c.core.TakeStopOrders()), 0)
}

// A worker restarts under its ID while a start is on its way, which then reaches
// the new life.
func TestStartThatReachesANewLife(t *testing.T) {
	const newLife = testBorn + 1
	begin := func(t *testing.T) (*cell, Start) {
		c := newCell(t)
		c.worker("w", 8)
		c.job("j", workload.Step{Tasks: 1, Resources: cores(1)})
		c.core.Schedule(c.now)
		return c, c.core.HandleStored(c.core.TakeBatch(10, 1<<20))[0]
	}
	t.Run("ended there", func(t *testing.T) {
		is := is.New(t)
		c, st := begin(t)
		c.core.HandleStartResult(st, nil, c.now)
		c.now = c.now.Add(time.Second)
		c.report("w", workload.Inventory{Incarnation: newLife, Ended: []workload.RunEnd{{Seq: 1, Run: st.Order.Run, Outcome: workload.RunDone}}})
		is.Equal(len(c.store(nil)), 0)
		is.Equal(c.state(), workload.Completed)
	})
	t.Run("still on its way", func(t *testing.T) {
		is := is.New(t)
		c, st := begin(t)
		c.now = c.now.Add(time.Second)
		c.report("w", workload.Inventory{Incarnation: newLife})
		is.Equal(len(c.store(nil)), 0)
		c.core.HandleStartResult(st, workload.ErrRunTooOld, c.now)
		is.Equal(c.store(nil)[0].Order.Run.Number, 2)
	})
	t.Run("ran in the old life", func(t *testing.T) {
		is := is.New(t)
		c, st := begin(t)
		c.core.HandleStartResult(st, nil, c.now)
		c.now = c.now.Add(time.Second)
		c.report("w", workload.Inventory{Incarnation: newLife})
		is.Equal(c.store(nil)[0].Order.Run.Number, 2)
	})
}

func TestOccurrencesOpenWhenDue(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.core.AddJob(&workload.Job{ID: "j", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(), Repeats: 2,
		FirstDue: c.now.Add(time.Second).UnixMilli(), Period: 2 * time.Second,
		Steps: []workload.Step{{Tasks: 1, Resources: cores(1)}}}, c.now)
	run := func(k int) {
		c.core.Tick(c.now)
		st := c.store(nil)
		is.Equal(len(st), 1)
		is.Equal(st[0].Order.Run.Task.Occurrence, k)
		c.end(int64(k+1), st[0], workload.RunDone, "")
	}
	c.core.Tick(c.now)
	is.Equal(len(c.store(nil)), 0) // not before its time
	c.now = c.now.Add(time.Second)
	run(0)
	c.core.Tick(c.now)
	is.Equal(len(c.store(nil)), 0)
	is.Equal(c.state(), workload.Running) // one more is to come
	c.now = c.now.Add(2 * time.Second)
	run(1)
	c.store(nil)
	is.Equal(c.state(), workload.Completed)
}

// Tasks of a service start again however they end, without limit, until the job
// is cancelled.
func TestServicesStartAgain(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.worker("v", 8)
	c.job("j", workload.Step{Tasks: 1, Resources: cores(1), Service: true})
	seq := map[string]int64{}
	for _, how := range []workload.Outcome{workload.RunFailed, workload.RunDone, workload.RunLeaseExpired, workload.RunFailed, workload.RunFailed} {
		c.now = c.now.Add(quarantinePeriod)
		st := c.store(nil)
		is.Equal(len(st), 1)
		seq[st[0].Worker.ID]++
		c.end(seq[st[0].Worker.ID], st[0], how, "")
	}
	is.Equal(c.state(), workload.Running)
	c.core.Cancel("j", c.now)
	c.now = c.now.Add(quarantinePeriod)
	is.Equal(len(c.store(nil)), 0)
	is.Equal(c.state(), workload.Cancelled)
}

// Load pattern: a gang so wide that the workers allowed by the first call would
// have to be empty to take it.
func TestWideGangsAskFurther(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 5,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.core.SetCell(workload.NewCell(2, []workload.Queue{*c.core.cell.Queue("batch")}, []workload.Team{{Name: "team"}}, nil))
	for i := range 250 {
		c.worker(fmt.Sprintf("w%03d", i), 8)
	}
	c.job("j", workload.Step{Tasks: 40, Resources: cores(7), Gang: true, Estimate: time.Minute})
	asked := map[string]bool{}
	for range 3 {
		c.store(nil)
		ask, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
		if !ok {
			break
		}
		var tickets []workload.Ticket
		for i, w := range ask.Workers {
			is.True(!asked[w]) // each is asked about once
			asked[w] = true
			if i%3 == 0 {
				tickets = append(tickets, workload.Ticket{Worker: w, Token: "t"})
			}
		}
		c.core.HandleAdvice(ask, tickets, nil, c.now)
		c.now = c.now.Add(askPause)
	}
	is.Equal(len(asked), 200) // a third of the first 100 is too few for 40 tasks
	is.Equal(len(c.running["w000"])+len(c.running["w003"]), 2)
}

// Work that is worth nothing any more runs too, when the cell has room: it keeps
// a quarter of each worker free only under load.
func TestExpiredWorkRunsInAnIdleCell(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.worker("v", 8)
	c.job("j", workload.Step{Tasks: 2, Resources: cores(7), Gang: true, Estimate: time.Second})
	c.now = c.now.Add(time.Hour)
	is.Equal(len(c.store(nil)), 2)
	c.job("k", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
	c.now = c.now.Add(time.Hour)
	is.Equal(len(c.store(nil)), 0) // 14 of 16 cores are in use
}

// A gang is done when one member's end says so. A successor that takes over while
// other members' workers are out of reach knows that, keeps their places, and does
// not start the gang again when these workers know nothing of them any more.
func TestSuccessorKnowsAFinishedGang(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for _, w := range []string{"u", "v", "w"} {
		c.worker(w, 4)
	}
	job := &workload.Job{ID: "j", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(), Steps: []workload.Step{
		{Tasks: 3, Resources: cores(4), Gang: true}, {Tasks: 1, Resources: cores(1), After: []int{0}}}}
	c.core.AddJob(job, c.now)
	starts := c.store(nil)
	is.Equal(len(starts), 3)
	done := starts[0]
	for _, st := range starts[1:] {
		c.core.HandleLostContact(st.Worker.ID)
	}
	c.report(done.Worker.ID, workload.Inventory{Ended: []workload.RunEnd{{Seq: 1, Run: done.Order.Run, Outcome: workload.RunDone}}})
	row := c.core.TakeBatch(10, 1<<20).Progress[0]

	next := newCell(t)
	next.now = c.now
	is.NoErr(next.core.Restore(job, row.Data, false, next.now))
	for _, w := range []string{"u", "v", "w"} {
		next.core.SetWorker(workload.WorkerChange{ID: w, Worker: &workload.Worker{
			ID: w, Incarnation: testBorn, Address: w + ":1", AZ: "a", Pool: "pool", Capacity: model.Resources{MilliCores: 4000, MemoryMB: 64_000}}})
	}
	next.report(done.Worker.ID, workload.Inventory{})
	second := next.store(nil)
	is.Equal(len(second), 1) // the step after the gang, on the worker in reach
	is.Equal(second[0].Order.Run.Task.Step, 1)
	is.Equal(second[0].Worker.ID, done.Worker.ID)
	is.Equal(next.core.TasksOn(starts[1].Worker.ID), 1) // its place is kept
	for _, st := range starts[1:] {
		next.report(st.Worker.ID, workload.Inventory{}) // it knows nothing of the run
		is.Equal(next.core.TasksOn(st.Worker.ID), 0)
	}
	for _, st := range next.store(nil) {
		is.True(st.Order.Run.Task.Step != 0)
	}
	next.end(1, second[0], workload.RunDone, "")
	next.store(nil)
	is.Equal(next.state(), workload.Completed)
}

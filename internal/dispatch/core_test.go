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

// testCell drives a core through its interface, as a coordinator would.
type testCell struct {
	*testing.T
	core    *Core
	now     time.Time
	running map[string]map[workload.TaskID]workload.RunStatus // by worker
}

const testIncarnation = 1000

func newCell(t *testing.T, queues ...workload.Queue) *testCell {
	c := &testCell{T: t, core: New(), now: time.UnixMilli(1_000_000), running: map[string]map[workload.TaskID]workload.RunStatus{}}
	if len(queues) == 0 {
		queues = []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second}}
	}
	teams := []workload.Team{{Name: "team", Weight: 100, Limit: model.Resources{MilliCores: 20_000}}}
	c.core.SetCell(workload.NewCell(1, queues, teams, nil))
	return c
}

func (c *testCell) addWorker(id string, cores int64) {
	c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{
		ID: id, Incarnation: testIncarnation, Address: id + ":1", AZ: "a", Pool: "pool",
		Capacity: model.Resources{MilliCores: cores * 1000, MemoryMB: 64_000},
	}})
	c.reportInventory(id, workload.Inventory{})
}

// reportInventory reports the running tasks of a worker, with the ends in inv.
func (c *testCell) reportInventory(id string, inv workload.Inventory) {
	if inv.Incarnation == 0 {
		inv.Incarnation = testIncarnation
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

func (c *testCell) addJob(id string, steps ...workload.Step) {
	c.core.AddJob(&workload.Job{ID: id, Queue: "batch", Team: "team", Steps: steps, AcceptedAt: c.now.UnixMilli()}, c.now)
}

// startTasks runs a scheduling pass, stores its result, answers all starts with err, and
// returns the starts.
func (c *testCell) startTasks(err error) []Start {
	c.core.Schedule(c.now)
	var out []Start
	for {
		b := c.core.TakeBatch(100, 1<<20)
		if b == nil {
			break
		}
		starts := c.core.HandleStored(b, c.now)
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

// reportEnd reports the end of a started run by its worker, with this sequence number.
func (c *testCell) reportEnd(seq int64, st Start, outcome workload.Outcome, checkpoint string) {
	c.reportInventory(st.Worker.ID, workload.Inventory{Ended: []workload.RunEnd{{
		Seq: seq, Run: st.Order.Run, Outcome: outcome, Checkpoint: checkpoint,
	}}})
}

// jobState returns the reported state of job "j".
func (c *testCell) jobState() workload.State {
	s, _ := c.core.JobState("j")
	return s
}

func cores(n int64) model.Resources { return model.Resources{MilliCores: n * 1000, MemoryMB: 100} }

func TestJobRunsStepAfterStep(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(2)}, workload.Step{Tasks: 1, Resources: cores(1), After: []int{0}})
	is.Equal(c.jobState(), workload.Queued)
	first := c.startTasks(nil)
	is.Equal(len(first), 2) // the second step waits
	is.Equal(c.jobState(), workload.Running)
	c.reportEnd(1, first[0], workload.RunDone, "")
	is.Equal(len(c.startTasks(nil)), 0)
	c.reportEnd(2, first[1], workload.RunDone, "")
	second := c.startTasks(nil)
	is.Equal(len(second), 1)
	c.reportEnd(3, second[0], workload.RunDone, "")
	is.Equal(c.jobState(), workload.Running) // not stored yet
	c.startTasks(nil)
	is.Equal(c.jobState(), workload.Completed)
	is.Equal(c.core.teamUsage("team"), model.Resources{})
}

func TestEndIsAcknowledgedOnlyWhenStored(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	st := c.startTasks(nil)
	c.reportEnd(7, st[0], workload.RunDone, "")
	view, _ := c.core.ViewWorker("w")
	is.Equal(view.Acked, int64(0))
	c.startTasks(nil)
	view, _ = c.core.ViewWorker("w")
	is.Equal(view.Acked, int64(7))
}

// The connection to a worker polls more often while a short task may be running there.
func TestViewShowsShortTasks(t *testing.T) {
	for estimate, short := range map[time.Duration]bool{ShortTask / 2: true, 2 * ShortTask: false} {
		is := is.New(t)
		c := newCell(t)
		c.addWorker("w", 8)
		view, _ := c.core.ViewWorker("w")
		is.Equal(view.ShortTasks, false)
		c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: estimate})
		c.startTasks(nil)
		view, _ = c.core.ViewWorker("w")
		is.Equal(view.ShortTasks, short)
	}
}

// Guards against overcommitted workers: capacity must not be reused while the run that
// occupied it may continue, because it is being stopped, its start was not answered, or
// its worker is out of reach.
func TestCapacityOfPossiblyRunningTaskIsNotReused(t *testing.T) {
	for name, prepare := range map[string]func(c *testCell, st Start){
		"stopping":     func(c *testCell, _ Start) { c.core.Cancel("j", c.now) },
		"unanswered":   func(c *testCell, st Start) { c.core.HandleStartResult(st, workload.ErrNoAnswer, c.now) },
		"out of reach": func(c *testCell, _ Start) { c.core.HandleLostContact("w", c.now) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 4)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(3)})
			st := c.startTasks(nil)
			is.Equal(len(st), 1)
			prepare(c, st[0])
			c.addJob("k", workload.Step{Tasks: 1, Resources: cores(3)})
			c.core.Tick(c.now)
			is.Equal(len(c.startTasks(nil)), 0)
		})
	}
}

func TestTeamLimitHolds(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for i := range 4 {
		c.addWorker(fmt.Sprint("w", i), 16)
	}
	c.addJob("j", workload.Step{Tasks: 30, Resources: cores(1)})
	is.Equal(len(c.startTasks(nil)), 20) // the team's limit is 20 cores
}

func TestFailedAttemptsEndTheJob(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addWorker("v", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	st := c.startTasks(nil)
	c.reportEnd(1, st[0], workload.RunFailed, "saved")
	st = c.startTasks(nil)
	is.Equal(st[0].Order.Run.Number, 2)
	is.Equal(st[0].Order.Checkpoint, "saved")
	c.reportEnd(2, st[0], workload.RunFailed, "")
	is.Equal(len(c.startTasks(nil)), 0)
	is.Equal(c.jobState(), workload.Failed)
}

func TestGangRunsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	gang := workload.Step{Tasks: 3, Resources: cores(2), Gang: true}
	c.addJob("j", gang)
	is.Equal(len(c.startTasks(nil)), 0)
	c.addWorker("v", 4)
	st := c.startTasks(nil)
	is.Equal(len(st), 3)
	// One member fails. The others are stopped, and the gang starts again only when all
	// have ended. This counts as one failure.
	c.reportEnd(1, st[0], workload.RunFailed, "")
	c.core.Tick(c.now)
	is.Equal(len(c.core.TakeStopOrders()), 2)
	is.Equal(len(c.startTasks(nil)), 0)
	c.reportEnd(2, st[1], workload.RunGangBroken, "x")
	c.reportEnd(3, st[2], workload.RunFailed, "")
	again := c.startTasks(nil)
	is.Equal(len(again), 3)
	for _, s := range again {
		is.Equal(s.Order.Run.Number, 2)
		is.Equal(s.Order.Checkpoint, "x")
	}
	c.reportEnd(4, again[0], workload.RunDone, "")
	c.startTasks(nil)
	is.Equal(c.jobState(), workload.Completed)
}

// Guards against a second run of a task that still runs: a successor knows from the
// stored rows which tasks may be running on which workers. It restarts such a task only
// when the worker has reported an inventory without it or can hold no lease any more.
func TestSuccessorWaitsForWorkers(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	spec := &workload.Job{ID: "j", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(),
		Steps: []workload.Step{{Tasks: 2, Resources: cores(1)}}}
	c.core.AddJob(spec, c.now)
	c.core.Schedule(c.now)
	row := c.core.TakeBatch(10, 1<<20).Progress[0]

	restored := func(t *testing.T) *testCell {
		next := newCell(t)
		if err := next.core.Restore(spec, row.Data, false, next.now); err != nil {
			t.Fatal(err)
		}
		next.core.SetLeaseBounds(next.now.Add(10*time.Second), nil, next.now)
		next.addWorker("v", 8)
		if n := len(next.startTasks(nil)); n != 0 {
			t.Fatalf("%d tasks started that may be running", n)
		}
		return next
	}
	t.Run("inventory received", func(t *testing.T) {
		is, next := is.New(t), restored(t)
		task := workload.TaskID{StepID: workload.StepID{Job: "j"}, Index: 1}
		next.running["w"] = map[workload.TaskID]workload.RunStatus{task: {Run: workload.Run{Task: task, Number: 1}}}
		next.addWorker("w", 8)
		st := next.startTasks(nil)
		is.Equal(len(st), 1) // the start of task 0 never arrived; task 1 runs
		is.Equal(st[0].Order.Run, workload.Run{Task: workload.TaskID{StepID: task.StepID}, Number: 2})
	})
	t.Run("lease expired", func(t *testing.T) {
		is, next := is.New(t), restored(t)
		next.now = next.now.Add(11 * time.Second)
		next.core.Tick(next.now)
		is.Equal(len(next.startTasks(nil)), 2)
	})
}

func TestFailingWorkerGetsNoTasks(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("bad", 8)
	for i := range 3 {
		c.addJob(fmt.Sprint("j", i), workload.Step{Tasks: 1, Resources: cores(1)})
	}
	for i, st := range c.startTasks(nil) {
		c.reportEnd(int64(i+1), st, workload.RunFailed, "")
	}
	c.addWorker("good", 8)
	for _, st := range c.startTasks(nil) {
		is.Equal(st.Worker.ID, "good")
	}
}

func TestStalledRunIsMoved(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
	st := c.startTasks(nil)
	c.running["w"][st[0].Order.Run.Task] = workload.RunStatus{Run: st[0].Order.Run, Percent: 40, Checkpoint: "p40"}
	c.reportInventory("w", workload.Inventory{})
	c.now = c.now.Add(minStall + time.Millisecond)
	c.reportInventory("w", workload.Inventory{})
	c.core.Tick(c.now) // decides to stop it
	c.core.Tick(c.now) // sends the stop order
	is.Equal(len(c.core.TakeStopOrders()), 1)
	c.addWorker("v", 8)
	c.reportEnd(1, st[0], workload.RunStopped, "")
	st = c.startTasks(nil)
	is.Equal(st[0].Worker.ID, "v")
	is.Equal(st[0].Order.Checkpoint, "p40")
}

func TestRefusedStarts(t *testing.T) {
	for name, test := range map[string]struct {
		err    error
		placed int // by the next scheduling pass
	}{
		"capacity":  {workload.ErrInsufficientCapacity, 0},
		"unhealthy": {workload.ErrUnhealthy, 0},
		"too old":   {workload.ErrRunTooOld, 1},
		"no answer": {workload.ErrNoAnswer, 0},
		"replaced":  {workload.ErrReplaced, 0},
		"lease":     {workload.ErrLeaseInPast, 1},
		"expired":   {workload.ErrStartExpired, 1}, // it never reached the worker
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			is.Equal(len(c.startTasks(test.err)), 1)
			st := c.startTasks(nil)
			is.Equal(len(st), test.placed)
			if len(st) > 0 {
				is.Equal(st[0].Order.Run.Number, 2)
			}
		})
	}
}

func TestPendingCountsJobsNotStarted(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(c.core.Pending("batch"), 1)
	c.startTasks(workload.ErrUnhealthy)
	is.Equal(c.core.Pending("batch"), 1) // assigned, but refused
	c.now = c.now.Add(2 * unhealthyBackoff)
	c.startTasks(nil)
	is.Equal(c.core.Pending("batch"), 0)
}

func TestEvacuatedWorkersGetNoTasks(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.core.SetEvacuatedAZs([]string{"a"})
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(len(c.startTasks(nil)), 0)
	c.core.SetEvacuatedAZs(nil)
	is.Equal(len(c.startTasks(nil)), 1)
}

func TestAdviceDecidesWhereStepsRun(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.addWorker("w", 8)
	c.addWorker("v", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(len(c.startTasks(nil)), 0)
	call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	is.Equal(len(call.Workers), 2)
	_, again := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(!again) // one call at a time for a step
	c.core.HandleAdvice(call, []workload.Ticket{{Worker: "v", Token: "t"}}, nil, c.now)
	st := c.startTasks(nil)
	is.Equal(st[0].Worker.ID, "v")
	is.Equal(st[0].Order.Ticket, "t")
	// A rejected ticket does not make a denied worker eligible.
	c.core.HandleStartResult(st[0], workload.ErrBadTicket, c.now)
	c.reportEnd(1, st[0], workload.RunStopped, "")
	c.now = c.now.Add(minCallInterval)
	c.startTasks(nil)
	call, ok = c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
	is.Equal(call.Workers, []string{"v"})
	c.core.HandleAdvice(call, nil, errors.New("no answer"), c.now)
	_, ok = c.core.NewAdvicePass(c.now.Add(minCallInterval)).Next(AdviceCapacity{MaxDuration: time.Second})
	is.True(ok)
}

// The progress of a job of the largest size fits into one row of the store, even when
// every task is placed and has a checkpoint.
func TestLargestProgressFitsIntoARow(t *testing.T) {
	const rowBytes = 65536
	is := is.New(t)
	c := newCell(t)
	c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 9}}, []workload.Team{{Name: "team"}}, nil))
	for i := range 48 {
		c.addWorker(fmt.Sprintf("i-%010d", i), 64)
	}
	c.addJob("00112233445566aa", workload.Step{Tasks: workload.MaxTasks, Resources: cores(1)})
	c.startTasks(nil)
	j := c.core.jobs["00112233445566aa"]
	for i := range j.occurrences[0].steps[0].tasks {
		j.occurrences[0].steps[0].tasks[i].checkpoint = "00000bb87a21d94b"
		j.occurrences[0].steps[0].tasks[i].crashCount = crashCount{unprovenCrashLimit, provenCrashes}
	}
	data := j.encode()
	t.Logf("%d bytes", len(data))
	is.True(len(data) <= rowBytes)
	var p Progress
	is.NoErr(json.Unmarshal(data, &p))
	is.Equal(p.Occurrences[0].Steps[0].Tasks[7].Checkpoint, "00000bb87a21d94b")
}

// Load pattern: an AZ becomes unreachable. Its workers appear to have free capacity and
// attract every start until heartbeats fail.
func TestUnresponsiveWorkersGetNoTasks(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for i := range 6 {
		c.addWorker(fmt.Sprint("w", i), 8)
	}
	c.addJob("i", workload.Step{Tasks: 1, Resources: cores(1)})
	c.startTasks(nil)
	c.core.HandleUnansweredOrder("w0", c.now)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(8)})
	is.True(c.startTasks(nil)[0].Worker.ID != "w0")
	for i := 1; i < minSilentWorkers; i++ {
		c.core.HandleUnansweredOrder(fmt.Sprint("w", i), c.now)
	}
	c.addJob("k", workload.Step{Tasks: 1, Resources: cores(8)})
	is.Equal(len(c.startTasks(nil)), 0) // the whole AZ is suspected
	c.now = c.now.Add(silentBackoff)
	c.core.Tick(c.now)
	is.Equal(len(c.startTasks(nil)), 1)
}

// Load pattern: workers become slow while they appear healthy. Their tasks are compared
// with those on other workers, since estimates are wrong by half or more.
func TestSlowWorkersAreAvoided(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for _, id := range []string{"slow", "v", "w"} {
		c.addWorker(id, 8)
	}
	c.addJob("j", workload.Step{Tasks: 3, Resources: cores(4), Estimate: time.Second, MaxPerWorker: 1})
	c.startTasks(nil)
	for range 20 {
		c.now = c.now.Add(50 * time.Millisecond)
		for id, runs := range c.running {
			for task, r := range runs {
				if r.Percent += 4; id == "slow" {
					r.Percent -= 3
				}
				runs[task] = r
			}
			c.reportInventory(id, workload.Inventory{})
		}
	}
	c.addJob("k", workload.Step{Tasks: 2, Resources: cores(2)})
	for _, st := range c.startTasks(nil) {
		is.True(st.Worker.ID != "slow")
	}
}

// Members of a gang that have done their work wait for the slowest member. They must not
// be treated as stalled.
func TestWaitingGangMembersAreNotStalled(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1), Estimate: time.Second, Gang: true})
	c.startTasks(nil)
	for task, r := range c.running["w"] {
		r.Percent = 100
		c.running["w"][task] = r
	}
	c.reportInventory("w", workload.Inventory{})
	c.now = c.now.Add(2 * minStall)
	c.reportInventory("w", workload.Inventory{})
	c.core.Tick(c.now)
	c.core.Tick(c.now)
	is.Equal(len(c.core.TakeStopOrders()), 0)
}

// A worker restarts under the same ID while a start is on its way, and the start reaches
// the new incarnation.
func TestStartReachesNewIncarnation(t *testing.T) {
	const newIncarnation = testIncarnation + 1
	begin := func(t *testing.T) (*testCell, Start) {
		c := newCell(t)
		c.addWorker("w", 8)
		c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
		c.core.Schedule(c.now)
		return c, c.core.HandleStored(c.core.TakeBatch(10, 1<<20), c.now)[0]
	}
	t.Run("ended there", func(t *testing.T) {
		is := is.New(t)
		c, st := begin(t)
		c.core.HandleStartResult(st, nil, c.now)
		c.now = c.now.Add(time.Second)
		c.reportInventory("w", workload.Inventory{Incarnation: newIncarnation, Ended: []workload.RunEnd{{Seq: 1, Run: st.Order.Run, Outcome: workload.RunDone}}})
		is.Equal(len(c.startTasks(nil)), 0)
		is.Equal(c.jobState(), workload.Completed)
	})
	t.Run("still on its way", func(t *testing.T) {
		is := is.New(t)
		c, st := begin(t)
		c.now = c.now.Add(time.Second)
		c.reportInventory("w", workload.Inventory{Incarnation: newIncarnation})
		is.Equal(len(c.startTasks(nil)), 0)
		c.core.HandleStartResult(st, workload.ErrRunTooOld, c.now)
		c.setEntry("w:1", newIncarnation)
		c.reportInventory("w", workload.Inventory{Incarnation: newIncarnation})
		is.Equal(c.startTasks(nil)[0].Order.Run.Number, 2)
	})
	t.Run("ran in the old incarnation", func(t *testing.T) {
		is := is.New(t)
		c, st := begin(t)
		c.core.HandleStartResult(st, nil, c.now)
		c.now = c.now.Add(time.Second)
		c.reportInventory("w", workload.Inventory{Incarnation: newIncarnation})
		c.setEntry("w:1", newIncarnation)
		is.Equal(c.startTasks(nil)[0].Order.Run.Number, 2)
	})
}

// Guards against an answer of an earlier incarnation that is read after one of a later one:
// the worker's runs would count as lost, and the numbers of its ends as those of the earlier
// one.
func TestInventoryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	const later = testIncarnation + 1
	c := newCell(t)
	c.addWorker("w", 8)
	requestedBefore := c.now
	c.now = c.now.Add(time.Second)
	c.setEntry("w:1", later)
	c.reportInventory("w", workload.Inventory{Incarnation: later})
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(len(c.startTasks(nil)), 1)
	c.now = c.now.Add(time.Millisecond)
	c.core.HandleInventory("w", workload.Inventory{Incarnation: testIncarnation}, requestedBefore, c.now)
	view, _ := c.core.ViewWorker("w")
	is.Equal(view.Incarnation, int64(later))
	is.Equal(view.Tasks, 1)
	c.now = c.now.Add(time.Second)
	c.reportInventory("w", workload.Inventory{Incarnation: later + 1}) // it has restarted again
	view, _ = c.core.ViewWorker("w")
	is.Equal(view.Incarnation, int64(later+1))
}

func TestOccurrencesOpenWhenDue(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.core.AddJob(&workload.Job{ID: "j", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(), Repeats: 2,
		FirstDue: c.now.Add(time.Second).UnixMilli(), Period: 2 * time.Second,
		Steps: []workload.Step{{Tasks: 1, Resources: cores(1)}}}, c.now)
	run := func(k int) {
		c.core.Tick(c.now)
		st := c.startTasks(nil)
		is.Equal(len(st), 1)
		is.Equal(st[0].Order.Run.Task.Occurrence, k)
		c.reportEnd(int64(k+1), st[0], workload.RunDone, "")
	}
	c.core.Tick(c.now)
	is.Equal(len(c.startTasks(nil)), 0) // not due yet
	c.now = c.now.Add(time.Second)
	run(0)
	c.core.Tick(c.now)
	is.Equal(len(c.startTasks(nil)), 0)
	is.Equal(c.jobState(), workload.Running) // another occurrence follows
	c.now = c.now.Add(2 * time.Second)
	run(1)
	c.startTasks(nil)
	is.Equal(c.jobState(), workload.Completed)
}

// Tasks of a service are restarted whatever the outcome of their runs, without a limit,
// until the job is cancelled.
func TestServicesAreRestarted(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addWorker("v", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Service: true})
	seq := map[string]int64{}
	for _, outcome := range []workload.Outcome{workload.RunFailed, workload.RunDone, workload.RunLeaseExpired, workload.RunFailed, workload.RunFailed} {
		c.now = c.now.Add(quarantinePeriod)
		st := c.startTasks(nil)
		is.Equal(len(st), 1)
		seq[st[0].Worker.ID]++
		c.reportEnd(seq[st[0].Worker.ID], st[0], outcome, "")
	}
	is.Equal(c.jobState(), workload.Running)
	c.core.Cancel("j", c.now)
	c.now = c.now.Add(quarantinePeriod)
	is.Equal(len(c.startTasks(nil)), 0)
	is.Equal(c.jobState(), workload.Cancelled)
}

// Load pattern: a gang so wide that it would need all workers allowed by the first call
// to be empty.
func TestWideGangRequestsFurtherAdvice(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 5,
		Advice: &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second}})
	c.core.SetCell(workload.NewCell(2, []workload.Queue{*c.core.cell.Queue("batch")}, []workload.Team{{Name: "team"}}, nil))
	for i := range 250 {
		c.addWorker(fmt.Sprintf("w%03d", i), 8)
	}
	c.addJob("j", workload.Step{Tasks: 40, Resources: cores(7), Gang: true, Estimate: time.Minute})
	named := map[string]bool{}
	for range 3 {
		c.startTasks(nil)
		call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
		if !ok {
			break
		}
		var tickets []workload.Ticket
		for i, w := range call.Workers {
			is.True(!named[w]) // each worker is named once
			named[w] = true
			if i%3 == 0 {
				tickets = append(tickets, workload.Ticket{Worker: w, Token: "t"})
			}
		}
		c.core.HandleAdvice(call, tickets, nil, c.now)
		c.now = c.now.Add(minCallInterval)
	}
	is.Equal(len(named), 200) // a third of the first 100 is too few for 40 tasks
	is.Equal(len(c.running["w000"])+len(c.running["w003"]), 2)
}

// Work past its useful time runs as well when capacity is free. Only under load does it
// leave a quarter of each worker free.
func TestExpiredWorkRunsInAnIdleCell(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addWorker("v", 8)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(7), Gang: true, Estimate: time.Second})
	c.now = c.now.Add(time.Hour)
	is.Equal(len(c.startTasks(nil)), 2)
	c.addJob("k", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
	c.now = c.now.Add(time.Hour)
	is.Equal(len(c.startTasks(nil)), 0) // 14 of 16 cores are used
}

// A gang is done when the end of one member reports success. If a successor takes over
// while the workers of other members are out of reach, it must keep the usage of these
// members, and must not start the gang again when their workers no longer list them.
func TestSuccessorDoesNotRestartFinishedGang(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for _, w := range []string{"u", "v", "w"} {
		c.addWorker(w, 4)
	}
	job := &workload.Job{ID: "j", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(), Steps: []workload.Step{
		{Tasks: 3, Resources: cores(4), Gang: true}, {Tasks: 1, Resources: cores(1), After: []int{0}}}}
	c.core.AddJob(job, c.now)
	starts := c.startTasks(nil)
	is.Equal(len(starts), 3)
	done := starts[0]
	for _, st := range starts[1:] {
		c.core.HandleLostContact(st.Worker.ID, c.now)
	}
	c.reportInventory(done.Worker.ID, workload.Inventory{Ended: []workload.RunEnd{{Seq: 1, Run: done.Order.Run, Outcome: workload.RunDone}}})
	row := c.core.TakeBatch(10, 1<<20).Progress[0]

	next := newCell(t)
	next.now = c.now
	is.NoErr(next.core.Restore(job, row.Data, false, next.now))
	for _, w := range []string{"u", "v", "w"} {
		next.core.SetWorker(workload.WorkerChange{ID: w, Worker: &workload.Worker{
			ID: w, Incarnation: testIncarnation, Address: w + ":1", AZ: "a", Pool: "pool", Capacity: model.Resources{MilliCores: 4000, MemoryMB: 64_000}}})
	}
	next.reportInventory(done.Worker.ID, workload.Inventory{})
	second := next.startTasks(nil)
	is.Equal(len(second), 1) // the step after the gang, on the reachable worker
	is.Equal(second[0].Order.Run.Task.Step, 1)
	is.Equal(second[0].Worker.ID, done.Worker.ID)
	is.Equal(next.core.TasksOn(starts[1].Worker.ID), 1) // its task still counts
	for _, st := range starts[1:] {
		next.reportInventory(st.Worker.ID, workload.Inventory{}) // it does not know the run
		is.Equal(next.core.TasksOn(st.Worker.ID), 0)
	}
	for _, st := range next.startTasks(nil) {
		is.True(st.Order.Run.Task.Step != 0)
	}
	next.reportEnd(1, second[0], workload.RunDone, "")
	next.startTasks(nil)
	is.Equal(next.jobState(), workload.Completed)
}

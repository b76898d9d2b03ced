package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// entry applies a registry entry of a worker.
func (c *testCell) entry(id, address string, incarnation int64) {
	c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{ID: id, Incarnation: incarnation, Address: address, AZ: "a", Pool: "pool",
		Capacity: model.Resources{MilliCores: 4000, MemoryMB: 64_000}}})
}

// fourSilentLosses loses a task of job "j" with four workers that go silent.
func (c *testCell) fourSilentLosses() {
	c.Helper()
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	for n := range unprovenCrashLimit {
		id := fmt.Sprint("w", n)
		c.addWorker(id, 4)
		if n := len(c.startTasks(nil)); n != 1 {
			c.Fatalf("%d starts", n)
		}
		c.loseSilently(id)
		c.now = c.now.Add(crashRetryPause)
	}
	c.startTasks(nil) // stores the losses
}

func (c *testCell) firstTask() *task {
	_, t := c.core.findTask(workload.TaskID{StepID: workload.StepID{Job: "j"}})
	return t
}

// Guards against a loss that is open for good: a worker comes back with a clock that was set
// back.
func TestLossOnAWorkerWithAnEarlierBirthIsSettled(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.fourSilentLosses()
	for n := range unprovenCrashLimit {
		id := fmt.Sprint("w", n)
		c.entry(id, id+":1", testIncarnation-1)
		c.reportInventory(id, workload.Inventory{Incarnation: testIncarnation - 1})
	}
	starts := 0
	for range 600 {
		c.now = c.now.Add(time.Second)
		for n := range unprovenCrashLimit {
			c.reportInventory(fmt.Sprint("w", n), workload.Inventory{Incarnation: testIncarnation - 1})
		}
		c.core.Tick(c.now)
		starts += len(c.startTasks(nil))
	}
	t.Logf("state %v, starts %d, silent %d", c.jobState(), starts, len(c.firstTask().silent))
	is.True(starts > 0 || c.jobState() == workload.Failed) // neither in 10 minutes
}

// Guards against a task that is held back for good by takeovers: its four workers have gone for
// good.
func TestTaskIsNotHeldBackForGoodByTakeovers(t *testing.T) {
	for _, term := range []time.Duration{2500 * time.Millisecond, 12 * time.Second, 40 * time.Second} {
		t.Run(term.String(), func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.fourSilentLosses()
			began, starts := c.now, 0
			for c.now.Sub(began) < 10*time.Minute && starts == 0 && c.jobState() != workload.Failed {
				j := c.core.jobs["j"]
				c.takeOver(j.spec, j.encode())
				c.addWorker("spare", 4)
				for end := c.now.Add(term); c.now.Before(end); c.now = c.now.Add(500 * time.Millisecond) {
					c.reportInventory("spare", workload.Inventory{})
					c.core.Tick(c.now)
					starts += len(c.startTasks(nil))
				}
			}
			t.Logf("state %v, starts %d after %v", c.jobState(), starts, c.now.Sub(began))
			is.True(starts > 0 || c.jobState() == workload.Failed)
		})
	}
}

// Guards against a worker that counts as not seen again since nobody called it: its entry has
// lapsed, and it is in reach of the hosts.
func TestSilentWorkerIsCalledThoughItsEntryHasLapsed(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeover), func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 4)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			is.Equal(len(c.startTasks(nil)), 1)
			c.core.TakeChangedWorkers()
			c.loseSilently("w")
			if takeover {
				j := c.core.jobs["j"]
				c.takeOver(j.spec, j.encode())
				is.Equal(c.core.TakeChangedWorkers(), []string{"w"}) // a link to it is opened
			}
			v, called := c.core.ViewWorker("w")
			is.True(called)
			is.Equal(v.Worker.Address, "w:1")
			c.reportInventory("w", workload.Inventory{Incarnation: testIncarnation})
			c.pass(taskCheckInterval)
			is.Equal(c.firstTask().crashes, 0)
			_, called = c.core.ViewWorker("w")
			is.True(!called) // nothing is left to be known of it
		})
	}
}

// Guards against calls without end to a worker that is gone for good.
func TestWorkerThatIsNotSeenAgainIsNotCalled(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(len(c.startTasks(nil)), 1)
	c.loseSilently("w")
	c.pass(silenceLimit + time.Second)
	is.Equal(c.firstTask().crashes, 1)
	_, called := c.core.ViewWorker("w")
	is.True(!called)
}

// Guards against evidence that is missed since it came before the loss: a coordinator takes
// over, the successor at the address is registered, and the lost worker is not.
func TestSuccessorThatAnsweredBeforeTheLossSettlesIt(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	c.startTasks(nil)
	j := c.core.jobs["j"]
	c.takeOver(j.spec, j.encode()) // "w" has crashed and lapsed
	c.entry("x", "w:1", testIncarnation+5)
	c.core.HandleInventory("x", workload.Inventory{Incarnation: testIncarnation + 5}, c.now, c.now)
	for range 20 {
		c.now = c.now.Add(time.Second)
		c.core.HandleInventory("x", workload.Inventory{Incarnation: testIncarnation + 5}, c.now, c.now)
		c.core.Tick(c.now)
	}
	is.Equal(c.firstTask().state, taskPending)
	is.Equal(c.firstTask().crashes, 1)
	is.Equal(len(c.firstTask().silent), 0) // known at once
}

// Guards against an entry of another writer, with an odd time of birth, that is taken for a
// restart.
func TestOddBirthInAnEntryIsNoCrash(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	for n := range unprovenCrashLimit {
		id := fmt.Sprint("w", n)
		c.addWorker(id, 4)
		if len(c.startTasks(nil)) == 0 {
			break
		}
		c.entry(id, id+":1", 1<<52)
		c.loseSilently(id)
		c.now = c.now.Add(crashRetryPause)
	}
	c.startTasks(nil)
	is.Equal(c.firstTask().crashes-len(c.firstTask().silent), 0) // nothing has ended
	is.Equal(c.jobState(), workload.Running)
}

// Guards against an odd time of birth that outlives the term in the row of a job.
func TestOddBirthBeforeATakeoverIsRefuted(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	c.startTasks(nil)
	c.entry("w", "w:1", 1<<52)
	c.core.HandleLostContact("w", c.now)
	j := c.core.jobs["j"]
	c.takeOver(j.spec, j.encode())
	c.now = c.now.Add(crashLease + time.Millisecond)
	c.core.Tick(c.now)
	is.Equal(len(c.firstTask().silent), 1)
	c.entry("w", "w:1", testIncarnation)
	for range 120 {
		c.reportInventory("w", workload.Inventory{})
		c.now = c.now.Add(time.Second)
		c.core.Tick(c.now)
	}
	is.Equal(c.firstTask().crashes, 0)
	is.Equal(len(c.firstTask().silent), 0)
}

// Guards against a task without a limit in a job whose row is more than half full.
func TestTaskThatCrashesWorkersHasALimitInALargeRow(t *testing.T) {
	for name, o := range map[string]outage{"silent": {silent: true}, "silent, takeovers": {silent: true, unanswered: true, takeovers: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrashCell(t, 16, o, func(id workload.TaskID) bool { return id.Job == "deadly" && id.Step == 0 })
			// The second step waits for large workers, with checkpoints.
			const wide = 1000
			spec := &workload.Job{ID: "deadly", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(),
				Steps: []workload.Step{{Tasks: 1, Resources: cores(2), Estimate: c.runFor}, {Tasks: wide, Resources: cores(99), Checkpoints: true, Estimate: c.runFor}}}
			c.specs = append(c.specs, spec)
			row := `{"state":"running","begun":true,"next":1,"occ":[{"k":0,"steps":[{"tasks":[0]},{"tasks":[` +
				strings.TrimSuffix(strings.Repeat(`[1,0,0,"00000bb87a21d94b00000bb87a21d94b"],`, wide), ",") + `]}]}]}`
			is.True(len(row) > openBytes && len(row) < maxProgressBytes)
			c.stored["deadly"] = []byte(row)
			is.NoErr(c.core.Restore(spec, c.stored["deadly"], false, c.now))
			c.play(180*time.Second, func(int) {})
			t.Logf("row %d of %d bytes, crashes %v, surplus starts %d, state %v", len(row), maxProgressBytes, c.crashes, c.surplus, c.state("deadly"))
			is.True(c.surplus < 3)
			is.Equal(c.state("deadly"), workload.Failed)
		})
	}
}

// Guards against a row that outgrows the store since an older build has reserved no room for the
// bits of Outlived.
func TestOutlivedRunsOfAFullRowOfAnOlderBuild(t *testing.T) {
	is := is.New(t)
	const occurrences = 455
	checkpoint := strings.Repeat("x", 92)
	c := newRowCell(t, 12, shortID)
	c.checkpoint = func(workload.TaskID) string { return checkpoint }
	var workers, open []string
	for i := range 12 {
		workers = append(workers, fmt.Sprintf(`{"id":%q,"born":%d}`, shortID(i), testIncarnation))
	}
	for k := range occurrences {
		open = append(open, fmt.Sprintf(`{"k":%d,"steps":[{"tasks":[[1,%d,0,%q]]}]}`, k, k%12+1, checkpoint))
	}
	row := fmt.Sprintf(`{"state":"running","begun":true,"next":%d,"workers":[%s],"occ":[%s]}`, len(open), strings.Join(workers, ","), strings.Join(open, ","))
	is.True(len(row)+occurrences*endGrowthBytes <= maxProgressBytes) // so the older build allows it
	job := workload.Job{ID: bigJob, Queue: "batch", Team: "team", Repeats: 3600, Period: time.Second,
		FirstDue: c.now.Add(-3600 * time.Second).UnixMilli(), Steps: []workload.Step{{Tasks: 1, Resources: smallTask, Checkpoints: true}}}
	is.NoErr(c.core.Restore(&job, []byte(row), false, c.now))
	for k := range open {
		id := shortID(k % 12)
		if c.running[id] == nil {
			c.running[id] = map[workload.TaskID]workload.RunStatus{}
		}
		task := workload.TaskID{StepID: workload.StepID{Job: bigJob, Occurrence: k}}
		c.running[id][task] = workload.RunStatus{Run: workload.Run{Task: task, Number: 1}, Checkpoint: checkpoint}
	}
	for range 8 {
		c.step()
	}
	t.Logf("%d runs, row before %d bytes, largest %d of %d", len(open), len(row), c.largest, workload.MaxRowBytes)
	is.True(c.largest <= workload.MaxRowBytes)
}

// Guards against a crash that is missed since a coordinator takes over between the new
// incarnation's entry and its first answer.
func TestRestartIsCountedAcrossATakeoverBeforeTheAnswer(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	is.Equal(len(c.startTasks(nil)), 1)
	delete(c.running, "w")
	c.core.HandleLostContact("w", c.now) // it has crashed
	c.entry("w", "w:1", testIncarnation+1)
	j := c.core.jobs["j"]
	c.takeOver(j.spec, j.encode()) // stored for another task of the job
	c.entry("w", "w:1", testIncarnation+1)
	c.now = c.now.Add(time.Second)
	c.reportInventory("w", workload.Inventory{Incarnation: testIncarnation + 1})
	is.Equal(c.firstTask().state, taskPending)
	is.Equal(c.firstTask().crashes, 1)
}

// Guards against calls for advice for a task that waits until it is known whether its workers
// have crashed.
func TestTaskThatAwaitsEvidenceCallsForNoAdvice(t *testing.T) {
	is := is.New(t)
	advice := &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 3 * time.Second}
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Advice: advice})
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	calls := 0
	call := func() {
		for p := c.core.NewAdvicePass(c.now); ; {
			call, ok := p.Next(AdviceCapacity{MaxDuration: time.Second})
			if !ok {
				return
			}
			calls++
			var tickets []workload.Ticket
			for _, id := range call.Workers {
				tickets = append(tickets, workload.Ticket{Worker: id, Token: "t"})
			}
			c.core.HandleAdvice(call, tickets, nil, c.now)
		}
	}
	for n := range unprovenCrashLimit {
		id := fmt.Sprint("w", n)
		c.addWorker(id, 4)
		started := 0
		for range 20 {
			c.now = c.now.Add(500 * time.Millisecond)
			c.reportInventory(id, workload.Inventory{})
			started = len(c.startTasks(nil))
			if started > 0 {
				break
			}
			call()
		}
		is.Equal(started, 1)
		c.loseSilently(id)
		c.now = c.now.Add(crashRetryPause)
	}
	for n := range 10 {
		c.addWorker(fmt.Sprint("spare", n), 4)
	}
	calls = 0
	for range 60 { // 30 s
		c.now = c.now.Add(500 * time.Millisecond)
		c.core.Tick(c.now)
		is.Equal(len(c.startTasks(nil)), 0)
		call()
	}
	t.Logf("%d calls in 30 s", calls)
	is.True(calls <= 1)
}

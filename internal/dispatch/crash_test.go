package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// crashCell drives a core with workers that crash under some tasks and return after
// some seconds.
type crashCell struct {
	*testing.T
	core     *Core
	now      time.Time
	workers  map[string]*crashWorker
	crashing func(workload.TaskID) bool
	outage   outage
	stored   map[string][]byte // progress by job
	specs    []*workload.Job
	starts   map[workload.TaskID]int
	crashes  map[workload.TaskID]int // workers that crashed under a crashing task
	surplus  int                     // starts of a crashing task after the third crash under it
	newIDs   int
	takeover time.Time // of the next coordinator; zero if none is due
	// runFor is how long a task runs.
	runFor time.Duration
	fuse   time.Duration // how long after its start a deadly task crashes its worker
}

// outage is what a coordinator sees of a worker that has crashed.
type outage struct {
	// restarted workers keep their ID. Otherwise another worker takes the address, or, if
	// it is silent, nothing shows before the leases are over.
	restarted, silent bool
	unanswered        bool // the start that crashed the worker gets no answer
	takeovers         bool // another coordinator takes over while the worker is away
}

type crashWorker struct {
	info   workload.Worker
	runs   map[workload.TaskID]crashRun
	seq    int64
	backAt time.Time // when it returns; zero if it is up
	goneAt time.Time // when its registration lapses
	lease  time.Time
	report time.Time // of its next inventory
	ends   []workload.RunEnd
	// cutUntil is when a worker that is cut off is reached again; zero if it is in reach.
	cutUntil time.Time
}

type crashRun struct {
	run     workload.Run
	until   time.Time
	outcome workload.Outcome
	crashes bool // the worker, at until
}

const (
	crashStep    = 50 * time.Millisecond
	crashAway    = 3200 * time.Millisecond
	crashLapse   = 4500 * time.Millisecond
	crashLease   = 7200 * time.Millisecond
	crashReports = 700 * time.Millisecond
)

func newCrashCell(t *testing.T, workers int, o outage, crashing func(workload.TaskID) bool) *crashCell {
	c := &crashCell{T: t, now: time.UnixMilli(1_000_000), workers: map[string]*crashWorker{}, crashing: crashing, outage: o, stored: map[string][]byte{},
		starts: map[workload.TaskID]int{}, crashes: map[workload.TaskID]int{}, runFor: 3 * time.Second}
	c.core = c.newCore()
	for range workers {
		c.register("")
	}
	return c
}

func (c *crashCell) newCore() *Core {
	core := New()
	core.SetCell(workload.NewCell(1, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 3, Slack: 2, Allowance: time.Second}}, []workload.Team{{Name: "team", Weight: 1000}}, nil))
	return core
}

// register adds a worker, at the given address if there is one.
func (c *crashCell) register(address string) {
	c.newIDs++
	id := fmt.Sprintf("w%02d", c.newIDs)
	if address == "" {
		address = id + ":1"
	}
	w := &crashWorker{info: workload.Worker{ID: id, Incarnation: c.now.UnixMilli(), Address: address, AZ: "a", Pool: "pool",
		Capacity: model.Resources{MilliCores: 16_000, MemoryMB: 64_000}}, runs: map[workload.TaskID]crashRun{}}
	c.workers[id] = w
	c.setWorker(w)
}

func (c *crashCell) setWorker(w *crashWorker) {
	info := w.info
	c.core.SetWorker(workload.WorkerChange{ID: info.ID, Worker: &info})
}

func (c *crashCell) submit(id string, step workload.Step) {
	step.Estimate = c.runFor
	spec := &workload.Job{ID: id, Queue: "batch", Team: "team", Steps: []workload.Step{step}, AcceptedAt: c.now.UnixMilli()}
	c.specs = append(c.specs, spec)
	c.core.AddJob(spec, c.now)
}

func (c *crashCell) sorted() []*crashWorker {
	return slices.SortedFunc(maps.Values(c.workers), func(a, b *crashWorker) int { return strings.Compare(a.info.ID, b.info.ID) })
}

// play advances the cell and calls submit once a second.
func (c *crashCell) play(length time.Duration, submit func(second int)) {
	begin, second := c.now, 0
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(crashStep) {
		if c.now.Sub(begin) >= time.Duration(second)*time.Second {
			submit(second)
			second++
			c.checkCounts()
		}
		if !c.takeover.IsZero() && !c.now.Before(c.takeover) {
			c.takeOver()
		}
		for _, w := range c.sorted() {
			c.step(w)
		}
		c.core.Tick(c.now)
		for _, o := range c.core.TakeStopOrders() {
			if w := c.workers[o.Worker.ID]; w != nil && w.backAt.IsZero() && w.cutUntil.IsZero() {
				if r, ok := w.runs[o.Run.Task]; ok && r.run == o.Run {
					w.end(r.run, workload.RunStopped)
				}
				c.core.HandleStopResult(o, nil, c.now)
			}
		}
		c.core.Schedule(c.now)
		for b := c.core.TakeBatch(100, 1<<20); b != nil; b = c.core.TakeBatch(100, 1<<20) {
			for _, p := range b.Progress {
				c.stored[p.Job] = p.Data
			}
			for _, st := range c.core.HandleStored(b, c.now) {
				c.start(st)
			}
		}
	}
}

// checkCounts compares the counts of suspects with the tasks.
func (c *crashCell) checkCounts() {
	isolatedWorkers := map[string]int{}
	for id, w := range c.core.workers {
		suspects, isolated := 0, 0
		for task := range w.tasks {
			_, t := c.core.findTask(task)
			if t.crashes > 0 {
				suspects++
			}
			if t.isolates() {
				isolated++
			}
		}
		if isolated > 0 {
			isolatedWorkers[w.info.Pool]++
		}
		if w.suspects != suspects || w.isolated != isolated {
			c.Errorf("worker %s counts %d suspects and %d isolated ones, but has %d and %d", id, w.suspects, w.isolated, suspects, isolated)
		}
	}
	maps.DeleteFunc(c.core.isolatedWorkers, func(_ string, n int) bool { return n == 0 })
	if !maps.Equal(c.core.isolatedWorkers, isolatedWorkers) {
		c.Errorf("workers that count as isolated, by pool: %v, but are: %v", c.core.isolatedWorkers, isolatedWorkers)
	}
}

func (w *crashWorker) end(run workload.Run, outcome workload.Outcome) {
	delete(w.runs, run.Task)
	w.seq++
	w.ends = append(w.ends, workload.RunEnd{Seq: w.seq, Run: run, Outcome: outcome})
	w.report = time.Time{}
}

// step advances a worker that is up, and returns one that was away.
func (c *crashCell) step(w *crashWorker) {
	if !w.goneAt.IsZero() && !c.now.Before(w.goneAt) {
		w.goneAt = time.Time{}
		c.core.SetWorker(workload.WorkerChange{ID: w.info.ID})
	}
	if !w.cutUntil.IsZero() && c.runsOnBehindCut(w) {
		return
	}
	if !w.backAt.IsZero() {
		if c.now.Before(w.backAt) {
			return
		}
		w.backAt = time.Time{}
		switch {
		case c.outage.silent:
			delete(c.workers, w.info.ID)
			c.register("")
			return
		case !c.outage.restarted:
			delete(c.workers, w.info.ID)
			c.core.HandleReplaced(w.info.ID, w.info.Address, c.now)
			c.core.SetWorker(workload.WorkerChange{ID: w.info.ID})
			c.register(w.info.Address)
			return
		}
		w.goneAt, w.seq, w.ends, w.info.Incarnation = time.Time{}, 0, nil, c.now.UnixMilli()
		c.setWorker(w)
	}
	for _, r := range w.runs {
		if !c.now.Before(r.until) {
			if r.crashes {
				c.crashUnder(w, r.run.Task)
				return
			}
			w.end(r.run, r.outcome)
		}
	}
	if c.now.Before(w.report) {
		return
	}
	w.report = c.now.Add(crashReports)
	inv := workload.Inventory{Incarnation: w.info.Incarnation, Ended: w.ends}
	w.ends = nil
	for _, r := range w.runs {
		inv.Running = append(inv.Running, workload.RunStatus{Run: r.run, Percent: int(100 * c.runFor / max(1, r.until.Sub(c.now)+c.runFor))})
	}
	c.core.HandleInventory(w.info.ID, inv, c.now, c.now)
	w.lease = c.now.Add(crashLease)
	c.core.ExtendLease(w.info.ID, w.lease)
}

// start carries out a start order.
func (c *crashCell) start(st Start) {
	w, task := c.workers[st.Worker.ID], st.Order.Run.Task
	if w == nil || !w.backAt.IsZero() || !w.cutUntil.IsZero() {
		c.core.HandleStartResult(st, workload.ErrNoAnswer, c.now)
		return
	}
	c.starts[task]++
	if !c.crashing(task) {
		run := crashRun{run: st.Order.Run, until: c.now.Add(c.runFor), outcome: workload.RunDone}
		if first := (workload.TaskID{StepID: task.StepID}); c.crashing(first) && c.core.findStep(task.StepID).spec.Gang {
			run.until, run.outcome = c.now.Add(c.fuse+2*crashStep), workload.RunGangBroken
		}
		w.runs[task] = run
		c.core.HandleStartResult(st, nil, c.now)
		return
	}
	if c.crashes[task] >= 3 {
		c.surplus++
	}
	if c.outage.unanswered {
		c.core.HandleUnansweredOrder(w.info.ID, c.now)
		c.core.HandleStartResult(st, workload.ErrNoAnswer, c.now)
	} else {
		c.core.HandleStartResult(st, nil, c.now)
	}
	if c.fuse > 0 {
		w.runs[task] = crashRun{run: st.Order.Run, until: c.now.Add(c.fuse), crashes: true}
		return
	}
	c.crashUnder(w, task)
}

// crashUnder crashes a worker under a deadly task.
func (c *crashCell) crashUnder(w *crashWorker, task workload.TaskID) {
	c.crashes[task]++
	c.crash(w)
	if c.outage.takeovers && c.takeover.IsZero() {
		c.takeover = c.now.Add(time.Second)
	}
}

// crash ends a worker and all of its runs.
func (c *crashCell) crash(w *crashWorker) {
	clear(w.runs)
	w.ends = nil
	w.backAt = c.now.Add(crashAway)
	if c.outage.silent {
		w.goneAt, w.backAt = c.now.Add(crashLapse), c.now.Add(10*time.Second)
	}
	c.core.HandleLostContact(w.info.ID, c.now)
}

// takeOver replaces the core by one that knows what is stored.
func (c *crashCell) takeOver() {
	c.takeover = time.Time{}
	c.core = c.newCore()
	leases := map[string]time.Time{}
	for _, w := range c.sorted() {
		lapsed := w.goneAt.IsZero() && (!w.cutUntil.IsZero() || !w.backAt.IsZero() && c.outage.silent)
		crashed := !w.goneAt.IsZero() && w.cutUntil.IsZero()
		if !lapsed && !crashed {
			c.setWorker(w)
		}
		if !w.cutUntil.IsZero() {
			leases[w.info.ID] = w.lease
		}
		w.report = time.Time{}
	}
	for _, spec := range c.specs {
		if err := c.core.Restore(spec, c.stored[spec.ID], false, c.now); err != nil {
			c.Fatal(err)
		}
	}
	c.core.SetLeaseBounds(c.now.Add(crashLease), leases, c.now)
}

func (c *crashCell) state(job string) workload.State {
	s, _ := c.core.JobState(job)
	return s
}

// outages are the ways in which a crash of a worker becomes known.
var outages = map[string]outage{
	"replaced":             {},
	"replaced, unanswered": {unanswered: true},
	"restarted":            {restarted: true},
	"silent":               {silent: true},
	"takeovers":            {takeovers: true},
	"restarted, takeovers": {restarted: true, takeovers: true},
	"silent, takeovers":    {silent: true, unanswered: true, takeovers: true},
}

// Guards against one task that crashes worker after worker, and against blaming the tasks
// beside it.
func TestTaskCrashesWorkerAfterWorker(t *testing.T) {
	steps := map[string]workload.Step{
		"task":    {Tasks: 1, Resources: cores(2)},
		"tasks":   {Tasks: 4, Resources: cores(2)},
		"gang":    {Tasks: 12, Resources: cores(3), Gang: true},
		"service": {Tasks: 2, Resources: cores(2), Service: true},
	}
	for name, o := range outages {
		for kind, step := range steps {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCrashCell(t, 16, o, func(id workload.TaskID) bool { return id.Job == "crashing" && id.Index == 0 })
				others := 0
				c.play(90*time.Second, func(second int) {
					if second == 3 {
						c.submit("crashing", step)
					}
					if second < 70 {
						for range 4 {
							others++
							c.submit(fmt.Sprint("other", others), workload.Step{Tasks: 4, Resources: cores(2)})
						}
					}
				})
				c.Logf("crashes %v, surplus starts %d", c.crashes, c.surplus)
				is.True(c.surplus < 3) // starts after the third crash
				is.Equal(c.state("crashing"), workload.Failed)
				for i := range others {
					is.Equal(c.state(fmt.Sprint("other", i+1)), workload.Completed)
				}
			})
		}
	}
}

// Guards against tasks that crash their workers again and again at the same time, so that
// most of the cell is away.
func TestManyCrashingTasksLeaveTheCellToOthers(t *testing.T) {
	is := is.New(t)
	const workers, crashing = 24, 30
	c := newCrashCell(t, workers, outage{}, func(id workload.TaskID) bool { return strings.HasPrefix(id.Job, "crashing") })
	others, mostAway := 0, 0
	c.play(150*time.Second, func(second int) {
		if second == 3 {
			for n := range crashing {
				c.submit(fmt.Sprint("crashing", n), workload.Step{Tasks: 1, Resources: cores(2)})
			}
		}
		if second < 80 {
			for range 4 {
				others++
				c.submit(fmt.Sprint("other", others), workload.Step{Tasks: 4, Resources: cores(2)})
			}
		}
		away := 0
		for _, w := range c.workers {
			if !w.backAt.IsZero() {
				away++
			}
		}
		if second >= 15 { // each has crashed a worker or two
			mostAway = max(mostAway, away)
		}
	})
	c.Logf("at most %d of %d workers away from second 15 on", mostAway, workers)
	is.True(mostAway <= workers/6)
	is.True(c.surplus == 0)
	for n := range crashing {
		is.Equal(c.state(fmt.Sprint("crashing", n)), workload.Failed)
	}
	for i := range others {
		is.Equal(c.state(fmt.Sprint("other", i+1)), workload.Completed)
	}
}

// Guards against failing a job for crashes that none of its tasks caused.
func TestJobIsNotBlamedForCrashesOfFailureDomains(t *testing.T) {
	for name, o := range outages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCrashCell(t, 24, o, func(workload.TaskID) bool { return false })
			r := rand.New(rand.NewPCG(1, 1))
			jobs := 0
			c.play(150*time.Second, func(second int) {
				if second < 100 {
					for range 5 {
						jobs++
						c.submit(fmt.Sprint("job", jobs), workload.Step{Tasks: 4, Resources: cores(2)})
					}
				}
				if second%3 == 0 && second < 100 { // a rack of four
					workers := c.sorted()
					first := r.IntN(len(workers))
					for n := range 4 {
						if w := workers[(first+n)%len(workers)]; w.backAt.IsZero() {
							c.crash(w)
						}
					}
				}
			})
			for i := range jobs {
				is.Equal(c.state(fmt.Sprint("job", i+1)), workload.Completed)
			}
		})
	}
}

// Guards against blaming tasks for workers that end as expected, or long after the start.
func TestExpectedEndsOfWorkersAreNoCrashes(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(c *testCell)
		crashes int
	}{
		"without notice": {func(*testCell) {}, 1},
		"with notice": {func(c *testCell) {
			c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &workload.Worker{ID: "w", Incarnation: testIncarnation, Address: "w:1", AZ: "a", Pool: "pool", Draining: true}})
		}, 0},
		"for maintenance": {func(c *testCell) { c.core.SetCordonedWorkers([]string{"w"}) }, 0},
		"after the window": {func(c *testCell) {
			c.now = c.now.Add(crashWindow)
			c.reportInventory("w", workload.Inventory{})
		}, 0},
		"within the window": {func(c *testCell) {
			c.now = c.now.Add(crashWindow / 2)
			c.reportInventory("w", workload.Inventory{})
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 4)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			st := c.startTasks(nil)
			is.Equal(len(st), 1)
			tc.prepare(c)
			c.core.HandleReplaced("w", "w:1", c.now)
			_, task := c.core.findTask(st[0].Order.Run.Task)
			is.Equal(task.crashes, tc.crashes)
		})
	}
}

// Guards against crashes of workers that are only out of reach: one that is registered
// when its leases end is alive.
func TestRegisteredWorkerOutOfReachHasNotCrashed(t *testing.T) {
	for _, registered := range []bool{true, false} {
		is := is.New(t)
		c := newCell(t)
		c.addWorker("w", 4)
		c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
		st := c.startTasks(nil)
		c.core.ExtendLease("w", c.now.Add(time.Second))
		c.core.HandleLostContact("w", c.now)
		if !registered {
			c.core.SetWorker(workload.WorkerChange{ID: "w"})
		}
		c.now = c.now.Add(2 * time.Second)
		c.core.Tick(c.now)
		_, task := c.core.findTask(st[0].Order.Run.Task)
		is.Equal(task.state, taskPending)
		is.Equal(task.crashes == 0, registered)
		is.Equal(task.proven, 0)
	}
}

// Guards against progress that builds of another version cannot read.
func TestCrashesAreStoredForBothBuilds(t *testing.T) {
	is := is.New(t)
	stored, err := json.Marshal(TaskProgress{Run: 4, Failures: 1, Checkpoint: "x", Crashes: 2, Proven: 1})
	is.NoErr(err)
	var run, worker, failures int
	var checkpoint string
	is.NoErr(json.Unmarshal(stored, &[]any{&run, &worker, &failures, &checkpoint})) // as builds without crashes decode it
	is.Equal([]any{run, worker, failures, checkpoint}, []any{4, 0, 1, "x"})
	var p TaskProgress
	is.NoErr(json.Unmarshal(stored, &p))
	is.Equal(p, TaskProgress{Run: 4, Failures: 1, Checkpoint: "x", Crashes: 2, Proven: 1})
	var old TaskProgress
	is.NoErr(json.Unmarshal([]byte(`[4,0,1,"x"]`), &old))
	is.Equal(old, TaskProgress{Run: 4, Failures: 1, Checkpoint: "x"})
	stored, err = json.Marshal(old)
	is.NoErr(err)
	is.Equal(string(stored), `[4,0,1,"x"]`)
}

// Guards against suspects that share a worker: the crash would not show which is the
// cause, and the others would be lost again.
func TestSuspectsRunApart(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	for i := range 20 { // enough for two isolated suspects
		c.addWorker(fmt.Sprint("w", i), 8)
	}
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1)})
	for round := range 3 {
		st := c.startTasks(nil)
		is.Equal(len(st), 2)
		lost := map[string]bool{}
		for _, s := range st {
			lost[s.Worker.ID] = true
		}
		is.Equal(len(lost) == 1, round == 0) // apart once they are suspects
		if round == 2 {
			break
		}
		for id := range lost {
			c.core.HandleReplaced(id, id+":1", c.now)
			delete(c.running, id)
			c.addWorker(id+"'", 8)
		}
		c.now = c.now.Add(crashRetryPause)
	}
	// Nothing starts beside them after two crashes, until they have outlived the window.
	c.addJob("k", workload.Step{Tasks: 3, Resources: cores(8)}, workload.Step{Tasks: 20, Resources: cores(1)})
	for _, s := range c.startTasks(nil) {
		is.Equal(c.core.workers[s.Worker.ID].isolated, 0)
	}
	c.now = c.now.Add(crashWindow)
	for _, w := range c.core.workers {
		c.reportInventory(w.info.ID, workload.Inventory{})
		is.Equal(w.suspects, 0)
		is.Equal(w.isolated, 0)
		is.True(w.acceptsBesideSuspects(true))
	}
}

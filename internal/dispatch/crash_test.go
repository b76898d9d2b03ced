package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// crashCell drives a core with workers that crash under deadly tasks and return after
// some seconds.
type crashCell struct {
	*testing.T
	core     *Core
	now      time.Time
	workers  map[string]*crashWorker
	deadly   func(workload.TaskID) bool
	outage   outage
	stored   map[string][]byte // progress by job
	specs    []*workload.Job
	starts   map[workload.TaskID]int
	crashes  map[workload.TaskID]int // workers that crashed under a deadly task
	surplus  int                     // starts of a deadly task after the third crash under it
	newIDs   int
	takeover time.Time // of the next coordinator; zero if none is due
	// runFor is how long a task runs.
	runFor time.Duration
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
}

type crashRun struct {
	run     workload.Run
	until   time.Time
	outcome workload.Outcome
}

const (
	crashStep    = 50 * time.Millisecond
	crashAway    = 3200 * time.Millisecond
	crashLapse   = 4500 * time.Millisecond
	crashLease   = 7200 * time.Millisecond
	crashReports = 700 * time.Millisecond
)

func newCrashCell(t *testing.T, workers int, o outage, deadly func(workload.TaskID) bool) *crashCell {
	c := &crashCell{T: t, now: time.UnixMilli(1_000_000), workers: map[string]*crashWorker{}, deadly: deadly, outage: o, stored: map[string][]byte{},
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
		}
		if !c.takeover.IsZero() && !c.now.Before(c.takeover) {
			c.takeOver()
		}
		for _, w := range c.sorted() {
			c.step(w)
		}
		c.core.Tick(c.now)
		for _, o := range c.core.TakeStopOrders() {
			if w := c.workers[o.Worker.ID]; w != nil && w.backAt.IsZero() {
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
			for _, st := range c.core.HandleStored(b) {
				c.start(st)
			}
		}
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
			c.core.HandleReplaced(w.info.ID, c.now)
			c.core.SetWorker(workload.WorkerChange{ID: w.info.ID})
			c.register(w.info.Address)
			return
		}
		w.goneAt, w.seq, w.ends, w.info.Incarnation = time.Time{}, 0, nil, c.now.UnixMilli()
		c.setWorker(w)
	}
	for _, r := range w.runs {
		if !c.now.Before(r.until) {
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
	if w == nil || !w.backAt.IsZero() {
		c.core.HandleStartResult(st, workload.ErrNoAnswer, c.now)
		return
	}
	c.starts[task]++
	if !c.deadly(task) {
		run := crashRun{st.Order.Run, c.now.Add(c.runFor), workload.RunDone}
		if deadly := (workload.TaskID{StepID: task.StepID}); c.deadly(deadly) && c.core.findStep(task.StepID).spec.Gang {
			run.until, run.outcome = c.now.Add(2*crashStep), workload.RunGangBroken
		}
		w.runs[task] = run
		c.core.HandleStartResult(st, nil, c.now)
		return
	}
	if c.crashes[task] >= 3 {
		c.surplus++
	}
	c.crashes[task]++
	if c.outage.unanswered {
		c.core.HandleUnansweredOrder(w.info.ID, c.now)
		c.core.HandleStartResult(st, workload.ErrNoAnswer, c.now)
	} else {
		c.core.HandleStartResult(st, nil, c.now)
	}
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
	for _, w := range c.sorted() {
		if w.goneAt.IsZero() {
			c.setWorker(w)
		}
		w.report = time.Time{}
	}
	for _, spec := range c.specs {
		if err := c.core.Restore(spec, c.stored[spec.ID], false, c.now); err != nil {
			c.Fatal(err)
		}
	}
	c.core.SetLeaseBounds(c.now.Add(crashLease), nil, c.now)
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
				is := is.New(t)
				c := newCrashCell(t, 16, o, func(id workload.TaskID) bool { return id.Job == "deadly" && id.Index == 0 })
				others := 0
				c.play(90*time.Second, func(second int) {
					if second == 3 {
						c.submit("deadly", step)
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
				is.Equal(c.state("deadly"), workload.Failed)
				for i := range others {
					is.Equal(c.state(fmt.Sprint("other", i+1)), workload.Completed)
				}
			})
		}
	}
}

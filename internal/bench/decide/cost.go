package decide

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// Cost is the measured speed of the decision core on one processor core of this machine.
type Cost struct {
	Work            string
	Workers         int
	Teams           int
	Running         int // at the start of the measurement
	Starts          int
	StartsPerSecond float64
	P99, Worst      time.Duration // of Core.Handle, over all events
}

const (
	costStarts       = 100_000
	costTeams        = 140
	costPending      = 200 // waiting batch jobs per team
	costFillFraction = 0.94
	maxHandleTime    = 10 * time.Second
)

// measureCost measures direct and batch decisions at 50 workers, at the target size and
// at twice the target size.
func measureCost(seed uint64) []Cost {
	var list []Cost
	for _, workers := range []int{50, 930, 1860} {
		list = append(list, costOf(workers, seed, "direct"), costOf(workers, seed, "batch"))
	}
	return list
}

// loadedCore is a core with running tasks, for a measurement.
type loadedCore struct {
	core        *sched.Core
	now         time.Time
	handleTimes *hdrhistogram.Histogram
	starts      int
	running     []sched.StartTask
	jobs        int
}

func costOf(workers int, seed uint64, work string) Cost {
	l := newLoadedCore(workers, seed)
	fill := int(float64(workers*8) * costFillFraction)
	l.startTasks(fill)
	running := len(l.running)
	if work == "batch" {
		l.queueJobs()
	}
	l.handleTimes.Reset()
	l.starts = 0
	begin := time.Now()
	if work == "direct" {
		l.runDirect()
	} else {
		l.runBatch()
	}
	elapsed := time.Since(begin)
	return Cost{
		Work: work, Workers: workers, Teams: costTeams, Running: running, Starts: l.starts,
		StartsPerSecond: float64(l.starts) / elapsed.Seconds(),
		P99:             time.Duration(l.handleTimes.ValueAtQuantile(99)), Worst: time.Duration(l.handleTimes.Max()),
	}
}

func newLoadedCore(workers int, seed uint64) *loadedCore {
	l := &loadedCore{core: sched.New("cost", seed), now: epoch, handleTimes: hdrhistogram.New(1, maxHandleTime.Nanoseconds(), waitDigits)}
	cfg := &config.Config{AZs: []config.AZ{{Name: "az0", InService: true}}}
	for o := range 6 {
		cfg.Organisations = append(cfg.Organisations, config.Organisation{Name: fmt.Sprintf("org%d", o), Share: 1 + o})
	}
	for t := range costTeams {
		o := &cfg.Organisations[t%6]
		o.Teams = append(o.Teams, config.Team{Name: fmt.Sprintf("team%03d", t), Share: 1 + t%3})
	}
	l.handle(sched.ConfigChanged{Config: cfg})
	for i := range workers {
		l.handle(sched.WorkerChanged{Worker: costWorker(i), State: sched.WorkerReady})
	}
	return l
}

func costWorker(i int) model.WorkerSpec {
	w := model.WorkerSpec{
		ID: fmt.Sprintf("w%04d", i), AZ: "az0", Rack: fmt.Sprintf("r%03d", i/8), Connections: 64,
		Capacity: model.Resources{MilliCores: 32_000, MemoryMB: 128_000, Slots: 8},
	}
	if i%3 == 0 {
		w.Capacity.Accelerators = 4
	}
	return w
}

func (l *loadedCore) handle(ev sched.Event) {
	begin := time.Now()
	ds := l.core.Handle(l.now, ev)
	if err := l.handleTimes.RecordValue(max(time.Since(begin).Nanoseconds(), 1)); err != nil {
		panic(err) // Handle took longer than maxHandleTime
	}
	for _, d := range ds {
		if s, ok := d.(sched.StartTask); ok {
			l.starts++
			l.running = append(l.running, s)
		}
	}
}

func (l *loadedCore) add(p model.Policy, tasks int, size model.Resources) {
	l.jobs++
	l.handle(sched.JobAdded{Job: model.Job{
		ID: model.JobID(fmt.Sprintf("j%07d", l.jobs)), Team: fmt.Sprintf("team%03d", l.jobs%costTeams), Kind: "cost",
		Policy: p, Tasks: tasks, Submitted: l.now, Task: model.TaskSpec{Resources: size, Idempotent: true},
	}})
}

// batchSize cycles through sizes that leave some cores of each worker free.
func (l *loadedCore) batchSize() model.Resources {
	n := int64(l.jobs % 4)
	return model.Resources{MilliCores: 2000 + 500*n, MemoryMB: 8000 + 1000*n, Slots: 1}
}

func (l *loadedCore) startTasks(tasks int) {
	for len(l.running) < tasks {
		l.add(model.PolicyBatch, 4, l.batchSize())
	}
	for _, s := range l.running {
		l.handle(sched.StartConfirmed{Task: s.Task, Attempt: s.Attempt})
	}
}

// queueJobs gives every team more waiting tasks than fit.
func (l *loadedCore) queueJobs() {
	for range costTeams * costPending {
		l.add(model.PolicyBatch, 4, l.batchSize())
	}
}

// runDirect starts, confirms and ends direct requests one after the other.
func (l *loadedCore) runDirect() {
	for l.starts < costStarts {
		l.now = l.now.Add(20 * time.Microsecond)
		l.add(model.PolicyDirect, 1, model.Resources{MilliCores: 250, MemoryMB: 512})
		l.endLast()
	}
}

func (l *loadedCore) endLast() {
	s := l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
	l.handle(sched.StartConfirmed{Task: s.Task, Attempt: s.Attempt})
	l.handle(sched.TaskEnded{Task: s.Task, Attempt: s.Attempt, End: sched.EndDone})
}

// runBatch ends the running tasks, oldest first, so that waiting tasks start in their
// place.
func (l *loadedCore) runBatch() {
	for i := 0; l.starts < costStarts && i < len(l.running); i++ {
		l.now = l.now.Add(50 * time.Microsecond)
		s := l.running[i]
		l.handle(sched.StartConfirmed{Task: s.Task, Attempt: s.Attempt})
		l.handle(sched.TaskEnded{Task: s.Task, Attempt: s.Attempt, End: sched.EndDone})
	}
}

package decide

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// Cost is how fast the core decides on this machine, on one core.
type Cost struct {
	Work            string
	Workers         int
	Teams           int
	Running         int // when the measurement begins
	Starts          int
	StartsPerSecond float64
	P99, Worst      time.Duration // of Core.Handle, over all events
}

const (
	costStarts  = 100_000
	costTeams   = 140
	costPending = 200 // batch jobs that wait, per team
	costFill    = 0.94
	maxHandle   = 10 * time.Second
)

// measureCost measures direct and batch decisions at the target size, and at
// twice as many workers.
func measureCost(seed uint64) []Cost {
	var list []Cost
	for _, workers := range []int{50, 930, 1860} {
		list = append(list, costOf(workers, seed, "direct"), costOf(workers, seed, "batch"))
	}
	return list
}

// bed is a core that is filled for a measurement.
type bed struct {
	core    *sched.Core
	now     time.Time
	hist    *hdrhistogram.Histogram
	starts  int
	running []sched.StartTask
	jobs    int
}

func costOf(workers int, seed uint64, work string) Cost {
	b := newBed(workers, seed)
	fill := int(float64(workers*8) * costFill)
	b.fill(fill)
	running := len(b.running)
	if work == "batch" {
		b.queue()
	}
	b.hist.Reset()
	b.starts = 0
	begin := time.Now()
	if work == "direct" {
		b.direct()
	} else {
		b.batch()
	}
	elapsed := time.Since(begin)
	return Cost{
		Work: work, Workers: workers, Teams: costTeams, Running: running, Starts: b.starts,
		StartsPerSecond: float64(b.starts) / elapsed.Seconds(),
		P99:             time.Duration(b.hist.ValueAtQuantile(99)), Worst: time.Duration(b.hist.Max()),
	}
}

func newBed(workers int, seed uint64) *bed {
	b := &bed{core: sched.New("cost", seed), now: epoch, hist: hdrhistogram.New(1, maxHandle.Nanoseconds(), waitDigits)}
	cfg := &config.Config{AZs: []config.AZ{{Name: "az0", InService: true}}}
	for o := range 6 {
		cfg.Organisations = append(cfg.Organisations, config.Organisation{Name: fmt.Sprintf("org%d", o), Share: 1 + o})
	}
	for t := range costTeams {
		o := &cfg.Organisations[t%6]
		o.Teams = append(o.Teams, config.Team{Name: fmt.Sprintf("team%03d", t), Share: 1 + t%3})
	}
	b.handle(sched.ConfigChanged{Config: cfg})
	for i := range workers {
		b.handle(sched.WorkerChanged{Worker: costWorker(i), State: sched.WorkerReady})
	}
	return b
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

func (b *bed) handle(ev sched.Event) {
	begin := time.Now()
	ds := b.core.Handle(b.now, ev)
	if err := b.hist.RecordValue(max(time.Since(begin).Nanoseconds(), 1)); err != nil {
		panic(err) // longer than maxHandle
	}
	for _, d := range ds {
		if s, ok := d.(sched.StartTask); ok {
			b.starts++
			b.running = append(b.running, s)
		}
	}
}

func (b *bed) add(p model.Policy, tasks int, size model.Resources) {
	b.jobs++
	b.handle(sched.JobAdded{Job: model.Job{
		ID: model.JobID(fmt.Sprintf("j%07d", b.jobs)), Team: fmt.Sprintf("team%03d", b.jobs%costTeams), Kind: "cost",
		Policy: p, Tasks: tasks, Submitted: b.now, Task: model.TaskSpec{Resources: size, Idempotent: true},
	}})
}

// batchSize cycles through sizes that leave some cores of each worker free.
func (b *bed) batchSize() model.Resources {
	n := int64(b.jobs % 4)
	return model.Resources{MilliCores: 2000 + 500*n, MemoryMB: 8000 + 1000*n, Slots: 1}
}

func (b *bed) fill(tasks int) {
	for len(b.running) < tasks {
		b.add(model.PolicyBatch, 4, b.batchSize())
	}
	for _, s := range b.running {
		b.handle(sched.StartConfirmed{Task: s.Task, Attempt: s.Attempt})
	}
}

// queue has every team wait for more than there is room for.
func (b *bed) queue() {
	for range costTeams * costPending {
		b.add(model.PolicyBatch, 4, b.batchSize())
	}
}

// direct starts, confirms and ends direct requests one after the other.
func (b *bed) direct() {
	for b.starts < costStarts {
		b.now = b.now.Add(20 * time.Microsecond)
		b.add(model.PolicyDirect, 1, model.Resources{MilliCores: 250, MemoryMB: 512})
		b.endLast()
	}
}

func (b *bed) endLast() {
	s := b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	b.handle(sched.StartConfirmed{Task: s.Task, Attempt: s.Attempt})
	b.handle(sched.TaskEnded{Task: s.Task, Attempt: s.Attempt, End: sched.EndDone})
}

// batch ends what runs, oldest first, so that what waits takes its place.
func (b *bed) batch() {
	for i := 0; b.starts < costStarts && i < len(b.running); i++ {
		b.now = b.now.Add(50 * time.Microsecond)
		s := b.running[i]
		b.handle(sched.StartConfirmed{Task: s.Task, Attempt: s.Attempt})
		b.handle(sched.TaskEnded{Task: s.Task, Attempt: s.Attempt, End: sched.EndDone})
	}
}

package decide

import (
	"container/heap"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// Delays between a decision and the event that reports its result.
const (
	startDelay      = time.Millisecond
	stopDelay       = 20 * time.Millisecond
	checkpointDelay = 150 * time.Millisecond
	usageLag        = 2 * time.Second
	sampleEvery     = time.Second
	// One task in noCheckpointEvery cannot save its progress.
	noCheckpointEvery = 5
)

// epoch is the start of the virtual day.
var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// timedEvent is an event of the virtual day, or a function to run at that time.
type timedEvent struct {
	at    time.Time
	seq   int
	event sched.Event
	run   func()
}

type eventQueue []timedEvent

// Len implements heap.Interface.
func (h eventQueue) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventQueue) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventQueue) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop implements heap.Interface.
func (h *eventQueue) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// simulation runs one day against one scheduler.
type simulation struct {
	day          *day
	sched        scheduler
	now          time.Time
	queue        eventQueue
	seq          int
	next         int // index of the next arrival
	jobs         map[model.JobID]*activeJob
	attempts     map[model.TaskID]*attempt
	workerStates map[string]sched.WorkerState
	outOfService map[string]bool   // AZs out of service
	workerAZ     map[string]string // AZ of each worker
	metrics      *metrics
}

// activeJob is a submitted job that has not ended.
type activeJob struct {
	arrival
	started int                   // number of attempts
	done    int                   // number of tasks that are done
	saved   map[int]time.Duration // checkpointed run time by task, which a restart skips
}

// attempt is one running attempt.
type attempt struct {
	job          *activeJob
	task         model.TaskID
	attempt      int
	worker       string
	start        time.Time
	checkpointed bool // the attempt stops at a checkpoint
}

func newSimulation(d *day, s scheduler) *simulation {
	sim := &simulation{
		day: d, sched: s, now: epoch, jobs: map[model.JobID]*activeJob{}, attempts: map[model.TaskID]*attempt{},
		workerStates: map[string]sched.WorkerState{}, outOfService: map[string]bool{}, workerAZ: map[string]string{},
	}
	for _, w := range d.workers {
		sim.workerAZ[w.ID] = w.AZ
	}
	sim.metrics = newMetrics(sim)
	return sim
}

func (sim *simulation) schedule(t time.Time, ev sched.Event, run func()) {
	sim.seq++
	heap.Push(&sim.queue, timedEvent{t, sim.seq, ev, run})
}

func (sim *simulation) atFraction(f float64) time.Time {
	return epoch.Add(time.Duration(f * float64(sim.day.length)))
}

// run simulates the whole day and returns the measurements.
func (sim *simulation) run() *metrics {
	sim.handle(sched.ConfigChanged{Config: sim.day.config})
	for _, w := range sim.day.workers {
		sim.setWorker(w, sched.WorkerReady)
	}
	sim.scheduleFaults()
	for t := sampleEvery; t < sim.day.length; t += sampleEvery {
		sim.schedule(epoch.Add(t), nil, sim.metrics.takeSample)
	}
	end := epoch.Add(sim.day.length)
	for sim.step(end) {
	}
	return sim.metrics
}

// step processes the next arrival, event or wake-up of the scheduler. It returns false
// at the day's end.
func (sim *simulation) step(end time.Time) bool {
	at, kind := end, 0
	if sim.next < len(sim.day.arrivals) {
		if t := epoch.Add(sim.day.arrivals[sim.next].at); t.Before(at) {
			at, kind = t, 1
		}
	}
	if len(sim.queue) > 0 && sim.queue[0].at.Before(at) {
		at, kind = sim.queue[0].at, 2
	}
	if wake, ok := sim.sched.NextWake(); ok && wake.Before(at) {
		at, kind = wake, 3
	}
	if at.After(sim.now) {
		sim.now = at
	}
	switch kind {
	case 1:
		sim.arrive()
	case 2:
		sim.dispatch(heap.Pop(&sim.queue).(timedEvent))
	case 3:
		sim.handle(sched.Tick{})
	}
	return kind != 0
}

func (sim *simulation) arrive() {
	a := sim.day.arrivals[sim.next]
	sim.next++
	a.job.Submitted = sim.now
	sim.jobs[a.job.ID] = &activeJob{arrival: a, saved: map[int]time.Duration{}}
	sim.metrics.arrived(&a)
	sim.handle(sched.JobAdded{Job: a.job})
}

func (sim *simulation) dispatch(e timedEvent) {
	if e.run != nil {
		e.run()
		return
	}
	switch ev := e.event.(type) {
	case sched.TaskEnded:
		sim.endAttempt(ev)
	case sched.UsageReported:
		if a := sim.attempts[ev.Task]; a != nil && a.attempt == ev.Attempt {
			sim.handle(ev)
		}
	default:
		sim.handle(ev)
	}
}

// endAttempt ends the attempt if it is still running.
func (sim *simulation) endAttempt(ev sched.TaskEnded) {
	a := sim.attempts[ev.Task]
	if a == nil || a.attempt != ev.Attempt {
		return
	}
	delete(sim.attempts, ev.Task)
	sim.metrics.ended(a, ev.End)
	sim.handle(ev)
}

// handle passes an event to the scheduler and carries out its decisions.
func (sim *simulation) handle(ev sched.Event) {
	for _, d := range sim.sched.Handle(sim.now, ev) {
		switch d := d.(type) {
		case sched.StartTask:
			sim.startTask(d)
		case sched.PreemptTask:
			sim.preempt(d)
		case sched.JobEnded:
			sim.metrics.jobEnded(sim.jobs[d.Job], d)
			delete(sim.jobs, d.Job)
		case sched.WorkerHealthChanged:
			sim.metrics.suspects++
		}
	}
}

func (sim *simulation) startTask(d sched.StartTask) {
	j := sim.jobs[d.Task.Job]
	x := &attempt{job: j, task: d.Task, attempt: d.Attempt, worker: d.Worker, start: sim.now}
	sim.attempts[d.Task] = x
	sim.metrics.started(x)
	sim.schedule(sim.now.Add(startDelay), sched.StartConfirmed{Task: d.Task, Attempt: d.Attempt}, nil)
	end, remaining := sched.EndDone, j.runTime-j.saved[d.Task.Index]
	switch {
	case sim.failsNow(d.Worker):
		end, remaining = sched.EndFailed, failingWorkerRunTime
	case j.fails:
		end = sched.EndFailed
	}
	sim.schedule(sim.now.Add(startDelay+remaining), sched.TaskEnded{Task: d.Task, Attempt: d.Attempt, End: end}, nil)
	if remaining > usageLag && j.job.Policy != model.PolicyDirect {
		sim.schedule(sim.now.Add(usageLag), sched.UsageReported{Task: d.Task, Attempt: d.Attempt, Usage: j.usage}, nil)
	}
}

func (sim *simulation) failsNow(worker string) bool {
	return sim.day.failing[worker] && sim.now.After(sim.atFraction(failingFrom)) && sim.now.Before(sim.atFraction(failingUntil))
}

// preempt schedules the end of an attempt that the scheduler preempts, unless the
// scheduler only throttles it.
func (sim *simulation) preempt(d sched.PreemptTask) {
	x := sim.attempts[d.Task]
	if x == nil || x.attempt != d.Attempt {
		return
	}
	stopped := sched.TaskEnded{Task: d.Task, Attempt: d.Attempt, End: sched.EndStopped}
	switch d.Step {
	case sched.PreemptCheckpoint:
		sim.metrics.preempted++
		if d.Task.Index%noCheckpointEvery == 0 {
			return
		}
		sim.schedule(sim.now.Add(checkpointDelay), nil, func() {
			if y := sim.attempts[d.Task]; y == x {
				x.job.saved[d.Task.Index] += sim.now.Sub(x.start)
				stopped.Checkpoint, x.checkpointed = "saved", true
				sim.endAttempt(stopped)
			}
		})
	case sched.PreemptThrottle:
	case sched.PreemptStop:
		sim.schedule(sim.now.Add(stopDelay), stopped, nil)
	}
}

func (sim *simulation) setWorker(w model.WorkerSpec, s sched.WorkerState) {
	sim.workerStates[w.ID] = s
	if s == sched.WorkerGone {
		sim.loseAttempts(w.ID)
	}
	sim.handle(sched.WorkerChanged{Worker: w, State: s})
}

// loseAttempts removes the attempts on a worker that is gone.
func (sim *simulation) loseAttempts(worker string) {
	for id, x := range sim.attempts {
		if x.worker == worker {
			delete(sim.attempts, id)
			sim.metrics.ended(x, sched.EndLeaseExpired)
		}
	}
}

// scheduleFaults schedules a wave of cancellations and the absence of an AZ.
func (sim *simulation) scheduleFaults() {
	if !sim.day.faults {
		return
	}
	sim.schedule(sim.atFraction(cancelAt), nil, sim.cancelJobs)
	sim.schedule(sim.atFraction(azLeaves), nil, func() { sim.setInService(false) })
	sim.schedule(sim.atFraction(azGone), nil, func() { sim.setAZWorkers(sched.WorkerGone) })
	sim.schedule(sim.atFraction(azReturns), nil, func() {
		sim.setAZWorkers(sched.WorkerReady)
		sim.setInService(true)
	})
}

// cancelJobs cancels every second unfinished batch job of two teams.
func (sim *simulation) cancelJobs() {
	for i := range sim.day.arrivals[:sim.next] {
		j := &sim.day.arrivals[i].job
		if sim.jobs[j.ID] != nil && j.Policy == model.PolicyBatch && (j.Team == "team000" || j.Team == "team001") && i%2 == 0 {
			sim.metrics.cancelled++
			sim.handle(sched.JobCancelled{Job: j.ID})
		}
	}
}

// leavingAZ is the AZ that leaves and returns.
const leavingAZ = "az1"

func (sim *simulation) setInService(in bool) {
	cfg := *sim.day.config
	cfg.AZs = append([]config.AZ(nil), cfg.AZs...)
	for i := range cfg.AZs {
		if cfg.AZs[i].Name == leavingAZ {
			cfg.AZs[i].InService = in
		}
	}
	sim.outOfService[leavingAZ] = !in
	sim.handle(sched.ConfigChanged{Config: &cfg})
}

func (sim *simulation) setAZWorkers(s sched.WorkerState) {
	for _, w := range sim.day.workers {
		if w.AZ == leavingAZ {
			sim.setWorker(w, s)
		}
	}
}

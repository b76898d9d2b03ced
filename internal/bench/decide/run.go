package decide

import (
	"container/heap"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// Delays between a decision and the event that answers it.
const (
	startDelay      = time.Millisecond
	stopDelay       = 20 * time.Millisecond
	checkpointDelay = 150 * time.Millisecond
	usageLag        = 2 * time.Second
	sampleEvery     = time.Second
	// noCheckpointPart of the tasks cannot save their progress, as a divisor.
	noCheckpointPart = 5
)

// epoch is when the virtual day begins.
var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// happening is an event of the virtual day, or a sample.
type happening struct {
	at  time.Time
	seq int
	ev  sched.Event
	run func()
}

type happenings []happening

// Len implements heap.Interface.
func (h happenings) Len() int { return len(h) }

// Less implements heap.Interface.
func (h happenings) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

// Pop implements heap.Interface.
func (h *happenings) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// runner runs one day against one scheduler.
type runner struct {
	day   *day
	sched scheduler
	now   time.Time
	queue happenings
	seq   int
	next  int // of the arrivals
	jobs  map[model.JobID]*runJob
	runs  map[model.TaskID]*run
	state map[string]sched.WorkerState
	out   map[string]bool   // AZs out of service
	az    map[string]string // of each worker
	m     *measures
}

// runJob is a job that was handed in and is not over.
type runJob struct {
	arrival
	started int                   // attempts
	over    int                   // tasks that ended well
	saved   map[int]time.Duration // progress per task that a restart need not repeat
}

// run is one attempt that runs.
type run struct {
	job     *runJob
	task    model.TaskID
	attempt int
	worker  string
	start   time.Time
	saves   bool // stops with its progress saved
}

func newRunner(d *day, s scheduler) *runner {
	r := &runner{
		day: d, sched: s, now: epoch, jobs: map[model.JobID]*runJob{}, runs: map[model.TaskID]*run{},
		state: map[string]sched.WorkerState{}, out: map[string]bool{}, az: map[string]string{},
	}
	for _, w := range d.workers {
		r.az[w.ID] = w.AZ
	}
	r.m = newMeasures(r)
	return r
}

func (r *runner) at(t time.Time, ev sched.Event, run func()) {
	r.seq++
	heap.Push(&r.queue, happening{t, r.seq, ev, run})
}

func (r *runner) part(f float64) time.Time {
	return epoch.Add(time.Duration(f * float64(r.day.length)))
}

// run runs the whole day and returns what was measured.
func (r *runner) run() *measures {
	r.handle(sched.ConfigChanged{Config: r.day.config})
	for _, w := range r.day.workers {
		r.setWorker(w, sched.WorkerReady)
	}
	r.planFaults()
	for t := sampleEvery; t < r.day.length; t += sampleEvery {
		r.at(epoch.Add(t), nil, r.m.sample)
	}
	end := epoch.Add(r.day.length)
	for r.step(end) {
	}
	return r.m
}

// step takes the next arrival or event. It returns false at the day's end.
func (r *runner) step(end time.Time) bool {
	at, kind := end, 0
	if r.next < len(r.day.arrivals) {
		if t := epoch.Add(r.day.arrivals[r.next].at); t.Before(at) {
			at, kind = t, 1
		}
	}
	if len(r.queue) > 0 && r.queue[0].at.Before(at) {
		at, kind = r.queue[0].at, 2
	}
	if wake, ok := r.sched.NextWake(); ok && wake.Before(at) {
		at, kind = wake, 3
	}
	if at.After(r.now) {
		r.now = at
	}
	switch kind {
	case 1:
		r.arrive()
	case 2:
		r.happen(heap.Pop(&r.queue).(happening))
	case 3:
		r.handle(sched.Tick{})
	}
	return kind != 0
}

func (r *runner) arrive() {
	a := r.day.arrivals[r.next]
	r.next++
	a.job.Submitted = r.now
	r.jobs[a.job.ID] = &runJob{arrival: a, saved: map[int]time.Duration{}}
	r.m.arrived(&a)
	r.handle(sched.JobAdded{Job: a.job})
}

func (r *runner) happen(h happening) {
	if h.run != nil {
		h.run()
		return
	}
	switch ev := h.ev.(type) {
	case sched.TaskEnded:
		r.end(ev)
	case sched.UsageReported:
		if run := r.runs[ev.Task]; run != nil && run.attempt == ev.Attempt {
			r.handle(ev)
		}
	default:
		r.handle(ev)
	}
}

// end ends an attempt that still runs.
func (r *runner) end(ev sched.TaskEnded) {
	run := r.runs[ev.Task]
	if run == nil || run.attempt != ev.Attempt {
		return
	}
	delete(r.runs, ev.Task)
	r.m.ended(run, ev.End)
	r.handle(ev)
}

// handle passes an event to the scheduler and does what it decides.
func (r *runner) handle(ev sched.Event) {
	for _, d := range r.sched.Handle(r.now, ev) {
		switch d := d.(type) {
		case sched.StartTask:
			r.start(d)
		case sched.PreemptTask:
			r.preempt(d)
		case sched.JobEnded:
			r.m.jobEnded(r.jobs[d.Job], d)
			delete(r.jobs, d.Job)
		case sched.WorkerHealthChanged:
			r.m.suspects++
		}
	}
}

func (r *runner) start(d sched.StartTask) {
	j := r.jobs[d.Task.Job]
	x := &run{job: j, task: d.Task, attempt: d.Attempt, worker: d.Worker, start: r.now}
	r.runs[d.Task] = x
	r.m.started(x)
	r.at(r.now.Add(startDelay), sched.StartConfirmed{Task: d.Task, Attempt: d.Attempt}, nil)
	end, left := sched.EndDone, j.runTime-j.saved[d.Task.Index]
	switch {
	case r.badNow(d.Worker):
		end, left = sched.EndFailed, badWorkerFailureTime
	case j.fails:
		end = sched.EndFailed
	}
	r.at(r.now.Add(startDelay+left), sched.TaskEnded{Task: d.Task, Attempt: d.Attempt, End: end}, nil)
	if left > usageLag && j.job.Policy != model.PolicyDirect {
		r.at(r.now.Add(usageLag), sched.UsageReported{Task: d.Task, Attempt: d.Attempt, Usage: j.usage}, nil)
	}
}

func (r *runner) badNow(worker string) bool {
	return r.day.bad[worker] && r.now.After(r.part(badFrom)) && r.now.Before(r.part(badUntil))
}

// preempt has an attempt save its progress or stop.
func (r *runner) preempt(d sched.PreemptTask) {
	x := r.runs[d.Task]
	if x == nil || x.attempt != d.Attempt {
		return
	}
	stopped := sched.TaskEnded{Task: d.Task, Attempt: d.Attempt, End: sched.EndStopped}
	switch d.Step {
	case sched.PreemptCheckpoint:
		r.m.preempted++
		if d.Task.Index%noCheckpointPart == 0 {
			return
		}
		r.at(r.now.Add(checkpointDelay), nil, func() {
			if y := r.runs[d.Task]; y == x {
				x.job.saved[d.Task.Index] += r.now.Sub(x.start)
				stopped.Checkpoint, x.saves = "saved", true
				r.end(stopped)
			}
		})
	case sched.PreemptThrottle:
	case sched.PreemptStop:
		r.at(r.now.Add(stopDelay), stopped, nil)
	}
}

func (r *runner) setWorker(w model.WorkerSpec, s sched.WorkerState) {
	r.state[w.ID] = s
	if s == sched.WorkerGone {
		r.lapse(w.ID)
	}
	r.handle(sched.WorkerChanged{Worker: w, State: s})
}

// lapse forgets what ran on a worker that is gone.
func (r *runner) lapse(worker string) {
	for id, x := range r.runs {
		if x.worker == worker {
			delete(r.runs, id)
			r.m.ended(x, sched.EndLeaseExpired)
		}
	}
}

// planFaults has a wave of jobs cancelled and takes an AZ out and in.
func (r *runner) planFaults() {
	if !r.day.faults {
		return
	}
	r.at(r.part(cancelAt), nil, r.cancelWave)
	r.at(r.part(azLeaves), nil, func() { r.serveAZ(false) })
	r.at(r.part(azGone), nil, func() { r.setAZ(sched.WorkerGone) })
	r.at(r.part(azReturns), nil, func() {
		r.setAZ(sched.WorkerReady)
		r.serveAZ(true)
	})
}

// cancelWave cancels every second job of two teams that is not over.
func (r *runner) cancelWave() {
	for i := range r.day.arrivals[:r.next] {
		j := &r.day.arrivals[i].job
		if r.jobs[j.ID] != nil && j.Policy == model.PolicyBatch && (j.Team == "team000" || j.Team == "team001") && i%2 == 0 {
			r.m.cancelled++
			r.handle(sched.JobCancelled{Job: j.ID})
		}
	}
}

// leavingAZ is the zone that leaves and returns.
const leavingAZ = "az1"

func (r *runner) serveAZ(in bool) {
	cfg := *r.day.config
	cfg.AZs = append([]config.AZ(nil), cfg.AZs...)
	for i := range cfg.AZs {
		if cfg.AZs[i].Name == leavingAZ {
			cfg.AZs[i].InService = in
		}
	}
	r.out[leavingAZ] = !in
	r.handle(sched.ConfigChanged{Config: &cfg})
}

func (r *runner) setAZ(s sched.WorkerState) {
	for _, w := range r.day.workers {
		if w.AZ == leavingAZ {
			r.setWorker(w, s)
		}
	}
}

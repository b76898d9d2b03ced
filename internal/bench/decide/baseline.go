package decide

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// scheduler is the core or a baseline, as a simulation uses it.
type scheduler interface {
	Handle(now time.Time, ev sched.Event) []sched.Decision
	NextWake() (time.Time, bool)
}

// baseline is a simple scheduler: queues in order of priority, first come first served,
// first fit. It has no shares, no preemption and no reservations.
type baseline struct {
	priority func(*model.Job) int
	// skipBlocked tries jobs behind a job that does not fit.
	skipBlocked bool
	cfg         *config.Config
	workers     []*baseWorker
	byName      map[string]*baseWorker
	queues      [][]*baseJob
	jobs        map[model.JobID]*baseJob
	decisions   []sched.Decision
	// oversized holds the sizes that fit on no worker during the current event, so that
	// equal or larger sizes need no search.
	oversized []model.Resources
}

// maxBlocked is the number of blocked jobs after which a queue is searched no further.
const maxBlocked = 64

type baseWorker struct {
	spec            model.WorkerSpec
	ready           bool
	free            model.Resources
	freeConnections int
	running         map[model.TaskID]bool
}

type baseJob struct {
	spec         model.Job
	ready        []int
	attempts     map[int]int
	workers      map[int]*baseWorker
	sizes        map[int]model.Resources // of running tasks: the larger of declared and measured
	restarts     map[int]int
	largestUsage model.Resources // largest measured usage of the job's tasks
	remaining    int
	failed       bool
	stopped      bool
	queued       bool
}

// newFCFS returns a baseline that serves strictly in the order of arrival.
func newFCFS() *baseline {
	return newBaseline(1, false, func(*model.Job) int { return 0 })
}

// newPriority returns a baseline that serves urgent direct requests, other direct
// requests, services and the rest strictly in this order, and tries jobs behind a
// blocked one.
func newPriority() *baseline {
	return newBaseline(4, true, func(j *model.Job) int {
		switch {
		case j.Policy == model.PolicyDirect && j.Urgent:
			return 0
		case j.Policy == model.PolicyDirect:
			return 1
		case j.Policy == model.PolicyService:
			return 2
		}
		return 3
	})
}

func newBaseline(queues int, skipBlocked bool, priority func(*model.Job) int) *baseline {
	return &baseline{
		priority: priority, skipBlocked: skipBlocked, byName: map[string]*baseWorker{},
		queues: make([][]*baseJob, queues), jobs: map[model.JobID]*baseJob{},
	}
}

// NextWake returns false: a baseline has no timers.
func (b *baseline) NextWake() (time.Time, bool) { return time.Time{}, false }

// Handle handles one event as Core.Handle does.
func (b *baseline) Handle(_ time.Time, ev sched.Event) []sched.Decision {
	b.decisions, b.oversized = b.decisions[:0], b.oversized[:0]
	switch ev := ev.(type) {
	case sched.ConfigChanged:
		b.cfg = ev.Config
	case sched.WorkerChanged:
		b.workerChanged(ev)
	case sched.JobAdded:
		b.jobAdded(ev.Job)
	case sched.JobCancelled:
		b.jobCancelled(ev.Job)
	case sched.TaskEnded:
		b.taskEnded(ev)
	case sched.UsageReported:
		b.usageReported(ev)
	default:
		return nil
	}
	b.place()
	return b.decisions
}

func (b *baseline) workerChanged(ev sched.WorkerChanged) {
	w := b.byName[ev.Worker.ID]
	if w == nil {
		w = &baseWorker{spec: ev.Worker, free: ev.Worker.Capacity, freeConnections: ev.Worker.Connections, running: map[model.TaskID]bool{}}
		b.byName[ev.Worker.ID] = w
		b.workers = append(b.workers, w)
	}
	w.ready = ev.State == sched.WorkerReady
	if ev.State != sched.WorkerGone {
		return
	}
	var lost []model.TaskID
	for id := range w.running {
		lost = append(lost, id)
	}
	slices.SortFunc(lost, func(a, c model.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, c.Job), cmp.Compare(a.Index, c.Index))
	})
	for _, id := range lost {
		b.taskEnded(sched.TaskEnded{Task: id, Attempt: b.jobs[id.Job].attempts[id.Index], End: sched.EndLeaseExpired})
	}
}

func (b *baseline) jobAdded(spec model.Job) {
	j := &baseJob{spec: spec, attempts: map[int]int{}, workers: map[int]*baseWorker{}, sizes: map[int]model.Resources{}, restarts: map[int]int{}, remaining: spec.Tasks}
	for i := range spec.Tasks {
		j.ready = append(j.ready, i)
	}
	b.jobs[spec.ID] = j
	b.enqueue(j)
}

func (b *baseline) enqueue(j *baseJob) {
	if !j.queued && !j.stopped {
		j.queued = true
		p := b.priority(&j.spec)
		b.queues[p] = append(b.queues[p], j)
	}
}

func (b *baseline) jobCancelled(id model.JobID) {
	j := b.jobs[id]
	if j == nil || j.stopped {
		return
	}
	j.stopped = true
	j.remaining -= len(j.ready)
	j.ready = nil
	for i := range j.spec.Tasks {
		if w := j.workers[i]; w != nil {
			b.decisions = append(b.decisions, sched.PreemptTask{Task: model.TaskID{Job: id, Index: i}, Attempt: j.attempts[i], Worker: w.spec.ID, Step: sched.PreemptStop})
		}
	}
	b.finish(j)
}

func (b *baseline) taskEnded(ev sched.TaskEnded) {
	j := b.jobs[ev.Task.Job]
	if j == nil || j.workers[ev.Task.Index] == nil || j.attempts[ev.Task.Index] != ev.Attempt {
		return
	}
	w := j.workers[ev.Task.Index]
	delete(j.workers, ev.Task.Index)
	delete(w.running, ev.Task)
	w.free = w.free.Add(j.sizes[ev.Task.Index])
	w.freeConnections += j.connections()
	if ev.End != sched.EndDone && !j.stopped && j.spec.Task.Idempotent && j.restarts[ev.Task.Index] < config.DefaultMaxRestarts {
		j.restarts[ev.Task.Index]++
		j.ready = append(j.ready, ev.Task.Index)
		b.enqueue(j)
		return
	}
	j.failed = j.failed || ev.End != sched.EndDone
	j.remaining--
	b.finish(j)
}

// usageReported raises the size of a running task, and of the tasks of its job that
// start later, to the measured usage if that is larger.
func (b *baseline) usageReported(ev sched.UsageReported) {
	j := b.jobs[ev.Task.Job]
	if j == nil || j.workers[ev.Task.Index] == nil || j.attempts[ev.Task.Index] != ev.Attempt {
		return
	}
	w, old := j.workers[ev.Task.Index], j.sizes[ev.Task.Index]
	j.sizes[ev.Task.Index] = old.Max(ev.Usage)
	j.largestUsage = j.largestUsage.Max(ev.Usage)
	w.free = w.free.Add(old).Sub(j.sizes[ev.Task.Index])
}

func (b *baseline) finish(j *baseJob) {
	if j.remaining > 0 {
		return
	}
	delete(b.jobs, j.spec.ID)
	outcome := model.OutcomeDone
	if j.failed || j.stopped {
		outcome = model.OutcomeFailed
	}
	b.decisions = append(b.decisions, sched.JobEnded{Job: j.spec.ID, Outcome: outcome})
}

// nextSize returns the size that the next task of j is counted with.
func (j *baseJob) nextSize() model.Resources { return j.spec.Task.Resources.Max(j.largestUsage) }

func (j *baseJob) connections() int {
	if j.spec.Policy == model.PolicyDirect {
		return max(j.spec.Task.Connections, 1)
	}
	return j.spec.Task.Connections
}

func (b *baseline) place() {
	for p := range b.queues {
		b.placeQueue(p)
	}
}

// placeQueue starts jobs from the front of a queue. The blocked jobs are moved to the
// front of the jobs not tried, so that the cost does not depend on the length of the
// queue.
func (b *baseline) placeQueue(p int) {
	queue := b.queues[p]
	var blocked []*baseJob
	tried := 0
	for tried < len(queue) && len(blocked) < maxBlocked {
		j := queue[tried]
		tried++
		b.startAll(j)
		if len(j.ready) == 0 {
			j.queued = false
			continue
		}
		blocked = append(blocked, j)
		if !b.skipBlocked {
			break
		}
	}
	copy(queue[tried-len(blocked):tried], blocked)
	b.queues[p] = queue[tried-len(blocked):]
}

// startAll starts as many tasks of j as fit; for a gang, all or none.
func (b *baseline) startAll(j *baseJob) {
	if j.spec.Policy == model.PolicyGang && !b.gangFits(j) {
		return
	}
	for len(j.ready) > 0 {
		w := b.firstFit(j)
		if w == nil {
			return
		}
		b.start(j, w)
	}
}

func (b *baseline) firstFit(j *baseJob) *baseWorker {
	need := j.nextSize()
	if slices.ContainsFunc(b.oversized, func(size model.Resources) bool { return size.Fits(need) }) {
		return nil
	}
	for _, w := range b.workers {
		if w.ready && need.Fits(w.free) && w.freeConnections >= j.connections() && b.inService(w) {
			return w
		}
	}
	b.oversized = append(b.oversized, need)
	return nil
}

func (b *baseline) gangFits(j *baseJob) bool {
	need, size := len(j.ready), j.nextSize()
	for _, w := range b.workers {
		free := w.free
		for w.ready && b.inService(w) && need > 0 && size.Fits(free) {
			free = free.Sub(size)
			need--
		}
	}
	return need == 0
}

func (b *baseline) inService(w *baseWorker) bool {
	for _, az := range b.cfg.AZs {
		if az.Name == w.spec.AZ {
			return az.InService
		}
	}
	return false
}

func (b *baseline) start(j *baseJob, w *baseWorker) {
	i := j.ready[0]
	j.ready = j.ready[1:]
	j.attempts[i]++
	j.workers[i] = w
	id := model.TaskID{Job: j.spec.ID, Index: i}
	w.running[id] = true
	j.sizes[i] = j.nextSize()
	w.free = w.free.Sub(j.sizes[i])
	w.freeConnections -= j.connections()
	b.decisions = append(b.decisions, sched.StartTask{Task: id, Attempt: j.attempts[i], Worker: w.spec.ID, Size: j.sizes[i]})
}

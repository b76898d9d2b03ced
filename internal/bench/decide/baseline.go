package decide

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// scheduler is what the day is run against: the core or a baseline.
type scheduler interface {
	Handle(now time.Time, ev sched.Event) []sched.Decision
	NextWake() (time.Time, bool)
}

// baseline is a plain scheduler: queues in order of priority, first come first
// served, first fit. It knows neither shares nor preemption nor reservations.
type baseline struct {
	priority func(*model.Job) int
	// skip has jobs behind one that does not fit tried, too.
	skip    bool
	cfg     *config.Config
	workers []*baseWorker
	byName  map[string]*baseWorker
	queues  [][]*baseJob
	jobs    map[model.JobID]*baseJob
	out     []sched.Decision
	// full holds the sizes that no worker had room for in this event, so that
	// equal or larger ones need no search.
	full []model.Resources
}

// skipDepth bounds how many jobs behind a blocked one are tried.
const skipDepth = 64

type baseWorker struct {
	spec  model.WorkerSpec
	ready bool
	free  model.Resources
	conns int
	runs  map[model.TaskID]bool
}

type baseJob struct {
	spec     model.Job
	ready    []int
	attempts map[int]int
	on       map[int]*baseWorker
	size     map[int]model.Resources // of running tasks, as declared or measured
	restarts map[int]int
	largest  model.Resources // measured
	left     int
	failed   bool
	stopped  bool
	queued   bool
}

// newFCFS serves strictly in the order of arrival.
func newFCFS() *baseline {
	return newBaseline(1, false, func(*model.Job) int { return 0 })
}

// newPriority serves urgent requests, direct requests, services and the rest
// strictly in this order and tries work behind a blocked job.
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

func newBaseline(queues int, skip bool, priority func(*model.Job) int) *baseline {
	return &baseline{
		priority: priority, skip: skip, byName: map[string]*baseWorker{},
		queues: make([][]*baseJob, queues), jobs: map[model.JobID]*baseJob{},
	}
}

// NextWake returns no time: a baseline has no timers.
func (b *baseline) NextWake() (time.Time, bool) { return time.Time{}, false }

// Handle takes one event as Core.Handle does.
func (b *baseline) Handle(_ time.Time, ev sched.Event) []sched.Decision {
	b.out, b.full = b.out[:0], b.full[:0]
	switch ev := ev.(type) {
	case sched.ConfigChanged:
		b.cfg = ev.Config
	case sched.WorkerChanged:
		b.workerChanged(ev)
	case sched.JobAdded:
		b.added(ev.Job)
	case sched.JobCancelled:
		b.cancelled(ev.Job)
	case sched.TaskEnded:
		b.ended(ev)
	case sched.UsageReported:
		b.measured(ev)
	default:
		return nil
	}
	b.place()
	return b.out
}

func (b *baseline) workerChanged(ev sched.WorkerChanged) {
	w := b.byName[ev.Worker.ID]
	if w == nil {
		w = &baseWorker{spec: ev.Worker, free: ev.Worker.Capacity, conns: ev.Worker.Connections, runs: map[model.TaskID]bool{}}
		b.byName[ev.Worker.ID] = w
		b.workers = append(b.workers, w)
	}
	w.ready = ev.State == sched.WorkerReady
	if ev.State != sched.WorkerGone {
		return
	}
	var lapsed []model.TaskID
	for id := range w.runs {
		lapsed = append(lapsed, id)
	}
	slices.SortFunc(lapsed, func(a, c model.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, c.Job), cmp.Compare(a.Index, c.Index))
	})
	for _, id := range lapsed {
		b.ended(sched.TaskEnded{Task: id, Attempt: b.jobs[id.Job].attempts[id.Index], End: sched.EndLeaseExpired})
	}
}

func (b *baseline) added(spec model.Job) {
	j := &baseJob{spec: spec, attempts: map[int]int{}, on: map[int]*baseWorker{}, size: map[int]model.Resources{}, restarts: map[int]int{}, left: spec.Tasks}
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

func (b *baseline) cancelled(id model.JobID) {
	j := b.jobs[id]
	if j == nil || j.stopped {
		return
	}
	j.stopped = true
	j.left -= len(j.ready)
	j.ready = nil
	for i := range j.spec.Tasks {
		if w := j.on[i]; w != nil {
			b.out = append(b.out, sched.PreemptTask{Task: model.TaskID{Job: id, Index: i}, Attempt: j.attempts[i], Worker: w.spec.ID, Step: sched.PreemptStop})
		}
	}
	b.finish(j)
}

func (b *baseline) ended(ev sched.TaskEnded) {
	j := b.jobs[ev.Task.Job]
	if j == nil || j.on[ev.Task.Index] == nil || j.attempts[ev.Task.Index] != ev.Attempt {
		return
	}
	w := j.on[ev.Task.Index]
	delete(j.on, ev.Task.Index)
	delete(w.runs, ev.Task)
	w.free = w.free.Add(j.size[ev.Task.Index])
	w.conns += j.conns()
	if ev.End != sched.EndDone && !j.stopped && j.spec.Task.Idempotent && j.restarts[ev.Task.Index] < config.DefaultMaxRestarts {
		j.restarts[ev.Task.Index]++
		j.ready = append(j.ready, ev.Task.Index)
		b.enqueue(j)
		return
	}
	j.failed = j.failed || ev.End != sched.EndDone
	j.left--
	b.finish(j)
}

// measured counts a running task, and those of its job that start later, as
// what it was measured to use, if that is more than it declared.
func (b *baseline) measured(ev sched.UsageReported) {
	j := b.jobs[ev.Task.Job]
	if j == nil || j.on[ev.Task.Index] == nil || j.attempts[ev.Task.Index] != ev.Attempt {
		return
	}
	w, old := j.on[ev.Task.Index], j.size[ev.Task.Index]
	j.size[ev.Task.Index] = old.Max(ev.Usage)
	j.largest = j.largest.Max(ev.Usage)
	w.free = w.free.Add(old).Sub(j.size[ev.Task.Index])
}

func (b *baseline) finish(j *baseJob) {
	if j.left > 0 {
		return
	}
	delete(b.jobs, j.spec.ID)
	outcome := model.OutcomeDone
	if j.failed || j.stopped {
		outcome = model.OutcomeFailed
	}
	b.out = append(b.out, sched.JobEnded{Job: j.spec.ID, Outcome: outcome})
}

// next returns what the next task of j counts as.
func (j *baseJob) next() model.Resources { return j.spec.Task.Resources.Max(j.largest) }

func (j *baseJob) conns() int {
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

// placeQueue starts jobs from the front of a queue. The jobs that stay are
// moved up to those that were not looked at, so the cost does not grow with
// the queue.
func (b *baseline) placeQueue(p int) {
	queue := b.queues[p]
	var blocked []*baseJob
	seen := 0
	for seen < len(queue) && len(blocked) < skipDepth {
		j := queue[seen]
		seen++
		b.startAll(j)
		if len(j.ready) == 0 {
			j.queued = false
			continue
		}
		blocked = append(blocked, j)
		if !b.skip {
			break
		}
	}
	copy(queue[seen-len(blocked):seen], blocked)
	b.queues[p] = queue[seen-len(blocked):]
}

// startAll starts as many tasks of j as fit; of a gang all or none.
func (b *baseline) startAll(j *baseJob) {
	if j.spec.Policy == model.PolicyGang && !b.holds(j) {
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
	need := j.next()
	if slices.ContainsFunc(b.full, func(full model.Resources) bool { return full.Fits(need) }) {
		return nil
	}
	for _, w := range b.workers {
		if w.ready && need.Fits(w.free) && w.conns >= j.conns() && b.inService(w) {
			return w
		}
	}
	b.full = append(b.full, need)
	return nil
}

func (b *baseline) holds(j *baseJob) bool {
	need, size := len(j.ready), j.next()
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
	j.on[i] = w
	id := model.TaskID{Job: j.spec.ID, Index: i}
	w.runs[id] = true
	j.size[i] = j.next()
	w.free = w.free.Sub(j.size[i])
	w.conns -= j.conns()
	b.out = append(b.out, sched.StartTask{Task: id, Attempt: j.attempts[i], Worker: w.spec.ID, Size: j.size[i]})
}

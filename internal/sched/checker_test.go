package sched

import (
	"fmt"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// checker follows the events and decisions of a core and keeps its own accounts, which
// share no code with those of the core but model.Resources.
type checker struct {
	now      time.Time
	cfg      *config.Config
	workers  map[string]*checkedWorker
	jobs     map[model.JobID]*checkedJob
	grants   map[string]GrantChanged
	running  map[model.TaskID]*checkedAttempt
	preempts []time.Time
}

type checkedWorker struct {
	spec        model.WorkerSpec
	state       WorkerState
	quarantined bool
}

type checkedJob struct {
	spec        model.Job
	lastAttempt map[int]int  // highest attempt number per task
	mayHaveRun  map[int]bool // an attempt may have run
	finished    map[int]bool
	cancelled   bool
	ended       bool
}

type checkedAttempt struct {
	job         *checkedJob
	index       int
	number      int
	worker      string
	size        model.Resources
	connections int
}

func newChecker() *checker {
	return &checker{
		workers: map[string]*checkedWorker{}, jobs: map[model.JobID]*checkedJob{},
		grants: map[string]GrantChanged{}, running: map[model.TaskID]*checkedAttempt{},
	}
}

// observeEvent records an event before the core handles it.
func (k *checker) observeEvent(now time.Time, ev Event) {
	k.now = now
	switch ev := ev.(type) {
	case ConfigChanged:
		k.cfg = ev.Config
	case WorkerChanged:
		k.workerChanged(ev)
	case JobAdded:
		k.job(ev.Job).lastAttempt[0] = max(k.job(ev.Job).lastAttempt[0], ev.LastAttempt)
	case JobCancelled:
		if j := k.jobs[ev.Job]; j != nil {
			j.cancelled = true
		}
	case TaskAdopted:
		k.taskAdopted(ev)
	case StartRefused:
		if a := k.findAttempt(ev.Task, ev.Attempt); a != nil {
			delete(k.running, ev.Task)
		}
	case TaskEnded:
		if a := k.findAttempt(ev.Task, ev.Attempt); a != nil {
			k.attemptEnded(a, ev.End)
		}
	case UsageReported:
		if a := k.findAttempt(ev.Task, ev.Attempt); a != nil {
			a.size = a.size.Max(ev.Usage)
		}
	case GrantChanged:
		k.grants[ev.Team] = ev
	}
}

func (k *checker) workerChanged(ev WorkerChanged) {
	w := k.workers[ev.Worker.ID]
	if w == nil {
		w = &checkedWorker{}
		k.workers[ev.Worker.ID] = w
	}
	w.spec, w.state = ev.Worker, ev.State
	if ev.State != WorkerGone {
		return
	}
	for _, a := range k.running {
		if a.worker == ev.Worker.ID {
			k.attemptEnded(a, EndLeaseExpired)
		}
	}
}

func (k *checker) job(spec model.Job) *checkedJob {
	j := k.jobs[spec.ID]
	if j == nil || j.ended {
		j = &checkedJob{spec: spec, lastAttempt: map[int]int{}, mayHaveRun: map[int]bool{}, finished: map[int]bool{}}
		k.jobs[spec.ID] = j
	}
	return j
}

func (k *checker) taskAdopted(ev TaskAdopted) {
	j := k.job(ev.Job)
	id := model.TaskID{Job: ev.Job.ID, Index: ev.Index}
	j.lastAttempt[ev.Index] = max(j.lastAttempt[ev.Index], ev.Attempt)
	j.mayHaveRun[ev.Index] = true
	k.running[id] = &checkedAttempt{j, ev.Index, ev.Attempt, ev.Worker, j.size().Max(ev.Size), j.connections()}
}

func (k *checker) findAttempt(id model.TaskID, number int) *checkedAttempt {
	if a := k.running[id]; a != nil && a.number == number {
		return a
	}
	return nil
}

func (k *checker) attemptEnded(a *checkedAttempt, end End) {
	a.job.mayHaveRun[a.index] = true
	if end == EndDone && (a.job.spec.Policy != model.PolicyService || !a.job.spec.Task.Idempotent || a.job.cancelled) {
		a.job.finished[a.index] = true
	}
	delete(k.running, model.TaskID{Job: a.job.spec.ID, Index: a.index})
}

// size returns the minimum size of a task: every task takes a slot, except direct
// requests.
func (j *checkedJob) size() model.Resources {
	size := j.spec.Task.Resources
	if j.spec.Policy != model.PolicyDirect {
		size.Slots = max(size.Slots, 1)
	}
	return size
}

func (j *checkedJob) connections() int {
	n := j.spec.Task.Connections
	if j.spec.Policy == model.PolicyDirect {
		n = max(n, 1)
	}
	return n
}

// checkDecisions checks the decisions that the core emitted.
func (k *checker) checkDecisions(ds []Decision) error {
	gangs := map[*checkedJob]int{}
	for _, d := range ds {
		if err := k.checkDecision(d, gangs); err != nil {
			return fmt.Errorf("%w: %+v", err, d)
		}
	}
	for j, n := range gangs {
		if n != max(j.spec.Tasks, 1)-len(j.finished) {
			return fmt.Errorf("gang %s: %d tasks started of %d that are not over", j.spec.ID, n, j.spec.Tasks-len(j.finished))
		}
	}
	return nil
}

func (k *checker) checkDecision(d Decision, gangs map[*checkedJob]int) error {
	switch d := d.(type) {
	case StartTask:
		if j := k.jobs[d.Task.Job]; j != nil && j.spec.Policy == model.PolicyGang && j.spec.Task.Idempotent {
			gangs[j]++
		}
		return k.checkStart(d)
	case PreemptTask:
		return k.checkPreemption(d)
	case JobEnded:
		return k.checkJobEnd(d)
	case WorkerHealthChanged:
		k.workers[d.Worker].quarantined = d.Quarantined
	}
	return nil
}

func (k *checker) checkStart(d StartTask) error {
	j := k.jobs[d.Task.Job]
	switch {
	case j == nil || j.ended || j.cancelled:
		return fmt.Errorf("start of a job that is unknown, over or cancelled")
	case k.running[d.Task] != nil:
		return fmt.Errorf("task is already running")
	case j.finished[d.Task.Index]:
		return fmt.Errorf("task is over")
	case d.Attempt <= j.lastAttempt[d.Task.Index]:
		return fmt.Errorf("attempt number does not increase")
	case !j.spec.Task.Idempotent && j.mayHaveRun[d.Task.Index]:
		return fmt.Errorf("second start of work that is not idempotent")
	case !j.size().Fits(d.Size):
		return fmt.Errorf("size below the declared one")
	}
	j.lastAttempt[d.Task.Index] = d.Attempt
	k.running[d.Task] = &checkedAttempt{j, d.Task.Index, d.Attempt, d.Worker, d.Size, j.connections()}
	if err := k.checkWorker(d.Worker); err != nil {
		return err
	}
	return k.checkTeam(j.spec.Team)
}

func (k *checker) checkWorker(id string) error {
	w := k.workers[id]
	if w == nil || w.state != WorkerReady || w.quarantined {
		return fmt.Errorf("worker is unknown, not ready or quarantined")
	}
	for _, az := range k.cfg.AZs {
		if az.Name == w.spec.AZ && !az.InService {
			return fmt.Errorf("AZ is out of service")
		}
	}
	used, conns := model.Resources{}, 0
	for _, a := range k.running {
		if a.worker == id {
			used = used.Add(a.size)
			conns += a.connections
		}
	}
	if !used.Fits(w.spec.Capacity) || conns > w.spec.Connections {
		return fmt.Errorf("worker %s is overcommitted: %v, %d connections", id, used, conns)
	}
	return nil
}

func (k *checker) checkTeam(name string) error {
	used := model.Resources{}
	for _, a := range k.running {
		if a.job.spec.Team == name {
			used = used.Add(a.size)
		}
	}
	grant, limited := k.grants[name], model.Resources{}
	known := false
	for _, o := range k.cfg.Organisations {
		for _, t := range o.Teams {
			if t.Name == name {
				known, limited = true, t.Limit
			}
		}
	}
	_, granted := k.grants[name]
	switch {
	case !known:
		return fmt.Errorf("team is not configured")
	case grant.None, !granted && !limited.IsZero():
		return fmt.Errorf("team holds no grant")
	case !withinLimit(used, grant.Grant) || !withinLimit(used, limited):
		return fmt.Errorf("team is over its grant or limit: %v", used)
	}
	return nil
}

// withinLimit reports whether used is at most limit, whose zero components are
// unlimited.
func withinLimit(used, limit model.Resources) bool {
	ok := func(u, l int64) bool { return l == 0 || u <= l }
	return ok(used.MilliCores, limit.MilliCores) && ok(used.MemoryMB, limit.MemoryMB) &&
		ok(used.Accelerators, limit.Accelerators) && ok(used.Slots, limit.Slots)
}

func (k *checker) checkPreemption(d PreemptTask) error {
	a := k.findAttempt(d.Task, d.Attempt)
	switch {
	case a == nil:
		return fmt.Errorf("preemption of an attempt that does not run")
	case a.worker != d.Worker:
		return fmt.Errorf("preemption on the wrong worker")
	case !a.job.spec.Task.Idempotent && !a.job.cancelled:
		return fmt.Errorf("preemption of work that is not idempotent")
	case a.job.spec.Policy == model.PolicyDirect && !a.job.cancelled:
		return fmt.Errorf("preemption of a direct request")
	}
	if d.Step != PreemptCheckpoint {
		return nil
	}
	k.preempts = append(k.preempts, k.now)
	recent := 0
	for _, t := range k.preempts {
		if k.now.Sub(t) < time.Minute {
			recent++
		}
	}
	if recent > k.cfg.Policy.PreemptionBudget() {
		return fmt.Errorf("preemption budget exceeded")
	}
	return nil
}

func (k *checker) checkJobEnd(d JobEnded) error {
	j := k.jobs[d.Job]
	if j == nil || j.ended {
		return fmt.Errorf("end of a job that is unknown or over")
	}
	for id := range k.running {
		if id.Job == d.Job {
			return fmt.Errorf("job ended while task %d runs", id.Index)
		}
	}
	if d.Outcome == model.OutcomeNotRun && len(j.mayHaveRun) > 0 {
		return fmt.Errorf("not_run of a job that may have run")
	}
	if d.Outcome == model.OutcomeDone && len(j.finished) != max(j.spec.Tasks, 1) {
		return fmt.Errorf("done with %d of %d tasks done", len(j.finished), j.spec.Tasks)
	}
	j.ended = true
	return nil
}

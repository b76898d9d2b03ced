package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// taskState is where a task stands.
type taskState int

const (
	taskPending  taskState = iota
	taskAssigned           // recorded for a worker; the order is unsent or unanswered
	taskRunning
	taskStopping
	taskDone
)

// occupies reports whether a task in this state may be running.
func (s taskState) occupies() bool {
	return s == taskAssigned || s == taskRunning || s == taskStopping
}

// task is one task of a step.
type task struct {
	state  taskState
	run    int // number of the latest run
	worker string
	born   int64 // life of the worker
	fails  int
	lost   time.Duration // what its runs have taken that failed
	saved  string        // latest checkpoint

	confirmed  time.Time // when the start was answered; zero if it was not
	stopSent   time.Time
	stopped    time.Time // when the stop was answered
	percent    int
	progressed time.Time // when percent last changed
	// The run's pace is measured from a moment and the percent that it had then.
	paceFrom    time.Time
	pacePercent int
	measured    bool    // the length of this task counts in what is known of the step
	load        float64 // of a service: its tail latency in milliseconds
	paced       int     // percent of its speed, of a filling task
	urgent      bool    // counted as urgent when it was placed
}

// step is a step of one occurrence.
type step struct {
	job     *job
	id      workload.StepID
	spec    *workload.Step
	tasks   []task
	pending int // tasks in state pending
	busy    int // tasks that may be running
	done    int
	// failedRun is the latest run of a gang that failed, so that several members'
	// ends count as one failure; fails counts them.
	failedRun int
	fails     int
	saved     string // latest checkpoint of a gang
	// failures counts the runs of tasks, or of the gang, that failed; lost is what those of
	// one task have taken at most.
	failures int
	lost     time.Duration
	avoid    map[string]int // failures of this step by worker
	advice   adviceState
	measured measured
	ends     time.Time // when a gang that runs is likely to end, as of endsAsOf
	endsAsOf time.Time
	heldFrom time.Time // when room kept for this gang should be free; zero if none is
}

// occurrence is one run through the steps.
type occurrence struct {
	k     int
	steps []*step
	objective
}

// job is an accepted job.
type job struct {
	spec    *workload.Job
	occ     []*occurrence // in progress
	nextOcc int           // the next occurrence to create
	state   workload.State
	shown   workload.State // as stored; what callers are told
	begun   bool           // a worker has begun a task
	excess  bool           // beyond its team's rate
	home    string         // AZ of the task placed last
	dirty   bool
	starts  []Start // decided, to be sent after the next commit
	marked  bool    // its row has been replaced by a mark
	endedAt int64   // Unix milliseconds at which the final state was decided
	// restored is set for a job that an earlier term had already.
	restored bool
}

// visible is the state that callers are told: only what is stored, except that
// a running job needs no proof.
func (j *job) visible() workload.State {
	switch {
	case j.shown.Final():
		return j.shown
	case j.begun:
		return workload.Running
	default:
		return workload.Queued
	}
}

// touch marks a job for the next commit.
func (c *Core) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// AddJob takes an accepted job. A job that is known already is left alone.
func (c *Core) AddJob(spec *workload.Job, now time.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := &job{spec: spec, state: workload.Queued, shown: workload.Queued}
	c.jobs[spec.ID] = j
	c.active[spec.ID] = j
	c.rate(j)
	c.openOccurrences(j, now)
	c.changed = true
	c.emit("job taken over from the store", "job", spec.ID, "queue", spec.Queue, "team", spec.Team,
		"steps", len(spec.Steps), "excess", j.excess)
}

// rate sets whether the job exceeds its team's rate.
func (c *Core) rate(j *job) {
	if c.cell == nil {
		return
	}
	team := c.cell.Team(j.spec.Team)
	if team == nil || team.Weight <= 0 {
		return
	}
	m := c.rates[team.Name]
	if m == nil {
		m = &rateMeter{}
		c.rates[team.Name] = m
	}
	j.excess = m.exceeds(team.Weight, j.spec.AcceptedAt)
}

// openOccurrences creates the occurrences that are due.
func (c *Core) openOccurrences(j *job, now time.Time) {
	for j.nextOcc < j.spec.Occurrences() && !now.Before(millisOf(j.spec.Due(j.nextOcc))) {
		j.occ = append(j.occ, newOccurrence(j, j.nextOcc))
		j.nextOcc++
		c.changed = true
	}
}

func newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{k: k}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		o.steps = append(o.steps, &step{
			job: j, id: workload.StepID{Job: j.spec.ID, Occurrence: k, Step: i},
			spec: spec, tasks: make([]task, spec.Tasks), pending: spec.Tasks,
		})
	}
	return o
}

// ready reports whether the steps before s are done.
func (o *occurrence) ready(s *step) bool {
	for _, before := range s.spec.After {
		if !o.steps[before].finished() {
			return false
		}
	}
	return true
}

func (s *step) finished() bool { return s.done == len(s.tasks) }

func (o *occurrence) finished() bool {
	for _, s := range o.steps {
		if !s.finished() {
			return false
		}
	}
	return true
}

// find returns the task of that name, or nil.
func (c *Core) find(id workload.TaskID) (*step, *task) {
	j := c.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	for _, o := range j.occ {
		if o.k == id.Occurrence && id.Step < len(o.steps) && id.Index < len(o.steps[id.Step].tasks) {
			s := o.steps[id.Step]
			return s, &s.tasks[id.Index]
		}
	}
	return nil, nil
}

// Cancel ends a job at its caller's wish.
func (c *Core) Cancel(id string, now time.Time) {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	c.emit("job cancelled", "job", id)
	c.finish(j, workload.Cancelled, now)
}

// finish ends a job and stops what runs of it.
func (c *Core) finish(j *job, state workload.State, now time.Time) {
	j.state = state
	j.endedAt = now.UnixMilli()
	j.starts = nil
	c.touch(j)
	for _, o := range j.occ {
		for _, s := range o.steps {
			for i := range s.tasks {
				if s.tasks[i].state.occupies() {
					c.stop(s, i)
				}
			}
		}
	}
	if j.idle() {
		delete(c.active, j.spec.ID)
	}
	c.changed = true
}

// idle reports whether no task of the job may be running.
func (j *job) idle() bool {
	for _, o := range j.occ {
		for _, s := range o.steps {
			if s.busy > 0 {
				return false
			}
		}
	}
	return true
}

// stop orders a run to end. The task keeps its place until the end is known.
func (c *Core) stop(s *step, i int) {
	t := &s.tasks[i]
	if t.state == taskStopping {
		return
	}
	t.state = taskStopping
	c.stopsDue = true
	t.stopSent, t.stopped = time.Time{}, time.Time{}
}

// taskID names the i-th task of the step.
func (s *step) taskID(i int) workload.TaskID { return workload.TaskID{StepID: s.id, Index: i} }

// AboutToEnd reports whether a job is about to end: its final state is decided and not stored
// yet, or all of its tasks that are not done run.
func (c *Core) AboutToEnd(id string) bool {
	j := c.jobs[id]
	if j == nil || j.shown.Final() {
		return false
	}
	if j.state.Final() {
		return true
	}
	if j.nextOcc < j.spec.Occurrences() {
		return false
	}
	for _, o := range j.occ {
		for _, s := range o.steps {
			if s.pending > 0 || s.spec.Service {
				return false
			}
		}
	}
	return true
}

// RestoreEnded takes a job that has ended and whose row is a mark.
func (c *Core) RestoreEnded(id string, state workload.State, endedAt int64) {
	if c.jobs[id] == nil {
		c.jobs[id] = &job{spec: &workload.Job{ID: id}, state: state, shown: state, endedAt: endedAt, marked: true}
	}
}

// filledCores returns the thousandths of a core that a filling task would use.
func (s *step) filledCores() int64 {
	if !s.spec.BestEffort {
		return 0
	}
	return s.spec.Resources.MilliCores
}

// occupy charges a task to its worker and team.
func (c *Core) occupy(w *worker, s *step, i int) {
	w.tasks[s.taskID(i)] = struct{}{}
	c.touched[w.info.ID] = true
	w.used = w.used.Add(s.spec.RequiredCapacity())
	w.filled += s.filledCores()
	c.usage[s.job.spec.Team] = c.usage[s.job.spec.Team].Add(s.spec.Resources)
	if t := &s.tasks[i]; c.urgent(s) {
		t.urgent = true
		c.urgentUsed += s.spec.RequiredCapacity().MilliCores
	}
}

// vacate ends a task's stay on its worker. The caller sets the new state.
func (c *Core) vacate(s *step, i int) {
	t := &s.tasks[i]
	if w := c.workers[t.worker]; w != nil {
		delete(w.tasks, s.taskID(i))
		c.touched[w.info.ID] = true
		w.used = w.used.Sub(s.spec.RequiredCapacity())
		w.filled -= s.filledCores()
		c.dropIfUnused(w)
	}
	c.usage[s.job.spec.Team] = c.usage[s.job.spec.Team].Sub(s.spec.Resources)
	if t.urgent {
		t.urgent = false
		c.urgentUsed -= s.spec.RequiredCapacity().MilliCores
	}
	s.busy--
	t.worker, t.born = "", 0
	t.paceFrom, t.pacePercent = time.Time{}, 0
	t.confirmed, t.stopSent, t.stopped = time.Time{}, time.Time{}, time.Time{}
	c.changed = true
}

// EndedJob is a job that has ended and of which nothing runs any more.
type EndedJob struct {
	ID      string
	State   workload.State
	EndedAt int64 // Unix milliseconds
}

// JobsWithoutTombstone returns the ended jobs whose rows are still whole.
func (c *Core) JobsWithoutTombstone() []EndedJob {
	var out []EndedJob
	for id, j := range c.jobs {
		if j.over() && !j.marked {
			out = append(out, EndedJob{id, j.state, j.endedAt})
		}
	}
	return out
}

// TombstoneStored takes note that a mark has replaced a job's row.
func (c *Core) TombstoneStored(id string) {
	if j := c.jobs[id]; j != nil {
		j.marked = true
		j.spec, j.occ = &workload.Job{ID: id}, nil
	}
}

// ExpiredTombstones returns the marked jobs that ended before a time.
func (c *Core) ExpiredTombstones(before time.Time) []string {
	var out []string
	for id, j := range c.jobs {
		if j.marked && j.endedAt < before.UnixMilli() {
			out = append(out, id)
		}
	}
	return out
}

// over reports whether the job's final state is stored and nothing of it runs.
func (j *job) over() bool { return j.shown.Final() && j.idle() && !j.dirty }

// RemoveJob drops a final job.
func (c *Core) RemoveJob(id string) {
	delete(c.jobs, id)
	delete(c.active, id)
}

// teamUsage returns what may be running of a team.
func (c *Core) teamUsage(team string) model.Resources { return c.usage[team] }

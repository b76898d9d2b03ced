package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// taskState is the state of a task.
type taskState int

const (
	taskPending  taskState = iota
	taskAssigned           // recorded for a worker; the start order is not sent yet or not answered
	taskRunning
	taskStopping
	taskDone
)

// mayRun reports whether a task in this state may be running.
func (s taskState) mayRun() bool {
	return s == taskAssigned || s == taskRunning || s == taskStopping
}

// task is one task of a step.
type task struct {
	state       taskState
	run         int // number of the latest run
	worker      string
	incarnation int64  // incarnation of the worker whose inventories and ends count for the run
	startedOn   int64  // incarnation of the worker that the run was started on or is listed by
	address     string // of the worker at the start; empty if the run was restored and not reported since
	failures    int
	failedTime  time.Duration // total duration of its failed runs
	checkpoint  string        // latest checkpoint

	startConfirmed time.Time // when the start was confirmed; zero before that
	stopSentAt     time.Time
	stopConfirmed  time.Time // when the stop was confirmed; zero before that
	percent        int
	progressedAt   time.Time // when percent last changed
	listedAt       time.Time // when the latest inventory that lists the run was requested
	// The speed of the run is measured from this time and the percent at this time.
	speedFrom        time.Time
	speedFromPercent int
	durationCounted  bool    // the task's duration is included in step.durations
	load             float64 // as in workload.RunStatus
	throttlePercent  int     // best-effort tasks: percent of full speed; 0 also if this term has not set it
	countedUrgent    bool    // included in urgentHeadroom.urgentUsed

	crashCount
	silent      []silentLoss // runs lost with silent workers since the task was last cleared
	retryAt     time.Time    // it does not start before this time
	startSent   bool         // the start of the run was sent, or may have been
	startSentAt time.Time    // when this term sent it; zero if an earlier one may have
	// unlistedAfterStart is set if the worker answered without the run, startCrashWindow after
	// its start was sent.
	unlistedAfterStart bool
	outlived           bool // the run was seen running for crashWindow
	// startedApart is set if the task isolates and its run was started beside no run of
	// another job that might crash the worker.
	startedApart    bool
	workerRestarted bool // a new incarnation of the worker answered and has not listed the run
	// workerLeaves is set if the worker announced that it leaves while the run was young.
	workerLeaves bool
	// contactUntil is when contact with the incarnation that the run was started on ended, if
	// workerRestarted is set.
	contactUntil time.Time

	reservedCheckpoint int  // room kept for the checkpoint in the stored progress
	checkpointRefused  bool // a checkpoint of this run was not kept

	neighbours *presenceMark // of the current run; nil if its image is not observed
}

// step is a step of one occurrence.
type step struct {
	job     *job
	id      workload.StepID
	spec    *workload.Step
	tasks   []task
	pending int // tasks in state taskPending
	busy    int // tasks that may be running
	done    int
	// lastFailedGangRun is the latest failed run of a gang. Failures of several members
	// in one run count as one failure; gangFailures counts these.
	lastFailedGangRun int
	gangFailures      int
	gangCheckpoint    string // latest checkpoint of a gang
	// failedRuns counts the failed runs of tasks, or of the gang, in this term;
	// maxFailedTime is the largest total duration of one task's failed runs.
	failedRuns       int
	maxFailedTime    time.Duration
	failuresByWorker map[string]int // by worker; a run that stalled counts as well
	suspects         int            // tasks with crashes
	closed           bool           // its occurrence was closed before it began, see closeUntouched
	advice           adviceState
	durations        measuredDurations
	speedSamples     []speedSample // of tasks that ended, until the step is finished
	speedChoice      gangSpeedChoice
	gangEnd          time.Time // when a running gang is expected to end, as of gangEndAsOf
	gangEndAsOf      time.Time
	reservedFrom     time.Time // when the capacity reserved for this gang should be free; zero without reservation
	compared         []comparedRun
	usualTails       map[int64]usualTail // of a service, by the thousandths of a core of the workers
	expectedStart    time.Time           // startAt of its latest reservation by amount
	expected         time.Duration       // expected duration of a task as of expectedIn
	expectedIn       *schedulingPass
}

// occurrence is one execution of the job's steps.
type occurrence struct {
	index int
	steps []*step
	objective
	inTurn bool // it is in pastUseTurns.queue
}

// job is an accepted job.
type job struct {
	spec             *workload.Job
	occurrences      []*occurrence // opened and not closed
	nextOccurrence   int           // index of the next occurrence to open
	state            workload.State
	storedState      workload.State // the state as stored
	begun            bool           // a worker has started a task
	overRate         bool           // exceeds its team's rate
	homeAZ           string         // AZ of the task that was placed last
	dirty            bool
	unstoredOutlived time.Time // since when it is not stored that a run has outlived crashWindow; zero if it is
	starts           []Start   // to be sent after the next commit
	hasTombstone     bool      // its row is replaced by a tombstone
	endedAt          int64     // when the final state was decided, in Unix milliseconds
	// restored is set for a job that was taken over from an earlier term.
	restored bool
	// rowBytes bounds the size of the stored progress, with the room that runs in progress
	// may take, but without what is left out of a row that is too large: addresses and
	// failures. It is 0 until it is measured. rowWorkers are the workers that runs and
	// losses refer to.
	rowBytes     int
	rowWorkers   map[workerLife]bool
	encodedBytes int // size of the stored progress as it was last encoded
}

// reportedState returns the state for callers: the stored state, except that a job counts
// as running as soon as a worker has started a task, even before that is stored.
func (j *job) reportedState() workload.State {
	switch {
	case j.storedState.Final():
		return j.storedState
	case j.begun:
		return workload.Running
	default:
		return workload.Queued
	}
}

// markDirty adds a job to the next commit.
func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

// AddJob adds an accepted job. It ignores a job that is known already.
func (c *Core) AddJob(spec *workload.Job, now time.Time) {
	if c.jobs[spec.ID] != nil || c.isHeld(spec.ID) {
		return
	}
	j := &job{spec: spec, state: workload.Queued, storedState: workload.Queued}
	c.jobs[spec.ID] = j
	c.active[spec.ID] = j
	c.toRank[spec.ID] = j
	c.applyTeamRate(j)
	c.openOccurrences(j, now)
	c.needsScheduling = true
	c.emit("job taken over from the store", "job", spec.ID, "queue", spec.Queue, "team", spec.Team,
		"steps", len(spec.Steps), "excess", j.overRate)
}

// applyTeamRate records whether the job exceeds its team's rate.
func (c *Core) applyTeamRate(j *job) {
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
	j.overRate = m.exceeds(team.Weight, j.spec.AcceptedAt)
}

// openOccurrences opens the occurrences that are due, within the bounds of the tasks and of
// the stored progress; the others open as earlier ones end.
func (c *Core) openOccurrences(j *job, now time.Time) {
	tasks := 0
	for i := range j.spec.Steps {
		tasks += j.spec.Steps[i].Tasks
	}
	for j.nextOccurrence < j.spec.Occurrences() && !now.Before(timeOfMillis(j.spec.Due(j.nextOccurrence))) {
		if open := len(j.occurrences); open > 0 && (open+1)*tasks > workload.MaxTasks || !j.mayOpen() {
			return
		}
		if j.rowBytes > 0 {
			j.rowBytes += j.newOccurrenceBytes()
		}
		j.occurrences = append(j.occurrences, newOccurrence(j, j.nextOccurrence))
		j.nextOccurrence++
		c.needsScheduling = true
	}
}

func newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{index: k}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		o.steps = append(o.steps, &step{
			job: j, id: workload.StepID{Job: j.spec.ID, Occurrence: k, Step: i},
			spec: spec, tasks: make([]task, spec.Tasks), pending: spec.Tasks,
		})
	}
	return o
}

// dependenciesDone reports whether the steps that s depends on are finished.
func (o *occurrence) dependenciesDone(s *step) bool {
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

// findTask returns the task with this ID and its step, or nil.
func (c *Core) findTask(id workload.TaskID) (*step, *task) {
	j := c.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	for _, o := range j.occurrences {
		if o.index == id.Occurrence && id.Step < len(o.steps) && id.Index < len(o.steps[id.Step].tasks) {
			s := o.steps[id.Step]
			return s, &s.tasks[id.Index]
		}
	}
	return nil, nil
}

// Cancel ends a job at its caller's request.
func (c *Core) Cancel(id string, now time.Time) {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	c.emit("job cancelled", "job", id)
	c.finish(j, workload.Cancelled, now)
}

// finish sets the final state of a job and stops its running tasks.
func (c *Core) finish(j *job, state workload.State, now time.Time) {
	j.state = state
	j.endedAt = now.UnixMilli()
	j.starts = nil
	c.markDirty(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				if s.tasks[i].state.mayRun() {
					c.stop(s, i)
				}
			}
		}
	}
	if j.idle() {
		delete(c.active, j.spec.ID)
		delete(c.toRank, j.spec.ID)
	}
	c.needsScheduling = true
}

// idle reports whether no task of the job may be running.
func (j *job) idle() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.busy > 0 {
				return false
			}
		}
	}
	return true
}

// stop begins to stop a run. The task occupies its capacity until the end of the run is
// known.
func (c *Core) stop(s *step, i int) {
	t := &s.tasks[i]
	if t.state == taskStopping {
		return
	}
	t.state = taskStopping
	c.stopsDue = true
	t.stopSentAt, t.stopConfirmed = time.Time{}, time.Time{}
}

// taskID returns the ID of the i-th task of the step.
func (s *step) taskID(i int) workload.TaskID { return workload.TaskID{StepID: s.id, Index: i} }

// AboutToEnd reports whether a job is about to end: its final state is decided but not
// stored, or each of its tasks is done or may be running.
func (c *Core) AboutToEnd(id string) bool {
	j := c.jobs[id]
	if j == nil || j.storedState.Final() {
		return false
	}
	if j.state.Final() {
		return true
	}
	if j.nextOccurrence < j.spec.Occurrences() {
		return false
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.pending > 0 || s.spec.Service {
				return false
			}
		}
	}
	return true
}

// RestoreEnded adds an ended job whose row is a tombstone.
func (c *Core) RestoreEnded(id string, state workload.State, endedAt int64) {
	if c.jobs[id] == nil {
		c.jobs[id] = &job{spec: &workload.Job{ID: id}, state: state, storedState: state, endedAt: endedAt, hasTombstone: true}
	}
}

// bestEffortMilliCores returns the thousandths of a core of one task if the step is
// best-effort, else 0.
func (s *step) bestEffortMilliCores() int64 {
	if !s.spec.BestEffort {
		return 0
	}
	return s.spec.Resources.MilliCores
}

// chargeTask adds a task to the usage of its worker and team.
func (c *Core) chargeTask(w *worker, s *step, i int) {
	w.tasks[s.taskID(i)] = struct{}{}
	c.noteNeighbours(w, s, &s.tasks[i])
	c.changedWorkers[w.info.ID] = true
	w.used = w.used.Add(s.spec.RequiredCapacity())
	w.bestEffortMilliCores += s.bestEffortMilliCores()
	c.usage[s.job.spec.Team] = c.usage[s.job.spec.Team].Add(s.spec.Resources)
	c.countSuspect(&s.tasks[i], 1)
	if t := &s.tasks[i]; c.urgent(s) {
		t.countedUrgent = true
		c.urgentUsed += s.spec.RequiredCapacity().MilliCores
	}
}

// releaseTask removes a task from the usage of its worker and team. The caller sets the
// new state.
func (c *Core) releaseTask(s *step, i int) {
	t := &s.tasks[i]
	c.countSuspect(t, -1)
	c.dropNeighbours(c.workers[t.worker], t)
	if w := c.workers[t.worker]; w != nil {
		delete(w.tasks, s.taskID(i))
		c.changedWorkers[w.info.ID] = true
		w.used = w.used.Sub(s.spec.RequiredCapacity())
		w.bestEffortMilliCores -= s.bestEffortMilliCores()
		c.dropIfUnused(w)
	}
	c.usage[s.job.spec.Team] = c.usage[s.job.spec.Team].Sub(s.spec.Resources)
	if t.countedUrgent {
		t.countedUrgent = false
		c.urgentUsed -= s.spec.RequiredCapacity().MilliCores
	}
	s.busy--
	t.worker, t.incarnation, t.startedOn, t.address = "", 0, 0, ""
	t.speedFrom, t.speedFromPercent = time.Time{}, 0
	t.startSent, t.outlived, t.startedApart, t.workerRestarted, t.checkpointRefused = false, false, false, false, false
	t.workerLeaves = false
	t.startSentAt, t.unlistedAfterStart, t.contactUntil = time.Time{}, false, time.Time{}
	t.reservedCheckpoint = 0
	t.startConfirmed, t.stopSentAt, t.stopConfirmed = time.Time{}, time.Time{}, time.Time{}
	c.needsScheduling = true
}

// EndedJob is a job that has ended and has no running tasks.
type EndedJob struct {
	ID      string
	State   workload.State
	EndedAt int64 // Unix milliseconds
}

// JobsWithoutTombstone returns the ended jobs whose rows are not replaced by tombstones.
func (c *Core) JobsWithoutTombstone() []EndedJob {
	var out []EndedJob
	for id, j := range c.jobs {
		if j.fullyEnded() && !j.hasTombstone {
			out = append(out, EndedJob{id, j.state, j.endedAt})
		}
	}
	return out
}

// TombstoneStored records that a tombstone has replaced a job's row.
func (c *Core) TombstoneStored(id string) {
	if j := c.jobs[id]; j != nil {
		j.hasTombstone = true
		j.spec, j.occurrences = &workload.Job{ID: id}, nil
	}
}

// ExpiredTombstones returns the jobs with tombstones that ended before the given time.
func (c *Core) ExpiredTombstones(before time.Time) []string {
	var out []string
	for id, j := range c.jobs {
		if j.hasTombstone && j.endedAt < before.UnixMilli() {
			out = append(out, id)
		}
	}
	return out
}

// fullyEnded reports whether the job's final state is stored and none of its tasks may be
// running.
func (j *job) fullyEnded() bool { return j.storedState.Final() && j.idle() && !j.dirty }

// RemoveJob removes an ended job.
func (c *Core) RemoveJob(id string) {
	delete(c.jobs, id)
	delete(c.active, id)
	delete(c.toRank, id)
}

// teamUsage returns the resources of a team's tasks that may be running.
func (c *Core) teamUsage(team string) model.Resources { return c.usage[team] }

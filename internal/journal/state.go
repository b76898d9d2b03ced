package journal

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
)

// EndNotStarted is the end of an attempt that was proved never to have started.
const EndNotStarted = "not_started"

// endFailed is equal to sched.EndFailed, which counts towards the restart limit.
const endFailed = "failed"

// State is the durable state of a shard's jobs.
type State struct {
	Jobs map[model.JobID]*Job
}

// Job is an accepted job with its recorded progress.
type Job struct {
	Spec           model.Job
	IdempotencyRow string // key of the table row; empty: none
	Cancelled      bool
	Ended          *JobEnded // nil until the job has ended
	Tasks          map[int]*Task
}

// Task is the newest attempt of one task of a job. Tasks that never started are not
// stored.
type Task struct {
	Attempt    int
	Worker     string
	Boot       string // boot id of the worker at the start
	Started    time.Time
	End        string // sched.End or EndNotStarted; empty: may be running
	Checkpoint string
	Result     []byte
	Error      string
	Failures   int // number of attempts that ended with an error of the task itself
}

// NewState returns an empty state.
func NewState() *State { return &State{Jobs: map[model.JobID]*Job{}} }

// Apply applies one record to the state. It returns ErrCorrupt if the record contradicts
// the state, and ErrUnknownFormat if the record's kind is unknown.
func (s *State) Apply(r *Record) error {
	switch k := r.GetKind().(type) {
	case *Record_JobAccepted:
		return s.acceptJob(k.JobAccepted)
	case *Record_JobCancelled:
		return s.updateJob(k.JobCancelled.GetJobId(), func(j *Job) { j.Cancelled = true })
	case *Record_JobEnded:
		return s.updateJob(k.JobEnded.GetJobId(), func(j *Job) { j.Ended = k.JobEnded })
	case *Record_JobForgotten:
		return s.removeJob(model.JobID(k.JobForgotten.GetJobId()))
	case *Record_TaskStarted:
		return s.startTask(k.TaskStarted)
	case *Record_TaskEnded:
		return s.endTask(k.TaskEnded)
	case *Record_JobMoved:
		return s.moveJob(model.JobID(k.JobMoved.GetJobId()))
	}
	return trace.Wrap(ErrUnknownFormat, "unknown kind of record")
}

func (s *State) acceptJob(r *JobAccepted) error {
	spec := r.GetJob().Model()
	if _, ok := s.Jobs[spec.ID]; ok {
		return trace.Wrap(ErrCorrupt, "job %s is accepted twice", spec.ID)
	}
	if spec.ID == "" || spec.Tasks < 1 {
		return trace.Wrap(ErrCorrupt, "accepted job %q has %d tasks", spec.ID, spec.Tasks)
	}
	s.Jobs[spec.ID] = &Job{Spec: spec, IdempotencyRow: r.GetIdempotencyRow(), Tasks: map[int]*Task{}}
	return nil
}

func (s *State) removeJob(id model.JobID) error {
	j, ok := s.Jobs[id]
	if !ok || j.Ended == nil {
		return trace.Wrap(ErrCorrupt, "removed job %s is unknown or has not ended", id)
	}
	delete(s.Jobs, id)
	return nil
}

func (s *State) moveJob(id model.JobID) error {
	j, ok := s.Jobs[id]
	if !ok || !j.Movable() {
		return trace.Wrap(ErrCorrupt, "moved job %s is unknown or not movable", id)
	}
	delete(s.Jobs, id)
	return nil
}

// Movable reports whether the job is waiting and none of its tasks is recorded as started,
// so that another shard may take it.
func (j *Job) Movable() bool {
	return j.Ended == nil && !j.Cancelled && len(j.Tasks) == 0
}

func (s *State) updateJob(id string, f func(*Job)) error {
	j, ok := s.Jobs[model.JobID(id)]
	if !ok {
		return trace.Wrap(ErrCorrupt, "record refers to unknown job %s", id)
	}
	f(j)
	return nil
}

func (s *State) startTask(r *TaskStarted) error {
	j, ok := s.Jobs[model.JobID(r.GetJobId())]
	if !ok || int(r.GetIndex()) >= j.Spec.Tasks || r.GetIndex() < 0 {
		return trace.Wrap(ErrCorrupt, "started task %s/%d is unknown", r.GetJobId(), r.GetIndex())
	}
	t := j.task(int(r.GetIndex()))
	if int(r.GetAttempt()) <= t.Attempt {
		return trace.Wrap(ErrCorrupt, "task %s/%d: attempt %d started after %d",
			r.GetJobId(), r.GetIndex(), r.GetAttempt(), t.Attempt)
	}
	t.Attempt = int(r.GetAttempt())
	t.Worker = r.GetWorker()
	t.Boot = r.GetBoot()
	t.Started = time.Unix(0, r.GetStartedNs())
	t.End = ""
	return nil
}

// endTask also accepts an attempt without a start record: an idempotent attempt may end
// before its start was written.
func (s *State) endTask(r *TaskEnded) error {
	j, ok := s.Jobs[model.JobID(r.GetJobId())]
	if !ok || int(r.GetIndex()) >= j.Spec.Tasks || r.GetIndex() < 0 {
		return trace.Wrap(ErrCorrupt, "ended task %s/%d is unknown", r.GetJobId(), r.GetIndex())
	}
	t := j.task(int(r.GetIndex()))
	if int(r.GetAttempt()) < t.Attempt {
		return trace.Wrap(ErrCorrupt, "task %s/%d: attempt %d ended after %d started",
			r.GetJobId(), r.GetIndex(), r.GetAttempt(), t.Attempt)
	}
	t.Attempt = int(r.GetAttempt())
	t.End = r.GetEnd()
	t.Result = r.GetResult()
	t.Error = r.GetError()
	if r.GetCheckpoint() != "" {
		t.Checkpoint = r.GetCheckpoint()
	}
	if t.End == endFailed {
		t.Failures++
	}
	return nil
}

func (j *Job) task(index int) *Task {
	t, ok := j.Tasks[index]
	if !ok {
		t = &Task{}
		j.Tasks[index] = t
	}
	return t
}

// snapshot returns the state in stored form, ordered by job id.
func (s *State) snapshot(covers Seq) *Snapshot {
	out := &Snapshot{Covers: int64(covers)}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		out.Jobs = append(out.Jobs, s.Jobs[id].stored())
	}
	return out
}

func (j *Job) stored() *JobState {
	out := &JobState{
		Job:            rpc.FromJob(j.Spec),
		IdempotencyRow: j.IdempotencyRow,
		Cancelled:      j.Cancelled,
		Ended:          j.Ended,
	}
	for _, i := range slices.Sorted(maps.Keys(j.Tasks)) {
		out.Tasks = append(out.Tasks, j.Tasks[i].stored(i))
	}
	return out
}

func (t *Task) stored(index int) *TaskState {
	return &TaskState{
		Index:      int32(index),
		Attempt:    int32(t.Attempt),
		Worker:     t.Worker,
		Boot:       t.Boot,
		StartedNs:  t.Started.UnixNano(),
		End:        t.End,
		Checkpoint: t.Checkpoint,
		Result:     t.Result,
		Error:      t.Error,
		Failures:   int32(t.Failures),
	}
}

func stateFromSnapshot(snapshot *Snapshot) (*State, error) {
	s := NewState()
	for _, stored := range snapshot.GetJobs() {
		if err := s.acceptJob(&JobAccepted{Job: stored.GetJob(), IdempotencyRow: stored.GetIdempotencyRow()}); err != nil {
			return nil, trace.Wrap(err)
		}
		j := s.Jobs[model.JobID(stored.GetJob().GetId())]
		j.Cancelled = stored.GetCancelled()
		j.Ended = stored.GetEnded()
		for _, t := range stored.GetTasks() {
			j.Tasks[int(t.GetIndex())] = taskFromStored(t)
		}
	}
	return s, nil
}

func taskFromStored(t *TaskState) *Task {
	return &Task{
		Attempt:    int(t.GetAttempt()),
		Worker:     t.GetWorker(),
		Boot:       t.GetBoot(),
		Started:    time.Unix(0, t.GetStartedNs()),
		End:        t.GetEnd(),
		Checkpoint: t.GetCheckpoint(),
		Result:     t.GetResult(),
		Error:      t.GetError(),
		Failures:   int(t.GetFailures()),
	}
}

// Clone returns a copy that shares no mutable data with s.
func (s *State) Clone() *State {
	out := &State{Jobs: make(map[model.JobID]*Job, len(s.Jobs))}
	for id, j := range s.Jobs {
		c := *j
		c.Tasks = make(map[int]*Task, len(j.Tasks))
		for i, t := range j.Tasks {
			copied := *t
			c.Tasks[i] = &copied
		}
		out.Jobs[id] = &c
	}
	return out
}

// Package workload holds the types of the job path: jobs made of steps, the
// queues, teams and workers that a cell consists of, and the commands to
// workers. The types carry no I/O.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cuminloft/internal/model"
)

// Limits of a job, from the callers' interface.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	// MaxTasks is the number of tasks of all steps; the progress of so many fits
	// into one row of the store.
	MaxTasks = 1500
)

// Job is one accepted submission. It is stored once and never changes.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"` // name of the queue that took it
	Pool  string `json:"pool"`  // worker pool of that queue at acceptance
	Team  string `json:"team"`
	// Spec is the caller's text, handed to the workers as it is.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Repeats is the number of occurrences of a job on a schedule; 0 for a job
	// that runs once, at once.
	Repeats  int           `json:"repeats,omitempty"`
	FirstDue int64         `json:"first_due,omitempty"` // Unix milliseconds
	Period   time.Duration `json:"period,omitempty"`
	// AcceptedAt is the accepting host's time of day in Unix milliseconds. It
	// orders and rates jobs; no safety depends on it.
	AcceptedAt int64 `json:"accepted_at"`
	// Policy is the queue's policy at acceptance, for when the queue is gone.
	Policy Queue `json:"policy"`
}

// JobProgress is what has happened to a job, in stored form.
type JobProgress struct {
	Job  string
	Data []byte // JSON
}

// Step is one stage of a job: Tasks tasks of the same shape.
type Step struct {
	Tasks     int             `json:"tasks"`
	Resources model.Resources `json:"resources"` // of one task
	Estimate  time.Duration   `json:"estimate,omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints tells that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tells that all tasks of a run work together or not at all.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must carry.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the input; elsewhere the tasks run slower.
	DataRack     string `json:"data_rack,omitempty"`
	MaxPerWorker int    `json:"max_per_worker,omitempty"` // 0: no bound
	// Speculative tells that several runs of one task may exist at a time.
	Speculative bool `json:"copies,omitempty"`
	// Service tells that the tasks run until the job is cancelled.
	Service bool   `json:"service,omitempty"`
	Image   string `json:"image,omitempty"`
	// TailTarget bounds the tail latency of what a service task serves.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// BestEffort tells that the tasks use cores that others leave idle.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is the number of service tasks that the scheduler may take away
	// at the same time.
	MaxUnavailable int `json:"may_be_away,omitempty"`
}

// RequiredCapacity returns what one task of the step takes of a worker's capacity.
func (s *Step) RequiredCapacity() model.Resources {
	r := s.Resources
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}

// Check reports what makes the job impossible to take.
func (j *Job) Check() error {
	if len(j.Spec) > MaxSpecBytes {
		return fmt.Errorf("spec has %d bytes, the limit is %d", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, allowed are 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Repeats < 0 || j.Repeats > 0 && j.Period <= 0 && j.Repeats > 1 {
		return fmt.Errorf("schedule repeats %d times every %v", j.Repeats, j.Period)
	}
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	if tasks > MaxTasks {
		return fmt.Errorf("job has %d tasks, the limit is %d", tasks, MaxTasks)
	}
	return nil
}

// check validates the step at position i. A step may only follow earlier ones,
// which keeps the graph free of cycles.
func (s *Step) check(i int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fmt.Errorf("it has %d tasks, allowed are 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Resources.IsNegative() || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("a size, estimate or limit is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= i {
			return fmt.Errorf("it follows step %d, which is not an earlier one", before)
		}
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// Due returns the Unix milliseconds at which occurrence k may start, 0 for a
// job without a schedule.
func (j *Job) Due(k int) int64 {
	if j.Repeats == 0 {
		return 0
	}
	return j.FirstDue + int64(k)*j.Period.Milliseconds()
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the form that workers and the advice service use.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID names a task.
type TaskID struct {
	StepID
	Index int
}

// String returns the form that workers use.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID reads the form of String.
func ParseTaskID(text string) (TaskID, error) {
	job, rest, ok := strings.Cut(text, ".")
	if !ok || job == "" {
		return TaskID{}, fmt.Errorf("task name %q does not have four parts", text)
	}
	var n [3]int
	for i := range n {
		field := rest
		if i < len(n)-1 {
			if field, rest, ok = strings.Cut(rest, "."); !ok {
				return TaskID{}, fmt.Errorf("task name %q does not have four parts", text)
			}
		}
		v, err := strconv.Atoi(field)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is not a number", text, i+2)
		}
		n[i] = v
	}
	return TaskID{StepID: StepID{Job: job, Occurrence: n[0], Step: n[1]}, Index: n[2]}, nil
}

// State is what callers are shown of a job.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state cannot change any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

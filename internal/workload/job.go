// Package workload holds the types of the job path: jobs and their steps, the
// queues, teams and workers of a cell, and the commands to workers. The package
// does no I/O.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cuminloft/internal/model"
)

// Limits of a job, as published in the callers' API.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	// MaxTasks bounds the tasks of all steps together.
	MaxTasks = 1500
	// MaxRowBytes is the size of a row that the platform's store accepts. Jobs and their
	// progress take one row each.
	MaxRowBytes = 64 << 10
)

// Job is an accepted submission. It is stored once and never changes.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"` // name of the queue that accepted the job
	Pool  string `json:"pool"`  // worker pool of that queue at acceptance
	Team  string `json:"team"`
	// Spec is the caller's text, passed to the workers unchanged.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Repeats is the number of occurrences of a job with a schedule; 0 for a job
	// that runs once, without delay.
	Repeats  int           `json:"repeats,omitempty"`
	FirstDue int64         `json:"first_due,omitempty"` // Unix milliseconds
	Period   time.Duration `json:"period,omitempty"`
	// AcceptedAt is the acceptance time by the accepting host's wall clock, in Unix
	// milliseconds. It serves to order and rate jobs; safety does not depend on it.
	AcceptedAt int64 `json:"accepted_at"`
	// Policy is the queue's policy at acceptance, used once the queue is removed.
	Policy Queue `json:"policy"`
}

// JobProgress is the progress of a job in stored form.
type JobProgress struct {
	Job  string
	Data []byte // JSON
}

// Step is one stage of a job: a number of equal tasks.
type Step struct {
	Tasks     int             `json:"tasks"`
	Resources model.Resources `json:"resources"` // of one task
	Estimate  time.Duration   `json:"estimate,omitempty"`
	// After lists the earlier steps that must be completed first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set if the step's tasks must all run at the same time.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must have; empty for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the input; tasks run slower on other racks.
	DataRack     string `json:"data_rack,omitempty"`
	MaxPerWorker int    `json:"max_per_worker,omitempty"` // 0: no bound
	// Speculative is set if several runs of one task may exist at the same time.
	Speculative bool `json:"copies,omitempty"`
	// Service is set if the tasks run until the job is cancelled.
	Service bool   `json:"service,omitempty"`
	Image   string `json:"image,omitempty"`
	// TailTarget is the tail latency target of a service task.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// BestEffort is set if the tasks use only cores that other tasks leave idle.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable bounds evictions of service tasks: the scheduler evicts an available
	// task only while fewer of the step's tasks than this are unavailable; 0 counts as 1.
	MaxUnavailable int `json:"may_be_away,omitempty"`
}

// RequiredCapacity returns the capacity that one task of the step takes of a worker.
// A best-effort task takes no cores.
func (s *Step) RequiredCapacity() model.Resources {
	r := s.Resources
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}

// Check returns an error for a job that cannot be accepted.
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

// check validates the step at index i. A step may only depend on earlier steps, so
// that the dependencies have no cycles.
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

// Occurrences returns the number of times that the job's steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// Due returns the earliest start of occurrence k in Unix milliseconds; 0 for a job
// without a schedule.
func (j *Job) Due(k int) int64 {
	if j.Repeats == 0 {
		return 0
	}
	return j.FirstDue + int64(k)*j.Period.Milliseconds()
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns job.occurrence.step, the form that workers and the advice service use.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies a task of a step.
type TaskID struct {
	StepID
	Index int
}

// String returns job.occurrence.step.index, the form that workers use.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that TaskID.String returns.
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

// State is a job's state as callers see it.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

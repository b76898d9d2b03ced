package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Policy is the way in which a queue's work is placed.
type Policy string

// The policies of a queue.
const (
	PolicyDirect  Policy = "direct"  // the caller waits on the connection
	PolicyService Policy = "service" // kept running, spread over failure domains
	PolicyBatch   Policy = "batch"   // runs later, packed and backfilled
	PolicyGang    Policy = "gang"    // all tasks start together or none starts
)

// Valid reports whether p is one of the known policies.
func (p Policy) Valid() bool {
	switch p {
	case PolicyDirect, PolicyService, PolicyBatch, PolicyGang:
		return true
	}
	return false
}

// JobID identifies a job across the fleet: 128 random bits in hexadecimal.
type JobID string

// TaskID identifies one task of a job. A direct request is a job of one task.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int   `json:"index"`
}

// String returns "job/index", the form used on the wire and in logs.
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Index)
}

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return TaskID{}, fmt.Errorf("task id %q: want job/index", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, fmt.Errorf("task id %q: index is not a natural number", s)
	}
	return TaskID{Job: JobID(s[:i]), Index: n}, nil
}

// TaskSpec is the declaration of a task: what it requires and what it runs.
type TaskSpec struct {
	Resources   Resources     `json:"resources"`
	Connections int           `json:"connections,omitempty"` // of the worker's connection limit
	RunTime     time.Duration `json:"run_time,omitempty"`    // declared; often wrong
	// Idempotent tasks may run more than once; only they are restarted, or retried
	// after a start that may have taken effect.
	Idempotent bool `json:"idempotent"`
	// Payload is opaque to the scheduler, which passes it to the worker.
	Payload []byte `json:"payload,omitempty"`
}

// Job is an accepted job: a number of equal tasks under one policy.
type Job struct {
	ID        JobID         `json:"id"`
	Team      string        `json:"team"`
	Queue     string        `json:"queue"`
	Kind      string        `json:"kind,omitempty"` // groups jobs for learned estimates
	Policy    Policy        `json:"policy"`
	Tasks     int           `json:"tasks"`
	Task      TaskSpec      `json:"task"`
	Urgent    bool          `json:"urgent,omitempty"`
	Submitted time.Time     `json:"submitted"`
	MaxWait   time.Duration `json:"max_wait,omitempty"` // zero: no bound on the queueing time
}

// Outcome is the way in which a request or a task ended. The set is closed.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"    // ran, with a complete answer
	OutcomeFailed  Outcome = "failed"  // ran and reported an error of its own
	OutcomeNotRun  Outcome = "not_run" // provably never started
	OutcomeUnknown Outcome = "unknown" // may have run; cannot be determined
)

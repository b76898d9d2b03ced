// Package worker defines the interface through which cuminloft sends commands to a
// worker. Only the HTTP adapter in worker/httpworker knows the wire format.
//
// A worker enforces its own capacity: it refuses commands with a fence lower than the
// highest that it has received, starts whose window has passed on its own clock, and
// starts that do not fit. It stops tasks whose lease expires.
package worker

import (
	"context"
	"errors"
	"io"
	"time"

	"cuminloft/internal/model"
)

// Errors of a worker. After ErrAmbiguous, ErrTruncated and ErrForeignAnswer the command
// may have taken effect; every other error proves that it did not. ErrDuplicate proves
// this of the repeated command only: the first one took effect.
var (
	ErrFenced               = errors.New("fence is lower than the worker's")
	ErrWindowPassed         = errors.New("start window has passed on the worker's clock")
	ErrInsufficientCapacity = errors.New("task does not fit the worker's free room")
	ErrDuplicate            = errors.New("attempt is known to the worker already")
	ErrVoided               = errors.New("attempt was voided by settle")
	ErrLeaving              = errors.New("worker is leaving")
	ErrUnknownTask          = errors.New("worker does not know the task")
	ErrUnreachable          = errors.New("command was not sent")
	ErrAmbiguous            = errors.New("answer lost; the command may have taken effect")
	ErrTruncated            = errors.New("answer is shorter than declared")
	ErrForeignAnswer        = errors.New("answer belongs to another attempt")
)

// Fence is the fencing token that orders the owners of a shard. It only grows.
type Fence int64

// Attempt identifies one attempt to run a task. The worker's answers contain it.
type Attempt struct {
	Task   model.TaskID `json:"task"`
	Number int          `json:"number"`
}

// Start is the command to start a task.
type Start struct {
	Attempt Attempt `json:"attempt"`
	Fence   Fence   `json:"fence"`
	// StartBy is the deadline of the start on the worker's own clock, in nanoseconds:
	// the last reading that the worker reported plus the start window.
	StartBy   int64           `json:"start_by"`
	Lease     time.Duration   `json:"lease"`
	Resources model.Resources `json:"resources"`
	Direct    bool            `json:"direct"` // counts against the connection limit
	Team      string          `json:"team"`
	RunTime   time.Duration   `json:"run_time"` // declared
	Payload   []byte          `json:"payload,omitempty"`
	// Restore resumes from the task's last checkpoint, if the worker can reach it.
	Restore string `json:"restore,omitempty"`
}

// TaskState is the state of an attempt on a worker.
type TaskState string

// The states of an attempt. All but TaskRunning count as ended.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped" // by command
	TaskLeaseExpired TaskState = "lapsed"  // the lease was not renewed in time
	TaskNeverSeen    TaskState = "never_seen"
)

// Ended reports whether an attempt in state s is not running.
func (s TaskState) Ended() bool { return s != TaskRunning }

// TaskReport is a worker's report of one attempt.
type TaskReport struct {
	Attempt Attempt         `json:"attempt"`
	State   TaskState       `json:"state"`
	Error   string          `json:"error,omitempty"`
	Team    string          `json:"team,omitempty"`
	Direct  bool            `json:"direct,omitempty"`
	Size    model.Resources `json:"size"`            // as admitted
	Usage   model.Resources `json:"usage"`           // measured, with a lag
	Ran     time.Duration   `json:"ran"`             // so far
	Saved   string          `json:"saved,omitempty"` // last checkpoint
	Result  []byte          `json:"result,omitempty"`
	// Boot identifies the worker's boot at the time of the report; set by Settle. If an
	// attempt was sent to another boot, TaskNeverSeen does not prove that it never ran.
	Boot string `json:"boot,omitempty"`
}

// Inventory is a worker's report of its state and its tasks.
type Inventory struct {
	Worker   string          `json:"worker"`
	Clock    int64           `json:"clock"` // the worker's own clock in nanoseconds
	Boot     string          `json:"boot"`  // changes when the worker restarts
	Fence    Fence           `json:"fence"`
	Leaving  bool            `json:"leaving"`
	Capacity model.Resources `json:"capacity"`
	Tasks    []TaskReport    `json:"tasks"`
}

// Heartbeat renews leases and requests changes. It is a long poll: the worker answers
// as soon as an attempt that is not in Ack has ended, else after Wait.
type Heartbeat struct {
	Fence Fence         `json:"fence"`
	Lease time.Duration `json:"lease"`
	Renew []Attempt     `json:"renew"` // attempts whose leases are extended
	Ack   []Attempt     `json:"ack"`   // ended attempts the owner has recorded
	Wait  time.Duration `json:"wait"`
}

// HeartbeatReply contains the ended attempts that are not acknowledged and the running
// ones whose usage changed.
type HeartbeatReply struct {
	Clock   int64        `json:"clock"`
	Boot    string       `json:"boot"`
	Leaving bool         `json:"leaving"`
	Changed []TaskReport `json:"changed"`
}

// Answer is a worker's answer to a direct request. Body must be closed. Reading Body
// returns ErrTruncated if it is longer or shorter than Length.
type Answer struct {
	Attempt Attempt
	Failed  bool // the task ran and reported an error of its own
	Length  int64
	Body    io.ReadCloser
}

// Client sends commands to one worker.
type Client interface {
	// RaiseFence makes f the lowest fence that the worker accepts and returns its
	// inventory. It returns ErrFenced if the worker has received a higher fence.
	RaiseFence(ctx context.Context, f Fence) (Inventory, error)
	// Start starts a job's task. Success only confirms its admission.
	Start(ctx context.Context, s Start) error
	// Run starts a direct request, sends body and returns the answer.
	Run(ctx context.Context, s Start, body io.Reader) (*Answer, error)
	Heartbeat(ctx context.Context, h Heartbeat) (HeartbeatReply, error)
	// Settle returns the attempt's state. An attempt that the worker has never received
	// is voided, so that it cannot start later.
	Settle(ctx context.Context, f Fence, a Attempt) (TaskReport, error)
	Stop(ctx context.Context, f Fence, a Attempt) error
	// Checkpoint saves the task's progress and returns the checkpoint's name.
	Checkpoint(ctx context.Context, f Fence, a Attempt) (string, error)
	// Throttle limits the task to percent of its admitted cores.
	Throttle(ctx context.Context, f Fence, a Attempt, percent int) error
}

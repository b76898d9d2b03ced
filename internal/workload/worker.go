package workload

import (
	"context"
	"errors"
	"slices"
	"time"

	"cuminloft/internal/model"
)

// Worker is one incarnation of a target that runs tasks, as registered by itself.
type Worker struct {
	ID          string
	Incarnation int64 // start in Unix milliseconds; distinguishes incarnations with one ID
	Address     string
	AZ          string
	Pool        string
	Capacity    model.Resources
	Labels      []string
	Rack        string
	Draining    bool
	// Remaining is the minimum time that a draining worker keeps running.
	Remaining time.Duration
}

// SameRegistration reports whether two registrations of a worker are equal, apart from
// the remaining time.
func (w *Worker) SameRegistration(o *Worker) bool {
	return w.ID == o.ID && w.Incarnation == o.Incarnation && w.Address == o.Address && w.AZ == o.AZ && w.Pool == o.Pool &&
		w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels) && w.Rack == o.Rack && w.Draining == o.Draining
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// WorkerChange is one change of the registry. Worker is nil if the entry was removed or
// does not describe a usable worker.
type WorkerChange struct {
	ID     string
	Worker *Worker
}

// Run identifies one run of a task.
type Run struct {
	Task   TaskID
	Number int
}

// StartOrder is the command to start a run.
type StartOrder struct {
	Run         Run
	Spec        string
	LeaseUntil  int64 // end of the lease on the worker's clock, in milliseconds
	Incarnation int64 // the one whose clock LeaseUntil refers to; 0 if workers name none
	Fence       int64
	Checkpoint  string
	Ticket      string
}

// Outcome is the way in which a run ended on its worker.
type Outcome string

// The outcomes of a run.
const (
	RunDone           Outcome = "done"
	RunFailed         Outcome = "failed"  // the task or the worker failed
	RunStopped        Outcome = "stopped" // stopped by an order
	RunLeaseExpired   Outcome = "lapsed"  // the lease expired
	RunGangBroken     Outcome = "broken"  // another member of the gang ended
	RunGangIncomplete Outcome = "alone"   // the other members of the gang did not start
)

// RunStatus is the status of a running run.
type RunStatus struct {
	Run        Run
	Checkpoint string
	Percent    int
	// Load is the tail latency of a service task in milliseconds, and for other tasks
	// the cores in use in thousandths. It is approximate and half a second old.
	Load float64
}

// RunEnd is the end of a run that has not been acknowledged yet.
type RunEnd struct {
	Seq        int64
	Run        Run
	Outcome    Outcome
	Checkpoint string
}

// Inventory lists a worker's running runs and its unacknowledged ends.
type Inventory struct {
	ClockMS     int64 // reading of the worker's clock in milliseconds
	Incarnation int64
	Running     []RunStatus
	Ended       []RunEnd
}

// MaxEndsPerInventory is the maximum number of ends in one inventory.
const MaxEndsPerInventory = 500

// Heartbeat renews the leases of all runs on a worker and requests its inventory.
type Heartbeat struct {
	Fence      int64
	AckSeq     int64         // ends up to this sequence number are acknowledged
	LeaseUntil int64         // end of the leases on the worker's clock; 0 leaves them unchanged
	Wait       time.Duration // how long the worker waits for an end before it answers
	// Incarnation is the one that AckSeq and LeaseUntil refer to; 0 if both are 0, or if
	// workers name none.
	Incarnation int64
}

// Errors of a command to a worker. After ErrNoAnswer the command may have been or may
// yet be carried out; every other error proves that it was not.
var (
	ErrNoAnswer             = errors.New("worker did not answer")
	ErrReplaced             = errors.New("another worker answered")
	ErrRestarted            = errors.New("the worker has restarted under its ID")
	ErrFenced               = errors.New("fence is lower than the worker's")
	ErrRunTooOld            = errors.New("run number is not higher than that of an ended run of the task")
	ErrLeaseInPast          = errors.New("lease end lies in the past of the worker's clock")
	ErrInsufficientCapacity = errors.New("task does not fit the worker's free capacity")
	ErrBadTicket            = errors.New("ticket is missing or expired")
	ErrUnhealthy            = errors.New("worker is unhealthy")
	ErrStartExpired         = errors.New("start was decided too long ago and was not sent")
	ErrMalformedOrder       = errors.New("worker rejected the order as malformed")
	ErrAdviceBusy           = errors.New("advice service has too many pending calls")
	ErrAdviceFailed         = errors.New("advice service did not answer")
	ErrAdviceIncomplete     = errors.New("rows of the advice service's answer cannot be read")
)

// Commander sends commands to workers. Each command names the worker's ID; it fails with
// ErrReplaced if the receiver answers that it is not that worker any more. A worker may
// restart under its ID, and its clock and the numbers of its ends then start anew: a
// command that names an incarnation is sent to no other one, and fails with ErrRestarted
// instead. One that is left unanswered may be carried out later, by a later incarnation as
// well unless that has seen a higher fence.
type Commander interface {
	// Start starts a run; it succeeds if the run has been started already. clockMS is
	// the reading of the worker's clock in milliseconds; 0 if it was not reported.
	Start(ctx context.Context, w *Worker, o StartOrder) (clockMS int64, err error)
	// Stop ends a run. If its start has not arrived yet, the worker will refuse it.
	Stop(ctx context.Context, w *Worker, r Run, fence int64) error
	// Throttle limits a run to a percentage of its speed.
	Throttle(ctx context.Context, w *Worker, r Run, percent int, fence int64) error
	// Heartbeat renews the leases of all runs and returns the inventory.
	Heartbeat(ctx context.Context, w *Worker, o Heartbeat) (Inventory, error)
	// Disconnect closes the connections to a worker.
	Disconnect(w *Worker)
}

// Ticket permits tasks of one step to start on a worker until it expires.
type Ticket struct {
	Worker string
	Token  string
}

// Adviser is a connection to the external advice service. Advise returns tickets for
// those of the given workers that may run a step; with ErrAdviceIncomplete, for some of
// those.
type Adviser interface {
	Advise(ctx context.Context, step StepID, workers []string) ([]Ticket, error)
}

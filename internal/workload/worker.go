package workload

import (
	"context"
	"errors"
	"slices"
	"time"

	"cuminloft/internal/model"
)

// Worker is one life of a target that runs tasks, as it registered itself.
type Worker struct {
	ID          string
	Incarnation int64 // Unix milliseconds of its start; tells lives under one ID apart
	Address     string
	AZ          string
	Pool        string
	Capacity    model.Resources
	Labels      []string
	Rack        string
	Draining    bool
	// Remaining is the least time that a draining worker still runs.
	Remaining time.Duration
}

// SameRegistration reports whether both tell the same of a worker, but for the time that
// remains to it.
func (w *Worker) SameRegistration(o *Worker) bool {
	return w.ID == o.ID && w.Incarnation == o.Incarnation && w.Address == o.Address && w.AZ == o.AZ && w.Pool == o.Pool &&
		w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels) && w.Rack == o.Rack && w.Draining == o.Draining
}

// HasLabel reports whether the worker carries the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// WorkerChange is one change of the registry. Worker is nil when the entry is
// gone or names no usable worker.
type WorkerChange struct {
	ID     string
	Worker *Worker
}

// Run is one run of a task.
type Run struct {
	Task   TaskID
	Number int
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Run        Run
	Spec       string
	LeaseUntil int64 // on the worker's clock, milliseconds
	Fence      int64
	Checkpoint string
	Ticket     string
}

// Outcome is how a run ended on its worker.
type Outcome string

// The outcomes of a run.
const (
	RunDone           Outcome = "done"
	RunFailed         Outcome = "failed"  // through its own fault or the worker's
	RunStopped        Outcome = "stopped" // by order
	RunLeaseExpired   Outcome = "lapsed"  // the lease ran out
	RunGangBroken     Outcome = "broken"  // another member of the gang ended
	RunGangIncomplete Outcome = "alone"   // the other members of the gang did not come
)

// RunStatus is a run at work.
type RunStatus struct {
	Run        Run
	Checkpoint string
	Percent    int
	// Load is the tail latency of a service in milliseconds; of other tasks the
	// thousandths of a core in use. It is rough and half a second old.
	Load float64
}

// RunEnd is an ended run that has not been acknowledged.
type RunEnd struct {
	Seq        int64
	Run        Run
	Outcome    Outcome
	Checkpoint string
}

// Inventory is what a worker says that it runs and ran.
type Inventory struct {
	ClockMS     int64 // the worker's clock
	Incarnation int64
	Running     []RunStatus
	Ended       []RunEnd
}

// MaxEndsPerInventory is how many ends a worker lists at a time.
const MaxEndsPerInventory = 500

// Heartbeat renews the lease of all that runs on a worker and asks for its
// inventory.
type Heartbeat struct {
	Fence      int64
	AckSeq     int64         // ends up to this one are forgotten
	LeaseUntil int64         // on the worker's clock; 0 leaves the lease as it is
	Wait       time.Duration // the answer waits this long for an end
}

// Errors of a command to a worker. ErrNoAnswer leaves open whether it was or
// will be carried out; every other error proves that it was not.
var (
	ErrNoAnswer             = errors.New("worker did not answer")
	ErrReplaced             = errors.New("another life of the worker answered")
	ErrFenced               = errors.New("fence is lower than the worker's")
	ErrRunTooOld            = errors.New("run is not higher than one that ended there")
	ErrLeaseInPast          = errors.New("lease would end in the worker's past")
	ErrInsufficientCapacity = errors.New("task does not fit the worker's free capacity")
	ErrBadTicket            = errors.New("ticket is missing or expired")
	ErrUnhealthy            = errors.New("worker is unhealthy")
	ErrMalformedOrder       = errors.New("worker rejected the order as malformed")
	ErrAdviceBusy           = errors.New("advice service has too many calls waiting")
	ErrAdviceFailed         = errors.New("advice service did not answer")
)

// Commander sends commands to workers. Each names the worker's life; another
// life answers ErrReplaced.
type Commander interface {
	// Start starts a run; a run that is there already counts as started. The
	// clock is the worker's, in milliseconds, 0 if it was not reported.
	Start(ctx context.Context, w *Worker, o StartOrder) (clockMS int64, err error)
	// Stop ends a run, and bars one that has not arrived yet.
	Stop(ctx context.Context, w *Worker, r Run, fence int64) error
	// Throttle lets a run work at a percentage of its speed.
	Throttle(ctx context.Context, w *Worker, r Run, percent int, fence int64) error
	// Heartbeat renews leases and returns the inventory.
	Heartbeat(ctx context.Context, w *Worker, o Heartbeat) (Inventory, error)
	// Disconnect closes the connections to a worker.
	Disconnect(w *Worker)
}

// Ticket lets any task of one step start on a worker for a while.
type Ticket struct {
	Worker string
	Token  string
}

// Adviser asks the external service which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, step StepID, workers []string) ([]Ticket, error)
}

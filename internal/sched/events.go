// Package sched is the decision core of one shard: a pure state machine that takes
// typed events and returns typed decisions. It does no I/O, reads no clock and starts
// no goroutine, so equal seeds and equal events give equal decisions.
package sched

import (
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// Event is an input of the core. The owner passes each to Core.Handle with the time at
// which it happened.
type Event interface{ isEvent() }

// ConfigChanged applies a configuration. Between staging and acceptance the owner
// passes the stricter merge of both versions.
type ConfigChanged struct{ Config *config.Config }

// WorkerState says whether tasks may start on a worker and whether its attempts may
// still run.
type WorkerState string

// The states of a worker as seen by the core.
const (
	WorkerReady   WorkerState = "ready"
	WorkerLeaving WorkerState = "leaving" // finishes its attempts, gets no new ones
	WorkerLost    WorkerState = "lost"    // unreachable; its attempts may still run
	WorkerGone    WorkerState = "gone"    // its leases have expired; nothing runs on it
)

// WorkerChanged adds a worker or changes its state.
type WorkerChanged struct {
	Worker model.WorkerSpec
	State  WorkerState
}

// JobAdded passes accepted work: a journaled job, or a direct request.
type JobAdded struct {
	Job model.Job
	// Avoid lists workers on which a direct request must not be started again.
	Avoid []string
	// LastAttempt is the highest attempt number used for a direct request that is
	// added again; its next attempt gets a higher number.
	LastAttempt int
	// Restored is true for a job that an earlier owner of the shard accepted: it is
	// not refused for a full queue or for its size.
	Restored bool
}

// TaskRestored passes the journaled state of a task after a takeover. It follows the
// JobAdded of its job and precedes the first WorkerReady.
type TaskRestored struct {
	Task        model.TaskID
	LastAttempt int // highest attempt number ever used
	// Finished is true if the task has ended, as given by End, and never starts again.
	Finished   bool
	End        End
	Restarts   int
	Checkpoint string
}

// JobCancelled withdraws a job. Pending tasks are dropped, running ones stopped.
type JobCancelled struct{ Job model.JobID }

// TaskAdopted reports a task that already runs, found in the journal or in a worker's
// inventory after a takeover. It replaces the attempt that the core counts as running:
// that attempt ended without a record, or was never sent.
type TaskAdopted struct {
	Job     model.Job
	Index   int
	Attempt int
	Worker  string
	Started time.Time
	Size    model.Resources // as admitted by the worker; zero if not known
}

// StartConfirmed reports that the worker admitted the attempt.
type StartConfirmed struct {
	Task    model.TaskID
	Attempt int
}

// StartRefused reports that the attempt certainly did not start.
type StartRefused struct {
	Task    model.TaskID
	Attempt int
	Reason  string
	// WorkerFault is true if the worker is the cause (full, leaving, unreachable).
	WorkerFault bool
}

// TaskEnded reports that an attempt no longer runs.
type TaskEnded struct {
	Task    model.TaskID
	Attempt int
	End     End
	// Checkpoint is the name of the saved progress, if any.
	Checkpoint string
}

// End is the way in which an attempt ended.
type End string

// The ends of an attempt.
const (
	EndDone         End = "done"
	EndFailed       End = "failed"    // the task's own error
	EndStopped      End = "stopped"   // preempted or cancelled
	EndLeaseExpired End = "lapsed"    // lease expired or worker lost
	EndAbandoned    End = "abandoned" // not idempotent and may have run; never started again
)

// UsageReported carries a worker's delayed measurement of one attempt.
type UsageReported struct {
	Task    model.TaskID
	Attempt int
	Usage   model.Resources
}

// GrantChanged sets the part of a team's upper limit that this shard may use.
type GrantChanged struct {
	Team  string
	Grant model.Resources // zero components are unlimited, negative ones grant nothing
	// None is true if the shard holds no grant at all: no task of the team may start.
	None bool
}

// FleetUsage carries the digests of the other shards. Shares are computed over the
// whole fleet.
type FleetUsage struct {
	Capacity model.Resources            // usable capacity of the other shards
	Used     map[string]model.Resources // per team, on the other shards
	Pending  map[string]model.Resources // per team, pending on the other shards
}

// Tick advances the time for timeouts, backoffs and reservations. The owner sends one
// at Core.NextWake or sooner.
type Tick struct{}

func (ConfigChanged) isEvent()  {}
func (WorkerChanged) isEvent()  {}
func (JobAdded) isEvent()       {}
func (TaskRestored) isEvent()   {}
func (JobCancelled) isEvent()   {}
func (TaskAdopted) isEvent()    {}
func (StartConfirmed) isEvent() {}
func (StartRefused) isEvent()   {}
func (TaskEnded) isEvent()      {}
func (UsageReported) isEvent()  {}
func (GrantChanged) isEvent()   {}
func (FleetUsage) isEvent()     {}
func (Tick) isEvent()           {}

// Decision is an action that the owner must take.
type Decision interface{ isDecision() }

// StartTask requests the start of an attempt on a worker. The core counts the capacity
// as taken from this decision until StartRefused or TaskEnded.
type StartTask struct {
	Task       model.TaskID
	Attempt    int
	Worker     string
	Size       model.Resources // at least the declared and the measured size
	Checkpoint string          // resume from it, if not empty
	Reason     string          // why this worker
}

// PreemptStep is one step in preempting a running attempt.
type PreemptStep string

// The steps of preemption, mildest first.
const (
	PreemptCheckpoint PreemptStep = "checkpoint" // save progress, then stop
	PreemptThrottle   PreemptStep = "throttle"
	PreemptStop       PreemptStep = "stop"
)

// PreemptTask requests that a running attempt free its capacity.
type PreemptTask struct {
	Task    model.TaskID
	Attempt int
	Worker  string
	Step    PreemptStep
	Reason  string
}

// JobEnded reports that a job has ended: all its tasks ended, or it was refused or
// cancelled.
type JobEnded struct {
	Job     model.JobID
	Outcome model.Outcome
	Code    RefusalCode // set if Outcome is not_run
	Reason  string
	// RetryAfter is the time after which the caller may retry; zero means never.
	RetryAfter time.Duration
}

// RefusalCode is a stable machine-readable reason for a refusal.
type RefusalCode string

// Reasons for which the core refuses work.
const (
	RefusedTooLarge    RefusalCode = "task_larger_than_any_worker"
	RefusedOverLimit   RefusalCode = "larger_than_team_limit"
	RefusedGangTooBig  RefusalCode = "gang_larger_than_cell"
	RefusedQueueFull   RefusalCode = "queue_full"
	RefusedDeadline    RefusalCode = "cannot_start_in_time"
	RefusedUnknownTeam RefusalCode = "unknown_team"
	RefusedCancelled   RefusalCode = "cancelled"
	RefusedByWorker    RefusalCode = "refused_by_worker" // direct requests only; may be tried on another worker
)

// RequestGrant requests a larger part of a team's upper limit.
type RequestGrant struct {
	Team  string
	Total model.Resources // total grant that the shard needs
}

// WorkerHealthChanged reports that a worker was quarantined because tasks fail on it,
// or that it is being probed after quarantine.
type WorkerHealthChanged struct {
	Worker      string
	Quarantined bool
	Reason      string
}

func (StartTask) isDecision()           {}
func (PreemptTask) isDecision()         {}
func (JobEnded) isDecision()            {}
func (RequestGrant) isDecision()        {}
func (WorkerHealthChanged) isDecision() {}

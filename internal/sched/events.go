// Package sched is the decision core of one shard: a pure state machine that
// takes typed events and returns typed decisions. It does no I/O, reads no
// clock and starts no goroutine, so equal seeds and equal events give equal
// decisions.
package sched

import (
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// Event is something that happened. The owner passes each to Core.Handle with
// the time at which it happened.
type Event interface{ isEvent() }

// ConfigChanged puts a configuration in force. Between staging and acceptance
// the owner passes the stricter merge of both versions.
type ConfigChanged struct{ Config *config.Config }

// WorkerState is how the core may use a worker.
type WorkerState string

// The states of a worker as seen by the core.
const (
	WorkerReady   WorkerState = "ready"
	WorkerLeaving WorkerState = "leaving" // runs what it has, gets nothing new
	WorkerLost    WorkerState = "lost"    // unreachable; what it ran may still run
	WorkerGone    WorkerState = "gone"    // its leases have lapsed; nothing runs there
)

// WorkerChanged adds a worker or changes its state.
type WorkerChanged struct {
	Worker model.WorkerSpec
	State  WorkerState
}

// JobAdded hands over accepted work: a journaled job, or a direct request.
type JobAdded struct {
	Job model.Job
	// Avoid names workers on which a direct request is not to be started again.
	Avoid []string
	// LastAttempt is the highest attempt number used for a direct request that
	// is handed over again; its next attempt gets a higher one.
	LastAttempt int
	// Restored is true for a job that was accepted under an earlier owner of the
	// shard: it is not refused again for a full queue or for its size.
	Restored bool
}

// TaskRestored tells what the journal knows of a task after a takeover. It
// follows the JobAdded of its job and precedes the first WorkerReady.
type TaskRestored struct {
	Task        model.TaskID
	LastAttempt int // highest attempt number ever used
	// Finished is true if the task has ended as End tells and never starts again.
	Finished   bool
	End        End
	Restarts   int
	Checkpoint string
}

// JobCancelled withdraws a job. Queued tasks are dropped, running ones stopped.
type JobCancelled struct{ Job model.JobID }

// TaskAdopted tells the core of a task that runs already, found in the journal
// or in a worker's inventory after a takeover. It replaces the attempt that the
// core believes to run: that one had ended unrecorded, or was never sent.
type TaskAdopted struct {
	Job     model.Job
	Index   int
	Attempt int
	Worker  string
	Started time.Time
	Size    model.Resources // as admitted; zero if not known
}

// StartConfirmed tells that the worker admitted the attempt.
type StartConfirmed struct {
	Task    model.TaskID
	Attempt int
}

// StartRefused tells that the attempt provably did not start.
type StartRefused struct {
	Task    model.TaskID
	Attempt int
	Reason  string
	// WorkerFault is true if the worker is to blame (full, leaving, unreachable).
	WorkerFault bool
}

// TaskEnded tells that an attempt no longer runs.
type TaskEnded struct {
	Task    model.TaskID
	Attempt int
	End     End
	// Checkpoint names saved progress, if any.
	Checkpoint string
}

// End is how an attempt ended.
type End string

// The ends of an attempt.
const (
	EndDone         End = "done"
	EndFailed       End = "failed"    // the task's own error
	EndStopped      End = "stopped"   // preempted or cancelled
	EndLeaseExpired End = "lapsed"    // lease lapsed or worker lost
	EndAbandoned    End = "abandoned" // not idempotent and may have run; never started again
)

// UsageReported carries a worker's lagging measurement of one attempt.
type UsageReported struct {
	Task    model.TaskID
	Attempt int
	Usage   model.Resources
}

// GrantChanged sets how much of its upper limit a team may run on this shard.
type GrantChanged struct {
	Team  string
	Grant model.Resources // zero components are unlimited, negative ones granted nothing
	// None is true if the shard holds no grant at all: nothing may start.
	None bool
}

// FleetUsage carries the digests of the other shards, for shares over the fleet.
type FleetUsage struct {
	Capacity model.Resources            // of the other shards, usable
	Used     map[string]model.Resources // per team, on the other shards
	Pending  map[string]model.Resources // per team, waiting on the other shards
}

// Tick lets time pass: timeouts, backoffs, reservations. The owner sends one
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

// Decision is something the owner must do.
type Decision interface{ isDecision() }

// StartTask asks to start an attempt on a worker. The core counts the room as
// taken from this moment until StartRefused or TaskEnded.
type StartTask struct {
	Task       model.TaskID
	Attempt    int
	Worker     string
	Size       model.Resources // at least what was declared and measured
	Checkpoint string          // resume from it, if not empty
	Reason     string          // why here
}

// PreemptStep is how a running attempt gives up room.
type PreemptStep string

// The steps of preemption, mildest first.
const (
	PreemptCheckpoint PreemptStep = "checkpoint" // save progress, then stop
	PreemptThrottle   PreemptStep = "throttle"
	PreemptStop       PreemptStep = "stop"
)

// PreemptTask asks to take room back from a running attempt.
type PreemptTask struct {
	Task    model.TaskID
	Attempt int
	Worker  string
	Step    PreemptStep
	Reason  string
}

// JobEnded tells that a job is over: all tasks ended, refused, or cancelled.
type JobEnded struct {
	Job     model.JobID
	Outcome model.Outcome
	Code    RefusalCode // set if Outcome is not_run
	Reason  string
	// RetryAfter tells the caller when to come back; zero: never.
	RetryAfter time.Duration
}

// RefusalCode is a stable machine-readable reason.
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
	RefusedByWorker    RefusalCode = "refused_by_worker" // a direct start; try elsewhere
)

// RequestGrant asks for more of a team's upper limit.
type RequestGrant struct {
	Team  string
	Total model.Resources // total that the shard would use
}

// WorkerHealthChanged tells that a worker fails what it starts and was taken out, or
// is probed back in.
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

// Package timeline records typed events in a bounded ring per process. Events carry a
// reading of a hybrid logical clock, so that the rings of all processes can be merged into
// one timeline that respects causality.
package timeline

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	KindRequestReceived Kind = "request.received"
	KindRequestRouted   Kind = "request.routed"
	KindRequestSent     Kind = "request.sent"
	KindRequestSettled  Kind = "request.settled" // the outcome of a lost answer was determined
	KindRequestRetried  Kind = "request.retried"
	KindRequestAnswered Kind = "request.answered"
	KindAnswerDropped   Kind = "answer.dropped" // late, of another attempt, or truncated
	KindJobAccepted     Kind = "job.accepted"
	KindJobEnded        Kind = "job.ended"
	KindJobMoved        Kind = "job.moved"
	KindTaskStarted     Kind = "task.started"
	KindTaskEnded       Kind = "task.ended"
	KindTaskPreempted   Kind = "task.preempted"
	KindWorkerState     Kind = "worker.state"
	KindShardTaken      Kind = "shard.taken"
	KindShardReady      Kind = "shard.ready"
	KindShardLost       Kind = "shard.lost"
	KindShardReleased   Kind = "shard.released"
	KindConfigStaged    Kind = "config.staged"
	KindConfigAccepted  Kind = "config.accepted"
	KindMemberUp        Kind = "member.up"
	KindMemberDown      Kind = "member.down"
	KindPlatformState   Kind = "platform.state"
	KindGrantMoved      Kind = "grant.moved"
)

// Event is an event in one process. Fields that do not apply are empty.
type Event struct {
	HLC      int64  // set by the recorder
	Host     string // set by the recorder
	AZ       string // set by the recorder
	Kind     Kind
	Request  string // request id
	Job      string // job id
	Team     string
	Target   string        // worker, shard, member or version that the event is about
	Detail   string        // short explanation; never contains a key
	Duration time.Duration // duration of the activity that ended with this event
}

// Recorder records events. Implementations do not block.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that discards all events.
type Discard struct{}

// Record does nothing.
func (Discard) Record(Event) {}

// Package timeline keeps a bounded ring of typed events per process. Events
// carry a hybrid logical clock, so that the rings of all processes merge into
// one time line that respects cause and effect.
package timeline

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	KindRequestReceived Kind = "request.received"
	KindRequestRouted   Kind = "request.routed"
	KindRequestSent     Kind = "request.sent"
	KindRequestSettled  Kind = "request.settled" // a lost answer's truth was found
	KindRequestRetried  Kind = "request.retried"
	KindRequestAnswered Kind = "request.answered"
	KindAnswerDropped   Kind = "answer.dropped" // late, crossed, truncated
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

// Event is something that happened at one process. Empty fields do not apply.
type Event struct {
	HLC      int64         // stamped by the recorder; zero before
	Host     string        // stamped by the recorder
	AZ       string        // stamped by the recorder
	Kind     Kind          //
	Request  string        // request id
	Job      string        // job id
	Team     string        //
	Target   string        // worker, shard, member or version that the event is about
	Detail   string        // one short clause; never a key
	Duration time.Duration // of what ended with this event
}

// Recorder takes events. Implementations do not block.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that keeps nothing.
type Discard struct{}

// Record does nothing.
func (Discard) Record(Event) {}

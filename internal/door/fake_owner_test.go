package door

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

// ownerFault is the behaviour of a fake owner for one Reserve call.
type ownerFault int

const (
	ownerFine ownerFault = iota
	ownerNotReady
	ownerNoCapacity
	ownerAnswerLost // the ticket is granted, but the reply is lost
	ownerKilled     // the owner is replaced after it has granted the ticket
	ownerFaultCount
)

var errConnection = errors.New("connection reset")

// fakeOwner grants tickets for its workers round robin and tracks the open ones.
type fakeOwner struct {
	rpc.Shard
	name, az string
	workers  []*fakeWorker
	plan     func(*rpc.ReserveRequest) ownerFault

	mu       sync.Mutex
	fence    int64
	next     int
	open     map[string]int32 // attempt of the open ticket by task
	jobs     map[string]bool
	lostJobs int // number of further submissions whose reply is lost
	reserves int
	lastWait time.Duration // wait of the last Reserve call
}

func (o *fakeOwner) Reserve(_ context.Context, r *rpc.ReserveRequest) (*rpc.Ticket, error) {
	f := o.plan(r)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reserves++
	o.lastWait = time.Duration(r.GetWaitNs())
	switch f {
	case ownerNotReady:
		return nil, (&rpc.Refusal{Code: rpc.CodeNotReady, Reason: "takeover"}).ToTwirp()
	case ownerNoCapacity:
		return nil, (&rpc.Refusal{Code: rpc.CodeInsufficientCapacity, Reason: "full"}).ToTwirp()
	}
	task := r.GetJob().GetId() + "/0"
	if _, busy := o.open[task]; busy {
		return nil, (&rpc.Refusal{Code: rpc.CodeInvalid, Field: "id", Reason: "under way"}).ToTwirp()
	}
	w := o.choose(r.GetAvoid())
	o.open[task] = r.GetAttempt()
	ticket := &rpc.Ticket{
		Shard: o.name, Worker: w.id, WorkerAddr: w.id, Task: task, Attempt: r.GetAttempt(),
		Fence: o.fence, Boot: w.bootNow(),
	}
	switch f {
	case ownerAnswerLost:
		return nil, errConnection
	case ownerKilled:
		clear(o.open)
		o.fence++
	}
	return ticket, nil
}

func (o *fakeOwner) choose(avoid []string) *fakeWorker {
	for range o.workers {
		w := o.workers[o.next%len(o.workers)]
		o.next++
		if !slices.Contains(avoid, w.id) {
			return w
		}
	}
	return o.workers[o.next%len(o.workers)]
}

func (w *fakeWorker) bootNow() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bootName()
}

func (o *fakeOwner) Release(_ context.Context, r *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open[r.GetTask()] == r.GetAttempt() {
		delete(o.open, r.GetTask())
	}
	return &rpc.ReleaseReply{}, nil
}

func (o *fakeOwner) Submit(_ context.Context, r *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs[r.GetJob().GetId()] {
		return nil, (&rpc.Refusal{Code: rpc.CodeInvalid, Field: "id", Reason: "exists"}).ToTwirp()
	}
	o.jobs[r.GetJob().GetId()] = true
	if o.lostJobs > 0 {
		o.lostJobs--
		return nil, errConnection
	}
	return &rpc.SubmitReply{JobId: r.GetJob().GetId(), Shard: o.name}, nil
}

func (o *fakeOwner) GetJob(_ context.Context, r *rpc.GetJobRequest) (*rpc.JobStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.jobs[r.GetJobId()] {
		return nil, (&rpc.Refusal{Code: rpc.CodeNotFound, Reason: "no job"}).ToTwirp()
	}
	return &rpc.JobStatus{JobId: r.GetJobId(), State: "queued", Shard: o.name}, nil
}

// fakeDirectory lists fake owners.
type fakeDirectory struct{ owners []*fakeOwner }

func (d *fakeDirectory) Shards() []member.ShardRef {
	var out []member.ShardRef
	for _, o := range d.owners {
		out = append(out, o.ref())
	}
	return out
}

func (o *fakeOwner) ref() member.ShardRef {
	o.mu.Lock()
	defer o.mu.Unlock()
	return member.ShardRef{
		Name: o.name, AZ: o.az, Owner: o,
		Digest: &rpc.ShardDigest{Shard: o.name, Az: o.az, Ready: true, Fence: o.fence},
	}
}

func (d *fakeDirectory) Shard(name string) (member.ShardRef, bool) {
	for _, o := range d.owners {
		if o.name == name {
			return o.ref(), true
		}
	}
	return member.ShardRef{}, false
}

func (d *fakeDirectory) Members() []*rpc.Member       { return nil }
func (d *fakeDirectory) Peer(string) (rpc.Peer, bool) { return nil, false }

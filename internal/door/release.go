package door

import (
	"context"
	"time"

	"cuminloft/api"
	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// endNotStarted is ReleaseRequest.end of a ticket whose attempt never ran.
const endNotStarted = "not_started"

const (
	releaseTimeout      = 5 * time.Second       // of all attempts together
	initialReleaseDelay = 50 * time.Millisecond // after the first attempt; doubles with each attempt
	maxReleaseAttempts  = 4
)

func endOfOutcome(o api.Outcome) sched.End {
	if o == api.OutcomeFailed {
		return sched.EndFailed
	}
	return sched.EndDone
}

func endOfState(s worker.TaskState) sched.End {
	switch s {
	case worker.TaskDone:
		return sched.EndDone
	case worker.TaskStopped:
		return sched.EndStopped
	case worker.TaskLeaseExpired:
		return sched.EndLeaseExpired
	}
	return sched.EndFailed
}

// releaseEnded releases a ticket and reports to the owner how its attempt ended.
func (f *Frontend) releaseEnded(req *request, a *attempt, end sched.End) {
	req.released = f.release(a.shard, &rpc.ReleaseRequest{
		Shard:   a.shard.Name,
		Task:    a.id.Task.String(),
		Attempt: int32(a.id.Number),
		End:     string(end),
	})
}

// giveBackUnused returns a ticket whose attempt never ran. A reason that is not empty
// reports the worker as the cause.
func (f *Frontend) giveBackUnused(req *request, a *attempt, reason string) {
	req.released = f.release(a.shard, &rpc.ReleaseRequest{
		Shard:       a.shard.Name,
		Task:        a.id.Task.String(),
		Attempt:     int32(a.id.Number),
		End:         endNotStarted,
		Reason:      reason,
		WorkerFault: reason != "",
	})
}

// release sends the release to the owner in the background. If it is lost, the owner
// learns of the end from the worker's inventory. The returned channel is closed when no
// further attempt is made to send it.
func (f *Frontend) release(shard member.ShardRef, r *rpc.ReleaseRequest) <-chan struct{} {
	over := make(chan struct{})
	f.background(func(ctx context.Context) {
		defer close(over)
		pause := initialReleaseDelay
		for range maxReleaseAttempts {
			if f.tryRelease(ctx, shard, r) {
				return
			}
			if wait.For(ctx, pause) != nil {
				break
			}
			pause *= 2
		}
		countReleaseErr.Add(1)
	})
	return over
}

// awaitRelease waits until the ticket of the request's last attempt is released, because an
// owner issues only one ticket at a time for a request.
func (r *request) awaitRelease(ctx context.Context) {
	if r.released == nil {
		return
	}
	select {
	case <-r.released:
	case <-ctx.Done():
	}
}

func (f *Frontend) tryRelease(ctx context.Context, shard member.ShardRef, r *rpc.ReleaseRequest) bool {
	owner := shard.Owner
	if s, ok := f.opts.Directory.Shard(shard.Name); ok && s.Owner != nil {
		owner = s.Owner
	}
	_, err := owner.Release(ctx, r)
	return err == nil
}

// background runs fn in a goroutine that may outlast the request; Drain waits for it. It may
// be called only while a request is open.
func (f *Frontend) background(fn func(ctx context.Context)) {
	f.openRequests.Add(1)
	go func() {
		defer f.openRequests.Done()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		fn(ctx)
	}()
}

package owner

import (
	"time"

	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
)

// workersInterval is the minimum time between two published lists of workers.
const workersInterval = time.Second

// Workers returns the state of the shard's workers, at most about a second old. The
// returned list is shared and must not be modified.
func (o *Owner) Workers() []*rpc.WorkerStatus {
	list := o.workers.Load()
	if list == nil {
		return nil
	}
	return *list
}

// publishWorkers publishes the list of workers to other goroutines.
func (l *loop) publishWorkers(now time.Time) {
	if now.Sub(l.workersPublishedAt) < workersInterval {
		return
	}
	l.workersPublishedAt = now
	var list []*rpc.WorkerStatus
	for _, u := range l.core.Workers() {
		list = append(list, l.workerStatus(u))
	}
	l.Owner.workers.Store(&list)
}

func (l *loop) workerStatus(u sched.WorkerUsage) *rpc.WorkerStatus {
	status := &rpc.WorkerStatus{
		Worker:  u.Worker,
		State:   string(sched.WorkerLost),
		Used:    rpc.FromResources(u.Used),
		Running: int32(u.Attempts),
	}
	k, ok := l.workers[u.Worker]
	if !ok {
		return status
	}
	if k.state != "" {
		status.State = string(k.state)
	}
	status.Az = k.spec.AZ
	status.Rack = k.spec.Rack
	status.Capacity = rpc.FromResources(k.spec.Capacity)
	return status
}

package owner

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/model"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// workerLink is the event loop's view of one worker. The link's own goroutine
// communicates with the worker: it retries raising the fence until that succeeds, then
// sends heartbeats.
type workerLink struct {
	spec      model.WorkerSpec
	client    worker.Client
	cancel    context.CancelFunc
	orders    chan linkOrder
	state     sched.WorkerState // as last passed to the core; empty: not passed yet
	reachable bool              // the fence is raised and the worker responds
	contacted bool              // the worker has responded under this fence
	leaving   bool              // as reported by the worker
	// hostLeaving is true if the worker's host is leaving according to the platform's
	// host list.
	hostLeaving      bool
	removed          bool      // no longer in the configuration
	clock            int64     // latest reading of the worker's clock
	clockAt          time.Time // when it was received
	boot             string
	unreachableSince time.Time // time since which the worker does not respond; zero if it does
	// lastRenewalEnd is the end of the last heartbeat that may have renewed leases.
	lastRenewalEnd time.Time
	pendingAcks    []worker.Attempt
	sentAcks       []worker.Attempt // in the heartbeat in flight
	// renewing are the attempts whose leases the heartbeat in flight renews. It was
	// ordered at orderedAt.
	renewing      []worker.Attempt
	orderedAt     time.Time
	processedEnds map[worker.Attempt]bool
}

// linkOrder is the next command to the link's goroutine.
type linkOrder struct {
	raiseFence bool
	delay      time.Duration
	heartbeat  worker.Heartbeat
}

// fenceRaisedMessage carries the result of raising the fence.
type fenceRaisedMessage struct {
	link      *workerLink
	inventory worker.Inventory
	err       error
}

// heartbeatMessage carries the result of a heartbeat.
type heartbeatMessage struct {
	link  *workerLink
	reply worker.HeartbeatReply
	err   error
}

// connect adds a worker and starts its link.
func (l *loop) connect(spec model.WorkerSpec) {
	ctx, cancel := context.WithCancel(l.ownershipCtx)
	k := &workerLink{
		spec: spec, client: l.opts.Connect(spec), cancel: cancel, orders: make(chan linkOrder, 1),
		unreachableSince: time.Now(), lastRenewalEnd: time.Now(), processedEnds: map[worker.Attempt]bool{},
	}
	l.workers[spec.ID] = k
	l.spawn(func(context.Context) { l.runLink(ctx, k) })
}

// runLink is the link's goroutine.
func (l *loop) runLink(ctx context.Context, k *workerLink) {
	for ctx.Err() == nil {
		if l.raiseFence(ctx, k) {
			l.sendHeartbeats(ctx, k)
		}
		if wait.For(ctx, fenceRetry) != nil {
			return
		}
	}
}

func (l *loop) raiseFence(ctx context.Context, k *workerLink) bool {
	bounded, cancel := context.WithTimeout(ctx, fenceTimeout)
	inv, err := k.client.RaiseFence(bounded, l.ownerRow.Fence)
	cancel()
	l.post(ctx, fenceRaisedMessage{k, inv, err})
	return err == nil
}

// sendHeartbeats sends one heartbeat per order until one fails.
func (l *loop) sendHeartbeats(ctx context.Context, k *workerLink) {
	for {
		var o linkOrder
		select {
		case <-ctx.Done():
			return
		case o = <-k.orders:
		}
		if o.raiseFence || wait.For(ctx, o.delay) != nil {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, o.heartbeat.Wait+commandTimeout)
		reply, err := k.client.Heartbeat(bounded, o.heartbeat)
		cancel()
		l.post(ctx, heartbeatMessage{k, reply, err})
		if err != nil {
			return
		}
	}
}

func (m fenceRaisedMessage) handle(l *loop) {
	k := m.link
	if l.workers[k.spec.ID] != k {
		return
	}
	if errors.Is(m.err, worker.ErrFenced) {
		l.loseShard(trace.Wrap(ErrLost, "worker %s obeys a higher fence", k.spec.ID))
		return
	}
	if m.err != nil {
		l.workerUnreachable(k)
		return
	}
	k.recordContact(m.inventory.Clock, m.inventory.Boot, m.inventory.Leaving)
	k.pendingAcks, k.sentAcks = nil, nil
	clear(k.processedEnds)
	if !m.inventory.Capacity.IsZero() {
		k.spec.Capacity = k.spec.Capacity.Min(m.inventory.Capacity)
	}
	l.reconcile(k, m.inventory)
	l.updateWorkerState(k)
	l.orderHeartbeat(k, 0)
}

func (m heartbeatMessage) handle(l *loop) {
	k := m.link
	if l.workers[k.spec.ID] != k {
		return
	}
	k.lastRenewalEnd = time.Now()
	if m.err != nil {
		l.workerUnreachable(k)
		return
	}
	if m.reply.Boot != k.boot {
		k.orders <- linkOrder{raiseFence: true} // never blocks: one order per heartbeat
		return
	}
	k.recordContact(m.reply.Clock, m.reply.Boot, m.reply.Leaving)
	for _, id := range k.sentAcks {
		delete(k.processedEnds, id)
	}
	k.sentAcks = nil
	l.leasesRenewed(k)
	news := false
	for _, t := range m.reply.Changed {
		news = l.handleReport(k, t) || news
	}
	l.updateWorkerState(k)
	delay := heartbeatPause
	if !news && len(m.reply.Changed) > 0 && len(k.pendingAcks) == 0 {
		delay = noNewsPause // the worker replies immediately until its ends are acknowledged
	}
	l.orderHeartbeat(k, delay)
}

// leasesRenewed records which leases a successful heartbeat has renewed.
func (l *loop) leasesRenewed(k *workerLink) {
	for _, id := range k.renewing {
		if a, ok := l.attempts[id]; ok {
			a.renewedAt = k.orderedAt
		}
	}
	k.renewing = nil
}

func (k *workerLink) recordContact(clock int64, boot string, leaving bool) {
	k.clock, k.boot, k.leaving = clock, boot, leaving
	k.clockAt = time.Now()
	k.reachable, k.contacted = true, true
	k.unreachableSince = time.Time{}
}

// workerUnreachable records that the worker did not respond.
func (l *loop) workerUnreachable(k *workerLink) {
	k.reachable = false
	if k.unreachableSince.IsZero() {
		k.unreachableSince = time.Now()
	}
}

// orderHeartbeat orders the next heartbeat from the link.
func (l *loop) orderHeartbeat(k *workerLink, delay time.Duration) {
	k.sentAcks, k.pendingAcks = k.pendingAcks, nil
	k.renewing, k.orderedAt = l.renewalsDue(k), time.Now()
	k.orders <- linkOrder{delay: delay, heartbeat: worker.Heartbeat{
		Fence: l.ownerRow.Fence,
		Lease: l.lease(),
		Renew: k.renewing,
		Ack:   k.sentAcks,
		Wait:  l.heartbeatWait(k),
	}}
}

// heartbeatWait returns how long the worker may delay its reply to the next heartbeat.
// Workers report ends immediately, and the worker's clock is read again before a task
// starts on it. A task that starts during the wait on a worker without attempts still
// has half of its lease left.
func (l *loop) heartbeatWait(k *workerLink) time.Duration {
	if l.hasAttempts(k.spec.ID) {
		return min(maxHeartbeatWait, l.renewalAge())
	}
	return min(maxHeartbeatWait, l.lease()/2)
}

// renewalAge is the age of a renewal after which the lease is renewed again. Together
// with the wait of a heartbeat and the timeout of a lost one, it stays well within the
// lease.
func (l *loop) renewalAge() time.Duration { return l.lease() / renewalDivisor }

// clockFresh reports whether the last reading of the worker's clock leaves at
// least half of the start window.
func (l *loop) clockFresh(k *workerLink) bool {
	return time.Since(k.clockAt) < l.startWindow()/2
}

// clockMessage carries a worker's reply to a clock request.
type clockMessage struct {
	link  *workerLink
	reply worker.HeartbeatReply
}

func (m clockMessage) handle(l *loop) {
	k := m.link
	if l.workers[k.spec.ID] != k || !k.reachable || k.boot != m.reply.Boot {
		return // the next heartbeat detects this
	}
	k.recordContact(m.reply.Clock, m.reply.Boot, m.reply.Leaving)
	for _, t := range m.reply.Changed {
		l.handleReport(k, t)
	}
}

// errWorkerRestarted proves that a start was not sent, because the worker has
// restarted.
var errWorkerRestarted = errors.New("worker has restarted")

// readClock asks a worker for its clock and passes the reported changes to the event
// loop. It fails with errWorkerRestarted unless the worker still has the boot id for
// which the start was decided.
func (l *loop) readClock(ctx context.Context, k *workerLink, client worker.Client, boot string) (int64, error) {
	var reply worker.HeartbeatReply
	err := withCommandTimeout(ctx, func(ctx context.Context) (err error) {
		reply, err = client.Heartbeat(ctx, worker.Heartbeat{Fence: l.ownerRow.Fence})
		return err
	})
	if err != nil {
		return 0, err
	}
	l.post(ctx, clockMessage{k, reply})
	if reply.Boot != boot {
		return 0, errWorkerRestarted
	}
	return reply.Clock, nil
}

// renewalsDue returns the attempts whose leases are due for renewal. Without the
// table, leases of tasks without a start record are not renewed beyond the solo
// window, and those of other jobs not beyond renewWithoutTable. A successor that
// cannot reach the worker relies on these bounds.
func (l *loop) renewalsDue(k *workerLink) []worker.Attempt {
	now := time.Now()
	var out []worker.Attempt
	for _, a := range l.attemptsOn[k.spec.ID] {
		if !a.mayBeRunning() || now.Sub(a.renewedAt) < l.renewalAge() {
			continue
		}
		if a.isDirect() || now.Before(l.renewUntil(a)) {
			out = append(out, a.id)
		}
	}
	return out
}

func (l *loop) renewUntil(a *attempt) time.Time {
	if a.recorded {
		return l.lastTableWrite.Add(renewWithoutTable)
	}
	return l.soloUntil()
}

// acknowledge allows the worker to discard an ended attempt.
func (l *loop) acknowledge(a *attempt) {
	if k, ok := l.workers[a.worker]; ok {
		k.pendingAcks = append(k.pendingAcks, a.id)
	}
}

// updateWorkerState passes the state of a reachable worker to the core.
func (l *loop) updateWorkerState(k *workerLink) {
	state := sched.WorkerReady
	if k.leaving || k.hostLeaving || k.removed {
		state = sched.WorkerLeaving
	}
	l.setWorkerState(k, state)
}

func (l *loop) setWorkerState(k *workerLink, s sched.WorkerState) {
	if k.state == s {
		return
	}
	k.state = s
	l.record(timeline.Event{Kind: timeline.KindWorkerState, Target: k.spec.ID, Detail: string(s)})
	l.feed(sched.WorkerChanged{Worker: k.spec, State: s})
}

// checkUnreachableWorkers marks unreachable workers as lost and handles those whose
// leases have expired. It also disconnects removed workers without attempts.
func (l *loop) checkUnreachableWorkers() {
	now := time.Now()
	for id, k := range l.workers {
		if k.removed && !l.hasAttempts(id) {
			l.disconnect(k)
			continue
		}
		if k.reachable || now.Sub(k.unreachableSince) < workerLostAfter {
			continue
		}
		if k.state != sched.WorkerGone {
			l.setWorkerState(k, sched.WorkerLost)
		}
		if now.After(l.leasesExpiredAt(k)) {
			l.expireLeases(k, now)
		}
	}
}

// leasesExpiredAt returns the time after which no lease on a lost worker can be valid.
// A worker that this owner never contacted may still be in contact with the former
// owner. If the former owner is cut off from the table but not from the worker, it
// renews leases for renewWithoutTable.
func (l *loop) leasesExpiredAt(k *workerLink) time.Time {
	after := l.lease() + l.startWindow() + leaseMargin
	if !k.contacted && !l.ownerRow.cleanHandover {
		after += renewWithoutTable + l.lease() // see unrecordedWorkExcluded
	}
	return k.lastRenewalEnd.Add(after)
}

// expireLeases ends the attempts on a worker whose leases have expired. Attempts of
// non-idempotent jobs are kept for abandonDelay longer, because the worker may return
// and report their ends.
func (l *loop) expireLeases(k *workerLink, now time.Time) {
	waiting := false
	for _, a := range l.attemptsOn[k.spec.ID] {
		if !a.mayBeRunning() {
			continue
		}
		if !a.job.Task.Idempotent && !a.isDirect() && now.Before(l.leasesExpiredAt(k).Add(abandonDelay)) {
			waiting = true
			continue
		}
		l.endAttempt(a, l.endOf(a, worker.TaskLeaseExpired), worker.TaskReport{Error: "worker was lost"})
	}
	if !waiting {
		l.setWorkerState(k, sched.WorkerGone)
	}
}

// hasAttempts reports whether an attempt runs or may run on the worker.
func (l *loop) hasAttempts(id string) bool { return len(l.attemptsOn[id]) > 0 }

// disconnect drops the link to a worker that was removed from the configuration and
// has no attempts.
func (l *loop) disconnect(k *workerLink) {
	k.cancel()
	delete(l.workers, k.spec.ID)
	l.setWorkerState(k, sched.WorkerGone)
}

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

// link is the event loop's view of one worker. A goroutine of its own talks to
// the worker: it raises the fence until that succeeds, then sends heartbeats.
type link struct {
	spec    model.WorkerSpec
	client  worker.Client
	cancel  context.CancelFunc
	orders  chan order
	state   sched.WorkerState // as told to the core; empty: nothing yet
	reached bool              // the fence is raised and the worker answers
	everMet bool              // under this fence
	leaving bool              // says the worker
	// hostLeaving is true if the platform's host list says so.
	hostLeaving bool
	removed     bool      // no longer in the configuration
	clock       int64     // newest reading of the worker's clock
	clockAt     time.Time // when it was received
	boot        string
	silent      time.Time // since when nothing is heard; zero: it answers
	// renewed is the end of the last heartbeat that may have renewed leases.
	renewed time.Time
	acks    []worker.Attempt
	acking  []worker.Attempt // in the heartbeat under way
	// renewing are the attempts that the heartbeat under way extends, since it
	// was ordered.
	renewing  []worker.Attempt
	orderedAt time.Time
	known     map[worker.Attempt]bool
}

// order tells the link's goroutine what to do next.
type order struct {
	refence bool
	delay   time.Duration
	beat    worker.Heartbeat
}

// raisedMessage tells how the attempt to raise the fence ended.
type raisedMessage struct {
	link *link
	inv  worker.Inventory
	err  error
}

// beatMessage tells how a heartbeat ended.
type beatMessage struct {
	link  *link
	reply worker.HeartbeatReply
	err   error
}

// connect adds a worker.
func (l *loop) connect(spec model.WorkerSpec) {
	ctx, cancel := context.WithCancel(l.work)
	k := &link{
		spec: spec, client: l.opts.Connect(spec), cancel: cancel, orders: make(chan order, 1),
		silent: time.Now(), renewed: time.Now(), known: map[worker.Attempt]bool{},
	}
	l.workers[spec.ID] = k
	l.spawn(func(context.Context) { l.runLink(ctx, k) })
}

// runLink is the link's goroutine.
func (l *loop) runLink(ctx context.Context, k *link) {
	for ctx.Err() == nil {
		if l.raiseFence(ctx, k) {
			l.sendHeartbeats(ctx, k)
		}
		if wait.For(ctx, fenceRetry) != nil {
			return
		}
	}
}

func (l *loop) raiseFence(ctx context.Context, k *link) bool {
	bounded, cancel := context.WithTimeout(ctx, fenceTimeout)
	inv, err := k.client.RaiseFence(bounded, l.held.Fence)
	cancel()
	l.post(ctx, raisedMessage{k, inv, err})
	return err == nil
}

// sendHeartbeats sends one heartbeat per order until one fails.
func (l *loop) sendHeartbeats(ctx context.Context, k *link) {
	for {
		var o order
		select {
		case <-ctx.Done():
			return
		case o = <-k.orders:
		}
		if o.refence || wait.For(ctx, o.delay) != nil {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, o.beat.Wait+commandTimeout)
		reply, err := k.client.Heartbeat(bounded, o.beat)
		cancel()
		l.post(ctx, beatMessage{k, reply, err})
		if err != nil {
			return
		}
	}
}

func (m raisedMessage) handle(l *loop) {
	k := m.link
	if l.workers[k.spec.ID] != k {
		return
	}
	if errors.Is(m.err, worker.ErrFenced) {
		l.lose(trace.Wrap(ErrLost, "worker %s obeys a higher fence", k.spec.ID))
		return
	}
	if m.err != nil {
		l.unheard(k)
		return
	}
	k.heard(m.inv.Clock, m.inv.Boot, m.inv.Leaving)
	k.acks, k.acking = nil, nil
	clear(k.known)
	if !m.inv.Capacity.IsZero() {
		k.spec.Capacity = k.spec.Capacity.Min(m.inv.Capacity)
	}
	l.reconcile(k, m.inv)
	l.showWorker(k)
	l.orderBeat(k, 0)
}

func (m beatMessage) handle(l *loop) {
	k := m.link
	if l.workers[k.spec.ID] != k {
		return
	}
	k.renewed = time.Now()
	if m.err != nil {
		l.unheard(k)
		return
	}
	if m.reply.Boot != k.boot {
		k.orders <- order{refence: true} // never blocks: one order per beat
		return
	}
	k.heard(m.reply.Clock, m.reply.Boot, m.reply.Leaving)
	for _, id := range k.acking {
		delete(k.known, id)
	}
	k.acking = nil
	l.renewed(k)
	news := false
	for _, t := range m.reply.Changed {
		news = l.reported(k, t) || news
	}
	l.showWorker(k)
	delay := heartbeatPause
	if !news && len(m.reply.Changed) > 0 && len(k.acks) == 0 {
		delay = knownPause // the worker answers at once until it is acknowledged
	}
	l.orderBeat(k, delay)
}

// renewed notes which leases a heartbeat that was answered has extended.
func (l *loop) renewed(k *link) {
	for _, id := range k.renewing {
		if a, ok := l.attempts[id]; ok {
			a.renewedAt = k.orderedAt
		}
	}
	k.renewing = nil
}

func (k *link) heard(clock int64, boot string, leaving bool) {
	k.clock, k.boot, k.leaving = clock, boot, leaving
	k.clockAt = time.Now()
	k.reached, k.everMet = true, true
	k.silent = time.Time{}
}

// unheard notes that the worker did not answer.
func (l *loop) unheard(k *link) {
	k.reached = false
	if k.silent.IsZero() {
		k.silent = time.Now()
	}
}

// orderBeat has the link send the next heartbeat.
func (l *loop) orderBeat(k *link, delay time.Duration) {
	k.acking, k.acks = k.acks, nil
	k.renewing, k.orderedAt = l.renewals(k), time.Now()
	k.orders <- order{delay: delay, beat: worker.Heartbeat{
		Fence: l.held.Fence,
		Lease: l.lease(),
		Renew: k.renewing,
		Ack:   k.acking,
		Wait:  l.beatWait(k),
	}}
}

// beatWait is how long the next heartbeat may wait. Ends are told at once; the
// worker's clock is read anew before something starts there. A task that starts
// during the wait on a worker that ran nothing still has half its lease left.
func (l *loop) beatWait(k *link) time.Duration {
	if l.uses(k.spec.ID) {
		return min(beatWait, l.renewEvery())
	}
	return min(beatWait, l.lease()/2)
}

// renewEvery is the age of an extension from which on a lease is extended again.
// With the wait of a heartbeat and the time of one that is lost it stays well
// within the lease.
func (l *loop) renewEvery() time.Duration { return l.lease() / renewPart }

// clockFresh reports whether the last reading of the worker's clock leaves at
// least half of the start window.
func (l *loop) clockFresh(k *link) bool {
	return time.Since(k.clockAt) < l.startWindow()/2
}

// clockMessage carries a worker's answer to a request for its clock.
type clockMessage struct {
	link  *link
	reply worker.HeartbeatReply
}

func (m clockMessage) handle(l *loop) {
	k := m.link
	if l.workers[k.spec.ID] != k || !k.reached || k.boot != m.reply.Boot {
		return // the next heartbeat finds out
	}
	k.heard(m.reply.Clock, m.reply.Boot, m.reply.Leaving)
	for _, t := range m.reply.Changed {
		l.reported(k, t)
	}
}

// errRestarted proves that a start was not sent: the worker has restarted.
var errRestarted = errors.New("worker has restarted")

// readClock asks a worker for its clock and passes its news to the loop. The
// boot must be the one that the start was decided for.
func (l *loop) readClock(ctx context.Context, k *link, client worker.Client, boot string) (int64, error) {
	var reply worker.HeartbeatReply
	err := command(ctx, func(ctx context.Context) (err error) {
		reply, err = client.Heartbeat(ctx, worker.Heartbeat{Fence: l.held.Fence})
		return err
	})
	if err != nil {
		return 0, err
	}
	l.post(ctx, clockMessage{k, reply})
	if reply.Boot != boot {
		return 0, errRestarted
	}
	return reply.Clock, nil
}

// renewals lists the attempts whose leases are due to be extended. Without the table the
// leases of tasks without a start record are not extended beyond the solo
// window, and no other job's beyond renewWithoutTable: a successor that cannot
// reach the worker counts on that.
func (l *loop) renewals(k *link) []worker.Attempt {
	now := time.Now()
	var out []worker.Attempt
	for _, a := range l.on[k.spec.ID] {
		if !a.mayRun() || now.Sub(a.renewedAt) < l.renewEvery() {
			continue
		}
		if a.direct() || now.Before(l.renewUntil(a)) {
			out = append(out, a.id)
		}
	}
	return out
}

func (l *loop) renewUntil(a *attempt) time.Time {
	if a.recorded {
		return l.lastSign.Add(renewWithoutTable)
	}
	return l.soloUntil()
}

// acknowledge lets the worker forget an ended attempt.
func (l *loop) acknowledge(a *attempt) {
	if k, ok := l.workers[a.worker]; ok {
		k.acks = append(k.acks, a.id)
	}
}

// showWorker tells the core how it may use the worker.
func (l *loop) showWorker(k *link) {
	state := sched.WorkerReady
	if k.leaving || k.hostLeaving || k.removed {
		state = sched.WorkerLeaving
	}
	l.setState(k, state)
}

func (l *loop) setState(k *link, s sched.WorkerState) {
	if k.state == s {
		return
	}
	k.state = s
	l.record(timeline.Event{Kind: timeline.KindWorkerState, Target: k.spec.ID, Detail: string(s)})
	l.feed(sched.WorkerChanged{Worker: k.spec, State: s})
}

// checkWorkers finds the workers that are lost, and those whose leases have
// lapsed.
func (l *loop) checkWorkers() {
	now := time.Now()
	for id, k := range l.workers {
		if k.removed && !l.uses(id) {
			l.disconnect(k)
			continue
		}
		if k.reached || now.Sub(k.silent) < lostAfter {
			continue
		}
		if k.state != sched.WorkerGone {
			l.setState(k, sched.WorkerLost)
		}
		if now.After(l.lapsedBy(k)) {
			l.lapse(k, now)
		}
	}
}

// lapsedBy is when no lease on a lost worker can still hold. A worker that this
// owner never met may be under the former owner, which renews leases for
// renewWithoutTable if the table, but not the worker, is cut off from it.
func (l *loop) lapsedBy(k *link) time.Time {
	after := l.lease() + l.startWindow() + leaseMargin
	if !k.everMet && !l.held.clean {
		after += renewWithoutTable + l.lease() // see accounted
	}
	return k.renewed.Add(after)
}

// lapse ends what ran on a worker whose leases have lapsed. What is not
// idempotent is waited for a while longer: the worker may come back and tell.
func (l *loop) lapse(k *link, now time.Time) {
	waiting := false
	for _, a := range l.on[k.spec.ID] {
		if !a.mayRun() {
			continue
		}
		if !a.job.Task.Idempotent && !a.direct() && now.Before(l.lapsedBy(k).Add(abandonAfter)) {
			waiting = true
			continue
		}
		l.endAttempt(a, l.endOf(a, worker.TaskLeaseExpired), worker.TaskReport{Error: "worker was lost"})
	}
	if !waiting {
		l.setState(k, sched.WorkerGone)
	}
}

// uses reports whether anything runs or may run on the worker.
func (l *loop) uses(id string) bool { return len(l.on[id]) > 0 }

// disconnect forgets a worker that left the configuration and runs nothing.
func (l *loop) disconnect(k *link) {
	k.cancel()
	delete(l.workers, k.spec.ID)
	l.setState(k, sched.WorkerGone)
}

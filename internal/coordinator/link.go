package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/wait"
	"cuminloft/internal/workload"
)

// Leases of tasks and timing of calls to workers.
const (
	// leaseDuration is how long tasks on a worker keep running without contact to the
	// coordinator. It outlasts a takeover and a network partition of 5.5 s.
	leaseDuration = 7 * time.Second
	// clockDriftFactor covers a worker's clock that runs 2% slow.
	clockDriftFactor = 1.03
	leaseMargin      = 150 * time.Millisecond
	// maxWorkerLease is the longest lease that a worker gives its runs.
	maxWorkerLease = 10 * time.Second
	// takeoverBound is the time after a leader's last commit by which all its leases have
	// expired, so that its successor knows when a worker out of reach runs nothing. It
	// outlasts a store outage of 7 s.
	takeoverBound = 8500 * time.Millisecond
	// olderTakeoverBound is that time for builds whose record has no EarlierLeasesEndMS.
	olderTakeoverBound = 13210 * time.Millisecond

	// heartbeatWaitBusy is how long a worker with tasks waits for an end before it
	// answers; over a thin link it is thinHeartbeatWait.
	heartbeatWaitBusy = 700 * time.Millisecond
	thinHeartbeatWait = 1500 * time.Millisecond
	// heartbeatWaitShort applies while a task runs that is expected to take no longer than
	// dispatch.ShortTask: a heartbeat that is not answered delays the report of its end.
	heartbeatWaitShort = 350 * time.Millisecond
	// A worker without tasks gets a heartbeat every idleInterval, or
	// idleIntervalPerWorker times the number of workers if that is longer: a
	// coordinator can make some 500 such calls a second beside its other work.
	idleInterval          = 2 * time.Second
	idleIntervalPerWorker = 2 * time.Millisecond
	// maxShortHeartbeats is the number of concurrent heartbeats that return without
	// waiting. Load pattern: a takeover in a cell of thousands of workers. Calling all
	// of them at once takes the process longer than the timeout of one call, so the
	// calls would be repeated without end.
	maxShortHeartbeats = 256
	// A heartbeat that is not answered is repeated at once, without waiting for an end.
	// From lostContactFailures on the worker counts as out of reach, and heartbeats
	// pause for heartbeatRetryPause.
	lostContactFailures = 2
	heartbeatRetryPause = 250 * time.Millisecond
	heartbeatPause      = 15 * time.Millisecond // batches ends of tasks that come together
	ackTimeout          = 400 * time.Millisecond

	// orderTimeout bounds the first attempt of an order, repeatTimeout the others.
	// Repeating an order is harmless, so a lost answer need not be waited for.
	orderTimeout        = 200 * time.Millisecond
	repeatTimeout       = 700 * time.Millisecond
	startAttempts       = 2
	maxConcurrentOrders = 3 // concurrent orders to one worker
	orderQueueSize      = 256
)

// maxStartAge is how long after its decision a start is sent, which waits for a commit and
// for its turn at the worker. Later the worker may have less capacity, or be draining or
// evacuated, and the registry may be read only after an outage of the store.
const maxStartAge = 2 * time.Second

// heartbeatResult is the outcome of a heartbeat.
type heartbeatResult struct {
	worker    string
	address   string // to which the heartbeat was sent
	inventory workload.Inventory
	sentAt    time.Time
	err       error
}

// startResult and stopResult are the outcomes of orders.
type startResult struct {
	start dispatch.Start
	err   error
}

// throttleFailed reports a throttle order that failed.
type throttleFailed struct {
	order dispatch.ThrottleOrder
	err   error
}

// firstAttemptLost reports that the first attempt of an order got no answer.
type firstAttemptLost struct {
	worker string
}

type stopResult struct {
	stop dispatch.StopOrder
	err  error
}

// link sends heartbeats and orders to a worker. It continues when the worker restarts
// under the same ID and address.
type link struct {
	set        *linkSet
	worker     workload.Worker
	cancel     context.CancelFunc
	orders     chan struct{} // a token for each order in progress
	ackChanged chan struct{} // signalled when ack changes
	notIdle    chan struct{} // signalled when the worker is no longer idle

	mu             sync.Mutex
	ack            int64 // ends of runs up to this sequence number are stored
	ackIncarnation int64 // incarnation whose sequence numbers ack refers to
	ackSent        int64 // sent with the latest heartbeat that was answered
	incarnation    int64 // incarnation that answered the latest heartbeat; 0 if it has ended
	fence          int64 // of the commands to the incarnation; earlier incarnations had lower ones
	latest         int64 // latest incarnation known, also if it has ended
	fenced         bool  // the incarnation has answered under its fence
	strayLease     bool  // it may have got a lease that was meant for an earlier one
	tasks          int
	shortTasks     bool      // a short task may be running
	clock          int64     // latest reading of the incarnation's clock, milliseconds; 0 if there is none
	clockReceived  time.Time // when clock was received; the reading may be older, not newer
	leasesEndBy    time.Time // all leases given by this link have expired then
	grantedAt      time.Time // when a lease was last given
	withheld       bool      // no leases are given: see leaseBounds
	leaseless      bool      // the latest heartbeat gave no lease
	answered       bool      // the worker counts as in reach
	failures       int       // consecutive heartbeats without an answer
}

func newLink(set *linkSet, l dispatch.WorkerView) *link {
	return &link{
		set: set, worker: l.Worker, fence: set.fence, orders: make(chan struct{}, maxConcurrentOrders),
		ackChanged: make(chan struct{}, 1), notIdle: make(chan struct{}, 1), ack: l.Acked, ackIncarnation: l.Incarnation, tasks: l.Tasks,
	}
}

// update takes over the core's current view of the worker.
func (l *link) update(v dispatch.WorkerView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tasks, l.shortTasks = v.Tasks, v.ShortTasks
	if v.Acked != l.ack || v.Incarnation != l.ackIncarnation {
		l.ack, l.ackIncarnation = v.Acked, v.Incarnation
		signal(l.ackChanged)
	}
	if !l.idle() {
		signal(l.notIdle)
	}
}

// signal wakes the goroutine that waits for ch, or the next one to wait.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// idle reports whether the worker has no tasks, nothing is to be acknowledged and its fence
// is in force. The caller holds mu.
func (l *link) idle() bool {
	return l.tasks == 0 && l.fenced && l.ackSent == l.ack && l.incarnation == l.ackIncarnation
}

// currentFence returns the fence of the commands to the incarnation.
func (l *link) currentFence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}

// leasesEnd returns the time by which all leases given by this link have expired.
func (l *link) leasesEnd() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leasesEndBy
}

// withhold keeps the link from giving leases. It returns when the last lease was given,
// and when all leases have expired.
func (l *link) withhold() (grantedAt, leasesEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withheld = true
	return l.grantedAt, l.leasesEndBy
}

// release lets the link give leases again.
func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withheld = false
}

// takeLeaseless reports whether the worker's tasks wait for a lease that can be given now:
// the latest heartbeat gave none and may be waiting for an end. It returns true once for
// such a heartbeat.
func (l *link) takeLeaseless() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaseless || !l.answered || l.failures > 0 || l.withheld || l.tasks == 0 {
		return false
	}
	l.leaseless = false
	return true
}

// setClock records a reading of an incarnation's clock. The caller holds mu.
func (l *link) setClock(incarnation, clockMS int64) {
	if clockMS > 0 && incarnation == l.incarnation {
		l.clock, l.clockReceived = clockMS, time.Now()
	}
}

// restarted records that an incarnation has ended. A heartbeat is due: the next incarnation
// and its clock are not known.
func (l *link) restarted(incarnation int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation == incarnation {
		l.incarnation, l.clock, l.fenced = 0, 0, false
		signal(l.notIdle)
	}
}

// lease is a lease for all runs of one incarnation of a worker.
type lease struct {
	until       int64 // on the incarnation's clock, in milliseconds; 0 is no lease
	incarnation int64 // 0 if the worker names none
	fence       int64 // of the commands to the incarnation
}

// newLease returns a lease given now.
func (l *link) newLease() lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lease{l.leaseUntil(time.Now()), l.incarnation, l.fence}
}

// leaseUntil returns the end of a lease given now, on the clock of the incarnation known.
// Another one must not get it: on its clock the lease may end after leasesEndBy. It returns
// 0 if the clock is not known, if the leadership was last renewed takeoverBound ago, if the
// bound of the worker's leases is stored, or if the worker did not answer the latest
// heartbeats: offering further leases to an unreachable worker would keep extending the
// time by which its leases have expired. The caller holds mu.
func (l *link) leaseUntil(now time.Time) int64 {
	if l.clock == 0 || !l.answered || l.withheld {
		return 0
	}
	elapsed := now.Sub(l.clockReceived)
	latestEnd := l.set.leasesEndBefore().Add(-leaseMargin)
	duration := min(elapsed+leaseDuration, time.Duration(float64(latestEnd.Sub(l.clockReceived))/clockDriftFactor))
	if duration <= elapsed {
		return 0
	}
	l.grantedAt = now
	l.countLease(l.clockReceived, duration)
	return l.clock + duration.Milliseconds()
}

// countLease records that a lease of some duration on the worker's clock may have been given
// at the given time. The caller holds mu.
func (l *link) countLease(at time.Time, duration time.Duration) {
	span := time.Duration(clockDriftFactor * float64(duration))
	if end := at.Add(span + leaseMargin); end.After(l.leasesEndBy) {
		l.leasesEndBy = end
	}
}

// run sends heartbeats to the worker until ctx ends or a worker with another ID answers
// at the address.
func (l *link) run(ctx context.Context) {
	defer l.set.coordinator.Commander.Disconnect(&l.worker)
	first := true
	for ctx.Err() == nil {
		inv, err := l.heartbeat(ctx, first)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, workload.ErrReplaced) {
			return
		}
		if err != nil {
			pause := heartbeatRetryPause
			if l.inReach() {
				pause = heartbeatPause
			}
			_ = wait.For(ctx, pause) // the loop ends with ctx
			continue
		}
		first = false
		if n := len(inv.Ended); n > 0 {
			l.waitAck(ctx, inv.Ended[n-1].Seq)
		}
		_ = wait.For(ctx, heartbeatPause) // the loop ends with ctx
		l.waitWhileIdle(ctx)
	}
}

// inReach reports whether the worker counts as in reach.
func (l *link) inReach() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

// waitWhileIdle returns when the worker is no longer idle or the idle interval is over.
func (l *link) waitWhileIdle(ctx context.Context) {
	pause := max(idleInterval, time.Duration(l.set.count.Load())*idleIntervalPerWorker)
	timer := time.NewTimer(pause - rand.N(pause/4))
	defer timer.Stop()
	for l.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.notIdle:
		}
	}
}

func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idle()
}

// heartbeat makes one heartbeat call and posts its result to the event loop.
func (l *link) heartbeat(ctx context.Context, first bool) (workload.Inventory, error) {
	l.mu.Lock()
	var order workload.Heartbeat
	failures := l.failures
	if l.tasks > 0 && failures == 0 && l.fenced && !first {
		order.Wait = l.busyWait()
	}
	l.mu.Unlock()
	if order.Wait == 0 {
		select {
		case l.set.shortHeartbeats <- struct{}{}:
			defer func() { <-l.set.shortHeartbeats }()
		case <-ctx.Done():
			return workload.Inventory{}, ctx.Err()
		}
	}
	l.mu.Lock()
	known := l.incarnation
	order.Fence = l.fence
	if !first {
		order.AckSeq = l.ackSeq()
	}
	if l.failures == 0 { // the worker may have restarted since an unanswered heartbeat
		order.LeaseUntil = l.leaseUntil(time.Now())
	}
	if order.AckSeq != 0 || order.LeaseUntil != 0 {
		order.Incarnation = known
	}
	l.leaseless = order.LeaseUntil == 0
	l.mu.Unlock()
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, order.Wait+l.set.answerTimes.timeout(failures))
	inv, err := l.set.coordinator.Commander.Heartbeat(call, &l.worker, order)
	cancel()
	if err == nil {
		if took := time.Since(sentAt); took >= order.Wait { // otherwise the worker has waited for an unknown time
			l.set.answerTimes.add(took - order.Wait)
		}
	}
	if errors.Is(err, workload.ErrRestarted) {
		l.restarted(order.Incarnation)
		return inv, err
	}
	if !l.recordHeartbeat(order, known, inv, err) {
		return workload.Inventory{}, err
	}
	l.post(ctx, heartbeatResult{l.worker.ID, l.worker.Address, inv, sentAt, err})
	return inv, err
}

// busyWait returns how long the worker waits for an end before it answers a heartbeat.
// The caller holds mu.
func (l *link) busyWait() time.Duration {
	switch {
	case l.set.coordinator.ThinLink:
		return thinHeartbeatWait
	case l.shortTasks:
		return heartbeatWaitShort
	default:
		return heartbeatWaitBusy
	}
}

// recordHeartbeat records the outcome of a heartbeat that was sent when the given
// incarnation was the latest one known. It reports whether the outcome is to be passed on: a
// single heartbeat without an answer is not, nor is the answer of an incarnation that was
// not known before and may have ended since, nor one under an earlier fence.
func (l *link) recordHeartbeat(order workload.Heartbeat, known int64, inv workload.Inventory, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if order.Fence < l.fence && !errors.Is(err, workload.ErrReplaced) {
		return false
	}
	if err == nil {
		if inv.Incarnation != l.incarnation {
			if l.incarnation != known {
				return false
			}
			l.meet(inv)
		}
		l.setClock(inv.Incarnation, inv.ClockMS)
		l.answered, l.failures, l.ackSent = true, 0, order.AckSeq
		l.fenced = order.Fence == l.fence
		if l.fenced && l.strayLease {
			l.strayLease = false
			l.countLease(time.Now(), maxWorkerLease)
		}
		return l.fenced
	}
	l.failures++
	if errors.Is(err, workload.ErrNoAnswer) && l.failures < lostContactFailures {
		return false
	}
	l.answered = false
	return true
}

// meet records that another incarnation answers. If commands were meant for an earlier one,
// the next heartbeat raises the fence: a command that was left unanswered may be carried out
// seconds later, and only an inventory from then on shows all runs that there may be. Until
// then such a command may also give a lease, as long as the worker allows. The caller holds
// mu.
func (l *link) meet(inv workload.Inventory) {
	if l.latest != 0 && l.latest != inv.Incarnation {
		l.fence, l.strayLease = l.set.fenceAfter(l.fence), true
	}
	l.set.coordinator.Log.Info("incarnation answers", "worker", l.worker.ID, "born", inv.Incarnation, "before", l.latest,
		"clock", inv.ClockMS, "fence", l.fence, "leases end in", max(0, time.Until(l.leasesEndBy)))
	l.incarnation, l.clock = inv.Incarnation, 0
	if inv.Incarnation != 0 {
		l.latest = inv.Incarnation
	}
}

// ackSeq returns the last sequence number that may be acknowledged. It is 0 unless the
// incarnation that the number refers to answered the latest heartbeat: a new
// incarnation numbers its ends from the start and would drop ends that were never
// reported. The worker may have restarted since a heartbeat without an answer. The caller
// holds mu.
func (l *link) ackSeq() int64 {
	if !l.answered || l.failures > 0 || l.incarnation != l.ackIncarnation {
		return 0
	}
	return l.ack
}

// waitAck waits until the ends up to seq are stored, at most for ackTimeout.
func (l *link) waitAck(ctx context.Context, seq int64) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		l.mu.Lock()
		done := l.ackSeq() >= seq
		l.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.ackChanged:
		}
	}
}

// post passes an event to the event loop.
func (l *link) post(ctx context.Context, event any) {
	select {
	case l.set.events <- event:
	case <-ctx.Done():
	}
}

// start sends a start order with a lease that was given when the order was decided: an
// order that waits behind others until its run counts as over is refused by the worker. It
// is repeated if its answer is lost: a worker that already runs the task answers as if it
// had just started it.
//
// A start that was decided for another incarnation is not sent: that one's capacity and
// tickets say nothing about this one.
func (l *link) start(ctx context.Context, st dispatch.Start, given lease) {
	st.Order.Fence, st.Order.LeaseUntil = given.fence, given.until
	if st.Order.Incarnation == 0 {
		st.Order.Incarnation = given.incarnation
	}
	attempts := 0
	err := l.sendOrder(ctx, func(call context.Context) error {
		if time.Since(st.DecidedAt) > maxStartAge {
			return workload.ErrStartExpired
		}
		if given.until == 0 {
			return workload.ErrUnhealthy
		}
		if st.Order.Incarnation != given.incarnation {
			return workload.ErrRestarted
		}
		if attempts++; attempts > 1 {
			l.set.coordinator.Log.Info("start repeated", "task", st.Order.Run.Task.String(), "run", st.Order.Run.Number, "worker", l.worker.ID,
				"born", given.incarnation, "lease until", given.until, "age", time.Since(st.DecidedAt))
		}
		clock, err := l.set.coordinator.Commander.Start(call, &l.worker, st.Order)
		if errors.Is(err, workload.ErrFenced) && given.fence < l.currentFence() {
			err = fmt.Errorf("%w: %w", workload.ErrRestarted, err)
		}
		if errors.Is(err, workload.ErrRestarted) {
			l.restarted(given.incarnation)
			return err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.setClock(given.incarnation, clock)
		return err
	}, startAttempts)
	st.Worker.Address = l.worker.Address // to which the order was sent
	l.post(ctx, startResult{st, err})
}

// stop sends a stop order.
func (l *link) stop(ctx context.Context, st dispatch.StopOrder) {
	err := l.sendOrder(ctx, func(call context.Context) error {
		return l.set.coordinator.Commander.Stop(call, &l.worker, st.Run, l.currentFence())
	}, 1)
	st.Worker.Address = l.worker.Address // to which the order was sent
	l.post(ctx, stopResult{st, err})
}

// throttle sends a throttle order.
func (l *link) throttle(ctx context.Context, o dispatch.ThrottleOrder) {
	err := l.sendOrder(ctx, func(call context.Context) error {
		return l.set.coordinator.Commander.Throttle(call, &l.worker, o.Run, o.Percent, l.currentFence())
	}, 1)
	if err != nil {
		l.post(ctx, throttleFailed{o, err})
	}
}

// sendOrder makes a call, at most maxConcurrentOrders at a time, and repeats it while its
// answers are lost. After a lost answer, only success or ErrReplaced counts as an
// answer: any other error is returned as ErrNoAnswer, since the lost call may have been
// executed.
func (l *link) sendOrder(ctx context.Context, call func(context.Context) error, attempts int) error {
	select {
	case l.orders <- struct{}{}:
		defer func() { <-l.orders }()
	case <-ctx.Done():
		return ctx.Err()
	}
	var err error
	for n := range attempts {
		timeout := repeatTimeout
		if n == 0 && attempts > 1 {
			timeout = orderTimeout
		}
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err = call(attempt)
		cancel()
		if err == nil || errors.Is(err, workload.ErrReplaced) {
			return err
		}
		if n == 0 && errors.Is(err, workload.ErrNoAnswer) {
			l.post(ctx, firstAttemptLost{l.worker.ID})
		}
		if !errors.Is(err, workload.ErrNoAnswer) {
			if n > 0 {
				return errors.Join(workload.ErrNoAnswer, err)
			}
			return err
		}
	}
	return err
}

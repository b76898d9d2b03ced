package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/wait"
	"cuminloft/internal/workload"
)

// Leases and calls to workers.
const (
	// lease is how long what runs on a worker goes on without a word from the
	// coordinator. It outlives a takeover and a partition of 5.5 s.
	lease = 7 * time.Second
	// clockSlack covers a worker's clock that runs 2% slow.
	clockSlack = 1.03
	leaseSlack = 150 * time.Millisecond
	// unconfirmedLimit is how long after its last commit a coordinator still
	// renews leases; later its successor counts on them to end.
	unconfirmedLimit = 5 * time.Second
	// TakeoverBound is the time after a takeover at which every lease that
	// earlier holders gave has ended.
	TakeoverBound = unconfirmedLimit + time.Duration(clockSlack*float64(lease)) + time.Second

	holdWaitBusy = 700 * time.Millisecond // of a hold on a worker with tasks
	// A worker without tasks is looked at every idlePause, at least idleSpacing times
	// the number of workers: a coordinator can make some 500 such calls a second
	// beside its work.
	idlePause   = 2 * time.Second
	idleSpacing = 2 * time.Millisecond
	// shortHolds calls that need no waiting are under way at a time. Load pattern: a
	// takeover in a cell of thousands of workers. Calls to all of them at once take
	// the process longer than each may take, and their repeats would never end.
	shortHolds = 256
	// holdSlack is added to the time that a hold may wait. A hold that is not
	// answered hides the ends of tasks that long.
	holdSlack   = 400 * time.Millisecond
	holdRetry   = 250 * time.Millisecond
	holdPause   = 15 * time.Millisecond // bundles ends that come together
	ackPatience = 400 * time.Millisecond

	// orderTimeout bounds the first attempt of an order, repeatTimeout the others.
	// A repeat of an order is harmless, so a lost answer need not be waited for.
	orderTimeout   = 200 * time.Millisecond
	repeatTimeout  = 700 * time.Millisecond
	startAttempts  = 2
	ordersAtOnce   = 3 // orders under way to one worker
	orderQueueSize = 256
)

// report is the outcome of a hold.
type report struct {
	worker string
	inv    workload.Inventory
	asked  time.Time
	err    error
}

// startAnswer and stopAnswer are the outcomes of orders.
type startAnswer struct {
	start dispatch.Start
	err   error
}

type paceFailed struct {
	order dispatch.ThrottleOrder
	err   error
}

// unanswered tells that the first attempt of an order got no answer.
type unanswered struct {
	worker string
}

type stopAnswer struct {
	stop dispatch.StopOrder
	err  error
}

// link keeps in touch with one life of a worker.
type link struct {
	set    *linkSet
	worker workload.Worker
	cancel context.CancelFunc
	orders chan struct{} // a token for each order under way
	acked  chan struct{} // signalled when ack grows
	busy   chan struct{} // signalled when there is more to do than to look now and then

	mu        sync.Mutex
	ack       int64 // ends up to this one are stored
	ackLife   int64 // life of the worker that ack counts in
	ackSent   int64 // acknowledged with the latest hold that was answered
	life      int64 // life that answered the latest hold
	tasks     int
	clock     int64     // the worker's clock, milliseconds
	clockAt   time.Time // when it was heard; the reading is not younger
	leaseOver time.Time // when leases given here have surely ended
	contact   bool      // the latest hold was answered
}

func newLink(set *linkSet, l dispatch.WorkerView) *link {
	return &link{
		set: set, worker: l.Worker, orders: make(chan struct{}, ordersAtOnce),
		acked: make(chan struct{}, 1), busy: make(chan struct{}, 1), ack: l.Acked, ackLife: l.Incarnation, tasks: l.Tasks,
	}
}

// update takes the core's present view.
func (l *link) update(v dispatch.WorkerView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tasks = v.Tasks
	if v.Acked != l.ack || v.Incarnation != l.ackLife {
		l.ack, l.ackLife = v.Acked, v.Incarnation
		signal(l.acked)
	}
	if !l.idle() {
		signal(l.busy)
	}
}

// signal wakes whoever waits for ch, now or later.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// idle reports whether nothing runs there and nothing is to be acknowledged. The
// caller holds mu.
func (l *link) idle() bool { return l.tasks == 0 && l.ackSent == l.ack && l.life == l.ackLife }

// over returns when leases given here have surely ended.
func (l *link) over() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseOver
}

// heard takes a reading of the worker's clock.
func (l *link) heard(clockMS int64) {
	if clockMS <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock, l.clockAt = clockMS, time.Now()
}

// leaseUntil returns the end of a lease given now on the worker's clock. It is 0
// if the clock is not known, if the seat has not been confirmed for too long, or
// if the worker did not answer the latest hold: leases that are offered to a
// worker that is gone would never be over.
func (l *link) leaseUntil() int64 {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock == 0 || !l.contact || now.Sub(l.set.confirmed()) > unconfirmedLimit {
		return 0
	}
	until := l.clock + now.Sub(l.clockAt).Milliseconds() + lease.Milliseconds()
	span := time.Duration(clockSlack * float64(time.Duration(until-l.clock)*time.Millisecond))
	if over := l.clockAt.Add(span + leaseSlack); over.After(l.leaseOver) {
		l.leaseOver = over
	}
	return until
}

// run holds the worker until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.set.c.Commander.Disconnect(&l.worker)
	first := true
	for ctx.Err() == nil {
		inv, err := l.hold(ctx, first)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, workload.ErrReplaced) {
			return
		}
		if err != nil {
			_ = wait.For(ctx, holdRetry) // the loop ends with ctx
			continue
		}
		first = false
		if n := len(inv.Ended); n > 0 {
			l.waitAck(ctx, inv.Ended[n-1].Seq)
		}
		_ = wait.For(ctx, holdPause) // the loop ends with ctx
		l.rest(ctx)
	}
}

// rest waits while the worker is idle, for a bounded time.
func (l *link) rest(ctx context.Context) {
	pause := max(idlePause, time.Duration(l.set.count.Load())*idleSpacing)
	timer := time.NewTimer(pause - rand.N(pause/4))
	defer timer.Stop()
	for l.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.busy:
		}
	}
}

func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idle()
}

// hold makes one call and reports its outcome.
func (l *link) hold(ctx context.Context, first bool) (workload.Inventory, error) {
	l.mu.Lock()
	order := workload.Heartbeat{Fence: l.set.fence, AckSeq: l.acknowledged()}
	if l.tasks > 0 {
		order.Wait = holdWaitBusy
	}
	l.mu.Unlock()
	if first {
		order.Wait = 0
	}
	if order.Wait == 0 {
		select {
		case l.set.short <- struct{}{}:
			defer func() { <-l.set.short }()
		case <-ctx.Done():
			return workload.Inventory{}, ctx.Err()
		}
	}
	order.LeaseUntil = l.leaseUntil()
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, order.Wait+holdSlack)
	inv, err := l.set.c.Commander.Heartbeat(call, &l.worker, order)
	cancel()
	if err == nil {
		l.heard(inv.ClockMS)
	}
	l.mu.Lock()
	l.contact = err == nil
	if err == nil {
		l.life, l.ackSent = inv.Incarnation, order.AckSeq
	}
	l.mu.Unlock()
	l.send(ctx, report{l.worker.ID, inv, asked, err})
	return inv, err
}

// acknowledged returns the last end that may be acknowledged. It is 0 unless the
// life that the number counts in has answered the latest hold: a new life counts
// its ends anew, and would forget some that nobody has seen. The caller holds mu.
func (l *link) acknowledged() int64 {
	if !l.contact || l.life != l.ackLife {
		return 0
	}
	return l.ack
}

// waitAck waits until the ends up to seq are stored, for a bounded time.
func (l *link) waitAck(ctx context.Context, seq int64) {
	timer := time.NewTimer(ackPatience)
	defer timer.Stop()
	for {
		l.mu.Lock()
		done := l.acknowledged() >= seq
		l.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.acked:
		}
	}
}

// send hands an event to the coordinator's loop.
func (l *link) send(ctx context.Context, event any) {
	select {
	case l.set.events <- event:
	case <-ctx.Done():
	}
}

// start sends a start order. One whose answer is lost is repeated: a run that is
// there already counts as started.
func (l *link) start(ctx context.Context, st dispatch.Start) {
	err := l.order(ctx, func(call context.Context) error {
		order := st.Order
		order.Fence = l.set.fence
		order.LeaseUntil = l.leaseUntil()
		if order.LeaseUntil == 0 {
			return workload.ErrUnhealthy
		}
		clock, err := l.set.c.Commander.Start(call, &l.worker, order)
		l.heard(clock)
		return err
	}, startAttempts)
	l.send(ctx, startAnswer{st, err})
}

// stop sends a stop order.
func (l *link) stop(ctx context.Context, st dispatch.StopOrder) {
	err := l.order(ctx, func(call context.Context) error {
		return l.set.c.Commander.Stop(call, &l.worker, st.Run, l.set.fence)
	}, 1)
	l.send(ctx, stopAnswer{st, err})
}

// pace sends a pace order.
func (l *link) pace(ctx context.Context, o dispatch.ThrottleOrder) {
	err := l.order(ctx, func(call context.Context) error {
		return l.set.c.Commander.Throttle(call, &l.worker, o.Run, o.Percent, l.set.fence)
	}, 1)
	if err != nil {
		l.send(ctx, paceFailed{o, err})
	}
}

// order makes a call, at most ordersAtOnce at a time, and repeats it while its
// answers are lost. After a lost answer, only an answer that proves the state of
// the worker counts.
func (l *link) order(ctx context.Context, call func(context.Context) error, attempts int) error {
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
			l.send(ctx, unanswered{l.worker.ID})
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

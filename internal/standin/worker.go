package standin

import (
	"fmt"
	"sync"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// DefaultUsageLag is the default lag of a worker's usage reports.
const DefaultUsageLag = 5 * time.Second

// Options are the settings of a stand-in worker. The zero value is usable.
type Options struct {
	ClockOffset time.Duration // the worker's clock minus the clock of package time
	UsageLag    time.Duration // default DefaultUsageLag
	Handler     Handler       // default DefaultHandler
}

// Worker is the stand-in of one worker. It refuses starts that exceed its own capacity.
type Worker struct {
	Faults

	spec    model.WorkerSpec
	options Options

	mu        sync.Mutex
	bootCount int
	fence     worker.Fence
	fenced    bool // RaiseFence was accepted since the last boot
	leaving   bool
	attempts  map[worker.Attempt]*attempt
	running   map[worker.Attempt]*attempt
	unacked   map[worker.Attempt]*attempt // ended, not yet acknowledged
	voided    map[worker.Attempt]bool
	history   []historyEntry
	wake      chan struct{} // closed when a change ends a long poll
}

// NewWorker returns a worker that runs nothing.
func NewWorker(spec model.WorkerSpec, o Options) *Worker {
	if o.UsageLag == 0 {
		o.UsageLag = DefaultUsageLag
	}
	if o.Handler == nil {
		o.Handler = DefaultHandler
	}
	w := &Worker{spec: spec, options: o, wake: make(chan struct{})}
	w.reset()
	return w
}

// Spec returns the worker's specification.
func (w *Worker) Spec() model.WorkerSpec { return w.spec }

// SetLeaving makes the worker announce that it is leaving and refuse starts.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.notifyPolls()
}

// Restart ends all running attempts and loses the worker's memory. The worker refuses
// every start until RaiseFence succeeds again.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.endDueAttempts(now)
	for _, a := range w.running {
		a.end(worker.TaskLeaseExpired, now)
	}
	w.reset()
	w.notifyPolls()
}

// reset begins a new boot with empty memory.
func (w *Worker) reset() {
	w.bootCount++
	w.fence = 0
	w.fenced = false
	w.attempts = map[worker.Attempt]*attempt{}
	w.running = map[worker.Attempt]*attempt{}
	w.unacked = map[worker.Attempt]*attempt{}
	w.voided = map[worker.Attempt]bool{}
}

// bootID identifies the current boot.
func (w *Worker) bootID() string { return fmt.Sprintf("%s-%d", w.spec.ID, w.bootCount) }

// clock returns the worker's own time in nanoseconds.
func (w *Worker) clock(now time.Time) int64 {
	return now.Add(w.options.ClockOffset).UnixNano()
}

// notifyPolls ends the long polls.
func (w *Worker) notifyPolls() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// endDueAttempts ends the attempts whose work or lease has ended by now.
func (w *Worker) endDueAttempts(now time.Time) {
	failAll := w.Faults.Get().FailEverything
	ended := false
	for id, a := range w.running {
		if a.endIfDue(now, failAll) {
			w.retire(id, a)
			ended = true
		}
	}
	if ended {
		w.notifyPolls()
	}
}

// retire moves an ended attempt from the running to the unacknowledged attempts.
func (w *Worker) retire(id worker.Attempt, a *attempt) {
	delete(w.running, id)
	w.unacked[id] = a
}

// acceptFence refuses a command whose fence is lower than the worker's. A higher fence
// becomes the worker's.
func (w *Worker) acceptFence(f worker.Fence) error {
	if f < w.fence {
		return fmt.Errorf("fence %d refused: worker %s has accepted fence %d: %w", f, w.spec.ID, w.fence, worker.ErrFenced)
	}
	w.fence = f
	return nil
}

// admitStart checks a start and runs the attempt.
func (w *Worker) admitStart(s worker.Start, body []byte, now time.Time) (*attempt, error) {
	w.endDueAttempts(now)
	if err := w.acceptFence(s.Fence); err != nil {
		return nil, err
	}
	if err := w.checkStart(s, now); err != nil {
		return nil, fmt.Errorf("worker %s: %w", w.spec.ID, err)
	}
	return w.runAttempt(s, body, now), nil
}

// checkStart returns why a start with an accepted fence is refused, or nil.
func (w *Worker) checkStart(s worker.Start, now time.Time) error {
	if _, known := w.attempts[s.Attempt]; known {
		return worker.ErrDuplicate
	}
	if w.voided[s.Attempt] {
		return worker.ErrVoided
	}
	if !w.fenced {
		return worker.ErrFenced
	}
	if w.clock(now) > s.StartBy {
		return worker.ErrWindowPassed
	}
	if w.leaving {
		return worker.ErrLeaving
	}
	if !w.fits(s) {
		return worker.ErrInsufficientCapacity
	}
	return nil
}

// fits reports whether a start fits the capacity that the running attempts leave free.
func (w *Worker) fits(s worker.Start) bool {
	used := s.Resources
	connections := 0
	if s.Direct {
		connections++
	}
	for _, a := range w.running {
		used = used.Add(a.start.Resources)
		if a.start.Direct {
			connections++
		}
	}
	if w.spec.Connections > 0 && connections > w.spec.Connections {
		return false
	}
	return used.Fits(w.spec.Capacity)
}

// runAttempt adds the attempt to the running ones.
func (w *Worker) runAttempt(s worker.Start, body []byte, now time.Time) *attempt {
	behaviour := w.options.Handler(s, body)
	if behaviour.Usage.IsZero() {
		behaviour.Usage = s.Resources
	}
	s.Payload = nil
	a := &attempt{
		start:               s,
		behaviour:           behaviour,
		state:               worker.TaskRunning,
		startedAt:           now,
		leaseEnd:            now.Add(s.Lease),
		speedSetAt:          now,
		remainingAtSpeedSet: max(behaviour.RunTime-checkpointProgress(s.Restore), 0),
		speedPercent:        100,
	}
	w.attempts[s.Attempt] = a
	w.running[s.Attempt] = a
	w.history = append(w.history, historyEntry{attempt: a, boot: w.bootID()})
	w.notifyPolls()
	return a
}

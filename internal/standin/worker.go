package standin

import (
	"fmt"
	"sync"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// DefaultUsageLag is how far a worker's usage reports lag by default.
const DefaultUsageLag = 5 * time.Second

// Options are the settings of a stand-in worker. The zero value is usable.
type Options struct {
	ClockOffset time.Duration // of the worker's clock against package time
	UsageLag    time.Duration // default DefaultUsageLag
	Handler     Handler       // default DefaultHandler
}

// Worker is the stand-in of one worker. It is the arbiter of its own room.
type Worker struct {
	Faults

	spec    model.WorkerSpec
	options Options

	mu       sync.Mutex
	boots    int
	fence    worker.Fence
	fenced   bool // a fence was raised since the last boot
	leaving  bool
	attempts map[worker.Attempt]*attempt
	running  map[worker.Attempt]*attempt
	unacked  map[worker.Attempt]*attempt // ended, not yet acknowledged
	voided   map[worker.Attempt]bool
	history  []admitted
	wake     chan struct{} // closed when something changes that a long poll waits for
}

// NewWorker returns an empty worker.
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

// Spec returns what the worker was made from.
func (w *Worker) Spec() model.WorkerSpec { return w.spec }

// SetLeaving makes the worker announce that it is leaving and refuse starts.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.signal()
}

// Restart loses everything in the worker's memory and ends what it ran. Until
// a fence is raised again it refuses every start.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, a := range w.running {
		a.end(worker.TaskLeaseExpired, now)
	}
	w.reset()
	w.signal()
}

// reset makes the memory that a restart loses.
func (w *Worker) reset() {
	w.boots++
	w.fence = 0
	w.fenced = false
	w.attempts = map[worker.Attempt]*attempt{}
	w.running = map[worker.Attempt]*attempt{}
	w.unacked = map[worker.Attempt]*attempt{}
	w.voided = map[worker.Attempt]bool{}
}

// boot names the current boot.
func (w *Worker) boot() string { return fmt.Sprintf("%s-%d", w.spec.ID, w.boots) }

// clock reads the worker's own clock in nanoseconds.
func (w *Worker) clock(now time.Time) int64 {
	return now.Add(w.options.ClockOffset).UnixNano()
}

// signal wakes the long polls.
func (w *Worker) signal() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// advance ends the attempts that are over by now.
func (w *Worker) advance(now time.Time) {
	failAll := w.Faults.Get().FailEverything
	ended := false
	for id, a := range w.running {
		if a.advance(now, failAll) {
			w.retire(id, a)
			ended = true
		}
	}
	if ended {
		w.signal()
	}
}

// retire moves an ended attempt out of the running ones.
func (w *Worker) retire(id worker.Attempt, a *attempt) {
	delete(w.running, id)
	w.unacked[id] = a
}

// obey checks a command's fence; a higher one becomes the worker's.
func (w *Worker) obey(f worker.Fence) error {
	if f < w.fence {
		return fmt.Errorf("fence %d, worker %s has seen %d: %w", f, w.spec.ID, w.fence, worker.ErrFenced)
	}
	w.fence = f
	return nil
}

// admitStart checks a start and begins it.
func (w *Worker) admitStart(s worker.Start, body []byte, now time.Time) (*attempt, error) {
	w.advance(now)
	if err := w.obey(s.Fence); err != nil {
		return nil, err
	}
	if err := w.startable(s, now); err != nil {
		return nil, fmt.Errorf("worker %s: %w", w.spec.ID, err)
	}
	return w.begin(s, body, now), nil
}

// startable returns why a start under an obeyed fence is refused, or nil.
func (w *Worker) startable(s worker.Start, now time.Time) error {
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

// fits reports whether a start fits what the admitted attempts leave free.
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

// begin makes the attempt run.
func (w *Worker) begin(s worker.Start, body []byte, now time.Time) *attempt {
	work := w.options.Handler(s, body)
	if work.Usage.IsZero() {
		work.Usage = s.Resources
	}
	s.Payload = nil
	a := &attempt{
		start:   s,
		work:    work,
		state:   worker.TaskRunning,
		began:   now,
		lease:   now.Add(s.Lease),
		resumed: now,
		left:    max(work.RunTime-progress(s.Restore), 0),
		percent: 100,
	}
	w.attempts[s.Attempt] = a
	w.running[s.Attempt] = a
	w.history = append(w.history, admitted{attempt: a, boot: w.boot()})
	w.signal()
	return a
}

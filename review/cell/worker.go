package cell

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of a worker, from the settings and the pages.
const (
	heartbeatTime = 1500 * time.Millisecond // `heartbeat-ms`
	maxHoldMS     = 10_000                  // `max-hold-ms`
	checkpointMS  = 2000                    // `checkpoint-s`
	slowClock     = 0.98                    // "which may be 2% slow"
	maxEnds       = 500                     // ends in one response
)

// Run is one run of a task on a worker.
type Run struct {
	Task, Worker string
	Number       int
	Began, Ended time.Time // Ended is zero while it runs
	How          string
	spec         string
	saved        string
	timer        *time.Timer
}

// end is an end that is not acknowledged.
type end struct {
	seq  int64
	run  *Run
	how  string
	keep string
}

// Forever is the spec of tasks that last.
const Forever = "forever"

// Worker is a worker. The spec of its tasks is the duration of their work, or Forever.
type Worker struct {
	ID       string
	Kind     string
	zone     string
	rack     string
	capacity int64 // thousandths of a core
	cell     *Cell
	gate     *gate

	mu      sync.Mutex
	down    bool
	born    int64
	began   time.Time
	fence   int64
	lease   int64
	seq     int64
	acked   int64
	running map[string]*Run
	highest map[string]int // by task: highest number of a run that was stopped or ended
	ends    []end
	changed chan struct{}
	life    int
	holds   int // answered calls of /-/hold
	entry   int
	timer   *time.Timer
	server  *http.Server
	address string
}

func (c *Cell) newWorker(id, kind, zone, rack string, capacity int64) (*Worker, error) {
	w := &Worker{ID: id, Kind: kind, zone: zone, rack: rack, capacity: capacity, cell: c, gate: newGate()}
	return w, w.boot("127.0.0.1:0")
}

// boot begins a life of the worker. It knows nothing of earlier ones.
func (w *Worker) boot(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = listener.Addr().String()
	w.born, w.began, w.down = time.Now().UnixMilli(), time.Now(), false
	w.fence, w.lease, w.seq, w.acked, w.entry = 0, 0, 0, 0, 0
	w.running, w.highest, w.ends, w.changed = map[string]*Run{}, map[string]int{}, nil, make(chan struct{})
	w.life++
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serve(w.start))
	mux.HandleFunc("POST /-/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /-/hold", w.serve(w.hold))
	mux.HandleFunc("POST /-/pace", w.serve(w.pace))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	server := w.server
	go func() { _ = server.Serve(gatedListener{listener, w.gate}) }() // ends with Crash
	return nil
}

// Crash ends the process of the worker with all that runs on it.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.down = true
	w.life++
	for task, r := range w.running {
		w.over(task, r, "crashed")
	}
	close(w.changed)
	w.changed = make(chan struct{})
	server := w.server
	w.mu.Unlock()
	w.cell.Record.Add("worker %s crashes", w.ID)
	_ = server.Close() // its connections are reset or closed
}

// Revive starts the worker again, under its ID and at its address, and registers it.
func (w *Worker) Revive() error {
	if err := w.boot(w.address); err != nil {
		return err
	}
	w.cell.Record.Add("worker %s starts again, born %d", w.ID, w.born)
	w.register()
	return nil
}

// Cut cuts the worker off from all hosts of the system for a time. It runs on.
func (w *Worker) Cut(length time.Duration) {
	w.cell.Record.Add("worker %s: cut off from all hosts of the system for %v", w.ID, length)
	w.gate.add(1)
	time.Sleep(length)
	w.gate.add(-1)
	w.cell.Record.Add("worker %s: the cut of %v ends", w.ID, length)
}

// register writes the worker's registry entry.
func (w *Worker) register() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.entry++
	entry := map[string]any{
		"backend": Pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8,
		"state": "ready", "born": w.born, "seq-no": w.entry, "cold-left-ms": 0,
		"capacity": map[string]any{"cpu": w.capacity, "mem-mb": 131072, "gpu": 0},
		"labels":   []string{w.Kind, w.rack},
	}
	w.mu.Unlock()
	if err := w.cell.Store.put("servers", w.ID, entry); err != nil {
		w.cell.Record.Add("worker %s cannot register: %v", w.ID, err)
	}
}

// clock returns the worker's steady clock in milliseconds. The caller holds mu.
func (w *Worker) clock() int64 {
	return int64(slowClock*float64(time.Since(w.began))/float64(time.Millisecond)) + 1
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires-ms"`
	Fence   int64  `json:"fence"`
	Ack     int64  `json:"ack-seq"`
	WaitMS  int64  `json:"wait-ms"`
	Saved   string `json:"checkpoint"`
	Percent int    `json:"percent"`
}

// serve returns the handler of a call.
func (w *Worker) serve(call func(order) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var in order
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != w.ID {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		life := w.life
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if in.Fence >= w.fence {
			w.fence = in.Fence
			status, body = call(in)
		}
		if life != w.life || w.down {
			panic(http.ErrAbortHandler) // the process that took the call has ended
		}
		if r.URL.Path == "/-/hold" {
			w.holds++
		}
		body["clock-ms"] = w.clock()
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(body) // lost if the caller is gone
	}
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend takes a lease for all that runs. The caller holds mu.
func (w *Worker) extend(until int64) {
	now := w.clock()
	if until-now > maxHoldMS {
		w.cell.Record.Add("worker %s (clock %d): lease until %d shortened to the maximum", w.ID, now, until)
		until = now + maxHoldMS
	}
	if until <= w.lease {
		return
	}
	w.lease = until
	if w.timer != nil {
		w.timer.Stop()
	}
	life := w.life
	left := float64(until-now+1) / slowClock * float64(time.Millisecond)
	w.timer = time.AfterFunc(time.Duration(left), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || w.clock() < w.lease {
			return
		}
		for task, r := range w.running {
			w.finish(task, r, "lapsed")
		}
	})
}

func (w *Worker) start(in order) (int, map[string]any) {
	if in.Expires <= w.clock() {
		return refused("late")
	}
	w.extend(in.Expires)
	if r := w.running[in.Task]; r != nil && r.Number == in.Run {
		return http.StatusOK, map[string]any{}
	}
	if in.Run <= w.highest[in.Task] {
		return refused("old")
	}
	work, err := workOf(in.Spec)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &Run{Task: in.Task, Worker: w.ID, Number: in.Run, Began: time.Now(), spec: in.Spec, saved: in.Saved}
	w.running[in.Task] = r
	w.cell.began(r)
	life := w.life
	r.timer = time.AfterFunc(work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life && w.running[in.Task] == r {
			w.finish(in.Task, r, "done")
		}
	})
	return http.StatusOK, map[string]any{}
}

// workOf returns the duration of the work of a spec.
func workOf(spec string) (time.Duration, error) {
	if spec == Forever {
		return time.Hour, nil // longer than any case
	}
	return time.ParseDuration(spec)
}

// over ends a run. The caller holds mu.
func (w *Worker) over(task string, r *Run, how string) {
	r.timer.Stop()
	delete(w.running, task)
	w.cell.ended(r, how)
}

// finish ends a run and lists its end. The caller holds mu.
func (w *Worker) finish(task string, r *Run, how string) {
	saved := w.checkpoint(r)
	w.over(task, r, how)
	w.highest[task] = max(w.highest[task], r.Number)
	w.seq++
	w.ends = append(w.ends, end{w.seq, r, how, saved})
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkpoint returns the latest checkpoint of a run whose step saves its progress: 16
// hexadecimal digits, as in PROTOCOL.md.
func (w *Worker) checkpoint(r *Run) string {
	if !w.cell.Checkpoints {
		return ""
	}
	if n := time.Since(r.Began).Milliseconds() / checkpointMS; n > 0 {
		digits := strings.ReplaceAll(r.Task, ".", "")
		return fmt.Sprintf("%08x%s", n, digits[:8])
	}
	return r.saved
}

func (w *Worker) stop(in order) (int, map[string]any) {
	if r := w.running[in.Task]; r != nil && r.Number <= in.Run {
		w.finish(in.Task, r, "stopped")
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	return http.StatusOK, map[string]any{}
}

// pace takes an order on the speed of a run. The stand-in's tasks work at full speed.
func (w *Worker) pace(in order) (int, map[string]any) {
	w.cell.Record.Add("worker %s: run %d of %s paced to %d percent", w.ID, in.Run, in.Task, in.Percent)
	return http.StatusOK, map[string]any{}
}

func (w *Worker) hold(in order) (int, map[string]any) {
	if in.Expires > 0 {
		w.extend(in.Expires)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.seq > in.Ack {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	deadline, life := time.After(time.Duration(in.WaitMS)*time.Millisecond), w.life
	for waiting := in.WaitMS > 0; waiting && len(w.ends) == 0 && w.life == life; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-deadline:
			waiting = false
		case <-changed:
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.Number, w.checkpoint(r), w.percent(r), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.seq, e.run.Task, e.run.Number, e.how, e.keep})
	}
	return http.StatusOK, map[string]any{"born": w.born, "running": running, "finished": finished}
}

func (w *Worker) percent(r *Run) int {
	const startup = 300 * time.Millisecond // of a task that lasts
	if r.spec == Forever {
		return int(min(100, 100*time.Since(r.Began)/startup))
	}
	work, _ := workOf(r.spec) // checked at the start
	return min(99, int(100*time.Since(r.Began)/max(1, work)))
}

// Holds returns the number of answered calls of /-/hold.
func (w *Worker) Holds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// Running returns the tasks that run.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for task := range w.running {
		out = append(out, task)
	}
	return out
}

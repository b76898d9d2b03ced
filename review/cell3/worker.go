package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxLease is the longest lease that a worker gives its runs (max-hold-ms).
const maxLease = 10 * time.Second

// serviceStartup is the time after which a task that lasts is at work.
const serviceStartup = 300 * time.Millisecond

// worker is a stand-in of one worker. The spec of its tasks is "service", or a duration that
// " fail" may follow.
type worker struct {
	id, address, zone, rack string
	milliCores              int64
	rec                     *recorder

	mu        sync.Mutex
	server    *http.Server // nil while the worker is down
	born      int64
	began     time.Time
	fence     int64
	lease     time.Time
	seq       int64
	running   map[string]*run
	highest   map[string]int // by task: highest number of a stopped or ended run
	ends      []runEnd
	changed   chan struct{}
	entrySeq  int64
	restarted bool        // it has crashed and is back
	heldBack  *heldOrders // orders that are left unanswered; nil for none
}

type run struct {
	number  int
	began   time.Time
	lasts   time.Duration
	service bool
	timer   *time.Timer
}

type runEnd struct {
	seq    int64
	task   string
	number int
	how    string
}

type command struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires-ms"`
	Fence   int64  `json:"fence"`
	AckSeq  int64  `json:"ack-seq"`
	WaitMS  int64  `json:"wait-ms"`
}

func newWorker(id, zone, rack string, milliCores int64, rec *recorder) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: listener.Addr().String(), zone: zone, rack: rack, milliCores: milliCores, rec: rec}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live(listener)
	return w, nil
}

// live begins an incarnation. The caller holds mu.
func (w *worker) live(listener net.Listener) {
	w.began, w.born = time.Now(), time.Now().UnixMilli()
	w.fence, w.lease, w.seq, w.entrySeq = 0, time.Time{}, 0, 0
	w.running, w.highest, w.ends = map[string]*run{}, map[string]int{}, nil
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	life := w.born
	for path, call := range map[string]func(command) (int, map[string]any){
		"/-/run-start": w.start, "/-/run-stop": w.stop, "/-/hold": w.hold, "/-/pace": w.pace,
	} {
		mux.HandleFunc("POST "+path, func(out http.ResponseWriter, r *http.Request) { w.serve(life, call, out, r) })
	}
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(listener) }() // ends with crash
}

func (w *worker) serve(life int64, call func(command) (int, map[string]any), out http.ResponseWriter, r *http.Request) {
	var in command
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.born != life || w.server == nil {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/-/run-start" && w.heldBack.take(w, in) || r.URL.Path == "/-/hold" && w.heldBack.takeHold(w, in) {
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.rec.answering()
	status, body := call(in)
	ended := w.born != life || w.server == nil
	w.mu.Unlock()
	if ended {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body) // lost if the caller is gone
}

// clock returns the steady clock of the incarnation in milliseconds. The caller holds mu.
func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// refuse answers with status 409. The caller holds mu.
func (w *worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason}
}

// fenced checks and raises the fence. The caller holds mu.
func (w *worker) fenced(in command) bool {
	if in.Fence < w.fence {
		return true
	}
	w.fence = in.Fence
	return false
}

// extend renews the lease of all runs. The caller holds mu.
func (w *worker) extend(expires int64) {
	if expires == 0 {
		return
	}
	end := w.began.Add(time.Duration(expires) * time.Millisecond)
	if latest := time.Now().Add(maxLease); end.After(latest) {
		end = latest
	}
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	life := w.born
	time.AfterFunc(time.Until(end)+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != life || w.server == nil || time.Now().Before(w.lease) {
			return
		}
		for task := range w.running {
			w.finish(task, "lapsed")
		}
	})
}

// finish ends a run and lists its end. The caller holds mu.
func (w *worker) finish(task, how string) {
	r := w.running[task]
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.seq++
	w.ends = append(w.ends, runEnd{w.seq, task, r.number, how})
	w.rec.runEnded(task, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) start(in command) (int, map[string]any) {
	if w.fenced(in) {
		return w.refuse("fence")
	}
	if in.Expires <= w.clock() {
		return w.refuse("late")
	}
	w.extend(in.Expires)
	if r := w.running[in.Task]; r != nil && r.number == in.Run {
		return http.StatusOK, map[string]any{"clock-ms": w.clock()}
	}
	if in.Run <= w.highest[in.Task] || w.running[in.Task] != nil {
		return w.refuse("old")
	}
	r := &run{number: in.Run, began: time.Now(), service: in.Spec == "service"}
	how := "done"
	if !r.service {
		text, rest, _ := strings.Cut(in.Spec, " ")
		lasts, err := time.ParseDuration(text)
		if err != nil {
			return http.StatusBadRequest, map[string]any{"clock-ms": w.clock()}
		}
		if rest == "fail" {
			how = "failed"
		}
		r.lasts = lasts
		r.timer = time.AfterFunc(lasts, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[in.Task] == r {
				w.finish(in.Task, how)
			}
		})
	}
	w.running[in.Task] = r
	w.rec.runStarted(in.Task, in.Run, w.id)
	return http.StatusOK, map[string]any{"clock-ms": w.clock()}
}

func (w *worker) stop(in command) (int, map[string]any) {
	if w.fenced(in) {
		return w.refuse("fence")
	}
	if r := w.running[in.Task]; r != nil && r.number <= in.Run {
		w.finish(in.Task, "stopped")
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	return http.StatusOK, map[string]any{"clock-ms": w.clock()}
}

func (w *worker) pace(in command) (int, map[string]any) {
	if w.fenced(in) {
		return w.refuse("fence")
	}
	return http.StatusOK, map[string]any{"clock-ms": w.clock()}
}

func (w *worker) hold(in command) (int, map[string]any) {
	if w.fenced(in) {
		return w.refuse("fence")
	}
	w.extend(in.Expires)
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.seq > in.AckSeq {
			kept = append(kept, e)
		} else {
			w.rec.endNoted(e.task, e.number, w.id, e.how)
		}
	}
	w.ends = kept
	life := w.born
	deadline := time.After(time.Duration(in.WaitMS) * time.Millisecond)
	for waiting := in.WaitMS > 0; waiting && len(w.ends) == 0 && w.born == life && w.server != nil; {
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
		running = append(running, []any{task, r.number, "", r.percent(), 0})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.seq, e.task, e.number, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born, "running": running, "finished": finished}
}

func (r *run) percent() int {
	switch age := time.Since(r.began); {
	case !r.service:
		return min(99, int(100*age/max(1, r.lasts)))
	case age >= serviceStartup:
		return 100
	default:
		return 50
	}
}

// crash ends the process of the worker: its runs, its connections and its listener.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	w.rec.event("worker %s crashes with %d runs", w.id, len(w.running))
	tasks := make([]string, 0, len(w.running))
	for task := range w.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		if timer := w.running[task].timer; timer != nil {
			timer.Stop()
		}
		w.rec.runEnded(task, w.running[task].number, w.id, "lost with its worker")
	}
	w.running, w.ends = map[string]*run{}, nil
	_ = w.server.Close() // the process is gone
	w.server = nil
	close(w.changed)
	w.changed = make(chan struct{})
}

// restart begins a new incarnation under the same ID, at the same address.
func (w *worker) restart() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		return errors.New("the worker is up")
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.restarted = true
	w.live(listener)
	w.rec.event("worker %s is back, born %d", w.id, w.born)
	return nil
}

// entry returns the registry entry; nil while the worker is down.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return nil
	}
	w.entrySeq++
	return map[string]any{
		"backend": pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"born": w.born, "seq-no": w.entrySeq, "clock-ms": w.clock(),
		"capacity": map[string]any{"cpu": w.milliCores, "mem-mb": 131072, "gpu": 0}, "labels": []string{"a", w.rack},
	}
}

package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what happens to the record and keeps what the checks need.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	out     *bufio.Writer
	answers int                       // to orders
	running map[string]string         // by task: the worker that runs it
	ends    map[string]map[string]int // by job: number of ends by the way of the end
	noted   map[string]int            // by task: ends done that were taken note of
	again   map[string]int            // by task: starts after that
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file), running: map[string]string{}, ends: map[string]map[string]int{},
		noted: map[string]int{}, again: map[string]int{}}, nil
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // a short record shows it
	_ = r.file.Close()
}

// event writes a line.
func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush() // the record is complete if the script is ended
}

// answering counts the answers to orders.
func (r *recorder) answering() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
}

// answered returns the number of answers to orders.
func (r *recorder) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.event(format, args...)
	fmt.Printf("%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) runStarted(task string, number int, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("run %s/%d starts on %s", task, number, worker)
	if other, running := r.running[task]; running {
		r.line("run %s/%d starts while another run of the task is on %s", task, number, other)
	}
	r.running[task] = worker
	if r.noted[task] > 0 {
		r.again[task]++
	}
}

// notedDone returns how many ends done of a task were taken note of.
func (r *recorder) notedDone(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noted[task]
}

// startsAfterDone returns how often a task has started after an end done was taken note of.
func (r *recorder) startsAfterDone(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.again[task]
}

func (r *recorder) runEnded(task string, number int, worker, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("run %s/%d on %s ends: %s", task, number, worker, how)
	if r.running[task] == worker {
		delete(r.running, task)
	}
	job, _, _ := strings.Cut(task, ".")
	if r.ends[job] == nil {
		r.ends[job] = map[string]int{}
	}
	r.ends[job][how]++
}

func (r *recorder) endNoted(task string, number int, worker, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("end of %s/%d on %s is taken note of: %s", task, number, worker, how)
	if how == "done" {
		r.noted[task]++
	}
}

// endsOf returns the number of ends of a job's runs by the way of the end.
func (r *recorder) endsOf(job string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for how, n := range r.ends[job] {
		out[how] = n
	}
	return out
}

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
	running map[string]string         // by task: the worker that runs it
	lastEnd map[string]time.Time      // by task: when its last run ended
	ends    map[string]map[string]int // by job: number of ends by the way of the end
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file), running: map[string]string{}, lastEnd: map[string]time.Time{}, ends: map[string]map[string]int{}}, nil
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // a short record shows it
	_ = r.file.Close()
}

// forget drops what was kept of an earlier cell.
func (r *recorder) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running, r.lastEnd, r.ends = map[string]string{}, map[string]time.Time{}, map[string]map[string]int{}
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
}

func (r *recorder) runEnded(task string, number int, worker, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("run %s/%d on %s ends: %s", task, number, worker, how)
	if r.running[task] == worker {
		delete(r.running, task)
		r.lastEnd[task] = time.Now()
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
}

// missing returns how long each of the tasks has had no run.
func (r *recorder) missing(tasks []string) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]time.Duration{}
	for _, task := range tasks {
		if _, running := r.running[task]; running {
			continue
		}
		since, ended := r.lastEnd[task]
		if !ended {
			since = r.began
		}
		out[task] = time.Since(since)
	}
	return out
}

// idleJobs returns how long each of the jobs that is not done has had no run, whose only step
// has this number of tasks.
func (r *recorder) idleJobs(jobs []string, tasks int) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]time.Duration{}
	for _, job := range jobs {
		if r.ends[job]["done"] >= tasks {
			continue
		}
		busy, since := false, r.began
		for task := range r.running {
			busy = busy || strings.HasPrefix(task, job+".")
		}
		for task, end := range r.lastEnd {
			if strings.HasPrefix(task, job+".") && end.After(since) {
				since = end
			}
		}
		if !busy {
			out[job] = time.Since(since)
		}
	}
	return out
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

package dispatch

import (
	"encoding/json"
	"fmt"
	"time"

	"cuminloft/internal/workload"
)

// Progress is the stored form of what has happened to a job.
type Progress struct {
	State   workload.State       `json:"state"`
	Begun   bool                 `json:"begun,omitempty"`
	NextOcc int                  `json:"next,omitempty"`
	Workers []WorkerIncarnation  `json:"workers,omitempty"` // that tasks refer to
	Occ     []OccurrenceProgress `json:"occ,omitempty"`
	// EndedAt is set for final states, in Unix milliseconds.
	EndedAt int64 `json:"ended_at,omitempty"`
}

// WorkerIncarnation names one life of a worker.
type WorkerIncarnation struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"born"`
}

// OccurrenceProgress is the stored form of an occurrence in progress.
type OccurrenceProgress struct {
	K     int            `json:"k"`
	Steps []StepProgress `json:"steps"`
}

// StepProgress is the stored form of a step.
type StepProgress struct {
	Fails     int    `json:"fails,omitempty"`
	FailedRun int    `json:"failed_run,omitempty"`
	Saved     string `json:"saved,omitempty"`
	AllDone   bool   `json:"done,omitempty"`
	// Tasks is left out when all are done and none has a place any more. A gang is
	// done with its first member's end, while others still have theirs.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is the stored form of a task. On the wire it is 1 when done, 0
// before its first run, else an array of the fields after Done: a row holds
// thousands of tasks.
type TaskProgress struct {
	Done   bool
	Run    int
	Worker int // position in Progress.Workers, from 1, where it may run; 0: nowhere
	Fails  int
	Saved  string
}

// MarshalJSON implements json.Marshaler.
func (t TaskProgress) MarshalJSON() ([]byte, error) {
	switch {
	case t.Done:
		return []byte("1"), nil
	case t == (TaskProgress{}):
		return []byte("0"), nil
	default:
		return json.Marshal([]any{t.Run, t.Worker, t.Fails, t.Saved})
	}
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *TaskProgress) UnmarshalJSON(data []byte) error {
	switch string(data) {
	case "0":
		*t = TaskProgress{}
		return nil
	case "1":
		*t = TaskProgress{Done: true}
		return nil
	}
	return json.Unmarshal(data, &[]any{&t.Run, &t.Worker, &t.Fails, &t.Saved})
}

// ProgressIsFinal reports whether stored progress is of a job that has ended.
func ProgressIsFinal(progress []byte) bool {
	var p Progress
	return json.Unmarshal(progress, &p) == nil && p.State.Final()
}

// encode returns the stored form of the job's present state.
func (j *job) encode() []byte {
	p := Progress{State: j.state, Begun: j.begun, NextOcc: j.nextOcc, EndedAt: j.endedAt}
	if !j.state.Final() || !j.idle() {
		lives := map[WorkerIncarnation]int{}
		for _, o := range j.occ {
			p.Occ = append(p.Occ, o.progress(&p, lives))
		}
	}
	data, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("progress of job %s cannot be encoded: %v", j.spec.ID, err)) // plain fields only
	}
	return data
}

func (o *occurrence) progress(p *Progress, lives map[WorkerIncarnation]int) OccurrenceProgress {
	out := OccurrenceProgress{K: o.k}
	for _, s := range o.steps {
		sp := StepProgress{Fails: s.fails, FailedRun: s.failedRun, Saved: s.saved, AllDone: s.finished()}
		if !sp.AllDone || s.busy > 0 {
			for i := range s.tasks {
				sp.Tasks = append(sp.Tasks, s.tasks[i].progress(p, lives))
			}
		}
		out.Steps = append(out.Steps, sp)
	}
	return out
}

func (t *task) progress(p *Progress, lives map[WorkerIncarnation]int) TaskProgress {
	out := TaskProgress{Done: t.state == taskDone, Run: t.run, Fails: t.fails, Saved: t.saved}
	if t.state.occupies() {
		life := WorkerIncarnation{t.worker, t.born}
		if lives[life] == 0 {
			p.Workers = append(p.Workers, life)
			lives[life] = len(p.Workers)
		}
		out.Worker = lives[life]
	}
	return out
}

// Restore takes a job with its stored progress; progress is nil when there is
// none. Tasks that may be running keep their places until their workers have
// told.
func (c *Core) Restore(spec *workload.Job, progress []byte, cancelled bool, now time.Time) error {
	if c.jobs[spec.ID] != nil {
		return nil
	}
	var p Progress
	if progress != nil {
		if err := json.Unmarshal(progress, &p); err != nil {
			return fmt.Errorf("progress of job %s cannot be read: %w", spec.ID, err)
		}
	} else {
		p.State = workload.Queued
	}
	j := &job{spec: spec, state: p.State, shown: p.State, begun: p.Begun, nextOcc: p.NextOcc, endedAt: p.EndedAt, restored: true}
	c.jobs[spec.ID] = j
	c.rate(j)
	for _, op := range p.Occ {
		o := newOccurrence(j, op.K)
		for i := range o.steps {
			if i < len(op.Steps) {
				c.restoreStep(o.steps[i], op.Steps[i], p.Workers)
			}
		}
		j.occ = append(j.occ, o)
	}
	if !j.state.Final() {
		c.openOccurrences(j, now)
	}
	if !j.state.Final() || !j.idle() {
		c.active[spec.ID] = j
	}
	if cancelled {
		c.Cancel(spec.ID, now)
	}
	c.changed = true
	return nil
}

func (c *Core) restoreStep(s *step, p StepProgress, lives []WorkerIncarnation) {
	s.fails, s.failedRun, s.saved = p.Fails, p.FailedRun, p.Saved
	for i := range s.tasks {
		t := &s.tasks[i]
		var tp TaskProgress
		if i < len(p.Tasks) {
			tp = p.Tasks[i]
		}
		t.run, t.fails, t.saved = tp.Run, tp.Fails, tp.Saved
		placed := tp.Worker > 0 && tp.Worker <= len(lives)
		if tp.Done || p.AllDone {
			s.done++
			t.state = taskDone
		}
		if tp.Done || p.AllDone || placed {
			s.pending--
		}
		if placed {
			c.restorePlace(s, i, lives[tp.Worker-1])
		}
	}
}

// restorePlace gives a task the place where it may be running.
func (c *Core) restorePlace(s *step, i int, life WorkerIncarnation) {
	t := &s.tasks[i]
	t.state, t.worker, t.born = taskRunning, life.ID, life.Incarnation
	if s.job.state.Final() {
		t.state = taskStopping
	}
	s.busy++
	c.occupy(c.ensureWorker(life.ID), s, i)
}

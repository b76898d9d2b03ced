package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// Progress is the stored form of a job's progress.
type Progress struct {
	State          workload.State `json:"state"`
	Begun          bool           `json:"begun,omitempty"`
	NextOccurrence int            `json:"next,omitempty"`
	// Workers are the workers that others of these fields refer to.
	Workers []WorkerIncarnation `json:"workers,omitempty"`
	// Leaving are the 1-based indices in Workers of those that announced that they leave while
	// a young run was on them. Older builds ignore and drop it.
	Leaving     []int                `json:"leaving,omitempty"`
	Occurrences []OccurrenceProgress `json:"occ,omitempty"`
	// EndedAt is set for final states, in Unix milliseconds.
	EndedAt int64 `json:"ended_at,omitempty"`
}

// maxStoredAddresses bounds the addresses in a row, which has no room for those of all
// workers of a large cell.
const maxStoredAddresses = 256

// WorkerIncarnation identifies an incarnation of a worker.
type WorkerIncarnation struct {
	ID string `json:"id"`
	// Incarnation is 0 if only StepProgress.FailedOn refers to the worker.
	Incarnation int64 `json:"born"`
	// Address is where the runs were started; empty if that is not known, as in rows of
	// older builds.
	Address string `json:"addr,omitempty"`
}

// OccurrenceProgress is the stored form of an open occurrence.
type OccurrenceProgress struct {
	Index int            `json:"k"`
	Steps []StepProgress `json:"steps"`
}

// StepProgress is the stored form of a step.
type StepProgress struct {
	GangFailures      int    `json:"fails,omitempty"`
	LastFailedGangRun int    `json:"failed_run,omitempty"`
	GangCheckpoint    string `json:"saved,omitempty"`
	AllDone           bool   `json:"done,omitempty"`
	// Outlived has a bit, from the lowest of the first byte on, for each task whose run was
	// seen running for crashWindow.
	Outlived []byte `json:"outlived,omitempty"`
	// FailedOn are the workers that have failed runs of the step. Older builds ignore and drop
	// it.
	FailedOn []WorkerFailures `json:"failed_on,omitempty"`
	// FailedTimes are the times that runs of tasks took which failed. Older builds ignore and
	// drop them.
	FailedTimes []FailedTime `json:"failed_ms,omitempty"`
	// Tasks is omitted if all are done and none may be running. A gang is done when its
	// first member ends successfully, while other members may still be running.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is the stored form of a task. Its JSON is 1 if the task is done, 0 before
// its first run, and otherwise an array of the fields after Done, since a row holds
// thousands of tasks. Without crashes it has none of those from Crashes on; builds that do
// not know some of these ignore and drop them.
type TaskProgress struct {
	Done       bool
	Run        int
	Worker     int // 1-based index in Progress.Workers of the worker where it may run; 0 if it does not run
	Failures   int
	Checkpoint string
	Crashes    int // crashes in a row under the task without the suspected ones, and those of them that are proven
	Proven     int
	Silent     []SilentLoss // the suspected ones, and those of workers that were not seen again
}

// SilentLoss is the stored form of a run that was lost with a silent worker. Its JSON is an
// array, since a row holds many.
type SilentLoss struct {
	Worker  int // 1-based index in Progress.Workers
	Started bool
	Since   int64 // in Unix seconds
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *SilentLoss) UnmarshalJSON(data []byte) error {
	var fields [3]int64
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	*l = SilentLoss{Worker: int(fields[0]), Started: fields[1] != 0, Since: fields[2]}
	return nil
}

// isNew reports whether nothing of the task is to be stored.
func (t *TaskProgress) isNew() bool {
	return t.Run == 0 && t.Worker == 0 && t.Failures == 0 && t.Checkpoint == "" && t.Crashes == 0 && t.Proven == 0 && len(t.Silent) == 0
}

// taskFields is the number of fields that every build stores of a task that is neither done
// nor new. A later build may store more.
const taskFields = 4

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
	var silent json.RawMessage
	fields := []any{&t.Run, &t.Worker, &t.Failures, &t.Checkpoint, &t.Crashes, &t.Proven, &silent}
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) < taskFields || slices.Contains(fields[:taskFields], nil) {
		return fmt.Errorf("progress of a task has fewer than %d fields", taskFields)
	}
	if json.Unmarshal(silent, &t.Silent) != nil {
		t.Silent = nil // of another build; suspicions only
	}
	return nil
}

// ProgressIsFinal reports whether stored progress belongs to a job that has ended.
func ProgressIsFinal(progress []byte) bool {
	var p Progress
	return json.Unmarshal(progress, &p) == nil && p.State.Final()
}

// encode returns the stored form of the job's current progress. If the row would be too large
// with them, it leaves out the times of failed runs, then which workers have failed the steps,
// then the addresses of workers, which of them leave and which runs outlived crashWindow.
func (j *job) encode() []byte {
	p := Progress{State: j.state, Begun: j.begun, NextOccurrence: j.nextOccurrence, EndedAt: j.endedAt}
	if !j.state.Final() || !j.idle() {
		incarnations := map[WorkerIncarnation]int{}
		p.Occurrences = make([]OccurrenceProgress, 0, len(j.occurrences))
		for _, o := range j.occurrences {
			p.Occurrences = append(p.Occurrences, o.progress(&p, incarnations))
		}
	}
	workers := len(p.Workers)
	p.addFailures(j)
	p.addFailedTimes(j)
	data := p.appendJSON(make([]byte, 0, j.encodedBytes))
	j.encodedBytes = len(data)
	j.measure(p.Workers[:workers], len(data)-p.failureBytes(workers)-len(p.appendLeaving(nil)))
	for _, leaveOut := range [...]func(){p.dropFailedTimes, func() { p.dropFailures(workers) }, p.dropAddresses} {
		if len(data) <= maxProgressBytes {
			break
		}
		leaveOut()
		data = p.appendJSON(nil)
	}
	return data
}

// dropAddresses drops the addresses of workers, which of them leave and which runs outlived
// crashWindow.
func (p *Progress) dropAddresses() {
	p.Leaving = nil
	for i := range p.Workers {
		p.Workers[i].Address = ""
	}
	for s := range p.steps() {
		s.Outlived = nil
	}
}

// steps returns the steps of all occurrences.
func (p *Progress) steps() iter.Seq[*StepProgress] {
	return func(yield func(*StepProgress) bool) {
		for _, o := range p.Occurrences {
			for i := range o.Steps {
				if !yield(&o.Steps[i]) {
					return
				}
			}
		}
	}
}

func (o *occurrence) progress(p *Progress, incarnations map[WorkerIncarnation]int) OccurrenceProgress {
	out := OccurrenceProgress{Index: o.index, Steps: make([]StepProgress, 0, len(o.steps))}
	for _, s := range o.steps {
		sp := StepProgress{GangFailures: s.gangFailures, LastFailedGangRun: s.lastFailedGangRun, GangCheckpoint: s.gangCheckpoint, AllDone: s.finished()}
		if !sp.AllDone || s.busy > 0 {
			sp.Tasks = make([]TaskProgress, 0, len(s.tasks))
			for i := range s.tasks {
				tp := s.tasks[i].progress(p, incarnations)
				if s.spec.Gang {
					tp.Checkpoint = "" // that of the step is valid for all
				}
				sp.Tasks = append(sp.Tasks, tp)
				if s.tasks[i].outlived {
					sp.setOutlived(i, len(s.tasks))
				}
			}
		}
		out.Steps = append(out.Steps, sp)
	}
	return out
}

func (p *StepProgress) setOutlived(i, tasks int) {
	if p.Outlived == nil {
		p.Outlived = make([]byte, outlivedSetBytes(tasks))
	}
	p.Outlived[i/8] |= 1 << (i % 8)
}

func (p *StepProgress) hasOutlived(i int) bool {
	return i/8 < len(p.Outlived) && p.Outlived[i/8]&(1<<(i%8)) != 0
}

// outlivedSetBytes is the size of StepProgress.Outlived for a number of tasks.
func outlivedSetBytes(tasks int) int { return (tasks + 7) / 8 }

func (t *task) progress(p *Progress, incarnations map[WorkerIncarnation]int) TaskProgress {
	out := TaskProgress{Done: t.state == taskDone, Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint, Crashes: t.crashes - len(t.silent), Proven: t.proven}
	if t.state.mayRun() {
		out.Worker = p.indexOf(WorkerIncarnation{t.worker, t.startedOn, t.address}, incarnations)
		if t.workerLeaves && !slices.Contains(p.Leaving, out.Worker) {
			p.Leaving = append(p.Leaving, out.Worker)
		}
	}
	for i := range t.silent {
		if l := &t.silent[i]; l.stored && !out.Done {
			out.Silent = append(out.Silent, SilentLoss{p.indexOf(l.worker, incarnations), l.started, l.since.Unix()})
		}
	}
	return out
}

// indexOf returns the 1-based index of an incarnation in p.Workers, to which it adds new ones.
func (p *Progress) indexOf(w WorkerIncarnation, incarnations map[WorkerIncarnation]int) int {
	if len(p.Workers) >= maxStoredAddresses && incarnations[w] == 0 {
		w.Address = ""
	}
	if incarnations[w] == 0 {
		p.Workers = append(p.Workers, w)
		incarnations[w] = len(p.Workers)
	}
	return incarnations[w]
}

// decodeProgress decodes the stored progress of a job. It returns an error unless the
// progress tells of each task whether it has been started.
func decodeProgress(spec *workload.Job, data []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("stored progress cannot be decoded: %w", err)
	}
	if !p.State.Final() && p.State != workload.Queued && p.State != workload.Running {
		return p, errors.New("stored progress has no known state")
	}
	if p.NextOccurrence < 0 || p.NextOccurrence > spec.Occurrences() {
		return p, fmt.Errorf("stored progress continues with occurrence %d of %d", p.NextOccurrence, spec.Occurrences())
	}
	for _, o := range p.Occurrences {
		if o.Index < 0 || o.Index >= p.NextOccurrence || len(o.Steps) != len(spec.Steps) {
			return p, fmt.Errorf("stored progress has %d steps in occurrence %d", len(o.Steps), o.Index)
		}
		for i, s := range o.Steps {
			if err := s.check(spec.Steps[i].Tasks, len(p.Workers)); err != nil {
				return p, fmt.Errorf("stored progress of step %d of occurrence %d: %w", i, o.Index, err)
			}
		}
	}
	return p, nil
}

// check checks the progress of a step with this number of tasks. The progress names this
// number of workers.
func (p *StepProgress) check(tasks, workers int) error {
	if len(p.Tasks) != tasks && (len(p.Tasks) > 0 || !p.AllDone) {
		return fmt.Errorf("it has %d tasks instead of %d", len(p.Tasks), tasks)
	}
	for i, t := range p.Tasks {
		if t.Run < 0 || t.Failures < 0 || t.Worker < 0 || t.Worker > workers {
			return fmt.Errorf("task %d has run %d, %d failures and worker %d of %d", i, t.Run, t.Failures, t.Worker, workers)
		}
	}
	return nil
}

// unreadableProgress is stored as the progress of a held job when all progress is stored
// anew. No build can decode it as progress.
const unreadableProgress = `"unreadable"`

// Hold keeps a job from running whose row or stored progress cannot be read: tasks that are
// running or done would run again. progress is what is stored for it, or nil if that cannot
// be read.
func (c *Core) Hold(id string, progress []byte) {
	if !json.Valid(progress) {
		progress = []byte(unreadableProgress)
	}
	c.held[id] = progress
}

// isHeld reports whether a job is held.
func (c *Core) isHeld(id string) bool { return c.held[id] != nil }

// Restore adds a job with its stored progress, which is nil if none is stored. Tasks that
// may be running occupy capacity on their workers until these report an inventory. If the
// progress cannot be read, it returns an error and holds the job.
func (c *Core) Restore(spec *workload.Job, progress []byte, cancelled bool, now time.Time) error {
	if c.jobs[spec.ID] != nil || c.isHeld(spec.ID) {
		return nil
	}
	p := Progress{State: workload.Queued}
	if progress != nil {
		var err error
		if p, err = decodeProgress(spec, progress); err != nil {
			c.Hold(spec.ID, nil)
			return fmt.Errorf("job %s: %w", spec.ID, err)
		}
	}
	j := &job{spec: spec, state: p.State, storedState: p.State, begun: p.Begun, nextOccurrence: p.NextOccurrence, endedAt: p.EndedAt, restored: true}
	c.jobs[spec.ID] = j
	c.applyTeamRate(j)
	for _, op := range p.Occurrences {
		o := newOccurrence(j, op.Index)
		for i := range o.steps {
			if i < len(op.Steps) {
				c.restoreStep(o.steps[i], op.Steps[i], &p, now)
			}
		}
		j.occurrences = append(j.occurrences, o)
	}
	if !j.state.Final() {
		c.closeUntouched(j)
		c.openOccurrences(j, now)
	}
	if !j.state.Final() || !j.idle() {
		c.active[spec.ID] = j
		c.toRank[spec.ID] = j
	}
	if cancelled {
		c.Cancel(spec.ID, now)
	}
	c.needsScheduling = true
	return nil
}

func (c *Core) restoreStep(s *step, p StepProgress, stored *Progress, now time.Time) {
	incarnations := stored.Workers
	s.gangFailures, s.lastFailedGangRun, s.gangCheckpoint = p.GangFailures, p.LastFailedGangRun, p.GangCheckpoint
	s.restoreFailures(p, incarnations)
	for i := range s.tasks {
		t := &s.tasks[i]
		var tp TaskProgress
		if i < len(p.Tasks) {
			tp = p.Tasks[i]
		}
		t.run, t.failures, t.checkpoint = tp.Run, tp.Failures, tp.Checkpoint
		if s.spec.Gang && t.run > 0 {
			t.checkpoint = p.GangCheckpoint
		}
		for _, l := range tp.Silent {
			if l.Worker > 0 && l.Worker <= len(incarnations) {
				since := timeOfMillis(l.Since * 1000)
				if since.After(now) {
					since = now
				}
				c.addSilentLoss(s, i, silentLoss{worker: incarnations[l.Worker-1], started: l.Started, stored: true, since: since, observedSince: now})
				c.ensureWorkerAt(incarnations[l.Worker-1])
			}
		}
		c.setCrashes(s, t, crashCount{tp.Crashes + len(t.silent), tp.Proven})
		placed := tp.Worker > 0 && tp.Worker <= len(incarnations)
		if tp.Done || p.AllDone {
			s.done++
			t.state = taskDone
		}
		if tp.Done || p.AllDone || placed {
			s.pending--
		}
		if placed {
			c.restoreAssignment(s, i, incarnations[tp.Worker-1])
			t.outlived, t.workerLeaves = p.hasOutlived(i), slices.Contains(stored.Leaving, tp.Worker)
		}
	}
}

// restoreAssignment charges a task to the worker on which it may be running.
func (c *Core) restoreAssignment(s *step, i int, incarnation WorkerIncarnation) {
	t := &s.tasks[i]
	t.state, t.worker, t.address = taskRunning, incarnation.ID, incarnation.Address
	t.incarnation, t.startedOn = incarnation.Incarnation, incarnation.Incarnation
	t.startSent = true
	if s.job.state.Final() {
		t.state = taskStopping
	}
	s.busy++
	t.reservedCheckpoint = s.storedCheckpoint(t)
	c.chargeTask(c.ensureWorkerAt(incarnation), s, i)
}

// ensureWorkerAt returns the worker of a stored run. Its entry may have lapsed while it is at
// work; then it is called at the stored address.
func (c *Core) ensureWorkerAt(incarnation WorkerIncarnation) *worker {
	w := c.ensureWorker(incarnation.ID)
	if !w.registered && incarnation.Address != "" {
		w.info.Address = incarnation.Address
		c.changedWorkers[incarnation.ID] = true
	}
	return w
}

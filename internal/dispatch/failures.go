package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Failures of a step that the next coordinator has to know. Load pattern: a worker fails each
// run of a step while coordinators follow one another, and the step's attempts are used up
// there; or the job ranks as late, since the time of its failed runs is not counted. They are
// stored with the job's progress as far as its row has room: a start, a checkpoint or an
// address never makes way for them.

// maxStoredFailures bounds the workers that a row names for having failed a step. Load
// pattern: a service whose tasks have failed on workers that are gone for good.
const maxStoredFailures = 64

// WorkerFailures is the stored form of a worker that has failed a step: its 1-based index in
// Progress.Workers, and its number of failures.
type WorkerFailures [2]int

// FailedTime is the stored form of the total duration of a task's failed runs: the task's index
// in its step, and the duration in milliseconds.
type FailedTime [2]int64

// recordFailure records that a worker has failed a run of the step.
func (c *Core) recordFailure(s *step, worker string) {
	if s.failuresByWorker == nil {
		s.failuresByWorker = map[string]int{}
	}
	s.failuresByWorker[worker]++
	c.markDirty(s.job)
}

// addFailures adds to the job's progress which workers have failed the steps that may still
// start tasks.
func (p *Progress) addFailures(j *job) {
	if j.state.Final() {
		return
	}
	var numbers map[string]int
	for k, o := range j.occurrences {
		for i, s := range o.steps {
			if len(s.failuresByWorker) == 0 || s.finished() {
				continue
			}
			if numbers == nil {
				numbers = p.numbersByID()
			}
			sp := &p.Occurrences[k].Steps[i]
			for _, id := range s.worstWorkers() {
				if numbers[id] == 0 {
					p.Workers = append(p.Workers, WorkerIncarnation{ID: id})
					numbers[id] = len(p.Workers)
				}
				sp.FailedOn = append(sp.FailedOn, WorkerFailures{numbers[id], s.failuresByWorker[id]})
			}
		}
	}
}

// dropFailures undoes addFailures. There were this many workers before.
func (p *Progress) dropFailures(workers int) {
	p.Workers = p.Workers[:workers]
	for s := range p.steps() {
		s.FailedOn = nil
	}
}

// failureBytes is the size in the encoded progress of what addFailures and addFailedTimes have
// added. There were this many workers before.
func (p *Progress) failureBytes(workers int) int {
	var added []byte
	for s := range p.steps() {
		added = s.appendFailures(added)
	}
	if workers == 0 {
		return len(p.appendWorkers(added))
	}
	for _, w := range p.Workers[workers:] {
		added = append(w.appendJSON(added), ',')
	}
	return len(added)
}

// numbersByID returns the 1-based indices in p.Workers by worker.
func (p *Progress) numbersByID() map[string]int {
	out := make(map[string]int, len(p.Workers))
	for i, w := range p.Workers {
		out[w.ID] = i + 1
	}
	return out
}

// worstWorkers returns the workers that have failed the step, those with the most failures
// first, without those beyond maxStoredFailures.
func (s *step) worstWorkers() []string {
	out := slices.SortedFunc(maps.Keys(s.failuresByWorker), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.failuresByWorker[b], s.failuresByWorker[a]), cmp.Compare(a, b))
	})
	return out[:min(len(out), maxStoredFailures)]
}

// restoreFailures restores which workers have failed the step, and the time of its failed runs.
func (s *step) restoreFailures(p StepProgress, workers []WorkerIncarnation) {
	for _, f := range p.FailedOn {
		number, failures := f[0], f[1]
		if number < 1 || number > len(workers) || failures < 1 {
			continue
		}
		if s.failuresByWorker == nil {
			s.failuresByWorker = map[string]int{}
		}
		s.failuresByWorker[workers[number-1].ID] = failures
	}
	for _, f := range p.FailedTimes {
		if i, millis := f[0], f[1]; i >= 0 && i < int64(len(s.tasks)) && millis > 0 {
			s.addFailedTime(int(i), time.Duration(millis)*time.Millisecond)
		}
	}
}

// addFailedTimes adds to the job's progress the times of failed runs, by which its objectives
// are longer.
func (p *Progress) addFailedTimes(j *job) {
	if j.state.Final() {
		return
	}
	for k, o := range j.occurrences {
		for i, s := range o.steps {
			p.Occurrences[k].Steps[i].FailedTimes = s.failedTimes()
		}
	}
}

// dropFailedTimes undoes addFailedTimes.
func (p *Progress) dropFailedTimes() {
	for s := range p.steps() {
		s.FailedTimes = nil
	}
}

// failedTimes returns the times of failed runs that count from now on: the largest one, and
// those of tasks that are not done.
func (s *step) failedTimes() []FailedTime {
	if s.maxFailedTime < time.Millisecond {
		return nil
	}
	var out []FailedTime
	largest := false
	for i := range s.tasks {
		t := &s.tasks[i]
		isLargest := !largest && t.failedTime == s.maxFailedTime
		if isLargest || t.state != taskDone && t.failedTime >= time.Millisecond {
			out = append(out, FailedTime{int64(i), t.failedTime.Milliseconds()})
		}
		largest = largest || isLargest
	}
	return out
}

// addFailedTime adds to the time of a task's failed runs.
func (s *step) addFailedTime(i int, d time.Duration) {
	s.tasks[i].failedTime += d
	s.maxFailedTime = max(s.maxFailedTime, s.tasks[i].failedTime)
}

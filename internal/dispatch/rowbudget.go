package dispatch

import (
	"encoding/base64"
	"strconv"

	"cuminloft/internal/workload"
)

// Size of a job's stored progress. All of it is in one row, whose size the store limits, and
// a row that is too large would keep the job's ends and starts from ever being stored. So a
// run starts, a checkpoint is kept and an occurrence opens only if the row stays within
// maxProgressBytes, also when the runs in progress end in any way. Load pattern: a job with
// thousands of due occurrences; a wide step on hundreds of workers; long checkpoints.
const (
	// maxProgressBytes leaves room for what a row holds besides the progress of a job.
	maxProgressBytes = workload.MaxRowBytes - 512
	// openBytes bounds the progress up to which further occurrences open. The rest is for
	// their runs.
	openBytes = maxProgressBytes / 2
	// taskBytes is the stored size of a task that may be running without its numbers and its
	// checkpoint: [,,,"",,] and a comma.
	taskBytes = 10
	// endGrowthBytes is by how much a task's stored form may grow when its run ends.
	endGrowthBytes = 4
	// gangEndBytes is by how much a gang's stored form may grow besides, without its
	// checkpoint: "fails":12,"failed_run":1234567,"saved":"", and more.
	gangEndBytes = 64
	// workerBytes is the stored size of a worker without its ID and address:
	// {"id":"","born":1234567890123} and a comma.
	workerBytes = 31
	// occurrenceBytes and stepBytes are the stored sizes of an occurrence without its steps
	// and of a step without its tasks and checkpoint.
	occurrenceBytes, stepBytes = 40, 64
	// leastOccurrenceBytes is the smallest stored size of an open occurrence.
	leastOccurrenceBytes = len(`{"k":0,"steps":[{"tasks":[0]}]},`)
	// checkpointReserve is the room kept for the first checkpoint of a run.
	checkpointReserve = 24
	addressBytes      = len(`,"addr":""`)
)

// workerLife identifies an incarnation of a worker that a row names.
type workerLife struct {
	id          string
	incarnation int64
}

// measure sets rowBytes and rowWorkers from the size of the encoded progress without failures
// and the workers that it names.
func (j *job) measure(workers []WorkerIncarnation, encoded int) {
	j.rowBytes = encoded
	j.rowWorkers = make(map[workerLife]bool, len(workers))
	for _, w := range workers {
		j.rowWorkers[workerLife{w.ID, w.Incarnation}] = true
		if w.Address != "" {
			j.rowBytes -= addressBytes + len(w.Address) // left out if the row is too large
		}
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.busy == 0 {
				continue
			}
			if !s.storesOutlived() {
				j.rowBytes += s.outlivedBytes()
			}
			if s.spec.Gang {
				j.rowBytes += gangEndBytes + max(0, checkpointReserve-storedLength(s.gangCheckpoint))
			}
			for i := range s.tasks {
				if t := &s.tasks[i]; t.state.mayRun() {
					j.rowBytes += endGrowthBytes + max(0, t.reservedCheckpoint-storedLength(t.checkpoint))
				}
			}
		}
	}
}

// life identifies the incarnation of the worker that a run starts on.
func (w *worker) life() workerLife { return workerLife{w.info.ID, w.incarnation} }

// bytes returns an upper bound of the size of the job's stored progress, once all that has
// been decided is stored.
func (j *job) bytes() int {
	if j.rowBytes == 0 {
		j.encode()
	}
	return j.rowBytes
}

// outlivedBytes is an upper bound of the stored size of which tasks of the step outlived
// crashWindow.
func (s *step) outlivedBytes() int {
	return len(`,"outlived":""`) + base64.StdEncoding.EncodedLen(outlivedSetBytes(len(s.tasks)))
}

// storesOutlived reports whether a run of the step has outlived crashWindow.
func (s *step) storesOutlived() bool {
	for i := range s.tasks {
		if s.tasks[i].outlived {
			return true
		}
	}
	return false
}

// firstStartBytes returns by how much the stored progress may grow besides when the first run
// of a step that does not run starts.
func (s *step) firstStartBytes() int {
	if s.busy > 0 {
		return 0
	}
	return s.outlivedBytes()
}

// startBytes returns by how much the stored progress may grow with a run of a task on a
// worker.
func (s *step) startBytes(t *task, w *worker) int {
	workers := len(s.job.rowWorkers) + len(s.tasks) // at most, when the step runs
	size := taskBytes + digits(t.run+1) + digits(workers) + digits(t.failures) + digits(t.crashes) + digits(t.proven) + endGrowthBytes
	size += s.storedCheckpoint(t)
	if !s.job.rowWorkers[w.life()] {
		size += workerBytes + storedLength(w.info.ID)
	}
	return size
}

// storedCheckpoint returns the room that the checkpoint of a running task may take. Gangs
// store one for all tasks.
func (s *step) storedCheckpoint(t *task) int {
	switch {
	case s.spec.Gang:
		return 0
	case s.spec.Checkpoints:
		return max(checkpointReserve, storedLength(t.checkpoint))
	default:
		return storedLength(t.checkpoint)
	}
}

// digits returns the length of a number's decimal form.
func digits(n int) int { return len(strconv.Itoa(n)) }

// reserveStart adds a run to the size of the stored progress.
func (s *step) reserveStart(t *task, w *worker) {
	s.job.rowBytes = s.job.bytes() + s.firstStartBytes() + s.startBytes(t, w)
	s.job.rowWorkers[w.life()] = true
	t.reservedCheckpoint = s.storedCheckpoint(t)
}

// fitsRow reports whether the stored progress has room for a run of a task on a worker. If
// nothing of the job runs that would leave room when it ends, it makes room.
func (c *Core) fitsRow(s *step, t *task, w *worker) bool {
	j := s.job
	size := s.firstStartBytes() + s.startBytes(t, w)
	if j.bytes()+size <= maxProgressBytes {
		return true
	}
	if !j.idle() {
		return false
	}
	c.makeRoom(j, size)
	return !s.closed && j.bytes()+s.firstStartBytes()+s.startBytes(t, w) <= maxProgressBytes
}

// gangFitsRow is fitsRow for all tasks of a gang.
func (c *Core) gangFitsRow(s *step, plan []*worker) bool {
	j := s.job
	size := gangEndBytes + checkpointReserve + s.firstStartBytes()
	counted := map[*worker]bool{}
	for i, w := range plan {
		size += s.startBytes(&s.tasks[i], w)
		if counted[w] && !j.rowWorkers[w.life()] {
			size -= workerBytes + storedLength(w.info.ID)
		}
		counted[w] = true
	}
	if j.bytes()+size > maxProgressBytes && j.idle() {
		c.makeRoom(j, size)
	}
	return !s.closed && j.bytes()+size <= maxProgressBytes
}

// makeRoom shortens the stored progress of a job of which nothing runs, by the given size
// if it can: occurrences that have not begun open later, and from the last occurrence on
// silent losses are not stored and checkpoints are dropped.
func (c *Core) makeRoom(j *job, size int) {
	c.closeUntouched(j)
	dropped := 0
	for k := len(j.occurrences) - 1; k >= 0; k-- {
		for _, s := range j.occurrences[k].steps {
			for i := range s.tasks {
				if j.bytes()+size <= maxProgressBytes {
					break
				}
				t := &s.tasks[i]
				for l := range t.silent {
					if t.silent[l].stored {
						t.silent[l].stored = false
						j.rowBytes -= silentLossBytes
					}
				}
				if t.checkpoint != "" && t.state == taskPending {
					j.rowBytes -= storedLength(t.checkpoint)
					t.checkpoint = ""
					dropped++
				}
			}
		}
	}
	if dropped > 0 {
		c.markDirty(j)
		c.emit("checkpoints dropped to keep the progress within a row", "job", j.spec.ID, "checkpoints", dropped, "bytes", j.rowBytes)
	}
}

// closeUntouched closes the last occurrences of which nothing has begun, down to one, while
// the stored progress is larger than openBytes. They open again as earlier ones end. Builds
// that bounded the tasks only have stored jobs with more.
func (c *Core) closeUntouched(j *job) {
	closed := 0
	for len(j.occurrences) > 1 && j.bytes() > openBytes && j.occurrences[len(j.occurrences)-1].untouched() {
		last := len(j.occurrences) - 1
		j.nextOccurrence = j.occurrences[last].index
		for _, s := range j.occurrences[last].steps {
			s.closed = true // a pass in progress may still list it
		}
		j.occurrences[last] = nil
		j.occurrences = j.occurrences[:last]
		j.rowBytes -= leastOccurrenceBytes
		closed++
	}
	if closed > 0 {
		c.markDirty(j)
		j.encode()
		c.emit("occurrences open later to keep the progress within a row", "job", j.spec.ID, "occurrences", closed, "bytes", j.rowBytes)
	}
}

// untouched reports whether no task of the occurrence has ever been started.
func (o *occurrence) untouched() bool {
	for _, s := range o.steps {
		if s.pending != len(s.tasks) {
			return false
		}
		for i := range s.tasks {
			if s.tasks[i].run > 0 {
				return false
			}
		}
	}
	return true
}

// mayOpen reports whether the stored progress has room for one more occurrence.
func (j *job) mayOpen() bool {
	if len(j.occurrences) == 0 {
		return true
	}
	return j.bytes()+j.newOccurrenceBytes() <= openBytes
}

// newOccurrenceBytes is an upper bound of the stored size of an occurrence that has not
// begun.
func (j *job) newOccurrenceBytes() int {
	size := occurrenceBytes
	for i := range j.spec.Steps {
		size += stepBytes + len("0,")*j.spec.Steps[i].Tasks
	}
	return size
}

// keepCheckpoint records a checkpoint that a worker reports for a task, unless the stored
// progress has no room for it. Then the task keeps its earlier one.
func (c *Core) keepCheckpoint(s *step, i int, checkpoint string) {
	t := &s.tasks[i]
	if checkpoint == "" || checkpoint == t.checkpoint {
		return
	}
	j, size := s.job, storedLength(checkpoint)
	growth := size - t.reservedCheckpoint
	if s.spec.Gang {
		growth = size - max(checkpointReserve, storedLength(s.gangCheckpoint))
	}
	if growth > 0 {
		if j.bytes()+growth > maxProgressBytes {
			if !t.checkpointRefused {
				t.checkpointRefused = true
				c.emit("checkpoint not kept", "task", s.taskID(i).String(), "run", t.run, "bytes", size, "progress bytes", j.rowBytes)
			}
			return
		}
		j.rowBytes += growth
	}
	t.checkpoint = checkpoint
	if s.spec.Gang {
		s.gangCheckpoint = checkpoint
		return
	}
	t.reservedCheckpoint = max(t.reservedCheckpoint, size)
}

package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// failSteps records n failures of each open step of a job on a worker.
func (c *testCell) failSteps(job, worker string, n int) {
	for _, o := range c.core.jobs[job].occurrences {
		for _, s := range o.steps {
			for range n {
				c.core.recordFailure(s, worker)
			}
		}
	}
}

// failures returns which workers have failed the steps of the first occurrence of job "j".
func (c *testCell) failures() []map[string]int {
	var out []map[string]int
	for _, s := range c.core.jobs["j"].occurrences[0].steps {
		out = append(out, maps.Clone(s.failuresByWorker))
	}
	return out
}

// progress returns the decoded row of job "j".
func (c *testCell) progress() Progress {
	var p Progress
	if err := json.Unmarshal(c.core.jobs["j"].encode(), &p); err != nil {
		c.Fatal(err)
	}
	return p
}

// Guards against failures that are lost with the second takeover, or counted for another
// worker: the numbers of the workers in a row change with each write.
func TestFailuresAreKnownAfterTwoTakeovers(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("a", 1)
	c.addWorker("b", 1)
	step := workload.Step{Tasks: 2, Resources: cores(1)}
	after := step
	after.After = []int{0}
	c.addJob("j", step, after)
	c.failSteps("j", "gone", 2)
	is.Equal(len(c.startTasks(nil)), 2)
	c.core.recordFailure(c.core.jobs["j"].occurrences[0].steps[1], "b")
	want := []map[string]int{{"gone": 2}, {"gone": 2, "b": 1}}
	is.Equal(c.failures(), want)
	is.Equal(len(c.progress().Workers), 3) // "b" is there already for its run
	for range 2 {
		j := c.core.jobs["j"]
		c.takeOver(j.spec, j.encode())
		is.Equal(c.failures(), want)
		delete(c.running, "a")
		c.addWorker("a", 1) // without its run, so the numbers change
		c.failSteps("j", "a", 1)
		for _, w := range want {
			w["a"]++
		}
	}
	is.Equal(c.failures(), want)
}

// Guards against a step that starts again where its run stalled: nothing else of the job may be
// stored before the takeover.
func TestStallIsStored(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
	run := c.startTasks(nil)[0].Order.Run
	for percent := range 2 {
		c.running["w"][run.Task] = workload.RunStatus{Run: run, Percent: percent}
		c.reportInventory("w", workload.Inventory{})
		c.pass(crashWindow)
	}
	c.startTasks(nil) // stores that the run has outlived crashWindow
	c.now = c.now.Add(minStall)
	c.reportInventory("w", workload.Inventory{})
	c.core.Tick(c.now)
	b := c.core.TakeBatch(1, 1<<20)
	is.True(b != nil)
	c.takeOver(c.core.jobs["j"].spec, b.Progress[0].Data)
	is.Equal(c.failures(), []map[string]int{{"w": 1}})
}

// olderProgress is the stored form of progress in builds that do not store failures.
type olderProgress struct {
	State          workload.State      `json:"state"`
	Begun          bool                `json:"begun,omitempty"`
	NextOccurrence int                 `json:"next,omitempty"`
	Workers        []WorkerIncarnation `json:"workers,omitempty"`
	Occurrences    []struct {
		Index int `json:"k"`
		Steps []struct {
			GangFailures      int            `json:"fails,omitempty"`
			LastFailedGangRun int            `json:"failed_run,omitempty"`
			GangCheckpoint    string         `json:"saved,omitempty"`
			AllDone           bool           `json:"done,omitempty"`
			Outlived          []byte         `json:"outlived,omitempty"`
			Tasks             []TaskProgress `json:"tasks,omitempty"`
		} `json:"steps"`
	} `json:"occ,omitempty"`
	EndedAt int64 `json:"ended_at,omitempty"`
}

// Guards against a job that is held, or runs a task twice, because an older build has read its
// row and written it without the failures.
func TestRowWithFailuresOutlivesAnOlderBuild(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 1)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1)})
	c.failSteps("j", "gone", 1)
	task := c.startTasks(nil)[0].Order.Run.Task
	row := c.core.jobs["j"].encode()
	var older olderProgress
	is.NoErr(json.Unmarshal(row, &older))
	dropped, err := json.Marshal(older)
	is.NoErr(err)
	is.True(strings.Contains(string(row), `"failed_on"`))
	is.True(!strings.Contains(string(dropped), `"failed_on"`))
	spec := c.core.jobs["j"].spec
	c.takeOver(spec, dropped)
	is.Equal(c.failures(), []map[string]int{nil})
	_, run := c.core.findTask(task)
	is.Equal(run.worker, "w")
	is.Equal(run.incarnation, int64(testIncarnation))
	c.failSteps("j", "w", 1)
	c.takeOver(spec, c.core.jobs["j"].encode())
	is.Equal(c.failures(), []map[string]int{{"w": 1}})
}

// Guards against a job that is held, or a coordinator that panics, for failures that refer to
// nothing.
func TestFailuresOfNoWorkerAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	row := `{"state":"running","next":1,"workers":[{"id":"w","born":7}],"occ":[{"k":0,"steps":[
		{"failed_on":[[0,1],[-1,1],[2,1],[1,0],[],[1],[1,3,5]],"tasks":[0]}]}]}`
	c.takeOver(c.core.jobs["j"].spec, []byte(row))
	is.Equal(c.failures(), []map[string]int{{"w": 3}})
}

// Guards against failures that take the place of something else in a row: as a checkpoint
// grows, the failures are left out first, and addresses after them.
func TestFailuresAreLeftOutOfAFullRow(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker(longID(0), 1)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1)})
	is.Equal(len(c.startTasks(nil)), 1)
	for n := range 5 {
		c.failSteps("j", fmt.Sprint("gone", n), 1)
	}
	j := c.core.jobs["j"]
	task := &j.occurrences[0].steps[0].tasks[1]
	task.checkpoint = "x"
	all := len(j.encode())
	counts := [3]int{} // of rows with failures, without, and without addresses as well
	for size := maxProgressBytes - all - 2; ; size += 11 {
		task.checkpoint = strings.Repeat("x", size)
		row := j.encode()
		if j.rowBytes > maxProgressBytes {
			break // such a checkpoint would not be kept
		}
		is.True(len(row) <= maxProgressBytes)
		p := c.progress()
		failures, address := len(p.Occurrences[0].Steps[0].FailedOn), p.Workers[0].Address != ""
		left := 0
		switch {
		case failures == 0 && address:
			left = 1
		case failures == 0:
			left = 2
		default:
			is.True(address)
			is.Equal(failures, 5)
		}
		counts[left]++
		is.Equal(counts[left+1:], make([]int, 2-left)) // none of the rows before had less
		is.Equal(len(p.Workers) > 1, failures > 0)
		is.Equal(len(p.Occurrences[0].Steps[0].Tasks[1].Checkpoint), size)
		if all+size-1 <= maxProgressBytes {
			is.Equal(left, 0)
		}
	}
	is.True(counts[0] > 0)
	is.True(counts[1] > 0)
	is.True(counts[2] > 0)
}

// Guards against rows that grow with each worker that has ever failed a step.
func TestWorkersWithMostFailuresAreStored(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	for n := range 10 * maxStoredFailures {
		c.failSteps("j", fmt.Sprintf("w%03d", n), 1+n%10/9)
	}
	j := c.core.jobs["j"]
	c.takeOver(j.spec, j.encode())
	known := c.failures()[0]
	is.Equal(len(known), maxStoredFailures)
	for id, n := range known {
		is.Equal(n, 2)
		is.Equal(id[3:], "9")
	}
}

// Guards against a job whose progress cannot be stored, or that starts less, because each of
// the workers has failed each of its steps, and each of its tasks has failed.
func TestFailuresOnAllWorkersLeaveRoomInTheRow(t *testing.T) {
	for name, test := range rowJobs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newRowCell(t, test.workers, test.workerID)
			c.checkpoint = func(workload.TaskID) string { return test.checkpoint }
			job := test.job
			job.ID, job.Queue, job.Team, job.AcceptedAt = bigJob, "batch", "team", c.now.UnixMilli()
			if job.Repeats > 0 {
				job.FirstDue = c.now.Add(-time.Duration(job.Repeats) * job.Period).UnixMilli()
			}
			c.core.AddJob(&job, c.now)
			state, rounds, stored, timed := workload.Running, 0, 0, 0
			for ; !state.Final() && rounds < 400; rounds++ {
				c.step()
				c.step()
				if rounds < 4 {
					j := c.core.jobs[bigJob]
					j.encode()
					bytes := j.rowBytes
					for i := range test.workers {
						c.failSteps(bigJob, test.workerID(i), 1)
					}
					for _, o := range j.occurrences {
						for _, s := range o.steps {
							for i := range s.tasks {
								s.addFailedTime(i, time.Hour)
							}
						}
					}
					j.encode()
					is.Equal(j.rowBytes, bytes) // what starts depends on it
					c.step()
					stored += strings.Count(string(c.stored), `"failed_on"`)
					timed += strings.Count(string(c.stored), `"failed_ms"`)
				}
				switch rounds {
				case 0:
					c.endAll(workload.RunLeaseExpired) // all tasks have checkpoints now
				case 1:
					cell := c.core.cell
					c.core = New()
					c.core.SetCell(cell)
					is.NoErr(c.core.Restore(&job, c.stored, false, c.now))
					for i := range test.workers {
						c.addWorker(test.workerID(i), 32)
					}
				default:
					c.endAll(workload.RunDone)
				}
				state, _ = c.core.JobState(bigJob)
			}
			t.Logf("largest row %d bytes, failures stored of %d steps, times of %d, done after %d rounds", c.largest, stored, timed, rounds)
			is.True(c.largest <= workload.MaxRowBytes)
			is.Equal(state, workload.Completed)
		})
	}
}

// failedTimes returns the times of failed runs that the row of job "j" has for its first step.
func (c *testCell) failedTimes() []FailedTime {
	return c.progress().Occurrences[0].Steps[0].FailedTimes
}

// Guards against an objective that forgets with a takeover what it knew after the one before.
func TestTimesOfFailedRunsAddUpAcrossTakeovers(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 9})
	c.addWorker("w", 1)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	j := c.core.jobs["j"]
	total := time.Duration(0)
	for n := range 4 {
		st := c.startTasks(nil)[0]
		c.now = c.now.Add(time.Duration(700+n) * time.Millisecond)
		_, task := c.core.findTask(st.Order.Run.Task)
		total += c.now.Sub(task.startConfirmed)
		c.reportEnd(int64(n+1), st, workload.RunFailed, "")
		is.Equal(c.core.jobs["j"].occurrences[0].steps[0].maxFailedTime, total)
		c.takeOver(j.spec, c.core.jobs["j"].encode())
		is.Equal(c.core.jobs["j"].occurrences[0].steps[0].maxFailedTime, total)
		c.addWorker("w", 1)
	}
}

// Guards against rows that store times which no longer count: of the tasks that are done only
// the largest does.
func TestFailedTimesThatCountAreStored(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	step := workload.Step{Tasks: 5, Resources: cores(1)}
	c.addJob("j", step, workload.Step{Tasks: 1, Resources: cores(1), After: []int{0}})
	starts := c.startTasks(nil)
	is.Equal(len(starts), 5)
	for i, d := range []time.Duration{7 * time.Second, 7 * time.Second, 2 * time.Second, time.Microsecond} {
		c.core.jobs["j"].occurrences[0].steps[0].addFailedTime(i, d)
	}
	done := int64(0)
	finish := func(from, to int) {
		for _, st := range starts {
			if i := st.Order.Run.Task.Index; i >= from && i < to {
				done++
				c.reportEnd(done, st, workload.RunDone, "")
			}
		}
	}
	takeOver := func() {
		j := c.core.jobs["j"]
		c.takeOver(j.spec, j.encode())
		c.addWorker("w", 8)
		is.Equal(c.core.jobs["j"].occurrences[0].steps[0].maxFailedTime, 7*time.Second)
	}
	is.Equal(c.failedTimes(), []FailedTime{{0, 7000}, {1, 7000}, {2, 2000}})
	finish(0, 2)
	is.Equal(c.failedTimes(), []FailedTime{{0, 7000}, {2, 2000}})
	takeOver()
	is.Equal(c.failedTimes(), []FailedTime{{0, 7000}, {2, 2000}})
	finish(2, 5)
	is.True(c.progress().Occurrences[0].Steps[0].AllDone)
	is.Equal(c.failedTimes(), []FailedTime{{0, 7000}})
	takeOver()
	is.Equal(c.failedTimes(), []FailedTime{{0, 7000}})
	c.core.Cancel("j", c.now)
	is.True(!strings.Contains(string(c.core.jobs["j"].encode()), "failed"))
}

// Guards against a job that is held because an older build has read its row and written it
// without the times of failed runs.
func TestRowWithFailedTimesOutlivesAnOlderBuild(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	j := c.core.jobs["j"]
	j.occurrences[0].steps[0].addFailedTime(0, time.Second)
	row := j.encode()
	var older olderProgress
	is.NoErr(json.Unmarshal(row, &older))
	dropped, err := json.Marshal(older)
	is.NoErr(err)
	is.True(strings.Contains(string(row), `"failed_ms"`))
	is.True(!strings.Contains(string(dropped), `"failed_ms"`))
	c.takeOver(j.spec, dropped)
	is.Equal(len(c.failedTimes()), 0)
	c.core.jobs["j"].occurrences[0].steps[0].addFailedTime(0, 2*time.Second)
	is.Equal(c.failedTimes(), []FailedTime{{0, 2000}})
}

// Guards against a job that is held, or a coordinator that panics, for times of no task.
func TestFailedTimesOfNoTaskAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1)})
	row := `{"state":"running","next":1,"occ":[{"k":0,"steps":[{"failed_ms":[[-1,5],[2,5],[0,-5],[0,0],[],[1],[1,1500,7]],"tasks":[0,0]}]}]}`
	c.takeOver(c.core.jobs["j"].spec, []byte(row))
	is.Equal(c.failedTimes(), []FailedTime{{1, 1500}})
}

// Guards against times of failed runs that take the place of the workers that failed them.
func TestFailedTimesAreLeftOutOfAFullRowFirst(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1)})
	c.failSteps("j", "w", 1)
	j := c.core.jobs["j"]
	s := j.occurrences[0].steps[0]
	s.addFailedTime(0, time.Hour)
	task := &s.tasks[1]
	task.run, task.checkpoint = 1, "x"
	all := len(j.encode())
	last, counts := 2, [3]int{} // by how many of the two a row has
	for size := maxProgressBytes - all; ; size++ {
		task.checkpoint = strings.Repeat("x", size)
		row := j.encode()
		if j.rowBytes > maxProgressBytes {
			break // such a checkpoint would not be kept
		}
		is.True(len(row) <= maxProgressBytes)
		workers, times := strings.Contains(string(row), `"failed_on"`), strings.Contains(string(row), `"failed_ms"`)
		is.True(workers || !times)
		now := 0
		for _, stored := range []bool{workers, times} {
			if stored {
				now++
			}
		}
		is.True(now <= last)
		last = now
		counts[now]++
	}
	is.True(counts[2] > 0)
	is.True(counts[1] > 0)
	is.True(counts[0] > 0)
}

// Guards against an objective that is longer by the time of a cut: the end of a failed run is
// heard late, and the time until then counts as time of the run, for all later coordinators.
func TestTimeOfACutDoesNotCountAsTimeOfAFailedRun(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: 2 * time.Second})
	st := c.startTasks(nil)[0]
	c.now = c.now.Add(time.Second) // it fails by now, and the worker is cut off
	c.core.HandleLostContact("w", c.now)
	c.core.ExtendLease("w", c.now.Add(time.Hour))
	c.now = c.now.Add(6 * time.Second)
	c.reportEnd(1, st, workload.RunFailed, "")
	stored := c.failedTimes()
	is.Equal(len(stored), 1)
	is.True(stored[0][1] <= 1100) // milliseconds
}

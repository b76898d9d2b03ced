package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// rowCell runs a job on workers whose tasks save their progress, and checks each stored row.
type rowCell struct {
	*testCell
	seq        map[string]int64
	checkpoint func(workload.TaskID) string
	largest    int
	stored     []byte // latest progress
	starts     int
}

func newRowCell(t *testing.T, workers int, id func(int) string) *rowCell {
	c := &rowCell{testCell: newCell(t), seq: map[string]int64{}}
	c.core.SetCell(workload.NewCell(2, []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 9}}, []workload.Team{{Name: "team"}}, nil))
	for i := range workers {
		c.addWorker(id(i), 32)
	}
	return c
}

// step lets a second pass: it schedules, checks and stores the progress, and reports all
// running tasks with their checkpoints.
func (c *rowCell) step() {
	c.core.Tick(c.now)
	c.core.Schedule(c.now)
	for b := c.core.TakeBatch(100, 1<<20); b != nil; b = c.core.TakeBatch(100, 1<<20) {
		for _, p := range b.Progress {
			c.largest = max(c.largest, len(p.Data))
			c.stored = p.Data
		}
		for _, st := range c.core.HandleStored(b, c.now) {
			c.starts++
			c.core.HandleStartResult(st, nil, c.now)
			if c.running[st.Worker.ID] == nil {
				c.running[st.Worker.ID] = map[workload.TaskID]workload.RunStatus{}
			}
			c.running[st.Worker.ID][st.Order.Run.Task] = workload.RunStatus{Run: st.Order.Run, Checkpoint: c.checkpoint(st.Order.Run.Task)}
		}
	}
	for id, w := range c.core.workers {
		for task := range w.tasks {
			if _, task := c.core.findTask(task); task == nil || !task.state.mayRun() || task.worker != id {
				c.Fatalf("worker %s holds a task that does not run there", id)
			}
		}
	}
	c.now = c.now.Add(time.Second)
	for id := range c.running {
		c.reportInventory(id, workload.Inventory{})
	}
}

// endAll ends all runs with an outcome.
func (c *rowCell) endAll(outcome workload.Outcome) {
	for id, runs := range c.running {
		var ended []workload.RunEnd
		for _, r := range runs {
			c.seq[id]++
			ended = append(ended, workload.RunEnd{Seq: c.seq[id], Run: r.Run, Outcome: outcome, Checkpoint: r.Checkpoint})
		}
		c.reportInventory(id, workload.Inventory{Ended: ended})
	}
}

const bigJob = "00112233445566aa"

// rowJobs are jobs whose progress takes more than a row if nothing bounds it.
var rowJobs = map[string]struct {
	workers    int
	workerID   func(int) string
	job        workload.Job
	checkpoint string
}{
	"schedule": {12, shortID, workload.Job{Repeats: 3600, Period: time.Second, Steps: []workload.Step{{Tasks: 1, Resources: smallTask, Checkpoints: true}}}, "00000bb87a21d94b"},
	"schedule, long checkpoints": {12, shortID,
		workload.Job{Repeats: 400, Period: time.Second, Steps: []workload.Step{{Tasks: 1, Resources: smallTask, Checkpoints: true}}}, strings.Repeat("x", 900)},
	"schedule, gangs": {12, shortID,
		workload.Job{Repeats: 150, Period: time.Second, Steps: []workload.Step{{Tasks: 6, Resources: smallTask, Checkpoints: true, Gang: true}}}, strings.Repeat("x", 500)},
	"wide step on many workers": {928, shortID,
		workload.Job{Steps: []workload.Step{{Tasks: workload.MaxTasks, Resources: model.Resources{MilliCores: 16_000}, Checkpoints: true}}}, "00000bb87a21d94b"},
	"wide gang":         {350, shortID, workload.Job{Steps: []workload.Step{{Tasks: workload.MaxTasks, Resources: model.Resources{MilliCores: 6000}, Checkpoints: true, Gang: true}}}, "00000bb87a21d94b"},
	"long checkpoints":  {48, shortID, workload.Job{Steps: []workload.Step{{Tasks: 200, Resources: smallTask, Checkpoints: true}}}, strings.Repeat("x", 2000)},
	"odd checkpoints":   {48, shortID, workload.Job{Steps: []workload.Step{{Tasks: 1200, Resources: smallTask, Checkpoints: true}}}, strings.Repeat("\x01", 16)},
	"unasked":           {48, shortID, workload.Job{Steps: []workload.Step{{Tasks: 1200, Resources: smallTask}}}, strings.Repeat("x", 60)},
	"long IDs":          {400, longID, workload.Job{Steps: []workload.Step{{Tasks: 400, Resources: model.Resources{MilliCores: 20_000}}}}, ""},
	"many steps":        {48, shortID, workload.Job{Repeats: 2, Period: time.Second, Steps: manySteps(64)}, "00000bb87a21d94b"},
	"checkpoint > row":  {4, shortID, workload.Job{Steps: []workload.Step{{Tasks: 4, Resources: smallTask, Checkpoints: true}}}, strings.Repeat("x", 100_000)},
	"gang, long states": {48, shortID, workload.Job{Steps: []workload.Step{{Tasks: 200, Resources: smallTask, Checkpoints: true, Gang: true}}}, strings.Repeat("x", 2000)},
}

var smallTask = model.Resources{MilliCores: 50, MemoryMB: 50}

func shortID(i int) string { return fmt.Sprintf("i-%08x", i*7919) }
func longID(i int) string  { return fmt.Sprintf("i-%0198d", i) }

func manySteps(n int) []workload.Step {
	var out []workload.Step
	for range n {
		out = append(out, workload.Step{Tasks: 20, Resources: smallTask, Checkpoints: true})
	}
	return out
}

// Guards against a job that was accepted and whose progress exceeds what the store takes in
// a row: no commit with it succeeds, and nothing of any job starts. Its runs are lost
// twice, so that all tasks have checkpoints, and a coordinator takes over; it is carried to
// its end all the same.
func TestProgressStaysWithinARow(t *testing.T) {
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
			for range 2 {
				c.step()
				c.step()
				c.step()
				c.endAll(workload.RunLeaseExpired)
			}
			c.step()
			is.True(c.starts > 0)

			successor := newRowCell(t, test.workers, test.workerID)
			successor.checkpoint, successor.running, successor.seq, successor.now = c.checkpoint, c.running, c.seq, c.now
			is.NoErr(successor.core.Restore(&job, c.stored, false, c.now))
			successor.largest = c.largest
			state, rounds := workload.Running, 0
			for ; !state.Final() && rounds < 400; rounds++ {
				successor.step()
				successor.endAll(workload.RunDone)
				state, _ = successor.core.JobState(bigJob)
			}
			t.Logf("largest row %d bytes, done after %d rounds", successor.largest, rounds)
			is.True(successor.largest <= workload.MaxRowBytes)
			is.Equal(state, workload.Completed)
		})
	}
}

// Guards against a job that cannot go on because an older build has stored a row with as many
// occurrences, or checkpoints, as the row just held.
func TestFullRowOfAnOlderBuildIsCarried(t *testing.T) {
	const occurrences = 1300
	task := func(checkpoint string) string {
		if checkpoint == "" {
			return "0"
		}
		return `[1,0,0,"` + checkpoint + `"]`
	}
	for name, checkpoint := range map[string]string{"not begun": "", "with checkpoints": "00000bb87a21d94b"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newRowCell(t, 12, shortID)
			c.checkpoint = func(workload.TaskID) string { return "00000bb87a21d94b" }
			var open []string
			size := 0
			for k := 100; k < 100+occurrences && size < workload.MaxRowBytes-200; k++ {
				o := fmt.Sprintf(`{"k":%d,"steps":[{"tasks":[%s]}]}`, k, task(checkpoint))
				open, size = append(open, o), size+len(o)+1
			}
			row := fmt.Sprintf(`{"state":"running","begun":true,"next":%d,"occ":[%s]}`, 100+len(open), strings.Join(open, ","))
			is.True(len(row) <= workload.MaxRowBytes)
			job := workload.Job{ID: bigJob, Queue: "batch", Team: "team", Repeats: 3600, Period: time.Second,
				FirstDue: c.now.Add(-3600 * time.Second).UnixMilli(), Steps: []workload.Step{{Tasks: 1, Resources: smallTask, Checkpoints: true}}}
			is.NoErr(c.core.Restore(&job, []byte(row), false, c.now))
			state := workload.Running
			for i := 0; !state.Final() && i < 400; i++ {
				c.step()
				c.endAll(workload.RunDone)
				state, _ = c.core.JobState(bigJob)
			}
			is.True(c.largest <= workload.MaxRowBytes)
			is.Equal(state, workload.Completed)
			is.Equal(c.starts, 3600-100)
		})
	}
}

// Guards against runs of occurrences that a scheduling pass has closed to make room: the
// steps were ready when the pass began.
func TestClosedOccurrencesStartNothing(t *testing.T) {
	is := is.New(t)
	c := newRowCell(t, 12, shortID)
	c.checkpoint = func(workload.TaskID) string { return "" }
	c.core.AddJob(&workload.Job{ID: bigJob, Queue: "batch", Team: "team", Repeats: 3600, Period: time.Second,
		FirstDue: c.now.Add(-3600 * time.Second).UnixMilli(), Steps: []workload.Step{{Tasks: 1, Resources: smallTask, Checkpoints: true}}}, c.now)
	j := c.core.jobs[bigJob]
	open := len(j.occurrences)
	for _, o := range j.occurrences[:70] {
		o.steps[0].tasks[0].run, o.steps[0].tasks[0].checkpoint = 1, strings.Repeat("x", 900)
	}
	j.rowBytes = 0 // it is measured anew
	c.step()
	is.True(len(j.occurrences) < open)
	is.True(c.largest <= workload.MaxRowBytes)
	is.True(c.starts > 0)
}

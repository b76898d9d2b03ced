package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// setEntry applies a registry entry of the worker "w" with this address and incarnation.
func (c *testCell) setEntry(address string, incarnation int64) {
	info := c.core.workers["w"].info
	info.Address, info.Incarnation = address, incarnation
	c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &info})
}

// Guards against a second run of a task that still runs: an entry of another writer gives
// a worker the address of another one, which answers that it is not that worker.
func TestAnswerAtAnotherAddressEndsNoRun(t *testing.T) {
	for name, incarnation := range map[string]int64{"same life": testIncarnation, "odd life": 1 << 52, "no life": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			is.Equal(len(c.startTasks(nil)), 1)
			c.addWorker("other", 8)
			for range 3 {
				c.setEntry("other:1", incarnation)
				if v, ok := c.core.ViewWorker("w"); ok && v.Worker.Address == "other:1" {
					c.core.HandleReplaced("w", "other:1", c.now)
				}
				is.Equal(len(c.startTasks(nil)), 0) // it may still run at w:1
				v, ok := c.core.ViewWorker("w")
				is.True(ok)
				is.Equal(v.Worker.Address, "w:1") // where its lease is renewed
			}
			c.reportInventory("w", workload.Inventory{})
			c.setEntry("w:1", testIncarnation)
			c.reportInventory("w", workload.Inventory{})
			is.True(c.core.workers["w"].registered)
			is.Equal(c.core.Stats().RunningTasks, 1)
		})
	}
}

// Guards against an entry with an odd time of birth that makes its worker look restarted
// at each rewrite: it would lose contact each time.
func TestOddBirthRestartsNoWorkerAgainAndAgain(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1)})
	st := c.startTasks(nil)
	is.Equal(len(st), 2)
	restarts := 0
	for range 5 {
		c.setEntry("w:1", 1<<52)
		c.now = c.now.Add(time.Second)
		c.reportInventory("w", workload.Inventory{})
		for _, e := range c.core.TakeEvents() {
			if e.Name == "worker started anew" {
				restarts++
			}
		}
	}
	is.True(restarts <= 2) // to the odd life and back
	c.reportEnd(1, st[0], workload.RunDone, "")
	c.reportEnd(2, st[1], workload.RunDone, "")
	c.startTasks(nil)
	is.Equal(c.jobState(), workload.Completed)
}

// Guards against tasks that are lost, or started twice, while the entry of their worker
// cannot be used.
func TestTasksRunOnWhileTheEntryOfTheirWorkerIsOdd(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1)}, workload.Step{Tasks: 1, Resources: cores(1), After: []int{0}})
	st := c.startTasks(nil)
	info := c.core.workers["w"].info
	c.core.SetWorker(workload.WorkerChange{ID: "w"})
	c.addWorker("other", 8)
	c.core.Tick(c.now)
	is.Equal(len(c.startTasks(nil)), 0)
	_, wanted := c.core.ViewWorker("w")
	is.True(wanted) // its link renews the leases
	c.reportEnd(1, st[0], workload.RunDone, "")
	c.reportEnd(2, st[1], workload.RunDone, "")
	next := c.startTasks(nil)
	is.Equal(len(next), 1)
	is.Equal(next[0].Worker.ID, "other")
	c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &info})
	c.reportInventory("w", workload.Inventory{})
	is.True(c.core.workers["w"].registered)
}

// Guards against a worker that is denied to a step for good since the row of an answer that
// allows it cannot be read, and against tickets of workers that were not asked for.
func TestIncompleteAdviceDeniesNoWorker(t *testing.T) {
	is := is.New(t)
	advice := &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: time.Minute}
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Advice: advice})
	c.addWorker("w1", 8)
	c.addWorker("w2", 8)
	c.addJob("j", workload.Step{Tasks: 12, Resources: cores(1)})
	call := func() AdviceCall {
		t.Helper()
		c.now = c.now.Add(minCallInterval)
		c.startTasks(nil)
		call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
		is.True(ok)
		return call
	}
	c.core.HandleAdvice(call(), []workload.Ticket{{Worker: "w1", Token: "one"}, {Worker: "w9", Token: "nine"}}, workload.ErrAdviceIncomplete, c.now)
	starts := c.startTasks(nil)
	is.Equal(len(starts), 8)
	is.Equal(starts[0].Worker.ID, "w1")
	is.Equal(len(c.core.jobs["j"].occurrences[0].steps[0].advice.tickets), 1)
	c.core.HandleAdvice(call(), []workload.Ticket{{Worker: "w2", Token: "two"}}, nil, c.now)
	starts = c.startTasks(nil)
	is.Equal(len(starts), 4)
	is.Equal(starts[0].Worker.ID, "w2")
}

// Guards against a job with so many due occurrences that the coordinator ends by its
// memory, or that the job's progress no longer fits into a row of the store.
func TestDueOccurrencesOpenWithinBounds(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	const repeats, tasks = 1_000_000_000, 10
	c.core.AddJob(&workload.Job{ID: "00112233445566aa", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(), Repeats: repeats, Period: 1,
		Steps: []workload.Step{{Tasks: tasks, Resources: cores(1)}}}, c.now)
	j := c.core.jobs["00112233445566aa"]
	seq, ended := int64(0), 0
	for range 200 {
		c.core.Tick(c.now)
		is.True(len(j.occurrences)*tasks <= workload.MaxTasks)
		is.True(len(j.encode()) <= 65536)
		for _, st := range c.startTasks(nil) {
			seq++
			ended++
			c.reportEnd(seq, st, workload.RunDone, "")
		}
	}
	is.True(ended >= 200*tasks/2) // further occurrences open as earlier ones end
	is.Equal(j.state, workload.Running)
}

// Guards against leases that are not renewed where the tasks run: some of a worker's tasks
// were restored from rows of an older build, which do not tell the address.
func TestWorkerKeepsTheKnownAddressOfItsTasks(t *testing.T) {
	for round := range 20 { // the order of a worker's tasks differs
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			for job, address := range []string{"", "", "", "", "", `,"addr":"w:1"`} {
				spec := &workload.Job{ID: fmt.Sprint("j", job), Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(), Steps: []workload.Step{{Tasks: 1, Resources: cores(1)}}}
				row := `{"state":"running","begun":true,"next":1,"workers":[{"id":"w","born":1000` + address + `}],"occ":[{"k":0,"steps":[{"tasks":[[1,1,0,""]]}]}]}`
				is.NoErr(c.core.Restore(spec, []byte(row), false, c.now))
			}
			c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &workload.Worker{ID: "w", Incarnation: testIncarnation, Address: "other:1", AZ: "a", Pool: "pool"}})
			c.core.HandleReplaced("w", "other:1", c.now)
			is.Equal(c.core.WorkerAddress("w"), "w:1")
		})
	}
}

// FuzzRestore checks that stored progress is either refused, and the job held, or leaves a
// core that goes on.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"state":"running","begun":true,"next":2,"workers":[{"id":"w","born":1000}],"occ":[{"k":1,"steps":[{"tasks":[1,[3,1,1,"saved"]]},{"tasks":[0,0,0]}]}]}`))
	f.Add([]byte(`{"state":"completed","next":3,"ended_at":-9223372036854775808}`))
	f.Add([]byte(`{"state":"queued","occ":[{"k":1e9}]}`))
	f.Fuzz(func(t *testing.T, progress []byte) {
		c := newCell(t)
		c.addWorker("w", 8)
		spec := &workload.Job{ID: "j", Queue: "batch", Team: "team", Repeats: 3, Period: time.Second, FirstDue: c.now.UnixMilli(),
			Steps: []workload.Step{{Tasks: 2, Resources: cores(1)}, {Tasks: 3, Resources: cores(1), After: []int{0}, Gang: true}}}
		err := c.core.Restore(spec, progress, false, c.now)
		if (err != nil) != c.core.isHeld("j") {
			t.Errorf("held: %v, error %v", c.core.isHeld("j"), err)
		}
		c.core.AddJob(spec, c.now)
		c.reportInventory("w", workload.Inventory{})
		c.core.Tick(c.now)
		starts := c.startTasks(nil)
		if err != nil && len(starts) > 0 {
			t.Errorf("%d runs of a held job start", len(starts))
		}
		for _, p := range c.core.TakeSnapshot().Progress {
			if !json.Valid(p.Data) {
				t.Errorf("snapshot stores %q", p.Data)
			}
		}
	})
}

// Guards against a log, and calls to workers, for each rewrite of an entry that names
// another worker's address. A worker that has come to that address is found in the end.
func TestEntryAtAnotherWorkersAddressIsTriedRarely(t *testing.T) {
	for name, incarnation := range map[string]int64{"with a birth": 7, "without": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			entry := workload.Worker{ID: "odd", Incarnation: incarnation, Address: "w:1", AZ: "a", Pool: "pool"}
			tried := 0
			const rewrites, interval = 40, 1500 * time.Millisecond
			for range rewrites {
				c.core.SetWorker(workload.WorkerChange{ID: "odd", Worker: &entry})
				if _, known := c.core.ViewWorker("odd"); known {
					tried++
					c.core.HandleReplaced("odd", "w:1", c.now)
				}
				c.now = c.now.Add(interval)
				c.core.Tick(c.now)
			}
			is.True(tried <= 1+int(rewrites*interval/misdirectedRetry))
			is.True(tried >= 2)
			lines := 0
			for _, e := range c.core.TakeEvents() {
				if e.Name == "worker registered" || e.Name == "worker replaced by another life" {
					lines++
				}
			}
			is.True(lines <= 1+2*tried) // one for "w"
			c.core.SetWorker(workload.WorkerChange{ID: "odd"})
			is.Equal(len(c.core.misdirected), 0)
			is.True(c.core.workers["w"].registered)
		})
	}
}

// Guards against jobs that are held since a later build stores more about a task.
func TestProgressOfALaterBuildIsRead(t *testing.T) {
	is := is.New(t)
	var p TaskProgress
	is.NoErr(json.Unmarshal([]byte(`[3,1,2,"saved",2,1,7,{"more":1},null]`), &p))
	is.Equal(p, TaskProgress{Run: 3, Worker: 1, Failures: 2, Checkpoint: "saved", Crashes: 2, Proven: 1})
	for _, odd := range []string{`null`, `[]`, `[3,1,2]`, `[null,1,2,""]`, `[3,1,2,null]`, `[1.5,0,0,""]`, `2`, `{}`} {
		is.True(json.Unmarshal([]byte(odd), &p) != nil)
	}
}

// Guards against a second run of a task that was restored after a takeover: an entry of
// another writer has another worker's address, and that worker answers before this one has
// reported its runs.
func TestAnswerAtAnotherAddressEndsNoRestoredRun(t *testing.T) {
	for name, test := range map[string]struct {
		stored  bool // the address at which the run was started
		address string
		started int // runs that start at once
	}{
		"another address":                    {true, "other:1", 0},
		"its address":                        {true, "w:1", 1},
		"another address, older build's row": {false, "other:1", 0},
		"its address, older build's row":     {false, "w:1", 0}, // it may have been started elsewhere
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			spec := &workload.Job{ID: "j", Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(),
				Steps: []workload.Step{{Tasks: 1, Resources: cores(1)}}}
			c.core.AddJob(spec, c.now)
			c.core.Schedule(c.now)
			row := c.core.TakeBatch(10, 1<<20).Progress[0].Data
			if !test.stored {
				row = bytes.Replace(row, []byte(`,"addr":"w:1"`), nil, 1)
			}
			next := newCell(t)
			is.NoErr(next.core.Restore(spec, row, false, next.now))
			next.core.SetLeaseBounds(next.now.Add(8*time.Second), nil, next.now)
			next.addWorker("other", 8)
			next.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &workload.Worker{ID: "w", Incarnation: testIncarnation,
				Address: test.address, AZ: "a", Pool: "pool", Capacity: cores(8)}})
			next.core.HandleReplaced("w", test.address, next.now)
			is.Equal(len(next.startTasks(nil)), test.started)
			next.now = next.now.Add(9 * time.Second)
			next.core.Tick(next.now)
			is.Equal(len(next.startTasks(nil)), 1-test.started) // when the leases are over
		})
	}
}

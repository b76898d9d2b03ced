package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// loseSilently lets a worker that runs tasks go silent until its leases end and its entry
// has lapsed.
func (c *testCell) loseSilently(id string) {
	c.core.ExtendLease(id, c.now.Add(crashLease))
	c.core.HandleLostContact(id, c.now)
	c.core.SetWorker(workload.WorkerChange{ID: id})
	c.now = c.now.Add(crashLease + time.Millisecond)
	c.core.Tick(c.now)
	delete(c.running, id)
}

// takeOver replaces the core by one that knows what is stored of a job.
func (c *testCell) takeOver(spec *workload.Job, stored []byte) {
	cell := c.core.cell
	c.core = New()
	c.core.SetCell(cell)
	if err := c.core.Restore(spec, stored, false, c.now); err != nil {
		c.Fatal(err)
	}
	c.core.SetLeaseBounds(c.now.Add(crashLease), nil, c.now)
}

// pass lets time pass, with ticks.
func (c *testCell) pass(lasts time.Duration) {
	for end := c.now.Add(lasts); c.now.Before(end); {
		c.now = c.now.Add(taskCheckInterval)
		c.core.Tick(c.now)
	}
}

// Guards against a suspected crash that is never settled, or settled without evidence: what
// shows whether a silent worker has crashed may come long after its leases have ended, and
// under another coordinator.
func TestSilentLossIsSettledByLaterEvidence(t *testing.T) {
	answers := func(id, address string, incarnation int64) func(c *testCell) {
		return func(c *testCell) {
			c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{ID: id, Incarnation: incarnation, Address: address, AZ: "a", Pool: "pool"}})
			c.reportInventory(id, workload.Inventory{Incarnation: incarnation})
		}
	}
	for name, test := range map[string]struct {
		evidence        func(c *testCell)
		open            bool // the loss stays suspected
		crashes, proven int
	}{
		"nothing yet":                     {evidence: func(*testCell) {}, open: true, crashes: 1},
		"the worker answers":              {evidence: answers("w", "w:1", testIncarnation)},
		"it answers at another address":   {evidence: answers("w", "w:2", testIncarnation)},
		"a later incarnation answers":     {evidence: answers("w", "w:1", testIncarnation+1), crashes: 1, proven: 1},
		"another worker answers":          {evidence: answers("x", "w:1", testIncarnation+1), crashes: 1, proven: 1},
		"another answers elsewhere":       {evidence: answers("x", "x:1", testIncarnation+1), open: true, crashes: 1},
		"an order is answered by another": {evidence: func(c *testCell) { c.core.HandleReplaced("w", "w:1", c.now) }, crashes: 1, proven: 1},
		"it is registered only": {evidence: func(c *testCell) {
			c.entry("w", "w:1", testIncarnation)
			c.pass(registeredProof)
		}},
		"it is registered after a restart only": {evidence: func(c *testCell) {
			c.entry("w", "w:1", testIncarnation+1)
			c.pass(registeredProof)
		}, open: true, crashes: 1},
		"it is not seen again": {evidence: func(c *testCell) {
			c.pass(silenceLimit)
		}, crashes: 1},
		"it answers after it has counted as ended": {evidence: func(c *testCell) {
			c.pass(silenceLimit)
			answers("w", "w:1", testIncarnation)(c)
		}},
		"it restarts long after the loss": {evidence: func(c *testCell) {
			c.pass(promptRestart + time.Second)
			answers("w", "w:1", testIncarnation+1)(c)
		}, crashes: 1},
		"it restarts while it is cordoned": {evidence: func(c *testCell) {
			c.core.SetCordonedWorkers([]string{"w"})
			answers("w", "w:1", testIncarnation+1)(c)
		}},
		"it is not seen for a while": {evidence: func(c *testCell) {
			c.pass(silenceLimit - time.Second)
		}, open: true, crashes: 1},
		"it was registered a while ago": {evidence: func(c *testCell) {
			c.pass(silenceLimit - time.Second)
			c.entry("w", "w:1", testIncarnation)
			c.pass(registeredProof / 2)
			c.core.SetWorker(workload.WorkerChange{ID: "w"})
			c.pass(silenceLimit / 2)
		}},
		"it was registered soon after the loss only": {evidence: func(c *testCell) {
			c.entry("w", "w:1", testIncarnation)
			c.pass(registeredProof - 2*time.Second)
			c.core.SetWorker(workload.WorkerChange{ID: "w"})
			c.pass(silenceLimit - registeredProof)
		}, open: true, crashes: 1},
	} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", takeover ", takeover), func(t *testing.T) {
				is := is.New(t)
				c := newCell(t)
				c.addWorker("w", 4)
				c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
				id := c.startTasks(nil)[0].Order.Run.Task
				c.loseSilently("w")
				_, task := c.core.findTask(id)
				is.Equal(task.state, taskPending)
				is.Equal(task.crashes, 1)
				is.Equal(len(task.silent), 1)
				if takeover {
					j := c.core.jobs["j"]
					c.takeOver(j.spec, j.encode())
				}
				test.evidence(c)
				c.pass(taskCheckInterval)
				_, task = c.core.findTask(id)
				is.Equal(task.suspected(), map[bool]int{true: 1}[test.open])
				is.Equal(task.crashes, test.crashes)
				is.Equal(task.proven, test.proven)
			})
		}
	}
}

// Guards against a task without a limit whose workers end in silence: it waits from the
// fourth such worker on, and its job is given up once they turn out to have crashed.
func TestTaskWaitsUntilSilentWorkersAreKnownToHaveCrashed(t *testing.T) {
	for name, alive := range map[string]bool{"crashed": false, "one is alive": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.fourSilentLosses()
			c.addWorker("spare", 4)
			is.Equal(len(c.startTasks(nil)), 0)
			is.Equal(c.jobState(), workload.Running)
			if alive {
				c.addWorker("w2", 4) // the same incarnation
				c.pass(taskCheckInterval)
				is.Equal(len(c.startTasks(nil)), 1)
				return
			}
			for n := range unprovenCrashLimit {
				id := fmt.Sprint("w", n)
				is.Equal(c.jobState(), workload.Running)
				c.core.HandleReplaced(id, id+":1", c.now)
				c.startTasks(nil) // stores the state
			}
			is.Equal(c.jobState(), workload.Failed)
		})
	}
}

// Guards against suspected crashes that fill the row of a job, so that nothing of it starts.
func TestSilentLossesLeaveRoomInTheRow(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 4)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	s, task := c.core.findTask(c.startTasks(nil)[0].Order.Run.Task)
	s.job.rowBytes = maxProgressBytes
	c.loseSilently("w")
	is.Equal(task.crashes, 1) // counted, but not stored
	var p Progress
	is.NoErr(json.Unmarshal(s.job.encode(), &p))
	is.Equal(p.Occurrences[0].Steps[0].Tasks[0], TaskProgress{Run: 1})
	task.silent[0].stored = true
	s.job.rowBytes = maxProgressBytes
	c.core.makeRoom(s.job, silentLossBytes)
	is.Equal(s.job.rowBytes, maxProgressBytes-silentLossBytes)
	is.True(!task.silent[0].stored)
}

// Guards against rows that grow by more than what is counted for a silent loss.
func TestSilentLossIsMeasured(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	addresses := 0
	for n := range unprovenCrashLimit {
		id := fmt.Sprint("w", n)
		c.addWorker(id, 4)
		c.startTasks(nil)
		j := c.core.jobs["j"]
		j.encode() // measures the row with the run
		c.loseSilently(id)
		counted := j.rowBytes
		addresses += addressBytes + len(id+":1") // left out of a row that is too large
		is.True(len(j.encode()) <= counted+addresses)
		c.now = c.now.Add(crashRetryPause)
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against a task that is held back for good by workers that are registered and out of
// reach: coordinators follow one another, or the entries come and go.
func TestTaskIsNotHeldBackForGoodByRegisteredWorkersOutOfReach(t *testing.T) {
	for name, test := range map[string]struct{ term, registered, lapsed time.Duration }{
		"takeovers":                      {term: 12 * time.Second, registered: time.Hour},
		"entries come and go":            {term: time.Hour, registered: 10 * time.Second, lapsed: 20 * time.Second},
		"entries come and go, takeovers": {term: 12 * time.Second, registered: 5 * time.Second, lapsed: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.fourSilentLosses()
			began, starts := c.now, 0
			var ends, changes time.Time
			registered := false
			for c.now.Sub(began) < 10*time.Minute && starts == 0 && c.jobState() != workload.Failed {
				if !c.now.Before(changes) {
					registered = !registered || test.lapsed == 0
					changes = c.now.Add(map[bool]time.Duration{true: test.registered, false: test.lapsed}[registered])
					c.registerLost(registered)
				}
				if !c.now.Before(ends) {
					j := c.core.jobs["j"]
					c.takeOver(j.spec, j.encode())
					c.addWorker("spare", 4)
					c.registerLost(registered)
					ends = c.now.Add(test.term)
				}
				c.reportInventory("spare", workload.Inventory{})
				c.pass(500 * time.Millisecond)
				starts += len(c.startTasks(nil))
			}
			t.Logf("state %v, starts %d after %v", c.jobState(), starts, c.now.Sub(began))
			is.Equal(starts, 1) // within 10 minutes
			is.True(c.now.Sub(began) <= silenceLimit)
		})
	}
}

// registerLost lets the entries of the workers of fourSilentLosses appear or lapse.
func (c *testCell) registerLost(on bool) {
	for n := range unprovenCrashLimit {
		id := fmt.Sprint("w", n)
		if on {
			c.entry(id, id+":1", testIncarnation)
		} else {
			c.core.SetWorker(workload.WorkerChange{ID: id})
		}
	}
}

// Guards against a restart long after the loss that is taken for proof, since the entry of the
// new incarnation comes before its first answer.
func TestEntryOfALateRestartIsNoProof(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeover), func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 4)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			is.Equal(len(c.startTasks(nil)), 1)
			c.loseSilently("w")
			c.pass(promptRestart + time.Second)
			c.entry("w", "w:1", testIncarnation+1)
			c.pass(time.Second)
			if takeover {
				j := c.core.jobs["j"]
				c.takeOver(j.spec, j.encode())
				c.entry("w", "w:1", testIncarnation+1)
			}
			c.reportInventory("w", workload.Inventory{Incarnation: testIncarnation + 1})
			c.pass(taskCheckInterval)
			is.Equal(c.firstTask().crashes, 1)
			is.Equal(c.firstTask().proven, 0)
		})
	}
}

// Guards against a job that is given up for workers that left with notice: a coordinator that
// takes over after their entries are gone does not know that they drained.
func TestJobIsNotGivenUpForWorkersThatLeftBesideTakeovers(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	for n := range unprovenCrashLimit {
		id := fmt.Sprint("w", n)
		c.addWorker(id, 4)
		is.Equal(len(c.startTasks(nil)), 1)
		c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{ID: id, Incarnation: testIncarnation, Address: id + ":1", AZ: "a", Pool: "pool", Draining: true}})
		c.core.HandleLostContact(id, c.now) // it has left
		delete(c.running, id)
		j := c.core.jobs["j"]
		c.takeOver(j.spec, j.encode())
		c.now = c.now.Add(crashLease + time.Millisecond)
		c.core.Tick(c.now)
		c.now = c.now.Add(crashRetryPause)
	}
	c.startTasks(nil)
	c.pass(silenceLimit)
	c.startTasks(nil) // stores the state
	is.Equal(c.jobState(), workload.Running)
}

// Guards against a task that is held back for good by terms that are shorter than settlingTime.
func TestTaskIsNotHeldBackForGoodByShortTerms(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.fourSilentLosses()
	began, starts := c.now, 0
	for c.now.Sub(began) < 5*time.Minute && starts == 0 && c.jobState() != workload.Failed {
		j := c.core.jobs["j"]
		c.takeOver(j.spec, j.encode())
		c.addWorker("spare", 4)
		for range 4 {
			c.reportInventory("spare", workload.Inventory{})
			c.pass(settlingTime/4 - 50*time.Millisecond)
			starts += len(c.startTasks(nil))
		}
	}
	t.Logf("state %v, starts %d after %v", c.jobState(), starts, c.now.Sub(began))
	is.True(starts > 0 || c.jobState() == workload.Failed)
}

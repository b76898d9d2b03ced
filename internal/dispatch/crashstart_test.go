package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against a job that is given up although none of its tasks has begun on a worker that
// crashed: the start was not answered, and the worker ended for another cause. The stand-in
// sets the order of events: the worker is still in contact after the start was sent, or does
// not answer any more and takes a while to count as out of reach.
func TestJobIsNotGivenUpForStartsThatNeverBegan(t *testing.T) {
	for name, test := range map[string]struct {
		inContact time.Duration // how long the worker answers heartbeats after the start
		detection time.Duration // from its end until it counts as out of reach
		restarts  bool
		gang      bool
	}{
		"order kept back, replaced":   {inContact: 1500 * time.Millisecond, detection: 30 * time.Millisecond},
		"order kept back, restarted":  {inContact: 1500 * time.Millisecond, detection: 30 * time.Millisecond, restarts: true},
		"order kept back, unnoticed":  {inContact: 1500 * time.Millisecond, restarts: true},
		"order kept back, gang":       {inContact: 1500 * time.Millisecond, detection: 30 * time.Millisecond, gang: true},
		"worker without power":        {detection: 1200 * time.Millisecond},
		"worker without power, again": {detection: 1200 * time.Millisecond, restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Gang: test.gang})
			const ends = 8
			for n := range ends {
				id := fmt.Sprint("w", n)
				c.addWorker(id, 8)
				starts := c.startUnanswered()
				if len(starts) != 1 {
					t.Fatalf("%d starts after %d ends of workers, job %s", len(starts), n, c.jobState())
				}
				sent := c.now
				c.core.HandleUnansweredOrder(id, c.now)
				for c.now.Sub(sent) < test.inContact {
					c.now = c.now.Add(300 * time.Millisecond)
					c.reportInventory(id, workload.Inventory{})
				}
				c.core.HandleStartResult(starts[0], workload.ErrNoAnswer, c.now)
				if test.detection > 0 {
					c.now = c.now.Add(test.detection)
					c.core.HandleLostContact(id, c.now)
				}
				c.now = c.now.Add(3 * time.Second)
				if test.restarts {
					// It leaves for good once the run is over.
					c.reportInventory(id, workload.Inventory{Incarnation: testIncarnation + 1})
					c.core.Tick(c.now)
					for _, o := range c.core.TakeStopOrders() {
						c.core.HandleStopResult(o, nil, c.now)
					}
					c.now = c.now.Add(time.Millisecond)
					c.reportInventory(id, workload.Inventory{Incarnation: testIncarnation + 1})
				} else {
					c.core.HandleReplaced(id, id+":1", c.now)
				}
				c.core.SetWorker(workload.WorkerChange{ID: id})
				c.now = c.now.Add(crashRetryPause)
			}
			is.True(c.jobState() != workload.Failed)
		})
	}
}

// startUnanswered runs a scheduling pass, stores its result and returns the starts to send.
func (c *testCell) startUnanswered() []Start {
	c.core.Schedule(c.now)
	var out []Start
	for b := c.core.TakeBatch(100, 1<<20); b != nil; b = c.core.TakeBatch(100, 1<<20) {
		out = append(out, c.core.HandleStored(b, c.now)...)
	}
	return out
}

// Guards against a crash that is not counted since the worker's next incarnation was cut off
// before the run was known to have ended: its contact counts as contact after the start.
func TestContactWithALaterIncarnationIsNoContactAfterTheStart(t *testing.T) {
	for _, cut := range []bool{false, true} {
		is := is.New(t)
		c := newCell(t)
		c.addWorker("w", 8)
		c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
		starts := c.startUnanswered() // the task crashes the worker at once
		is.Equal(len(starts), 1)
		c.core.HandleUnansweredOrder("w", c.now)
		c.core.HandleStartResult(starts[0], workload.ErrNoAnswer, c.now)
		c.core.HandleLostContact("w", c.now)
		c.now = c.now.Add(3200 * time.Millisecond)
		c.reportInventory("w", workload.Inventory{Incarnation: testIncarnation + 1})
		c.core.Tick(c.now)
		stops := c.core.TakeStopOrders()
		is.Equal(len(stops), 1)
		if cut {
			c.now = c.now.Add(200 * time.Millisecond)
			c.core.HandleLostContact("w", c.now) // the stop is not answered
			c.now = c.now.Add(3 * time.Second)
			c.reportInventory("w", workload.Inventory{Incarnation: testIncarnation + 1})
			c.core.Tick(c.now)
			stops = c.core.TakeStopOrders()
			is.Equal(len(stops), 1)
		}
		c.core.HandleStopResult(stops[0], nil, c.now)
		c.now = c.now.Add(time.Millisecond)
		c.reportInventory("w", workload.Inventory{Incarnation: testIncarnation + 1})
		task := c.firstTask()
		is.Equal(task.crashes, 1)
	}
}

// Guards against a crash that is not counted since the worker reported an inventory while the
// start that crashes it waited for the store.
func TestInventoryBeforeTheStartIsSentIsNoContactAfterIt(t *testing.T) {
	for name, crash := range map[string]func(c *testCell){
		"replaced": func(c *testCell) { c.core.HandleReplaced("w", "w:1", c.now) },
		"silent": func(c *testCell) {
			c.loseSilently("w")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			c.core.Schedule(c.now)
			batch := c.core.TakeBatch(100, 1<<20)
			c.now = c.now.Add(50 * time.Millisecond)
			c.reportInventory("w", workload.Inventory{})
			starts := c.core.HandleStored(batch, c.now)
			is.Equal(len(starts), 1)
			c.core.HandleUnansweredOrder("w", c.now) // the task crashes the worker at once
			c.core.HandleLostContact("w", c.now)
			c.core.HandleStartResult(starts[0], workload.ErrNoAnswer, c.now)
			crash(c)
			is.Equal(c.firstTask().crashes, 1)
		})
	}
}

package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against all tasks of a service stopped at once for maintenance: a task of which
// nothing is known, after a takeover or while its worker is out of reach, may be at work.
func TestServiceTasksOfUnknownStateAreNotInterruptedAtOnce(t *testing.T) {
	const tasks = 4
	for name, test := range map[string]struct {
		takeover  bool
		away      int // workers out of reach
		allowed   int
		evictions int
	}{
		"all at work":              {allowed: 1, evictions: 1},
		"takeover":                 {takeover: true, allowed: 1},
		"takeover, more allowed":   {takeover: true, allowed: tasks, evictions: tasks},
		"all out of reach":         {away: tasks, allowed: 1},
		"one out of reach":         {away: 1, allowed: 1, evictions: 1},
		"one out of reach, spared": {away: 1, allowed: 2, evictions: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			for n := range tasks {
				c.addWorker(fmt.Sprint("w", n), 4)
			}
			c.addJob("j", workload.Step{Tasks: tasks, Resources: cores(4), Service: true, MaxUnavailable: test.allowed})
			is.Equal(len(c.startTasks(nil)), tasks)
			for id, runs := range c.running {
				for task, r := range runs {
					r.Percent = 100
					runs[task] = r
				}
				c.reportInventory(id, workload.Inventory{})
			}
			if test.takeover {
				j := c.core.jobs["j"]
				c.takeOver(j.spec, j.encode())
			}
			for n := range test.away {
				c.core.HandleLostContact(fmt.Sprint("w", n), c.now)
			}
			for range 2 {
				for n := range tasks {
					c.core.EvictTasks(fmt.Sprint("w", n))
				}
			}
			stopping := 0
			for i := range c.core.findStep(workload.StepID{Job: "j"}).tasks {
				if _, task := c.core.findTask(workload.TaskID{StepID: workload.StepID{Job: "j"}, Index: i}); task.state == taskStopping {
					stopping++
				}
			}
			is.Equal(stopping, test.evictions)
		})
	}
}

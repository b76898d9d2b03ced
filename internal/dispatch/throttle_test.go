package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Load pattern: a service whose tail latency rises with the work on the same worker.
func TestBestEffortThrottleFollowsTailLatency(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("service", workload.Step{Tasks: 1, Resources: cores(2), Service: true, TailTarget: 100 * time.Millisecond})
	c.addJob("fill", workload.Step{Tasks: 2, Resources: cores(4), BestEffort: true})
	var service, bestEffort workload.RunStatus
	for _, st := range c.startTasks(nil) {
		r := workload.RunStatus{Run: st.Order.Run}
		if st.Order.Run.Task.Job == "service" {
			service = r
		} else {
			bestEffort = r
		}
	}
	reportTail := func(ms float64) []ThrottleOrder {
		c.now = c.now.Add(speedUpInterval)
		service.Load = ms
		c.running["w"][service.Run.Task] = service
		c.reportInventory("w", workload.Inventory{})
		return c.core.TakeThrottleOrders()
	}
	is.Equal(len(reportTail(30)), 0) // well below the target: full speed, as at the start
	orders := reportTail(95)
	is.True(len(orders) > 0)
	is.Equal(orders[0].Percent, 50)
	is.Equal(orders[0].Run.Task.Job, bestEffort.Run.Task.Job)
	is.Equal(len(reportTail(75)), 0) // between the bounds: no change
	for range 3 {
		orders = reportTail(120)
	}
	is.Equal(orders[0].Percent, 0)
	is.Equal(reportTail(20)[0].Percent, speedStep)
}

// Best-effort tasks use only cores that no other task uses.
func TestBestEffortTasksUseOnlyIdleCores(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("work", workload.Step{Tasks: 1, Resources: cores(5)})
	is.Equal(len(c.startTasks(nil)), 1)
	c.addJob("fill", workload.Step{Tasks: 4, Resources: cores(2), BestEffort: true})
	is.Equal(len(c.startTasks(nil)), 1)
	c.addJob("more", workload.Step{Tasks: 1, Resources: cores(3)})
	is.Equal(len(c.startTasks(nil)), 1) // best-effort tasks do not block other tasks
}

// Guards against a best-effort run at full speed beside a service that is too slow: a later
// incarnation has begun the run anew, and the limit was sent to the earlier one.
func TestLimitOfAnEarlierIncarnationIsTakenForThatOfALaterOne(t *testing.T) {
	const later = testIncarnation + 1
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("service", workload.Step{Tasks: 1, Resources: cores(2), Service: true, TailTarget: 100 * time.Millisecond})
	c.addJob("fill", workload.Step{Tasks: 1, Resources: cores(4), BestEffort: true})
	is.Equal(len(c.startTasks(nil)), 2)
	report := func(incarnation int64) []ThrottleOrder {
		c.now = c.now.Add(speedUpInterval)
		for task, r := range c.running["w"] {
			if task.Job == "service" {
				r.Load = 95
			}
			c.running["w"][task] = r
		}
		c.reportInventory("w", workload.Inventory{Incarnation: incarnation})
		return c.core.TakeThrottleOrders()
	}
	for len(report(testIncarnation)) > 0 { // until the run pauses
	}
	orders := report(later)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Percent, 0)
}

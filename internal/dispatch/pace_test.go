package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Load pattern: a service whose tail latency rises with the work beside it.
func TestFillingTasksFollowTheTailLatency(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("service", workload.Step{Tasks: 1, Resources: cores(2), Service: true, TailTarget: 100 * time.Millisecond})
	c.job("fill", workload.Step{Tasks: 2, Resources: cores(4), BestEffort: true})
	var service, fill workload.RunStatus
	for _, st := range c.store(nil) {
		r := workload.RunStatus{Run: st.Order.Run}
		if st.Order.Run.Task.Job == "service" {
			service = r
		} else {
			fill = r
		}
	}
	tail := func(ms float64) []ThrottleOrder {
		c.now = c.now.Add(paceUpPause)
		service.Load = ms
		c.running["w"][service.Run.Task] = service
		c.report("w", workload.Inventory{})
		return c.core.TakeThrottleOrders()
	}
	is.Equal(len(tail(30)), 0) // well below: full speed, as at the start
	down := tail(95)
	is.True(len(down) > 0)
	is.Equal(down[0].Percent, 50)
	is.Equal(down[0].Run.Task.Job, fill.Run.Task.Job)
	is.Equal(len(tail(75)), 0) // between the bounds: no change
	for range 3 {
		down = tail(120)
	}
	is.Equal(down[0].Percent, 0)
	is.Equal(tail(20)[0].Percent, paceStep)
}

// Filling tasks share only the cores that nothing else uses.
func TestFillingTasksTakeIdleCoresOnly(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.worker("w", 8)
	c.job("work", workload.Step{Tasks: 1, Resources: cores(5)})
	is.Equal(len(c.store(nil)), 1)
	c.job("fill", workload.Step{Tasks: 4, Resources: cores(2), BestEffort: true})
	is.Equal(len(c.store(nil)), 1)
	c.job("more", workload.Step{Tasks: 1, Resources: cores(3)})
	is.Equal(len(c.store(nil)), 1) // filling tasks do not stand in the way
}

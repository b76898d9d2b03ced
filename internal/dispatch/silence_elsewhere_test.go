package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against runs that are moved, and workers that are avoided, since nothing was heard of
// them for a while: a heartbeat was lost or answered late, or the coordinator itself paused.
func TestRunIsNotStalledForWantOfInventories(t *testing.T) {
	const long = minStall + time.Second
	for name, test := range map[string]struct {
		later   func(c *testCell, report func(percent int, requestedAt time.Time))
		stalled bool
	}{
		"no inventory":               {later: func(*testCell, func(int, time.Time)) {}},
		"an inventory from before":   {later: func(c *testCell, report func(int, time.Time)) { report(40, c.now.Add(-long)) }},
		"an inventory with progress": {later: func(c *testCell, report func(int, time.Time)) { report(60, c.now) }},
		"an inventory without any":   {later: func(c *testCell, report func(int, time.Time)) { report(40, c.now) }, stalled: true},
		"out of reach, then progress": {later: func(c *testCell, report func(int, time.Time)) {
			c.core.HandleLostContact("w", c.now)
			report(60, c.now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			c.addJob("j", workload.Step{Tasks: 4, Resources: cores(1), Estimate: time.Second})
			starts := c.startTasks(nil)
			report := func(percent int, requestedAt time.Time) {
				inv := workload.Inventory{Incarnation: testIncarnation}
				for _, st := range starts {
					inv.Running = append(inv.Running, workload.RunStatus{Run: st.Order.Run, Percent: percent})
				}
				c.core.HandleInventory("w", inv, requestedAt, c.now)
			}
			report(40, c.now)
			c.now = c.now.Add(long)
			test.later(c, report)
			c.core.Tick(c.now) // decides to stop them
			c.core.Tick(c.now) // sends the stop orders
			is.Equal(len(c.core.TakeStopOrders()) > 0, test.stalled)
			is.Equal(c.core.workers["w"].quarantineUntil.After(c.now), test.stalled)
		})
	}
}

package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against starts with a ticket of an earlier incarnation, which the worker rejects: it
// has restarted under its ID between the call for advice and the answer.
func TestTicketOfAnEarlierIncarnationIsUsed(t *testing.T) {
	const later = testIncarnation + 1
	for name, test := range map[string]struct {
		restart func(*testCell)
		// incarnation is the one that answers in the end.
		incarnation int64
		starts      int
	}{
		"same incarnation": {func(*testCell) {}, testIncarnation, 1},
		"restarted":        {func(c *testCell) { c.setEntry("w:1", later) }, later, 0},
		"registered anew": {func(c *testCell) {
			info := c.core.workers["w"].info
			c.core.SetWorker(workload.WorkerChange{ID: "w"})
			info.Incarnation = later
			c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &info})
		}, later, 0},
		"entry that the worker refutes": {func(c *testCell) {
			c.setEntry("w:1", later)
			c.reportInventory("w", workload.Inventory{})
			c.setEntry("w:1", testIncarnation)
		}, testIncarnation, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2,
				Advice: &workload.AdviceCost{PerCall: 450 * time.Millisecond, Validity: time.Minute}})
			c.addWorker("w", 8)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
			call := func() AdviceCall {
				t.Helper()
				c.now = c.now.Add(minCallInterval)
				is.Equal(len(c.startTasks(nil)), 0)
				call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
				is.True(ok)
				is.Equal(call.Workers, []string{"w"})
				return call
			}
			first := call()
			c.now = c.now.Add(100 * time.Millisecond)
			test.restart(c)
			c.reportInventory("w", workload.Inventory{Incarnation: test.incarnation})
			c.core.HandleAdvice(first, []workload.Ticket{{Worker: "w", Token: "first"}}, nil, c.now)
			starts := c.startTasks(nil)
			is.Equal(len(starts), test.starts)
			if len(starts) > 0 {
				is.Equal(starts[0].Order.Ticket, "first")
				return
			}
			c.core.HandleAdvice(call(), []workload.Ticket{{Worker: "w", Token: "second"}}, nil, c.now)
			starts = c.startTasks(nil)
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Order.Ticket, "second")
			is.Equal(starts[0].Order.Incarnation, int64(later))
		})
	}
}

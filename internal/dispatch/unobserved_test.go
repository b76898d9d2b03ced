package dispatch

import (
	"fmt"
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

// Guards against good workers that are avoided after a takeover: runs of an earlier term look
// as if they had come as far as they are since the takeover, so all later ones look slow.
func TestRunsOfAnEarlierTermMakeNoWorkerLookSlow(t *testing.T) {
	for name, takeover := range map[string]bool{"same term": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("earlier", 8)
			estimate := 4 * time.Second
			c.addJob("j", workload.Step{Tasks: 8, Resources: cores(1), Estimate: estimate})
			earlier := c.startTasks(nil)
			report := func(starts []Start, percent int) {
				for _, st := range starts {
					c.running[st.Worker.ID][st.Order.Run.Task] = workload.RunStatus{Run: st.Order.Run, Percent: percent}
				}
				c.reportInventory(starts[0].Worker.ID, workload.Inventory{})
			}
			c.now = c.now.Add(estimate * 3 / 4)
			if takeover {
				j := c.core.jobs["j"]
				c.takeOver(j.spec, j.encode())
				c.addWorker("earlier", 8)
			}
			report(earlier, 75)
			c.now = c.now.Add(estimate / 8)
			report(earlier, 87)
			c.addWorker("good", 8)
			c.addJob("k", workload.Step{Tasks: 4, Resources: cores(1), Estimate: estimate})
			good := c.startTasks(nil)
			is.Equal(len(good), 4)
			is.Equal(good[0].Worker.ID, "good")
			for percent := 25; percent < 100; percent += 25 {
				c.now = c.now.Add(estimate / 4)
				report(good, percent)
			}
			c.addWorker("empty", 8)
			c.addJob("m", workload.Step{Tasks: 1, Resources: cores(1), Estimate: estimate})
			is.Equal(c.startTasks(nil)[0].Worker.ID, "good") // the fullest worker with room
		})
	}
}

// Guards against estimates learned from silence: a run may have ended long before its worker
// was in reach again and listed the end.
func TestDurationsAreNotLearnedFromSilence(t *testing.T) {
	const took, cut = time.Second, 6 * time.Second
	for name, silent := range map[string]bool{"in reach": false, "out of reach": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			step := workload.Step{Tasks: 1, Resources: cores(1), Estimate: took}
			for n := range 8 {
				c.addJob(fmt.Sprint("j", n), step)
			}
			starts := c.startTasks(nil)
			is.Equal(len(starts), 8)
			c.now = c.now.Add(took)
			if silent {
				c.core.HandleLostContact("w", c.now)
				c.now = c.now.Add(cut)
			}
			var ends []workload.RunEnd
			for n, st := range starts {
				ends = append(ends, workload.RunEnd{Seq: int64(n + 1), Run: st.Order.Run, Outcome: workload.RunDone})
			}
			c.reportInventory("w", workload.Inventory{Ended: ends})
			is.True(c.core.predictDuration("batch", &step) < 2*took)
		})
	}
}

// Guards against services slowed down by a takeover: the coordinator before had throttled
// the best-effort tasks beside them, and the next one lets these work at full speed at once.
func TestBestEffortTasksStayThrottledAfterTakeover(t *testing.T) {
	const request = 4
	for name, test := range map[string]struct {
		service bool
		cores   float64 // that each best-effort task is listed with after the takeover
		percent int
	}{
		"throttled":            {service: true, cores: 0.8, percent: 20},
		"paused":               {service: true, cores: 0, percent: 0},
		"at full speed":        {service: true, cores: request, percent: fullSpeed},
		"beside other tasks":   {service: true, cores: request / 2, percent: 50},
		"without any service":  {service: false, cores: 0.8, percent: fullSpeed},
		"listed with too much": {service: true, cores: request * 1.2, percent: fullSpeed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 10)
			steps := []workload.Step{{Tasks: 2, Resources: cores(request), BestEffort: true}}
			if test.service {
				steps = append(steps, workload.Step{Tasks: 1, Resources: cores(2), Service: true, TailTarget: 100 * time.Millisecond})
			}
			c.addJob("j", steps...)
			is.Equal(len(c.startTasks(nil)), 1+len(steps))
			j := c.core.jobs["j"]
			c.takeOver(j.spec, j.encode())
			setLoads := func(tailMS float64) {
				for id, r := range c.running["w"] {
					r.Load = tailMS
					if id.Step == 0 {
						r.Load = 1000 * test.cores
					}
					c.running["w"][id] = r
				}
			}
			setLoads(75) // between the bounds: no change
			c.addWorker("w", 10)
			for id := range c.running["w"] {
				if _, task := c.core.findTask(id); id.Step == 0 {
					is.Equal(task.throttlePercent, test.percent)
				}
			}
			setLoads(20) // well below the target
			for range fullSpeed / speedStep {
				c.now = c.now.Add(speedUpInterval)
				c.reportInventory("w", workload.Inventory{})
			}
			is.Equal(c.core.workers["w"].throttle.speed(), fullSpeed)
		})
	}
}

// Guards against good workers that are avoided for the silence of another one: the members of
// a gang make no progress until all of them are present.
func TestGangThatWaitsForAMemberBlamesNoWorker(t *testing.T) {
	for name, lost := range map[string]func(c *testCell, st Start){
		"start not answered": func(c *testCell, st Start) { c.core.HandleStartResult(st, workload.ErrNoAnswer, c.now) },
		"out of reach since": func(c *testCell, st Start) {
			c.core.HandleStartResult(st, nil, c.now)
			c.core.HandleLostContact(st.Worker.ID, c.now)
		},
		"none": func(c *testCell, st Start) { c.core.HandleStartResult(st, nil, c.now) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("good", 4)
			c.addWorker("silent", 2)
			c.addJob("j", workload.Step{Tasks: 3, Resources: cores(2), Estimate: time.Second, Gang: true})
			c.core.Schedule(c.now)
			starts := c.core.HandleStored(c.core.TakeBatch(10, 1<<20), c.now)
			is.Equal(len(starts), 3)
			inv := workload.Inventory{Incarnation: testIncarnation}
			var silent Start
			for _, st := range starts {
				if st.Worker.ID == "silent" {
					silent = st
					continue
				}
				c.core.HandleStartResult(st, nil, c.now)
				inv.Running = append(inv.Running, workload.RunStatus{Run: st.Order.Run})
			}
			is.Equal(len(inv.Running), 2)
			lost(c, silent)
			c.now = c.now.Add(minStall + time.Millisecond)
			c.core.HandleInventory("good", inv, c.now, c.now)
			if name == "none" {
				c.core.HandleInventory("silent", workload.Inventory{Incarnation: testIncarnation, Running: []workload.RunStatus{{Run: silent.Order.Run}}}, c.now, c.now)
			}
			c.core.Tick(c.now) // decides to stop the members
			c.core.Tick(c.now) // sends the stop orders
			is.True(len(c.core.TakeStopOrders()) >= 2)
			is.Equal(c.core.workers["good"].quarantineUntil.After(c.now), name == "none")
		})
	}
}

package dispatch

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// unlikeCell returns a cell of 6 fast workers, fast0 to fast5, and 3 slow ones, slow0 to slow2,
// of 16 cores each. The slow ones are in AZ b and take 2.4 times as long.
func unlikeCell(t *testing.T, priority int, slack float64, advice *workload.AdviceCost) *testCell {
	c := newCell(t)
	c.core.SetCell(workload.NewCell(2, []workload.Queue{
		{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: slack, Allowance: time.Second, Priority: priority, Advice: advice},
	}, []workload.Team{{Name: "team", Weight: 100}}, nil))
	c.core.SetPolicy(Policy{LearnSpeeds: true})
	var speeds []WorkerSpeed
	add := func(id, az string, pace float64) {
		c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{ID: id, Incarnation: testIncarnation, Address: id + ":1",
			AZ: az, Pool: "pool", Capacity: model.Resources{MilliCores: 16_000, MemoryMB: 64_000}}})
		c.reportInventory(id, workload.Inventory{})
		speeds = append(speeds, WorkerSpeed{id, testIncarnation, pace, maxSpeedObservations})
	}
	for i := range 6 {
		add(fmt.Sprint("fast", i), "a", 0)
	}
	for i := range 3 {
		add(fmt.Sprint("slow", i), "b", math.Log(2.4))
	}
	c.core.RestoreWorkerSpeeds(speeds)
	return c
}

// startedOn starts what can be started and counts the starts on slow and on fast workers.
func (c *testCell) startedOn() (slow, fast int) {
	for _, st := range c.startTasks(nil) {
		if strings.HasPrefix(st.Worker.ID, "slow") {
			slow++
		} else {
			fast++
		}
	}
	return slow, fast
}

// fill occupies all workers of an AZ with a long step.
func (c *testCell) fill(az string, workers int) {
	c.Helper()
	other := map[string]string{"a": "b", "b": "a"}[az]
	c.core.SetEvacuated(other, true)
	c.addJob("fill", workload.Step{Tasks: workers, Resources: cores(16), Estimate: time.Hour})
	if n := len(c.startTasks(nil)); n != workers {
		c.Fatalf("%d of %d workers filled", n, workers)
	}
	c.core.SetEvacuated(other, false)
}

// Guards against gangs that hold all their cores for the time of a slow member, and against
// gangs that wait for fast workers that cannot hold them.
func TestGangsAndSlowWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		tasks        int
		priority     int
		fillFast     bool
		evacuateFast bool
		slow, fast   int // expected starts
	}{
		"fits on fast workers":                          {tasks: 12, priority: 1, fast: 12},
		"waits for fast workers":                        {tasks: 4, priority: 1, fillFast: true},
		"does not fit twice on the fast ones":           {tasks: 26, priority: 1, slow: 2, fast: 24},
		"fast workers are evacuated":                    {tasks: 4, priority: 1, evacuateFast: true, slow: 4},
		"an urgent gang takes fast workers first":       {tasks: 26, priority: 0, slow: 2, fast: 24},
		"an urgent gang does not wait for fast workers": {tasks: 4, priority: 0, fillFast: true, slow: 4},
		"an urgent gang fits on the fast workers":       {tasks: 4, priority: 0, fast: 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := unlikeCell(t, test.priority, 2, nil)
			if test.fillFast {
				c.fill("a", 6)
			}
			if test.evacuateFast {
				c.core.SetEvacuated("a", true)
			}
			c.addJob("gang", workload.Step{Tasks: test.tasks, Resources: cores(4), Gang: true, Estimate: time.Second})
			slow, fast := c.startedOn()
			is.Equal(slow, test.slow)
			is.Equal(fast, test.fast)
		})
	}
}

// Guards against a gang that waits for fast workers that have left since it was decided.
func TestGangTakesSlowWorkersWhenTheFastOnesAreGone(t *testing.T) {
	is := is.New(t)
	c := unlikeCell(t, 1, 2, nil)
	c.fill("a", 6)
	c.addJob("gang", workload.Step{Tasks: 4, Resources: cores(4), Gang: true, Estimate: time.Second})
	slow, fast := c.startedOn()
	is.Equal(slow+fast, 0)
	is.Equal(c.core.Explain(c.now).Tasks[WaitsForCapacity], 4) // the operator sees what it waits for
	is.Equal(c.core.Explain(c.now).IdleMilliCores, int64(0))
	c.core.SetEvacuated("a", true)
	c.now = c.now.Add(gangSpeedMaxAge)
	slow, _ = c.startedOn()
	is.Equal(slow, 4)
}

// Guards against single tasks that wait for a worker of the speed they prefer, or that take
// fast workers although they have the time.
func TestSingleTasksAndSlowWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		priority   int
		slack      float64
		fill       string // AZ
		slow, fast int    // expected starts
	}{
		"urgent":                          {0, 9, "", 0, 3},
		"urgent, only slow ones are free": {0, 9, "a", 3, 0},
		"on time on a slow worker":        {1, 9, "", 3, 0},
		"on time, only fast ones free":    {1, 9, "b", 0, 3},
		"late on a slow worker":           {1, 1.5, "", 0, 3},
		"late, only slow ones are free":   {1, 1.5, "a", 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := unlikeCell(t, test.priority, test.slack, nil)
			switch test.fill {
			case "a":
				c.fill("a", 6)
			case "b":
				c.fill("b", 3)
			}
			c.addJob("j", workload.Step{Tasks: 3, Resources: cores(4), Estimate: time.Second})
			slow, fast := c.startedOn()
			is.Equal(slow, test.slow)
			is.Equal(fast, test.fast)
		})
	}
}

// Guards against calls that are spent on workers that the step does not take: the call for a
// gang names no slow worker, that for urgent tasks names fast ones first.
func TestCallsNameWorkersBySpeed(t *testing.T) {
	for name, test := range map[string]struct {
		priority, tasks int
		gang            bool
		slow            bool // whether slow workers are expected
	}{
		"gang":                          {1, 4, true, false},
		"gang that needs slow ones too": {1, 26, true, true},
		"urgent":                        {0, 2, false, true}, // calls name at least minCallWorkers
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := unlikeCell(t, test.priority, 2, &workload.AdviceCost{PerCall: 10 * time.Millisecond, Validity: 2 * time.Second})
			c.addJob("j", workload.Step{Tasks: test.tasks, Resources: cores(4), Gang: test.gang, Estimate: time.Second})
			c.core.Schedule(c.now)
			call, ok := c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
			is.True(ok)
			slow, fastAfterSlow := 0, 0
			for _, id := range call.Workers {
				if strings.HasPrefix(id, "slow") {
					slow++
				} else if slow > 0 {
					fastAfterSlow++
				}
			}
			is.Equal(slow > 0, test.slow)
			is.True(test.gang || fastAfterSlow == 0)
		})
	}
}

// Guards against reservations for the time at which a task on a slow worker would end on a
// fast one, and against objectives that grow with the share of tasks on slow workers.
func TestDurationsOnSlowWorkers(t *testing.T) {
	is := is.New(t)
	c := unlikeCell(t, 1, 9, nil)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Second})
	st := c.startTasks(nil)[0]
	is.True(strings.HasPrefix(st.Worker.ID, "slow"))
	s, task := c.core.findTask(st.Order.Run.Task)
	end := c.core.expectedEnd(s, task, c.now).Sub(task.startConfirmed)
	is.True(end > 2300*time.Millisecond && end < 2500*time.Millisecond)
	c.now = task.startConfirmed.Add(2400 * time.Millisecond)
	c.reportEnd(1, st, workload.RunDone, "")
	learned := c.core.expectedDuration(s)
	is.True(learned > 990*time.Millisecond && learned < 1010*time.Millisecond)
}

// Guards against a takeover after which slow workers are learned from nothing: restored speeds
// count at once, whether they are read before or after the workers answer, but they weigh less
// than what the new term observes.
func TestSpeedsAreRestored(t *testing.T) {
	before := newSpeedLoad(t, 1, thirdSlow(30, 2.4))
	before.run(15, nil)
	stored := before.core.WorkerSpeeds()
	for name, test := range map[string]struct {
		first       bool  // whether the speeds are restored before the workers answer
		incarnation int64 // of the stored speeds
		missed      int
	}{
		"before the workers":  {true, testIncarnation, 0},
		"after the workers":   {false, testIncarnation, 0},
		"other machines now":  {false, testIncarnation - 1, 10},
		"unknown incarnation": {true, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(stored), 30)
			speeds := make([]WorkerSpeed, len(stored))
			for i, x := range stored {
				is.True(i == 0 || x.Observations <= stored[i-1].Observations)
				x.Incarnation = test.incarnation
				speeds[i] = x
			}
			after := newSpeedLoad(t, 2, nil)
			after.slowdown = thirdSlow(30, 2.4)
			if test.first {
				after.core.RestoreWorkerSpeeds(speeds)
			}
			for i := range after.slowdown {
				after.addWorker(after.id(i), 16)
			}
			if !test.first {
				after.core.RestoreWorkerSpeeds(speeds)
			}
			after.core.updateSlowWorkers(after.now)
			missed, mistaken := after.wrong()
			is.Equal(missed, test.missed)
			is.Equal(mistaken, 0)
			for i := range after.slowdown {
				after.slowdown[i] = 1 // evidence overrides what was stored
			}
			after.run(30, nil)
			_, mistaken = after.wrong()
			is.Equal(mistaken, 0)
		})
	}
}

// Unusable entries of a stored row change nothing.
func TestUnusableSpeedsAreNotRestored(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetPolicy(Policy{LearnSpeeds: true})
	c.RestoreWorkerSpeeds([]WorkerSpeed{
		{Worker: "", Pace: 1, Observations: 9}, {Worker: "a", Pace: math.NaN(), Observations: 9}, {Worker: "b", Pace: math.Inf(1), Observations: 9},
		{Worker: "c", Pace: 1, Observations: math.NaN()}, {Worker: "d", Pace: 1, Observations: -1},
	})
	is.Equal(len(c.WorkerSpeeds()), 0)
}

// Guards against a task on a slow worker that is expected to end before a reservation begins,
// but takes longer there and delays the gang.
func TestTaskOnSlowWorkerBesideReservation(t *testing.T) {
	is := is.New(t)
	c := unlikeCell(t, 1, 9, nil)
	c.core.SetPolicy(Policy{LearnSpeeds: true, ReserveAmounts: true})
	c.core.Schedule(c.now)
	c.core.workers["slow0"].speed.ratio = 4
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Second})
	s := c.core.findStep(workload.StepID{Job: "j"})
	later := rankedStep{s, rank{group: groupOnTime, latestStart: c.now.Add(time.Hour)}}
	for id, free := range map[string]bool{"fast0": true, "slow0": false} {
		w := c.core.workers[id]
		w.addAmount(reservedAmount{reservation: &gangReservation{step: &step{}, rank: rank{group: groupOnTime}, startAt: c.now.Add(4 * time.Second)}, size: cores(16)})
		is.Equal(c.core.fitBesideAmounts(later, w, 1, c.now) == 1, free) // it takes 1 s, or 4 s on the slow worker
	}
}

// Guards against a gang that never starts although slow workers are free: the fast ones are full
// of services. Past its useful time it takes any worker.
func TestGangPastItsUseTakesSlowWorkers(t *testing.T) {
	is := is.New(t)
	c := unlikeCell(t, 1, 2, nil)
	c.fill("a", 6)
	c.addJob("gang", workload.Step{Tasks: 4, Resources: cores(4), Gang: true, Estimate: time.Second})
	slow, fast := c.startedOn()
	is.Equal(slow+fast, 0)
	for range 40 {
		c.now = c.now.Add(500 * time.Millisecond)
		for id := range c.core.workers {
			c.reportInventory(id, workload.Inventory{})
		}
		for _, v := range c.core.speeds.byWorker {
			v.observations = maxSpeedObservations // other work keeps showing the speeds
		}
		s, f := c.startedOn()
		slow, fast = slow+s, fast+f
	}
	is.Equal(slow, 4)
	is.Equal(fast, 0)
}

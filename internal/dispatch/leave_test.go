package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Load pattern: a worker leaves at 1.7 s notice. Tasks that cannot end in time are
// stopped while the worker can still report it, a gang with all members. Other tasks
// continue.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("a", 4)
	c.addWorker("b", 4)
	c.addJob("gang", workload.Step{Tasks: 4, Resources: cores(2), Estimate: 6 * time.Second, Gang: true, Checkpoints: true})
	is.Equal(len(c.startTasks(nil)), 4) // two on each worker
	c.addWorker("c", 4)
	c.addJob("long", workload.Step{Tasks: 1, Resources: cores(1), Estimate: 6 * time.Second})
	c.addJob("short", workload.Step{Tasks: 1, Resources: cores(1), Estimate: 500 * time.Millisecond})
	c.addJob("lasts", workload.Step{Tasks: 1, Resources: cores(1), Service: true})
	is.Equal(len(c.startTasks(nil)), 3)

	const notice = 1700 * time.Millisecond
	noticeAt := c.now
	for _, id := range []string{"b", "c"} {
		leaving := c.core.workers[id].info
		leaving.Draining, leaving.Remaining = true, notice
		c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &leaving})
	}
	stopped := map[string]int{}
	for ; c.now.Before(noticeAt.Add(notice - leaveMargin/2)); c.now = c.now.Add(50 * time.Millisecond) {
		c.core.Tick(c.now)
		for _, s := range c.core.TakeStopOrders() {
			stopped[s.Run.Task.Job]++
			is.True(c.now.Sub(noticeAt) >= notice-leaveMargin) // not too early
		}
	}
	is.Equal(stopped, map[string]int{"gang": 4, "long": 1, "lasts": 1})

	// The gang starts again at once on other workers, from its checkpoint.
	c.addWorker("d", 16)
	seq := map[string]int64{}
	for id, runs := range c.running {
		for task, r := range runs {
			if task.Job == "gang" {
				seq[id]++
				c.reportEnd(seq[id], Start{Worker: c.core.workers[id].info, Order: workload.StartOrder{Run: r.Run}}, workload.RunStopped, "saved")
			}
		}
	}
	again := c.startTasks(nil)
	is.Equal(len(again), 4)
	for _, st := range again {
		is.True(st.Worker.ID == "a" || st.Worker.ID == "d")
		is.Equal(st.Order.Checkpoint, "saved")
	}
}

// Runs that fail by a job's own fault extend its objective, so that the job is not ranked
// as late because of them.
func TestObjectiveCountsFailedRuns(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 2, Resources: cores(1), Estimate: 4 * time.Second})
	starts := c.startTasks(nil)
	before := c.core.jobs["j"].occurrences[0].onTimeWithin
	c.now = c.now.Add(3 * time.Second)
	c.reportEnd(1, starts[0], workload.RunFailed, "")
	c.startTasks(nil)
	grown := c.core.jobs["j"].occurrences[0].onTimeWithin - before
	is.True(grown >= 6*time.Second && grown < 7*time.Second) // twice the duration of the failed run
}

// Issue 36: services were left on workers that leave at notice, and had no run until the
// leases there were over. They move one after the other while other workers have
// capacity, and all that is left is stopped before the worker leaves.
func TestServicesStayOnALeavingWorker(t *testing.T) {
	for _, test := range []struct {
		notice time.Duration // 0: not known
		room   bool
		early  bool // moved as soon as the notice arrives
		stops  int
	}{
		{notice: 4 * time.Second, room: true, early: true, stops: 2},
		{notice: 0, room: true, early: true, stops: 1}, // the next one waits until this one is available again
		{notice: 4 * time.Second, room: false, early: false, stops: 2},
		{notice: 0, room: false, early: false, stops: 0},
	} {
		is := is.New(t)
		c := newCell(t)
		c.addWorker("w", 8)
		c.addJob("j", workload.Step{Tasks: 2, Resources: cores(2), Service: true, MaxUnavailable: 1})
		is.Equal(len(c.startTasks(nil)), 2)
		c.setAvailable()
		if test.room {
			c.addWorker("v", 8)
		}
		leaving := c.core.workers["w"].info
		leaving.Draining, leaving.Remaining = true, test.notice
		c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &leaving})
		c.core.Tick(c.now)
		is.Equal(len(c.core.TakeStopOrders()) == 1, test.early)
		c.now = c.now.Add(test.notice - leaveMargin/2)
		c.core.Tick(c.now)
		stopped := 0
		for i := range 2 {
			if _, task := c.core.findTask(workload.TaskID{StepID: workload.StepID{Job: "j"}, Index: i}); task.state == taskStopping {
				stopped++
			}
		}
		is.Equal(stopped, test.stops)
	}
}

// A coordinator that takes over reads a notice that is 1.5 s old, and took the worker to
// stay that much longer: tasks were still running when it left.
func TestOldNoticeDelaysEmptyingOfAWorker(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Minute})
	is.Equal(len(c.startTasks(nil)), 1)
	const heartbeat, left = 1500 * time.Millisecond, 2 * time.Second // left when the notice is read
	announce := func(remaining time.Duration) {
		leaving := c.core.workers["w"].info
		leaving.Draining, leaving.Remaining = true, remaining
		c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &leaving})
	}
	noticeAt := c.now
	announce(left + heartbeat)
	for c.core.findState("j") != taskStopping && c.now.Before(noticeAt.Add(left)) {
		c.core.Tick(c.now)
		c.now = c.now.Add(50 * time.Millisecond)
		if c.now.Equal(noticeAt.Add(500 * time.Millisecond)) {
			announce(left - 500*time.Millisecond)
		}
	}
	is.Equal(c.core.findState("j"), taskStopping)
	is.True(c.now.Sub(noticeAt) <= left-leaveMargin+100*time.Millisecond)
}

// findState returns the state of a job's first task.
func (c *Core) findState(job string) taskState {
	_, t := c.findTask(workload.TaskID{StepID: workload.StepID{Job: job}})
	return t.state
}

// Services of different jobs move off a leaving worker only as far as the others have
// capacity: tasks that were stopped already take the capacity that they are to get.
func TestMoreServicesStopThanFitElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	for _, job := range []string{"j", "k", "l", "m"} {
		c.addJob(job, workload.Step{Tasks: 1, Resources: cores(2), Service: true, MaxUnavailable: 1})
	}
	is.Equal(len(c.startTasks(nil)), 4)
	c.setAvailable()
	c.addWorker("v", 2) // has capacity for one of them
	leaving := c.core.workers["w"].info
	leaving.Draining, leaving.Remaining = true, time.Minute
	c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &leaving})
	for range 10 {
		c.core.Tick(c.now)
		c.now = c.now.Add(50 * time.Millisecond)
	}
	is.Equal(len(c.core.TakeStopOrders()), 1)
}

// A service does not move off a leaving worker when the advice service denies all workers
// with capacity: it would only have no run for the rest of the notice.
func TestServiceStopsThoughNoAllowedWorkerHasCapacity(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second,
		Advice: &workload.AdviceCost{PerCall: 450 * time.Millisecond, Validity: 2500 * time.Millisecond}})
	c.addWorker("w", 8)
	c.addWorker("v", 8)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(2), Service: true, MaxUnavailable: 1})
	c.core.HandleAdvice(AdviceCall{Step: workload.StepID{Job: "j"}, Workers: []string{"v", "w"}, incarnations: map[string]int64{"v": testIncarnation, "w": testIncarnation}},
		[]workload.Ticket{{Worker: "w", Token: "t"}}, nil, c.now)
	is.Equal(len(c.startTasks(nil)), 1)
	c.setAvailable()
	leaving := c.core.workers["w"].info
	leaving.Draining, leaving.Remaining = true, time.Minute
	c.core.SetWorker(workload.WorkerChange{ID: "w", Worker: &leaving})
	c.core.Tick(c.now)
	is.Equal(len(c.core.TakeStopOrders()), 0)
}

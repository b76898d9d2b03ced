package dispatch

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// moreOutages are further ways in which a crash of a worker becomes known.
var moreOutages = map[string]outage{
	"restarted, unanswered":            {restarted: true, unanswered: true},
	"restarted, unanswered, takeovers": {restarted: true, unanswered: true, takeovers: true},
	"replaced, unanswered, takeovers":  {unanswered: true, takeovers: true},
	"silent, answered, takeovers":      {silent: true, takeovers: true},
}

// playCrashesAfter plays a task that crashes each of its workers some time after its start,
// for all outages and kinds of steps.
func playCrashesAfter(t *testing.T, fuses ...time.Duration) {
	steps := map[string]workload.Step{
		"task":    {Tasks: 1, Resources: cores(2)},
		"tasks":   {Tasks: 4, Resources: cores(2)},
		"gang":    {Tasks: 4, Resources: cores(3), Gang: true},
		"service": {Tasks: 2, Resources: cores(2), Service: true},
	}
	all := maps.Clone(outages)
	maps.Copy(all, moreOutages)
	for _, fuse := range fuses {
		for name, o := range all {
			if fuse > 0 && o.unanswered {
				continue // the run is stopped before it crashes its worker
			}
			for kind, step := range steps {
				t.Run(fmt.Sprint(fuse, "/", name, "/", kind), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					c := newCrashCell(t, 16, o, func(id workload.TaskID) bool { return id.Job == "deadly" && id.Index == 0 })
					c.fuse = fuse
					others := 0
					c.play(120*time.Second, func(second int) {
						if second == 3 {
							c.submit("deadly", step)
						}
						if second < 70 {
							for range 4 {
								others++
								c.submit(fmt.Sprint("other", others), workload.Step{Tasks: 4, Resources: cores(2)})
							}
						}
					})
					c.Logf("crashes %v, surplus starts %d", c.crashes, c.surplus)
					is.True(c.surplus < 3) // starts after the third crash
					is.Equal(c.state("deadly"), workload.Failed)
					for i := range others {
						is.Equal(c.state(fmt.Sprint("other", i+1)), workload.Completed)
					}
				})
			}
		}
	}
}

// Guards against a task that crashes worker after worker some time after its start.
func TestTaskCrashesWorkersAWhileAfterItsStart(t *testing.T) {
	playCrashesAfter(t, 0, 500*time.Millisecond, 1500*time.Millisecond, 1900*time.Millisecond)
}

// Guards against a task that crashes worker after worker once it seems to be harmless.
func TestTaskCrashesWorkersSecondsAfterItsStart(t *testing.T) {
	playCrashesAfter(t, 2500*time.Millisecond, 4*time.Second)
}

// Guards against a suspect that is held back by suspects of another pool, which has no
// more turns free for as long as tasks there crash their workers.
func TestSuspectsOfAnotherPoolHoldNoTaskBack(t *testing.T) {
	is := is.New(t)
	queues := []workload.Queue{{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second}, {Name: "other", Pool: "large", MaxAttempts: 2, Slack: 2, Allowance: time.Second}}
	c := newCell(t, queues...)
	for i := range 8 {
		c.addWorker(fmt.Sprint("w", i), 8)
	}
	for i := range 40 {
		id := fmt.Sprint("l", i)
		c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &workload.Worker{
			ID: id, Incarnation: testIncarnation, Address: id + ":1", AZ: "a", Pool: "large", Capacity: model.Resources{MilliCores: 8000, MemoryMB: 64_000}}})
		c.reportInventory(id, workload.Inventory{})
	}
	suspects := crashCount{crashes: 2, proven: 2}
	c.core.AddJob(&workload.Job{ID: "k", Queue: "other", Team: "team", AcceptedAt: c.now.UnixMilli(), Steps: []workload.Step{{Tasks: 4, Resources: cores(1)}}}, c.now)
	k := c.core.findStep(workload.StepID{Job: "k"})
	for i := range k.tasks {
		k.tasks[i].crashCount = suspects
		k.suspects++
	}
	is.Equal(len(c.startTasks(nil)), 4) // on a tenth of the large pool
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	j := c.core.findStep(workload.StepID{Job: "j"})
	j.tasks[0].crashCount, j.suspects = suspects, 1
	is.Equal(len(c.startTasks(nil)), 1) // its own pool runs no suspect
}

// Guards against capacity that is reserved for a gang which waits for its turn among the
// suspects: others with capacity for them would wait as well.
func TestGangOfSuspectsThatWaitsForItsTurnReservesNothing(t *testing.T) {
	is := is.New(t)
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second, Priority: 1})
	for i := range 3 {
		c.addWorker(fmt.Sprint("w", i), 8)
	}
	suspect := crashCount{crashes: 2, proven: 2}
	c.addJob("k", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Minute})
	k := c.core.findStep(workload.StepID{Job: "k"})
	k.tasks[0].crashCount, k.suspects = suspect, 1
	is.Equal(len(c.startTasks(nil)), 1) // the only turn
	c.addJob("gang", workload.Step{Tasks: 3, Resources: cores(6), Gang: true, Estimate: 10 * time.Second})
	g := c.core.findStep(workload.StepID{Job: "gang"})
	g.tasks[0].crashCount, g.suspects = suspect, 1
	is.Equal(len(c.startTasks(nil)), 0)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: 10 * time.Second})
	is.Equal(len(c.startTasks(nil)), 1) // two workers are idle
}

// Guards against failing a job because workers that crash again and again have the only
// free capacity of a full cell.
func TestJobIsNotBlamedForFlappingWorkersInAFullCell(t *testing.T) {
	for name, o := range outages {
		for runFor, every := range map[time.Duration]time.Duration{6 * time.Second: 2 * time.Second, 20 * time.Second: 1500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, "/", runFor), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCrashCell(t, 16, o, func(workload.TaskID) bool { return false })
				c.runFor = runFor
				most := 0
				flapping := map[string]bool{"w01:1": true, "w02:1": true}
				up := map[string]time.Time{}
				jobs := 0
				c.play(5*time.Second, func(int) {})
				for range 800 { // 40 s
					for _, e := range c.core.TakeEvents() {
						if e.Name == "worker crashed under task" {
							for i, f := range e.Fields {
								if f == "crashes" {
									most = max(most, e.Fields[i+1].(int))
								}
							}
						}
					}
					for _, w := range c.sorted() {
						switch {
						case !flapping[w.info.Address] || !w.backAt.IsZero():
							delete(up, w.info.ID)
						case up[w.info.ID].IsZero():
							up[w.info.ID] = c.now
						case c.now.Sub(up[w.info.ID]) >= every:
							delete(up, w.info.ID)
							c.crash(w)
						}
					}
					if jobs < 20*60 {
						if c.now.UnixMilli()%500 == 0 {
							for range 6 {
								jobs++
								c.submit(fmt.Sprint("job", jobs), workload.Step{Tasks: 4, Resources: cores(2)})
							}
						}
					}
					c.play(crashStep, func(int) {})
				}
				failed := 0
				for i := range jobs {
					if c.state(fmt.Sprint("job", i+1)) == workload.Failed {
						failed++
					}
				}
				c.Logf("%d of %d jobs failed, at most %d crashes", failed, jobs, most)
				is.Equal(failed, 0)
			})
		}
	}
}

// Guards against starts by the capacity of a worker's former life: a new one under the same
// ID may be of a smaller kind, and answers before its registration is read.
func TestRestartedWorkerGetsNothingByItsFormerCapacity(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("w", 8)
	c.reportInventory("w", workload.Inventory{Incarnation: testIncarnation + 1})
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(8)})
	is.Equal(len(c.startTasks(nil)), 0) // its capacity is not known yet
}

// Guards against counting a run as young because another coordinator took over.
func TestRunThatOutlivedTheWindowStaysClearedAcrossTakeovers(t *testing.T) {
	is := is.New(t)
	c := newCrashCell(t, 4, outage{}, func(workload.TaskID) bool { return false })
	c.runFor = time.Minute
	c.play(10*time.Second, func(second int) {
		if second == 1 {
			c.submit("j", workload.Step{Tasks: 1, Resources: cores(2)})
		}
	})
	c.takeOver()
	c.play(time.Second, func(int) {})
	_, task := c.core.findTask(workload.TaskID{StepID: workload.StepID{Job: "j"}})
	is.Equal(task.state, taskRunning)
	c.crash(c.workers[task.worker])
	c.play(5*time.Second, func(int) {})
	_, task = c.core.findTask(workload.TaskID{StepID: workload.StepID{Job: "j"}})
	is.Equal(task.run, 2)
	is.Equal(task.proven, 0) // it ran for 10 s before
	is.Equal(task.crashes, 0)
}

// Guards against a crash that is taken for the expected end of a draining worker: it has said
// how long it will stay at least. The limit for unproven crashes leaves no crash to miss.
func TestCrashOfADrainingWorkerBeforeItMayLeaveCounts(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1)})
	crashes := 0
	for n := 0; n < 10 && c.jobState() != workload.Failed; n++ {
		id := fmt.Sprint("w", n)
		c.addWorker(id, 8)
		st := c.startTasks(workload.ErrNoAnswer) // the answer is lost with the worker
		if len(st) == 0 {
			break
		}
		crashes++
		if n == 1 {
			info := c.core.workers[id].info
			info.Draining, info.Remaining = true, 8*time.Second
			c.core.SetWorker(workload.WorkerChange{ID: id, Worker: &info})
		}
		c.core.HandleUnansweredOrder(id, c.now)
		c.core.HandleLostContact(id, c.now)
		c.now = c.now.Add(3200 * time.Millisecond)
		c.core.HandleReplaced(id, id+":1", c.now)
		c.core.SetWorker(workload.WorkerChange{ID: id})
		c.now = c.now.Add(crashRetryPause)
		c.startTasks(nil) // stores the state
	}
	c.Logf("%d crashes", crashes)
	is.Equal(c.jobState(), workload.Failed)
	is.True(crashes-3 < 3) // starts after the third crash
}

// Guards against blaming a suspect for a crash by a run of another job that started on its
// worker just before it.
func TestJobIsNotBlamedForRunThatStartedJustBeforeIt(t *testing.T) {
	for _, beside := range []bool{false, true} {
		t.Run(fmt.Sprint("beside new run ", beside), func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			c.addWorker("w", 8)
			if beside {
				c.addJob("new", workload.Step{Tasks: 1, Resources: cores(1)})
				is.Equal(len(c.startTasks(nil)), 1)
			}
			s := c.addSuspect("j")
			is.Equal(len(c.startTasks(nil)), 1)
			c.core.HandleReplaced("w", "w:1", c.now)
			is.Equal(s.tasks[0].crashes, 3)
			is.Equal(s.job.state == workload.Failed, !beside)
		})
	}
}

// Guards against starting a suspect beside a new run while another worker has none.
func TestSuspectStartsApartFromNewRuns(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.addWorker("x", 8)
	c.addJob("old", workload.Step{Tasks: 1, Resources: cores(5)})
	is.Equal(len(c.startTasks(nil)), 1)
	c.now = c.now.Add(crashWindow)
	c.reportInventory("x", workload.Inventory{})
	c.addJob("new", workload.Step{Tasks: 1, Resources: cores(4)})
	c.addWorker("w", 8)
	is.Equal(len(c.startTasks(nil)), 1)
	c.reportInventory("w", workload.Inventory{})
	s := c.addSuspect("j")
	is.Equal(len(c.startTasks(nil)), 1)
	is.Equal(s.tasks[0].worker, "x") // though more is lost if that crashes
}

// addSuspect adds a job of a task under which two workers are known to have crashed.
func (c *testCell) addSuspect(id string) *step {
	c.addJob(id, workload.Step{Tasks: 1, Resources: cores(1)})
	s := c.core.findStep(workload.StepID{Job: id})
	c.core.setCrashes(s, &s.tasks[0], crashCount{crashes: 2, proven: 2})
	return s
}

// Guards against failing jobs that share their workers again and again with new tasks that
// crash them.
func TestJobIsNotBlamedForNewTasksThatCrashItsWorkers(t *testing.T) {
	for name, o := range map[string]outage{"replaced": {}, "restarted": {restarted: true}, "replaced, unanswered": {unanswered: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCrashCell(t, 48, o, func(id workload.TaskID) bool { return strings.HasPrefix(id.Job, "deadly") })
			others, deadly := 0, 0
			c.play(60*time.Second, func(second int) {
				if second >= 3 && second < 25 {
					for range 3 {
						deadly++
						c.submit(fmt.Sprint("deadly", deadly), workload.Step{Tasks: 1, Resources: cores(2)})
					}
				}
				if second < 40 {
					for range 16 {
						others++
						c.submit(fmt.Sprint("other", others), workload.Step{Tasks: 4, Resources: cores(2)})
					}
				}
			})
			failed := 0
			for i := range others {
				if c.state(fmt.Sprint("other", i+1)) == workload.Failed {
					failed++
				}
			}
			c.Logf("%d of %d innocent jobs failed, %d starts after a third crash", failed, others, c.surplus)
			is.Equal(failed, 0)
		})
	}
}

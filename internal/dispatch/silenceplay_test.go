package dispatch

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

var silenceSeeds = flag.Uint64("silence.seeds", 10, "seeds of the random plays of silent workers")

// Guards against a task that crashes its workers without limit, whatever the times of the
// takeovers.
func TestTaskThatCrashesWorkersHasALimitBesideTakeovers(t *testing.T) {
	steps := map[string]workload.Step{
		"task":    {Tasks: 1, Resources: cores(2)},
		"gang":    {Tasks: 4, Resources: cores(3), Gang: true},
		"service": {Tasks: 2, Resources: cores(2), Service: true},
	}
	all := maps.Clone(outages)
	maps.Copy(all, moreOutages)
	for name, o := range all {
		if o.takeovers {
			continue
		}
		for kind, step := range steps {
			for _, every := range []time.Duration{700 * time.Millisecond, 3100 * time.Millisecond, 13 * time.Second} {
				for _, fuse := range []time.Duration{0, 900 * time.Millisecond} {
					if fuse > 0 && o.unanswered {
						continue
					}
					t.Run(fmt.Sprint(name, "/", kind, "/", every, "/", fuse), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						c := newCrashCell(t, 16, o, func(id workload.TaskID) bool { return id.Job == "deadly" && id.Index == 0 })
						c.fuse = fuse
						c.play(3*time.Second, func(int) {})
						c.submit("deadly", step)
						next := c.now.Add(every)
						for end := c.now.Add(250 * time.Second); c.now.Before(end); {
							if !c.now.Before(next) {
								c.takeOver()
								next = c.now.Add(every)
							}
							c.play(crashStep, func(int) {})
						}
						c.checkCounts()
						task := c.firstOf("deadly")
						c.Logf("state %v, crashes %v, surplus starts %d, counted %d, suspected %d", c.state("deadly"), c.crashes, c.surplus, task.crashes, len(task.silent))
						is.True(c.surplus < 3)
						c.play(200*time.Second, func(int) {}) // no more takeovers
						is.True(c.surplus < 3)
						is.Equal(c.state("deadly"), workload.Failed)
					})
				}
			}
		}
	}
}

func (c *crashCell) firstOf(job string) task {
	_, t := c.core.findTask(workload.TaskID{StepID: workload.StepID{Job: job}})
	if t == nil {
		return task{}
	}
	return *t
}

// Guards against jobs that are given up in a cell in which no worker ends, and against losses
// that are left when all workers answer: cuts, takeovers, and jobs of all kinds at random.
func TestRandomCutsLeaveNoSilentLosses(t *testing.T) {
	for seed := range *silenceSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 1))
			c := newCrashCell(t, 20, outage{}, func(workload.TaskID) bool { return false })
			c.runFor = time.Duration(500+r.IntN(6000)) * time.Millisecond
			jobs, suspects := 0, 0
			c.play(time.Second, func(int) {})
			for range 1200 { // 60 s
				if r.IntN(20) == 0 && jobs < 60 {
					jobs++
					c.submit(fmt.Sprint("j", jobs), []workload.Step{
						{Tasks: 1 + r.IntN(6), Resources: cores(2)}, {Tasks: 4, Resources: cores(5), Gang: true}, {Tasks: 2, Resources: cores(2), Service: true}}[r.IntN(3)])
				}
				if r.IntN(10) == 0 {
					if w := c.sorted()[r.IntN(20)]; w.cutUntil.IsZero() {
						c.cutOff(w, time.Duration(1+r.IntN(40))*time.Second)
					}
				}
				if r.IntN(100) == 0 {
					c.takeOver()
				}
				if jobs > 0 && r.IntN(100) == 0 {
					c.core.Cancel(fmt.Sprint("j", 1+r.IntN(jobs)), c.now)
				}
				c.play(crashStep, func(int) {})
				c.checkSilent()
				suspects = max(suspects, len(c.core.silent))
			}
			c.play(60*time.Second, func(int) { c.checkSilent() })
			c.Logf("%d jobs, at most %d silent workers", jobs, suspects)
			is.Equal(len(c.core.silent), 0)
			for i := range jobs {
				is.True(c.state(fmt.Sprint("j", i+1)) != workload.Failed)
			}
		})
	}
}

// checkSilent compares the index of silent workers with the tasks.
func (c *crashCell) checkSilent() {
	c.core.settleSilence(c.now) // the latest one may be older than the latest answers
	for _, j := range c.core.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				suspects := 0
				for i := range s.tasks {
					t := &s.tasks[i]
					if t.crashes > 0 {
						suspects++
					}
					if len(t.silent) > t.crashes || t.proven > t.crashes-len(t.silent) {
						c.Errorf("task %v has %d silent losses, %d crashes and %d proven ones", s.taskID(i), len(t.silent), t.crashes, t.proven)
					}
					for _, l := range t.silent {
						w := c.core.silent[l.worker.ID]
						if j.state.Final() {
							continue
						}
						if w == nil {
							c.Errorf("loss of %v on %v is not indexed", s.taskID(i), l.worker)
						} else if _, ok := w[s.taskID(i)]; !ok {
							c.Errorf("loss of %v on %v is not indexed", s.taskID(i), l.worker)
						}
						if known := c.core.workers[l.worker.ID]; known != nil && known.reachable {
							c.Errorf("loss of %v on %v is open though the worker is in reach", s.taskID(i), l.worker)
						}
					}
				}
				if s.suspects != suspects {
					c.Errorf("step %v counts %d suspects, has %d", s.id, s.suspects, suspects)
				}
			}
		}
	}
}

// Rows with silent losses on many workers stay within a row.
func TestRowsOfManySilentLossesStayWithinBounds(t *testing.T) {
	for name, test := range map[string]struct {
		workers int
		id      func(int) string
		step    workload.Step
	}{
		"wide":       {380, shortID, workload.Step{Tasks: 300, Resources: cores(20)}},
		"long IDs":   {90, longID, workload.Step{Tasks: 80, Resources: cores(20)}},
		"gang":       {380, shortID, workload.Step{Tasks: 250, Resources: cores(20), Gang: true}},
		"checkpoint": {380, shortID, workload.Step{Tasks: 250, Resources: cores(20), Checkpoints: true}},
		"steps":      {380, shortID, workload.Step{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newRowCell(t, test.workers, test.id)
			c.checkpoint = func(workload.TaskID) string { return strings.Repeat("x", 24) }
			steps := []workload.Step{test.step, {Tasks: 1100, Resources: cores(99), Checkpoints: true}}
			if name == "steps" {
				steps = nil
				for range 60 {
					steps = append(steps, workload.Step{Tasks: 5, Resources: cores(20)})
				}
				steps = append(steps, workload.Step{Tasks: 1100, Resources: cores(99), Checkpoints: true})
			}
			spec := &workload.Job{ID: bigJob, Queue: "batch", Team: "team", AcceptedAt: c.now.UnixMilli(), Steps: steps}
			c.core.AddJob(spec, c.now)
			losses, over, most := 0, 0, 0
			check := func() {
				j := c.core.jobs[bigJob]
				bound := j.bytes()
				data := j.encode()
				if len(data) > bound && len(data) > maxProgressBytes {
					over = max(over, len(data)-bound)
				}
				c.largest = max(c.largest, len(data))
			}
			for round := range 12 {
				if round == 6 { // from now on the last step fits as well, and fills the row
					spec.Steps[len(spec.Steps)-1].Resources = smallTask
				}
				c.step()
				check()
				if round%4 == 3 { // a takeover
					stored := c.core.jobs[bigJob].encode()
					cell := c.core.cell
					c.core = New()
					c.core.SetCell(cell)
					is.NoErr(c.core.Restore(spec, stored, false, c.now))
					c.core.SetLeaseBounds(c.now.Add(crashLease), nil, c.now)
					for i := range test.workers {
						if r := c.running[test.id(i)]; r == nil || i%2 == 0 {
							c.addWorker(test.id(i), 32)
						}
					}
				}
				for i := range test.workers { // all of them go silent, and come back one round later
					id := test.id(i)
					if c.core.workers[id] != nil && (i+round)%3 > 0 {
						c.core.ExtendLease(id, c.now.Add(crashLease))
						c.core.HandleLostContact(id, c.now)
						c.core.SetWorker(workload.WorkerChange{ID: id})
						delete(c.running, id)
					}
				}
				c.now = c.now.Add(crashLease + time.Millisecond)
				c.core.Tick(c.now)
				all := 0
				for _, o := range c.core.jobs[bigJob].occurrences {
					for _, s := range o.steps {
						for i := range s.tasks {
							losses = max(losses, len(s.tasks[i].silent))
							all += len(s.tasks[i].silent)
						}
					}
				}
				most = max(most, all)
				check()
				c.step()
				for i := range test.workers {
					if (i+round)%5 > 0 {
						c.addWorker(test.id(i), 32)
					}
				}
				c.now = c.now.Add(crashRetryPause)
			}
			t.Logf("largest row %d of %d, above its bound by %d, losses at most %d a task, %d in all", c.largest, workload.MaxRowBytes, over, losses, most)
			is.True(losses > 0)
			is.True(c.largest <= workload.MaxRowBytes)
		})
	}
}

// Deadly tasks, cuts, takeovers, cancels at random: a deadly task has its limit, the counts
// are right, and no job is given up under whose tasks no worker has ended.
func TestTasksThatCrashWorkersBesideRandomCuts(t *testing.T) {
	for seed := range *silenceSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 2))
			o := outage{restarted: seed%3 == 1, silent: seed%3 == 2, unanswered: r.IntN(4) == 0}
			c := newCrashCell(t, 30, o, func(id workload.TaskID) bool { return strings.HasPrefix(id.Job, "deadly") && id.Index == 0 })
			c.runFor = time.Duration(500+r.IntN(6000)) * time.Millisecond
			if !o.unanswered {
				c.fuse = time.Duration(r.IntN(1900)) * time.Millisecond
			}
			takeovers := 100 + r.IntN(600)
			jobs, deadly := 0, 0
			ended := map[string]int{} // runs of a job whose worker ended
			c.play(time.Second, func(int) {})
			kinds := []workload.Step{{Tasks: 4, Resources: cores(2)}, {Tasks: 4, Resources: cores(5), Gang: true}, {Tasks: 2, Resources: cores(2), Service: true}}
			surplus := map[workload.TaskID]int{}
			step := func(busy bool) {
				if busy && r.IntN(20) == 0 && jobs < 60 {
					jobs++
					c.submit(fmt.Sprint("j", jobs), kinds[r.IntN(3)])
				}
				if busy && r.IntN(200) == 0 && deadly < 6 {
					deadly++
					c.submit(fmt.Sprint("deadly", deadly), kinds[r.IntN(3)])
				}
				if busy && r.IntN(20) == 0 {
					if ws := c.sorted(); len(ws) > 0 {
						if w := ws[r.IntN(len(ws))]; w.cutUntil.IsZero() && w.backAt.IsZero() {
							c.cutOff(w, time.Duration(1+r.IntN(40))*time.Second)
						}
					}
				}
				if busy && r.IntN(takeovers) == 0 {
					c.takeOver()
				}
				before := map[string]map[string]bool{}
				for id, w := range c.workers {
					if w.backAt.IsZero() {
						before[id] = map[string]bool{}
						for task := range w.runs {
							before[id][task.Job] = true
						}
					}
				}
				c.play(crashStep, func(int) {})
				for id, w := range c.workers {
					if !w.backAt.IsZero() {
						for job := range before[id] {
							ended[job]++
						}
					}
				}
				for task, n := range c.crashes {
					surplus[task] = max(0, n-3)
				}
			}
			for range 1600 { // 80 s
				step(true)
				c.checkSilent()
			}
			for range 2400 {
				step(false)
			}
			c.checkSilent()
			failed, few := 0, 0
			for i := range jobs {
				job := fmt.Sprint("j", i+1)
				if c.state(job) == workload.Failed {
					failed++
					if ended[job] < 2 {
						few++
					}
					is.True(ended[job] > 0)
				}
			}
			given := 0
			for i := range deadly {
				if c.state(fmt.Sprint("deadly", i+1)) == workload.Failed {
					given++
				}
			}
			t.Logf("%+v fuse %v run %v takeovers each %d: %d of %d other jobs failed, %d of them with fewer than two ends; %d of %d deadly ones given up; crashes %v",
				o, c.fuse, c.runFor, takeovers, failed, jobs, few, given, deadly, c.crashes)
			is.Equal(len(c.core.silent), 0)
			is.Equal(given, deadly)
			for task, n := range surplus {
				if n > 2 {
					t.Errorf("%d crashes under %v after the third", n, task)
				}
			}
		})
	}
}

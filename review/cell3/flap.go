package main

import (
	"fmt"
	"sort"
	"time"
)

// Size of the cell in the cases of flapping workers, and the disruption: a tenth of the workers
// goes down and up by turns (srv_flap: share 0.1, gap_s 0.88 to 1.5, for_s up to 7.1).
const (
	flapHosts    = 3
	flapWorkers  = 20
	flapCores    = 24_000 // of each worker
	flapping     = 2
	flapFor      = 7 * time.Second
	serviceTasks = 8           // of each job
	youngAge     = time.Second // of the tasks when the disruption begins
)

// flapCase is a case of flapping workers: jobs whose tasks fill two workers.
type flapCase struct {
	jobs      int
	firstJob  int  // ID of the first job
	lasts     bool // the tasks last; otherwise they take plainTask
	taskCores int64
	gap       time.Duration // between down and up
	calm      time.Duration // that is watched after the disruption
}

var (
	givenUp      = flapCase{jobs: 6, firstJob: 0xa000, lasts: true, taskCores: 1000, gap: 900 * time.Millisecond, calm: 20 * time.Second}
	givenUpPlain = flapCase{jobs: 6, firstJob: 0xb000, taskCores: 1000, gap: 900 * time.Millisecond, calm: 30 * time.Second}
	apart        = flapCase{jobs: 30, firstJob: 0xc000, lasts: true, taskCores: 200, gap: 1200 * time.Millisecond, calm: 38 * time.Second}
	apartPlain   = flapCase{jobs: 30, firstJob: 0xd000, taskCores: 200, gap: 1200 * time.Millisecond, calm: 38 * time.Second}
)

// plainTask is the duration of tasks that do not last.
const plainTask = 5 * time.Second

// body returns a submission.
func (f flapCase) body() string {
	spec, kind := plainTask.String(), fmt.Sprintf(`"estimate-ms":%d`, plainTask.Milliseconds())
	if f.lasts {
		spec, kind = "service", `"long-running":true`
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem-mb":256,%s}]}`, spec, serviceTasks, f.taskCores, kind)
}

// services are the jobs of a case, and their tasks.
type services struct {
	jobs, tasks []string
}

// play starts a cell and the jobs, and disturbs it. The caller closes the cell.
func (f flapCase) play(rec *recorder, trouble bool) (*cell, services, error) {
	var s services
	c, err := startCell(rec, flapHosts, flapWorkers, flapCores, f.taskCores)
	if err != nil {
		return nil, s, err
	}
	for i := range f.jobs {
		id := fmt.Sprintf("%016x", f.firstJob+i)
		if err := c.submit(id, f.body()); err != nil {
			return c, s, err
		}
		s.jobs = append(s.jobs, id)
		for k := range serviceTasks {
			s.tasks = append(s.tasks, fmt.Sprintf("%s.0.0.%d", id, k))
		}
	}
	for deadline := time.Now().Add(15 * time.Second); len(rec.missing(s.tasks)) > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return c, s, fmt.Errorf("%d tasks do not start", len(rec.missing(s.tasks)))
		}
	}
	rec.say("all %d tasks run", len(s.tasks))
	time.Sleep(youngAge)
	if trouble {
		err = f.disturb(c)
	}
	rec.say("nothing is disturbed from now on")
	return c, s, err
}

// disturb takes the workers with the most runs down and up by turns.
func (f flapCase) disturb(c *cell) error {
	chosen := append([]*worker(nil), c.workers...)
	sort.SliceStable(chosen, func(a, b int) bool { return chosen[a].runs() > chosen[b].runs() })
	chosen = chosen[:flapping]
	for began := time.Now(); time.Since(began)+f.gap <= flapFor; time.Sleep(f.gap) {
		for _, w := range chosen {
			w.crash()
		}
		time.Sleep(f.gap)
		for _, w := range chosen {
			if err := w.restart(); err != nil {
				return err
			}
		}
		c.register()
	}
	return nil
}

// playGivenUp checks the states of jobs that last, and then of plain jobs in a new cell.
func playGivenUp(rec *recorder, trouble bool) (int, error) {
	worst := held
	for _, f := range []flapCase{givenUp, givenUpPlain} {
		rec.say("a cell with %d jobs that last: %v", f.jobs, f.lasts)
		result, err := f.checkStates(rec, trouble)
		if err != nil {
			return couldNot, err
		}
		worst = max(worst, result)
		rec.forget()
	}
	return worst, nil
}

// checkStates plays a case and checks the states of its jobs after the disruption.
func (f flapCase) checkStates(rec *recorder, trouble bool) (int, error) {
	c, s, err := f.play(rec, trouble)
	if c != nil {
		defer func() { _ = c.close() }()
	}
	if err != nil {
		return couldNot, err
	}
	time.Sleep(f.calm)
	result := held
	for i, id := range s.jobs {
		state, ends := c.state(i, id), rec.endsOf(id)
		rec.say("GET %s -> %s; ends of its runs: %v", id, state, ends)
		if state == "failed" && ends["failed"] == 0 || state == "cancelled" {
			rec.say("broken: LOST: job %s, which nobody cancelled, is shown as %s, and no run of it has ended failed", id, state)
			result = broken
		}
	}
	return result, nil
}

// Times of the rule LOST for tasks that last: they are owed a run 6 s after the last one; it is
// broken if they have none for 3 s, and these and the 4 s before are calm.
const (
	owedAfter  = 6 * time.Second
	brokenFor  = 3 * time.Second
	calmBefore = 4 * time.Second
)

// finish is the time after the end of the traffic from which jobs are owed progress (finish_s).
const finish = 14 * time.Second

// playApart checks for how long tasks that last have no run after the disruption, and then, in a
// new cell, for how long plain jobs have nothing running.
func playApart(rec *recorder, trouble bool) (int, error) {
	worst := held
	for _, f := range []flapCase{apart, apartPlain} {
		rec.say("a cell with %d jobs that last: %v", f.jobs, f.lasts)
		result, err := f.checkProgress(rec, trouble)
		if err != nil {
			return couldNot, err
		}
		worst = max(worst, result)
		rec.forget()
	}
	return worst, nil
}

// idle returns how long each task that lasts, or each plain job that is not done, has had
// nothing running.
func (f flapCase) idle(rec *recorder, s services) map[string]time.Duration {
	if f.lasts {
		return rec.missing(s.tasks)
	}
	return rec.idleJobs(s.jobs, serviceTasks)
}

// checkProgress plays a case and checks that what can run does.
func (f flapCase) checkProgress(rec *recorder, trouble bool) (int, error) {
	c, s, err := f.play(rec, trouble)
	if c != nil {
		defer func() { _ = c.close() }()
	}
	if err != nil {
		return couldNot, err
	}
	limit, from := owedAfter+brokenFor, calmBefore+brokenFor
	if !f.lasts {
		limit, from = brokenFor, finish+brokenFor // the traffic has ended before the disruption
	}
	calmFrom := time.Now()
	lost := map[string]time.Duration{}
	lackedRoom := time.Now()
	for ; time.Since(calmFrom) < f.calm; time.Sleep(100 * time.Millisecond) {
		idle := f.idle(rec, s)
		free, used := 0, 0
		for _, w := range c.workers {
			free += w.free()
			used += w.runs()
		}
		if free < 2*len(idle)*serviceTasks || used >= free {
			lackedRoom = time.Now()
		}
		if time.Since(calmFrom) < from || time.Since(lackedRoom) < brokenFor {
			continue
		}
		for name, without := range idle {
			if without < limit {
				continue
			}
			if lost[name] == 0 {
				rec.say("broken: LOST: %s has had nothing running for %.1f s, after %.1f s of calm, with room for %d more tasks, %d in use",
					name, without.Seconds(), time.Since(calmFrom).Seconds(), free, used)
			}
			lost[name] = max(lost[name], without)
		}
	}
	var longest time.Duration
	for _, without := range lost {
		longest = max(longest, without)
	}
	for i, id := range s.jobs {
		rec.say("GET %s -> %s", id, c.state(i, id))
	}
	rec.say("%d had nothing running for too long, the longest for %.1f s; %d have nothing running now", len(lost), longest.Seconds(), len(f.idle(rec, s)))
	if len(lost) > 0 {
		return broken, nil
	}
	return held, nil
}

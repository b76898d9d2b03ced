package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// oracle schedules the jobs of a replay with perfect knowledge: it knows the duration of
// each task, needs no advice, and sees one pool of cores without boundaries between
// workers. It starts the work with the highest gain for a core-second first. Its gain is
// roughly an upper bound for any policy.
type oracle struct {
	*replay
	used    float64 // cores in use
	jobs    []*oracleJob
	running []oracleRun // ordered by end
}

type oracleJob struct {
	*replayJob
	cores []float64 // of one task, by step
	gang  []bool
	step  int
	next  int // task of the current step to start next
	left  int // tasks of the current step that have not ended
	work  float64
}

type oracleRun struct {
	end   time.Time
	cores float64
	job   *oracleJob
}

// newOracle copies the jobs of a completed replay.
func newOracle(r *replay) *oracle {
	o := &oracle{replay: r}
	for id, j := range r.jobs {
		x := &oracleJob{replayJob: &replayJob{kind: j.kind, accepted: j.accepted, onTimeWithin: j.onTimeWithin, worth: j.worth, seconds: j.seconds}}
		for s, step := range r.core.jobs[id].spec.Steps {
			x.cores = append(x.cores, float64(step.Resources.MilliCores)/1000)
			x.gang = append(x.gang, step.Gang)
			for _, seconds := range j.seconds[s] {
				x.work += seconds * x.cores[s]
			}
		}
		x.left = len(x.seconds[0])
		o.jobs = append(o.jobs, x)
	}
	slices.SortFunc(o.jobs, func(a, b *oracleJob) int {
		return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.work, b.work), cmp.Compare(a.worth, b.worth))
	})
	return o
}

// remaining returns the duration of the job's remaining steps.
func (j *oracleJob) remaining() time.Duration {
	total := 0.0
	for _, seconds := range j.seconds[j.step:] {
		total += slices.Max(seconds)
	}
	return time.Duration(total * float64(time.Second))
}

// gainRate returns the gain for a core-second if the job starts now.
func (j *oracleJob) gainRate(now time.Time) float64 {
	switch took := now.Add(j.remaining()).Sub(j.accepted); {
	case took <= j.onTimeWithin:
		return j.worth / j.work
	case took <= lateFactor*j.onTimeWithin:
		return j.worth / lateDivisor / j.work
	default:
		return 0
	}
}

// play runs the jobs and returns their gain.
func (o *oracle) play() gain {
	waiting, arrived := []*oracleJob{}, 0
	for now := o.begin; now.Sub(o.begin) < o.length+40*time.Second; now = now.Add(replayStep) {
		for arrived < len(o.jobs) && !o.jobs[arrived].accepted.After(now) {
			waiting = append(waiting, o.jobs[arrived])
			arrived++
		}
		if o.pausedAt(now) {
			continue
		}
		waiting = append(waiting, o.endRuns(now)...)
		slices.SortStableFunc(waiting, func(a, b *oracleJob) int { return cmp.Compare(b.gainRate(now), a.gainRate(now)) })
		remaining := waiting[:0]
		free := o.capacityAt(now) - o.used
		for _, j := range waiting {
			if !o.start(j, &free, now) {
				remaining = append(remaining, j)
			}
		}
		waiting = remaining
	}
	all := make([]*replayJob, 0, len(o.jobs))
	for _, j := range o.jobs {
		all = append(all, j.replayJob)
	}
	return o.gainOf(all)
}

// endRuns ends the runs that are due and returns the jobs whose next step is ready.
func (o *oracle) endRuns(now time.Time) []*oracleJob {
	var ready []*oracleJob
	running := o.running[:0]
	for _, r := range o.running {
		if r.end.After(now) {
			running = append(running, r)
			continue
		}
		o.used -= r.cores
		j := r.job
		if j.left--; j.left > 0 {
			continue
		}
		if j.step++; j.step == len(j.seconds) {
			j.done = now
			continue
		}
		j.next, j.left = 0, len(j.seconds[j.step])
		ready = append(ready, j)
	}
	o.running = running
	return ready
}

// start starts tasks of the job's current step, of a gang all or none. It reports whether
// all tasks of the step are started.
func (o *oracle) start(j *oracleJob, free *float64, now time.Time) bool {
	cores, tasks := j.cores[j.step], j.seconds[j.step]
	if j.gang[j.step] && float64(len(tasks))*cores > *free {
		return false
	}
	for ; j.next < len(tasks); j.next++ {
		if cores > *free {
			return false
		}
		*free -= cores
		o.used += cores
		o.running = append(o.running, oracleRun{now.Add(time.Duration(tasks[j.next] * float64(time.Second))), cores, j})
	}
	return true
}

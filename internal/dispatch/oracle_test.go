package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// oracle schedules the jobs of a replay with hindsight: it knows how long each task
// takes, needs no advice, and sees one pool of cores without borders between workers.
// It starts what earns most for a core-second first. What it earns is about the most
// that any policy could.
type oracle struct {
	*replay
	used    float64 // cores
	jobs    []*oracleJob
	running []oracleRun // by end
}

type oracleJob struct {
	*replayJob
	cores []float64 // of a task, by step
	gang  []bool
	step  int
	next  int // task of the step to start next
	left  int // tasks of the step that have not ended
	work  float64
}

type oracleRun struct {
	end   time.Time
	cores float64
	job   *oracleJob
}

// newOracle takes the jobs of a replay that was played.
func newOracle(r *replay) *oracle {
	o := &oracle{replay: r}
	for id, j := range r.jobs {
		x := &oracleJob{replayJob: &replayJob{kind: j.kind, accepted: j.accepted, span: j.span, worth: j.worth, seconds: j.seconds}}
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

// rest is how long the job's remaining steps take.
func (j *oracleJob) rest() time.Duration {
	total := 0.0
	for _, seconds := range j.seconds[j.step:] {
		total += slices.Max(seconds)
	}
	return time.Duration(total * float64(time.Second))
}

// rate is what a start now can earn for a core-second.
func (j *oracleJob) rate(now time.Time) float64 {
	switch took := now.Add(j.rest()).Sub(j.accepted); {
	case took <= j.span:
		return j.worth / j.work
	case took <= lateFactor*j.span:
		return j.worth / lateShare / j.work
	default:
		return 0
	}
}

// play runs the jobs and returns what they earn.
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
		waiting = append(waiting, o.end(now)...)
		slices.SortStableFunc(waiting, func(a, b *oracleJob) int { return cmp.Compare(b.rate(now), a.rate(now)) })
		rest := waiting[:0]
		free := o.capacityAt(now) - o.used
		for _, j := range waiting {
			if !o.start(j, &free, now) {
				rest = append(rest, j)
			}
		}
		waiting = rest
	}
	all := make([]*replayJob, 0, len(o.jobs))
	for _, j := range o.jobs {
		all = append(all, j.replayJob)
	}
	return o.gainOf(all)
}

// end takes in what has ended and returns the jobs whose next step is ready.
func (o *oracle) end(now time.Time) []*oracleJob {
	var ready []*oracleJob
	rest := o.running[:0]
	for _, r := range o.running {
		if r.end.After(now) {
			rest = append(rest, r)
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
	o.running = rest
	return ready
}

// start starts tasks of the job's step, of a gang all or none, and reports whether all
// have been started.
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

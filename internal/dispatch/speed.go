package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// Learning how fast workers are beside each other. Load pattern: a pool in which some workers
// take several times as long as the others for the same task, which the registry does not show.
// A gang with one member on such a worker holds all its cores for that time.
//
// The pace of a worker is the logarithm of how long its tasks take beside tasks of the same
// step elsewhere. Estimates play no part, since they are wrong by half or more. Only
// differences between paces have a meaning.
const (
	// minSpeedTasks tasks on minSpeedWorkers workers are the least that a step shows speeds by.
	minSpeedTasks   = 3
	minSpeedWorkers = 2
	// speedPrior is the weight of the pace before the first observation (0), in observations.
	speedPrior = 1.0
	// maxSpeedObservations bounds the weight of what is known, so that a worker that changes
	// is learned again within some 15 tasks.
	maxSpeedObservations = 8.0
	// speedHalfLife is the half-life of observations. A slow worker without tasks counts as
	// unknown after two half-lives, and is tried again.
	speedHalfLife = 30 * time.Second
	// maxSpeedResidual bounds the influence of one run. One run in 30 takes seven times as
	// long; the logarithm of that is 1.9.
	maxSpeedResidual = 0.6
	// minSpeedVarianceWeight is the weight of one run in the variance of the residuals, once
	// many are known. initialSpeedVariance is at the upper end of what tests and replays show,
	// and weighs as much as speedVariancePrior runs.
	minSpeedVarianceWeight = 0.01
	initialSpeedVariance   = 0.2 * 0.2
	speedVariancePrior     = 10
)

// Which workers are slow.
const (
	// minSlowObservations is the number of observations from which a worker can be slow. With
	// this number and slowStandardErrors, three runs of four that take seven times as long do
	// not make a worker slow.
	minSlowObservations = 4.0
	// slowStandardErrors is by how many standard errors a worker must exceed the slow factor.
	slowStandardErrors = 3.0
	// slowHysteresis is the share of the logarithm of the slow factor below which a slow
	// worker is slow no longer.
	slowHysteresis = 0.7
	// minKnownPaces workers of a pool must be known before any of them is slow.
	minKnownPaces = 4
	// fastQuantile of the known paces of a pool is the pace of its fast workers.
	fastQuantile = 0.25
	// speedCheckInterval is how often the workers of a pool are compared.
	speedCheckInterval = 200 * time.Millisecond
	// maxPaceShift is by how much the paces of a pool are moved at most at one check towards
	// a median of 0. Single long runs raise all paces by 0.0003 for each run. The shift is
	// small, since just after a takeover few of the pool's workers are known.
	maxPaceShift = 0.002
	// forgottenObservations is the weight below which the pace of a worker that is gone is
	// forgotten.
	forgottenObservations = 0.1
	// maxSpeeds bounds the number of workers whose pace is kept.
	maxSpeeds = 4096
)

// workerSpeed is what is known of the speed of a worker.
type workerSpeed struct {
	incarnation  int64 // 0 if unknown
	pace         float64
	observations float64
	slow         bool
	// ratio is how many times as long tasks take as on the fast workers of the pool, if slow.
	ratio float64
}

// speeds is what is known of the speeds of all workers.
type speeds struct {
	byWorker   map[string]*workerSpeed
	variance   float64 // of the logarithm of durations, without the effects of step and worker
	residuals  int     // number of residuals in variance
	checkedAt  time.Time
	slowByPool map[string]int
	version    int // changes with the set of slow workers
}

func newSpeeds() speeds {
	return speeds{byWorker: map[string]*workerSpeed{}, variance: initialSpeedVariance, slowByPool: map[string]int{}}
}

// addResidual adds the residual of a run on a known worker to the variance.
func (v *speeds) addResidual(residual float64) {
	v.residuals++
	weight := max(minSpeedVarianceWeight, 1/float64(v.residuals+speedVariancePrior))
	v.variance += weight * (residual*residual - v.variance)
}

// speedSample is one run that shows the speed of its worker.
type speedSample struct {
	speed   *workerSpeed
	logTime float64 // logarithm of the duration in seconds
}

// speedOf returns what is known of the speed of a worker. It makes room for another one by
// forgetting workers that are gone.
func (c *Core) speedOf(id string) *workerSpeed {
	v := c.speeds.byWorker[id]
	if v != nil {
		return v
	}
	if len(c.speeds.byWorker) >= maxSpeeds {
		for known := range c.speeds.byWorker {
			if c.workers[known] == nil {
				delete(c.speeds.byWorker, known)
			}
		}
	}
	v = &workerSpeed{}
	c.speeds.byWorker[id] = v
	if w := c.workers[id]; w != nil {
		v.incarnation = w.incarnation
		w.speed = v
	}
	return v
}

// recordSpeed records a task that ended at its first run, which was observed from its start.
// The speeds are learned when the step is finished. Gangs are excluded, since a member may
// have waited for slower ones, and so are tasks that are throttled.
func (c *Core) recordSpeed(s *step, t *task, now time.Time) {
	if !c.policy.LearnSpeeds || s.spec.Gang || s.spec.Service || s.spec.BestEffort ||
		t.run != 1 || t.startSentAt.IsZero() || t.speedFrom.IsZero() || t.speedFromPercent != 0 {
		return
	}
	if took := now.Sub(t.speedFrom); took > 0 {
		s.speedSamples = append(s.speedSamples, speedSample{c.speedOf(t.worker), math.Log(took.Seconds())})
	}
}

// learnSpeeds applies the runs of a finished step. The effect of the step is the mean of the
// durations less the paces of their workers, where each worker counts once: several tasks on a
// slow worker must not make the others look fast.
func (c *Core) learnSpeeds(s *step) {
	samples := s.speedSamples
	s.speedSamples = nil
	if len(samples) < minSpeedTasks {
		return
	}
	tasks := map[*workerSpeed]float64{}
	for _, x := range samples {
		tasks[x.speed]++
	}
	if len(tasks) < minSpeedWorkers {
		return
	}
	effect := stepEffect(samples, tasks)
	for _, x := range samples {
		residual := clampResidual(x.logTime - x.speed.pace - effect)
		if x.speed.observations >= minSlowObservations {
			c.speeds.addResidual(residual)
		}
		x.speed.pace += residual / (x.speed.observations + 1 + speedPrior)
		x.speed.observations = min(maxSpeedObservations, x.speed.observations+1)
	}
}

// stepEffect returns the typical logarithm of the duration of a step's tasks on a worker of
// pace 0. Workers of known pace count more. Single long runs have a bounded influence.
func stepEffect(samples []speedSample, tasks map[*workerSpeed]float64) float64 {
	type point struct{ value, weight float64 }
	points := make([]point, 0, len(samples))
	sum := 0.0
	for _, x := range samples {
		p := point{x.logTime - x.speed.pace, (x.speed.observations + speedPrior) / tasks[x.speed]}
		points = append(points, p)
		sum += p.weight
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.value, b.value) })
	median, below := points[0].value, 0.0
	for _, p := range points {
		median = p.value
		if below += p.weight; below >= sum/2 {
			break
		}
	}
	mean := 0.0
	for _, p := range points {
		mean += p.weight / sum * clampResidual(p.value-median)
	}
	return median + mean
}

func clampResidual(x float64) float64 { return max(-maxSpeedResidual, min(maxSpeedResidual, x)) }

// newIncarnation keeps the pace with the weight of a restored one: the worker may be of
// another kind.
func (v *workerSpeed) newIncarnation(incarnation int64) {
	if v.incarnation != 0 && v.incarnation != incarnation {
		v.observations = min(v.observations, otherIncarnationObservations)
	}
	v.incarnation = incarnation
}

// updateSlowWorkers decides which workers are slow: those whose tasks take Policy.SlowFactor
// times as long as on the fast workers of their pool, by more than chance.
func (c *Core) updateSlowWorkers(now time.Time) {
	elapsed := now.Sub(c.speeds.checkedAt)
	if !c.policy.LearnSpeeds || len(c.speeds.byWorker) == 0 || elapsed < speedCheckInterval && elapsed >= 0 {
		return
	}
	if !c.speeds.checkedAt.IsZero() && elapsed > 0 {
		decay := math.Exp2(-float64(elapsed) / float64(speedHalfLife))
		for id, v := range c.speeds.byWorker {
			v.observations *= decay
			if v.observations < forgottenObservations && c.workers[id] == nil {
				delete(c.speeds.byWorker, id)
			}
		}
	}
	c.speeds.checkedAt = now
	paces := map[string][]float64{}
	for _, w := range c.workers {
		if w.speed != nil && w.registered && w.speed.observations >= minSlowObservations {
			paces[w.info.Pool] = append(paces[w.info.Pool], w.speed.pace)
		}
	}
	// Only differences have a meaning, but a worker that joins begins with a pace of 0. So the
	// paces of a pool are kept around 0.
	fast, shift := map[string]float64{}, map[string]float64{}
	for pool, known := range paces {
		if len(known) >= minKnownPaces {
			slices.Sort(known)
			shift[pool] = max(-maxPaceShift, min(maxPaceShift, known[len(known)/2]))
			fast[pool] = known[int(fastQuantile*float64(len(known)))] - shift[pool]
		}
	}
	clear(c.speeds.slowByPool)
	for _, w := range c.workers {
		if w.speed == nil {
			continue
		}
		w.speed.pace -= shift[w.info.Pool]
		if !w.registered {
			continue
		}
		pace, known := fast[w.info.Pool]
		c.setSlow(w, known && c.exceedsSlowFactor(w.speed, pace), pace)
		if w.speed.slow {
			c.speeds.slowByPool[w.info.Pool]++
		}
	}
}

// exceedsSlowFactor reports whether a worker is slow beside the fast workers of its pool.
func (c *Core) exceedsSlowFactor(v *workerSpeed, fast float64) bool {
	limit := math.Log(c.policy.SlowFactor)
	if v.slow {
		return v.observations >= minSlowObservations/2 && v.pace-fast >= slowHysteresis*limit
	}
	return v.observations >= minSlowObservations &&
		v.pace-fast >= limit+slowStandardErrors*math.Sqrt(c.speeds.variance/v.observations)
}

// setSlow marks a worker as slow, or as slow no longer.
func (c *Core) setSlow(w *worker, slow bool, fast float64) {
	v := w.speed
	v.ratio = 1
	if slow {
		v.ratio = math.Exp(v.pace - fast)
	}
	if slow == v.slow {
		return
	}
	v.slow = slow
	c.speeds.version++
	name := "worker is slow"
	if !slow {
		name = "worker is no longer slow"
	}
	c.emit(name, "worker", w.info.ID, "pool", w.info.Pool, "pace", v.pace-fast, "observations", v.observations)
}

// forgetSlowWorkers is for a policy that does not learn speeds. What was learned is dropped:
// it would be outdated when speeds are learned again.
func (c *Core) forgetSlowWorkers() {
	for _, w := range c.workers {
		w.speed = nil
	}
	c.speeds = newSpeeds()
}

// isSlow reports whether the tasks of a worker are known to take longer than on the fast
// workers of its pool. Slowdown by several times that begins suddenly is in slowdown.go.
func (w *worker) isSlow() bool { return w.speed != nil && w.speed.slow }

// expectedDurationOn returns how long a task of the step is expected to take on a worker.
func (c *Core) expectedDurationOn(s *step, w *worker) time.Duration {
	duration := c.expectedDuration(s)
	if w == nil || !w.isSlow() {
		return duration
	}
	return time.Duration(w.speed.ratio * float64(duration))
}

// durationOnFast returns how long a run that took some time on a worker would have taken on a
// fast one. Durations are learned for fast workers: objectives are for healthy workers, and
// must not grow with the share of tasks that slow workers get.
func (c *Core) durationOnFast(id string, took time.Duration) time.Duration {
	if w := c.workers[id]; w != nil && w.isSlow() {
		return time.Duration(float64(took) / w.speed.ratio)
	}
	return took
}

// slowWorkerWeight is the weight of the speed of a worker in the score for a task, in shares
// of the worker's capacity. It exceeds what the fit and the AZ weigh, but not the failures of
// the step.
const slowWorkerWeight = 2.0

// slowMargin is the factor on the expected duration of a task on a slow worker when it is
// checked against the latest start. The job waits for the longest task.
const slowMargin = 1.3

// speedPreference is which workers of a pool with slow workers a step prefers.
type speedPreference int

const (
	noPreference speedPreference = iota
	prefersFast
	prefersSlow
)

// speedPreference returns which workers a step of single tasks prefers. Urgent tasks and jobs
// that would miss the goal of their group on a slow worker prefer the others. Tasks that have
// the time prefer slow workers, which leaves the others to gangs. It is a preference: no task
// waits for it.
func (c *Core) speedPreference(r rankedStep) speedPreference {
	s := r.step
	ratio := c.pass.slowRatio(c.queueOf(s.job).Pool)
	if ratio == 1 || s.spec.Service {
		return noPreference
	}
	switch r.rank.group {
	case groupUrgent:
		return prefersFast
	case groupOnTime, groupLate:
		extra := time.Duration((slowMargin*ratio - 1) * float64(c.expectedDuration(s)))
		if c.pass.now.Add(extra).After(r.rank.latestStart) {
			return prefersFast
		}
	default: // nothing is lost if it takes longer
	}
	return prefersSlow
}

// score returns what the preference adds to the score of a worker.
func (p speedPreference) score(w *worker) float64 {
	if p == prefersFast && w.isSlow() || p == prefersSlow && !w.isSlow() {
		return slowWorkerWeight
	}
	return 0
}

// slowRatio returns how many times as long tasks take on the slow workers of a pool, as a mean
// over those that are schedulable; 1 if there are none.
func (pass *schedulingPass) slowRatio(pool string) float64 {
	if p := pass.pools[pool]; p != nil && p.slow > 0 {
		return p.slowRatios / float64(p.slow)
	}
	return 1
}

// gangsAvoidSlowFactor is how many times a gang must fit on the other workers, if these were
// empty, for it to take no slow worker.
const gangsAvoidSlowFactor = 2

// gangSpeedMaxAge is how long the decision whether a gang takes slow workers is kept, unless
// the slow workers or the answers to its calls for advice change.
const gangSpeedMaxAge = 500 * time.Millisecond

// gangSpeedChoice is a decision whether a gang takes slow workers.
type gangSpeedChoice struct {
	avoidsSlow      bool
	madeAt          time.Time
	version         int
	tickets, denied int
}

// avoidsSlow reports whether a gang takes no slow worker: the others that it may use, or for
// which it may still request advice, hold it twice over when empty. Load pattern: gangs in a
// pool with slow workers. One with a slow member holds all its cores twice as long. An urgent
// gang takes whatever is free. So does one past its useful time: no capacity is reserved for it,
// and the other workers may be full of services or of a stream of small tasks.
func (c *Core) avoidsSlow(s *step, q *workload.Queue) bool {
	if !s.spec.Gang || q.Priority == 0 || c.pass.slowRatio(q.Pool) == 1 {
		return false
	}
	now, choice := c.pass.now, &s.speedChoice
	if age := now.Sub(choice.madeAt); choice.madeAt.IsZero() || age < 0 || age >= gangSpeedMaxAge || choice.version != c.speeds.version ||
		choice.tickets != len(s.advice.tickets) || choice.denied != len(s.advice.denied) {
		*choice = gangSpeedChoice{!c.isPastUse(s, now) && c.fitsOnFast(s, q), now, c.speeds.version, len(s.advice.tickets), len(s.advice.denied)}
	}
	return choice.avoidsSlow
}

// isPastUse reports whether the step's occurrence earns nothing any more.
func (c *Core) isPastUse(s *step, now time.Time) bool {
	for _, o := range s.job.occurrences {
		if o.index == s.id.Occurrence {
			return o.pastUse(c.rankOf(s.job, o, now), now)
		}
	}
	return false
}

// fitsOnFast reports whether a gang fits gangsAvoidSlowFactor times on the workers that are
// not slow, if these were empty.
func (c *Core) fitsOnFast(s *step, q *workload.Queue) bool {
	need := float64(gangsAvoidSlowFactor * len(s.tasks))
	size := s.spec.RequiredCapacity()
	fits := 0.0
	for _, w := range c.pass.pools[q.Pool].workers {
		if w.isSlow() || !s.matchesLabel(w) || s.advice.denied[w.info.ID] {
			continue
		}
		n := float64(fitCount(w.info.Capacity, size))
		if limit := s.spec.MaxPerWorker; limit > 0 {
			n = min(n, float64(limit))
		}
		if _, known := s.advice.tickets[w.info.ID]; q.Advice != nil && !known {
			n *= assumedAllowedShare
		}
		if fits += n; fits >= need {
			return true
		}
	}
	return false
}

// workersBySpeed returns the workers that a step may take by their speed: all of them, or for
// a gang that avoids slow workers the others.
func (c *Core) workersBySpeed(s *step, workers []*worker) []*worker {
	if !c.avoidsSlow(s, c.queueOf(s.job)) {
		return workers
	}
	out := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if !w.isSlow() {
			out = append(out, w)
		}
	}
	return out
}

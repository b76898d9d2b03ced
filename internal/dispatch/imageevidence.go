package dispatch

import (
	"math"
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// Evidence from runs. A slow worker, a large task and a neighbour have different marks: all
// images are slow on a slow worker, a large task is slow beside any image and on any worker. So
// a run is compared with its siblings, corrected for its worker, and only the difference
// between runs beside an image and runs not beside it on the same worker counts. The effects of
// all neighbours are estimated together by least squares, since images that are often present
// together would otherwise be blamed for each other.
const (
	// minComparedRuns and minComparedWorkers are the least of a step that is compared.
	minComparedRuns    = 3
	minComparedWorkers = 2
	// maxComparedRuns bounds the runs of a step that are held for comparison.
	maxComparedRuns = 256
	// maxResidual bounds the influence of one run, in the logarithm of the duration: about one
	// run in thirty takes seven times as long without a cause on its worker.
	maxResidual = 0.7
	// maxPaceResidual is the same for the pace of a worker, which may differ from others by more.
	maxPaceResidual = 1.0
	// paceMemory and workerMemory are the numbers of latest runs that a worker's pace and its
	// averages for an image reflect.
	paceMemory   = 20
	workerMemory = 50
	// workerPrior is the number of runs for which the averages over all workers count in those
	// of one worker. Without them the first run on each worker would show nothing.
	workerPrior = 4
	// minPaceRuns is the number of runs from which a worker's pace is used. A pace that is wrong
	// blames the neighbours: with 3 runs, two of five trials of a minute without interference made
	// up a pair, with 8 one of forty.
	minPaceRuns = 16
	// evidenceMemory is the number of latest runs of an image that count, and evidenceHalfLife
	// the time after which they count half. Evidence of a pair that stops is replaced within
	// either.
	evidenceMemory   = 1000
	evidenceHalfLife = time.Minute
	// maxEvidenceWorkers bounds the workers with averages for one image.
	maxEvidenceWorkers = 256
	// besideShare and apartShare are the shares of a run's time from which and up to which it
	// counts as beside an image, and as not beside it.
	besideShare = 0.5
	apartShare  = 0.1
	// minDegrees is the least number of degrees of freedom for an estimate. One run in thirty is
	// an outlier, so fewer runs say little about the variance: with 8, one of 30 trials of a
	// minute without interference made up a pair.
	minDegrees = 60
	// minVariation is the least variation of a share, summed over runs, for an estimate.
	minVariation = 1.0
	// ridge is added to the variation of each share. It draws estimates from few runs to zero.
	ridge = 0.5
	// minResidualVariance is a bound from below on the variance of a run, so that a few equal
	// runs do not count as proof.
	minResidualVariance = 0.05 * 0.05
	// serviceSpan is the time over which the tail latency of a service task is averaged to one
	// observation. Reports closer to each other are not independent.
	serviceSpan = 2 * time.Second
	// usualTailWeight is the weight of one observation in the usual tail of a service's tasks.
	usualTailWeight = 0.05
	// minUsualTails is the number of observations from which the usual tail is known.
	minUsualTails = 3
)

// learnedPace is the average logarithm of the durations of runs on a worker, relative to their
// siblings.
type learnedPace struct{ runs, pace float64 }

func (p *learnedPace) add(difference float64) {
	p.runs = min(p.runs+1, paceMemory)
	p.pace += difference / p.runs
}

func clamp(x, most float64) float64 { return max(-most, min(most, x)) }

// paceOf returns the pace of a worker that is learned for placement, as the logarithm of the
// durations there relative to other workers; 0 if it is not known.
func (c *Core) paceOf(w *worker) float64 {
	if w.speed == nil || w.speed.observations < minSlowObservations {
		return 0
	}
	return w.speed.pace
}

// imagePaceOf returns the pace by which runs on a worker are corrected, and whether it is known.
func (c *Core) imagePaceOf(w *worker) (float64, bool) {
	if pace := c.paceOf(w); pace != 0 {
		return pace, true
	}
	return w.imagePace.pace, w.imagePace.runs >= minPaceRuns
}

// comparedRun is a run that ended, to be compared with its siblings.
type comparedRun struct {
	in     *interference // of the shares
	worker *worker
	logs   float64 // logarithm of the duration in seconds
	shares []imageShare
}

// compareRun records the end of a successful run. The step's runs are compared when its last
// task ends.
func (c *Core) compareRun(w *worker, s *step, t *task, now time.Time) {
	m := t.neighbours
	if m == nil || m.in != c.interference || s.spec.Gang || s.spec.Service || s.spec.BestEffort {
		return
	}
	duration := now.Sub(t.speedFrom)
	if t.run == 1 && !t.startSentAt.IsZero() && !t.speedFrom.IsZero() && t.speedFromPercent == 0 && !m.from.IsZero() && !m.from.After(t.speedFrom) && duration > 0 {
		s.compared = append(s.compared, comparedRun{m.in, w, math.Log(duration.Seconds()), m.shares(w, now)})
	}
	if s.done+1 >= len(s.tasks) || len(s.compared) >= maxComparedRuns {
		// Indices of images from before the switch was last turned off mean other images.
		runs := slices.DeleteFunc(s.compared, func(r comparedRun) bool { return r.in != m.in })
		c.compareSiblings(m.image, runs, now)
		s.compared = nil
	}
}

// compareSiblings learns from runs of one step.
func (c *Core) compareSiblings(a *image, runs []comparedRun, now time.Time) {
	workers := map[*worker]bool{}
	for _, r := range runs {
		workers[r.worker] = true
	}
	if len(runs) < minComparedRuns || len(workers) < minComparedWorkers {
		return
	}
	var logs, known []float64
	for _, r := range runs {
		pace, ok := c.imagePaceOf(r.worker)
		logs = append(logs, r.logs-pace)
		if ok {
			known = append(known, r.logs-pace)
		}
	}
	// The median, since a few siblings beside another image must not make the rest look fast.
	usual := median(logs)
	if len(known) >= minComparedRuns {
		usual = median(known)
	}
	var observations []observation
	for i, r := range runs {
		if _, ok := c.imagePaceOf(r.worker); ok {
			observations = append(observations, observation{r.worker, logs[i] - usual, r.shares})
		}
	}
	// The differences of a step add up to zero, so that chance does not move all paces.
	mean := 0.0
	differences := make([]float64, len(runs))
	for i, r := range runs {
		differences[i] = clamp(r.logs-usual-r.worker.imagePace.pace, maxPaceResidual)
		mean += differences[i] / float64(len(runs))
	}
	for i, r := range runs {
		r.worker.imagePace.add(differences[i] - mean)
	}
	a.learn(observations, now)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// usualTail is the average logarithm of the tail latency of a service's tasks on workers of one
// class.
type usualTail struct{ observations, logs float64 }

// compareTail applies the tail latency that an inventory reports for a service task.
func (c *Core) compareTail(w *worker, s *step, t *task, r workload.RunStatus, now time.Time) {
	m := t.neighbours
	if m == nil || m.in != c.interference || s.spec.TailTarget <= 0 || r.Load <= 0 {
		return
	}
	if m.from.IsZero() { // its neighbours were not observed before this report
		m.restart(w, now)
		return
	}
	m.reports++
	m.logs += math.Log(r.Load)
	if now.Sub(m.from) < serviceSpan {
		return
	}
	logs, shares := m.logs/float64(m.reports), m.shares(w, now)
	m.restart(w, now)
	if s.usualTails == nil {
		s.usualTails = map[int64]usualTail{}
	}
	class := w.info.Capacity.MilliCores
	usual := s.usualTails[class]
	if usual.observations >= minUsualTails {
		m.image.learn([]observation{{w, logs - usual.logs, shares}}, now)
	}
	usual.observations++
	usual.logs += (logs - usual.logs) * max(1/usual.observations, usualTailWeight)
	s.usualTails[class] = usual
}

// observation is a run, or a span of a service task, relative to what is usual.
type observation struct {
	worker   *worker
	residual float64 // logarithm
	shares   []imageShare
}

// imageEvidence are the sums of a regression of the residuals of one image's runs on the shares
// of their neighbours. All values are differences from the averages of the same worker.
type imageEvidence struct {
	changed   bool // since the latest estimate
	updatedAt time.Time
	fresh     int                           // runs since the latest decay
	degrees   float64                       // degrees of freedom
	yy        float64                       // squares of the residuals
	xy        [maxImages]float64            // shares with residuals
	xx        [maxImages][maxImages]float64 // shares with shares
	beside    [maxImages]float64            // sums of shares
	runs      float64                       // decayed, for share
	share     [maxImages]float64            // average shares
	seenAt    [maxImages]time.Time          // the latest run beside the image
	workers   map[string]*workerEvidence    // by worker ID
}

// workerEvidence are averages of one image's runs on a worker.
type workerEvidence struct {
	runs, residual float64
	by             []neighbourEvidence // by image
}

// neighbourEvidence is what runs on one worker show about one neighbour.
type neighbourEvidence struct {
	share         float32 // average
	xx, xy        float32 // as in imageEvidence, of this worker alone
	beside, apart float32 // decayed numbers of runs
}

// learn adds observations of siblings.
func (a *image) learn(observations []observation, now time.Time) {
	if a.evidence == nil {
		a.evidence = &imageEvidence{workers: map[string]*workerEvidence{}, updatedAt: now}
	}
	e := a.evidence
	type difference struct {
		w *workerEvidence
		y float64
		x [maxImages]float64
	}
	var diffs []difference
	var meanY float64
	var meanX [maxImages]float64
	for _, o := range observations {
		w := e.worker(o.worker.info.ID)
		if w == nil {
			continue
		}
		d := difference{w: w, y: clamp(o.residual-w.residual, maxResidual)}
		var x [maxImages]float64
		for _, sh := range o.shares {
			x[sh.image] = sh.share
			e.beside[sh.image] += sh.share
			if sh.share >= besideShare {
				e.seenAt[sh.image] = now
			}
		}
		for k := range x {
			e.share[k] += (x[k] - e.share[k]) / (e.runs + 1)
			d.x[k] = x[k] - w.shareOf(k, e)
			meanX[k] += d.x[k]
		}
		e.runs = min(e.runs+1, evidenceMemory)
		meanY += d.y
		diffs = append(diffs, d)
		w.add(d.y, &x, e)
	}
	n := float64(len(diffs))
	if n == 0 {
		return
	}
	e.fresh += len(diffs)
	e.changed = true
	siblings := len(observations) > 1
	for i := range diffs {
		d := &diffs[i]
		if siblings { // the rest of what the siblings have in common
			d.y -= meanY / n
			for k := range d.x {
				d.x[k] -= meanX[k] / n
			}
		}
		e.add(d.y, &d.x)
		for k := range d.w.by {
			n := &d.w.by[k]
			n.xx += float32(d.x[k] * d.x[k])
			n.xy += float32(d.x[k] * d.y)
		}
	}
	e.degrees += n
	if siblings {
		e.degrees--
	}
}

// add adds the differences of one run.
func (e *imageEvidence) add(y float64, x *[maxImages]float64) {
	e.yy += y * y
	for k, xk := range x {
		if xk == 0 {
			continue
		}
		e.xy[k] += xk * y
		for l, xl := range x {
			e.xx[k][l] += xk * xl
		}
	}
}

// worker returns the averages of a worker, or nil if there are too many.
func (e *imageEvidence) worker(id string) *workerEvidence {
	w := e.workers[id]
	if w == nil && len(e.workers) < maxEvidenceWorkers {
		w = &workerEvidence{runs: workerPrior}
		e.workers[id] = w
	}
	return w
}

// prune drops the averages of workers that are gone.
func (e *imageEvidence) prune(c *Core) {
	for id := range e.workers {
		if c.workers[id] == nil {
			delete(e.workers, id)
		}
	}
}

// shareOf returns the average share of an image.
func (w *workerEvidence) shareOf(k int, all *imageEvidence) float64 {
	if k < len(w.by) {
		return float64(w.by[k].share)
	}
	return all.share[k] * workerPrior / w.runs
}

// add adds a run to the averages.
func (w *workerEvidence) add(difference float64, x *[maxImages]float64, all *imageEvidence) {
	for k := range x {
		if x[k] > 0 {
			for l := len(w.by); l <= k; l++ {
				w.by = append(w.by, neighbourEvidence{share: float32(w.shareOf(l, all))})
			}
		}
	}
	w.runs = min(w.runs+1, workerMemory)
	w.residual += difference / w.runs
	for k := range w.by {
		n, share := &w.by[k], x[k]
		n.share += float32((share - float64(n.share)) / w.runs)
		const decay = 1 - 1.0/workerMemory
		n.xx, n.xy, n.beside, n.apart = n.xx*decay, n.xy*decay, n.beside*decay, n.apart*decay
		if share >= besideShare {
			n.beside++
		}
		if share <= apartShare {
			n.apart++
		}
	}
}

// forget drops an image as a neighbour.
func (e *imageEvidence) forget(index int) {
	e.xy[index], e.beside[index], e.share[index], e.seenAt[index] = 0, 0, 0, time.Time{}
	for k := range e.xx {
		e.xx[index][k], e.xx[k][index] = 0, 0
	}
	for _, w := range e.workers {
		if index < len(w.by) {
			w.by[index] = neighbourEvidence{}
		}
	}
}

// decay reduces the weight of earlier runs.
func (e *imageEvidence) decay(now time.Time) {
	factor := math.Exp(-float64(e.fresh)/evidenceMemory) * math.Exp2(-max(0, now.Sub(e.updatedAt).Seconds())/evidenceHalfLife.Seconds())
	e.fresh, e.updatedAt = 0, now
	e.degrees *= factor
	e.yy *= factor
	for k := range e.xy {
		e.xy[k] *= factor
		e.beside[k] *= factor
		for l := range e.xx[k] {
			e.xx[k][l] *= factor
		}
	}
}

// pairEstimate is the estimated effect of one neighbour.
type pairEstimate struct {
	beside        int     // image
	effect        float64 // on the logarithm of the duration
	standardError float64
	observations  float64
	workers       int
	seenAt        time.Time
}

// estimate returns the effects of the neighbours that vary enough.
func (e *imageEvidence) estimate(now time.Time) []pairEstimate {
	e.changed = false
	e.decay(now)
	var used []int
	for k := range e.xx {
		if e.xx[k][k] >= minVariation {
			used = append(used, k)
		}
	}
	free := e.degrees - float64(len(used))
	if len(used) == 0 || free < minDegrees {
		return nil
	}
	matrix := make([][]float64, len(used))
	for i, k := range used {
		for _, l := range used {
			matrix[i] = append(matrix[i], e.xx[k][l])
		}
		matrix[i][i] += ridge
	}
	inverse := invert(matrix)
	if inverse == nil {
		return nil
	}
	out := make([]pairEstimate, len(used))
	left := e.yy
	for i, k := range used {
		effect := 0.0
		for j, l := range used {
			effect += inverse[i][j] * e.xy[l]
		}
		left -= effect * e.xy[k]
		out[i] = pairEstimate{beside: k, effect: effect, observations: e.beside[k], seenAt: e.seenAt[k]}
	}
	variance := max(minResidualVariance, left/free)
	for i := range out {
		out[i].standardError = math.Sqrt(variance * inverse[i][i])
	}
	return out
}

// supporters returns the number of workers whose own runs show at least half of the smallest
// slowdown, and the number of workers that had both runs beside the image and not beside it.
func (e *imageEvidence) supporters(beside int) (supporting, informed int) {
	for _, w := range e.workers {
		if beside >= len(w.by) {
			continue
		}
		n := &w.by[beside]
		if n.beside < 0.5 || n.apart < 0.5 || n.xx <= 0 {
			continue
		}
		informed++
		if float64(n.xy/n.xx) >= math.Log(minPairSlowdown)/2 {
			supporting++
		}
	}
	return supporting, informed
}

// invert returns the inverse of a symmetric positive definite matrix, or nil if rounding has
// made it singular. It overwrites the matrix.
func invert(m [][]float64) [][]float64 {
	n := len(m)
	inverse := make([][]float64, n)
	for i := range inverse {
		inverse[i] = make([]float64, n)
		inverse[i][i] = 1
	}
	for i := range n {
		pivot := m[i][i]
		if !(pivot > 1e-9) {
			return nil
		}
		for k := range n {
			m[i][k] /= pivot
			inverse[i][k] /= pivot
		}
		for j := range n {
			if f := m[j][i]; j != i && f != 0 {
				for k := range n {
					m[j][k] -= f * m[i][k]
					inverse[j][k] -= f * inverse[i][k]
				}
			}
		}
	}
	return inverse
}

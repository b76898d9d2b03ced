package sched

import (
	"slices"
	"time"
)

const (
	// A worker is quarantined when the blame for failures reaches minBlame, either
	// since its last success, or over its recent ends if the blame is also at least
	// minBlameRatio of them.
	minBlame      = 3.0
	minBlameRatio = 0.8
	// healthDecay is the factor by which each new end reduces the weight of older
	// ones.
	healthDecay = 0.9
	// unknownKindBlame is the blame for a failure of a kind of job that has not run on
	// another worker yet.
	unknownKindBlame = 0.5
	// maxKindEnds is the number of workers for which the last end of a kind is kept.
	// It bounds how many failing workers of a shard a kind can avoid.
	maxKindEnds = 32
	// maxKindSuccesses is how many of the kept ends may be successes; the rest is for
	// failures.
	maxKindSuccesses = 8
	// probeDelay is how long a worker is quarantined before it is probed.
	probeDelay = 30 * time.Second
	// quarantineDivisor bounds the unhealthy workers to one plus 1/quarantineDivisor
	// of all workers.
	quarantineDivisor = 5
)

// health tracks the successes and failures of tasks on one worker.
type health struct {
	successes, blame  float64 // decaying counts
	blameSinceSuccess float64 // blame since the last success
	quarantined       bool
	probing           bool // gets one restartable task at a time
	probeBackoff      workerBackoff
}

// kindEnd records whether the last task of a kind failed on one worker.
type kindEnd struct {
	worker *worker
	failed bool
}

// observeEnd updates the run time estimate and the worker's health after an attempt.
func (c *Core) observeEnd(a *attempt, end End) {
	if end != EndDone && end != EndFailed {
		return
	}
	est := a.job.estimate
	failed, blame := end == EndFailed, unknownKindBlame
	if !failed {
		a.job.longestRunTime = max(a.job.longestRunTime, c.now.Sub(a.started))
	}
	if est != nil {
		if !failed {
			est.observeRunTime(c.now.Sub(a.started))
		}
		blame = est.blameFor(a.worker)
		est.observeEnd(a.worker, failed)
	}
	c.updateHealth(a.worker, failed, blame)
}

// observeEnd records the last end on each worker. Only the last one counts, so that a
// worker that quickly fails every task counts once.
func (e *estimate) observeEnd(w *worker, failed bool) {
	if i := slices.IndexFunc(e.lastEnds, func(k kindEnd) bool { return k.worker == w }); i >= 0 {
		e.lastEnds[i].failed = failed
		return
	}
	if i := e.evictionIndex(failed); i >= 0 {
		e.lastEnds = slices.Delete(e.lastEnds, i, i+1)
	}
	e.lastEnds = append(e.lastEnds, kindEnd{w, failed})
}

// evictionIndex returns the index of the end that a new one replaces, or -1: the
// oldest success if there are maxKindSuccesses of them, or else the oldest end if
// there are maxKindEnds.
func (e *estimate) evictionIndex(failed bool) int {
	successes, oldest := 0, -1
	for i, k := range e.lastEnds {
		if k.failed {
			continue
		}
		if oldest < 0 {
			oldest = i
		}
		successes++
	}
	switch {
	case !failed && successes >= maxKindSuccesses:
		return oldest
	case len(e.lastEnds) < maxKindEnds:
		return -1
	}
	return 0
}

// failedLastOn reports whether the kind failed on w when it last ran there. It is
// false for a nil estimate.
func (e *estimate) failedLastOn(w *worker) bool {
	if e == nil {
		return false
	}
	for i := range e.lastEnds {
		if e.lastEnds[i].worker == w {
			return e.lastEnds[i].failed
		}
	}
	return false
}

// blameFor returns the blame that w gets for a failure: the fraction of the other
// workers on which the last task of the kind succeeded. If the kind ran on no other
// worker, only its first failure on w counts.
func (e *estimate) blameFor(w *worker) float64 {
	failed, others, failedHere := 0, 0, false
	for _, k := range e.lastEnds {
		if k.worker == w {
			failedHere = k.failed
			continue
		}
		others++
		if k.failed {
			failed++
		}
	}
	switch {
	case others > 0:
		return 1 - float64(failed)/float64(others)
	case failedHere:
		return 0
	}
	return unknownKindBlame
}

// updateHealth counts a success or a failure of the worker.
func (c *Core) updateHealth(w *worker, failed bool, blame float64) {
	h := &w.health
	if !failed {
		h.successes = h.successes*healthDecay + 1
		h.blame *= healthDecay
		h.blameSinceSuccess = 0
		if h.probing {
			c.endProbe(w)
		}
		return
	}
	h.successes *= healthDecay
	h.blame = h.blame*healthDecay + blame
	h.blameSinceSuccess += blame
	if h.probing && blame >= unknownKindBlame {
		c.quarantine(w, "the task that probed the worker failed")
		return
	}
	if h.blameSinceSuccess >= minBlame || h.blame >= minBlame && h.blame >= minBlameRatio*(h.successes+h.blame) {
		c.quarantine(w, "tasks fail on this worker that run elsewhere")
	}
}

// quarantine stops placing tasks on a failing worker, unless so many workers are
// unhealthy already that the workers are unlikely to be the cause.
func (c *Core) quarantine(w *worker, reason string) {
	h := &w.health
	if h.quarantined || (!h.probing && c.unhealthyWorkers >= 1+len(c.indexedWorkers)/quarantineDivisor) {
		return
	}
	if !h.probing {
		c.unhealthyWorkers++
	}
	h.quarantined, h.probing = true, false
	c.updateIndex(w)
	c.timers.schedule(c.now.Add(h.probeBackoff.nextPause(c.now, probeDelay)), timerWorker, w, nil, nil)
	c.emit(WorkerHealthChanged{Worker: w.spec.ID, Quarantined: true, Reason: reason})
}

// endProbe ends the probing of a worker on which a task succeeded.
func (c *Core) endProbe(w *worker) {
	w.health.probing = false
	w.health.blame, w.health.blameSinceSuccess = 0, 0
	c.unhealthyWorkers--
	c.capacityFreed(w)
}

// handleWorkerTimer ends a pause, or starts probing a quarantined worker.
func (c *Core) handleWorkerTimer(w *worker) {
	h := &w.health
	if h.quarantined && !c.now.Before(h.probeBackoff.lastAt.Add(probeDelay)) {
		h.quarantined, h.probing = false, true
		c.emit(WorkerHealthChanged{Worker: w.spec.ID, Reason: "one task at a time probes the worker"})
	}
	c.capacityFreed(w)
}

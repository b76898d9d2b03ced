package sched

import (
	"slices"
	"time"
)

const (
	// A worker is taken out when the failures held against it reach minBlame,
	// either since its last success, or if they are at least blamePart of what
	// it ran of late.
	minBlame  = 3.0
	blamePart = 0.8
	// healthDecay is how much each new end lessens the weight of older ones.
	healthDecay = 0.9
	// unknownKindBlame is how much of a failure is held against the worker if
	// the kind of job ran nowhere else yet.
	unknownKindBlame = 0.5
	// kindEnds is on how many workers the last end of a kind is remembered. It
	// bounds how many failing workers of a shard a kind can keep away from.
	kindEnds = 32
	// kindGoods is how many of them may have ended well; the rest is for failures.
	kindGoods = 8
	// probeDelay is how long a worker is out before one task is tried again.
	probeDelay = 30 * time.Second
	// maxOutPart is the part of the workers that may be out at once, as a divisor.
	maxOutPart = 5
)

// health is a worker's own success rate.
type health struct {
	good, blame float64 // decaying counts
	streak      float64 // blame since the last success
	out         bool
	probing     bool // back in for one restartable task at a time
	probes      pauser
}

// kindEnd is how the last task of a kind ended on one worker.
type kindEnd struct {
	worker *worker
	failed bool
}

// observeEnd learns from the end of an attempt.
func (c *Core) observeEnd(a *attempt, end End) {
	if end != EndDone && end != EndFailed {
		return
	}
	est := a.job.est
	failed, blame := end == EndFailed, unknownKindBlame
	if !failed {
		a.job.longest = max(a.job.longest, c.now.Sub(a.started))
	}
	if est != nil {
		if !failed {
			est.observeRunTime(c.now.Sub(a.started))
		}
		blame = est.blame(a.worker)
		est.observeEnd(a.worker, failed)
	}
	c.judge(a.worker, failed, blame)
}

// observeEnd remembers the last end on each worker, so that one worker that
// fails everything quickly counts once.
func (e *estimate) observeEnd(w *worker, failed bool) {
	if i := slices.IndexFunc(e.ends, func(k kindEnd) bool { return k.worker == w }); i >= 0 {
		e.ends[i].failed = failed
		return
	}
	if i := e.toForget(failed); i >= 0 {
		e.ends = slices.Delete(e.ends, i, i+1)
	}
	e.ends = append(e.ends, kindEnd{w, failed})
}

// toForget returns which end gives way to a new one, or -1: the oldest good one
// if there are enough of them, else the oldest of all if the memory is full.
func (e *estimate) toForget(failed bool) int {
	goods, oldest := 0, -1
	for i, k := range e.ends {
		if k.failed {
			continue
		}
		if oldest < 0 {
			oldest = i
		}
		goods++
	}
	switch {
	case !failed && goods >= kindGoods:
		return oldest
	case len(e.ends) < kindEnds:
		return -1
	}
	return 0
}

// doubts reports whether the kind failed on w when it last ran there. A nil
// estimate doubts nothing.
func (e *estimate) doubts(w *worker) bool {
	if e == nil {
		return false
	}
	for i := range e.ends {
		if e.ends[i].worker == w {
			return e.ends[i].failed
		}
	}
	return false
}

// blame returns how much of a failure on w is held against w: the part of the
// other workers on which the kind ended well last. If it ran on no other, only
// its first failure counts.
func (e *estimate) blame(w *worker) float64 {
	failed, others, failedHere := 0, 0, false
	for _, k := range e.ends {
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

// judge counts an end for or against the worker.
func (c *Core) judge(w *worker, failed bool, blame float64) {
	h := &w.health
	if !failed {
		h.good = h.good*healthDecay + 1
		h.blame *= healthDecay
		h.streak = 0
		if h.probing {
			c.probed(w)
		}
		return
	}
	h.good *= healthDecay
	h.blame = h.blame*healthDecay + blame
	h.streak += blame
	if h.probing && blame >= unknownKindBlame {
		c.takeOut(w, "the task that probed the worker failed")
		return
	}
	if h.streak >= minBlame || h.blame >= minBlame && h.blame >= blamePart*(h.good+h.blame) {
		c.takeOut(w, "tasks fail on this worker that run elsewhere")
	}
}

// takeOut keeps work off a worker that fails what it starts, unless so many
// are out already that the workers can hardly be to blame.
func (c *Core) takeOut(w *worker, reason string) {
	h := &w.health
	if h.out || (!h.probing && c.suspects >= 1+len(c.byPos)/maxOutPart) {
		return
	}
	if !h.probing {
		c.suspects++
	}
	h.out, h.probing = true, false
	c.refresh(w)
	c.timers.push(c.now.Add(h.probes.next(c.now, probeDelay)), timerWorker, w, nil, nil)
	c.decide(WorkerHealthChanged{Worker: w.spec.ID, Quarantined: true, Reason: reason})
}

// probed ends the probe of a worker that ran a task well.
func (c *Core) probed(w *worker) {
	w.health.probing = false
	w.health.blame, w.health.streak = 0, 0
	c.suspects--
	c.grew(w)
}

// workerTimer ends a pause, or begins the probe of a worker that is out.
func (c *Core) workerTimer(w *worker) {
	h := &w.health
	if h.out && !c.now.Before(h.probes.last.Add(probeDelay)) {
		h.out, h.probing = false, true
		c.decide(WorkerHealthChanged{Worker: w.spec.ID, Reason: "one task at a time probes the worker"})
	}
	c.grew(w)
}

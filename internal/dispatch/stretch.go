package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// Judging how fast workers are. Load pattern: workers that turn several times
// slower while they look healthy. Estimates are off by half or more, so a worker
// is compared with the cell, over many tasks.
const (
	stretchWeight     = 0.1  // of one report in a worker's stretch
	cellStretchWeight = 0.01 // of one report in the cell's
	// slowFactor times the cell's stretch is slow; slowPenalty is what a slow
	// worker's score is worse by, in shares of a worker's capacity.
	slowFactor  = 2.2
	slowPenalty = 2.0
)

// noteStretch takes in the pace of a task that runs.
func (c *Core) noteStretch(w *worker, s *step, t *task, r workload.RunStatus, now time.Time) {
	elapsed := now.Sub(t.confirmed)
	if s.spec.Service || s.spec.BestEffort || s.spec.Estimate <= 0 || t.saved != "" && t.run > 1 || r.Percent >= 100 {
		return
	}
	if r.Percent < progressLeast && elapsed < s.spec.Estimate {
		return
	}
	ratio := float64(elapsed) / float64(s.spec.Estimate) * 100 / float64(max(1, r.Percent))
	smooth := func(old *float64, weight float64) {
		if *old == 0 {
			*old = ratio
		}
		*old += weight * (ratio - *old)
	}
	smooth(&w.stretch, stretchWeight)
	smooth(&c.stretch, cellStretchWeight)
}

// slow reports whether a worker is much slower than the cell.
func (c *Core) slow(w *worker) bool {
	return w.stretch > 0 && c.stretch > 0 && w.stretch > slowFactor*c.stretch
}

package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// Detection of slow workers. Load pattern: workers that become several times slower while
// they appear healthy. Estimates are wrong by half or more, so a worker is compared with
// the cell, over many tasks.
const (
	slowdownWeight     = 0.1  // weight of one report in a worker's slowdown
	cellSlowdownWeight = 0.01 // weight of one report in the cell's slowdown
	// A worker is slow if its slowdown exceeds slowFactor times that of the cell.
	// slowPenalty is added to the score of a slow worker, in shares of a worker's
	// capacity.
	slowFactor  = 2.2
	slowPenalty = 2.0
)

// recordSlowdown applies the speed of a running task. It is not known of a run that an
// earlier term has started, since only its progress is.
func (c *Core) recordSlowdown(w *worker, s *step, t *task, r workload.RunStatus, now time.Time) {
	if t.startSentAt.IsZero() {
		return
	}
	elapsed := now.Sub(t.startConfirmed)
	if s.spec.Service || s.spec.BestEffort || s.spec.Estimate <= 0 || t.checkpoint != "" && t.run > 1 || r.Percent >= 100 {
		return
	}
	if r.Percent < minProgress && elapsed < s.spec.Estimate {
		return
	}
	ratio := float64(elapsed) / float64(s.spec.Estimate) * 100 / float64(max(1, r.Percent))
	smooth := func(old *float64, weight float64) {
		if *old == 0 {
			*old = ratio
		}
		*old += weight * (ratio - *old)
	}
	smooth(&w.slowdown, slowdownWeight)
	smooth(&c.slowdown, cellSlowdownWeight)
}

// slow reports whether a worker is much slower than the average of the cell.
func (c *Core) slow(w *worker) bool {
	return w.slowdown > 0 && c.slowdown > 0 && w.slowdown > slowFactor*c.slowdown
}

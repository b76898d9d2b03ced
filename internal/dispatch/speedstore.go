package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Weight of speeds that this term has not observed itself.
const (
	// maxRestoredObservations bounds the weight of a restored speed. It suffices for a worker
	// to be slow at once.
	maxRestoredObservations = 5.0
	// otherIncarnationObservations is the largest weight of a pace that another incarnation of
	// the worker has shown. It is too little for a worker to count as slow.
	otherIncarnationObservations = 1.0
)

// WorkerSpeed is the speed of a worker as it has been observed.
type WorkerSpeed struct {
	Worker      string
	Incarnation int64 // 0 if it was not known
	// Pace is the logarithm of the duration of the worker's tasks beside tasks of the same
	// steps on other workers.
	Pace float64
	// Observations is the number of observed tasks, less those that are outdated.
	Observations float64
}

// minStoredObservations is the least number of observations of a speed worth storing.
const minStoredObservations = 1.0

// WorkerSpeeds returns the known speeds, those with the most observations first.
func (c *Core) WorkerSpeeds() []WorkerSpeed {
	out := make([]WorkerSpeed, 0, len(c.speeds.byWorker))
	for id, v := range c.speeds.byWorker {
		if v.observations >= minStoredObservations {
			out = append(out, WorkerSpeed{id, v.incarnation, v.pace, v.observations})
		}
	}
	slices.SortFunc(out, func(a, b WorkerSpeed) int {
		return cmp.Or(cmp.Compare(b.Observations, a.Observations), strings.Compare(a.Worker, b.Worker))
	})
	return out
}

// RestoreWorkerSpeeds adds the speeds that an earlier term has stored, with reduced weight.
// What this term has observed itself is kept where it weighs more. It does nothing unless
// speeds are learned.
func (c *Core) RestoreWorkerSpeeds(stored []WorkerSpeed) {
	if !c.policy.LearnSpeeds {
		return
	}
	for _, x := range stored {
		if x.Worker == "" || math.IsNaN(x.Pace) || math.IsInf(x.Pace, 0) || !(x.Observations > 0) || len(c.speeds.byWorker) >= maxSpeeds {
			continue
		}
		observations := min(x.Observations, maxRestoredObservations)
		if v := c.speeds.byWorker[x.Worker]; v != nil && v.observations >= observations {
			continue
		}
		v := c.speedOf(x.Worker)
		now := v.incarnation
		v.incarnation, v.pace, v.observations = x.Incarnation, x.Pace, observations
		if now != 0 {
			v.newIncarnation(now)
		}
	}
}

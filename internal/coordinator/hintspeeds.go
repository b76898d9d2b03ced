package coordinator

import (
	"time"

	"cuminloft/internal/dispatch"
)

// speedHint is the stored form of a dispatch.WorkerSpeed.
type speedHint struct {
	Worker       string  `json:"w"`
	Incarnation  int64   `json:"i,omitempty"`
	Pace         float64 `json:"p"`
	Observations float64 `json:"n"`
}

const (
	// maxStoredPace bounds the logarithm of a stored pace: a worker that is 1,000 times
	// slower than others is no worker.
	maxStoredPace = 7
	// maxStaleObservations bounds the observations of a stale speed before staleHintWeight
	// applies. The core itself bounds those of a restored speed, so that the weight alone
	// would not reduce the many observations of a busy worker.
	maxStaleObservations = 6
)

func speedHints(c *dispatch.Core) []speedHint {
	speeds := c.WorkerSpeeds()
	out := make([]speedHint, 0, len(speeds))
	for _, s := range speeds {
		s.Pace, s.Observations = round3(s.Pace), round3(s.Observations)
		out = append(out, speedHint(s))
	}
	return out
}

func restoreSpeedHints(c *dispatch.Core, all []speedHint) {
	speeds := make([]dispatch.WorkerSpeed, 0, len(all))
	for _, h := range all {
		speeds = append(speeds, dispatch.WorkerSpeed(h))
	}
	c.RestoreWorkerSpeeds(speeds)
}

// information implements hintEntry.
func (h speedHint) information() float64 { return h.Observations }

// usable implements hintEntry.
func (h speedHint) usable() bool {
	return h.Worker != "" && h.Observations > 0 && h.Pace >= -maxStoredPace && h.Pace <= maxStoredPace
}

// aged implements hintEntry.
func (h speedHint) aged(_ time.Duration, weight float64) speedHint {
	if weight < 1 {
		h.Observations = min(h.Observations, maxStaleObservations) * weight
	}
	return h
}

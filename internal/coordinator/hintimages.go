package coordinator

import (
	"time"

	"cuminloft/internal/dispatch"
)

// imageHint is the stored form of a dispatch.ImagePair.
type imageHint struct {
	Slowed       string  `json:"s"`
	Beside       string  `json:"b"`
	Slowdown     float64 `json:"f"`
	Observations float64 `json:"n"`
	Workers      int     `json:"w"`
	AgeMS        int64   `json:"a"` // when the row was written
}

// imageAgeStep rounds the stored age of a pair. Without it a row whose evidence does not
// change would be written every time.
const imageAgeStep = 10 * time.Second

func imageHints(c *dispatch.Core) []imageHint {
	pairs := c.ImagePairs()
	out := make([]imageHint, 0, len(pairs))
	for _, p := range pairs {
		p.Slowdown, p.Observations = round3(p.Slowdown), round3(p.Observations)
		p.AgeMS -= p.AgeMS % imageAgeStep.Milliseconds()
		out = append(out, imageHint(p))
	}
	return out
}

func restoreImageHints(c *dispatch.Core, all []imageHint) {
	pairs := make([]dispatch.ImagePair, 0, len(all))
	for _, h := range all {
		pairs = append(pairs, dispatch.ImagePair(h))
	}
	c.RestoreImagePairs(pairs)
}

// information implements hintEntry.
func (h imageHint) information() float64 { return h.Observations }

// usable implements hintEntry.
func (h imageHint) usable() bool {
	return h.Slowed != "" && h.Beside != "" && h.Slowdown > 0 && h.Observations > 0 && h.Workers >= 0 && h.AgeMS >= 0
}

// aged implements hintEntry.
func (h imageHint) aged(age time.Duration, weight float64) imageHint {
	h.AgeMS += age.Milliseconds()
	h.Observations *= weight
	return h
}

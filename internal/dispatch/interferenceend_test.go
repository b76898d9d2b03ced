package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crash of the coordinator when one review both contradicts a pair and shows
// another one of the same image.
func TestReviewThatEndsAPairAndShowsAnother(t *testing.T) {
	is := is.New(t)
	core := New()
	core.SetPolicy(Policy{SeparateImages: true})
	in := core.interference
	now := time.Unix(1_700_000_000, 0)
	slowed, harmless, harmful := in.image("slowed"), in.image("harmless"), in.image("harmful")
	var workers []*worker
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		w := core.ensureWorker(id)
		w.registered = true
		workers = append(workers, w)
	}
	core.keepApart(ImagePair{Slowed: "slowed", Beside: "harmless", Slowdown: 3, Observations: 50, Workers: 4}, now, now, "an earlier term")
	draw := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		var observations []observation
		for _, w := range workers {
			a, b := float64(draw.IntN(2)), float64(draw.IntN(2))
			observations = append(observations, observation{w, 0.5*b + 0.01*draw.NormFloat64(), []imageShare{{harmless.index, a}, {harmful.index, b}}})
		}
		slowed.learn(observations, now)
	}
	core.reviewImages(now.Add(2 * imageReviewInterval))
	is.True(in.pairs[[2]string{"slowed", "harmless"}] == nil)
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// playDecisions plays a pattern with a policy. It returns the events of the core in the order in
// which they happened, without that of the policy itself.
func playDecisions(p pattern, policy Policy) []string {
	r := newReplay(p, 0)
	r.core.SetPolicy(policy)
	r.core.TakeEvents()
	var out []string
	r.eachStep = func() {
		for _, e := range r.core.TakeEvents() {
			out = append(out, fmt.Sprint(r.now.Sub(r.begin), " ", e.Name, " ", e.Fields))
		}
	}
	r.play()
	return out
}

// Guards against an effect on pools that have no slow workers: with equal workers, and with a
// third that takes 1.3 times as long, each decision is the same as without learning.
func TestPoolWithoutSlowWorkersIsScheduledAsBefore(t *testing.T) {
	for name, p := range map[string]pattern{"equal": fullBursts(), "nearly equal": narrowBursts()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p.length = 8 * time.Second
			off, on := playDecisions(p, Policy{}), playDecisions(p, Policy{LearnSpeeds: true})
			for i := range min(len(off), len(on)) {
				is.Equal(on[i], off[i])
			}
			is.Equal(len(on), len(off))
			is.True(len(on) > 5000)
		})
	}
}

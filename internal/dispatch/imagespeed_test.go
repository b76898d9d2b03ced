package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against an urgent task that is moved away from a neighbour that costs it a half, to a
// slow worker where it takes more than twice as long.
func TestSeparationRespectsThePreferenceForFastWorkers(t *testing.T) {
	is := is.New(t)
	c := unlikeCell(t, 0, 2, nil)
	c.core.SetPolicy(Policy{LearnSpeeds: true, SeparateImages: true})
	c.core.RestoreImagePairs([]ImagePair{{Slowed: "a", Beside: "b", Slowdown: 1.5, Observations: 100, Workers: 5}})
	c.core.Tick(c.now)
	c.core.SetEvacuated("b", true)
	c.addJob("b", workload.Step{Tasks: 6, MaxPerWorker: 1, Resources: cores(2), Image: "b", Estimate: time.Hour})
	is.Equal(len(c.startTasks(nil)), 6)
	c.core.SetEvacuated("b", false)
	c.addJob("a", workload.Step{Tasks: 1, Resources: cores(2), Image: "a", Estimate: time.Second})
	starts := c.startTasks(nil)
	is.Equal(len(starts), 1)
	is.True(strings.HasPrefix(starts[0].Worker.ID, "fast"))
}

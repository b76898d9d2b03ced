package sched

import (
	"testing"

	"cuminloft/internal/model"
)

// Guards against mixing up unlimited and not granted: a shard may hold slots but no
// accelerators of a team's limit. Then tasks without accelerators start and tasks with
// accelerators do not.
func TestLimitVecZeroIsUnlimitedNegativeIsNothing(t *testing.T) {
	limit := limitVec(model.Resources{Slots: 2, Accelerators: -1})
	used := vec{}
	for _, c := range []struct {
		size model.Resources
		fits bool
	}{
		{model.Resources{Slots: 2, MemoryMB: 1 << 30}, true},
		{model.Resources{Slots: 3}, false},
		{model.Resources{Slots: 1, Accelerators: 1}, false},
	} {
		size := newVec(c.size, 0)
		if size.fitsWithin(&used, &limit) != c.fits {
			t.Errorf("%v fits: want %v", c.size, c.fits)
		}
	}
}

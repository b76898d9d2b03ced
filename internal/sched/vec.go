package sched

import (
	"math"

	"cuminloft/internal/model"
)

// The components of a vec.
const (
	dimCores = iota // thousandths of a core
	dimMemory
	dimAccelerators
	dimSlots
	dimConnections
	dims
)

// unlimited is the value of a component without a bound.
const unlimited = math.MaxInt64

// vec is a resource vector: the components of model.Resources and the number of
// connections.
type vec [dims]int64

func newVec(r model.Resources, connections int) vec {
	return vec{r.MilliCores, r.MemoryMB, r.Accelerators, r.Slots, int64(connections)}
}

// limitVec converts an upper limit or grant to a vec. Zero components become
// unlimited, negative ones zero.
func limitVec(r model.Resources) vec {
	v := newVec(r, 0)
	for i := range v {
		switch {
		case v[i] == 0:
			v[i] = unlimited
		case v[i] < 0:
			v[i] = 0
		}
	}
	return v
}

func unlimitedVec() vec { return limitVec(model.Resources{}) }

func (v vec) resources() model.Resources {
	return model.Resources{
		MilliCores:   v[dimCores],
		MemoryMB:     v[dimMemory],
		Accelerators: v[dimAccelerators],
		Slots:        v[dimSlots],
	}
}

func (v *vec) add(o *vec) {
	for i := range v {
		v[i] += o[i]
	}
}

func (v *vec) sub(o *vec) {
	for i := range v {
		v[i] -= o[i]
	}
}

func (v *vec) addScaled(o *vec, n int64) {
	for i := range v {
		v[i] += o[i] * n
	}
}

func (v *vec) raiseTo(o *vec) {
	for i := range v {
		v[i] = max(v[i], o[i])
	}
}

// fits reports whether v is at most o in every component.
func (v *vec) fits(o *vec) bool {
	return v[0] <= o[0] && v[1] <= o[1] && v[2] <= o[2] && v[3] <= o[3] && v[4] <= o[4]
}

// fitsWithin reports whether v plus used is at most limit in every component,
// including those in which v is zero.
func (v *vec) fitsWithin(used, limit *vec) bool {
	for i := range v {
		if v[i] > limit[i]-used[i] {
			return false
		}
	}
	return true
}

// fitCount returns how many times need fits into v, at most bound.
func (v *vec) fitCount(need *vec, bound int) int {
	n := int64(bound)
	for i := range v {
		if need[i] > 0 {
			n = min(n, max(v[i], 0)/need[i])
		}
	}
	return int(n)
}

// dominantShare returns the largest fraction of total that v takes in any component
// but the connections. Components that are zero in total are skipped.
func (v *vec) dominantShare(total *vec) float64 {
	share := 0.0
	for i := range dimConnections {
		if total[i] > 0 {
			share = max(share, float64(v[i])/float64(total[i]))
		}
	}
	return share
}

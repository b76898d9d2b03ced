package sched

// capacityIndex finds workers with enough free capacity in roughly logarithmic time.
// It is a segment tree over the workers in a fixed order; each node holds the
// component-wise maximum of the free capacity in its subtree.
type capacityIndex struct {
	leaves int // power of two
	nodes  []vec
}

// noCapacity is the free capacity of a worker on which no task may start: even a task
// that requests nothing does not fit.
func noCapacity() vec { return vec{-1, -1, -1, -1, -1} }

func newCapacityIndex(workers int) capacityIndex {
	leaves := 1
	for leaves < workers {
		leaves *= 2
	}
	ix := capacityIndex{leaves: leaves, nodes: make([]vec, 2*leaves)}
	for i := range ix.nodes {
		ix.nodes[i] = noCapacity()
	}
	return ix
}

// set records the free capacity of the worker at position pos.
func (ix *capacityIndex) set(pos int, free vec) {
	i := pos + ix.leaves
	ix.nodes[i] = free
	for i >>= 1; i >= 1; i >>= 1 {
		top := ix.nodes[2*i]
		top.raiseTo(&ix.nodes[2*i+1])
		if ix.nodes[i] == top {
			return
		}
		ix.nodes[i] = top
	}
}

// nextFit returns the first position at or after from whose free capacity fits need,
// or -1.
func (ix *capacityIndex) nextFit(need *vec, from int) int {
	if from >= ix.leaves {
		return -1
	}
	i := 1
	if from > 0 {
		i = from + ix.leaves
	}
	for {
		if need.fits(&ix.nodes[i]) {
			if i >= ix.leaves {
				return i - ix.leaves
			}
			i *= 2
			continue
		}
		// Move to the next subtree on the right.
		for i&1 == 1 {
			i >>= 1
		}
		if i == 0 {
			return -1
		}
		i++
	}
}

package sched

// roomIndex finds workers with enough free room in about the logarithm of
// their number. It is a segment tree over workers in a fixed order; each node
// holds the component-wise maximum of the free room below it.
type roomIndex struct {
	leaves int // power of two
	nodes  []vec
}

// blockedRoom is the free room of a worker that may get nothing: even a task
// that asks for nothing does not fit.
func blockedRoom() vec { return vec{-1, -1, -1, -1, -1} }

func newRoomIndex(workers int) roomIndex {
	leaves := 1
	for leaves < workers {
		leaves *= 2
	}
	ix := roomIndex{leaves: leaves, nodes: make([]vec, 2*leaves)}
	for i := range ix.nodes {
		ix.nodes[i] = blockedRoom()
	}
	return ix
}

// set records the free room of the worker at position pos.
func (ix *roomIndex) set(pos int, free vec) {
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

// next returns the first position at or after from whose free room holds need,
// or -1.
func (ix *roomIndex) next(need *vec, from int) int {
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

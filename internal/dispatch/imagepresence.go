package dispatch

import "time"

// image is one of the images that are told apart.
type image struct {
	index    int // in interference.images
	name     string
	tasks    int // tasks that may be running
	usedAt   time.Time
	evidence *imageEvidence // how tasks of this image are slowed down; nil: none
}

// image returns the image with this name, or nil if as many others are in use. An image
// without running tasks makes room for it.
func (in *interference) image(name string) *image {
	if a := in.byName[name]; a != nil || name == "" {
		return a
	}
	oldest := 0
	for i, a := range in.images {
		if a == nil {
			oldest = i
			break
		}
		if o := in.images[oldest]; o.tasks > 0 || a.tasks == 0 && a.usedAt.Before(o.usedAt) {
			oldest = i
		}
	}
	if o := in.images[oldest]; o != nil {
		if o.tasks > 0 {
			return nil
		}
		delete(in.byName, o.name)
		for _, a := range in.images {
			if a.evidence != nil {
				a.evidence.forget(oldest)
			}
		}
	}
	a := &image{index: oldest, name: name}
	in.images[oldest], in.byName[name] = a, a
	return a
}

// imagePresence sums up the time for which tasks of an image were on a worker.
type imagePresence struct {
	image  int // in interference.images
	tasks  int
	since  time.Time     // the sums are those up to this time
	any    time.Duration // with one task or more
	shared time.Duration // with two tasks or more: for tasks of the image itself
}

// advance updates the sums.
func (p *imagePresence) advance(now time.Time) {
	if span := now.Sub(p.since); span > 0 && !p.since.IsZero() {
		if p.tasks >= 1 {
			p.any += span
		}
		if p.tasks >= 2 {
			p.shared += span
		}
	}
	p.since = now
}

// presenceMark is a task's image, and the sums of its worker at the start of an observation.
// The share of a neighbour follows from the difference at its end, so that nothing is done for
// the other tasks of a worker when one starts or ends.
type presenceMark struct {
	in    *interference // ignored if the switch was off since
	image *image
	from  time.Time // zero for tasks that ran already when the switch was turned on
	sums  []imagePresence
	// Service tasks: the number and the sum of logarithms of the reported tail latencies.
	reports int
	logs    float64
}

// noteNeighbours counts a task that was charged to a worker as a neighbour there.
func (c *Core) noteNeighbours(w *worker, s *step, t *task) {
	in := c.interference
	t.neighbours = nil
	if in == nil {
		return
	}
	a := in.image(s.spec.Image)
	if a == nil {
		return
	}
	a.tasks++
	a.usedAt = in.now
	w.imagePresence(a.index, in.now).addTasks(1, in.now)
	t.neighbours = &presenceMark{in: in, image: a}
	t.neighbours.restart(w, in.now)
}

// dropNeighbours ends what noteNeighbours has begun.
func (c *Core) dropNeighbours(w *worker, t *task) {
	m := t.neighbours
	t.neighbours = nil
	if m == nil || m.in != c.interference {
		return
	}
	m.image.tasks--
	m.image.usedAt = m.in.now
	if w != nil {
		w.imagePresence(m.image.index, m.in.now).addTasks(-1, m.in.now)
	}
}

// imagePresence returns the entry of an image.
func (w *worker) imagePresence(index int, now time.Time) *imagePresence {
	for i := range w.images {
		if w.images[i].image == index {
			return &w.images[i]
		}
	}
	w.images = append(w.images, imagePresence{image: index, since: now})
	return &w.images[len(w.images)-1]
}

func (p *imagePresence) addTasks(n int, now time.Time) {
	p.advance(now)
	p.tasks += n
}

// restart begins an observation.
func (m *presenceMark) restart(w *worker, now time.Time) {
	for i := range w.images {
		w.images[i].advance(now)
	}
	m.from, m.reports, m.logs = now, 0, 0
	m.sums = append(m.sums[:0], w.images...)
}

// imageShare is the share of an observation's time for which another image was present.
type imageShare struct {
	image int
	share float64
}

// shares returns the shares of the images that were present during the observation.
func (m *presenceMark) shares(w *worker, now time.Time) []imageShare {
	whole := now.Sub(m.from)
	if whole <= 0 {
		return nil
	}
	var out []imageShare
	for i := range w.images {
		p := &w.images[i]
		p.advance(now)
		present := p.presentFor(m.image.index)
		if i < len(m.sums) && m.sums[i].image == p.image { // entries are never removed
			present -= m.sums[i].presentFor(m.image.index)
		}
		if present > 0 {
			out = append(out, imageShare{p.image, min(1, present.Seconds()/whole.Seconds())})
		}
	}
	return out
}

// presentFor returns the time for which a task of the given image had this one beside it.
func (p *imagePresence) presentFor(index int) time.Duration {
	if p.image == index {
		return p.shared
	}
	return p.any
}

package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Images that slow each other down on one worker. Tasks of one image behave alike, so runs are
// compared by image: beside which other images a task ran (imagepresence.go), how much longer
// it took than its siblings (imageevidence.go), which pairs of images follow from that (this
// file), and where tasks start instead (imageplace.go).
const (
	// maxImages bounds the images that are told apart. The least recently used are forgotten.
	maxImages = 64
	// maxImagePairs bounds the pairs that are kept apart. Those with the fewest observations
	// are forgotten.
	maxImagePairs = 256
	// minPairSlowdown is the smallest factor on a duration or tail latency for which images are
	// kept apart. Below it a fuller worker costs the callers more than the neighbour does.
	minPairSlowdown = 1.1
	// maxPairSlowdown bounds what a stored pair may claim.
	maxPairSlowdown = 100
	// minPairWorkers is the smallest number of workers that show the slowdown.
	minPairWorkers = 3
	// minPairDeviation is the smallest deviation from chance, in standard errors, of a pair
	// that is compared alone. More pairs that are compared raise it, see requiredDeviation.
	minPairDeviation = 3.0
	// repeatedLooks is for how many independent looks at a pair the repeated reviews of its
	// evidence count: chance has that many opportunities to show a slowdown.
	repeatedLooks = 10
	// minPairObservations is the smallest number of runs beside the other image. With fewer the
	// estimate of the standard error is itself uncertain.
	minPairObservations = 8
	// pairRetention is how long a pair is kept without evidence that shows it. Where capacity is
	// free the preference itself ends the runs that would show it, so it is much longer than the
	// seconds that learning takes.
	pairRetention = 5 * time.Minute
	// restoredShare is the share of the observations of a restored pair that counts.
	restoredShare = 0.5
	// imageReviewInterval is how often the evidence is evaluated.
	imageReviewInterval = time.Second
)

// ImagePair is the evidence that tasks of one image are slowed down by tasks of another image,
// or of the same one, on their worker.
type ImagePair struct {
	Slowed string // image of the tasks that are slowed down
	Beside string // image of the tasks beside them
	// Slowdown is the factor on the duration of a run, or on the tail latency of a service
	// task, for a run that is beside the other image all the time.
	Slowdown float64
	// Observations is the decayed number of runs beside the other image.
	Observations float64
	Workers      int   // workers that show the slowdown
	AgeMS        int64 // time since the evidence last showed the slowdown, in milliseconds
}

// names returns the key of the pair.
func (p *ImagePair) names() [2]string { return [2]string{p.Slowed, p.Beside} }

// usable reports whether a restored pair is one that could have been learned, and recent.
func (p *ImagePair) usable() bool {
	return p.Slowed != "" && p.Beside != "" && p.Slowdown >= minPairSlowdown && p.Slowdown <= maxPairSlowdown &&
		p.Observations > 0 && !math.IsInf(p.Observations, 0) && p.AgeMS >= 0 && p.AgeMS < pairRetention.Milliseconds()
}

// imagePair is a pair that is kept apart.
type imagePair struct {
	ImagePair
	seenAt time.Time // when the evidence last showed the slowdown
	keptAt time.Time // when this term began to keep the images apart
}

// interference is what is known of images that slow each other down. It exists only while
// Policy.SeparateImages is set.
type interference struct {
	now        time.Time // of the latest event
	reviewedAt time.Time
	images     [maxImages]*image // nil: unused
	byName     map[string]*image
	pairs      map[[2]string]*imagePair // by slowed image and image beside it
	partners   map[string][]imagePartner
	placed     []placedTask // in the current scheduling pass, see separateImages
}

// imagePartner is an image beside which an image should not run.
type imagePartner struct {
	name string
	cost float64 // slowdowns less 1, summed over both directions
}

// switchInterference follows Policy.SeparateImages. Tasks that run already count as
// neighbours from now on.
func (c *Core) switchInterference() {
	if c.policy.SeparateImages == (c.interference != nil) {
		return
	}
	c.interference = nil
	if !c.policy.SeparateImages {
		return
	}
	c.interference = &interference{byName: map[string]*image{}, pairs: map[[2]string]*imagePair{}}
	for _, w := range c.workers {
		w.images, w.imagePace = nil, learnedPace{}
		for id := range w.tasks {
			if s, t := c.findTask(id); t != nil {
				c.noteNeighbours(w, s, t)
			}
		}
	}
}

// ImagePairs returns the pairs of images that are kept apart, with the most observations first.
func (c *Core) ImagePairs() []ImagePair {
	in := c.interference
	if in == nil {
		return nil
	}
	out := make([]ImagePair, 0, len(in.pairs))
	for _, p := range in.pairs {
		stored := p.ImagePair
		stored.AgeMS = max(0, in.now.Sub(p.seenAt).Milliseconds())
		out = append(out, stored)
	}
	slices.SortFunc(out, func(a, b ImagePair) int {
		return cmp.Or(cmp.Compare(b.Observations, a.Observations), cmp.Compare(a.Slowed, b.Slowed), cmp.Compare(a.Beside, b.Beside))
	})
	return out
}

// RestoreImagePairs adds pairs that an earlier term has found, with reduced weight. It has an
// effect only while Policy.SeparateImages is set, and may be called before that. Pairs that
// are implausible, ignored or older than pairRetention are left out.
func (c *Core) RestoreImagePairs(pairs []ImagePair) {
	c.restoredPairs = append(c.restoredPairs, pairs...)
}

// takeRestoredPairs adds the restored pairs, once the time is known to which their age refers.
func (c *Core) takeRestoredPairs(now time.Time) {
	for _, p := range c.restoredPairs {
		if !p.usable() || c.imagesIgnored(p.Slowed, p.Beside) || c.interference.pairs[p.names()] != nil {
			continue
		}
		p.Observations *= restoredShare
		c.keepApart(p, now.Add(-time.Duration(p.AgeMS)*time.Millisecond), now, "an earlier term")
	}
	c.restoredPairs = nil
}

// maxIgnoredPairs bounds the pairs that operators may list.
const maxIgnoredPairs = maxImagePairs

// CheckIgnoredImagePairs returns an error for a list that cannot be used.
func CheckIgnoredImagePairs(pairs [][2]string) error {
	if len(pairs) > maxIgnoredPairs {
		return fmt.Errorf("%d ignored pairs of images are more than %d", len(pairs), maxIgnoredPairs)
	}
	for i, p := range pairs {
		if p[0] == "" || p[1] == "" {
			return fmt.Errorf("ignored pair of images %d (%q, %q) has an empty name", i+1, p[0], p[1])
		}
	}
	return nil
}

// SetIgnoredImagePairs replaces the pairs of images that are never kept apart, in either
// direction. The evidence for a pair that was kept apart is dropped.
func (c *Core) SetIgnoredImagePairs(pairs [][2]string) {
	if slices.Equal(pairs, c.ignoredImagePairs) {
		return
	}
	c.ignoredImagePairs = slices.Clone(pairs)
	if c.interference == nil {
		return
	}
	for _, p := range c.interference.sortedPairs() {
		if c.imagesIgnored(p.Slowed, p.Beside) {
			c.endPair(p, "ignored by the settings")
		}
	}
}

// imagesIgnored reports whether operators have excluded the pair.
func (c *Core) imagesIgnored(a, b string) bool {
	return slices.Contains(c.ignoredImagePairs, [2]string{a, b}) || slices.Contains(c.ignoredImagePairs, [2]string{b, a})
}

// reviewImages evaluates the evidence at most every imageReviewInterval. Load pattern: tasks of
// two images that share a resource which is not part of their requests take longer on one
// worker, for as long as both are in use.
func (c *Core) reviewImages(now time.Time) {
	in := c.interference
	if in == nil || now.Sub(in.reviewedAt) < imageReviewInterval {
		return
	}
	in.advance(now)
	in.reviewedAt = now
	c.takeRestoredPairs(now)
	estimates := map[*image][]pairEstimate{}
	compared := 0
	for _, a := range in.images {
		if a != nil && a.evidence != nil && a.evidence.changed {
			a.evidence.prune(c)
			estimates[a] = a.evidence.estimate(now)
			compared += len(estimates[a])
		}
	}
	deviation := requiredDeviation(compared)
	for _, a := range in.images {
		if a == nil {
			continue
		}
		for _, e := range estimates[a] {
			if a.evidence == nil {
				break // a pair of this image has ended, so all of them are learned again
			}
			if in.images[e.beside] != nil {
				c.judgePair(a, in.images[e.beside], e, deviation, now)
			}
		}
	}
	for _, p := range in.sortedPairs() {
		if now.Sub(p.seenAt) > pairRetention {
			c.endPair(p, "no evidence")
		}
	}
}

// requiredDeviation returns the deviation from chance, in standard errors, that one of n pairs
// needs, so that chance shows about as often in any of them as minPairDeviation does in one.
func requiredDeviation(n int) float64 {
	return math.Sqrt(minPairDeviation*minPairDeviation + 2*math.Log(float64(max(1, n)*repeatedLooks)))
}

// judgePair begins or ends keeping two images apart, by the current estimate.
func (c *Core) judgePair(slowed, beside *image, e pairEstimate, deviation float64, now time.Time) {
	in := c.interference
	pair := in.pairs[[2]string{slowed.name, beside.name}]
	least := math.Log(minPairSlowdown)
	shown := e.effect >= least && e.effect >= deviation*e.standardError && e.observations >= minPairObservations
	if shown {
		supporters, informed := slowed.evidence.supporters(e.beside)
		e.workers = supporters
		// A single odd worker has few others on its side, whatever its number of runs.
		shown = supporters >= minPairWorkers && 3*supporters >= 2*informed
	}
	current := ImagePair{Slowed: slowed.name, Beside: beside.name, Slowdown: math.Exp(e.effect), Observations: e.observations, Workers: e.workers}
	switch {
	case shown && pair != nil:
		pair.ImagePair, pair.seenAt = current, e.seenAt
		in.indexPairs()
	case shown && !c.imagesIgnored(slowed.name, beside.name):
		c.keepApart(current, e.seenAt, now, "runs")
	case pair == nil:
	case e.observations >= minPairObservations && e.effect < least/2 && e.effect+minPairDeviation*e.standardError < math.Log(pair.Slowdown):
		// Half of the threshold, so that a pair at the threshold does not come and go.
		c.endPair(pair, "contradicted")
	}
}

// keepApart adds a pair. If there are too many, the one with the fewest observations is
// forgotten.
func (c *Core) keepApart(p ImagePair, seenAt, now time.Time, source string) {
	in := c.interference
	if len(in.pairs) >= maxImagePairs {
		fewest := slices.MinFunc(in.sortedPairs(), func(a, b *imagePair) int { return cmp.Compare(a.Observations, b.Observations) })
		if fewest.Observations >= p.Observations {
			return
		}
		c.endPair(fewest, "too many pairs")
	}
	in.pairs[p.names()] = &imagePair{ImagePair: p, seenAt: seenAt, keptAt: now}
	in.indexPairs()
	c.emit("images are kept apart", "slowed", p.Slowed, "beside", p.Beside, "slowdown", p.Slowdown, "observations", p.Observations,
		"workers", p.Workers, "age", now.Sub(seenAt), "source", source)
}

// endPair drops a pair and the evidence for it.
func (c *Core) endPair(p *imagePair, cause string) {
	in := c.interference
	delete(in.pairs, p.names())
	in.indexPairs()
	if a := in.byName[p.Slowed]; a != nil {
		// The estimates of one image depend on each other, so all are learned again.
		a.evidence = nil
	}
	c.emit("images are no longer kept apart", "slowed", p.Slowed, "beside", p.Beside, "cause", cause, "slowdown", p.Slowdown,
		"observations", p.Observations, "workers", p.Workers, "age", in.now.Sub(p.seenAt), "kept for", in.now.Sub(p.keptAt))
}

// sortedPairs returns the pairs in a fixed order.
func (in *interference) sortedPairs() []*imagePair {
	out := make([]*imagePair, 0, len(in.pairs))
	for _, p := range in.pairs {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *imagePair) int {
		return cmp.Or(cmp.Compare(a.Slowed, b.Slowed), cmp.Compare(a.Beside, b.Beside))
	})
	return out
}

// indexPairs recomputes the partners of each image. The cost of a pair is that of both tasks,
// since either may be the one that starts.
func (in *interference) indexPairs() {
	in.partners = map[string][]imagePartner{}
	add := func(image, partner string, cost float64) {
		for i := range in.partners[image] {
			if p := &in.partners[image][i]; p.name == partner {
				p.cost += cost
				return
			}
		}
		in.partners[image] = append(in.partners[image], imagePartner{partner, cost})
	}
	for _, p := range in.sortedPairs() {
		add(p.Slowed, p.Beside, p.Slowdown-1)
		if p.Slowed != p.Beside {
			add(p.Beside, p.Slowed, p.Slowdown-1)
		}
	}
}

// advance records the time of the latest event.
func (in *interference) advance(now time.Time) {
	if in != nil && now.After(in.now) {
		in.now = now
	}
}

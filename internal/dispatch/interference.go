package dispatch

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
	AgeMS        int64 // time since the latest run beside the other image, in milliseconds
}

// ImagePairs returns the pairs of images that are kept apart, with the most observations first.
func (c *Core) ImagePairs() []ImagePair { return nil }

// RestoreImagePairs adds pairs that an earlier term has found, with reduced weight. It has an
// effect only while Policy.SeparateImages is set, and may be called before that.
func (c *Core) RestoreImagePairs([]ImagePair) {}

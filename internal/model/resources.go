// Package model holds the types that all layers share: resources, workers, jobs,
// tasks and outcomes. Their methods do arithmetic and formatting only, and no I/O.
package model

import "fmt"

// Resources is a vector of the resources that a worker offers or a task uses. In
// capacities and requests no component is negative.
type Resources struct {
	MilliCores   int64 `json:"milli_cores,omitempty"`  // thousandths of a core
	MemoryMB     int64 `json:"memory_mb,omitempty"`    // mebibytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
	Slots        int64 `json:"slots,omitempty"`        // concurrent tasks
}

// Add returns the component-wise sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Sub returns the component-wise difference of r and o. Components may become
// negative.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(o.Scale(-1))
}

// Scale returns r with every component multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
	}
}

// Fits reports whether r is at most o in every component.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCores <= o.MilliCores &&
		r.MemoryMB <= o.MemoryMB &&
		r.Accelerators <= o.Accelerators &&
		r.Slots <= o.Slots
}

// Max returns the component-wise maximum of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCores:   max(r.MilliCores, o.MilliCores),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
	}
}

// Min returns the component-wise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliCores:   min(r.MilliCores, o.MilliCores),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
	}
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// IsNegative reports whether any component is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || r.Slots < 0
}

// DominantShare returns the largest fraction that r takes of any component of total.
// Components that are zero in total are left out.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, c := range [...][2]int64{
		{r.MilliCores, total.MilliCores},
		{r.MemoryMB, total.MemoryMB},
		{r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
	} {
		if c[1] > 0 {
			share = max(share, float64(c[0])/float64(c[1]))
		}
	}
	return share
}

// String returns a short form for logs and explanations.
func (r Resources) String() string {
	return fmt.Sprintf("%d mcores, %d MB, %d accelerators, %d slots",
		r.MilliCores, r.MemoryMB, r.Accelerators, r.Slots)
}

package lovagestand

import "fmt"

// Resources is an amount of each of the three resources that a worker has and a
// task needs. The zero value is no resources at all.
type Resources struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milliCPU"`
	// MemoryMiB is memory in mebibytes.
	MemoryMiB int64 `json:"memoryMiB"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// WithMilliCPU returns a copy of r with its processor time replaced.
func (r Resources) WithMilliCPU(n int64) Resources {
	r.MilliCPU = n
	return r
}

// WithMemoryMiB returns a copy of r with its memory replaced.
func (r Resources) WithMemoryMiB(n int64) Resources {
	r.MemoryMiB = n
	return r
}

// WithAccelerators returns a copy of r with its accelerators replaced.
func (r Resources) WithAccelerators(n int64) Resources {
	r.Accelerators = n
	return r
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + s.MilliCPU,
		MemoryMiB:    r.MemoryMiB + s.MemoryMiB,
		Accelerators: r.Accelerators + s.Accelerators,
	}
}

// Sub returns r minus s. Fields of the result may be negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - s.MilliCPU,
		MemoryMiB:    r.MemoryMiB - s.MemoryMiB,
		Accelerators: r.Accelerators - s.Accelerators,
	}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(s Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, s.MilliCPU),
		MemoryMiB:    max(r.MemoryMiB, s.MemoryMiB),
		Accelerators: max(r.Accelerators, s.Accelerators),
	}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(s Resources) Resources {
	return Resources{
		MilliCPU:     min(r.MilliCPU, s.MilliCPU),
		MemoryMiB:    min(r.MemoryMiB, s.MemoryMiB),
		Accelerators: min(r.Accelerators, s.Accelerators),
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryMiB:    r.MemoryMiB * n,
		Accelerators: r.Accelerators * n,
	}
}

// Fits reports whether r is at most s in every resource.
func (r Resources) Fits(s Resources) bool {
	return r.MilliCPU <= s.MilliCPU && r.MemoryMiB <= s.MemoryMiB && r.Accelerators <= s.Accelerators
}

// Valid reports whether no resource is negative.
func (r Resources) Valid() bool {
	return r.MilliCPU >= 0 && r.MemoryMiB >= 0 && r.Accelerators >= 0
}

// IsZero reports whether r is no resources at all.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the largest fraction that r takes of any resource of
// total. A resource of which total has none counts as fully taken if r needs it,
// and as 0 otherwise.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.MilliCPU, total.MilliCPU)
	share = max(share, fraction(r.MemoryMiB, total.MemoryMiB))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

// String returns r as key=value pairs for logs.
func (r Resources) String() string {
	return fmt.Sprintf("milliCPU=%d memoryMiB=%d accelerators=%d", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}

func fraction(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

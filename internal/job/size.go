package job

// Size is an amount of each resource. It stands for the capacity of a worker as
// well as for the requirements of a task.
type Size struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64
	// MemoryMB is memory in megabytes.
	MemoryMB int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.MilliCores + o.MilliCores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of two sizes, which can be negative.
func (s Size) Sub(o Size) Size {
	return Size{s.MilliCores - o.MilliCores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Times returns the size multiplied by n.
func (s Size) Times(n int64) Size {
	return Size{s.MilliCores * n, s.MemoryMB * n, s.Accelerators * n}
}

// Scale returns the given share of the size, truncated to whole units.
func (s Size) Scale(share float64) Size {
	return Size{
		int64(float64(s.MilliCores) * share), int64(float64(s.MemoryMB) * share), int64(float64(s.Accelerators) * share),
	}
}

// Fits reports whether the size fits into capacity in every resource.
func (s Size) Fits(capacity Size) bool {
	return s.MilliCores <= capacity.MilliCores && s.MemoryMB <= capacity.MemoryMB && s.Accelerators <= capacity.Accelerators
}

// Max returns, for each resource, the larger amount of two sizes.
func (s Size) Max(o Size) Size {
	return Size{max(s.MilliCores, o.MilliCores), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// IsZero reports whether every amount is zero.
func (s Size) IsZero() bool { return s == Size{} }

// DominantShare returns the dominant share of the size: the largest share that
// it takes of any resource of the total. A resource that the total lacks counts
// as a share of 1 if the size needs any of it.
func (s Size) DominantShare(total Size) float64 {
	return max(resourceShare(s.MilliCores, total.MilliCores), resourceShare(s.MemoryMB, total.MemoryMB),
		resourceShare(s.Accelerators, total.Accelerators))
}

func resourceShare(part, total int64) float64 {
	if part <= 0 {
		return 0
	}
	if total <= 0 {
		return 1
	}
	return float64(part) / float64(total)
}

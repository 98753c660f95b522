package membudget

// Process divides the memory limit of a process between what it needs by itself and what other parties may make it hold.
// All figures are in bytes.
type Process struct {
	Limit int64 // on the resident memory of the process
	Files int64 // resident memory that is mapped from files, which the Go runtime does not know of
}

const (
	nativeBytes = 1 << 20 // of the C library and of threads
	// Reserve for what is resident and not accounted for: pages on their way, buffers of single reads and writes.
	reserveBytes   = 1 << 20
	reserveDivisor = 32 // of the limit, added to reserveBytes

	idleHeapBytes = 4 << 20 // of the Go runtime without any client
	// liveShare is the share of the Go runtime's memory that objects in use may take. The rest is for objects that are not
	// collected yet, and for the unused parts of pages.
	liveShare = 0.55
)

// GoLimit returns the memory that the Go runtime may use.
func (p Process) GoLimit() int64 {
	return p.Limit - p.Files - nativeBytes - reserveBytes - p.Limit/reserveDivisor
}

// Budget returns the memory that other parties may make the process hold.
func (p Process) Budget() int64 {
	return max(0, int64(liveShare*float64(p.GoLimit()-idleHeapBytes)))
}

// LeastLimit returns the least limit that leaves a budget.
func (p Process) LeastLimit(budget int64) int64 {
	heap := float64(budget) / liveShare
	needed := p.Files + nativeBytes + reserveBytes + idleHeapBytes + int64(heap)
	return needed * reserveDivisor / (reserveDivisor - 1)
}

package main

import (
	"larchusher/internal/metrics"
	"larchusher/internal/processmemory"
)

// memoryMetrics returns the metrics of this process's memory. They are missing if /proc cannot be read.
func memoryMetrics() []metrics.Value {
	u, err := processmemory.Read()
	if err != nil {
		return nil
	}
	part := func(name string, bytes int64) metrics.Value {
		return gauge("memory_go", "Bytes of the Go runtime, by part.", float64(bytes), metrics.Label{Name: "part", Value: name})
	}
	return []metrics.Value{
		gauge("memory_resident", "Bytes of resident memory.", float64(u.Resident)),
		gauge("memory_resident_files", "Bytes of resident memory that is mapped from files.", float64(u.Files)),
		gauge("memory_resident_peak", "Most bytes of resident memory since the start.", float64(u.PeakResident)),
		part("mapped", u.GoMapped),
		part("objects", u.GoObjects),
		part("free", u.GoFree),
		part("stacks", u.GoStacks),
		part("live", u.GoLive),
	}
}

// Package processmemory measures the memory of this process: what is resident, and what the Go runtime uses it for.
package processmemory

import (
	"fmt"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

// Usage is the memory of this process at one moment, in bytes.
type Usage struct {
	Resident     int64 // resident memory
	Files        int64 // resident memory that is mapped from files, such as the program itself
	PeakResident int64 // most resident memory since the start

	GoMapped  int64 // memory of the Go runtime that is not returned to the system
	GoObjects int64 // heap objects, including those that are not collected yet
	GoFree    int64 // heap memory without objects that is not returned to the system
	GoStacks  int64 // stacks of goroutines
	GoLive    int64 // heap objects that the latest garbage collection has kept
}

// Names of the runtime's metrics, in the order in which they are read.
const (
	goTotal = iota
	goReleased
	goObjects
	goFree
	goUnused
	goStacks
	goLive
)

var goMetrics = []string{
	goTotal:    "/memory/classes/total:bytes",
	goReleased: "/memory/classes/heap/released:bytes",
	goObjects:  "/memory/classes/heap/objects:bytes",
	goFree:     "/memory/classes/heap/free:bytes",
	goUnused:   "/memory/classes/heap/unused:bytes",
	goStacks:   "/memory/classes/heap/stacks:bytes",
	goLive:     "/gc/heap/live:bytes",
}

// Read measures the process. An error says that /proc could not be read; the runtime's figures are valid all the same.
func Read() (u Usage, err error) {
	samples := make([]metrics.Sample, len(goMetrics))
	for i, name := range goMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	u.GoMapped = value(goTotal) - value(goReleased)
	u.GoObjects, u.GoStacks, u.GoLive = value(goObjects), value(goStacks), value(goLive)
	u.GoFree = value(goFree) + value(goUnused)
	if u.Resident, u.Files, err = Resident(); err != nil {
		return u, err
	}
	u.PeakResident, err = peakResident()
	return u, err
}

// Resident returns the resident memory of this process, and the part of it that is mapped from files, in bytes.
func Resident() (all, files int64, err error) {
	const path = "/proc/self/statm" // in pages: size, resident, shared, ...
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Sscan(string(text), new(int64), &all, &files); err != nil {
		return 0, 0, fmt.Errorf("%s: %w", path, err)
	}
	page := int64(os.Getpagesize())
	return all * page, files * page, nil
}

// peakResident returns the most resident memory since the start of the process, in bytes.
func peakResident() (int64, error) {
	const path = "/proc/self/status"
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	words := strings.Fields(after)
	if len(words) == 0 {
		return 0, fmt.Errorf("%s has no field VmHWM", path)
	}
	kb, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: VmHWM: %w", path, err)
	}
	return kb << 10, nil
}

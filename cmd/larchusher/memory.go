package main

import (
	"fmt"
	"math"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/internal/metrics"
	"larchusher/internal/processmemory"
	"larchusher/membudget"
)

const (
	memoryCheckInterval = 500 * time.Millisecond // between measurements of the process's files in memory
	expectedFileBytes   = 12 << 20               // resident memory that is mapped from files, if it cannot be measured
	leastGoLimit        = 8 << 20                // soft limit of the Go runtime where the memory limit leaves less
	leastBudget         = 1 << 20                // budget where the memory limit leaves less
	servingBudget       = 6 << 20                // budget that serving a few hundred clients needs
	upgradeBudget       = 3 << 20                // the same for each process while two share the limit
	// unreadAnswersShare is the share of the bytes that may wait to be written from which answers are no longer begun for
	// clients that leave earlier ones unread.
	unreadAnswersShare = 0.8
)

// useMemory lets this process use a share, from 0 to 1, of the memory limit: it sets the Go runtime's soft limit, the budget for
// what other parties make the process hold, and the bounds that follow from it.
func (p *program) useMemory(share float64) {
	p.memoryShare = share
	m := p.measureMemory()
	debug.SetMemoryLimit(max(leastGoLimit, m.GoLimit()))
	p.budget.SetLimit(max(leastBudget, m.Budget()))
	if p.engine != nil {
		p.engine.SetMaxUnwritten(int64(p.maxUnwritten()))
	}
	if p.gateway != nil {
		p.gateway.SetMemoryLimits(0, p.unreadAnswersLimit())
	}
}

// measureMemory returns the memory limit of this process, and what of it is taken by files.
func (p *program) measureMemory() membudget.Process {
	_, files, err := processmemory.Resident()
	if err != nil {
		files = expectedFileBytes
	}
	return membudget.Process{Limit: int64(p.memoryShare * float64(p.cfg.Limits.MemoryMB<<20)), Files: files}
}

// watchMemory adapts the use of memory to the files that are mapped, which grow while parts of the program run for the first
// time, until the loop ends. It runs on a goroutine of its own.
func (p *program) watchMemory() {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.loop.Post(func() { p.useMemory(p.memoryShare) })
		case <-p.loop.Done():
			return
		}
	}
}

// warnSmallMemory logs a warning if the share of the memory limit that this process may use leaves less than a budget. clients
// says what that budget is for.
func (p *program) warnSmallMemory(budget int64, clients string) {
	const mebibyte = 1 << 20
	least := membudget.Process{Files: expectedFileBytes}.LeastLimit(budget)
	leastMB := int(math.Ceil(float64(least) / p.memoryShare / mebibyte))
	if p.cfg.Limits.MemoryMB >= leastMB {
		return
	}
	p.log.WithFields(logrus.Fields{logfields.Keys: "limits.memory_mb", logfields.Detail: fmt.Sprintf(
		"%d is less than %s needs: requests may be rejected for want of memory, or the limit passed; the least that will do is %d",
		p.cfg.Limits.MemoryMB, clients, leastMB)}).Warn(logfields.MemoryLimitSmall)
}

// maxUnwritten returns the limit in bytes on what waits to be written to sockets.
func (p *program) maxUnwritten() int { return int(p.budget.Max(membudget.Writes)) }

// unreadAnswersLimit returns the limit in bytes on the answers that clients have not read.
func (p *program) unreadAnswersLimit() int64 {
	if limit := p.operator.Overload.MemoryLimit; limit > 0 {
		return int64(p.memoryShare * float64(limit))
	}
	return int64(unreadAnswersShare * float64(p.maxUnwritten()))
}

// budgetMetrics returns the metrics of the memory that other parties make this process hold.
func (p *program) budgetMetrics() []metrics.Value {
	all := []metrics.Value{gauge("memory_budget", "Bytes that other parties may make the process hold.", float64(p.budget.Limit()))}
	for _, k := range membudget.Kinds() {
		kind := metrics.Label{Name: "kind", Value: k.String()}
		all = append(all,
			gauge("memory_held", "Bytes that other parties make the process hold, by kind.", float64(p.budget.Used(k)), kind),
			gauge("memory_held_peak", "Most bytes held, by kind.", float64(p.budget.Peak(k)), kind),
			count("memory_refused", "Times that no more was held for want of memory, by kind.", uint64(p.budget.Refused(k)), kind))
	}
	return all
}

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

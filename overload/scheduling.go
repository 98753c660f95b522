package overload

import "time"

// Pauses are frequent if there are at least frequentPauses within frequentPausesSpan: the program
// is then given only a part of a CPU.
const (
	frequentPauses     = 4
	frequentPausesSpan = time.Second
)

// minIdleShare is the share of a gap that the program must have spent without CPU time for the gap
// to be a pause by the host, and not the program's own work.
const minIdleShare = 0.5

// SchedulingMonitor distinguishes a host that paused the program from a program that is behind with
// its work. It is ticked at regular intervals. When a tick is late, the CPU time used since the
// last one shows whether the program was at work.
type SchedulingMonitor struct {
	interval time.Duration // between ticks
	minPause time.Duration // shorter gaps do not count as pauses

	started  bool
	lastTick time.Duration                 // time of the last tick
	lastCPU  time.Duration                 // CPU time used until the last tick
	recent   [frequentPauses]time.Duration // ends of the latest pauses, the newest first

	Pauses     int           // number of pauses so far
	PausedTime time.Duration // total length of the pauses so far
}

// NewSchedulingMonitor returns a monitor that is to be ticked at an interval, and that counts gaps
// of at least minPause as possible pauses.
func NewSchedulingMonitor(interval, minPause time.Duration) *SchedulingMonitor {
	return &SchedulingMonitor{interval: interval, minPause: minPause}
}

// Tick records the time and the CPU time used so far. It returns how long the host paused the
// program since the last tick; 0: it did not.
func (m *SchedulingMonitor) Tick(now, cpu time.Duration) (paused time.Duration) {
	gap, used := now-m.lastTick, cpu-m.lastCPU
	late := m.started && gap >= m.interval+m.minPause
	idle := float64(used) < (1-minIdleShare)*float64(gap)
	if late && idle {
		paused = max(0, gap-m.interval-used)
	}
	m.started, m.lastTick, m.lastCPU = true, now, cpu
	if paused < m.minPause {
		return 0
	}
	copy(m.recent[1:], m.recent[:])
	m.recent[0] = now
	m.Pauses++
	m.PausedTime += paused
	return paused
}

// FrequentPauses reports whether pauses occur one after another, as on a host that gives the
// program a share of each tenth of a second. Then requests that queue up during them are load like
// any other, and get no grace.
func (m *SchedulingMonitor) FrequentPauses(now time.Duration) bool {
	return m.Pauses >= frequentPauses && now-m.recent[frequentPauses-1] < frequentPausesSpan
}

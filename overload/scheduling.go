package overload

import "time"

// At least frequentPauses within frequentPausesSpan are no accident: the program is given a part of a processor only.
const (
	frequentPauses     = 4
	frequentPausesSpan = time.Second
)

// minIdleShare is the share of a gap that the program must have spent off the processor for the gap to be a pause of the host,
// and not the program's own work.
const minIdleShare = 0.5

// SchedulingMonitor tells a host that paused the program from a program that is behind with its work. It is ticked at regular
// intervals; when a tick is late, the processor time used since the last one tells whether the program was at work.
type SchedulingMonitor struct {
	interval time.Duration // between ticks
	minPause time.Duration // shorter gaps are no pauses

	started  bool
	lastTick time.Duration                 // time of the last tick
	lastCPU  time.Duration                 // processor time used by then
	recent   [frequentPauses]time.Duration // ends of the latest pauses, the newest first

	Pauses     int           // number of pauses seen
	PausedTime time.Duration // time lost to them
}

// NewSchedulingMonitor returns a monitor that is ticked at an interval, and for which a gap of at least minPause may be a
// pause.
func NewSchedulingMonitor(interval, minPause time.Duration) *SchedulingMonitor {
	return &SchedulingMonitor{interval: interval, minPause: minPause}
}

// Tick takes in the time and the processor time used so far, and returns how long the host paused the program since the
// last tick; 0: it did not.
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

// FrequentPauses reports whether pauses come one after another, as where a host gives the program a share of each tenth of
// a second. Then what queues up in them is load like any other, and nothing is forgiven for it.
func (m *SchedulingMonitor) FrequentPauses(now time.Duration) bool {
	return m.Pauses >= frequentPauses && now-m.recent[frequentPauses-1] < frequentPausesSpan
}

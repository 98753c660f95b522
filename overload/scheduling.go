package overload

import "time"

// So many stalls within so long are no accident: the program has a part of a processor only, and lives with it.
const (
	frequentPauses     = 4
	frequentPausesSpan = time.Second
)

// minIdleShare of a gap must have been spent off the processor for it to be a stall and not the program's own work.
const minIdleShare = 0.5

// SchedulingMonitor tells a host that stood still from a program that is behind. It is beaten at steady intervals; a beat that
// comes late finds whether the program was at work meanwhile, by the processor time that it used.
type SchedulingMonitor struct {
	minPause time.Duration
	interval time.Duration
	lastTick time.Duration // time of the last beat,
	lastCPU  time.Duration // and the processor time used by then
	started  bool
	recent   [frequentPauses]time.Duration // when the latest stalls ended, the newest first

	Pauses     int           // stalls seen
	PausedTime time.Duration // time lost to them
}

// NewSchedulingMonitor returns a pulse with a beat every so often, for which a gap of at least `least` is a stall.
func NewSchedulingMonitor(every, least time.Duration) *SchedulingMonitor {
	return &SchedulingMonitor{interval: every, minPause: least}
}

// Tick takes the time and the processor time used so far, and returns how long the host stood still since the last
// beat; 0: it did not.
func (p *SchedulingMonitor) Tick(now, cpu time.Duration) (paused time.Duration) {
	gap, used := now-p.lastTick, cpu-p.lastCPU
	if p.started && gap >= p.interval+p.minPause && float64(used) < (1-minIdleShare)*float64(gap) {
		paused = max(0, gap-p.interval-used)
	}
	p.started, p.lastTick, p.lastCPU = true, now, cpu
	if paused < p.minPause {
		return 0
	}
	copy(p.recent[1:], p.recent[:])
	p.recent[0] = now
	p.Pauses++
	p.PausedTime += paused
	return paused
}

// FrequentPauses says that stalls come one after another, as where a host gives the program a share of each tenth of a second:
// then what piles up in them is load like any other, and nothing is forgiven for it.
func (p *SchedulingMonitor) FrequentPauses(now time.Duration) bool {
	return p.Pauses >= frequentPauses && now-p.recent[frequentPauses-1] < frequentPausesSpan
}

package overload

import "time"

// So many stalls within so long are no accident: the program has a part of a processor only, and lives with it.
const (
	oftenStalls = 4
	oftenSpan   = time.Second
)

// idleShare of a gap must have been spent off the processor for it to be a stall and not the program's own work.
const idleShare = 0.5

// SchedulingMonitor tells a host that stood still from a program that is behind. It is beaten at steady intervals; a beat that
// comes late finds whether the program was at work meanwhile, by the processor time that it used.
type SchedulingMonitor struct {
	least   time.Duration
	every   time.Duration
	last    time.Duration // time of the last beat,
	lastCPU time.Duration // and the processor time used by then
	begun   bool
	latest  [oftenStalls]time.Duration // when the latest stalls ended, the newest first

	Pauses     int           // stalls seen
	PausedTime time.Duration // time lost to them
}

// NewSchedulingMonitor returns a pulse with a beat every so often, for which a gap of at least `least` is a stall.
func NewSchedulingMonitor(every, least time.Duration) *SchedulingMonitor {
	return &SchedulingMonitor{every: every, least: least}
}

// Tick takes the time and the processor time used so far, and returns how long the host stood still since the last
// beat; 0: it did not.
func (p *SchedulingMonitor) Tick(now, cpu time.Duration) (stalled time.Duration) {
	gap, used := now-p.last, cpu-p.lastCPU
	if p.begun && gap >= p.every+p.least && float64(used) < (1-idleShare)*float64(gap) {
		stalled = max(0, gap-p.every-used)
	}
	p.begun, p.last, p.lastCPU = true, now, cpu
	if stalled < p.least {
		return 0
	}
	copy(p.latest[1:], p.latest[:])
	p.latest[0] = now
	p.Pauses++
	p.PausedTime += stalled
	return stalled
}

// FrequentPauses says that stalls come one after another, as where a host gives the program a share of each tenth of a second:
// then what piles up in them is load like any other, and nothing is forgiven for it.
func (p *SchedulingMonitor) FrequentPauses(now time.Duration) bool {
	return p.Pauses >= oftenStalls && now-p.latest[oftenStalls-1] < oftenSpan
}

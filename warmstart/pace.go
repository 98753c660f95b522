package warmstart

import "time"

// Defaults of a Pace.
const (
	DefaultSaveInterval = 5 * time.Second
	failMost            = 5 * time.Minute  // waits after failures double up to this
	hangAfter           = 30 * time.Second // a write that takes longer hangs: no second one is begun beside it
)

// SaveSchedule decides when knowledge is written: at steady intervals while that goes well, ever more seldom while it fails, and
// never beside a write that has not ended.
type SaveSchedule struct {
	Interval time.Duration // 0: DefaultEvery

	next  time.Duration
	began time.Duration
	busy  bool
	told  bool // that it hangs
	wait  time.Duration

	Written, Failed, Hung uint64
}

// Due says whether a write is to begin now.
func (p *SaveSchedule) Due(now time.Duration) bool { return !p.busy && now >= p.next }

// Force has the next write due at once.
func (p *SaveSchedule) Force() { p.next = 0 }

// Started notes that one has.
func (p *SaveSchedule) Started(now time.Duration) { p.began, p.busy, p.told = now, true, false }

// Finished notes how it went.
func (p *SaveSchedule) Finished(now time.Duration, failed bool) {
	every := p.Interval
	if every <= 0 {
		every = DefaultSaveInterval
	}
	p.busy = false
	if !failed {
		p.Written++
		p.wait, p.next = 0, max(now, p.began+every)
		return
	}
	p.Failed++
	p.wait = min(failMost, max(every, 2*p.wait))
	p.next = now + p.wait
}

// Hanging says, once for each, that the write that is out has taken too long.
func (p *SaveSchedule) Hanging(now time.Duration) bool {
	if !p.busy || p.told || now-p.began < hangAfter {
		return false
	}
	p.told = true
	p.Hung++
	return true
}

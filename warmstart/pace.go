package warmstart

import "time"

// Defaults of a Pace.
const (
	DefaultSaveInterval = 5 * time.Second
	maxBackoff          = 5 * time.Minute  // waits after failures double up to this
	hangTimeout         = 30 * time.Second // a write that takes longer hangs: no second one is begun beside it
)

// SaveSchedule decides when knowledge is written: at steady intervals while that goes well, ever more seldom while it fails, and
// never beside a write that has not ended.
type SaveSchedule struct {
	Interval time.Duration // 0: DefaultEvery

	next         time.Duration
	startedAt    time.Duration
	writing      bool
	hangReported bool // that it hangs
	backoff      time.Duration

	Written, Failed, Hung uint64
}

// Due says whether a write is to begin now.
func (p *SaveSchedule) Due(now time.Duration) bool { return !p.writing && now >= p.next }

// Force has the next write due at once.
func (p *SaveSchedule) Force() { p.next = 0 }

// Started notes that one has.
func (p *SaveSchedule) Started(now time.Duration) {
	p.startedAt, p.writing, p.hangReported = now, true, false
}

// Finished notes how it went.
func (p *SaveSchedule) Finished(now time.Duration, failed bool) {
	every := p.Interval
	if every <= 0 {
		every = DefaultSaveInterval
	}
	p.writing = false
	if !failed {
		p.Written++
		p.backoff, p.next = 0, max(now, p.startedAt+every)
		return
	}
	p.Failed++
	p.backoff = min(maxBackoff, max(every, 2*p.backoff))
	p.next = now + p.backoff
}

// Hanging says, once for each, that the write that is out has taken too long.
func (p *SaveSchedule) Hanging(now time.Duration) bool {
	if !p.writing || p.hangReported || now-p.startedAt < hangTimeout {
		return false
	}
	p.hangReported = true
	p.Hung++
	return true
}

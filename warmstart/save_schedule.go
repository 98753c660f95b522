package warmstart

import "time"

const (
	// DefaultSaveInterval is the time from the start of one write of a snapshot to that of the next.
	DefaultSaveInterval = 5 * time.Second
	// maxBackoff is the longest wait after failed writes.
	maxBackoff = 5 * time.Minute
	// hangTimeout is the time after which a write hangs.
	hangTimeout = 30 * time.Second
)

// SaveSchedule decides when snapshots are written: at a regular interval while that goes well, with a growing backoff while it
// fails, and never beside a write that has not ended. The zero value has the first write due at once.
type SaveSchedule struct {
	Interval time.Duration // between starts of writes; 0: DefaultSaveInterval

	next         time.Duration // start of the next write
	startedAt    time.Duration // start of the latest one
	writing      bool
	hangReported bool
	backoff      time.Duration // after the latest failure; 0: the latest write went well

	Written, Failed, Hung uint64 // writes
}

// Due reports whether a write is to start now.
func (s *SaveSchedule) Due(now time.Duration) bool { return !s.writing && now >= s.next }

// Force makes the next write due at once.
func (s *SaveSchedule) Force() { s.next = 0 }

// Started records the start of a write.
func (s *SaveSchedule) Started(now time.Duration) {
	s.startedAt, s.writing, s.hangReported = now, true, false
}

// Finished records the end of a write.
func (s *SaveSchedule) Finished(now time.Duration, failed bool) {
	interval := s.Interval
	if interval <= 0 {
		interval = DefaultSaveInterval
	}
	s.writing = false
	if !failed {
		s.Written++
		s.backoff = 0
		s.next = max(now, s.startedAt+interval)
		return
	}
	s.Failed++
	s.backoff = min(maxBackoff, max(interval, 2*s.backoff))
	s.next = now + s.backoff
}

// Hanging reports, once for each write, that the current one hangs.
func (s *SaveSchedule) Hanging(now time.Duration) bool {
	if !s.writing || s.hangReported || now-s.startedAt < hangTimeout {
		return false
	}
	s.hangReported = true
	s.Hung++
	return true
}

package warmstart

import "time"

const (
	// DefaultSaveInterval is the time between the starts of two writes of snapshots.
	DefaultSaveInterval = 5 * time.Second
	// maxBackoff is the longest wait after failed writes.
	maxBackoff = 5 * time.Minute
	// hangTimeout is the duration from which on a write counts as hanging.
	hangTimeout = 30 * time.Second
)

// SaveSchedule decides when snapshots are written: at a regular interval while writes succeed, with an exponential
// backoff while they fail, and never while a write is in progress. With the zero value the first write is due at once.
// All times are on one monotonic clock of the caller's choice.
type SaveSchedule struct {
	Interval time.Duration // time between the starts of writes; 0: DefaultSaveInterval

	next         time.Duration // time from which on the next write is due
	startedAt    time.Duration // start of the latest write
	writing      bool          // a write is in progress
	hangReported bool          // Hanging has reported the current write
	backoff      time.Duration // wait after the latest failure; 0: the latest write succeeded

	Written, Failed, Hung uint64 // numbers of writes that succeeded, failed, and were reported as hanging
}

// Due reports whether a write is due. The caller then starts one and calls Started.
func (s *SaveSchedule) Due(now time.Duration) bool { return !s.writing && now >= s.next }

// Force makes the next write due at once, or as soon as the current one has finished.
func (s *SaveSchedule) Force() { s.next = 0 }

// Started records that a write has started.
func (s *SaveSchedule) Started(now time.Duration) {
	s.startedAt, s.writing, s.hangReported = now, true, false
}

// Finished records that the current write has finished, and schedules the next one.
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

// Hanging reports whether the current write has been running for at least hangTimeout. It returns true only once per write.
func (s *SaveSchedule) Hanging(now time.Duration) bool {
	if !s.writing || s.hangReported || now-s.startedAt < hangTimeout {
		return false
	}
	s.hangReported = true
	s.Hung++
	return true
}

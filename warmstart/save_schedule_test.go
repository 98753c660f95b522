package warmstart

import (
	"testing"
	"time"
)

// Writes are due at a regular interval while they succeed, with a growing backoff while they fail, and never while one
// is in progress.
func TestSaveSchedule(t *testing.T) {
	s := SaveSchedule{Interval: time.Second}
	now, started := time.Duration(0), 0
	countWrites := func(duration time.Duration, failed bool) int {
		started = 0
		for end := now + duration; now < end; now += 100 * time.Millisecond {
			if s.Due(now) {
				s.Started(now)
				if s.Due(now) {
					t.Fatal("a second write is due while one is in progress")
				}
				s.Finished(now+50*time.Millisecond, failed)
				started++
			}
		}
		return started
	}
	if n := countWrites(20*time.Second, false); n < 19 || n > 20 {
		t.Errorf("%d writes in 20 s, want 19 or 20", n)
	}
	if n := countWrites(time.Hour, true); n > 22 || n < 12 {
		t.Errorf("%d writes in an hour of failures, want 12 to 22", n)
	}
	now += maxBackoff
	if n := countWrites(10*time.Second, false); n < 9 {
		t.Errorf("%d writes in the first 10 s after the failures, want at least 9", n)
	}
	s.Started(now)
	if s.Hanging(now+time.Second) || !s.Hanging(now+time.Minute) || s.Hanging(now+2*time.Minute) || s.Due(now+time.Hour) || s.Hung != 1 {
		t.Error("a hanging write is not reported exactly once, or another write is due meanwhile")
	}
}

package warmstart

import (
	"testing"
	"time"
)

// Writes are paced: steadily while they go well, ever more seldom while they fail, never two at once.
func TestSaveSchedule(t *testing.T) {
	s := SaveSchedule{Interval: time.Second}
	now, started := time.Duration(0), 0
	tick := func(long time.Duration, failed bool) int {
		started = 0
		for end := now + long; now < end; now += 100 * time.Millisecond {
			if s.Due(now) {
				s.Started(now)
				if s.Due(now) {
					t.Fatal("two at once")
				}
				s.Finished(now+50*time.Millisecond, failed)
				started++
			}
		}
		return started
	}
	if n := tick(20*time.Second, false); n < 19 || n > 20 {
		t.Errorf("%d writes in 20 s", n)
	}
	if n := tick(time.Hour, true); n > 22 || n < 12 {
		t.Errorf("%d writes in an hour of failures", n)
	}
	now += maxBackoff
	if n := tick(10*time.Second, false); n < 9 {
		t.Errorf("%d writes in 10 s after them", n)
	}
	s.Started(now)
	if s.Hanging(now+time.Second) || !s.Hanging(now+time.Minute) || s.Hanging(now+2*time.Minute) || s.Due(now+time.Hour) || s.Hung != 1 {
		t.Error("a write that hangs is not told once, or another is begun beside it")
	}
}

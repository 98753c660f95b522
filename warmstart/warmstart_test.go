package warmstart

import (
	"errors"
	"testing"
	"time"

	"larchusher/routing"
)

// What is a day old counts for nothing, what speaks for sending more ages faster than what speaks for sending less, and
// nothing grows with age.
func TestKnowledgeAges(t *testing.T) {
	last := ConfidenceAt(0)
	if last != (routing.Confidence{Listing: 1, Failure: 1, Limit: 1, FillLatency: 1}) {
		t.Errorf("fresh: %+v", last)
	}
	for age := time.Second; age < 26*time.Hour; age += age / 7 {
		w := ConfidenceAt(age)
		if w.Listing > last.Listing || w.Failure > last.Failure || w.Limit > last.Limit || w.FillLatency > last.FillLatency {
			t.Errorf("%v: %+v, and before %+v", age, w, last)
		}
		if w.Listing > w.Failure || w.FillLatency > w.Limit {
			t.Errorf("%v: %+v: what speaks for more counts for more", age, w)
		}
		last = w
	}
	if last != (routing.Confidence{}) || ConfidenceAt(-time.Minute) != (routing.Confidence{}) {
		t.Errorf("a day old: %+v, of the future: %+v", last, ConfidenceAt(-time.Minute))
	}
}

func TestWhatIsVoid(t *testing.T) {
	s := Snapshot{Made: time.Hour * 1000, Gateway: "n1", Settings: "x"}
	for _, c := range []struct {
		now      time.Duration
		gateway  string
		settings string
		want     error
	}{{s.Made + time.Minute, "n1", "x", nil}, {s.Made - time.Second, "n1", "x", nil}, {s.Made - time.Minute, "n1", "x", ErrFromFuture},
		{s.Made + 25*time.Hour, "n1", "x", ErrExpired}, {s.Made, "n2", "x", ErrOtherGateway}, {s.Made, "n1", "y", ErrOtherSettings}} {
		if err := s.Validate(c.now, c.gateway, c.settings); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// Writes are paced: steadily while they go well, ever more seldom while they fail, never two at once.
func TestPace(t *testing.T) {
	p := SaveSchedule{Interval: time.Second}
	now, began := time.Duration(0), 0
	tick := func(long time.Duration, failed bool) int {
		began = 0
		for end := now + long; now < end; now += 100 * time.Millisecond {
			if p.Due(now) {
				p.Started(now)
				if p.Due(now) {
					t.Fatal("two at once")
				}
				p.Finished(now+50*time.Millisecond, failed)
				began++
			}
		}
		return began
	}
	if n := tick(20*time.Second, false); n < 19 || n > 20 {
		t.Errorf("%d writes in 20 s", n)
	}
	if n := tick(time.Hour, true); n > 22 || n < 12 {
		t.Errorf("%d writes in an hour of failures", n)
	}
	now += failMost
	if n := tick(10*time.Second, false); n < 9 {
		t.Errorf("%d writes in 10 s after them", n)
	}
	p.Started(now)
	if p.Hanging(now+time.Second) || !p.Hanging(now+time.Minute) || p.Hanging(now+2*time.Minute) || p.Due(now+time.Hour) || p.Hung != 1 {
		t.Error("a write that hangs is not told once, or another is begun beside it")
	}
}

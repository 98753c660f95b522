package routing

import (
	"testing"
	"time"
)

func TestPurgeSetsMaxAge(t *testing.T) {
	for _, c := range []struct {
		name           string
		purge          Purge
		wait           time.Duration
		minAge, maxAge time.Duration
	}{
		{"object", Purge{Object: "f", Age: 100 * ms}, 400 * ms, 490 * ms, 500 * ms},
		{"group", Purge{Group: 3, Age: 100 * ms}, 400 * ms, 490 * ms, 500 * ms},
		{"never zero", Purge{Group: 3}, 0, 1, 2 * ms},
		{"other group", Purge{Group: 4}, 400 * ms, 0, 0},
		{"settled", Purge{Group: 3}, 7 * time.Second, 0, 0},
	} {
		r := newHarness(t, nil)
		r.handle(c.purge)
		a := firstAction[ForwardAttempt](r.advance(c.wait).handle(Request{ID: "a", Class: "film", Object: "f", Group: 3,
			Deadline: r.now + time.Second}))
		if a.MaxAge < c.minAge || a.MaxAge > c.maxAge {
			t.Errorf("%s: MaxAge %v is out of bounds", c.name, a.MaxAge)
		}
	}
}

// A purge limits the age of copies even if the object is listed, until the purge has settled.
func TestPurgeLimitsMaxAgeUntilSettled(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(Purge{Group: 0, Age: time.Second})
	if _, a := r.send("film", "a"); a == nil || a.MaxAge <= 0 || a.MaxAge >= time.Second {
		t.Errorf("a second after the purge: attempt %+v, want a MaxAge between 0 and 1s", a)
	}
	if _, a := r.advance(6*time.Second).send("film", "a"); a == nil || a.MaxAge != 0 {
		t.Errorf("after the purge has settled: attempt %+v, want no MaxAge", a)
	}
}

// The clock may start anywhere: a purge before its zero counts like any other.
func TestPurgeBeforeClockZero(t *testing.T) {
	r := newHarness(t, nil)
	r.now = 100 * ms
	r.handle(Purge{Object: "o", Age: 150 * ms})
	if _, a := r.send("film", "o"); a == nil || a.MaxAge == 0 || a.MaxAge > 150*ms {
		t.Errorf("attempt %+v, want a MaxAge between 0 and 150ms", a)
	}
}

func TestCopyOutdated(t *testing.T) {
	for _, c := range []struct {
		name                                string
		copySeenAt, purgedAt, freshFor, now time.Duration
		wasPurged, want                     bool
	}{
		{"no purge and no age limit", 10, 0, 0, 100, false, false},
		{"purged before the copy was seen", 10, 5, 0, 100, true, false},
		{"purged after the copy was seen", 10, 11, 0, 100, true, true},
		{"purged when the request was sent: the copy may be the old one", 10, 10, 0, 100, true, true},
		{"younger than its fresh time", 95, 0, 8, 100, false, false},
		{"older than its fresh time", 91, 0, 8, 100, false, true},
	} {
		if got := copyOutdated(c.now, c.copySeenAt, c.purgedAt, c.wasPurged, c.freshFor); got != c.want {
			t.Errorf("%s: outdated is %v, want the opposite", c.name, got)
		}
	}
}

// When many copies are purged at once, the following fills are counted before they are sent, so
// that no more are in flight than the limit allows.
func TestFillsAfterPurgeAreCountedBeforeSending(t *testing.T) {
	w := newSimulatedLocation(t, DetailNone, nil)
	maxWaiting := 0
	w.at(10*time.Second, func() {
		for _, h := range w.copies {
			clear(h)
		}
		w.handle(Purge{Group: 0})
		w.d.originFetches.Max = 3
	})
	for at := 10 * time.Second; at < 11*time.Second; at += 10 * ms {
		w.at(at+ms, func() { maxWaiting = max(maxWaiting, int(w.originBusyUntil-w.clock.Now)/int(w.originFetchTime)) })
	}
	w.originFetchTime = 60 * ms
	w.run(11*time.Second, 10*time.Second, 11*time.Second, 60)
	if maxWaiting > 6 {
		t.Errorf("%d fetches waited at the origin, want at most 6 with a limit of 3", maxWaiting)
	}
}

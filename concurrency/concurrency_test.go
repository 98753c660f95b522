package concurrency

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Whatever answers come, a limit is never cut below its floor, never grows past what a second allows, and is cut once for
// what was out at the time.
func TestLimitsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := None()
		l.Least = rapid.Float64Range(0.1, 3).Draw(t, "least")
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			gap := time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * ms
			now += gap
			l.Out = rapid.IntRange(0, 40).Draw(t, "out")
			sent := now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*ms
			before, cut := l.Most, l.Cut
			late := rapid.Bool().Draw(t, "late")
			l.Answered(now, sent, late, true)
			switch {
			case l.Most < l.Least:
				t.Fatalf("%v is below %v", l.Most, l.Least)
			case l.Most < before && (!late || sent < cut):
				t.Fatalf("cut from %v to %v by an answer in time, or by what was out at the cut before", before, l.Most)
			case l.Most > before && l.Most > before*(1+up*lull.Seconds())+1e-9:
				t.Fatalf("grown from %v to %v", before, l.Most)
			}
		}
	})
}

// A limit that was cut to its floor by a trouble is back at ten within six seconds of answers in time, twenty a
// second.
func TestLimitsAreBackSoon(t *testing.T) {
	l := None()
	l.Least = 0.5
	now := time.Duration(0)
	for range 40 {
		now += 100 * ms
		l.Answered(now, now-ms, true, true)
	}
	if l.Most > 1 {
		t.Fatalf("after four seconds of late answers the limit is %v", l.Most)
	}
	well := now
	for ; l.Most < 10; now += 50 * ms {
		l.Out = int(l.Most)
		l.Answered(now, now-20*ms, false, true)
	}
	if d := now - well; d > 6*time.Second {
		t.Errorf("it took %v", d)
	}
}

// What costs much for its worth stops first, and is not shut out.
func TestDearRequestsStopFirst(t *testing.T) {
	var p Prices
	for range 200 {
		p.See(Price(100*ms, 1))
	}
	for _, c := range []struct {
		price, want float64
	}{{Price(100*ms, 1), 1}, {Price(10*ms, 1), 1}, {Price(400*ms, 1), 0.5}, {Price(800*ms, 2), 0.5}, {0, 1}} {
		if got := p.Part(c.price); math.Abs(got-c.want) > 0.01 {
			t.Errorf("price %v: part %v, want %v", c.price, got, c.want)
		}
	}
	l := Limit{Out: 6, Most: 10}
	if !l.Room(1, 0.5) || l.Room(0.5, 0.5) {
		t.Error("of a limit of ten, six are out: there is room for one of the mean price, and none for one of four times that")
	}
	l.Out = 2
	if !l.Room(0.5, 0.5) {
		t.Error("two are out, and a dear one finds no room")
	}
	if (&Prices{}).Part(5) != 1 {
		t.Error("where nothing is known, nothing is dear")
	}
}

// With as many on the slots as InAim says, one that takes work alone ends in its aim, and with one more it does not.
func TestInAimIsWhatCanBeDone(t *testing.T) {
	for _, work := range []time.Duration{20 * ms, 100 * ms, 480 * ms, 2 * time.Second} {
		n := InAim(7.5, 1.6, 400*ms, work)
		aim := 400*ms + time.Duration(1.6*float64(work))
		if took := time.Duration(n / 7.5 * float64(work)); took > aim+ms || took < aim-ms {
			t.Errorf("work %v: %v on 7.5 slots take %v, the aim is %v", work, n, took, aim)
		}
	}
	if !math.IsInf(InAim(0, 1, ms, ms), 1) || !math.IsInf(InAim(1, 1, ms, 0), 1) || InAim(0.1, 0, ms, time.Second) < 1 {
		t.Error("what is not known is no bound, and one may always go")
	}
}

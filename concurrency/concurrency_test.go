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
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Unlimited()
		l.Min = rapid.Float64Range(0.1, 3).Draw(t, "least")
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			gap := time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * ms
			now += gap
			l.InFlight = rapid.IntRange(0, 40).Draw(t, "out")
			sent := now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*ms
			before, lastCut := l.Max, l.LastCut
			late := rapid.Bool().Draw(t, "late")
			l.Observe(now, sent, late, true)
			switch {
			case l.Max < l.Min:
				t.Fatalf("%v is below %v", l.Max, l.Min)
			case l.Max < before && (!late || sent < lastCut):
				t.Fatalf("cut from %v to %v by an answer in time, or by what was out at the cut before", before, l.Max)
			case l.Max > before && l.Max > before*(1+maxGrowthPerSecond*maxAnswerGap.Seconds())+1e-9:
				t.Fatalf("grown from %v to %v", before, l.Max)
			}
		}
	})
}

// A limit that was cut to its floor by a fault is back at ten within six seconds of answers in time, twenty a
// second.
func TestLimitRecoversWithinSixSeconds(t *testing.T) {
	l := Unlimited()
	l.Min = 0.5
	now := time.Duration(0)
	for range 40 {
		now += 100 * ms
		l.Observe(now, now-ms, true, true)
	}
	if l.Max > 1 {
		t.Fatalf("after four seconds of late answers the limit is %v", l.Max)
	}
	faultEnd := now
	for ; l.Max < 10; now += 50 * ms {
		l.InFlight = int(l.Max)
		l.Observe(now, now-20*ms, false, true)
	}
	if recovery := now - faultEnd; recovery > 6*time.Second {
		t.Errorf("it took %v", recovery)
	}
}

// What costs much for its priority weight stops first, and is not shut out.
func TestCostlyRequestsGetSmallerQuotas(t *testing.T) {
	var mean MeanCost
	for range 200 {
		mean.Observe(CostPerWeight(100*ms, 1))
	}
	for _, c := range []struct {
		cost, want float64
	}{{CostPerWeight(100*ms, 1), 1}, {CostPerWeight(10*ms, 1), 1}, {CostPerWeight(400*ms, 1), 0.5}, {CostPerWeight(800*ms, 2), 0.5}, {0, 1}} {
		if got := mean.Quota(c.cost); math.Abs(got-c.want) > 0.01 {
			t.Errorf("cost %v: quota %v, want %v", c.cost, got, c.want)
		}
	}
	l := Limit{InFlight: 6, Max: 10}
	if !l.HasCapacity(1, 0.5) || l.HasCapacity(0.5, 0.5) {
		t.Error("of a limit of ten, six are out: there is capacity for one of the mean cost, and none for one of four times that")
	}
	l.InFlight = 2
	if !l.HasCapacity(0.5, 0.5) {
		t.Error("two are out, and a costly one finds no capacity")
	}
	if (&MeanCost{}).Quota(5) != 1 {
		t.Error("where nothing is known, nothing is costly")
	}
}

// With as many on the slots as MaxWithinObjective says, one transfer ends right at its objective.
func TestMaxWithinObjectiveMeetsTheObjective(t *testing.T) {
	for _, transfer := range []time.Duration{20 * ms, 100 * ms, 480 * ms, 2 * time.Second} {
		n := MaxWithinObjective(7.5, 1.6, 400*ms, transfer)
		objective := 400*ms + time.Duration(1.6*float64(transfer))
		if took := time.Duration(n / 7.5 * float64(transfer)); took > objective+ms || took < objective-ms {
			t.Errorf("work %v: %v on 7.5 slots take %v, the objective is %v", transfer, n, took, objective)
		}
	}
	if !math.IsInf(MaxWithinObjective(0, 1, ms, ms), 1) || !math.IsInf(MaxWithinObjective(1, 1, ms, 0), 1) || MaxWithinObjective(0.1, 0, ms, time.Second) < 1 {
		t.Error("what is not known is no bound, and one may always go")
	}
}

package concurrency

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// For any sequence of answers a limit is never cut below its minimum, never grows by more than
// maxGrowthPerSecond, and is cut only once for the attempts in flight at the time of a cut.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Unlimited()
		l.Min = rapid.Float64Range(0.1, 3).Draw(t, "min")
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			gap := time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * ms
			now += gap
			l.InFlight = rapid.IntRange(0, 40).Draw(t, "in flight")
			sent := now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "latency"))*ms
			before, lastCut := l.Max, l.LastCut
			late := rapid.Bool().Draw(t, "late")
			l.Observe(now, sent, late, true)
			switch {
			case l.Max < l.Min:
				t.Fatalf("limit %v is below the minimum %v", l.Max, l.Min)
			case l.Max < before && (!late || sent < lastCut):
				t.Fatalf("limit cut from %v to %v by an answer in time, or by an attempt that was in flight at the cut before", before, l.Max)
			case l.Max > before && l.Max > before*(1+maxGrowthPerSecond*maxAnswerGap.Seconds())+1e-9:
				t.Fatalf("limit grew from %v to %v, want at most the factor 1+maxGrowthPerSecond*maxAnswerGap", before, l.Max)
			}
		}
	})
}

// A limit that a fault has cut to its minimum is back at ten within six seconds of answers in time,
// at twenty answers per second.
func TestLimitRecoversWithinSixSeconds(t *testing.T) {
	l := Unlimited()
	l.Min = 0.5
	now := time.Duration(0)
	for range 40 {
		now += 100 * ms
		l.Observe(now, now-ms, true, true)
	}
	if l.Max > 1 {
		t.Fatalf("the limit is %v after four seconds of late answers, want at most 1", l.Max)
	}
	faultEnd := now
	for ; l.Max < 10; now += 50 * ms {
		l.InFlight = int(l.Max)
		l.Observe(now, now-20*ms, false, true)
	}
	if recovery := now - faultEnd; recovery > 6*time.Second {
		t.Errorf("the recovery took %v, want at most 6s", recovery)
	}
}

// Requests that cost much for their priority weight get smaller quotas, but are not shut out.
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
		t.Error("with six of ten in flight: want capacity at the mean cost, and none at four times the mean cost")
	}
	l.InFlight = 2
	if !l.HasCapacity(0.5, 0.5) {
		t.Error("with two of ten in flight: want capacity at four times the mean cost")
	}
	if (&MeanCost{}).Quota(5) != 1 {
		t.Error("want the whole limit before any cost was observed")
	}
}

// With MaxWithinObjective transfers on the slots, a transfer ends exactly at its objective.
func TestMaxWithinObjectiveMeetsTheObjective(t *testing.T) {
	for _, transfer := range []time.Duration{20 * ms, 100 * ms, 480 * ms, 2 * time.Second} {
		n := MaxWithinObjective(7.5, 1.6, 400*ms, transfer)
		objective := 400*ms + time.Duration(1.6*float64(transfer))
		if took := time.Duration(n / 7.5 * float64(transfer)); took > objective+ms || took < objective-ms {
			t.Errorf("transfer %v: %v of them on 7.5 slots take %v, want the objective of %v", transfer, n, took, objective)
		}
	}
	if !math.IsInf(MaxWithinObjective(0, 1, ms, ms), 1) || !math.IsInf(MaxWithinObjective(1, 1, ms, 0), 1) || MaxWithinObjective(0.1, 0, ms, time.Second) < 1 {
		t.Error("want no bound for unknown slots or transfer, and a bound of at least one")
	}
}

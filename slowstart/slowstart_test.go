package slowstart

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any number of senders, any distribution of traffic and any times at which they learn of the
// start: in no window is a cold endpoint sent more than the overload multiple of what it can do,
// plus a margin for chance of 2*sqrt(N)+2 sendings, where N is the allowed number.
func TestSendersTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ramp := Ramp{InitialShare: rapid.Float64Range(0.08, 0.4).Draw(t, "initial share"), Duration: time.Duration(rapid.IntRange(8, 22).Draw(t, "duration")) * time.Second,
			OverloadMultiple: rapid.Float64Range(2, 2.5).Draw(t, "overload multiple"), OverloadWindow: time.Duration(rapid.IntRange(1, 2).Draw(t, "overload window")) * time.Second}
		n := rapid.IntRange(1, 12).Draw(t, "senders")
		const capacity, cost, step = 100.0, 0.5, 5 * time.Millisecond // capacity and cost in seconds of work, per second and per sending
		shares := make([]float64, n)                                  // of the traffic; warm endpoints serve all of it
		sum := 0.0
		for i := range shares {
			shares[i] = rapid.Float64Range(0.05, 1).Draw(t, "traffic share")
			sum += shares[i]
		}
		learnsAt, budgets := make([]time.Duration, n), make([]Budget, n)
		start := time.Minute
		for i := range n {
			learnsAt[i] = start + time.Duration(rapid.IntRange(0, 100).Draw(t, "delay until known"))*time.Millisecond
		}
		endpointHash := rapid.Uint64().Draw(t, "endpoint hash")
		var sent []float64 // work by step
		for now := start; now < start+6*time.Second; now += step {
			sentNow := 0.0
			for i := range n {
				s := Sender{SenderCount: float64(n), Position: SenderPosition(i, endpointHash), WarmRate: capacity * shares[i] / sum}
				for now >= learnsAt[i] && ramp.Allows(&budgets[i], now, start, cost, s) { // each sender always has more to send
					ramp.Spend(&budgets[i], now, start, cost)
					sentNow += cost
				}
			}
			sent = append(sent, sentNow)
		}
		window := int(ramp.OverloadWindow / step)
		for from := 0; from+window <= len(sent); from++ {
			total, capacityWork := 0.0, 0.0
			for k := from; k < from+window; k++ {
				total += sent[k]
				capacityWork += capacity * ramp.CapacityShare(start+time.Duration(k)*step, start) * step.Seconds()
			}
			allowed := ramp.OverloadMultiple * capacityWork / cost
			if total /= cost; total > allowed+2*math.Sqrt(allowed)+2 {
				t.Fatalf("%v after the start %.1f sendings within %v, want at most %.1f", time.Duration(from)*step, total, ramp.OverloadWindow, allowed)
			}
		}
	})
}

// Refund removes the latest sending of the same cost. Sendings to a warm endpoint are not recorded.
func TestRefund(t *testing.T) {
	r := Ramp{InitialShare: 0.2, Duration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second}
	s := Sender{SenderCount: 1, WarmRate: 1} // the budget is 0.36 s of work at the start, and grows with the age
	var b Budget
	start := time.Minute
	r.Spend(&b, start, start, 0.3)
	if r.Allows(&b, start+1, start, 0.3, s) {
		t.Error("a second sending is allowed, which exceeds the budget")
	}
	b.Refund(0.2) // no effect: no sending has this cost
	b.Refund(0.3)
	if !r.Allows(&b, start+1, start, 0.3, s) {
		t.Error("a refunded sending still counts")
	}
	r.Spend(&b, start+1, start, 0.3)
	if !r.Allows(&b, start+time.Second+1, start, 0.3, s) {
		t.Error("a sending still counts after the window")
	}
	for i := range 1000 {
		r.Spend(&b, start+r.Duration+time.Duration(i), start, 0.3)
	}
	if len(b.sent) > 0 {
		t.Errorf("%d sendings to a warm endpoint are recorded, want none", len(b.sent))
	}
}

func TestCapacityShare(t *testing.T) {
	r := Ramp{InitialShare: 0.2, Duration: 10 * time.Second}
	for _, c := range []struct {
		now, start time.Duration
		want       float64
	}{{time.Hour, 0, 1}, {20, 20, 0.2}, {5 * time.Second, 10 * time.Second, 0.2}, {15 * time.Second, 10 * time.Second, 0.6},
		{20 * time.Second, 10 * time.Second, 1}} {
		if got := r.CapacityShare(c.now, c.start); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("share at %v after a start at %v: %v, want %v", c.now, c.start, got, c.want)
		}
	}
	if (Ramp{}).CapacityShare(1, 1) != 1 {
		t.Error("share of an endpoint without a ramp, want 1")
	}
}

// Senders that know no rate use the floor in turns, one sender per window, so that none is shut out
// for the whole ramp.
func TestFloorRotatesAmongSenders(t *testing.T) {
	r := Ramp{InitialShare: 0.15, Duration: 17 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second}
	start, endpointHash := 1000*time.Hour, uint64(0x9d2c5680a1b3f4e7)
	budgets, sentOnce := make([]Budget, 30), map[int]bool{}
	for now := start; now < start+r.Duration; now += 5 * time.Millisecond {
		for i := range budgets {
			if r.Allows(&budgets[i], now, start, 0.25, Sender{SenderCount: 30, Position: SenderPosition(i, endpointHash)}) {
				r.Spend(&budgets[i], now, start, 0.25)
				sentOnce[i] = true
			}
		}
	}
	if len(sentOnce) < 6 || len(sentOnce) > 12 {
		t.Errorf("%d of 30 senders sent within %v, want one in each %v", len(sentOnce), r.Duration, r.OverloadWindow)
	}
}

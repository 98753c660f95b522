package slowstart

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However many senders there are, however uneven their traffic, and whatever moment each learns of the start: in no window
// is a cold store sent more than its multiple of what it can do, but for what chance adds: 2 roots of that, and 2.
func TestSendersTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ramp := Ramp{InitialShare: rapid.Float64Range(0.08, 0.4).Draw(t, "from"), Duration: time.Duration(rapid.IntRange(8, 22).Draw(t, "for")) * time.Second,
			OverloadMultiple: rapid.Float64Range(2, 2.5).Draw(t, "multiple"), OverloadWindow: time.Duration(rapid.IntRange(1, 2).Draw(t, "within")) * time.Second}
		n := rapid.IntRange(1, 12).Draw(t, "senders")
		const capacity, cost, step = 100.0, 0.5, 5 * time.Millisecond // seconds of work a second
		shares := make([]float64, n)                                  // of the traffic; warm stores carry it within their capacity
		sum := 0.0
		for i := range shares {
			shares[i] = rapid.Float64Range(0.05, 1).Draw(t, "share")
			sum += shares[i]
		}
		learnsAt, budgets := make([]time.Duration, n), make([]Budget, n)
		start := time.Minute
		for i := range n {
			learnsAt[i] = start + time.Duration(rapid.IntRange(0, 100).Draw(t, "learns"))*time.Millisecond
		}
		endpointHash := rapid.Uint64().Draw(t, "store")
		var sent []float64 // by step
		for now := start; now < start+6*time.Second; now += step {
			sentNow := 0.0
			for i := range n {
				s := Sender{SenderCount: float64(n), Position: SenderPosition(i, endpointHash), WarmRate: capacity * shares[i] / sum}
				for now >= learnsAt[i] && ramp.Allows(&budgets[i], now, start, cost, s) { // each always has more to send
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
				t.Fatalf("%v after the start %.1f were sent within %v, %.1f are allowed", time.Duration(from)*step, total, ramp.OverloadWindow, allowed)
			}
		}
	})
}

// What did not come to the store is taken back, the latest of its cost; to a warm one nothing is kept in mind.
func TestRefund(t *testing.T) {
	r := Ramp{InitialShare: 0.2, Duration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second}
	s := Sender{SenderCount: 1, WarmRate: 1} // 0.36 at the start, and more by the age
	var b Budget
	start := time.Minute
	r.Spend(&b, start, start, 0.3)
	if r.Allows(&b, start+1, start, 0.3, s) {
		t.Error("twice the part is allowed")
	}
	b.Refund(0.2) // nothing was sent of that cost
	b.Refund(0.3)
	if !r.Allows(&b, start+1, start, 0.3, s) {
		t.Error("what was taken back counts still")
	}
	r.Spend(&b, start+1, start, 0.3)
	if !r.Allows(&b, start+time.Second+1, start, 0.3, s) {
		t.Error("what was sent a window ago counts still")
	}
	for i := range 1000 {
		r.Spend(&b, start+r.Duration+time.Duration(i), start, 0.3)
	}
	if len(b.sent) > 0 {
		t.Errorf("%d sendings to a warm store are kept in mind", len(b.sent))
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
			t.Errorf("%v after a start at %v: %v, want %v", c.now, c.start, got, c.want)
		}
	}
	if (Ramp{}).CapacityShare(1, 1) != 1 {
		t.Error("a store that is never cold")
	}
}

// Of many that know nothing each has its turn with the floor, one in each window: none is shut out for the whole ramp.
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
		t.Errorf("%d of 30 had a turn in %v, one in each %v is wanted", len(sentOnce), r.Duration, r.OverloadWindow)
	}
}

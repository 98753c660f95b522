package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// All directors of a location learn of one new, empty cache within a tenth of a second. Some have several times the mean
// traffic, none hears another, and half of them are dead for a while. In no window is the cache sent more than it can take
// by what warm ones of its size do.
func TestUnevenTrafficKeepsAColdCachesBudget(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 9))
		n := 2 + rng.IntN(60)
		f := newFleet(t, n, func(s *Settings) {
			s.Gossip = true // and none arrives
			s.OverloadWindow, s.OverloadMultiple, s.SlowStartFrom, s.SlowStartFor = time.Second, 2, 0.19, 15*time.Second
		})
		rate, sum := make([]float64, n), 0.0
		for i := range rate {
			rate[i] = math.Exp(rng.NormFloat64())
			sum += rate[i]
		}
		const perSecond, sendTime = 200.0, 0.1
		step := func(count map[string]float64) {
			f.now += 10 * ms
			for i, r := range f.rigs {
				r.now = f.now
				if r.d == nil || rng.Float64() > perSecond*rate[i]/sum*0.01 {
					continue
				}
				if id, a := r.ask("film", fmt.Sprint("o", rng.IntN(1<<30))); a != nil {
					count[a.Endpoint] += sendTime
					r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 150 * ms})
				}
			}
		}
		before := map[string]float64{}
		for range 600 {
			step(before)
		}
		warm := (before["c1"] + before["c2"] + before["c3"] + before["c4"]) / 4 / 6 // work a second: the least that it can do
		l := members()[:1]
		l[0].Incarnation = f.now
		heard := make([]time.Duration, n)
		for i := range heard {
			heard[i] = f.now + time.Duration(rng.IntN(100))*ms
		}
		dead := map[int]bool{}
		for i := range n / 2 {
			dead[i] = rng.IntN(2) == 0
		}
		var sent []float64
		for range 500 {
			for i, r := range f.rigs {
				if heard[i] > 0 && heard[i] <= f.now {
					heard[i] = 0
					r.now = f.now
					r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
				}
			}
			if len(sent) == 100 { // some die, and return knowing the list alone
				for i := range dead {
					if dead[i] {
						f.rigs[i] = f.start(i, n, func(s *Settings) { *s = f.rigs[i].d.set })
						f.rigs[i].do(EndpointUpdate{Kind: FullList, Endpoints: append(members()[1:], l...)})
					}
				}
			}
			count := map[string]float64{}
			step(count)
			sent = append(sent, count["c1"])
		}
		for from := 0; from+100 <= len(sent); from++ {
			got, can := 0.0, 0.0
			for k := from; k < from+100; k++ {
				got += sent[k]
				can += warm * (0.19 + 0.81*float64(k)/1500) * 0.01
			}
			// Chance has its part: traffic comes one at a time, and what is warm was measured over six seconds.
			if most := 2*can + 6*sendTime; got > most {
				t.Fatalf("seed %d, %d directors: %.1f s of work within a second, %.1f are allowed", seed, n, got, most)
			}
		}
	}
}

// A store that fails for everybody costs the fleet a stated number of first attempts: of each director three that find it out,
// and one at the end of each ejection, which double up to eight seconds.
func TestAStoreThatIsBadForEverybodyCostsABoundedNumber(t *testing.T) {
	const n, seconds = 80, 24
	f := newFleet(t, n, nil)
	firsts := 0
	for range seconds * 100 {
		f.now += 10 * ms
		for i, r := range f.rigs {
			r.now = f.now
			if (int(f.now/(10*ms))+i)%10 != 0 { // ten requests a second each
				continue
			}
			id, a := r.ask("film", fmt.Sprint("o", i, f.now))
			for k := 0; a != nil && k < 4; k++ {
				o := AttemptResult{ID: id, Attempt: k, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 20 * ms}
				if a.Endpoint == "c1" {
					if k == 0 {
						firsts++
					}
					o.Status, o.Reason, o.Final = ServerError, ReasonNone, false
				}
				a = first[ForwardAttempt](r.do(o))
			}
		}
	}
	// Ejected for 1, 2, 4 and 8 s, and again for 8: five trials in 24 s.
	if most := n * (3 + 5 + 1); firsts > most || firsts < n {
		t.Errorf("%d first attempts were spent on a store that fails all, %d allowed", firsts, most)
	}
}

// BenchmarkFullSize is a gateway among 300, with 200 stores in its list: what it holds, and what a request costs it, at few
// requests a second each.
func BenchmarkFullSize(b *testing.B) {
	s := settings()
	s.Directors, s.ZoneDirectors, s.Zones = 300, []int{0, 30, 270}, []string{"hub", "here", "there"}
	var list []Endpoint
	for i := range 200 {
		m := Endpoint{ID: fmt.Sprintf("s%03d", i), Zone: "there", Kind: "box", Weight: 7}
		if i < 20 {
			m.Zone = "here"
		} else if i < 28 {
			m.Zone, m.Kind = "hub", "parent"
		}
		list = append(list, m)
	}
	list = append(list, Endpoint{ID: "o", Zone: "hub", Kind: "origin"})
	d, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	out := d.Handle(now, EndpointUpdate{Kind: StaleList, Endpoints: list}, nil)
	for i := 1; i < 300; i++ {
		out = d.Handle(now, GossipReceived{From: i, Data: greeting(1 + i%2)}, out[:0])
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		now += 200 * ms
		id := fmt.Sprint(n)
		out = d.Handle(now, Request{ID: id, Class: "film", Object: fmt.Sprint("o", n%5000), SizeKB: 400, Deadline: now + 6*time.Second}, out[:0])
		if a := first[ForwardAttempt](out); a != nil {
			out = d.Handle(now+50*ms, AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 50 * ms}, out[:0])
		}
	}
}

package loadreport

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestFindFields(t *testing.T) {
	for _, c := range []struct {
		names  []string
		report []float64
		slots  float64
		want   float64
		ok     bool
	}{
		{[]string{"cpu_share", "x1", "x0"}, []float64{0.7, 0.2, 0.9}, 0, 0.7, true},
		{[]string{"x1", "util"}, []float64{0.2, 1.1}, 8, 1.1, true},
		{[]string{"busy_reqs", "x1"}, []float64{6, 0.2}, 8, 0.75, true},
		{[]string{"busy_reqs", "x1"}, []float64{6, 0.2}, 0, 0, false}, // slots unknown
		{[]string{"x0"}, []float64{0.5}, 8, 0, false},
		{[]string{"util"}, nil, 8, 0, false},
		{[]string{"util"}, []float64{math.NaN()}, 8, 0, false},
		{[]string{"util"}, []float64{-1}, 8, 0, false},
		{[]string{"util"}, []float64{math.Inf(1)}, 8, 0, false},
	} {
		if got, ok := FindFields(c.names).Utilization(c.report, c.slots); ok != c.ok || ok && got != c.want {
			t.Errorf("names %v, report %v, slots %v: utilization %v, ok %v", c.names, c.report, c.slots, got, ok)
		}
	}
}

// A report that several answers carry at the same time counts once.
func TestReportsWeighByTime(t *testing.T) {
	var l Load
	l.Observe(0, 0.2)
	for range 10 {
		l.Observe(50*time.Millisecond, 1)
	}
	if got, ok := l.Utilization(50 * time.Millisecond); !ok || got > 0.25 {
		t.Errorf("utilization %v after ten equal reports at one time, want at most 0.25", got)
	}
	for at := 100 * time.Millisecond; at < 3*time.Second; at += 100 * time.Millisecond {
		l.Observe(at, 1)
	}
	if got, _ := l.Utilization(3 * time.Second); got < 0.9 {
		t.Errorf("utilization %v after three seconds of reports of 1, want at least 0.9", got)
	}
	if _, ok := l.Utilization(7 * time.Second); ok {
		t.Error("the utilization is used four seconds after the last report")
	}
}

func TestImbalance(t *testing.T) {
	load := func(share float64) *Load { l := &Load{}; l.Observe(time.Second, share); return l }
	for _, c := range []struct {
		from, to *Load
		want     float64
	}{
		{load(1), load(0.4), 0.4}, {load(0.6), load(0), 0}, {load(0.9), load(0.75), 0},
		{load(1), &Load{}, 0}, {&Load{}, load(0), 0}, {load(0.3), load(1), 0},
	} {
		if got := Imbalance(time.Second, c.from, c.to); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("imbalance %v, want %v", got, c.want)
		}
	}
}

// For any sequence of reports, no two endpoints move requests to each other, and probabilities are
// from 0 to 1.
func TestImbalanceIsOneWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Load
		now := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			l := &a
			if rapid.Bool().Draw(t, "second endpoint") {
				l = &b
			}
			l.Observe(now, rapid.Float64Range(0, 3).Draw(t, "utilization"))
		}
		forward, backward := Imbalance(now, &a, &b), Imbalance(now, &b, &a)
		if forward > 0 && backward > 0 {
			t.Fatalf("imbalances %v and %v in both directions, want at most one above 0", forward, backward)
		}
		for _, cached := range []bool{false, true} {
			if c := MoveProbability(forward, cached); c < 0 || c > 1 {
				t.Fatalf("probability %v is not from 0 to 1", c)
			}
		}
	})
}

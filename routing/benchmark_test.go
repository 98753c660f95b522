package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFullSize measures the time and memory per request of a gateway among 300, with 200
// endpoints on its list, at a few requests per second.
func BenchmarkFullSize(b *testing.B) {
	s := defaultSettings()
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
		out = d.Handle(now, GossipReceived{From: i, Data: encodeGreeting(1 + i%2)}, out[:0])
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		now += 200 * ms
		id := fmt.Sprint(n)
		out = d.Handle(now, Request{ID: id, Class: "film", Object: fmt.Sprint("o", n%5000), SizeKB: 400, Deadline: now + 6*time.Second}, out[:0])
		if a := firstAction[ForwardAttempt](out); a != nil {
			out = d.Handle(now+50*ms, AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 50 * ms}, out[:0])
		}
	}
}

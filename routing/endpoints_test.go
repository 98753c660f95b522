package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainedServersGetNothingNew(t *testing.T) {
	r := newRig(t, nil)
	l := members()
	for i := range l {
		if l[i].ID == "c1" || l[i].ID == "p1" {
			l[i].Phase = Draining
		}
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
	for i := range 50 {
		if a := r.serve("film", fmt.Sprint(i), ReasonFilled); a.Endpoint == "c1" || a.FillSource == "p1" {
			t.Fatalf("%+v names a draining server", a)
		}
	}
}

// Ids come and go all day: what is gone is forgotten, and its outcomes still due do no harm.
func TestStoresThatAreGoneAreForgotten(t *testing.T) {
	r := newRig(t, nil)
	r.serve("page", "x", ReasonFilled)
	id, a := r.ask("page", "x")
	for i := range 500 {
		m := Endpoint{ID: fmt.Sprint("s", i), Zone: "here", Kind: "box"}
		r.do(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{m}})
		m.Phase = Removed
		r.do(EndpointUpdate{Kind: DeltaList, Endpoints: []Endpoint{m}})
	}
	gone := members()
	for i := range gone {
		gone[i].Phase = Removed
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: gone})
	r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: Reset, Latency: ms})
	if n := len(r.d.endpoints); n != 0 {
		t.Errorf("%d servers are kept", n)
	}
}

// Where all caches of a location died, their successors start cold, and what they may be sent rests on what the old
// ones carried while they did. That was first looked at when a cold one came, with none left to tell: the location
// stayed shut.
func TestSuccessorsOfAllCachesAreLetServe(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.AllowBypass = false })
	for i := range 400 {
		r.serve("page", fmt.Sprint(i%40), ReasonHit)
	}
	gone, fresh := members()[:4], []Endpoint{}
	for range 20 { // they die
		id, a := r.after(10*ms).ask("page", "x")
		if a != nil {
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: ConnectFailed, Final: true, Latency: ms})
		}
	}
	r.after(8 * time.Second)
	for i := range gone {
		gone[i].Phase = Removed
		fresh = append(fresh, Endpoint{ID: fmt.Sprint("n", i), Zone: "here", Kind: "box", Incarnation: r.now})
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: append(gone, fresh...)})
	sent := 0
	for i := range 40 { // two seconds at the old pace
		id, a := r.after(50*ms).ask("page", fmt.Sprint(i))
		if a != nil {
			sent++
			r.do(AttemptResult{ID: id, Endpoint: a.Endpoint, Status: OK, Reason: ReasonFilled, Final: true, Latency: 40 * ms})
		}
	}
	if sent < 15 {
		t.Errorf("%d of 40 requests were sent on", sent)
	}
}

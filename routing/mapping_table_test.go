package routing

import (
	"testing"
	"time"
)

func TestListingSticksToTheCacheThatHit(t *testing.T) {
	r := newRig(t, nil)
	home := r.serve("film", "f", ReasonFilled).Endpoint
	same := 0
	for range 100 {
		last := r.d.table[mix(hash("f"))].cache.id
		if r.after(time.Second).serve("film", "f", ReasonHit).Endpoint == last {
			same++
		}
	}
	if same < 90 || same == 100 {
		t.Errorf("%d of 100 requests went to the listed cache", same)
	}
	if other, _ := New(settings(), 99); true { // a director without a table opens at the same home
		other.Handle(0, EndpointUpdate{Kind: FullList, Endpoints: members()}, nil)
		a := first[ForwardAttempt](other.Handle(0, Request{ID: "z", Class: "film", Object: "f", Deadline: time.Second}, nil))
		if a == nil || a.Endpoint != home {
			t.Errorf("opened at %v, the home is %s", a, home)
		}
	}
}

// A listing on a cache that restarted is void.
func TestRestartVoidsListings(t *testing.T) {
	r := newRig(t, nil)
	home := r.serve("film", "f", ReasonHit).Endpoint
	e := r.d.table[mix(hash("f"))]
	l := members()
	for i := range l {
		if l[i].ID == home {
			l[i].Incarnation = r.now - time.Second
		}
	}
	r.do(EndpointUpdate{Kind: DeltaList, Endpoints: l})
	if e.hitExpectedAt(r.d.endpoints[home]) || len(r.d.endpoints[home].listings) != 0 {
		t.Error("the restarted cache still lists the object")
	}
}

// Where nothing is told, popular objects rise to the top rank as they do where hits are told, and rare ones don't.
func TestRanksFollowRequestsWhereNothingIsTold(t *testing.T) {
	r := newRig(t, untold)
	keep := RankNone
	for range 12 {
		keep = r.after(100*ms).serve("film", "popular", ReasonNone).CacheRank
	}
	if keep != 3 {
		t.Errorf("asked twelve times in a second it is kept at rank %d", keep)
	}
	r.serve("film", "rare", ReasonNone)
	if got := r.after(20*time.Second).serve("film", "rare", ReasonNone).CacheRank; got == 3 {
		t.Error("asked twice in twenty seconds it is kept at the top rank")
	}
}

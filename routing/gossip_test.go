package routing

import (
	"strings"
	"testing"
)

func TestGossipMovesListingOnlyIfValidAndNewer(t *testing.T) {
	r := newHarness(t, nil)
	r.serve("film", "f", ReasonFilled)
	e := r.d.table[mix(hash("f"))]
	for _, c := range []struct {
		data  string
		moves bool
	}{
		{"w1|1|c9|0,%s;", false}, {"w2|1|c1|0,%s;", false}, {"w1|2|c1|0,%s;", false}, {"w1|1|x1|0,%s;", false},
		{"w1|1|c1|x,%s;", false}, {"w1|1|c1|99999,%s;", false}, {"", false},
		{"w1|1|c1|0,%s;" + strings.Repeat("0,1;", 70), false}, {"w1|1|c1|0,%s;", true},
	} {
		e.cache = r.d.endpoints["c2"]
		data := strings.Replace(c.data, "%s", formatBase36(e.key), 1)
		r.advance(ms).handle(GossipReceived{From: 1, Data: data})
		if (e.cache.id == "c1") != c.moves {
			t.Errorf("message %q: the object is listed at %s, want c1 for a valid, newer message and c2 for others", data, e.cache.id)
		}
	}
}

func TestMovesAreSentOnlyWithinLocation(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(GossipReceived{From: 1, Data: "w1|1"})
	r.handle(GossipReceived{From: 2, Data: "w1|2"})
	r.serve("film", "f", ReasonFilled)
	out := r.advance(gossipInterval).handle(TimerFired{Token: gossipToken})
	msg := firstAction[SendGossip](out)
	if msg == nil || msg.To != 1 || len(out) != 1 || len(msg.Data) > maxGossipBytes {
		t.Errorf("got actions %v, want one message to director 1", out)
	}
}

package routing

import (
	"strings"
	"testing"
)

func TestHintsMoveAListingUnlessOursIsNewer(t *testing.T) {
	r := newRig(t, nil)
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
		data := strings.Replace(c.data, "%s", fmt36(e.key), 1)
		r.after(ms).do(GossipReceived{From: 1, Data: data})
		if (e.cache.id == "c1") != c.moves {
			t.Errorf("%q: listed on %s", data, e.cache.id)
		}
	}
}

func TestMovesAreToldToTheLocationOnly(t *testing.T) {
	r := newRig(t, nil)
	r.do(GossipReceived{From: 1, Data: "w1|1"})
	r.do(GossipReceived{From: 2, Data: "w1|2"})
	r.serve("film", "f", ReasonFilled)
	out := r.after(gossipInterval).do(TimerFired{Token: gossipToken})
	told := first[SendGossip](out)
	if told == nil || told.To != 1 || len(out) != 1 || len(told.Data) > maxGossipBytes {
		t.Errorf("told %v", out)
	}
}

package overload

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testClasses() []Class {
	return []Class{{Name: "replay", PriorityWeight: 2}, {Name: "assets", PriorityWeight: 1}, {Name: "turn", PriorityWeight: 3}}
}

func TestBandsFollowPriorityWeight(t *testing.T) {
	for _, retriesFirst := range []bool{false, true} {
		o := NewOrder(testClasses(), retriesFirst)
		want := []string{"turn", "turn+repeat", "replay", "replay+repeat", "assets", "assets+repeat", "unknown"}
		if retriesFirst {
			want = []string{"turn+repeat", "turn", "replay+repeat", "replay", "assets+repeat", "assets", "unknown"}
		}
		for b, name := range want {
			class, retry := strings.CutSuffix(name, "+repeat")
			if got := o.Band(class, retry); got != b && b < 6 || o.Name(b) != name {
				t.Errorf("RetriesFirst %v: %s is in band %d, and band %d is %s", retriesFirst, name, got, b, o.Name(b))
			}
		}
		if o.BandOf([]byte("nonsense"), true) != 6 || o.Bands() != 7 {
			t.Error("an unknown class is not in the last of 7 bands")
		}
	}
	costly := NewOrder([]Class{{Name: "big", PriorityWeight: 2, Cost: 4}, {Name: "small", PriorityWeight: 1}}, false)
	if costly.Band("small", false) != 0 || costly.Cost(costly.Band("big", false)) != 4 {
		t.Error("classes are not ranked by their weight per unit of cost")
	}
}

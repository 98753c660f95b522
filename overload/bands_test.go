package overload

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func site() []Class {
	return []Class{{Name: "replay", PriorityWeight: 2}, {Name: "assets", PriorityWeight: 1}, {Name: "turn", PriorityWeight: 3}}
}

func TestBandsGoByPriorityWeight(t *testing.T) {
	for _, first := range []bool{false, true} {
		o := NewOrder(site(), first)
		want := []string{"turn", "turn+repeat", "replay", "replay+repeat", "assets", "assets+repeat", "unknown"}
		if first {
			want = []string{"turn+repeat", "turn", "replay+repeat", "replay", "assets+repeat", "assets", "unknown"}
		}
		for b, name := range want {
			class, retry := strings.CutSuffix(name, "+repeat")
			if got := o.Band(class, retry); got != b && b < 6 || o.Name(b) != name {
				t.Errorf("repeats first %v: %s is in band %d, and band %d is %s", first, name, got, b, o.Name(b))
			}
		}
		if o.BandOf([]byte("nonsense"), true) != 6 || o.Bands() != 7 {
			t.Error("an unknown class is not last")
		}
	}
	costly := NewOrder([]Class{{Name: "big", PriorityWeight: 2, Cost: 4}, {Name: "small", PriorityWeight: 1}}, false)
	if costly.Band("small", false) != 0 || costly.Cost(costly.Band("big", false)) != 4 {
		t.Error("weight counts for each unit of cost")
	}
}

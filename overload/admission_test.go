package overload

import (
	"sync"
	"testing"
	"time"
)

func TestAdmissionControllerAdmitsItsShare(t *testing.T) {
	ac := NewAdmissionController(1, 1)
	ac.SetPolicy(&AdmissionPolicy{Admit: [][]uint32{{fullShare / 4}}, RetryAfter: time.Second})
	var mu sync.Mutex
	var all sync.WaitGroup
	admitted, least, most := 0, time.Hour, time.Duration(0)
	for w := range 4 {
		all.Go(func() {
			for i := range 10000 {
				draw := (uint64(w)*10000 + uint64(i)) * 0x9e3779b97f4a7c15 >> 13
				retryAfter, ok := ac.Admit(0, 0, draw)
				mu.Lock()
				if ok {
					admitted++
				} else {
					least, most = min(least, retryAfter), max(most, retryAfter)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if admitted < 9500 || admitted > 10500 || ac.Offered(0, 0) != 40000 || ac.Shed(0, 0) != uint64(40000-admitted) {
		t.Errorf("%d of 40000 requests admitted and %d shed, want about 10000 admitted", admitted, ac.Shed(0, 0))
	}
	if least < 750*ms || most > 1250*ms || most-least < 450*ms {
		t.Errorf("Retry-After from %v to %v, want 750 ms to 1.25 s, and most of that range", least, most)
	}
}

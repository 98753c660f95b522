package overload

import (
	"testing"
	"time"
)

// Load that comes and goes every second, and single peaks, do not make the weight swing.
func TestBalancerWeightDoesNotFlap(t *testing.T) {
	var h BalancerWeight
	swings, last, direction := 0, 100, 0
	for i := range 600 { // a minute
		level := 0.0
		if i/10%2 == 1 {
			level = 0.6
		}
		w := h.Update(time.Duration(i)*100*ms, level)
		if d := w - last; d != 0 {
			if direction != 0 && (d > 0) != (direction > 0) && (d > 10 || d < -10) {
				swings++
			}
			direction, last = d, w
		}
	}
	if swings > 3 || last > 80 || last < 40 {
		t.Errorf("%d swings of over 10 %%, want at most 3; weight %d %% at the end, want 40 to 80", swings, last)
	}
	for i := range 400 {
		last = h.Update(time.Minute+time.Duration(i)*100*ms, 0)
	}
	if last != 100 {
		t.Errorf("weight %d %% long after the load, want 100", last)
	}
}

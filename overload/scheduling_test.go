package overload

import (
	"testing"
	"time"
)

func TestSchedulingMonitorDistinguishesPausesFromWork(t *testing.T) {
	m := NewSchedulingMonitor(20*ms, 40*ms)
	m.Tick(0, 0)
	for _, step := range []struct {
		name     string
		now, cpu time.Duration
		paused   bool
	}{{"a regular tick", 20 * ms, 10 * ms, false}, {"300 ms of own work", 320 * ms, 300 * ms, false},
		{"a short gap", 370 * ms, 301 * ms, false}, {"300 ms without running", 690 * ms, 302 * ms, true},
		{"the next tick", 710 * ms, 303 * ms, false}, {"95 ms with 17 ms of CPU time", 805 * ms, 320 * ms, true}} {
		if got := m.Tick(step.now, step.cpu); (got > 0) != step.paused {
			t.Errorf("%s: pause of %v, want the opposite: a pause if this is 0, else none", step.name, got)
		}
	}
	if m.FrequentPauses(805 * ms) {
		t.Error("two pauses count as frequent")
	}
	for i := range time.Duration(4) {
		m.Tick(1000*ms+i*100*ms, 320*ms)
	}
	if !m.FrequentPauses(1300*ms) || m.FrequentPauses(2500*ms) {
		t.Error("four pauses in half a second do not count as frequent, or still do after a second")
	}
	m.Pauses, m.PausedTime = m.Pauses-4, m.PausedTime-4*80*ms
	if m.Pauses != 2 || m.PausedTime < 300*ms || m.PausedTime > 600*ms {
		t.Errorf("%d pauses of %v in total, want 2 of 0.3 s to 0.6 s", m.Pauses, m.PausedTime)
	}
}

package replication

import "time"

// injectFault makes one of the faults at a time, for 0.2 s to 4.2 s.
func (w *simulation) injectFault(at time.Duration) {
	w.clock.At(at, func() {
		m := w.nodes[w.names[w.rng.IntN(len(w.names))]]
		heal := w.clock.Now + time.Duration(200+w.rng.IntN(4000))*time.Millisecond
		switch w.rng.IntN(6) {
		case 0, 1:
			w.kill(m, heal)
		case 2:
			w.suspendUntil(m, heal)
		case 3, 4:
			w.partition(heal)
		case 5:
			w.lossRate, w.duplicationRate, w.maxDelay = 0.3*w.rng.Float64(), 0.3*w.rng.Float64(), 300*time.Millisecond
			m.wallOffset = time.Duration(w.rng.IntN(60000)-30000) * time.Millisecond
			w.clock.At(heal, func() { w.lossRate, w.duplicationRate, w.maxDelay = 0, 0, 4*time.Millisecond })
		}
	})
}

// kill ends a node, which starts again as another incarnation.
func (w *simulation) kill(m *host, back time.Duration) {
	if m.node == nil {
		return
	}
	m.run++
	m.node = nil
	w.clock.At(back, func() { w.startNode(m) })
}

// suspendUntil stops a node, which goes on where it stood.
func (w *simulation) suspendUntil(m *host, resume time.Duration) {
	if m.node == nil || m.suspended {
		return
	}
	m.suspended = true
	run := m.run
	w.clock.At(resume, func() {
		if m.run != run {
			return
		}
		m.suspended = false
		for _, received := range m.inbox {
			w.handle(m, received)
		}
		m.inbox = nil
	})
}

// partition severs links between two sides, one way or both.
func (w *simulation) partition(heal time.Duration) {
	side, oneWay := map[string]bool{}, w.rng.IntN(2) == 0
	for _, n := range w.names {
		side[n] = w.rng.IntN(2) == 0
	}
	for _, a := range w.names {
		for _, b := range w.names {
			if side[a] && !side[b] || !oneWay && side[a] != side[b] {
				w.severed[[2]string{a, b}] = true
			}
		}
	}
	w.clock.At(heal, func() { clear(w.severed) })
}

package replication

import "time"

// injectFault schedules a random fault at a time, for 0.2 s to 4.2 s: a killed node, a suspended node, a partition, or loss,
// duplication and delay of messages together with a wrong wall clock.
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

// kill kills a node, and restarts it as another incarnation at the time back.
func (w *simulation) kill(m *host, back time.Duration) {
	if m.node == nil {
		return
	}
	m.run++
	m.node = nil
	w.clock.At(back, func() { w.startNode(m) })
}

// suspendUntil suspends a node until the time resume, when it continues with its state and handles the messages
// received meanwhile.
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

// partition splits the nodes at random into two sides and severs the links between them, in one direction or both,
// until the time heal.
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

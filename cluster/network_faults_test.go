package cluster

import (
	"slices"
	"time"
)

// injectFault makes one of the faults at a time, for 0.2 s to 6.2 s.
func (w *simulation) injectFault(at time.Duration) {
	w.clock.At(at, func() {
		m := w.nodes[w.names[w.rng.IntN(len(w.names))]]
		heal := w.clock.Now + time.Duration(200+w.rng.IntN(6000))*time.Millisecond
		switch w.rng.IntN(6) {
		case 0, 1:
			w.kill(m, heal)
		case 2:
			w.suspendUntil(m, heal)
		case 3, 4:
			w.partition(heal)
		case 5:
			w.loss, w.duplication = 0.2*w.rng.Float64(), 0.2*w.rng.Float64()
			w.clock.At(heal, func() { w.loss, w.duplication = 0, 0 })
		}
	})
}

// kill ends a node, which is started again with or without what it had stored.
func (w *simulation) kill(m *host, back time.Duration) {
	if m.node == nil {
		return
	}
	m.run++
	m.node = nil
	forget := w.rng.IntN(4) == 0 && (!slices.Contains(w.voters, m.name) || w.othersCanVote(m.name))
	w.clock.At(back, func() {
		if m.node == nil {
			w.startNode(m, forget)
		}
	})
}

// suspendUntil stops a node, which goes on where it stood, before it has received anything.
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
		for name := range w.machines {
			if m.node.EndpointPermitted(w.localTime(m), name) {
				w.checkSent(m, name)
			}
		}
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

// othersCanVote says that all other voters run and may vote. Where a majority of votes is lost nothing can be settled any
// more until an operator says so, and no run asks for that.
func (w *simulation) othersCanVote(but string) bool {
	for _, n := range w.voters {
		if m := w.nodes[n]; n != but && (m.node == nil || !m.node.voter.CanVote()) {
			return false
		}
	}
	return true
}

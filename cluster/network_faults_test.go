package cluster

import (
	"slices"
	"time"
)

// injectFault injects a random fault at a time, which lasts for 0.2 s to 6.2 s.
func (w *simulation) injectFault(at time.Duration) {
	w.clock.At(at, func() {
		m := w.nodes[w.names[w.rng.IntN(len(w.names))]]
		healAt := w.clock.Now + time.Duration(200+w.rng.IntN(6000))*time.Millisecond
		switch w.rng.IntN(6) {
		case 0, 1:
			w.kill(m, healAt)
		case 2:
			w.suspendUntil(m, healAt)
		case 3, 4:
			w.partition(healAt)
		case 5:
			w.loss, w.duplication = 0.2*w.rng.Float64(), 0.2*w.rng.Float64()
			w.clock.At(healAt, func() { w.loss, w.duplication = 0, 0 })
		}
	})
}

// kill kills a node and restarts it at a time, with or without what it had stored.
func (w *simulation) kill(m *simulatedNode, restartAt time.Duration) {
	if m.node == nil {
		return
	}
	m.generation++
	m.node = nil
	eraseStorage := w.rng.IntN(4) == 0 && (!slices.Contains(w.voters, m.name) || w.othersCanVote(m.name))
	w.clock.At(restartAt, func() {
		if m.node == nil {
			w.startNode(m, eraseStorage)
		}
	})
}

// suspendUntil stops a node until a time. It resumes where it was stopped, before it has received the messages that have arrived.
func (w *simulation) suspendUntil(m *simulatedNode, resumeAt time.Duration) {
	if m.node == nil || m.suspended {
		return
	}
	m.suspended = true
	generation := m.generation
	w.clock.At(resumeAt, func() {
		if m.generation != generation {
			return
		}
		m.suspended = false
		for name := range w.machines {
			if m.node.EndpointPermitted(w.localTime(m), name) {
				w.checkInService(m, name)
			}
		}
		for _, received := range m.inbox {
			w.handle(m, received)
		}
		m.inbox = nil
	})
}

// partition severs the links between two random sets of nodes, in one or both directions, until a time.
func (w *simulation) partition(healAt time.Duration) {
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
	w.clock.At(healAt, func() { clear(w.severed) })
}

// othersCanVote reports whether all voters but one are running and may vote. If a majority of the voters lost their state, the
// cluster could agree on nothing until an operator intervenes, and no operator does so in these runs.
func (w *simulation) othersCanVote(except string) bool {
	for _, n := range w.voters {
		if m := w.nodes[n]; n != except && (m.node == nil || !m.node.voter.CanVote()) {
			return false
		}
	}
	return true
}

package routing

import "time"

const gossipInterval = 50 * time.Millisecond // moves are gathered for this long before they are told

// queueMove queues a moved listing for this location's directors.
func (d *Director) queueMove(e *mappingEntry) {
	if d.pendingMoves = append(d.pendingMoves, e); len(d.pendingMoves) == 1 {
		d.emit(SetTimer{At: d.now + gossipInterval, Token: gossipToken})
	}
}

// sendMoves tells the location's other directors of the queued moves.
func (d *Director) sendMoves() {
	for _, msg := range encodePendingMoves(d.now, d.zone, d.pendingMoves) {
		for n := range d.set.Directors {
			if d.localDirectors[n] {
				d.emit(SendGossip{To: n, Data: msg})
			}
		}
	}
	d.pendingMoves = d.pendingMoves[:0]
}

// receiveGossip takes a peer's message whole, or drops it whole.
func (d *Director) receiveGossip(p GossipReceived) {
	zone, id, tips, err := decodeGossip(p.Data)
	if err != nil || !d.set.Gossip || zone != d.zone || p.From == d.set.Index || p.From < 0 ||
		p.From >= d.set.Directors {
		return
	}
	if id == "" {
		if !d.localDirectors[p.From] {
			d.localDirectors[p.From] = true
			d.emit(SendGossip{To: p.From, Data: greeting(d.zone)})
		}
		return
	}
	s := d.endpoints[id]
	if s == nil || s.role != roleCache || s.zone != d.zone {
		return
	}
	d.localDirectors[p.From] = true
	for _, t := range tips {
		e := d.table[t.key]
		if e == nil {
			e = d.recordRequest(t.key)
			e.recentRequests = 0
		}
		if moved := d.now - t.age; moved > e.movedAt {
			e.cache, e.cacheIncarnation, e.movedAt, e.copySeenAt = s, s.incarnation, moved, moved
		}
	}
}

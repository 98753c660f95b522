package routing

import "time"

const gossipInterval = 50 * time.Millisecond // moves are collected for this long before they are sent

// queueMove queues a moved listing for the other directors of this location.
func (d *Director) queueMove(e *mappingEntry) {
	d.pendingMoves = append(d.pendingMoves, e)
	if len(d.pendingMoves) == 1 {
		d.emit(SetTimer{At: d.now + gossipInterval, Token: gossipToken})
	}
}

// sendMoves sends the queued moves to the other directors of this location.
func (d *Director) sendMoves() {
	for _, msg := range encodePendingMoves(d.now, d.zone, d.pendingMoves) {
		for n := range d.settings.Directors {
			if d.localDirectors[n] {
				d.emit(SendGossip{To: n, Data: msg})
			}
		}
	}
	d.pendingMoves = d.pendingMoves[:0]
}

// receiveGossip applies a message of another director. Messages that are malformed, from another
// location or from no valid director are dropped, and so are moves to a cache that is not of this
// location.
func (d *Director) receiveGossip(g GossipReceived) {
	zone, cache, moves, err := decodeGossip(g.Data)
	if err != nil || zone != d.zone || !d.acceptsGossipFrom(g.From) {
		return
	}
	if cache == "" {
		d.answerGreeting(g.From)
		return
	}
	ep := d.endpoints[cache]
	if ep == nil || ep.role != roleCache || ep.zone != d.zone {
		return
	}
	d.localDirectors[g.From] = true
	for _, m := range moves {
		d.applyMove(m, ep)
	}
}

// acceptsGossipFrom reports whether messages from a director, by its number, are accepted.
func (d *Director) acceptsGossipFrom(from int) bool {
	return d.settings.Gossip && from != d.settings.Index && from >= 0 && from < d.settings.Directors
}

// answerGreeting sends a greeting back to a director of this location that was unknown, so that
// both know each other.
func (d *Director) answerGreeting(from int) {
	if d.localDirectors[from] {
		return
	}
	d.localDirectors[from] = true
	d.emit(SendGossip{To: from, Data: encodeGreeting(d.zone)})
}

// applyMove lists an object at the cache that another director reported, unless this director's
// listing moved later. A new entry created by gossip counts no request.
func (d *Director) applyMove(m movedListing, ep *endpoint) {
	e := d.table[m.key]
	if e == nil {
		e = d.recordRequest(m.key)
		e.recentRequests = 0
	}
	movedAt := d.now - m.age
	if movedAt > e.movedAt {
		e.cache, e.cacheIncarnation = ep, ep.incarnation
		e.movedAt, e.copySeenAt = movedAt, movedAt
	}
}

package replication

import (
	"cmp"
	"time"
)

const (
	// pullTimeout is how long a reply is waited for.
	pullTimeout = 1500 * time.Millisecond
	// fastReply is how long a reply may take for the next one to be larger; one that takes twice as long makes it smaller.
	fastReply = 250 * time.Millisecond

	// The size of replies, in bytes, adapts between these.
	initialReplyBytes = 32 << 10
	minReplyBytes     = 2 << 10
	maxReplyBytes     = 64 << 10

	// What a reply costs beside its slots, about, in bytes.
	replyOverhead   = 64
	versionOverhead = 24 // for each StreamVersions
)

// pendingPull is a pull under way.
type pendingPull struct {
	id uint64
	to string
	at time.Duration
}

// pullInterval is the mean time between two pulls. A pull names all incarnations: with many of them it is sent less often.
func (n *Node) pullInterval() time.Duration {
	const incarnationsPerInterval = 100
	return n.cfg.PullInterval * time.Duration(max(1, len(n.incarnations)/incarnationsPerInterval))
}

func (n *Node) pullFromAny() { n.pullFrom("") }

// pullFrom asks a peer for what is new; an empty name: one that is drawn. The time to the next pull is drawn from 3/4 to 5/4 of
// the interval.
func (n *Node) pullFrom(to string) {
	interval := n.pullInterval()
	n.nextPull = n.now + interval*3/4 + time.Duration(n.rng.Int64N(int64(interval/2)))
	// A peer is drawn even where a name is given, so that a seed gives the same run whoever announces what.
	to = cmp.Or(to, n.pickPeer())
	if to == "" {
		return
	}
	n.lastPullID++
	n.pull = &pendingPull{n.lastPullID, to, n.now}
	n.Stats.Pulls++
	n.send(to, Message{Kind: Pull, ID: n.lastPullID, Versions: n.VersionVector(), MaxBytes: n.replyBytes, CatchingUp: !n.caughtUp})
}

// expirePull gives up a pull without a reply in time. Another peer is asked at once, for less.
func (n *Node) expirePull() {
	if n.pull == nil || n.now-n.pull.at <= pullTimeout {
		return
	}
	n.Stats.PullTimeouts++
	n.replyBytes = max(minReplyBytes, n.replyBytes/4)
	n.pull, n.announcer = nil, ""
	n.nextPull = n.now
}

// servePull sends a peer what it lacks, safety first, as far as the budget goes. Without any it gets no reply, and asks another.
func (n *Node) servePull(from string, m Message) {
	if n.sendBudget < minReplyBytes {
		n.Stats.Throttled++
		return
	}
	maxBytes := min(max(m.MaxBytes, minReplyBytes), maxReplyBytes)
	bulkBytes := int(n.sendBudget) - n.cfg.BytesPerSecond/safetyReserve
	if bulkBytes < minReplyBytes {
		n.Stats.Throttled++
	}
	slots, reached, more := n.Delta(m.Versions, maxBytes, min(maxBytes, bulkBytes), n.cfg.SlotBytes)
	reply := Message{Kind: PullReply, ID: m.ID, Versions: reached, More: more, CatchingUp: !n.caughtUp}
	bytes := replyOverhead + versionOverhead*len(reached)
	for _, s := range slots {
		reply.Slots = append(reply.Slots, n.transfer(s))
		bytes += n.cfg.SlotBytes(s)
	}
	lags := n.Lags(m.Versions)
	if len(slots) == 0 && !lags && m.ID%pullsPerChecksum == 0 {
		reply.Checksum = n.drawChecksum()
	}
	n.sendBudget -= float64(bytes)
	n.Stats.PullReplies++
	n.send(from, reply)
	if lags && n.pull == nil && n.caughtUp { // the peer has what this node lacks
		n.nextPull = min(n.nextPull, n.now+n.cfg.PullInterval/8)
	}
}

// transfer dates a slot by its age.
func (n *Node) transfer(s *Slot) TransferredSlot {
	t := TransferredSlot{Slot: *s, MaxAge: n.now - s.SeenAfter, MinAge: max(0, n.now-s.SeenBefore)}
	t.Slot.SeenAfter, t.Slot.SeenBefore = 0, 0
	return t
}

// receivePullReply takes in what a peer has sent, and decides whom to pull from next.
func (n *Node) receivePullReply(from string, m Message) {
	if n.pull == nil || n.pull.id != m.ID || n.pull.to != from {
		n.Stats.StaleReplies++
		return
	}
	pulledAt := n.pull.at
	n.pull = nil
	n.adaptReplyBytes(n.now - pulledAt)
	learned := n.mergeTransferred(m.Slots, pulledAt)
	for _, v := range m.Versions {
		for st := range streams {
			n.AdvanceTo(n.now, v.Incarnation, st, v.UpTo[st])
		}
	}
	if len(learned) > 0 {
		n.emit(SafetySlotsLearned{learned})
		n.announceSoon(n.now)
	}
	n.compareChecksum(from, m)
	n.pullNext(from, m)
}

// adaptReplyBytes asks for larger replies while they are fast, and for smaller ones while they are slow.
func (n *Node) adaptReplyBytes(took time.Duration) {
	switch {
	case took < fastReply:
		n.replyBytes = min(maxReplyBytes, 2*n.replyBytes)
	case took > 2*fastReply:
		n.replyBytes = max(minReplyBytes, n.replyBytes/2)
	}
}

// mergeTransferred merges slots of a reply and returns the safety slots among them that are new. A slot had its age when it was sent:
// after the pull, and before now.
func (n *Node) mergeTransferred(slots []TransferredSlot, pulledAt time.Duration) (learned []Slot) {
	for _, t := range slots {
		if t.MinAge < 0 || t.MaxAge < t.MinAge {
			n.Counters.Rejected++
			continue
		}
		s := t.Slot
		s.SeenAfter, s.SeenBefore = pulledAt-t.MaxAge, n.now-t.MinAge
		if n.Merge(n.now, n.cfg.WallClock(), s) && s.Kind.stream() == Safety {
			learned = append(learned, s)
		}
	}
	return learned
}

// pullNext goes on after a reply: with a peer that has announced safety slots, with the same one while it has more, or, while catching up,
// with another one until one that has caught up itself has sent all it has.
func (n *Node) pullNext(from string, m Message) {
	announcer := n.takeAnnouncer()
	switch {
	case announcer != "":
		n.pullFrom(announcer)
	case m.More && len(m.Slots) == 0: // the peer's budget is spent
		n.nextPull = min(n.nextPull, n.now+n.cfg.PullInterval/4)
	case m.More:
		n.pullFrom(from)
	case n.caughtUp:
	case !m.CatchingUp:
		n.finishCatchUp(from)
	default:
		n.peersCatchingUp[from] = true
		if len(n.peersCatchingUp) >= len(n.cfg.Members)-1 { // all start together: nobody knows more
			n.finishCatchUp(from)
		} else {
			n.pullFromAny()
		}
	}
}

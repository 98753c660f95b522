package replication

import (
	"cmp"
	"time"
)

const (
	// pullTimeout is the time after which a pull without a reply is given up.
	pullTimeout = 1500 * time.Millisecond
	// fastReply is the round-trip time below which the maximum size of the next reply doubles. Above twice this time it
	// is halved.
	fastReply = 250 * time.Millisecond

	// Limits of the maximum size of a reply, in bytes.
	initialReplyBytes = 32 << 10
	minReplyBytes     = 2 << 10
	maxReplyBytes     = 64 << 10

	// Approximate size of a reply without its slots, in bytes.
	replyOverhead   = 64
	versionOverhead = 24 // for each StreamVersions
)

// pendingPull is a pull that waits for its reply.
type pendingPull struct {
	id     uint64
	peer   string
	sentAt time.Duration
}

// pullInterval returns the mean time between two pulls. A pull contains the versions of all incarnations, so with
// hundreds of incarnations pulls are sent less often.
func (n *Node) pullInterval() time.Duration {
	const incarnationsPerInterval = 100
	return n.cfg.PullInterval * time.Duration(max(1, len(n.incarnations)/incarnationsPerInterval))
}

// pullFromAny pulls from a random peer.
func (n *Node) pullFromAny() { n.pullFrom("") }

// pullFrom sends a pull to a peer, or to a random one if to is empty. The time until the next pull is drawn from 3/4 to
// 5/4 of the pull interval.
func (n *Node) pullFrom(to string) {
	interval := n.pullInterval()
	n.nextPullAt = n.now + interval*3/4 + time.Duration(n.rng.Int64N(int64(interval/2)))
	// A peer is drawn even if one is given, so that the sequence of random numbers does not depend on announcements.
	to = cmp.Or(to, n.pickPeer())
	if to == "" {
		return
	}
	n.lastPullID++
	n.pull = &pendingPull{n.lastPullID, to, n.now}
	n.Stats.Pulls++
	n.send(to, Message{Kind: Pull, ID: n.lastPullID, Versions: n.VersionVector(), MaxBytes: n.replyBytes, CatchingUp: !n.caughtUp})
}

// expirePull gives up the pending pull after pullTimeout. The next pull is due at once, with a smaller maximum reply size.
func (n *Node) expirePull() {
	if n.pull == nil || n.now-n.pull.sentAt <= pullTimeout {
		return
	}
	n.Stats.PullTimeouts++
	n.replyBytes = max(minReplyBytes, n.replyBytes/4)
	n.pull, n.announcingPeer = nil, ""
	n.nextPullAt = n.now
}

// servePull replies to a pull with the slots that the peer lacks, safety first, within the send budget. If the budget
// is spent it does not reply, and the peer pulls from another member after its timeout.
func (n *Node) servePull(from string, m Message) {
	if n.sendBudget < minReplyBytes {
		n.Stats.Throttled++
		return
	}
	maxBytes := min(max(m.MaxBytes, minReplyBytes), maxReplyBytes)
	bulkBytes := int(n.sendBudget) - n.cfg.BytesPerSecond/safetyReserveDivisor
	if bulkBytes < minReplyBytes {
		n.Stats.Throttled++
	}
	slots, reached, more := n.Delta(m.Versions, maxBytes, min(maxBytes, bulkBytes), n.cfg.SlotBytes)
	reply := Message{Kind: PullReply, ID: m.ID, Versions: reached, More: more, CatchingUp: !n.caughtUp}
	bytes := replyOverhead + versionOverhead*len(reached)
	for _, s := range slots {
		reply.Slots = append(reply.Slots, n.toTransferred(s))
		bytes += n.cfg.SlotBytes(s)
	}
	lags := n.Lags(m.Versions)
	if len(slots) == 0 && !lags && m.ID%pullsPerChecksum == 0 {
		reply.Checksum = n.drawChecksum()
	}
	n.sendBudget -= float64(bytes)
	n.Stats.PullReplies++
	n.send(from, reply)
	if lags && n.pull == nil && n.caughtUp { // the peer has slots that this node lacks: pull soon
		n.nextPullAt = min(n.nextPullAt, n.now+n.cfg.PullInterval/8)
	}
}

// toTransferred returns a slot for a message, dated by its age.
func (n *Node) toTransferred(s *Slot) TransferredSlot {
	t := TransferredSlot{Slot: *s, MaxAge: n.now - s.SeenAfter, MinAge: max(0, n.now-s.SeenBefore)}
	t.Slot.SeenAfter, t.Slot.SeenBefore = 0, 0
	return t
}

// receivePullReply merges the slots of a reply to the pending pull, and schedules the next pull. Other replies are
// ignored, since the age of their slots can't be bounded.
func (n *Node) receivePullReply(from string, m Message) {
	if n.pull == nil || n.pull.id != m.ID || n.pull.peer != from {
		n.Stats.StaleReplies++
		return
	}
	pulledAt := n.pull.sentAt
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

// adaptReplyBytes adapts the maximum size of the next reply to the round-trip time of the latest one.
func (n *Node) adaptReplyBytes(took time.Duration) {
	switch {
	case took < fastReply:
		n.replyBytes = min(maxReplyBytes, 2*n.replyBytes)
	case took > 2*fastReply:
		n.replyBytes = max(minReplyBytes, n.replyBytes/2)
	}
}

// mergeTransferred merges the slots of a reply and returns the new safety slots among them. The ages of the slots apply
// to the time at which the reply was sent, which is after the pull and before now.
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

// pullNext decides after a reply from which peer to pull next: first from one that has announced newer safety slots,
// then from the same peer while it has more. While the node is catching up, it then pulls from another peer, until one
// that is not catching up itself has sent all its slots.
func (n *Node) pullNext(from string, m Message) {
	announcingPeer := n.takeAnnouncingPeer()
	switch {
	case announcingPeer != "":
		n.pullFrom(announcingPeer)
	case m.More && len(m.Slots) == 0: // the peer's send budget is spent
		n.nextPullAt = min(n.nextPullAt, n.now+n.cfg.PullInterval/4)
	case m.More:
		n.pullFrom(from)
	case n.caughtUp:
	case !m.CatchingUp:
		n.finishCatchUp(from)
	default:
		n.peersCatchingUp[from] = true
		if len(n.peersCatchingUp) >= len(n.cfg.Members)-1 { // all members are starting: no peer knows more
			n.finishCatchUp(from)
		} else {
			n.pullFromAny()
		}
	}
}

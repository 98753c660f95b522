package replication

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Node exchanges the slots of one replica with the other members. Create it with NewNode. It is not safe for concurrent use.
type Node struct {
	*Replica
	Stats NodeCounters

	cfg     Config
	rng     *rand.Rand
	now     time.Duration // argument of the current Handle call
	actions []Action      // collected during the current Handle call

	// Catching up.
	startedAt       time.Duration // time of the first event; negative: none yet
	caughtUp        bool
	peersCatchingUp map[string]bool // peers that have replied that they are catching up themselves

	// Pulls (pull.go).
	lastPullID   uint64
	pull         *pendingPull // the pull that waits for its reply; nil: none
	nextPullAt   time.Duration
	replyBytes   int                      // maximum size of the next reply, in bytes
	lastReceived map[string]time.Duration // by peer: time of its latest message

	// Announcements (announce.go).
	announceAt        time.Duration    // time of the next announcement; 0: nothing to announce
	announcingPeer    string           // peer that has announced newer safety slots and is to be pulled from next; empty: none
	announcedVersions []StreamVersions // versions in that announcement

	// Budgets (budget.go), in bytes.
	sendBudget       float64 // for replies
	bulkBudget       float64 // for this node's own bulk slots
	budgetsUpdatedAt time.Duration

	// Divergences (divergence.go).
	divergences []Divergence
	mismatches  map[string]int // by peer: number of checksums that differed, minus those that matched since; at least 0
}

// NewNode returns a node with an empty replica. It returns an error that names the setting if c is invalid.
func NewNode(c Config) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return &Node{
		Replica:         NewReplica(c.Self, c.PurgeSettleTime),
		cfg:             c,
		rng:             rand.New(rand.NewPCG(c.Seed, 0x2545f491)),
		startedAt:       -1,
		peersCatchingUp: map[string]bool{},
		replyBytes:      initialReplyBytes,
		lastReceived:    map[string]time.Duration{},
		sendBudget:      float64(c.BytesPerSecond),
		bulkBudget:      minBulkBurst,
		mismatches:      map[string]int{},
	}, nil
}

// Handle processes one event and returns out with the resulting actions appended. now is the time on a monotonic clock
// of the caller's choice; it must not decrease from call to call.
func (n *Node) Handle(now time.Duration, e Event, out []Action) []Action {
	n.now, n.actions = now, out
	if n.startedAt < 0 {
		n.startedAt, n.budgetsUpdatedAt = now, now
		n.caughtUp = len(n.cfg.Members) == 1
	}
	n.refillBudgets()
	switch e := e.(type) {
	case MessageReceived:
		if slices.Contains(n.cfg.Members, e.From) && e.From != n.cfg.Self.Name {
			n.lastReceived[e.From] = now
			n.receive(e.From, e.Message)
		}
	case Tick:
		n.tick()
	}
	out, n.actions = n.actions, nil
	return out
}

// Publish writes this incarnation's slot for a key like [Replica.Write], and announces it to a few peers if it is a
// safety slot. A bulk slot is not written if the budget for own bulk slots is spent. seen is the time at which the
// evidence was seen, on the clock of now. Publish reports whether the slot was written.
func (n *Node) Publish(now time.Duration, k Kind, key string, value []byte, seen time.Duration) bool {
	if k.stream() == Bulk {
		return n.publishBulk(now, k, key, value, seen)
	}
	if !n.Write(now, n.cfg.WallClock(), k, key, value, seen) {
		return false
	}
	n.announceSoon(now)
	return true
}

// CatchingUp reports whether the node is still catching up with its peers after its start.
func (n *Node) CatchingUp() bool { return !n.caughtUp }

// aliveIntervals is the number of pull intervals for which a peer counts as alive after its latest message.
const aliveIntervals = 10

// LivePeers returns the number of other members that count as alive: a message of theirs arrived within the last
// aliveIntervals pull intervals.
func (n *Node) LivePeers(now time.Duration) (count int) {
	for _, at := range n.lastReceived {
		if now-at < aliveIntervals*n.pullInterval() {
			count++
		}
	}
	return count
}

// emit adds an action to those that the current Handle call returns.
func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) send(to string, m Message) { n.emit(Send{to, m}) }

// tick expires slots, the pending pull and the catch-up, and sends an announcement or a pull if one is due.
func (n *Node) tick() {
	n.Sweep(n.now)
	n.expirePull()
	if !n.caughtUp && n.now-n.startedAt >= n.cfg.CatchUpTimeout {
		n.finishCatchUp("")
	}
	if n.announceAt > 0 && n.now >= n.announceAt {
		n.announceAt = 0
		n.announce()
	}
	if n.pull == nil && n.now >= n.nextPullAt {
		n.pullFromAny()
	}
}

// finishCatchUp emits CaughtUp, once. peer is the peer whose reply completed the catch-up; empty: it timed out.
func (n *Node) finishCatchUp(peer string) {
	if !n.caughtUp {
		n.caughtUp = true
		n.emit(CaughtUp{peer, n.now - n.startedAt})
	}
}

// receive dispatches a message by its kind.
func (n *Node) receive(from string, m Message) {
	switch m.Kind {
	case Pull:
		n.servePull(from, m)
	case PullReply:
		n.receivePullReply(from, m)
	case Announce:
		n.receiveAnnouncement(from, m)
	}
}

// pickPeer draws another member at random, or returns an empty string if there is none. While the node is catching up
// it prefers peers that are not known to be catching up themselves.
func (n *Node) pickPeer() string {
	if len(n.cfg.Members) < 2 {
		return ""
	}
	const draws = 8
	for range draws {
		to := n.cfg.Members[n.rng.IntN(len(n.cfg.Members))]
		if to != n.cfg.Self.Name && (n.caughtUp || !n.peersCatchingUp[to]) {
			return to
		}
	}
	for _, to := range n.cfg.Members {
		if to != n.cfg.Self.Name && !n.peersCatchingUp[to] {
			return to
		}
	}
	self := slices.Index(n.cfg.Members, n.cfg.Self.Name)
	return n.cfg.Members[(self+1)%len(n.cfg.Members)]
}

package replication

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Node is a gateway's part in keeping the replicas alike. Use NewNode. It is not safe for concurrent use.
type Node struct {
	*Replica
	Stats NodeCounters

	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action // of the event that is being handled

	// Catching up.
	started         time.Duration // of the first event; negative: there was none yet
	caughtUp        bool
	peersCatchingUp map[string]bool // peers that were asked, and were catching up themselves

	// Pulls (pull.go).
	lastPullID   uint64
	pull         *pendingPull // nil: none is under way
	nextPull     time.Duration
	replyBytes   int // that the next reply may have
	lastReceived map[string]time.Duration

	// Announcements (announce.go).
	announceAt time.Duration    // 0: there is nothing to announce
	announcer  string           // who has newer safety slots, to be pulled from next; empty: nobody
	announced  []StreamVersions // by the announcer

	// Budgets (budget.go), in bytes.
	sendBudget float64
	bulkBudget float64
	budgetsAt  time.Duration

	// Divergences (divergence.go).
	divergences []Divergence
	mismatches  map[string]int // by peer: checksums that differed, less those that were the same since
}

// NewNode returns a node. An error names the setting that is not valid.
func NewNode(c Config) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return &Node{
		Replica:         NewReplica(c.Self, c.PurgeSettleTime),
		cfg:             c,
		rng:             rand.New(rand.NewPCG(c.Seed, 0x2545f491)),
		started:         -1,
		peersCatchingUp: map[string]bool{},
		replyBytes:      initialReplyBytes,
		lastReceived:    map[string]time.Duration{},
		sendBudget:      float64(c.BytesPerSecond),
		bulkBudget:      minBulkBurst,
		mismatches:      map[string]int{},
	}, nil
}

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
func (n *Node) Handle(now time.Duration, e Event, out []Action) []Action {
	n.now, n.actions = now, out
	if n.started < 0 {
		n.started, n.budgetsAt = now, now
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

// Publish writes this incarnation's slot for a key, as Write does, if the budget allows, and announces safety slots soon. Seen is
// when its evidence was seen. It reports whether anything changed.
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

// CatchingUp reports whether the node does not know yet what its peers know.
func (n *Node) CatchingUp() bool { return !n.caughtUp }

// aliveIntervals is for how many pull intervals a peer counts as alive after its latest message.
const aliveIntervals = 10

// LivePeers is how many other members have sent something lately.
func (n *Node) LivePeers(now time.Duration) (count int) {
	for _, at := range n.lastReceived {
		if now-at < aliveIntervals*n.pullInterval() {
			count++
		}
	}
	return count
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) send(to string, m Message) { n.emit(Send{to, m}) }

func (n *Node) tick() {
	n.Sweep(n.now)
	n.expirePull()
	if !n.caughtUp && n.now-n.started >= n.cfg.CatchUpTimeout {
		n.finishCatchUp("")
	}
	if n.announceAt > 0 && n.now >= n.announceAt {
		n.announceAt = 0
		n.announce()
	}
	if n.pull == nil && n.now >= n.nextPull {
		n.pullFromAny()
	}
}

// finishCatchUp reports that the node has caught up, through a peer or without.
func (n *Node) finishCatchUp(peer string) {
	if !n.caughtUp {
		n.caughtUp = true
		n.emit(CaughtUp{peer, n.now - n.started})
	}
}

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

// pickPeer draws another member. A node that catches up asks those first that were not catching up themselves.
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

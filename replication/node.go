package replication

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultPullInterval is how often a gateway asks another what is new, with up to a hundred lives; beyond, in proportion less often.
	DefaultPullInterval = time.Second
	// DefaultBytesPerSecond is what a gateway sends others in a second at most, and what its own bulk may cost each of them, the whole
	// fleet's together.
	DefaultBytesPerSecond = 256 << 10
	// DefaultCatchUpTimeout is how long one that starts waits for neighbours before it goes by what it has.
	DefaultCatchUpTimeout = 3 * time.Second

	pullTimeout       = 1500 * time.Millisecond // an answer that takes longer is not waited for
	fastReply         = 250 * time.Millisecond  // one that takes less may be larger the next time
	initialReplyBytes = 32 << 10                // bytes that an answer may have, at first,
	minReplyBytes     = 2 << 10                 // at the least,
	maxReplyBytes     = 64 << 10                // and at the most
	announcePeers     = 3                       // others that are told at once of what is a matter of safety
	announceDelay     = 10 * time.Millisecond   // what comes within it is told together
	safetyReserve     = 4                       // one in so many bytes a second is for safety
	minBulkBudget     = 4096                    // bytes of the own bulk that may be saved up, at the least
	messageOverhead   = 64                      // bytes of a message, about, beside its slots
	maxDivergences    = 64                      // differences that are remembered
	pullsPerChecksum  = 10                      // of so many questions one compares copies whole
)

// MessageKind is what a message says.
type MessageKind int

// The kinds of message.
const (
	Pull      MessageKind = iota + 1 // what is newer than this?
	PullReply                        // this is
	Announce                         // there is something newer that is a matter of safety
)

// TransferredSlot is a slot on its way, with the span of its age.
type TransferredSlot struct {
	Slot           Slot // without its times
	MaxAge, MinAge time.Duration
}

// Message goes between members.
type Message struct {
	Kind       MessageKind
	ID         uint64            // of a Pull; in its Answer
	Versions   []StreamVersions  // of a Pull and a Hint: what its sender has; of an Answer: what is reached by it
	MaxBytes   int               // of a Pull: bytes that the answer may have
	Slots      []TransferredSlot // of an Answer
	More       bool              // of an Answer: there is more
	CatchingUp bool              // of a Pull and an Answer: its sender is catching up itself
	Checksum   *RangeChecksum    // of an Answer that has nothing newer: how a stretch of a stream is there; nil: nothing is compared
}

// Event is anything that reaches a node.
type Event interface{ event() }

// MessageReceived is a message from another member.
type MessageReceived struct {
	From    string
	Message Message
}

// Tick says that time has passed. It comes at least every hundred milliseconds.
type Tick struct{}

func (MessageReceived) event() {}
func (Tick) event()            {}

// Action is anything that a node wants done.
type Action interface{ action() }

// Send sends a message. It may get lost.
type Send struct {
	To      string
	Message Message
}

// SafetySlotsLearned says that slots which are a matter of safety are new.
type SafetySlotsLearned struct{ Slots []Slot }

// CaughtUp says that the node knows what its neighbours know, or goes on without. It comes once.
type CaughtUp struct {
	From string        // the neighbour that it was completed by; empty: none answered in time
	Took time.Duration // since the first tick
}

func (Send) action()               {}
func (SafetySlotsLearned) action() {}
func (CaughtUp) action()           {}

// Config is what a node is made of.
type Config struct {
	Self            Incarnation
	Members         []string      // all, the own one with them
	PurgeSettleTime time.Duration // of purges
	PullInterval    time.Duration // 0: DefaultEvery
	BytesPerSecond  int           // a second; 0: DefaultBytes
	CatchUpTimeout  time.Duration // 0: DefaultWait
	WallClock       func() time.Duration
	SlotBytes       func(*Slot) int // of a slot on the wire; nil: about
	Seed            uint64
}

// Divergence is one between two copies that should have been equal.
type Divergence struct {
	Peer   string        `json:"With"`
	Writer Incarnation   `json:"Life"` // whose slots differ, and in which numbers
	From   uint64        `json:"From"`
	To     uint64        `json:"To"`
	Cause  string        `json:"Cause"`
	At     time.Duration `json:"At"`
}

// NodeCounters count what befell a node.
type NodeCounters struct {
	Pulls, PullReplies, PullTimeouts, Announcements, Stale, Throttled, Checked, Divergences uint64
}

// pendingPull is a question under way.
type pendingPull struct {
	id uint64
	to string
	at time.Duration
}

// Node is a gateway's part in keeping copies alike. Use NewNode.
type Node struct {
	*Replica
	Stats NodeCounters

	cfg             Config
	rng             *rand.Rand
	now             time.Duration
	actions         []Action
	started         time.Duration
	caughtUp        bool
	peersCatchingUp map[string]bool // neighbours that were asked, and were catching up themselves
	lastPullID      uint64
	pull            *pendingPull
	nextPull        time.Duration
	announcer       string // who has something newer that is a matter of safety; empty: nobody
	announced       []StreamVersions
	announceAt      time.Duration // due then; 0: none is
	replyBytes      int
	sendBudget      float64 // bytes that may be sent now
	budgetsAt       time.Duration
	bulkBudget      float64 // bytes that the own bulk may cost now
	lastReceived    map[string]time.Duration
	divergences     []Divergence
	mismatches      map[string]int // checks in a row that found a difference, by member
}

// NewNode returns a node.
func NewNode(c Config) (*Node, error) {
	if c.Self.Number == 0 || c.WallClock == nil {
		return nil, fmt.Errorf("replica: Self.Number or Wall is missing")
	}
	if !slices.Contains(c.Members, c.Self.Name) {
		return nil, fmt.Errorf("replica: Self: %q is none of the members", c.Self.Name)
	}
	if c.PullInterval < 0 || c.BytesPerSecond < 0 || c.CatchUpTimeout < 0 {
		return nil, fmt.Errorf("replica: Every, Bytes or Wait: negative")
	}
	c.PullInterval, c.BytesPerSecond, c.CatchUpTimeout = cmp.Or(c.PullInterval, DefaultPullInterval), cmp.Or(c.BytesPerSecond, DefaultBytesPerSecond), cmp.Or(c.CatchUpTimeout, DefaultCatchUpTimeout)
	if c.SlotBytes == nil {
		c.SlotBytes = func(s *Slot) int { return 48 + len(s.Key) + len(s.Value) + len(s.Writer.Name) }
	}
	return &Node{Replica: NewReplica(c.Self, c.PurgeSettleTime), cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 0x2545f491)), started: -1, peersCatchingUp: map[string]bool{}, replyBytes: initialReplyBytes,
		lastReceived: map[string]time.Duration{}, mismatches: map[string]int{}, sendBudget: float64(c.BytesPerSecond), bulkBudget: minBulkBudget}, nil
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

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// refillBudgets lets so much be sent again.
func (n *Node) refillBudgets() {
	took := (n.now - n.budgetsAt).Seconds()
	n.budgetsAt = n.now
	rate := float64(n.cfg.BytesPerSecond)
	n.sendBudget = min(rate, n.sendBudget+took*rate)
	mine := rate / 4 / float64(len(n.cfg.Members))
	n.bulkBudget = min(max(4*mine, minBulkBudget), n.bulkBudget+took*mine)
}

// Publish has the own life say something of a key, as Write does; what is a matter of safety is told others soon.
func (n *Node) Publish(now time.Duration, k Kind, key string, value []byte, seen time.Duration) bool {
	if k.stream() == Bulk {
		cost := float64(48 + len(key) + len(value) + len(n.cfg.Self.Name))
		if n.bulkBudget < cost { // each copy of it costs another member as much
			n.Stats.Throttled++
			return false
		}
		if !n.Write(now, n.cfg.WallClock(), k, key, value, seen) {
			return false
		}
		n.bulkBudget -= cost
		return true
	}
	if !n.Write(now, n.cfg.WallClock(), k, key, value, seen) {
		return false
	}
	n.announceSoon(now)
	return true
}

// BulkBudgetSpent says that the own bulk has used up what it may cost the others for now.
func (n *Node) BulkBudgetSpent() bool { return n.bulkBudget < 256 }

func (n *Node) announceSoon(now time.Duration) {
	if n.announceAt == 0 {
		n.announceAt = now + announceDelay
	}
}

// CatchingUp says that the node doesn't know yet what its neighbours know.
func (n *Node) CatchingUp() bool { return !n.caughtUp }

// LivePeers is how many other members were heard lately.
func (n *Node) LivePeers(now time.Duration) (count int) {
	for _, at := range n.lastReceived {
		if now-at < 10*n.pullInterval() {
			count++
		}
	}
	return count
}

// Divergences are the latest that were found.
func (n *Node) Divergences() []Divergence { return slices.Clone(n.divergences) }

func (n *Node) pullInterval() time.Duration {
	return n.cfg.PullInterval * time.Duration(max(1, len(n.incarnations)/100))
}

func (n *Node) tick() {
	n.Sweep(n.now)
	if n.pull != nil && n.now-n.pull.at > pullTimeout {
		n.Stats.PullTimeouts++
		n.replyBytes = max(minReplyBytes, n.replyBytes/4)
		n.pull, n.announcer = nil, ""
		n.nextPull = n.now // another one, at once
	}
	if !n.caughtUp && n.now-n.started >= n.cfg.CatchUpTimeout {
		n.finishCatchUp("")
	}
	if n.announceAt > 0 && n.now >= n.announceAt {
		n.announceAt = 0
		n.announce()
	}
	if n.pull == nil && n.now >= n.nextPull {
		n.pullFrom("")
	}
}

func (n *Node) finishCatchUp(from string) {
	if !n.caughtUp {
		n.caughtUp = true
		n.emit(CaughtUp{from, n.now - n.started})
	}
}

// announce tells a few others that there is something newer.
func (n *Node) announce() {
	m := Message{Kind: Announce}
	for _, h := range n.VersionVector() {
		if h.UpTo[Safety] > 0 && n.now-n.incarnations[h.Incarnation].lastActive < 2*n.cfg.PullInterval {
			m.Versions = append(m.Versions, StreamVersions{Incarnation: h.Incarnation, UpTo: [streams]uint64{Safety: h.UpTo[Safety]}})
		}
	}
	if len(m.Versions) == 0 {
		return
	}
	n.Stats.Announcements++
	for range announcePeers {
		if to := n.pickPeer(); to != "" {
			n.send(to, m)
		}
	}
}

// pickPeer draws another member. One that starts asks those first that it has not asked yet.
func (n *Node) pickPeer() string {
	if len(n.cfg.Members) < 2 {
		return ""
	}
	for range 8 {
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
	return n.cfg.Members[(slices.Index(n.cfg.Members, n.cfg.Self.Name)+1)%len(n.cfg.Members)]
}

// pullFrom asks somebody what is new; an empty name: whom the draw says.
func (n *Node) pullFrom(to string) {
	every := n.pullInterval()
	n.nextPull = n.now + every*3/4 + time.Duration(n.rng.Int64N(int64(every/2)))
	if to = cmp.Or(to, n.pickPeer()); to == "" {
		return
	}
	n.lastPullID++
	n.pull = &pendingPull{n.lastPullID, to, n.now}
	n.Stats.Pulls++
	n.send(to, Message{Kind: Pull, ID: n.lastPullID, Versions: n.VersionVector(), MaxBytes: n.replyBytes, CatchingUp: !n.caughtUp})
}

func (n *Node) send(to string, m Message) { n.emit(Send{to, m}) }

func (n *Node) receive(from string, m Message) {
	switch m.Kind {
	case Pull:
		n.servePull(from, m)
	case PullReply:
		n.receivePullReply(from, m)
	case Announce:
		if !n.Lags(m.Versions) {
			return
		}
		if n.pull == nil {
			n.pullFrom(from)
		} else { // after what is under way, and before more of that
			n.announcer, n.announced = from, m.Versions
		}
	}
}

// servePull sends what is newer, as much as may be sent now: safety first.
func (n *Node) servePull(from string, m Message) {
	// A part of what may be sent is for safety alone: it must not wait for the bulk.
	most, bulk := min(max(m.MaxBytes, minReplyBytes), maxReplyBytes), int(n.sendBudget)-n.cfg.BytesPerSecond/safetyReserve
	if n.sendBudget < minReplyBytes {
		n.Stats.Throttled++
		return // it asks another one
	}
	if bulk < minReplyBytes {
		n.Stats.Throttled++
	}
	slots, reached, more := n.Delta(m.Versions, most, min(most, bulk), n.cfg.SlotBytes)
	a := Message{Kind: PullReply, ID: m.ID, Versions: reached, More: more, CatchingUp: !n.caughtUp}
	bytes := messageOverhead + 24*len(reached)
	for _, s := range slots {
		w := TransferredSlot{Slot: *s, MaxAge: n.now - s.SeenAfter, MinAge: max(0, n.now-s.SeenBefore)}
		w.Slot.SeenAfter, w.Slot.SeenBefore = 0, 0
		a.Slots = append(a.Slots, w)
		bytes += n.cfg.SlotBytes(s)
	}
	if len(slots) == 0 && !n.Lags(m.Versions) && m.ID%pullsPerChecksum == 0 {
		a.Checksum = n.drawChecksum()
	}
	n.sendBudget -= float64(bytes)
	n.Stats.PullReplies++
	n.send(from, a)
	if n.Lags(m.Versions) && n.pull == nil && n.caughtUp { // the other one has what is not here
		n.nextPull = min(n.nextPull, n.now+n.cfg.PullInterval/8)
	}
}

// drawChecksum draws a stretch of a stream to be compared; nil: there is none.
func (n *Node) drawChecksum() *RangeChecksum {
	all := slices.DeleteFunc(n.VersionVector(), func(h StreamVersions) bool { return h.UpTo == [streams]uint64{} })
	if len(all) == 0 {
		return nil
	}
	l, st := all[n.rng.IntN(len(all))], Stream(n.rng.IntN(int(streams)))
	if l.UpTo[st] == 0 {
		st = streams - 1 - st
	}
	if b, ok := n.Replica.Checksum(n.now, l.Incarnation, st, 1+checksumSlots*n.rng.Uint64N(1+l.UpTo[st]/checksumSlots)); ok {
		return &b
	}
	return nil
}

// receivePullReply takes in what another has.
func (n *Node) receivePullReply(from string, m Message) {
	if n.pull == nil || n.pull.id != m.ID || n.pull.to != from {
		n.Stats.Stale++
		return
	}
	asked := n.pull.at
	n.pull = nil
	switch took := n.now - asked; {
	case took < fastReply:
		n.replyBytes = min(maxReplyBytes, 2*n.replyBytes)
	case took > 2*fastReply:
		n.replyBytes = max(minReplyBytes, n.replyBytes/2)
	}
	var news []Slot
	for _, w := range m.Slots {
		s := w.Slot
		if w.MinAge < 0 || w.MaxAge < w.MinAge {
			n.Counters.Rejected++
			continue
		}
		// It was so old when it was sent, which was between the question and now.
		s.SeenAfter, s.SeenBefore = asked-w.MaxAge, n.now-w.MinAge
		if n.Merge(n.now, n.cfg.WallClock(), s) && s.Kind.stream() == Safety {
			news = append(news, s)
		}
	}
	for _, h := range m.Versions {
		for st := range streams {
			n.AdvanceTo(n.now, h.Incarnation, st, h.UpTo[st])
		}
	}
	if len(news) > 0 {
		n.emit(SafetySlotsLearned{news})
		n.announceSoon(n.now)
	}
	n.compareChecksum(from, m)
	hinted := n.announcer
	if n.announcer = ""; hinted != "" && !n.Lags(n.announced) {
		hinted = ""
	}
	switch {
	case hinted != "":
		n.pullFrom(hinted)
	case m.More && len(m.Slots) == 0: // it may not send more now
		n.nextPull = min(n.nextPull, n.now+n.cfg.PullInterval/4)
	case m.More:
		n.pullFrom(from)
	case n.caughtUp:
	case !m.CatchingUp:
		n.finishCatchUp(from)
	default: // it knows no more than this one; another may
		n.peersCatchingUp[from] = true
		if len(n.peersCatchingUp) >= len(n.cfg.Members)-1 {
			n.finishCatchUp(from)
		} else {
			n.pullFrom("")
		}
	}
}

// compareChecksum holds a stretch of two copies against each other. What differs once may be of what ran out meanwhile; three times with the same
// member it is noted, and that life's streams are asked for anew.
func (n *Node) compareChecksum(from string, m Message) {
	if m.Checksum == nil || len(m.Slots) > 0 {
		return
	}
	n.Stats.Checked++
	if n.Matches(n.now, *m.Checksum) {
		n.mismatches[from] = max(0, n.mismatches[from]-1)
		return
	}
	if n.mismatches[from]++; n.mismatches[from] < 3 {
		return
	}
	n.mismatches[from] = 0
	n.Stats.Divergences++
	if len(n.divergences) >= maxDivergences {
		n.divergences = n.divergences[1:]
	}
	n.divergences = append(n.divergences, Divergence{Peer: from, Writer: m.Checksum.Incarnation, From: m.Checksum.From, To: m.Checksum.To, Cause: "the same numbers, other slots: they are asked for anew, or said anew by who wrote them", At: n.now})
	if m.Checksum.Incarnation == n.cfg.Self {
		n.Rewrite(n.now, *m.Checksum)
	} else {
		n.ResetVersions(m.Checksum.Incarnation)
	}
}

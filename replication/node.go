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

	pullFor   = 1500 * time.Millisecond // an answer that takes longer is not waited for
	quick     = 250 * time.Millisecond  // one that takes less may be larger the next time
	mostFirst = 32 << 10                // bytes that an answer may have, at first,
	mostLeast = 2 << 10                 // at the least,
	mostMost  = 64 << 10                // and at the most
	hintTo    = 3                       // others that are told at once of what is a matter of safety
	hintAfter = 10 * time.Millisecond   // what comes within it is told together
	reserved  = 4                       // one in so many bytes a second is for safety
	ownMost   = 4096                    // bytes of the own bulk that may be saved up, at the least
	overhead  = 64                      // bytes of a message, about, beside its slots
	repairs   = 64                      // differences that are remembered
	checks    = 10                      // of so many questions one compares copies whole
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

// pull is a question under way.
type pull struct {
	id uint64
	to string
	at time.Duration
}

// Node is a gateway's part in keeping copies alike. Use NewNode.
type Node struct {
	*Replica
	Stats NodeCounters

	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	out    []Action
	began  time.Duration
	caught bool
	blanks map[string]bool // neighbours that were asked, and were catching up themselves
	serial uint64
	open   *pull
	next   time.Duration
	hinted string // who has something newer that is a matter of safety; empty: nobody
	hints  []StreamVersions
	hint   time.Duration // due then; 0: none is
	most   int
	bucket float64 // bytes that may be sent now
	filled time.Duration
	own    float64 // bytes that the own bulk may cost now
	living map[string]time.Duration
	differ []Divergence
	doubts map[string]int // checks in a row that found a difference, by member
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
	return &Node{Replica: NewReplica(c.Self, c.PurgeSettleTime), cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 0x2545f491)), began: -1, blanks: map[string]bool{}, most: mostFirst,
		living: map[string]time.Duration{}, doubts: map[string]int{}, bucket: float64(c.BytesPerSecond), own: ownMost}, nil
}

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
func (n *Node) Handle(now time.Duration, e Event, out []Action) []Action {
	n.now, n.out = now, out
	if n.began < 0 {
		n.began, n.filled = now, now
		n.caught = len(n.cfg.Members) == 1
	}
	n.fill()
	switch e := e.(type) {
	case MessageReceived:
		if slices.Contains(n.cfg.Members, e.From) && e.From != n.cfg.Self.Name {
			n.living[e.From] = now
			n.heard(e.From, e.Message)
		}
	case Tick:
		n.tick()
	}
	out, n.out = n.out, nil
	return out
}

func (n *Node) do(a Action) { n.out = append(n.out, a) }

// fill lets so much be sent again.
func (n *Node) fill() {
	took := (n.now - n.filled).Seconds()
	n.filled = n.now
	rate := float64(n.cfg.BytesPerSecond)
	n.bucket = min(rate, n.bucket+took*rate)
	mine := rate / 4 / float64(len(n.cfg.Members))
	n.own = min(max(4*mine, ownMost), n.own+took*mine)
}

// Publish has the own life say something of a key, as Write does; what is a matter of safety is told others soon.
func (n *Node) Publish(now time.Duration, k Kind, key string, value []byte, seen time.Duration) bool {
	if k.stream() == Bulk {
		cost := float64(48 + len(key) + len(value) + len(n.cfg.Self.Name))
		if n.own < cost { // each copy of it costs another member as much
			n.Stats.Throttled++
			return false
		}
		if !n.Write(now, n.cfg.WallClock(), k, key, value, seen) {
			return false
		}
		n.own -= cost
		return true
	}
	if !n.Write(now, n.cfg.WallClock(), k, key, value, seen) {
		return false
	}
	n.soon(now)
	return true
}

// BulkBudgetSpent says that the own bulk has used up what it may cost the others for now.
func (n *Node) BulkBudgetSpent() bool { return n.own < 256 }

func (n *Node) soon(now time.Duration) {
	if n.hint == 0 {
		n.hint = now + hintAfter
	}
}

// CatchingUp says that the node doesn't know yet what its neighbours know.
func (n *Node) CatchingUp() bool { return !n.caught }

// LivePeers is how many other members were heard lately.
func (n *Node) LivePeers(now time.Duration) (count int) {
	for _, at := range n.living {
		if now-at < 10*n.every() {
			count++
		}
	}
	return count
}

// Divergences are the latest that were found.
func (n *Node) Divergences() []Divergence { return slices.Clone(n.differ) }

func (n *Node) every() time.Duration {
	return n.cfg.PullInterval * time.Duration(max(1, len(n.lives)/100))
}

func (n *Node) tick() {
	n.Sweep(n.now)
	if n.open != nil && n.now-n.open.at > pullFor {
		n.Stats.PullTimeouts++
		n.most = max(mostLeast, n.most/4)
		n.open, n.hinted = nil, ""
		n.next = n.now // another one, at once
	}
	if !n.caught && n.now-n.began >= n.cfg.CatchUpTimeout {
		n.catch("")
	}
	if n.hint > 0 && n.now >= n.hint {
		n.hint = 0
		n.tell()
	}
	if n.open == nil && n.now >= n.next {
		n.ask("")
	}
}

func (n *Node) catch(from string) {
	if !n.caught {
		n.caught = true
		n.do(CaughtUp{from, n.now - n.began})
	}
}

// tell tells a few others that there is something newer.
func (n *Node) tell() {
	m := Message{Kind: Announce}
	for _, h := range n.VersionVector() {
		if h.UpTo[Safety] > 0 && n.now-n.lives[h.Incarnation].active < 2*n.cfg.PullInterval {
			m.Versions = append(m.Versions, StreamVersions{Incarnation: h.Incarnation, UpTo: [streams]uint64{Safety: h.UpTo[Safety]}})
		}
	}
	if len(m.Versions) == 0 {
		return
	}
	n.Stats.Announcements++
	for range hintTo {
		if to := n.pick(); to != "" {
			n.send(to, m)
		}
	}
}

// pick draws another member. One that starts asks those first that it has not asked yet.
func (n *Node) pick() string {
	if len(n.cfg.Members) < 2 {
		return ""
	}
	for range 8 {
		to := n.cfg.Members[n.rng.IntN(len(n.cfg.Members))]
		if to != n.cfg.Self.Name && (n.caught || !n.blanks[to]) {
			return to
		}
	}
	for _, to := range n.cfg.Members {
		if to != n.cfg.Self.Name && !n.blanks[to] {
			return to
		}
	}
	return n.cfg.Members[(slices.Index(n.cfg.Members, n.cfg.Self.Name)+1)%len(n.cfg.Members)]
}

// ask asks somebody what is new; an empty name: whom the draw says.
func (n *Node) ask(to string) {
	every := n.every()
	n.next = n.now + every*3/4 + time.Duration(n.rng.Int64N(int64(every/2)))
	if to = cmp.Or(to, n.pick()); to == "" {
		return
	}
	n.serial++
	n.open = &pull{n.serial, to, n.now}
	n.Stats.Pulls++
	n.send(to, Message{Kind: Pull, ID: n.serial, Versions: n.VersionVector(), MaxBytes: n.most, CatchingUp: !n.caught})
}

func (n *Node) send(to string, m Message) { n.do(Send{to, m}) }

func (n *Node) heard(from string, m Message) {
	switch m.Kind {
	case Pull:
		n.answer(from, m)
	case PullReply:
		n.answered(from, m)
	case Announce:
		if !n.Lags(m.Versions) {
			return
		}
		if n.open == nil {
			n.ask(from)
		} else { // after what is under way, and before more of that
			n.hinted, n.hints = from, m.Versions
		}
	}
}

// answer sends what is newer, as much as may be sent now: safety first.
func (n *Node) answer(from string, m Message) {
	// A part of what may be sent is for safety alone: it must not wait for the bulk.
	most, bulk := min(max(m.MaxBytes, mostLeast), mostMost), int(n.bucket)-n.cfg.BytesPerSecond/reserved
	if n.bucket < mostLeast {
		n.Stats.Throttled++
		return // it asks another one
	}
	if bulk < mostLeast {
		n.Stats.Throttled++
	}
	slots, reached, more := n.Delta(m.Versions, most, min(most, bulk), n.cfg.SlotBytes)
	a := Message{Kind: PullReply, ID: m.ID, Versions: reached, More: more, CatchingUp: !n.caught}
	bytes := overhead + 24*len(reached)
	for _, s := range slots {
		w := TransferredSlot{Slot: *s, MaxAge: n.now - s.SeenAfter, MinAge: max(0, n.now-s.SeenBefore)}
		w.Slot.SeenAfter, w.Slot.SeenBefore = 0, 0
		a.Slots = append(a.Slots, w)
		bytes += n.cfg.SlotBytes(s)
	}
	if len(slots) == 0 && !n.Lags(m.Versions) && m.ID%checks == 0 {
		a.Checksum = n.block()
	}
	n.bucket -= float64(bytes)
	n.Stats.PullReplies++
	n.send(from, a)
	if n.Lags(m.Versions) && n.open == nil && n.caught { // the other one has what is not here
		n.next = min(n.next, n.now+n.cfg.PullInterval/8)
	}
}

// block draws a stretch of a stream to be compared; nil: there is none.
func (n *Node) block() *RangeChecksum {
	all := slices.DeleteFunc(n.VersionVector(), func(h StreamVersions) bool { return h.UpTo == [streams]uint64{} })
	if len(all) == 0 {
		return nil
	}
	l, st := all[n.rng.IntN(len(all))], Stream(n.rng.IntN(int(streams)))
	if l.UpTo[st] == 0 {
		st = streams - 1 - st
	}
	if b, ok := n.Replica.Checksum(n.now, l.Incarnation, st, 1+blockMost*n.rng.Uint64N(1+l.UpTo[st]/blockMost)); ok {
		return &b
	}
	return nil
}

// answered takes in what another has.
func (n *Node) answered(from string, m Message) {
	if n.open == nil || n.open.id != m.ID || n.open.to != from {
		n.Stats.Stale++
		return
	}
	asked := n.open.at
	n.open = nil
	switch took := n.now - asked; {
	case took < quick:
		n.most = min(mostMost, 2*n.most)
	case took > 2*quick:
		n.most = max(mostLeast, n.most/2)
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
		n.do(SafetySlotsLearned{news})
		n.soon(n.now)
	}
	n.check(from, m)
	hinted := n.hinted
	if n.hinted = ""; hinted != "" && !n.Lags(n.hints) {
		hinted = ""
	}
	switch {
	case hinted != "":
		n.ask(hinted)
	case m.More && len(m.Slots) == 0: // it may not send more now
		n.next = min(n.next, n.now+n.cfg.PullInterval/4)
	case m.More:
		n.ask(from)
	case n.caught:
	case !m.CatchingUp:
		n.catch(from)
	default: // it knows no more than this one; another may
		n.blanks[from] = true
		if len(n.blanks) >= len(n.cfg.Members)-1 {
			n.catch(from)
		} else {
			n.ask("")
		}
	}
}

// check holds a stretch of two copies against each other. What differs once may be of what ran out meanwhile; three times with the same
// member it is noted, and that life's streams are asked for anew.
func (n *Node) check(from string, m Message) {
	if m.Checksum == nil || len(m.Slots) > 0 {
		return
	}
	n.Stats.Checked++
	if n.Matches(n.now, *m.Checksum) {
		n.doubts[from] = max(0, n.doubts[from]-1)
		return
	}
	if n.doubts[from]++; n.doubts[from] < 3 {
		return
	}
	n.doubts[from] = 0
	n.Stats.Divergences++
	if len(n.differ) >= repairs {
		n.differ = n.differ[1:]
	}
	n.differ = append(n.differ, Divergence{Peer: from, Writer: m.Checksum.Incarnation, From: m.Checksum.From, To: m.Checksum.To, Cause: "the same numbers, other slots: they are asked for anew, or said anew by who wrote them", At: n.now})
	if m.Checksum.Incarnation == n.cfg.Self {
		n.Rewrite(n.now, *m.Checksum)
	} else {
		n.ResetVersions(m.Checksum.Incarnation)
	}
}

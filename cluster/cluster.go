// Package cluster is a gateway's part in what gateways settle among themselves: it votes, if it is one of the few that do; it
// keeps its view of what was agreed on, with a lease on it; it says which machines may be sent to; and it takes the order of work
// forward. It does no I/O and reads no clock.
//
// A gateway asks a voter for the view, again and again. The voter answers with what a majority has confirmed after the question
// came, so that the gateway knows what was agreed on when it asked. From then on its lease holds for as long as the bounds say, by its
// own clock. One that gets no answer goes on serving: it takes what it knows to be granted for drained, and what it doesn't know of
// is not taken out, since no machine is drained before every gateway has said that it has heard.
package cluster

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
	"larchusher/replication"
)

const (
	// Version is that of the messages. One that is higher is read as far as it is understood.
	Version = 1

	stepEvery   = 250 * time.Millisecond // how often the order is taken forward
	reportFor   = 3 * time.Second        // a gateway's report counts for so long
	silentAfter = 2                      // questions without an answer, after which another voter is asked
	homeAfter   = 8                      // answers of another voter, after which the first one is tried again
	mostOut     = 64                     // questions and commands under way for others
	commandFor  = 8 * time.Second        // a command that is not answered by then is given up
)

// Report is what a gateway has seen. It comes with its questions.
type Report struct {
	Machines map[string]maintenance.Machine
	Pressure string
}

// MessageKind is what a message says.
type MessageKind int

// The kinds of message.
const (
	ConsensusMessage   MessageKind = iota + 1 // between voters: Vote
	RenewLease                                // a gateway asks for the view
	View                                      // the answer
	OperatorRequest                           // a command, or a question with the Query it is; from a gateway or an operator's tool
	OperatorReply                             // the answer
	UnknownKind                               // of a later version; passed over, and counted
	ReplicationMessage                        // between copies of what gateways know in common: Copy. Not for this package
)

// Message goes between gateways, and between an operator's tool and one of them.
type Message struct {
	Kind          MessageKind
	ID            uint64 // of a Renew or an Order; in its answer
	Consensus     consensus.Message
	Incarnation   uint64 // of a Renew
	NoView        bool   // of a Renew: its sender has no view, and sends to no machine
	ViewDigest    uint64 // of a Renew: digest of the view that its sender has; of a View: of what was agreed on
	Revision      uint64 // of a View and a Reply: of what was agreed on
	NotifiedEpoch uint64 // of a Renew: it knows of all grants up to this epoch,
	StoppedEpoch  uint64 // and has stopped for all drains up to this
	Report        *Report
	Value         []byte // of a View: the state in brief, if it is another; of an Order: the command; of a Reply: what it came to
	Query         string // of an Order: "state" or "plan", or one of the host's; empty: a command
	Rejected      string // of a Reply
	Replication   *replication.Message
}

// Event is anything that reaches a node.
type Event interface{ event() }

// MessageReceived is a message, from a member or an operator's tool.
type MessageReceived struct {
	From    string
	Message Message
}

// Tick says that time has passed. It comes at least every hundred milliseconds.
type Tick struct{}

// Observed is what the gateway has observed itself.
type Observed struct{ Report Report }

// Drained says that nothing is out at, or by way of, the machines that are held as of a generation of Hold.
type Drained struct{ Generation uint64 }

// AcceptorStateStored says that the vote of that number lasts; ViewStored that the view of that revision does.
type AcceptorStateStored struct{ Number uint64 }

// ViewStored says that a view lasts.
type ViewStored struct{ Revision uint64 }

// ShutdownCompleted says that the gateway has drained itself, as Leave asked it to.
type ShutdownCompleted struct{}

func (MessageReceived) event()     {}
func (Tick) event()                {}
func (Observed) event()            {}
func (Drained) event()             {}
func (AcceptorStateStored) event() {}
func (ViewStored) event()          {}
func (ShutdownCompleted) event()   {}

// Action is anything that a node wants done.
type Action interface{ action() }

// Send sends a message. It may get lost.
type Send struct {
	To      string
	Message Message
}

// StoreAcceptorState and StoreView write what must last, and report it.
type StoreAcceptorState struct{ Store consensus.StoreState }

// StoreView writes a view.
type StoreView struct {
	Revision uint64
	Value    []byte
}

// DrainMachines names all machines that nothing may be sent to from now on, nor named as a source. Machines that are missing may be
// sent to again. Idle answers it.
type DrainMachines struct {
	Generation uint64
	Machines   map[string]bool
}

// ShutDown asks the gateway to drain itself and end; Left answers it.
type ShutDown struct{}

// AuditEntry is a line on what was settled.
type AuditEntry struct{ Text string }

func (Send) action()               {}
func (StoreAcceptorState) action() {}
func (StoreView) action()          {}
func (DrainMachines) action()      {}
func (ShutDown) action()           {}
func (AuditEntry) action()         {}

// Config is what a node is made of.
type Config struct {
	Self         string
	Incarnation  uint64   // new with each start
	Members      []string // all, the own one with them
	Voters       []string // those that vote, in an order that all share
	Acceptor     consensus.AcceptorState
	View         []byte // as stored by the life before; nil: none
	Durable      bool   // views are stored: what was heard is said only once it lasts
	Limits       maintenance.Limits
	WallClockMs  func() int64  // Unix milliseconds, for the history alone
	RoundTimeout time.Duration // of the voters; 0: their default
	ReadInterval time.Duration // questions to the voters are gathered for so long
	Seed         uint64
}

// Counters count what befell a node.
type Counters struct {
	LeaseRequests, Views, LeaseExpirations, Unknown, NonMembers, Advances, Dropped uint64
}

// question is a Renew or an Order that waits for an answer of the voters here.
type question struct {
	from string
	m    Message
	at   time.Duration
}

type report struct {
	Report
	at time.Duration
}

type stand struct {
	id    uint64
	stage maintenance.Stage
	epoch uint64
}

// Node is one. Use New.
type Node struct {
	Counters Counters

	cfg   Config
	rng   *rand.Rand
	now   time.Duration
	out   []Action
	voter *consensus.Voter // nil: it does not vote

	view     *maintenance.State // in brief; nil: none is known
	digest   uint64
	revision uint64
	storing  uint64 // revision of the view that is being stored
	lasting  uint64 // epoch of the view that lasts
	lease    time.Duration
	leased   bool // Hold was last told with the lease
	told     DrainMachines
	stopped  uint64
	leaving  bool
	left     bool

	next   time.Duration // of the next question
	serial uint64
	sent   map[uint64]time.Duration // questions under way
	target int                      // the voter that is asked
	away   int                      // answers since the first voter was tried
	silent int

	read    *maintenance.State // what known gave last,
	readAt  uint64             // and of which revision
	seen    Report
	reports map[string]report
	heardAt map[string]time.Duration
	waiting map[string]question // by the id under which the voter was asked
	relayed map[uint64]question // orders handed on to a voter
	since   map[stand]time.Duration
	stepAt  time.Duration
	lines   map[uint64]int // of each request's history, told to the audit
}

// New returns a node.
func New(c Config) (*Node, error) {
	if c.Incarnation == 0 || c.WallClockMs == nil {
		return nil, fmt.Errorf("fleet: Life or Clock is missing")
	}
	if !slices.Contains(c.Members, c.Self) {
		return nil, fmt.Errorf("fleet: Self: %q is none of the members", c.Self)
	}
	if len(c.Voters) == 0 {
		return nil, fmt.Errorf("fleet: Voters: none")
	}
	for _, v := range c.Voters {
		if !slices.Contains(c.Members, v) {
			return nil, fmt.Errorf("fleet: Voters: %q is none of the members", v)
		}
	}
	if err := c.Limits.Check(); err != nil {
		return nil, fmt.Errorf("fleet: Bounds: %w", err)
	}
	n := &Node{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 0xc2b2ae35)), sent: map[uint64]time.Duration{}, reports: map[string]report{},
		heardAt: map[string]time.Duration{}, waiting: map[string]question{}, relayed: map[uint64]question{}, since: map[stand]time.Duration{},
		lines: map[uint64]int{}}
	if slices.Contains(c.Voters, c.Self) {
		var err error
		n.voter, err = consensus.New(consensus.Config{Self: c.Self, Voters: c.Voters, Acceptor: c.Acceptor, Apply: maintenance.Apply(c.Limits), RoundTimeout: c.RoundTimeout, ReadInterval: c.ReadInterval, Seed: c.Seed})
		if err != nil {
			return nil, err
		}
	}
	if c.View != nil {
		s, err := maintenance.Decode(c.View)
		if err != nil {
			return nil, fmt.Errorf("fleet: View: %w", err)
		}
		n.view, n.lasting, n.digest = s, s.Epoch, maintenance.Digest(c.View)
	}
	return n, nil
}

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
func (n *Node) Handle(now time.Duration, e Event, out []Action) []Action {
	n.now, n.out = now, out
	switch e := e.(type) {
	case MessageReceived:
		n.heard(e.From, e.Message)
	case Observed:
		n.seen = e.Report
		n.reports[n.cfg.Self] = report{e.Report, now}
	case Drained:
		if e.Generation == n.told.Generation && n.view != nil && n.leased && (!n.leaving || n.left) {
			n.stopped = max(n.stopped, n.view.LatestDrainEpoch())
			n.hurry()
		}
	case AcceptorStateStored:
		if n.voter != nil {
			n.vote(consensus.StateStored{Number: e.Number})
		}
	case ViewStored:
		if n.view != nil && e.Revision == n.storing {
			n.lasting = n.view.Epoch
			n.hurry()
		}
	case ShutdownCompleted:
		n.left = true
		if n.view != nil {
			n.stopped = max(n.stopped, n.view.LatestDrainEpoch())
		}
		n.hurry()
	case Tick:
		n.tick()
	}
	out, n.out = n.out, nil
	return out
}

func (n *Node) do(a Action) { n.out = append(n.out, a) }

// hurry has the next question go out soon: there is something to tell.
func (n *Node) hurry() { n.next = min(n.next, n.now) }

// HasLease says whether what the node knows is fresh.
func (n *Node) HasLease(now time.Duration) bool { return n.view != nil && now < n.lease }

// Ready says whether the gateway may send to anything: it must have known what was agreed on.
func (n *Node) Ready() bool { return n.view != nil }

// MaySend says whether a machine may be sent to, or be named as a source, at this moment. It is asked right before something is
// written. Guards against a process that was stopped, and goes on where it stood with what it believed then.
func (n *Node) MaySend(now time.Duration, machine string) bool {
	if n.view == nil {
		return false
	}
	if now < n.lease {
		return !n.told.Machines[machine]
	}
	return !n.view.ExcludedMachines(false)[machine]
}

// ConsensusCounters are the counters of the vote here; false: this one does not vote.
func (n *Node) ConsensusCounters() (consensus.Counters, bool) {
	if n.voter == nil {
		return consensus.Counters{}, false
	}
	return n.voter.Counters, true
}

// View is the view; nil: none is known.
func (n *Node) View() *maintenance.State { return n.view }

// ---- as a gateway ----

func (n *Node) tick() {
	if n.view != nil && n.leased && n.now >= n.lease {
		n.Counters.LeaseExpirations++
		n.hold()
	}
	if n.now >= n.next {
		n.ask()
	}
	for id, q := range n.relayed {
		if n.now-q.at > commandFor {
			delete(n.relayed, id)
		}
	}
	for id, at := range n.sent {
		if n.now-at > n.cfg.Limits.Lease {
			delete(n.sent, id)
		}
	}
	if n.voter == nil {
		return
	}
	n.vote(consensus.Tick{})
	for id, q := range n.waiting {
		if n.now-q.at > commandFor {
			delete(n.waiting, id)
		}
	}
	if n.now >= n.stepAt {
		n.stepAt = n.now + stepEvery
		n.step()
	}
}

// renewEvery is how often the view is asked for: five times in a lease.
func (n *Node) renewEvery() time.Duration { return n.cfg.Limits.Lease / 5 }

// ask asks a voter for the view. Questions are spread, so that gateways that started together don't ask together.
func (n *Node) ask() {
	every := n.renewEvery()
	n.next = n.now + every*3/4 + time.Duration(n.rng.Int64N(int64(every/2)))
	if n.silent++; n.silent > silentAfter {
		n.target, n.silent = (n.target+1)%len(n.cfg.Voters), 1
	}
	n.serial++
	n.sent[n.serial] = n.now
	n.Counters.LeaseRequests++
	m := Message{Kind: RenewLease, ID: n.serial, Incarnation: n.cfg.Incarnation, NoView: n.view == nil, ViewDigest: n.digest, StoppedEpoch: n.stopped, NotifiedEpoch: n.lasting, Report: &n.seen}
	if !n.cfg.Durable && n.view != nil {
		m.NotifiedEpoch = n.view.Epoch
	}
	n.send(n.cfg.Voters[n.target], m)
}

func (n *Node) send(to string, m Message) {
	if to == n.cfg.Self {
		n.heard(to, m)
		return
	}
	n.do(Send{To: to, Message: m})
}

// viewed takes in an answer.
func (n *Node) viewed(m Message) {
	at, ok := n.sent[m.ID]
	if !ok {
		return // it was given up, or is a second one
	}
	delete(n.sent, m.ID)
	n.silent = 0
	n.Counters.Views++
	// The first that is heard takes the order forward, and needs all reports: who asks another one tries it again.
	if n.away++; n.away >= homeAfter {
		n.target, n.away, n.silent = 0, 0, silentAfter-1
	}
	news := false
	if m.Revision < n.revision {
		return // an old answer proves nothing of what is known by now
	}
	if m.Value != nil && m.ViewDigest != n.digest {
		s, err := maintenance.Decode(m.Value)
		if err != nil {
			n.Counters.Unknown++
			return
		}
		n.view, n.digest, news = s, m.ViewDigest, true
		if n.cfg.Durable {
			n.storing = m.Revision
			n.do(StoreView{m.Revision, m.Value})
		}
		n.hurry()
	}
	if n.view == nil || m.ViewDigest != n.digest {
		return // the answer is to one who knew something else
	}
	n.revision = m.Revision
	// What was agreed on when the question left is known: the lease counts from then.
	n.lease = max(n.lease, at+n.cfg.Limits.Lease)
	if news || !n.leased {
		n.hold()
	}
}

// hold tells what is held, if that has changed.
func (n *Node) hold() {
	n.leased = n.now < n.lease
	held := n.view.ExcludedMachines(n.leased)
	if r := n.ownTurn(); r != nil && !n.leaving {
		n.leaving = true
		n.do(ShutDown{})
	}
	if n.told.Generation > 0 && maps.Equal(held, n.told.Machines) {
		if n.leased && len(held) == 0 {
			n.stopped = max(n.stopped, n.view.LatestDrainEpoch())
		}
		if n.leased { // the same machines, perhaps by a newer drain
			n.do(n.told)
		}
		return
	}
	n.told = DrainMachines{n.told.Generation + 1, held}
	n.do(n.told)
}

// ownTurn is the request for this gateway's own machine, once it drains.
func (n *Node) ownTurn() *maintenance.Request {
	for _, r := range n.view.Requests {
		if r.Machine == n.cfg.Self && r.Stage == maintenance.Draining && r.Incarnation == n.cfg.Incarnation {
			return r
		}
	}
	return nil
}

// ---- as one that is asked ----

func (n *Node) heard(from string, m Message) {
	member := slices.Contains(n.cfg.Members, from)
	if member {
		n.heardAt[from] = n.now
	}
	switch m.Kind {
	case ConsensusMessage:
		if n.voter != nil && member {
			n.vote(consensus.MessageReceived{From: from, Message: m.Consensus})
		}
	case RenewLease:
		if n.voter == nil || !member {
			n.Counters.NonMembers++
			return
		}
		if m.Report != nil {
			n.reports[from] = report{*m.Report, n.now}
		}
		n.renew(from, m)
	case View:
		if member {
			n.viewed(m)
		}
	case OperatorRequest:
		n.order(from, m)
	case OperatorReply:
		if q, ok := n.relayed[m.ID]; ok && member {
			delete(n.relayed, m.ID)
			m.ID = q.m.ID
			n.send(q.from, m)
		}
	default:
		n.Counters.Unknown++
	}
}

// enquire gives the voter here something to do, for one who waits for the answer.
func (n *Node) enquire(q question, command []byte) {
	if len(n.waiting) >= 4*mostOut {
		n.Counters.Dropped++
		return
	}
	n.serial++
	id := strconv.FormatUint(n.serial, 10)
	n.waiting[id] = q
	if command != nil {
		n.vote(consensus.Propose{ID: id, Command: command})
	} else {
		n.vote(consensus.Read{ID: id})
	}
}

func (n *Node) command(c maintenance.Command) []byte {
	c.Actor, c.AtMs = cmp.Or(c.Actor, n.cfg.Self), n.cfg.WallClockMs()
	b, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // none of its types can fail
	}
	return b
}

// renew asks the voters for one that wants to know. What it has to tell of itself goes first, if that is news.
func (n *Node) renew(from string, m Message) {
	q := question{from, m, n.now}
	var c []byte
	if s, ok := n.known(); ok {
		g, joined := s.Gateways[from]
		switch {
		case !joined || g.Incarnation != m.Incarnation:
			c = n.join(from, m)
		case m.NotifiedEpoch > g.NotifiedEpoch || m.StoppedEpoch > g.StoppedEpoch:
			c = n.command(maintenance.Command{Actor: from, Notified: &maintenance.GatewayUpdate{Name: from, Incarnation: m.Incarnation, NotifiedEpoch: m.NotifiedEpoch, StoppedEpoch: m.StoppedEpoch}})
		}
	} else { // the very first
		c = n.join(from, m)
	}
	n.enquire(q, c)
}

func (n *Node) join(from string, m Message) []byte {
	return n.command(maintenance.Command{Actor: from, Join: &maintenance.GatewayUpdate{Name: from, Incarnation: m.Incarnation, NoView: m.NoView, NotifiedEpoch: m.NotifiedEpoch}})
}

// known is the newest state that the voter here knows of, which may be old. It is not to be changed.
func (n *Node) known() (*maintenance.State, bool) {
	s, ok := n.voter.Chosen()
	if !ok {
		return nil, false
	}
	if n.read == nil || n.readAt != s.Revision {
		d, err := maintenance.Decode(s.Value)
		if err != nil {
			return nil, false
		}
		n.read, n.readAt = d, s.Revision
	}
	return n.read, true
}

// order takes a command, or hands it on to a voter.
func (n *Node) order(from string, m Message) {
	if n.voter == nil {
		if len(n.relayed) >= mostOut {
			n.send(from, Message{Kind: OperatorReply, ID: m.ID, Rejected: "too many orders are under way"})
			return
		}
		n.serial++
		n.relayed[n.serial] = question{from, m, n.now}
		m.ID = n.serial
		n.send(n.cfg.Voters[n.target], m)
		return
	}
	q := question{from, m, n.now}
	if m.Query != "" {
		n.enquire(q, nil)
		return
	}
	var c maintenance.Command
	if err := json.Unmarshal(m.Value, &c); err != nil || c.Advance != nil || c.Join != nil || c.Notified != nil {
		n.send(from, Message{Kind: OperatorReply, ID: m.ID, Rejected: "not an order"})
		return
	}
	if c.Request != nil { // what it is stands in the list
		if own, ok := n.gather().Machines[c.Request.Machine]; ok {
			c.Request.Kind, c.Request.Zone = own.Kind, own.Zone
		} else {
			c.Request.Kind = ""
		}
	}
	n.enquire(q, n.command(c))
}

// vote hands an event to the voter here and carries out what it wants.
func (n *Node) vote(e consensus.Event) {
	for _, a := range n.voter.Handle(n.now, e, nil) {
		switch a := a.(type) {
		case consensus.Send:
			n.do(Send{To: a.To, Message: Message{Kind: ConsensusMessage, Consensus: a.Message}})
		case consensus.StoreState:
			n.do(StoreAcceptorState{a})
		case consensus.Completed:
			n.answered(a)
		case consensus.Learned:
			n.audit(a.State)
		}
	}
}

// answered hands on what the voters said.
func (n *Node) answered(d consensus.Completed) {
	q, ok := n.waiting[d.ID]
	if !ok {
		return
	}
	delete(n.waiting, d.ID)
	switch {
	case d.Rejected:
		n.Counters.Dropped++
	case q.m.Kind == RenewLease:
		// Guards against a lease for one that is not among those that are waited for.
		s, ok := n.known()
		if !ok || n.readAt != d.State.Revision || s.Gateways[q.from].Incarnation != q.m.Incarnation {
			return
		}
		brief := s.Summary().Encode()
		m := Message{Kind: View, ID: q.m.ID, Revision: d.State.Revision, ViewDigest: maintenance.Digest(brief)}
		if q.m.ViewDigest != m.ViewDigest {
			m.Value = brief
		}
		n.send(q.from, m)
	case q.m.Kind == OperatorRequest:
		m := Message{Kind: OperatorReply, ID: q.m.ID, Value: d.Reply, Revision: d.State.Revision}
		switch q.m.Query {
		case "state":
			m.Value = d.State.Value
		case "plan":
			if s, err := maintenance.Decode(d.State.Value); err == nil {
				m.Value, _ = json.Marshal(s.Plan(n.gather(), n.cfg.Limits))
			}
		}
		n.send(q.from, m)
	}
}

// audit tells of what is new in the histories.
func (n *Node) audit(s consensus.State) {
	d, err := maintenance.Decode(s.Value)
	if err != nil {
		return
	}
	kept := map[uint64]bool{}
	for _, r := range d.Requests {
		kept[r.ID] = true
		last := n.lines[r.ID]
		for i, st := range r.History {
			if i >= last {
				n.do(AuditEntry{r.AuditLine(st)})
			}
		}
		n.lines[r.ID] = len(r.History)
	}
	maps.DeleteFunc(n.lines, func(id uint64, _ int) bool { return !kept[id] })
}

// ---- as the one that takes the order forward ----

// steward says whether this voter is the first of those that are heard of. Two that both think so are harmless: what they want is
// applied to the state as it is, one after the other.
func (n *Node) steward() bool {
	for _, v := range n.cfg.Voters {
		if v == n.cfg.Self {
			return true
		}
		if at, ok := n.heardAt[v]; ok && n.now-at < reportFor {
			return false
		}
	}
	return false
}

// gather joins what all gateways have reported lately, the most cautious of it.
func (n *Node) gather() *maintenance.Observations {
	o := &maintenance.Observations{Machines: map[string]maintenance.Machine{}}
	for _, from := range slices.Sorted(maps.Keys(n.reports)) {
		r := n.reports[from]
		if n.now-r.at > reportFor {
			if n.now-r.at > 10*reportFor {
				delete(n.reports, from)
			}
			continue
		}
		o.Pressure = cmp.Or(o.Pressure, r.Pressure)
		for name, m := range r.Machines {
			was, ok := o.Machines[name]
			if !ok {
				o.Machines[name] = m
				continue
			}
			was.Up, was.Warm = was.Up && m.Up, was.Warm && m.Warm
			was.BootMs = min(was.BootMs, m.BootMs) // it has started anew once all have heard of it
			if m.Utilization >= 0 {
				was.Utilization = max(was.Utilization, m.Utilization)
			}
			o.Machines[name] = was
		}
	}
	return o
}

// step takes the order forward, if it can be taken anywhere.
func (n *Node) step() {
	s, ok := n.known()
	if !ok || !n.steward() {
		clear(n.since) // another counts, and may have begun before
		return
	}
	o := n.gather()
	now := map[stand]time.Duration{}
	for _, r := range s.Requests {
		if r.Stage.Ended() || r.Stage == maintenance.Requested {
			continue
		}
		k := stand{r.ID, r.Stage, r.GrantEpoch}
		at, ok := n.since[k]
		if !ok {
			at = n.now
		}
		now[k] = at
		took := n.now - at
		o.Elapsed = append(o.Elapsed, maintenance.ElapsedLimits{ID: r.ID, Stage: r.Stage, Epoch: r.GrantEpoch, LeasesExpired: took >= n.cfg.Limits.LeaseExpiry(),
			Overdue: took >= time.Duration(r.DurationMs)*time.Millisecond, SlowStartOver: took >= n.cfg.Limits.SlowStart})
	}
	n.since = now
	if !slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return !r.Stage.Ended() }) {
		return
	}
	c := n.command(maintenance.Command{Advance: o})
	was := s.Encode()
	if next, _ := maintenance.Apply(n.cfg.Limits)(was, c); !bytes.Equal(next, was) {
		n.Counters.Advances++
		n.enquire(question{from: n.cfg.Self, m: Message{Kind: UnknownKind}, at: n.now}, c)
	}
}

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

	advanceInterval        = 250 * time.Millisecond // how often the order is taken forward
	reportLifetime         = 3 * time.Second        // a gateway's report counts for so long
	maxUnanswered          = 2                      // questions without an answer, after which another voter is asked
	repliesUntilFirstVoter = 8                      // answers of another voter, after which the first one is tried again
	maxRelayed             = 64                     // questions and commands under way for others
	requestTimeout         = 8 * time.Second        // a command that is not answered by then is given up
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

// pendingRequest is a Renew or an Order that waits for an answer of the voters here.
type pendingRequest struct {
	from    string
	message Message
	at      time.Duration
}

type receivedReport struct {
	Report
	at time.Duration
}

type stageKey struct {
	id    uint64
	stage maintenance.Stage
	epoch uint64
}

// Node is one. Use New.
type Node struct {
	Counters Counters

	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action
	voter   *consensus.Voter // nil: it does not vote

	view              *maintenance.State // in brief; nil: none is known
	viewDigest        uint64
	viewRevision      uint64
	storingRevision   uint64 // revision of the view that is being stored
	durableEpoch      uint64 // epoch of the view that lasts
	leaseUntil        time.Duration
	drainedUnderLease bool // Hold was last told with the lease
	draining          DrainMachines
	stoppedEpoch      uint64
	shuttingDown      bool
	shutDown          bool

	nextLeaseRequest time.Duration // of the next question
	lastID           uint64
	leaseRequests    map[uint64]time.Duration // questions under way
	targetVoter      int                      // the voter that is asked
	repliesFromOther int                      // answers since the first voter was tried
	unanswered       int

	chosen         *maintenance.State // what known gave last,
	chosenRevision uint64             // and of which revision
	ownReport      Report
	reports        map[string]receivedReport
	lastReceived   map[string]time.Duration
	pending        map[string]pendingRequest // by the id under which the voter was asked
	relayed        map[uint64]pendingRequest // orders handed on to a voter
	stageSince     map[stageKey]time.Duration
	nextAdvance    time.Duration
	auditedLines   map[uint64]int // of each request's history, told to the audit
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
	n := &Node{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 0xc2b2ae35)), leaseRequests: map[uint64]time.Duration{}, reports: map[string]receivedReport{},
		lastReceived: map[string]time.Duration{}, pending: map[string]pendingRequest{}, relayed: map[uint64]pendingRequest{}, stageSince: map[stageKey]time.Duration{},
		auditedLines: map[uint64]int{}}
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
		n.view, n.durableEpoch, n.viewDigest = s, s.Epoch, maintenance.Digest(c.View)
	}
	return n, nil
}

// Handle takes one event at the given time and appends the actions to out. Time must not run backwards.
func (n *Node) Handle(now time.Duration, e Event, out []Action) []Action {
	n.now, n.actions = now, out
	switch e := e.(type) {
	case MessageReceived:
		n.receive(e.From, e.Message)
	case Observed:
		n.ownReport = e.Report
		n.reports[n.cfg.Self] = receivedReport{e.Report, now}
	case Drained:
		if e.Generation == n.draining.Generation && n.view != nil && n.drainedUnderLease && (!n.shuttingDown || n.shutDown) {
			n.stoppedEpoch = max(n.stoppedEpoch, n.view.LatestDrainEpoch())
			n.requestLeaseSoon()
		}
	case AcceptorStateStored:
		if n.voter != nil {
			n.stepVoter(consensus.StateStored{Number: e.Number})
		}
	case ViewStored:
		if n.view != nil && e.Revision == n.storingRevision {
			n.durableEpoch = n.view.Epoch
			n.requestLeaseSoon()
		}
	case ShutdownCompleted:
		n.shutDown = true
		if n.view != nil {
			n.stoppedEpoch = max(n.stoppedEpoch, n.view.LatestDrainEpoch())
		}
		n.requestLeaseSoon()
	case Tick:
		n.tick()
	}
	out, n.actions = n.actions, nil
	return out
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// requestLeaseSoon has the next question go out soon: there is something to tell.
func (n *Node) requestLeaseSoon() { n.nextLeaseRequest = min(n.nextLeaseRequest, n.now) }

// HasLease says whether what the node knows is fresh.
func (n *Node) HasLease(now time.Duration) bool { return n.view != nil && now < n.leaseUntil }

// Ready says whether the gateway may send to anything: it must have known what was agreed on.
func (n *Node) Ready() bool { return n.view != nil }

// MaySend says whether a machine may be sent to, or be named as a source, at this moment. It is asked right before something is
// written. Guards against a process that was stopped, and goes on where it stood with what it believed then.
func (n *Node) MaySend(now time.Duration, machine string) bool {
	if n.view == nil {
		return false
	}
	if now < n.leaseUntil {
		return !n.draining.Machines[machine]
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
	if n.view != nil && n.drainedUnderLease && n.now >= n.leaseUntil {
		n.Counters.LeaseExpirations++
		n.updateDrain()
	}
	if n.now >= n.nextLeaseRequest {
		n.requestLease()
	}
	for id, q := range n.relayed {
		if n.now-q.at > requestTimeout {
			delete(n.relayed, id)
		}
	}
	for id, at := range n.leaseRequests {
		if n.now-at > n.cfg.Limits.Lease {
			delete(n.leaseRequests, id)
		}
	}
	if n.voter == nil {
		return
	}
	n.stepVoter(consensus.Tick{})
	for id, q := range n.pending {
		if n.now-q.at > requestTimeout {
			delete(n.pending, id)
		}
	}
	if n.now >= n.nextAdvance {
		n.nextAdvance = n.now + advanceInterval
		n.advance()
	}
}

// leaseRequestInterval is how often the view is asked for: five times in a lease.
func (n *Node) leaseRequestInterval() time.Duration { return n.cfg.Limits.Lease / 5 }

// requestLease asks a voter for the view. Questions are spread, so that gateways that started together don't ask together.
func (n *Node) requestLease() {
	every := n.leaseRequestInterval()
	n.nextLeaseRequest = n.now + every*3/4 + time.Duration(n.rng.Int64N(int64(every/2)))
	if n.unanswered++; n.unanswered > maxUnanswered {
		n.targetVoter, n.unanswered = (n.targetVoter+1)%len(n.cfg.Voters), 1
	}
	n.lastID++
	n.leaseRequests[n.lastID] = n.now
	n.Counters.LeaseRequests++
	m := Message{Kind: RenewLease, ID: n.lastID, Incarnation: n.cfg.Incarnation, NoView: n.view == nil, ViewDigest: n.viewDigest, StoppedEpoch: n.stoppedEpoch, NotifiedEpoch: n.durableEpoch, Report: &n.ownReport}
	if !n.cfg.Durable && n.view != nil {
		m.NotifiedEpoch = n.view.Epoch
	}
	n.send(n.cfg.Voters[n.targetVoter], m)
}

func (n *Node) send(to string, m Message) {
	if to == n.cfg.Self {
		n.receive(to, m)
		return
	}
	n.emit(Send{To: to, Message: m})
}

// receiveView takes in an answer.
func (n *Node) receiveView(m Message) {
	at, ok := n.leaseRequests[m.ID]
	if !ok {
		return // it was given up, or is a second one
	}
	delete(n.leaseRequests, m.ID)
	n.unanswered = 0
	n.Counters.Views++
	// The first that is heard takes the order forward, and needs all reports: who asks another one tries it again.
	if n.repliesFromOther++; n.repliesFromOther >= repliesUntilFirstVoter {
		n.targetVoter, n.repliesFromOther, n.unanswered = 0, 0, maxUnanswered-1
	}
	news := false
	if m.Revision < n.viewRevision {
		return // an old answer proves nothing of what is known by now
	}
	if m.Value != nil && m.ViewDigest != n.viewDigest {
		s, err := maintenance.Decode(m.Value)
		if err != nil {
			n.Counters.Unknown++
			return
		}
		n.view, n.viewDigest, news = s, m.ViewDigest, true
		if n.cfg.Durable {
			n.storingRevision = m.Revision
			n.emit(StoreView{m.Revision, m.Value})
		}
		n.requestLeaseSoon()
	}
	if n.view == nil || m.ViewDigest != n.viewDigest {
		return // the answer is to one who knew something else
	}
	n.viewRevision = m.Revision
	// What was agreed on when the question left is known: the lease counts from then.
	n.leaseUntil = max(n.leaseUntil, at+n.cfg.Limits.Lease)
	if news || !n.drainedUnderLease {
		n.updateDrain()
	}
}

// updateDrain tells what is held, if that has changed.
func (n *Node) updateDrain() {
	n.drainedUnderLease = n.now < n.leaseUntil
	held := n.view.ExcludedMachines(n.drainedUnderLease)
	if r := n.ownDrain(); r != nil && !n.shuttingDown {
		n.shuttingDown = true
		n.emit(ShutDown{})
	}
	if n.draining.Generation > 0 && maps.Equal(held, n.draining.Machines) {
		if n.drainedUnderLease && len(held) == 0 {
			n.stoppedEpoch = max(n.stoppedEpoch, n.view.LatestDrainEpoch())
		}
		if n.drainedUnderLease { // the same machines, perhaps by a newer drain
			n.emit(n.draining)
		}
		return
	}
	n.draining = DrainMachines{n.draining.Generation + 1, held}
	n.emit(n.draining)
}

// ownDrain is the request for this gateway's own machine, once it drains.
func (n *Node) ownDrain() *maintenance.Request {
	for _, r := range n.view.Requests {
		if r.Machine == n.cfg.Self && r.Stage == maintenance.Draining && r.Incarnation == n.cfg.Incarnation {
			return r
		}
	}
	return nil
}

// ---- as one that is asked ----

func (n *Node) receive(from string, m Message) {
	member := slices.Contains(n.cfg.Members, from)
	if member {
		n.lastReceived[from] = n.now
	}
	switch m.Kind {
	case ConsensusMessage:
		if n.voter != nil && member {
			n.stepVoter(consensus.MessageReceived{From: from, Message: m.Consensus})
		}
	case RenewLease:
		if n.voter == nil || !member {
			n.Counters.NonMembers++
			return
		}
		if m.Report != nil {
			n.reports[from] = receivedReport{*m.Report, n.now}
		}
		n.serveLeaseRequest(from, m)
	case View:
		if member {
			n.receiveView(m)
		}
	case OperatorRequest:
		n.serveOperatorRequest(from, m)
	case OperatorReply:
		if q, ok := n.relayed[m.ID]; ok && member {
			delete(n.relayed, m.ID)
			m.ID = q.message.ID
			n.send(q.from, m)
		}
	default:
		n.Counters.Unknown++
	}
}

// submit gives the voter here something to do, for one who waits for the answer.
func (n *Node) submit(q pendingRequest, command []byte) {
	if len(n.pending) >= 4*maxRelayed {
		n.Counters.Dropped++
		return
	}
	n.lastID++
	id := strconv.FormatUint(n.lastID, 10)
	n.pending[id] = q
	if command != nil {
		n.stepVoter(consensus.Propose{ID: id, Command: command})
	} else {
		n.stepVoter(consensus.Read{ID: id})
	}
}

func (n *Node) encodeCommand(c maintenance.Command) []byte {
	c.Actor, c.AtMs = cmp.Or(c.Actor, n.cfg.Self), n.cfg.WallClockMs()
	b, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // none of its types can fail
	}
	return b
}

// serveLeaseRequest asks the voters for one that wants to know. What it has to tell of itself goes first, if that is news.
func (n *Node) serveLeaseRequest(from string, m Message) {
	q := pendingRequest{from, m, n.now}
	var c []byte
	if s, ok := n.chosenState(); ok {
		g, joined := s.Gateways[from]
		switch {
		case !joined || g.Incarnation != m.Incarnation:
			c = n.joinCommand(from, m)
		case m.NotifiedEpoch > g.NotifiedEpoch || m.StoppedEpoch > g.StoppedEpoch:
			c = n.encodeCommand(maintenance.Command{Actor: from, Notified: &maintenance.GatewayUpdate{Name: from, Incarnation: m.Incarnation, NotifiedEpoch: m.NotifiedEpoch, StoppedEpoch: m.StoppedEpoch}})
		}
	} else { // the very first
		c = n.joinCommand(from, m)
	}
	n.submit(q, c)
}

func (n *Node) joinCommand(from string, m Message) []byte {
	return n.encodeCommand(maintenance.Command{Actor: from, Join: &maintenance.GatewayUpdate{Name: from, Incarnation: m.Incarnation, NoView: m.NoView, NotifiedEpoch: m.NotifiedEpoch}})
}

// chosenState is the newest state that the voter here knows of, which may be old. It is not to be changed.
func (n *Node) chosenState() (*maintenance.State, bool) {
	s, ok := n.voter.Chosen()
	if !ok {
		return nil, false
	}
	if n.chosen == nil || n.chosenRevision != s.Revision {
		d, err := maintenance.Decode(s.Value)
		if err != nil {
			return nil, false
		}
		n.chosen, n.chosenRevision = d, s.Revision
	}
	return n.chosen, true
}

// serveOperatorRequest takes a command, or hands it on to a voter.
func (n *Node) serveOperatorRequest(from string, m Message) {
	if n.voter == nil {
		if len(n.relayed) >= maxRelayed {
			n.send(from, Message{Kind: OperatorReply, ID: m.ID, Rejected: "too many orders are under way"})
			return
		}
		n.lastID++
		n.relayed[n.lastID] = pendingRequest{from, m, n.now}
		m.ID = n.lastID
		n.send(n.cfg.Voters[n.targetVoter], m)
		return
	}
	q := pendingRequest{from, m, n.now}
	if m.Query != "" {
		n.submit(q, nil)
		return
	}
	var c maintenance.Command
	if err := json.Unmarshal(m.Value, &c); err != nil || c.Advance != nil || c.Join != nil || c.Notified != nil {
		n.send(from, Message{Kind: OperatorReply, ID: m.ID, Rejected: "not an order"})
		return
	}
	if c.Request != nil { // what it is stands in the list
		if own, ok := n.observations().Machines[c.Request.Machine]; ok {
			c.Request.Kind, c.Request.Zone = own.Kind, own.Zone
		} else {
			c.Request.Kind = ""
		}
	}
	n.submit(q, n.encodeCommand(c))
}

// stepVoter hands an event to the voter here and carries out what it wants.
func (n *Node) stepVoter(e consensus.Event) {
	for _, a := range n.voter.Handle(n.now, e, nil) {
		switch a := a.(type) {
		case consensus.Send:
			n.emit(Send{To: a.To, Message: Message{Kind: ConsensusMessage, Consensus: a.Message}})
		case consensus.StoreState:
			n.emit(StoreAcceptorState{a})
		case consensus.Completed:
			n.complete(a)
		case consensus.Learned:
			n.emitAudit(a.State)
		}
	}
}

// complete hands on what the voters said.
func (n *Node) complete(d consensus.Completed) {
	q, ok := n.pending[d.ID]
	if !ok {
		return
	}
	delete(n.pending, d.ID)
	switch {
	case d.Rejected:
		n.Counters.Dropped++
	case q.message.Kind == RenewLease:
		// Guards against a lease for one that is not among those that are waited for.
		s, ok := n.chosenState()
		if !ok || n.chosenRevision != d.State.Revision || s.Gateways[q.from].Incarnation != q.message.Incarnation {
			return
		}
		brief := s.Summary().Encode()
		m := Message{Kind: View, ID: q.message.ID, Revision: d.State.Revision, ViewDigest: maintenance.Digest(brief)}
		if q.message.ViewDigest != m.ViewDigest {
			m.Value = brief
		}
		n.send(q.from, m)
	case q.message.Kind == OperatorRequest:
		m := Message{Kind: OperatorReply, ID: q.message.ID, Value: d.Reply, Revision: d.State.Revision}
		switch q.message.Query {
		case "state":
			m.Value = d.State.Value
		case "plan":
			if s, err := maintenance.Decode(d.State.Value); err == nil {
				m.Value, _ = json.Marshal(s.Plan(n.observations(), n.cfg.Limits))
			}
		}
		n.send(q.from, m)
	}
}

// emitAudit tells of what is new in the histories.
func (n *Node) emitAudit(s consensus.State) {
	d, err := maintenance.Decode(s.Value)
	if err != nil {
		return
	}
	kept := map[uint64]bool{}
	for _, r := range d.Requests {
		kept[r.ID] = true
		last := n.auditedLines[r.ID]
		for i, st := range r.History {
			if i >= last {
				n.emit(AuditEntry{r.AuditLine(st)})
			}
		}
		n.auditedLines[r.ID] = len(r.History)
	}
	maps.DeleteFunc(n.auditedLines, func(id uint64, _ int) bool { return !kept[id] })
}

// ---- as the one that takes the order forward ----

// isCoordinator says whether this voter is the first of those that are heard of. Two that both think so are harmless: what they want is
// applied to the state as it is, one after the other.
func (n *Node) isCoordinator() bool {
	for _, v := range n.cfg.Voters {
		if v == n.cfg.Self {
			return true
		}
		if at, ok := n.lastReceived[v]; ok && n.now-at < reportLifetime {
			return false
		}
	}
	return false
}

// observations joins what all gateways have reported lately, the most cautious of it.
func (n *Node) observations() *maintenance.Observations {
	o := &maintenance.Observations{Machines: map[string]maintenance.Machine{}}
	for _, from := range slices.Sorted(maps.Keys(n.reports)) {
		r := n.reports[from]
		if n.now-r.at > reportLifetime {
			if n.now-r.at > 10*reportLifetime {
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

// advance takes the order forward, if it can be taken anywhere.
func (n *Node) advance() {
	s, ok := n.chosenState()
	if !ok || !n.isCoordinator() {
		clear(n.stageSince) // another counts, and may have begun before
		return
	}
	o := n.observations()
	now := map[stageKey]time.Duration{}
	for _, r := range s.Requests {
		if r.Stage.Ended() || r.Stage == maintenance.Requested {
			continue
		}
		k := stageKey{r.ID, r.Stage, r.GrantEpoch}
		at, ok := n.stageSince[k]
		if !ok {
			at = n.now
		}
		now[k] = at
		took := n.now - at
		o.Elapsed = append(o.Elapsed, maintenance.ElapsedLimits{ID: r.ID, Stage: r.Stage, Epoch: r.GrantEpoch, LeasesExpired: took >= n.cfg.Limits.LeaseExpiry(),
			Overdue: took >= time.Duration(r.DurationMs)*time.Millisecond, SlowStartOver: took >= n.cfg.Limits.SlowStart})
	}
	n.stageSince = now
	if !slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return !r.Stage.Ended() }) {
		return
	}
	c := n.encodeCommand(maintenance.Command{Advance: o})
	was := s.Encode()
	if next, _ := maintenance.Apply(n.cfg.Limits)(was, c); !bytes.Equal(next, was) {
		n.Counters.Advances++
		n.submit(pendingRequest{from: n.cfg.Self, message: Message{Kind: UnknownKind}, at: n.now}, c)
	}
}

package cluster

import (
	"testing"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
)

const second = time.Second

// nonVoter returns a node that is not a voter. The test plays its only voter, "v".
func nonVoter(t *testing.T, durable bool, view []byte) *Node {
	t.Helper()
	n, err := New(Config{Self: "g9", Incarnation: 5, Members: []string{"v", "g9"}, Voters: []string{"v"}, View: view, Durable: durable,
		Limits: maintenance.Limits{Lease: 2 * second}, WallClockMs: func() int64 { return 0 }, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func encodedState(epoch uint64, stages map[string]maintenance.Stage) []byte {
	s := &maintenance.State{Epoch: epoch, Gateways: map[string]maintenance.Gateway{}}
	for _, m := range []string{"m1", "m2"} {
		if st, ok := stages[m]; ok {
			s.Requests = append(s.Requests, &maintenance.Request{ID: uint64(len(m)), Machine: m, Kind: maintenance.KindCache, Stage: st, GrantEpoch: 1, DrainEpoch: 2})
		}
	}
	return s.Encode()
}

// leaseRequest ticks the node at a time and returns the lease request that it sends.
func leaseRequest(t *testing.T, n *Node, now time.Duration) Message {
	t.Helper()
	for _, a := range n.Handle(now, Tick{}, nil) {
		if s, ok := a.(Send); ok && s.Message.Kind == RenewLease {
			return s.Message
		}
	}
	t.Fatalf("%v: no lease request was sent", now)
	return Message{}
}

func viewReply(q Message, revision uint64, value []byte) MessageReceived {
	return MessageReceived{"v", Message{Kind: View, ID: q.ID, Revision: revision, ViewDigest: maintenance.Digest(value), Value: value}}
}

// A node without a view permits nothing. With a lease it permits all machines but those that drain, without one it excludes the
// granted machines as well.
func TestEndpointPermittedDependsOnLease(t *testing.T) {
	n := nonVoter(t, false, nil)
	if n.EndpointPermitted(second, "m3") || n.Ready() {
		t.Error("sending is permitted, or the node is ready, before it has a view")
	}
	q := leaseRequest(t, n, second)
	if !q.NoView {
		t.Error("the first lease request does not report that the node has no view")
	}
	n.Handle(1200*time.Millisecond, viewReply(q, 4, encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Granted, "m2": maintenance.Draining})), nil)
	for _, c := range []struct {
		at         time.Duration
		m1, m2, m3 bool
	}{{1200 * time.Millisecond, true, false, true}, {2999 * time.Millisecond, true, false, true}, {3 * second, false, false, true}, {99 * second, false, false, true}} {
		if a, b, d := n.EndpointPermitted(c.at, "m1"), n.EndpointPermitted(c.at, "m2"), n.EndpointPermitted(c.at, "m3"); a != c.m1 || b != c.m2 || d != c.m3 {
			t.Errorf("at %v: m1, m2 and m3 are permitted: %v %v %v, want %+v", c.at, a, b, d, c)
		}
	}
}

// A lease starts when its request was sent, not when the reply arrives: the reply does not contain what was agreed on in between.
func TestLeaseStartsAtRequest(t *testing.T) {
	n := nonVoter(t, false, nil)
	q := leaseRequest(t, n, second)
	n.Handle(3500*time.Millisecond, viewReply(q, 4, encodedState(3, nil)), nil)
	if n.HasLease(3500 * time.Millisecond) {
		t.Error("a reply that took 2.5 s gives a lease of 2 s")
	}
}

// A reply that was overtaken by a newer one changes neither the view nor the lease, and neither does a duplicate.
func TestOvertakenViewIsIgnored(t *testing.T) {
	n := nonVoter(t, false, nil)
	older := leaseRequest(t, n, second)
	newer := leaseRequest(t, n, 1600*time.Millisecond)
	newView := encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Draining})
	n.Handle(1700*time.Millisecond, viewReply(newer, 9, newView), nil)
	before := n.leaseUntil
	n.Handle(1800*time.Millisecond, viewReply(older, 4, encodedState(1, nil)), nil)
	if n.EndpointPermitted(1900*time.Millisecond, "m1") {
		t.Error("an older view replaced a newer one")
	}
	n.Handle(1900*time.Millisecond, viewReply(newer, 9, newView), nil)
	if n.leaseUntil != before {
		t.Error("a duplicate of a reply extended the lease")
	}
}

// A grant is reported as known only once it is durable, and a stored view is used after a restart until a newer one arrives.
func TestOnlyDurableGrantsAreReported(t *testing.T) {
	n := nonVoter(t, true, nil)
	n.Handle(1100*time.Millisecond, viewReply(leaseRequest(t, n, second), 4, encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Granted})), nil)
	if q := leaseRequest(t, n, 1600*time.Millisecond); q.NotifiedEpoch != 0 {
		t.Errorf("the lease request reports epoch %d as known, which is not stored yet", q.NotifiedEpoch)
	}
	n.Handle(1700*time.Millisecond, ViewStored{4}, nil)
	if q := leaseRequest(t, n, 2300*time.Millisecond); q.NotifiedEpoch != 3 {
		t.Errorf("the lease request reports epoch %d as known, want 3, which is stored", q.NotifiedEpoch)
	}
	restarted := nonVoter(t, true, encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Granted}))
	if restarted.EndpointPermitted(second, "m1") || !restarted.EndpointPermitted(second, "m2") {
		t.Error("after a restart the permitted machines are not those of the stored view")
	}
	if q := leaseRequest(t, restarted, second); q.NoView || q.NotifiedEpoch != 3 {
		t.Errorf("the lease request after a restart is %+v, want one with a view and epoch 3", q)
	}
}

// Views and consensus messages from non-members, views that can't be decoded and unknown kinds of messages are ignored.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	n := nonVoter(t, false, nil)
	q := leaseRequest(t, n, second)
	fromNonMember := viewReply(q, 4, encodedState(3, nil))
	fromNonMember.From = "stranger"
	n.Handle(1100*time.Millisecond, fromNonMember, nil)
	undecodable := viewReply(q, 4, []byte("{"))
	n.Handle(1100*time.Millisecond, undecodable, nil)
	n.Handle(1100*time.Millisecond, MessageReceived{"v", Message{Kind: MessageKind(99)}}, nil)
	n.Handle(1100*time.Millisecond, MessageReceived{"stranger", Message{Kind: ConsensusMessage, Consensus: consensus.Message{Kind: consensus.Learn}}}, nil)
	if n.Ready() || n.Counters.Unknown != 2 {
		t.Errorf("ready %v, counters %+v, want a node that is not ready and Unknown 2", n.Ready(), n.Counters)
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	clock := func() int64 { return 0 }
	for i, c := range []Config{{}, {Incarnation: 1, WallClockMs: clock, Self: "x"}, {Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x"}},
		{Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x"}, Voters: []string{"y"}},
		{Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x"}, Voters: []string{"x"}, Acceptor: consensus.AcceptorState{Incarnation: 1}, Limits: maintenance.Limits{MaxUtilization: 2}},
		{Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x", "y"}, Voters: []string{"y"}, View: []byte("{")}} {
		if _, err := New(c); err == nil {
			t.Errorf("case %d: New accepts an invalid configuration", i)
		}
	}
}

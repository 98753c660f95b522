package cluster

import (
	"testing"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
)

const second = time.Second

// nonVoter is a node that does not vote, whose voter is played by the test.
func nonVoter(t *testing.T, lasts bool, view []byte) *Node {
	t.Helper()
	n, err := New(Config{Self: "g9", Incarnation: 5, Members: []string{"v", "g9"}, Voters: []string{"v"}, View: view, Durable: lasts,
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

// leaseRequest has the node ask at a time and returns the request.
func leaseRequest(t *testing.T, n *Node, now time.Duration) Message {
	t.Helper()
	for _, a := range n.Handle(now, Tick{}, nil) {
		if s, ok := a.(Send); ok && s.Message.Kind == RenewLease {
			return s.Message
		}
	}
	t.Fatalf("%v: it does not ask", now)
	return Message{}
}

func viewReply(q Message, revision uint64, value []byte) MessageReceived {
	return MessageReceived{"v", Message{Kind: View, ID: q.ID, Revision: revision, ViewDigest: maintenance.Digest(value), Value: value}}
}

// Nothing is sent before anything is known; with a lease only to what does not drain; without one not to what was granted either.
func TestMaySendFollowsTheLease(t *testing.T) {
	n := nonVoter(t, false, nil)
	if n.EndpointPermitted(second, "m3") || n.Ready() {
		t.Error("it sends before it knows of anything")
	}
	q := leaseRequest(t, n, second)
	if !q.NoView {
		t.Error("it does not say that it knows of nothing")
	}
	n.Handle(1200*time.Millisecond, viewReply(q, 4, encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Granted, "m2": maintenance.Draining})), nil)
	for _, c := range []struct {
		at         time.Duration
		m1, m2, m3 bool
	}{{1200 * time.Millisecond, true, false, true}, {2999 * time.Millisecond, true, false, true}, {3 * second, false, false, true}, {99 * second, false, false, true}} {
		if a, b, d := n.EndpointPermitted(c.at, "m1"), n.EndpointPermitted(c.at, "m2"), n.EndpointPermitted(c.at, "m3"); a != c.m1 || b != c.m2 || d != c.m3 {
			t.Errorf("%v: %v %v %v, want %+v", c.at, a, b, d, c)
		}
	}
}

// A lease counts from its request, not from the answer: what was agreed on meanwhile is not in it.
func TestALeaseCountsFromItsRequest(t *testing.T) {
	n := nonVoter(t, false, nil)
	q := leaseRequest(t, n, second)
	n.Handle(3500*time.Millisecond, viewReply(q, 4, encodedState(3, nil)), nil)
	if n.HasLease(3500 * time.Millisecond) {
		t.Error("an answer that took 2.5 s gives a lease of two")
	}
}

// An answer that is older than what is known, by another way round, proves nothing.
func TestAnOutdatedViewGivesNoLease(t *testing.T) {
	n := nonVoter(t, false, nil)
	old := leaseRequest(t, n, second)
	late := leaseRequest(t, n, 1600*time.Millisecond)
	news := encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Draining})
	n.Handle(1700*time.Millisecond, viewReply(late, 9, news), nil)
	before := n.leaseUntil
	n.Handle(1800*time.Millisecond, viewReply(old, 4, encodedState(1, nil)), nil)
	if n.EndpointPermitted(1900*time.Millisecond, "m1") {
		t.Error("an old view took the place of a newer one")
	}
	n.Handle(1900*time.Millisecond, viewReply(late, 9, news), nil)
	if n.leaseUntil != before {
		t.Error("a second answer to one question gives more lease")
	}
}

// A grant is reported as known once it is durable, and what was stored holds after a start until more is known.
func TestOnlyDurableGrantsAreReported(t *testing.T) {
	n := nonVoter(t, true, nil)
	n.Handle(1100*time.Millisecond, viewReply(leaseRequest(t, n, second), 4, encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Granted})), nil)
	if q := leaseRequest(t, n, 1600*time.Millisecond); q.NotifiedEpoch != 0 {
		t.Errorf("it reports to know of epoch %d, which is not stored yet", q.NotifiedEpoch)
	}
	n.Handle(1700*time.Millisecond, ViewStored{4}, nil)
	if q := leaseRequest(t, n, 2300*time.Millisecond); q.NotifiedEpoch != 3 {
		t.Errorf("it reports to know of epoch %d", q.NotifiedEpoch)
	}
	again := nonVoter(t, true, encodedState(3, map[string]maintenance.Stage{"m1": maintenance.Granted}))
	if again.EndpointPermitted(second, "m1") || !again.EndpointPermitted(second, "m2") {
		t.Error("after a start it does not go by what was stored")
	}
	if q := leaseRequest(t, again, second); q.NoView || q.NotifiedEpoch != 3 {
		t.Errorf("after a start it says %+v", q)
	}
}

// Strangers and what can't be read are passed over.
func TestOnlyMembersAreHeard(t *testing.T) {
	n := nonVoter(t, false, nil)
	q := leaseRequest(t, n, second)
	h := viewReply(q, 4, encodedState(3, nil))
	h.From = "stranger"
	n.Handle(1100*time.Millisecond, h, nil)
	bad := viewReply(q, 4, []byte("{"))
	n.Handle(1100*time.Millisecond, bad, nil)
	n.Handle(1100*time.Millisecond, MessageReceived{"v", Message{Kind: MessageKind(99)}}, nil)
	n.Handle(1100*time.Millisecond, MessageReceived{"stranger", Message{Kind: ConsensusMessage, Consensus: consensus.Message{Kind: consensus.Learn}}}, nil)
	if n.Ready() || n.Counters.Unknown != 2 {
		t.Errorf("ready %v, %+v", n.Ready(), n.Counters)
	}
}

func TestConfigNamesWhatIsWrong(t *testing.T) {
	clock := func() int64 { return 0 }
	for i, c := range []Config{{}, {Incarnation: 1, WallClockMs: clock, Self: "x"}, {Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x"}},
		{Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x"}, Voters: []string{"y"}},
		{Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x"}, Voters: []string{"x"}, Acceptor: consensus.AcceptorState{Incarnation: 1}, Limits: maintenance.Limits{MaxUtilization: 2}},
		{Incarnation: 1, WallClockMs: clock, Self: "x", Members: []string{"x", "y"}, Voters: []string{"y"}, View: []byte("{")}} {
		if _, err := New(c); err == nil {
			t.Errorf("case %d is taken", i)
		}
	}
}

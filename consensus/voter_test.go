package consensus

import (
	"slices"
	"strings"
	"testing"
)

// A voter that made the latest change it knows of is asked for the value after another has made a later one with the third: it
// must not answer with the one that it knows.
func TestAPromiseIsNoProofByItself(t *testing.T) {
	w := bootstrapped(budget{}, false)
	w.voters["b"].backoffUntil, w.voters["c"].backoffUntil = 0, 0
	w.handle("b", Propose{"x1", []byte("x1")})
	between := func(a, b string) {
		for i := 0; i < len(w.inFlight); {
			f := w.inFlight[i]
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
			if (f.from == a || f.from == b) && (f.to == a || f.to == b) {
				w.handle(f.to, MessageReceived{f.from, f.message})
				i = 0
			}
		}
	}
	between("b", "c") // a receives nothing
	if !w.acknowledged["x1"] {
		t.Fatal("b and c are a majority, and did not agree")
	}
	w.acknowledgedBefore["q"] = len(w.acknowledged)
	w.handle("a", Read{"q"})
	between("a", "c") // b is silent now
	w.settle()
	if w.violation != "" {
		t.Error(w.violation)
	}
}

// During the bootstrap a voter lost its state, after it had accepted a value with a. Another bootstrap, to which b and c's new
// incarnation are bound, is a majority by number: without a it must not go on.
func TestABootstrapNeedsAll(t *testing.T) {
	one, two := map[string]uint64{"a": 1, "b": 2, "c": 3}, map[string]uint64{"a": 1, "b": 2, "c": 9}
	ballot := Ballot{5, "a"}
	votes := map[string]AcceptorState{
		"a": {Incarnation: 1, Initialized: true, Promised: ballot, Accepted: ballot, State: State{Revision: 1, Incarnations: one, Value: []byte("x")}},
		"b": {Incarnation: 2, Initialized: true, State: State{Incarnations: two}}, "c": {Incarnation: 9, Initialized: true, State: State{Incarnations: two}},
	}
	w := newCluster(budget{}, false)
	for n, v := range votes {
		w.durable[n] = v
		w.start(n)
	}
	w.handle("c", Propose{"y", []byte("y")})
	for range 50 {
		for i := 0; i < len(w.inFlight); i++ {
			if f := w.inFlight[i]; f.from != "a" && f.to != "a" {
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
				w.handle(f.to, MessageReceived{f.from, f.message})
				break
			}
		}
	}
	if len(w.chosen) > 0 {
		t.Fatalf("%v was agreed on without a, which has a value", w.chosen)
	}
	w.inFlight = nil
	w.settle()
	if w.violation != "" || !slices.Contains(w.chosen, "x") {
		t.Errorf("%v is agreed on in the end, without a's value; %s", w.chosen, w.violation)
	}
}

// An incarnation that the value does not name has no vote, whatever it says.
func TestAnotherIncarnationHasNoVote(t *testing.T) {
	w := bootstrapped(budget{}, false)
	w.handle("a", Propose{"x1", []byte("x1")})
	v := w.voters["a"]
	was := v.phase
	for _, from := range []string{"b", "c"} {
		w.handle("a", MessageReceived{from, Message{Kind: Accepted, Incarnation: 77, Ballot: v.ballot}})
	}
	if v.phase != was || w.acknowledged["x1"] {
		t.Error("two strangers were taken for a majority")
	}
}

// A voter is killed before the vote for a ballot of its own lasts, which it has sent: b has accepted a value under it. Having started
// again it must not use that ballot for another value, or there are two of one ballot, and the one that was agreed on is lost.
func TestABallotIsNeverUsedTwice(t *testing.T) {
	w := bootstrapped(budget{}, true)
	w.handle("a", Propose{"x1", []byte("x1")}) // under the promises that were given to it: to all, before its own vote lasts
	for i := 0; i < len(w.inFlight); {         // b accepts it; c never receives it
		f := w.inFlight[i]
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
		if f.to == "b" {
			w.handle("b", MessageReceived{f.from, f.message})
		}
	}
	first := w.voters["b"].acceptor.Accepted
	w.inFlight, w.unwritten["a"], w.voters["a"] = nil, nil, nil
	w.start("a")
	w.handle("a", Propose{"y1", []byte("y1")})
	for _, f := range w.inFlight {
		if f.from == "a" && !first.Less(f.message.Ballot) {
			t.Fatalf("%s of %v, and b has a value of %v", f.message.Kind, f.message.Ballot, first)
		}
	}
	w.settle()
	if w.violation != "" {
		t.Error(w.violation)
	}
}

// Two voters propose at once: c a further value under the promises that were given to it, which only c itself has accepted; a another one, for
// which a and b are a majority. What is under c's ballot must not outrank it later on. Random run 75,962 of 100,000 found the loss of
// an acknowledged command while promises for what followed were not given beforehand.
func TestABallotWithoutAPrepareIsPromised(t *testing.T) {
	w := newCluster(budget{}, false)
	w.handle("c", Propose{"x0", []byte("x0")})
	w.settle()
	between := func(only string) { // only these exchange messages
		for i := 0; i < len(w.inFlight); {
			f := w.inFlight[i]
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
			if strings.Contains(only, f.from) && strings.Contains(only, f.to) {
				w.handle(f.to, MessageReceived{f.from, f.message})
				i = 0
			}
		}
	}
	w.handle("c", Propose{"x1", []byte("x1")})
	between("bc") // a does not know how far c is
	w.handle("c", Propose{"x2", []byte("x2")})
	between("c") // nobody receives it
	w.handle("a", Propose{"y1", []byte("y1")})
	between("ab")
	for range 5 { // what was crossed is tried again
		w.now += 100
		w.handle("a", Tick{})
		between("ab")
	}
	if !w.acknowledged["y1"] {
		t.Fatal("a and b are a majority, and did not agree")
	}
	w.settle()
	if w.violation != "" || !slices.Equal(w.chosen, []string{"x0", "x1", "y1", "x2"}) {
		t.Errorf("%v is agreed on in the end; %s", w.chosen, w.violation)
	}
}

package warmstart

import (
	"fmt"
	"testing"
	"time"

	"larchusher/replication"
	"larchusher/routing"
)

// pair is two gateways' sharers that hear each other at once when sync is called.
type pair struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*replication.Node
	s     map[string]*Sharer
}

func newPair(t *testing.T, names ...string) *pair {
	p := &pair{t: t, now: time.Minute, nodes: map[string]*replication.Node{}, s: map[string]*Sharer{}}
	for i, n := range names {
		node, err := replication.NewNode(replication.Config{
			Self:            replication.Incarnation{Name: n, Number: uint64(i + 1)},
			Members:         names,
			PurgeSettleTime: 6 * time.Second,
			WallClock:       func() time.Duration { return p.now },
		})
		if err != nil {
			t.Fatal(err)
		}
		p.nodes[n], p.s[n] = node, NewSharer(node, "z", 100)
	}
	return p
}

func (p *pair) sync() {
	for range 40 {
		p.now += 100 * time.Millisecond
		for from, n := range p.nodes {
			p.handle(from, n, replication.Tick{})
		}
	}
}

func (p *pair) handle(name string, n *replication.Node, e replication.Event) {
	for _, a := range n.Handle(p.now, e, nil) {
		if s, ok := a.(replication.Send); ok {
			p.handle(s.To, p.nodes[s.To], replication.MessageReceived{From: name, Message: s.Message})
		}
	}
}

func list(phase routing.Phase, boot time.Duration) map[string]routing.Endpoint {
	l := map[string]routing.Endpoint{}
	for i := range 8 {
		id := fmt.Sprint("b", i)
		l[id] = routing.Endpoint{ID: id, Kind: "box", Zone: "z", Incarnation: boot, Phase: routing.Up}
	}
	e := l["b0"]
	e.Phase = phase
	l["b0"] = e
	return l
}

const director = 1000 * time.Hour // its clock is another one

// What one has learned is what the other takes in, with its ages, by clocks that have nothing in common.
func TestPublishedStateKeepsItsAge(t *testing.T) {
	p := newPair(t, "a", "b")
	boot := 500*time.Hour + 300*time.Nanosecond
	learned := routing.LearnedState{
		At:        director,
		Listings:  []routing.Listing{{Key: 77, Endpoint: "b1", Incarnation: boot, LastRequest: director - 10*time.Second, Count: 4, MeanGap: time.Second}},
		Purges:    []routing.PurgeRecord{{Name: " 3", At: director - time.Second}},
		Endpoints: []routing.EndpointHealth{{Endpoint: "b2", Incarnation: boot, LastAnswer: director - 2*time.Second, ErrorRate: 0.8}},
	}
	p.s["a"].Publish(p.now, learned, list(routing.Up, boot))
	p.sync()
	other := list(routing.Up, boot-200*time.Nanosecond) // another gateway's clock
	m := p.s["b"].Collect(p.now, 2*director, other)
	if len(m.Listings) != 1 || m.Listings[0].Key != 77 || m.Listings[0].Incarnation != other["b1"].Incarnation || m.Listings[0].Count != 4 {
		t.Fatalf("%+v", m.Listings)
	}
	near := func(what string, age, want time.Duration) {
		if d := age - want - 4*time.Second; d < -10*time.Millisecond || d > 300*time.Millisecond { // four seconds have passed
			t.Errorf("%s is %v old", what, age)
		}
	}
	near("the listing", 2*director-m.Listings[0].LastRequest, 10*time.Second)
	if len(m.Purges) != 1 || m.Purges[0].Name != " 3" {
		t.Fatalf("%+v", m.Purges)
	}
	near("the purge", 2*director-m.Purges[0].At+samePurgeWithin, time.Second)
	if len(m.Endpoints) != 0 {
		t.Errorf("one gateway's word makes a store faulty for another: %+v", m.Endpoints)
	}
}

// A store has recovered: what was published of its faults is over at all others.
func TestRecoveryIsPublished(t *testing.T) {
	p := newPair(t, "a", "b", "c")
	faulty := routing.LearnedState{At: director, Endpoints: []routing.EndpointHealth{
		{Endpoint: "b2", LastAnswer: director, ErrorRate: 0.8, EjectedUntil: director + 3*time.Second}}}
	for _, n := range []string{"a", "b"} {
		p.s[n].Publish(p.now, faulty, nil)
	}
	p.sync()
	if m := p.s["c"].Collect(p.now, director, nil); len(m.Endpoints) != 1 || m.Endpoints[0].ErrorRate != 0.8 || m.Endpoints[0].EjectedUntil == 0 {
		t.Fatalf("%+v", m.Endpoints)
	}
	for _, n := range []string{"a", "b"} {
		p.s[n].Publish(p.now, routing.LearnedState{At: director, Endpoints: []routing.EndpointHealth{{Endpoint: "b2", LastAnswer: director}}}, nil)
	}
	p.sync()
	if m := p.s["c"].Collect(p.now, director, nil); len(m.Endpoints) != 0 {
		t.Errorf("it is still faulty: %+v", m.Endpoints)
	}
}

// What hardly changes is not published again, and a purge that another gateway has published is not published by everybody.
func TestLittleIsPublishedTwice(t *testing.T) {
	p := newPair(t, "a", "b")
	m := routing.LearnedState{
		At:        director,
		Endpoints: []routing.EndpointHealth{{Endpoint: "b2", LastAnswer: director, ErrorRate: 0.8}},
		Purges:    []routing.PurgeRecord{{Name: "o", At: director}},
	}
	p.s["a"].Publish(p.now, m, nil)
	p.sync()
	m.At += 4 * time.Second
	published := p.s["a"].Published
	for range 20 {
		m.At += 100 * time.Millisecond
		p.now += 100 * time.Millisecond
		m.Endpoints[0].LastAnswer, m.Endpoints[0].ErrorRate = m.At, m.Endpoints[0].ErrorRate-0.001
		p.s["a"].Publish(p.now, m, nil)
	}
	if got := p.s["a"].Published; got != published {
		t.Errorf("%d slots were published, and %d again", published, got-published)
	}
	known := m.At - p.now + p.nodes["b"].Purges(p.now)["o"]
	p.s["b"].Publish(p.now, routing.LearnedState{At: m.At, Purges: []routing.PurgeRecord{{Name: "o", At: known}}}, nil)
	if p.s["b"].Published != 0 {
		t.Error("both publish the same purge")
	}
}

// An object is purged again, and again: sooner after the first than anybody hears of it, and later. What another gateway makes of it is
// never older than the latest; and it does not publish it as its own.
func TestPurgesInARowAreCovered(t *testing.T) {
	const ms = time.Millisecond
	for _, apart := range []time.Duration{30 * ms, 99 * ms, 130 * ms, 495 * ms, 2000 * ms} {
		p := newPair(t, "a", "b")
		first := director
		p.s["a"].Publish(p.now, routing.LearnedState{At: first, Purges: []routing.PurgeRecord{{Name: "o", At: first}}}, nil)
		p.now += apart
		p.s["a"].Publish(p.now, routing.LearnedState{At: first + apart, Purges: []routing.PurgeRecord{{Name: "o", At: first + apart}}}, nil)
		latest := p.now
		p.sync()
		m := p.s["b"].Collect(p.now, 2*director, nil)
		if len(m.Purges) != 1 || 2*director-m.Purges[0].At > p.now-latest {
			t.Errorf("%v apart: b takes it for %v old, it is %v", apart, 2*director-m.Purges[0].At, p.now-latest)
		}
		m.At += 300 * time.Millisecond
		p.now += 300 * time.Millisecond
		p.s["b"].Publish(p.now, routing.LearnedState{At: m.At, Purges: m.Purges}, nil)
		if p.s["b"].Published != 0 {
			t.Errorf("%v apart: b publishes what it was told", apart)
		}
	}
}

// A drain that the own list does not have yet holds the store: in the incarnation that is meant, for a while, and few stores only.
func TestPeerDrainedEndpoints(t *testing.T) {
	p := newPair(t, "a", "b")
	p.s["a"].Publish(p.now, routing.LearnedState{At: director}, list(routing.Up, time.Hour))
	p.s["a"].Publish(p.now, routing.LearnedState{At: director}, list(routing.Draining, time.Hour))
	p.sync()
	if held := p.s["b"].PeerDrainedEndpoints(p.now, list(routing.Up, time.Hour)); len(held) != 1 || !held["b0"] {
		t.Fatalf("%v", held)
	}
	if held := p.s["b"].PeerDrainedEndpoints(p.now, list(routing.Up, 2*time.Hour)); len(held) != 0 {
		t.Errorf("another incarnation is held: %v", held)
	}
	if held := p.s["b"].PeerDrainedEndpoints(p.now+peerDrainMaxAge+time.Second, list(routing.Up, time.Hour)); len(held) != 0 {
		t.Errorf("it is held for ever: %v", held)
	}
	if held := p.s["a"].PeerDrainedEndpoints(p.now, list(routing.Up, time.Hour)); len(held) != 0 {
		t.Errorf("the own word is held against the own list: %v", held)
	}
	gone := list(routing.Up, time.Hour)
	clear(gone)
	p.s["a"].Publish(p.now, routing.LearnedState{At: director}, gone) // all of them, or it lies
	p.sync()
	if held := p.s["b"].PeerDrainedEndpoints(p.now, list(routing.Up, time.Hour)); len(held) != 2 {
		t.Errorf("%d of 8 are held", len(held))
	}
}

func TestWhatCanBeForgotten(t *testing.T) {
	if key, why, err := ParseForget("health", "b1", "a bad cable"); err != nil || key != replication.TombstoneKey(replication.Health, "b1") || string(why) != `"a bad cable"` {
		t.Errorf("%q %s %v", key, why, err)
	}
	for _, bad := range [][2]string{{"purge", "o"}, {"drain", "b1"}, {"forget", "x"}, {"nonsense", "x"}, {"health", ""}, {"listing", string(make([]byte, 101))}} {
		if _, _, err := ParseForget(bad[0], bad[1], ""); err == nil {
			t.Errorf("%q of %.10q can be forgotten", bad[0], bad[1])
		}
	}
}

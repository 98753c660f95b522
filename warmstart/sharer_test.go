package warmstart

import (
	"fmt"
	"testing"
	"time"

	"larchusher/replication"
	"larchusher/routing"
)

// gateways contains the nodes and sharers of several gateways, which exchange messages without delay while sync runs.
type gateways struct {
	t       *testing.T
	now     time.Duration
	nodes   map[string]*replication.Node
	sharers map[string]*Sharer
}

// newGateways returns gateways with the given names, all in zone z.
func newGateways(t *testing.T, names ...string) *gateways {
	p := &gateways{t: t, now: time.Minute, nodes: map[string]*replication.Node{}, sharers: map[string]*Sharer{}}
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
		p.nodes[n], p.sharers[n] = node, NewSharer(node, "z", 100)
	}
	return p
}

// sync lets four seconds pass in ticks of 100 ms.
func (p *gateways) sync() {
	for range 40 {
		p.now += 100 * time.Millisecond
		for from, n := range p.nodes {
			p.handle(from, n, replication.Tick{})
		}
	}
}

// handle passes an event to a node and delivers the messages that it sends.
func (p *gateways) handle(name string, n *replication.Node, e replication.Event) {
	for _, a := range n.Handle(p.now, e, nil) {
		if s, ok := a.(replication.Send); ok {
			p.handle(s.To, p.nodes[s.To], replication.MessageReceived{From: name, Message: s.Message})
		}
	}
}

// endpointList returns a list of eight endpoints, b0 to b7, that started at boot. All are up but b0, which is in the
// given phase.
func endpointList(phase routing.Phase, boot time.Duration) map[string]routing.Endpoint {
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

const directorTime = 1000 * time.Hour // time on the director's clock, which differs from that of the nodes

// State published by one gateway is collected by another with the same age, although their clocks differ.
func TestPublishedStateKeepsItsAge(t *testing.T) {
	p := newGateways(t, "a", "b")
	boot := 500*time.Hour + 300*time.Nanosecond
	learned := routing.LearnedState{
		At:        directorTime,
		Listings:  []routing.Listing{{Key: 77, Endpoint: "b1", Incarnation: boot, LastRequest: directorTime - 10*time.Second, Count: 4, MeanGap: time.Second}},
		Purges:    []routing.PurgeRecord{{Name: " 3", At: directorTime - time.Second}},
		Endpoints: []routing.EndpointHealth{{Endpoint: "b2", Incarnation: boot, LastAnswer: directorTime - 2*time.Second, ErrorRate: 0.8}},
	}
	p.sharers["a"].Publish(p.now, learned, endpointList(routing.Up, boot))
	p.sync()
	other := endpointList(routing.Up, boot-200*time.Nanosecond) // as computed by another gateway's clock
	m := p.sharers["b"].Collect(p.now, 2*directorTime, other)
	if len(m.Listings) != 1 || m.Listings[0].Key != 77 || m.Listings[0].Incarnation != other["b1"].Incarnation || m.Listings[0].Count != 4 {
		t.Fatalf("listings %+v, want that of object 77 with its incarnation and count", m.Listings)
	}
	checkAge := func(what string, age, want time.Duration) {
		if d := age - want - 4*time.Second; d < -10*time.Millisecond || d > 300*time.Millisecond { // sync took four seconds
			t.Errorf("the age of %s is %v, want its age at publication and about 4s", what, age)
		}
	}
	checkAge("the listing", 2*directorTime-m.Listings[0].LastRequest, 10*time.Second)
	if len(m.Purges) != 1 || m.Purges[0].Name != " 3" {
		t.Fatalf("purges %+v, want one of \" 3\"", m.Purges)
	}
	checkAge("the purge", 2*directorTime-m.Purges[0].At+purgeTimeTolerance, time.Second)
	if len(m.Endpoints) != 0 {
		t.Errorf("endpoints reported faulty by a single gateway: %+v, want none", m.Endpoints)
	}
}

// After the gateways that reported an endpoint as faulty have published its recovery, others no longer consider it faulty.
func TestRecoveryIsPublished(t *testing.T) {
	p := newGateways(t, "a", "b", "c")
	faulty := routing.LearnedState{At: directorTime, Endpoints: []routing.EndpointHealth{
		{Endpoint: "b2", LastAnswer: directorTime, ErrorRate: 0.8, EjectedUntil: directorTime + 3*time.Second}}}
	for _, n := range []string{"a", "b"} {
		p.sharers[n].Publish(p.now, faulty, nil)
	}
	p.sync()
	if m := p.sharers["c"].Collect(p.now, directorTime, nil); len(m.Endpoints) != 1 || m.Endpoints[0].ErrorRate != 0.8 || m.Endpoints[0].EjectedUntil == 0 {
		t.Fatalf("endpoints %+v, want b2 alone, with error rate 0.8 and ejected", m.Endpoints)
	}
	for _, n := range []string{"a", "b"} {
		p.sharers[n].Publish(p.now, routing.LearnedState{At: directorTime, Endpoints: []routing.EndpointHealth{{Endpoint: "b2", LastAnswer: directorTime}}}, nil)
	}
	p.sync()
	if m := p.sharers["c"].Collect(p.now, directorTime, nil); len(m.Endpoints) != 0 {
		t.Errorf("the recovered endpoint is still reported as faulty: %+v", m.Endpoints)
	}
}

// State that hardly changes is not published again, and a purge received from another gateway is not published again.
func TestUnchangedStateIsNotPublishedAgain(t *testing.T) {
	p := newGateways(t, "a", "b")
	m := routing.LearnedState{
		At:        directorTime,
		Endpoints: []routing.EndpointHealth{{Endpoint: "b2", LastAnswer: directorTime, ErrorRate: 0.8}},
		Purges:    []routing.PurgeRecord{{Name: "o", At: directorTime}},
	}
	p.sharers["a"].Publish(p.now, m, nil)
	p.sync()
	m.At += 4 * time.Second
	published := p.sharers["a"].Published
	for range 20 {
		m.At += 100 * time.Millisecond
		p.now += 100 * time.Millisecond
		m.Endpoints[0].LastAnswer, m.Endpoints[0].ErrorRate = m.At, m.Endpoints[0].ErrorRate-0.001
		p.sharers["a"].Publish(p.now, m, nil)
	}
	if got := p.sharers["a"].Published; got != published {
		t.Errorf("after %d published slots, %d more were published without a notable change", published, got-published)
	}
	known := m.At - p.now + p.nodes["b"].Purges(p.now)["o"]
	p.sharers["b"].Publish(p.now, routing.LearnedState{At: m.At, Purges: []routing.PurgeRecord{{Name: "o", At: known}}}, nil)
	if p.sharers["b"].Published != 0 {
		t.Error("b published the purge that it had received from a")
	}
}

// An object is purged twice, sometimes before other gateways have received the first purge. Another gateway must date
// the purge no earlier than the second one, and must not publish it again.
func TestRepeatedPurgesAreCovered(t *testing.T) {
	const ms = time.Millisecond
	for _, gap := range []time.Duration{30 * ms, 99 * ms, 130 * ms, 495 * ms, 2000 * ms} {
		p := newGateways(t, "a", "b")
		first := directorTime
		p.sharers["a"].Publish(p.now, routing.LearnedState{At: first, Purges: []routing.PurgeRecord{{Name: "o", At: first}}}, nil)
		p.now += gap
		p.sharers["a"].Publish(p.now, routing.LearnedState{At: first + gap, Purges: []routing.PurgeRecord{{Name: "o", At: first + gap}}}, nil)
		latest := p.now
		p.sync()
		m := p.sharers["b"].Collect(p.now, 2*directorTime, nil)
		if len(m.Purges) != 1 || 2*directorTime-m.Purges[0].At > p.now-latest {
			t.Errorf("purges %v apart: age %v at b, want at most %v, the age of the second one", gap, 2*directorTime-m.Purges[0].At, p.now-latest)
		}
		m.At += 300 * time.Millisecond
		p.now += 300 * time.Millisecond
		p.sharers["b"].Publish(p.now, routing.LearnedState{At: m.At, Purges: m.Purges}, nil)
		if p.sharers["b"].Published != 0 {
			t.Errorf("purges %v apart: b published the purge that it had received", gap)
		}
	}
}

// A drain published by another gateway applies to the endpoint in the own list, but only in the same incarnation, up to
// the maximum age, and to few endpoints. A gateway ignores its own publications.
func TestPeerDrainedEndpoints(t *testing.T) {
	p := newGateways(t, "a", "b")
	p.sharers["a"].Publish(p.now, routing.LearnedState{At: directorTime}, endpointList(routing.Up, time.Hour))
	p.sharers["a"].Publish(p.now, routing.LearnedState{At: directorTime}, endpointList(routing.Draining, time.Hour))
	p.sync()
	if drained := p.sharers["b"].PeerDrainedEndpoints(p.now, endpointList(routing.Up, time.Hour)); len(drained) != 1 || !drained["b0"] {
		t.Fatalf("drained endpoints %v, want b0 alone", drained)
	}
	if drained := p.sharers["b"].PeerDrainedEndpoints(p.now, endpointList(routing.Up, 2*time.Hour)); len(drained) != 0 {
		t.Errorf("another incarnation of the endpoint counts as drained: %v", drained)
	}
	if drained := p.sharers["b"].PeerDrainedEndpoints(p.now+peerDrainMaxAge+time.Second, endpointList(routing.Up, time.Hour)); len(drained) != 0 {
		t.Errorf("the drain still applies after its maximum age: %v", drained)
	}
	if drained := p.sharers["a"].PeerDrainedEndpoints(p.now, endpointList(routing.Up, time.Hour)); len(drained) != 0 {
		t.Errorf("the drain that a has published applies to a itself: %v", drained)
	}
	gone := endpointList(routing.Up, time.Hour)
	clear(gone)
	p.sharers["a"].Publish(p.now, routing.LearnedState{At: directorTime}, gone) // all endpoints are gone from its list, which may be wrong
	p.sync()
	if drained := p.sharers["b"].PeerDrainedEndpoints(p.now, endpointList(routing.Up, time.Hour)); len(drained) != 2 {
		t.Errorf("%d of 8 endpoints count as drained, want 2", len(drained))
	}
}

// ParseForget accepts bulk kinds, and rejects safety kinds, unknown kinds and invalid keys.
func TestParseForget(t *testing.T) {
	if key, why, err := ParseForget("health", "b1", "a bad cable"); err != nil || key != replication.TombstoneKey(replication.Health, "b1") || string(why) != `"a bad cable"` {
		t.Errorf("key %q, value %s, error %v; want the tombstone of health b1 with the reason", key, why, err)
	}
	for _, bad := range [][2]string{{"purge", "o"}, {"drain", "b1"}, {"forget", "x"}, {"nonsense", "x"}, {"health", ""}, {"listing", string(make([]byte, 101))}} {
		if _, _, err := ParseForget(bad[0], bad[1], ""); err == nil {
			t.Errorf("kind %q with key %.10q was accepted", bad[0], bad[1])
		}
	}
}

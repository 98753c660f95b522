package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"time"

	"larchusher/lab/virtualclock"
	"larchusher/replication"
)

// Spreading is what it takes a fleet in simulated time to know the same: package replication as the daemon drives it, over links of two
// milliseconds.
type Spreading struct {
	Way      string
	Gateways int
	Purge    time.Duration // from one gateway's notice until nine in ten know of a purge,
	All      time.Duration // and all
	Heal     time.Duration // from the end of a cut into halves until all know what was said on either side
	Rest     float64       // bytes a second that one gateway sends while nothing new is said
	Moved    float64       // bytes that one gateway sent from the heal until all knew, in the mean
}

// The ways that are held against each other.
const (
	WayOurs = "streams and hints"
	WayPull = "streams alone"     // nobody is told that there is something new
	WayFull = "whole copies"      // every exchange sends all there is
	WayPush = "pushed, no repair" // what is new is sent to three at once, and never again
)

// spreadMember is one gateway in it.
type spreadMember struct {
	node *replication.Node
	half int // of the fleet, while the halves are cut off from each other
	seen map[string]time.Duration
}

// spreadFleet is a fleet in simulated time, over links of two milliseconds, in which purges spread in one way.
type spreadFleet struct {
	way     string
	clock   virtualclock.Clock
	rng     *rand.Rand
	names   []string
	index   map[string]int // of a name
	members []*spreadMember
	apart   bool    // the halves do not hear each other
	bytes   float64 // sent
	purges  int
}

const spreadLink = 2 * time.Millisecond

// newSpreadFleet starts so many gateways.
func newSpreadFleet(way string, n int, seed uint64) (*spreadFleet, error) {
	f := &spreadFleet{way: way, clock: virtualclock.Clock{Now: time.Second}, rng: rand.New(rand.NewPCG(seed, 77)),
		index: map[string]int{}, members: make([]*spreadMember, n)}
	for i := range n {
		name := fmt.Sprintf("gateway-%04d", i)
		f.names = append(f.names, name)
		f.index[name] = i
	}
	for i, name := range f.names {
		node, err := replication.NewNode(replication.Config{Self: replication.Incarnation{Name: name, Number: uint64(i + 1)}, Members: f.names, WallClock: func() time.Duration { return f.clock.Now },
			Seed: seed<<16 + uint64(i)})
		if err != nil {
			return nil, err
		}
		f.members[i] = &spreadMember{node: node, half: i % 2, seen: map[string]time.Duration{}}
		var tick func()
		tick = func() {
			f.handle(i, replication.Tick{})
			f.clock.At(f.clock.Now+50*time.Millisecond, tick)
		}
		f.clock.At(f.clock.Now+time.Duration(f.rng.IntN(50))*time.Millisecond, tick)
	}
	return f, nil
}

// handle gives a member an event, and carries out what it wants.
func (f *spreadFleet) handle(i int, e replication.Event) {
	m := f.members[i]
	for _, a := range m.node.Handle(f.clock.Now, e, nil) {
		switch a := a.(type) {
		case replication.Send:
			f.send(i, a)
		case replication.SafetySlotsLearned:
			for _, s := range a.Slots {
				if s.Kind == replication.Purge {
					m.seen[s.Key] = f.clock.Now
				}
			}
		}
	}
}

// send carries a message, if the way has it, and the link is there.
func (f *spreadFleet) send(from int, a replication.Send) {
	if f.skips(a.Message.Kind) {
		return
	}
	if f.way == WayFull && a.Message.Kind == replication.Pull {
		a.Message.Versions, a.Message.MaxBytes = nil, 1<<30
	}
	to := f.index[a.To]
	f.bytes += float64(messageSize(a.Message))
	if !f.linked(from, to) {
		return
	}
	f.clock.At(f.clock.Now+spreadLink, func() { f.handle(to, replication.MessageReceived{From: f.names[from], Message: a.Message}) })
}

// skips says that a way does without a kind of message.
func (f *spreadFleet) skips(kind replication.MessageKind) bool {
	return f.way != WayOurs && kind == replication.Announce || f.way == WayPush && kind == replication.Pull
}

func (f *spreadFleet) linked(a, b int) bool {
	return !f.apart || f.members[a].half == f.members[b].half
}

// messageSize is about how many bytes a message takes on the wire.
func messageSize(m replication.Message) (b int) {
	b = 64 + 26*len(m.Versions)
	for _, w := range m.Slots {
		b += 48 + len(w.Slot.Key) + len(w.Slot.Value)
	}
	return b
}

// push has a gateway learn of a purge. Where nothing is repaired it tells three others, as epidemics do.
func (f *spreadFleet) push(i int, key string) {
	m := f.members[i]
	if _, ok := m.seen[key]; ok {
		return
	}
	m.seen[key] = f.clock.Now
	if f.way != WayPush {
		m.node.Publish(f.clock.Now, replication.Purge, key, nil, f.clock.Now)
		return
	}
	for range 3 {
		to := f.rng.IntN(len(f.members))
		f.bytes += 112
		if f.linked(i, to) {
			f.clock.At(f.clock.Now+spreadLink, func() { f.push(to, key) })
		}
	}
}

// purge has one gateway, drawn, learn of a new purge.
func (f *spreadFleet) purge() (key string) {
	f.purges++
	key = "o" + strconv.Itoa(f.purges)
	f.push(f.rng.IntN(len(f.members)), key)
	return key
}

// known is how many know of all of some purges.
func (f *spreadFleet) known(keys ...string) (count int) {
	for _, m := range f.members {
		if !slices.ContainsFunc(keys, func(k string) bool { _, ok := m.seen[k]; return !ok }) {
			count++
		}
	}
	return count
}

// Spread plays one way: 200 listings of each gateway's (fewer in large fleets) stand, purges are said, halves are cut off from each
// other for ten seconds while purges go on, and healed.
func Spread(way string, n int, seed uint64) (Spreading, error) {
	out := Spreading{Way: way, Gateways: n}
	f, err := newSpreadFleet(way, n, seed)
	if err != nil {
		return out, err
	}
	f.clock.Advance(2 * time.Second)
	for i := range f.members {
		for k := range min(200, 4000/n) {
			f.members[i].node.Publish(f.clock.Now, replication.Listing, fmt.Sprintf("z/%x", i*1000+k), replication.Encode(replication.ListingValue{Server: "box-1", Requests: 3}), f.clock.Now)
		}
	}
	f.clock.Advance(20 * time.Second)
	f.bytes = 0
	f.clock.Advance(5 * time.Second)
	out.Rest = f.bytes / 5 / float64(n)
	out.Purge, out.All = f.timePurge()
	f.clock.Advance(time.Second)
	out.Heal, out.Moved = f.timeHeal()
	return out, nil
}

// timePurge is how long a purge takes to nine in ten, and to all; 0: longer than half a minute.
func (f *spreadFleet) timePurge() (most, all time.Duration) {
	n, at := len(f.members), f.clock.Now
	key := f.purge()
	for all == 0 && f.clock.Now < at+30*time.Second {
		f.clock.Advance(5 * time.Millisecond)
		count := f.known(key)
		if count*10 >= n*9 && most == 0 {
			most = f.clock.Now - at
		}
		if count == n {
			all = f.clock.Now - at
		}
	}
	return most, all
}

// timeHeal cuts the halves off from each other while ten purges come, and is how long it takes from the heal until all know of all of
// them, and how many bytes each sent for it; 0: longer than eight seconds. By then the first have settled, and need not be known.
func (f *spreadFleet) timeHeal() (took time.Duration, bytes float64) {
	f.apart = true
	var keys []string
	for range 10 {
		keys = append(keys, f.purge())
		f.clock.Advance(500 * time.Millisecond)
	}
	f.apart, f.bytes = false, 0
	at := f.clock.Now
	for took == 0 && f.clock.Now < at+8*time.Second {
		f.clock.Advance(10 * time.Millisecond)
		if f.known(keys...) == len(f.members) {
			took = f.clock.Now - at
		}
	}
	return took, f.bytes / float64(len(f.members))
}

// CatchingUp is what it takes one that returns to know what its neighbours know.
type CatchingUp struct {
	Items int
	Took  time.Duration // in simulated time, over links of two milliseconds
	Bytes int           // that were sent to it
	Held  time.Duration // the longest that one message held up a real processor, at either end
	Size  int           // bytes of memory a slot, at the one that has caught up
}

// catchUpFleet is a fleet in simulated time in which gateway e catches up.
type catchUpFleet struct {
	clock  virtualclock.Clock
	nodes  map[string]*replication.Node
	out    *CatchingUp
	caught time.Duration // when e had caught up; 0: not yet
}

// handle gives a gateway an event, and carries out what it wants.
func (f *catchUpFleet) handle(name string, e replication.Event) {
	began := time.Now()
	all := f.nodes[name].Handle(f.clock.Now, e, nil)
	f.out.Held = max(f.out.Held, time.Since(began))
	for _, a := range all {
		switch a := a.(type) {
		case replication.Send:
			if a.To == "e" {
				for _, w := range a.Message.Slots {
					f.out.Bytes += 48 + len(w.Slot.Key) + len(w.Slot.Value)
				}
			}
			f.clock.At(f.clock.Now+spreadLink, func() { f.handle(a.To, replication.MessageReceived{From: name, Message: a.Message}) })
		case replication.CaughtUp:
			if name == "e" {
				f.caught = f.clock.Now
			}
		}
	}
}

// listings are so many slots of four gateways, and how far each of those got.
func (f *catchUpFleet) listings(items int, names []string) (slots []replication.Slot, reached map[replication.Incarnation]uint64) {
	reached = map[replication.Incarnation]uint64{}
	for i := range items {
		l := replication.Incarnation{Name: names[i%4], Number: uint64(100 + i%4)}
		reached[l]++
		slots = append(slots, replication.Slot{Writer: l, Seq: reached[l], Kind: replication.Listing, Key: fmt.Sprintf("edge-1/%016x", i), Value: replication.Encode(replication.ListingValue{Server: "box-17", Requests: 3, MeanGapMs: 800, MinLatencyMs: 40}),
			SeenAfter: f.clock.Now, SeenBefore: f.clock.Now})
	}
	return slots, reached
}

// CatchUp has one gateway of five return to four that know so many listings, told by two of them.
func CatchUp(items, bytesASecond int, seed uint64) (CatchingUp, error) {
	out := CatchingUp{Items: items}
	names := []string{"a", "b", "c", "d", "e"}
	f := &catchUpFleet{clock: virtualclock.Clock{Now: time.Second}, nodes: map[string]*replication.Node{}, out: &out}
	newNode := func(name string, incarnation uint64) (*replication.Node, error) {
		return replication.NewNode(replication.Config{Self: replication.Incarnation{Name: name, Number: incarnation}, Members: names, WallClock: func() time.Duration { return f.clock.Now }, BytesPerSecond: bytesASecond,
			CatchUpTimeout: time.Hour, Seed: seed<<8 + incarnation})
	}
	slots, reached := f.listings(items, names)
	for i, name := range names[:4] { // these know it all
		n, err := newNode(name, uint64(i+1))
		if err != nil {
			return out, err
		}
		for _, s := range slots {
			n.Merge(f.clock.Now, f.clock.Now, s)
		}
		for l, seq := range reached {
			n.AdvanceTo(f.clock.Now, l, replication.Bulk, seq)
		}
		f.nodes[name] = n
	}
	before := heap()
	back, err := newNode("e", 9)
	if err != nil {
		return out, err
	}
	f.nodes["e"] = back
	began := f.clock.Now
	for _, name := range names {
		var tick func()
		tick = func() {
			f.handle(name, replication.Tick{})
			f.clock.At(f.clock.Now+50*time.Millisecond, tick)
		}
		f.clock.At(f.clock.Now, tick)
	}
	for f.caught == 0 && f.clock.Now < began+100*time.Second {
		f.clock.Advance(10 * time.Millisecond)
	}
	out.Took = f.caught - began
	if n := back.Len(); n > 0 {
		out.Size = int(heap()-before) / n
	}
	return out, nil
}

// heap is what is in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

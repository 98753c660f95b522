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
type SpreadResult struct {
	Variant            string
	Gateways           int
	PurgeNinetyPercent time.Duration // from one gateway's notice until nine in ten know of a purge,
	PurgeAll           time.Duration // and all
	HealAll            time.Duration // from the end of a cut into halves until all know what was said on either side
	IdleBytesPerSecond float64       // bytes a second that one gateway sends while nothing new is said
	HealBytes          float64       // bytes that one gateway sent from the heal until all knew, in the mean
}

// The ways that are held against each other.
const (
	VariantStreamsHints = "streams and hints"
	VariantStreams      = "streams alone"     // nobody is told that there is something new
	VariantFullCopies   = "whole copies"      // every exchange sends all there is
	VariantPush         = "pushed, no repair" // what is new is sent to three at once, and never again
)

// spreadMember is one gateway in it.
type spreadGateway struct {
	node *replication.Node
	half int // of the fleet, while the halves are cut off from each other
	seen map[string]time.Duration
}

// spreadFleet is a fleet in simulated time, over links of two milliseconds, in which purges spread in one way.
type spreadCluster struct {
	variant     string
	clock       virtualclock.Clock
	rng         *rand.Rand
	names       []string
	indexByName map[string]int // of a name
	gateways    []*spreadGateway
	partitioned bool    // the halves do not hear each other
	sentBytes   float64 // sent
	purgeCount  int
}

const linkLatency = 2 * time.Millisecond

// newSpreadFleet starts so many gateways.
func newSpreadCluster(variant string, n int, seed uint64) (*spreadCluster, error) {
	f := &spreadCluster{variant: variant, clock: virtualclock.Clock{Now: time.Second}, rng: rand.New(rand.NewPCG(seed, 77)),
		indexByName: map[string]int{}, gateways: make([]*spreadGateway, n)}
	for i := range n {
		name := fmt.Sprintf("gateway-%04d", i)
		f.names = append(f.names, name)
		f.indexByName[name] = i
	}
	for i, name := range f.names {
		node, err := replication.NewNode(replication.Config{Self: replication.Incarnation{Name: name, Number: uint64(i + 1)}, Members: f.names, WallClock: func() time.Duration { return f.clock.Now },
			Seed: seed<<16 + uint64(i)})
		if err != nil {
			return nil, err
		}
		f.gateways[i] = &spreadGateway{node: node, half: i % 2, seen: map[string]time.Duration{}}
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
func (f *spreadCluster) handle(i int, e replication.Event) {
	m := f.gateways[i]
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
func (f *spreadCluster) send(from int, a replication.Send) {
	if f.skips(a.Message.Kind) {
		return
	}
	if f.variant == VariantFullCopies && a.Message.Kind == replication.Pull {
		a.Message.Versions, a.Message.MaxBytes = nil, 1<<30
	}
	to := f.indexByName[a.To]
	f.sentBytes += float64(messageSize(a.Message))
	if !f.connected(from, to) {
		return
	}
	f.clock.At(f.clock.Now+linkLatency, func() { f.handle(to, replication.MessageReceived{From: f.names[from], Message: a.Message}) })
}

// skips says that a way does without a kind of message.
func (f *spreadCluster) skips(kind replication.MessageKind) bool {
	return f.variant != VariantStreamsHints && kind == replication.Announce || f.variant == VariantPush && kind == replication.Pull
}

func (f *spreadCluster) connected(a, b int) bool {
	return !f.partitioned || f.gateways[a].half == f.gateways[b].half
}

// messageSize is about how many bytes a message takes on the wire.
func messageSize(m replication.Message) (b int) {
	b = 64 + 26*len(m.Versions)
	for _, s := range m.Slots {
		b += 48 + len(s.Slot.Key) + len(s.Slot.Value)
	}
	return b
}

// push has a gateway learn of a purge. Where nothing is repaired it tells three others, as epidemics do.
func (f *spreadCluster) learnPurge(i int, key string) {
	m := f.gateways[i]
	if _, ok := m.seen[key]; ok {
		return
	}
	m.seen[key] = f.clock.Now
	if f.variant != VariantPush {
		m.node.Publish(f.clock.Now, replication.Purge, key, nil, f.clock.Now)
		return
	}
	for range 3 {
		to := f.rng.IntN(len(f.gateways))
		f.sentBytes += 112
		if f.connected(i, to) {
			f.clock.At(f.clock.Now+linkLatency, func() { f.learnPurge(to, key) })
		}
	}
}

// purge has one gateway, drawn, learn of a new purge.
func (f *spreadCluster) startPurge() (key string) {
	f.purgeCount++
	key = "o" + strconv.Itoa(f.purgeCount)
	f.learnPurge(f.rng.IntN(len(f.gateways)), key)
	return key
}

// known is how many know of all of some purges.
func (f *spreadCluster) countKnowing(keys ...string) (count int) {
	for _, m := range f.gateways {
		if !slices.ContainsFunc(keys, func(k string) bool { _, ok := m.seen[k]; return !ok }) {
			count++
		}
	}
	return count
}

// Spread plays one way: 200 listings of each gateway's (fewer in large fleets) stand, purges are said, halves are cut off from each
// other for ten seconds while purges go on, and healed.
func MeasureSpread(variant string, n int, seed uint64) (SpreadResult, error) {
	out := SpreadResult{Variant: variant, Gateways: n}
	f, err := newSpreadCluster(variant, n, seed)
	if err != nil {
		return out, err
	}
	f.clock.Pass(2 * time.Second)
	for i := range f.gateways {
		for k := range min(200, 4000/n) {
			f.gateways[i].node.Publish(f.clock.Now, replication.Listing, fmt.Sprintf("z/%x", i*1000+k), replication.Encode(replication.ListingValue{Server: "box-1", Requests: 3}), f.clock.Now)
		}
	}
	f.clock.Pass(20 * time.Second)
	f.sentBytes = 0
	f.clock.Pass(5 * time.Second)
	out.IdleBytesPerSecond = f.sentBytes / 5 / float64(n)
	out.PurgeNinetyPercent, out.PurgeAll = f.measurePurge()
	f.clock.Pass(time.Second)
	out.HealAll, out.HealBytes = f.measureHeal()
	return out, nil
}

// timePurge is how long a purge takes to nine in ten, and to all; 0: longer than half a minute.
func (f *spreadCluster) measurePurge() (ninety, all time.Duration) {
	n, at := len(f.gateways), f.clock.Now
	key := f.startPurge()
	for all == 0 && f.clock.Now < at+30*time.Second {
		f.clock.Pass(5 * time.Millisecond)
		count := f.countKnowing(key)
		if count*10 >= n*9 && ninety == 0 {
			ninety = f.clock.Now - at
		}
		if count == n {
			all = f.clock.Now - at
		}
	}
	return ninety, all
}

// timeHeal cuts the halves off from each other while ten purges come, and is how long it takes from the heal until all know of all of
// them, and how many bytes each sent for it; 0: longer than eight seconds. By then the first have settled, and need not be known.
func (f *spreadCluster) measureHeal() (took time.Duration, bytes float64) {
	f.partitioned = true
	var keys []string
	for range 10 {
		keys = append(keys, f.startPurge())
		f.clock.Pass(500 * time.Millisecond)
	}
	f.partitioned, f.sentBytes = false, 0
	at := f.clock.Now
	for took == 0 && f.clock.Now < at+8*time.Second {
		f.clock.Pass(10 * time.Millisecond)
		if f.countKnowing(keys...) == len(f.gateways) {
			took = f.clock.Now - at
		}
	}
	return took, f.sentBytes / float64(len(f.gateways))
}

// CatchingUp is what it takes one that returns to know what its neighbours know.
type CatchUpResult struct {
	Items         int
	Took          time.Duration // in simulated time, over links of two milliseconds
	Bytes         int           // that were sent to it
	LongestHandle time.Duration // the longest that one message held up a real processor, at either end
	BytesPerSlot  int           // bytes of memory a slot, at the one that has caught up
}

// catchUpFleet is a fleet in simulated time in which gateway e catches up.
type catchUpCluster struct {
	clock      virtualclock.Clock
	nodes      map[string]*replication.Node
	out        *CatchUpResult
	caughtUpAt time.Duration // when e had caught up; 0: not yet
}

// handle gives a gateway an event, and carries out what it wants.
func (f *catchUpCluster) handle(name string, e replication.Event) {
	began := time.Now()
	all := f.nodes[name].Handle(f.clock.Now, e, nil)
	f.out.LongestHandle = max(f.out.LongestHandle, time.Since(began))
	for _, a := range all {
		switch a := a.(type) {
		case replication.Send:
			if a.To == "e" {
				for _, w := range a.Message.Slots {
					f.out.Bytes += 48 + len(w.Slot.Key) + len(w.Slot.Value)
				}
			}
			f.clock.At(f.clock.Now+linkLatency, func() { f.handle(a.To, replication.MessageReceived{From: name, Message: a.Message}) })
		case replication.CaughtUp:
			if name == "e" {
				f.caughtUpAt = f.clock.Now
			}
		}
	}
}

// listings are so many slots of four gateways, and how far each of those got.
func (f *catchUpCluster) makeListings(items int, names []string) (slots []replication.Slot, lastSeq map[replication.Incarnation]uint64) {
	lastSeq = map[replication.Incarnation]uint64{}
	for i := range items {
		writer := replication.Incarnation{Name: names[i%4], Number: uint64(100 + i%4)}
		lastSeq[writer]++
		slots = append(slots, replication.Slot{Writer: writer, Seq: lastSeq[writer], Kind: replication.Listing, Key: fmt.Sprintf("edge-1/%016x", i), Value: replication.Encode(replication.ListingValue{Server: "box-17", Requests: 3, MeanGapMs: 800, MinLatencyMs: 40}),
			SeenAfter: f.clock.Now, SeenBefore: f.clock.Now})
	}
	return slots, lastSeq
}

// CatchUp has one gateway of five return to four that know so many listings, told by two of them.
func MeasureCatchUp(items, bytesPerSecond int, seed uint64) (CatchUpResult, error) {
	out := CatchUpResult{Items: items}
	names := []string{"a", "b", "c", "d", "e"}
	f := &catchUpCluster{clock: virtualclock.Clock{Now: time.Second}, nodes: map[string]*replication.Node{}, out: &out}
	newNode := func(name string, incarnation uint64) (*replication.Node, error) {
		return replication.NewNode(replication.Config{Self: replication.Incarnation{Name: name, Number: incarnation}, Members: names, WallClock: func() time.Duration { return f.clock.Now }, BytesPerSecond: bytesPerSecond,
			CatchUpTimeout: time.Hour, Seed: seed<<8 + incarnation})
	}
	slots, lastSeq := f.makeListings(items, names)
	for i, name := range names[:4] { // these know it all
		n, err := newNode(name, uint64(i+1))
		if err != nil {
			return out, err
		}
		for _, s := range slots {
			n.Merge(f.clock.Now, f.clock.Now, s)
		}
		for writer, seq := range lastSeq {
			n.AdvanceTo(f.clock.Now, writer, replication.Bulk, seq)
		}
		f.nodes[name] = n
	}
	before := heapInUse()
	returning, err := newNode("e", 9)
	if err != nil {
		return out, err
	}
	f.nodes["e"] = returning
	began := f.clock.Now
	for _, name := range names {
		var tick func()
		tick = func() {
			f.handle(name, replication.Tick{})
			f.clock.At(f.clock.Now+50*time.Millisecond, tick)
		}
		f.clock.At(f.clock.Now, tick)
	}
	for f.caughtUpAt == 0 && f.clock.Now < began+100*time.Second {
		f.clock.Pass(10 * time.Millisecond)
	}
	out.Took = f.caughtUpAt - began
	if n := returning.Len(); n > 0 {
		out.BytesPerSlot = int(heapInUse()-before) / n
	}
	return out, nil
}

// heap is what is in use after a collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

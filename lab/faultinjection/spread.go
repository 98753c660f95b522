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

// SpreadResult is how fast, and with how many bytes, the gateways of a simulated cluster come to know the same purges.
// They run package replication as the daemon does, in simulated time, with messages that take 2 ms.
type SpreadResult struct {
	Variant            string // one of the constants Variant...
	Gateways           int
	PurgeNinetyPercent time.Duration // from a purge at one gateway until nine in ten know of it; 0: not within 30 s
	PurgeAll           time.Duration // from a purge at one gateway until all know of it; 0: not within 30 s
	HealAll            time.Duration // from the end of a partition into halves until all know the purges of either side; 0: not within 8 s
	IdleBytesPerSecond float64       // sent by each gateway, in the mean, while nothing new is published
	HealBytes          float64       // sent by each gateway, in the mean, from the end of the partition until all know
}

// The variants of replication that MeasureSpread compares. Their values are printed.
const (
	VariantStreamsHints = "streams and hints" // as in the daemon: gateways announce new slots to peers, which then pull them; they also pull periodically
	VariantStreams      = "streams alone"     // gateways pull periodically, without announcements
	VariantFullCopies   = "whole copies"      // without announcements, and each pull requests all slots
	VariantPush         = "pushed, no repair" // a purge is sent to three random gateways at once, by each that learns of it, and never repaired
)

// spreadGateway is one gateway of a spreadCluster.
type spreadGateway struct {
	node *replication.Node
	half int                      // 0 or 1: which half of the cluster it is in during a partition
	seen map[string]time.Duration // by purge, when it learned of it
}

// spreadCluster is a cluster in simulated time in which purges spread by one variant of replication.
type spreadCluster struct {
	variant     string
	clock       virtualclock.Clock
	rng         *rand.Rand
	names       []string
	indexByName map[string]int // position in names and gateways
	gateways    []*spreadGateway
	partitioned bool    // messages between the halves are dropped
	sentBytes   float64 // by all gateways since it was last set to 0, dropped messages included
	purgeCount  int     // purges so far
}

// linkLatency is the time that each simulated message takes.
const linkLatency = 2 * time.Millisecond

// newSpreadCluster creates n gateways, which tick every 50 ms from random times on.
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

// handle passes an event to gateway i, sends its messages and records the purges that it learns of.
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

// send counts a message and delivers it after linkLatency, unless the variant omits its kind or a partition drops it.
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

// skips reports whether the variant does not use messages of a kind.
func (f *spreadCluster) skips(kind replication.MessageKind) bool {
	return f.variant != VariantStreamsHints && kind == replication.Announce || f.variant == VariantPush && kind == replication.Pull
}

// connected reports whether gateways a and b can reach each other.
func (f *spreadCluster) connected(a, b int) bool {
	return !f.partitioned || f.gateways[a].half == f.gateways[b].half
}

// messageSize returns the approximate size of a message on the wire, in bytes.
func messageSize(m replication.Message) (b int) {
	b = 64 + 26*len(m.Versions)
	for _, s := range m.Slots {
		b += 48 + len(s.Slot.Key) + len(s.Slot.Value)
	}
	return b
}

// learnPurge makes gateway i learn of a purge and publish it. With VariantPush it is sent to three random gateways instead, as
// epidemic protocols do.
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
		f.sentBytes += 112 // as messageSize counts a message with one slot, without its key
		if f.connected(i, to) {
			f.clock.At(f.clock.Now+linkLatency, func() { f.learnPurge(to, key) })
		}
	}
}

// startPurge makes a random gateway learn of a new purge, and returns the purge's key.
func (f *spreadCluster) startPurge() (key string) {
	f.purgeCount++
	key = "o" + strconv.Itoa(f.purgeCount)
	f.learnPurge(f.rng.IntN(len(f.gateways)), key)
	return key
}

// countKnowing returns how many gateways know all of the given purges.
func (f *spreadCluster) countKnowing(keys ...string) (count int) {
	for _, m := range f.gateways {
		if !slices.ContainsFunc(keys, func(k string) bool { _, ok := m.seen[k]; return !ok }) {
			count++
		}
	}
	return count
}

// MeasureSpread measures one variant of replication with n gateways. Each first publishes 200 listings, fewer in clusters of
// more than 20 (4000 in all). It then measures the idle traffic, one purge, and ten purges during a partition into halves
// that lasts 5 s.
func MeasureSpread(variant string, n int, seed uint64) (SpreadResult, error) {
	out := SpreadResult{Variant: variant, Gateways: n}
	f, err := newSpreadCluster(variant, n, seed)
	if err != nil {
		return out, err
	}
	f.clock.Advance(2 * time.Second)
	for i := range f.gateways {
		for k := range min(200, 4000/n) {
			f.gateways[i].node.Publish(f.clock.Now, replication.Listing, fmt.Sprintf("z/%x", i*1000+k), replication.Encode(replication.ListingValue{Server: "box-1", Requests: 3}), f.clock.Now)
		}
	}
	f.clock.Advance(20 * time.Second)
	f.sentBytes = 0
	f.clock.Advance(5 * time.Second)
	out.IdleBytesPerSecond = f.sentBytes / 5 / float64(n)
	out.PurgeNinetyPercent, out.PurgeAll = f.measurePurge()
	f.clock.Advance(time.Second)
	out.HealAll, out.HealBytes = f.measureHeal()
	return out, nil
}

// measurePurge returns how long a purge takes to reach nine in ten gateways, and all; 0: not within 30 s.
func (f *spreadCluster) measurePurge() (ninety, all time.Duration) {
	n, at := len(f.gateways), f.clock.Now
	key := f.startPurge()
	for all == 0 && f.clock.Now < at+30*time.Second {
		f.clock.Advance(5 * time.Millisecond)
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

// measureHeal partitions the cluster into halves during ten purges. It returns how long after the end of the partition
// all gateways know all of them, and how many bytes each gateway sent until then, in the mean; took is 0 if that takes
// over 8 s. By then the first purges have settled and are no longer replicated.
func (f *spreadCluster) measureHeal() (took time.Duration, bytes float64) {
	f.partitioned = true
	var keys []string
	for range 10 {
		keys = append(keys, f.startPurge())
		f.clock.Advance(500 * time.Millisecond)
	}
	f.partitioned, f.sentBytes = false, 0
	at := f.clock.Now
	for took == 0 && f.clock.Now < at+8*time.Second {
		f.clock.Advance(10 * time.Millisecond)
		if f.countKnowing(keys...) == len(f.gateways) {
			took = f.clock.Now - at
		}
	}
	return took, f.sentBytes / float64(len(f.gateways))
}

// CatchUpResult is how long, and with what load, a gateway that returns learns what its peers know.
type CatchUpResult struct {
	Items         int           // listings that the peers hold
	Took          time.Duration // in simulated time, with messages that take 2 ms; negative: not within 100 s
	Bytes         int           // of slots that were sent to it
	LongestHandle time.Duration // most real time that any gateway took to handle one event, during which its loop does nothing else
	BytesPerSlot  int           // heap memory of the returning gateway for each slot that it holds, about
}

// catchUpCluster is a cluster of five gateways in simulated time, in which gateway e catches up with the others.
type catchUpCluster struct {
	clock      virtualclock.Clock
	nodes      map[string]*replication.Node // by name, a to e
	out        *CatchUpResult
	caughtUpAt time.Duration // when gateway e had caught up; 0: not yet
}

// handle passes an event to a gateway, times it, delivers its messages after linkLatency, and records when e has caught up.
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

// makeListings returns listings written by the first four gateways in turn, and the last sequence number of each writer.
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

// MeasureCatchUp measures how one gateway of five, with no stored state, catches up with four that know the given number of
// listings. Each peer sends it at most bytesPerSecond.
func MeasureCatchUp(items, bytesPerSecond int, seed uint64) (CatchUpResult, error) {
	out := CatchUpResult{Items: items}
	names := []string{"a", "b", "c", "d", "e"}
	f := &catchUpCluster{clock: virtualclock.Clock{Now: time.Second}, nodes: map[string]*replication.Node{}, out: &out}
	newNode := func(name string, incarnation uint64) (*replication.Node, error) {
		return replication.NewNode(replication.Config{Self: replication.Incarnation{Name: name, Number: incarnation}, Members: names, WallClock: func() time.Duration { return f.clock.Now }, BytesPerSecond: bytesPerSecond,
			CatchUpTimeout: time.Hour, Seed: seed<<8 + incarnation})
	}
	slots, lastSeq := f.makeListings(items, names)
	for i, name := range names[:4] { // the four gateways that hold all listings
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
		f.clock.Advance(10 * time.Millisecond)
	}
	out.Took = f.caughtUpAt - began
	if n := returning.Len(); n > 0 {
		out.BytesPerSlot = int(heapInUse()-before) / n
	}
	return out, nil
}

// heapInUse returns the bytes of allocated heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

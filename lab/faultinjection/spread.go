package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"runtime"
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
	cut  int
	seen map[string]time.Duration
}

// Spread plays one way: 200 listings of each gateway's (fewer in large fleets) stand, purges are said, halves are cut off from each
// other for ten seconds while purges go on, and healed.
func Spread(way string, n int, seed uint64) (Spreading, error) {
	out := Spreading{Way: way, Gateways: n}
	var (
		clock   = virtualclock.Clock{Now: time.Second}
		rng     = rand.New(rand.NewPCG(seed, 77))
		members = make([]*spreadMember, n)
		names   []string
		apart   bool
		bytes   float64
		handle  func(i int, e replication.Event)
	)
	for i := range n {
		names = append(names, fmt.Sprintf("gateway-%04d", i))
	}
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	size := func(m replication.Message) (b int) {
		b = 64 + 26*len(m.Versions)
		for _, w := range m.Slots {
			b += 48 + len(w.Slot.Key) + len(w.Slot.Value)
		}
		return b
	}
	handle = func(i int, e replication.Event) {
		m := members[i]
		for _, a := range m.node.Handle(clock.Now, e, nil) {
			switch a := a.(type) {
			case replication.Send:
				if way != WayOurs && a.Message.Kind == replication.Announce || way == WayPush && a.Message.Kind == replication.Pull {
					continue
				}
				if way == WayFull && a.Message.Kind == replication.Pull {
					a.Message.Versions, a.Message.MaxBytes = nil, 1<<30
				}
				to := index[a.To]
				bytes += float64(size(a.Message))
				if apart && members[to].cut != m.cut {
					continue
				}
				clock.At(clock.Now+2*time.Millisecond, func() { handle(to, replication.MessageReceived{From: names[i], Message: a.Message}) })
			case replication.SafetySlotsLearned:
				for _, s := range a.Slots {
					if s.Kind == replication.Purge {
						m.seen[s.Key] = clock.Now
					}
				}
			}
		}
	}
	for i, name := range names {
		node, err := replication.NewNode(replication.Config{Self: replication.Incarnation{Name: name, Number: uint64(i + 1)}, Members: names, WallClock: func() time.Duration { return clock.Now },
			Seed: seed<<16 + uint64(i)})
		if err != nil {
			return out, err
		}
		members[i] = &spreadMember{node: node, cut: i % 2, seen: map[string]time.Duration{}}
		var tick func()
		tick = func() {
			handle(i, replication.Tick{})
			clock.At(clock.Now+50*time.Millisecond, tick)
		}
		clock.At(clock.Now+time.Duration(rng.IntN(50))*time.Millisecond, tick)
	}
	purges := 0
	// push carries what a gateway has just learned to three others, as epidemics without repair do.
	var push func(i int, key string)
	push = func(i int, key string) {
		m := members[i]
		if _, ok := m.seen[key]; ok {
			return
		}
		m.seen[key] = clock.Now
		if way != WayPush {
			m.node.Publish(clock.Now, replication.Purge, key, nil, clock.Now)
			return
		}
		for range 3 {
			to := rng.IntN(n)
			bytes += 112
			if !apart || members[to].cut == m.cut {
				clock.At(clock.Now+2*time.Millisecond, func() { push(to, key) })
			}
		}
	}
	say := func() string {
		purges++
		key := "o" + strconv.Itoa(purges)
		push(rng.IntN(n), key)
		return key
	}
	// known is how many know of all of some purges.
	known := func(keys ...string) (count int) {
		for _, m := range members {
			all := true
			for _, k := range keys {
				_, ok := m.seen[k]
				all = all && ok
			}
			if all {
				count++
			}
		}
		return count
	}
	clock.Pass(2 * time.Second)
	for i := range members {
		for k := range min(200, 4000/n) {
			members[i].node.Publish(clock.Now, replication.Listing, fmt.Sprintf("z/%x", i*1000+k), replication.Encode(replication.ListingValue{Server: "box-1", Requests: 3}), clock.Now)
		}
	}
	clock.Pass(20 * time.Second)
	bytes = 0
	clock.Pass(5 * time.Second)
	out.Rest = bytes / 5 / float64(n)
	at := clock.Now
	key := say()
	for out.All == 0 && clock.Now < at+30*time.Second {
		clock.Pass(5 * time.Millisecond)
		count := known(key)
		if count*10 >= n*9 && out.Purge == 0 {
			out.Purge = clock.Now - at
		}
		if count == n {
			out.All = clock.Now - at
		}
	}
	clock.Pass(time.Second)
	apart = true
	var keys []string
	for range 10 {
		keys = append(keys, say())
		clock.Pass(500 * time.Millisecond)
	}
	apart, bytes, at = false, 0, clock.Now
	for out.Heal == 0 && clock.Now < at+8*time.Second { // by then the first have settled, and need not be known
		clock.Pass(10 * time.Millisecond)
		if known(keys...) == n {
			out.Heal = clock.Now - at
		}
	}
	out.Moved = bytes / float64(n)
	return out, nil
}

// CatchingUp is what it takes one that returns to know what its neighbours know.
type CatchingUp struct {
	Items int
	Took  time.Duration // in simulated time, over links of two milliseconds
	Bytes int           // that were sent to it
	Held  time.Duration // the longest that one message held up a real processor, at either end
	Size  int           // bytes of memory a slot, at the one that has caught up
}

// CatchUp has one gateway of five return to four that know so many listings, told by two of them.
func CatchUp(items, bytesASecond int, seed uint64) (CatchingUp, error) {
	out := CatchingUp{Items: items}
	names := []string{"a", "b", "c", "d", "e"}
	clock := virtualclock.Clock{Now: time.Second}
	nodes := map[string]*replication.Node{}
	newNode := func(name string, life uint64) (*replication.Node, error) {
		return replication.NewNode(replication.Config{Self: replication.Incarnation{Name: name, Number: life}, Members: names, WallClock: func() time.Duration { return clock.Now }, BytesPerSecond: bytesASecond,
			CatchUpTimeout: time.Hour, Seed: seed<<8 + life})
	}
	slots, reached := []replication.Slot(nil), map[replication.Incarnation]uint64{}
	for i := range items {
		l := replication.Incarnation{Name: names[i%4], Number: uint64(100 + i%4)}
		reached[l]++
		slots = append(slots, replication.Slot{Writer: l, Seq: reached[l], Kind: replication.Listing, Key: fmt.Sprintf("edge-1/%016x", i), Value: replication.Encode(replication.ListingValue{Server: "box-17", Requests: 3, MeanGapMs: 800, MinLatencyMs: 40}),
			SeenAfter: clock.Now, SeenBefore: clock.Now})
	}
	for i, name := range names[:4] { // these know it all
		n, err := newNode(name, uint64(i+1))
		if err != nil {
			return out, err
		}
		for _, s := range slots {
			n.Merge(clock.Now, clock.Now, s)
		}
		for l, seq := range reached {
			n.AdvanceTo(clock.Now, l, replication.Bulk, seq)
		}
		nodes[name] = n
	}
	before := heap()
	back, err := newNode("e", 9)
	if err != nil {
		return out, err
	}
	nodes["e"] = back
	caught := time.Duration(0)
	var handle func(name string, e replication.Event)
	handle = func(name string, e replication.Event) {
		began := time.Now()
		all := nodes[name].Handle(clock.Now, e, nil)
		out.Held = max(out.Held, time.Since(began))
		for _, a := range all {
			switch a := a.(type) {
			case replication.Send:
				if a.To == "e" {
					for _, w := range a.Message.Slots {
						out.Bytes += 48 + len(w.Slot.Key) + len(w.Slot.Value)
					}
				}
				clock.At(clock.Now+2*time.Millisecond, func() { handle(a.To, replication.MessageReceived{From: name, Message: a.Message}) })
			case replication.CaughtUp:
				if name == "e" {
					caught = clock.Now
				}
			}
		}
	}
	began := clock.Now
	for _, name := range names {
		var tick func()
		tick = func() {
			handle(name, replication.Tick{})
			clock.At(clock.Now+50*time.Millisecond, tick)
		}
		clock.At(clock.Now, tick)
	}
	for caught == 0 && clock.Now < began+100*time.Second {
		clock.Pass(10 * time.Millisecond)
	}
	out.Took = caught - began
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

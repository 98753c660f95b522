package replication

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

func incarnation(name string, n uint64) Incarnation { return Incarnation{name, n} }

// drawSlots draws slots as three correct incarnations could have written them: one slot for each sequence number.
func drawSlots(t *rapid.T) (all []Slot) {
	for w := range 3 {
		for n := range rapid.IntRange(0, 6).Draw(t, "n") {
			k := rapid.SampledFrom([]Kind{Purge, Drain, Health, Listing, 99}).Draw(t, "kind")
			at := time.Duration(rapid.IntRange(50, 99).Draw(t, "at")) * sec
			all = append(all, Slot{Writer: incarnation(fmt.Sprint("w", w), 1), Seq: uint64(n + 1), Kind: k, Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
				Value: []byte{byte(n)}, Timestamp: uint64(n), SeenAfter: at, SeenBefore: at})
		}
	}
	return all
}

// replicaOf returns a replica into which slots were merged in order.
func replicaOf(slots []Slot) *Replica {
	c := NewReplica(incarnation("self", 1), 0)
	for _, s := range slots {
		c.Merge(100*sec, 100*sec, s)
	}
	return c
}

// sum returns a hash of all slots that does not depend on their order.
func (r *Replica) sum() (sum uint64) {
	for _, s := range r.slots {
		sum += s.hash()
	}
	return sum
}

// Merging slots yields the same replica in any order, with repetitions, and when two partial replicas are merged.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawSlots(t)
		mixed := rapid.Permutation(all).Draw(t, "order")
		again := append(append([]Slot{}, mixed...), rapid.SliceOfN(rapid.SampledFrom(append(mixed, Slot{})), 0, 8).Draw(t, "again")...)
		want := replicaOf(all).sum()
		if got := replicaOf(mixed).sum(); got != want {
			t.Fatalf("the replica differs after merging the slots in another order")
		}
		if got := replicaOf(again).sum(); got != want {
			t.Fatalf("the replica differs after merging some slots twice")
		}
		half := rapid.IntRange(0, len(all)).Draw(t, "half")
		a, b := replicaOf(mixed[:half]), replicaOf(mixed[half:])
		for _, s := range b.slots {
			a.Merge(100*sec, 100*sec, *s)
		}
		if got := a.sum(); got != want {
			t.Fatalf("the replica differs after merging two partial replicas")
		}
	})
}

// Deltas make two replicas equal even if some are lost. No slot is sent twice to a replica that has it, and no bulk
// slot precedes a safety slot.
func TestDeltasConvergeAfterInterruptedExchanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := NewReplica(incarnation("from", 1), 0), NewReplica(incarnation("to", 1), 0)
		for i := range rapid.IntRange(1, 40).Draw(t, "n") {
			k := rapid.SampledFrom([]Kind{Purge, Drain, Health, Listing}).Draw(t, "kind")
			from.Write(100*sec, 100*sec, k, fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key")), []byte{byte(i)}, 99*sec+time.Duration(i)*time.Millisecond)
		}
		for range 200 {
			slots, reached, more := from.Delta(to.VersionVector(), rapid.IntRange(1, 5).Draw(t, "max"), 5, func(*Slot) int { return 1 })
			checkSafetyFirst(t, slots)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			mergeDelta(t, to, slots, reached)
			if !more {
				break
			}
		}
		if from.sum() != to.sum() || to.Lags(from.VersionVector()) {
			t.Fatal("the replicas differ after the last delta")
		}
	})
}

// checkSafetyFirst checks that no safety slot follows a bulk slot.
func checkSafetyFirst(t *rapid.T, slots []*Slot) {
	bulk := false
	for _, s := range slots {
		if bulk && s.Kind.stream() == Safety {
			t.Fatal("a bulk slot precedes a safety slot in a delta")
		}
		bulk = bulk || s.Kind.stream() == Bulk
	}
}

// mergeDelta merges a delta into a replica and checks that all its slots are new there.
func mergeDelta(t *rapid.T, to *Replica, slots []*Slot, reached []StreamVersions) {
	for _, s := range slots {
		if !to.Merge(100*sec, 100*sec, *s) {
			t.Fatalf("slot %v was sent although the replica has it", s)
		}
	}
	for _, v := range reached {
		for st := range streams {
			to.AdvanceTo(100*sec, v.Incarnation, st, v.UpTo[st])
		}
	}
}

// A slot that is forwarded from node to node, with delays, must never appear younger than it is.
func TestSlotKeepsAgingWhileForwarded(t *testing.T) {
	now := 100 * sec
	a := NewReplica(incarnation("a", 1), 0)
	a.Write(now, now, Listing, "o", Encode(ListingValue{Server: "b1"}), now)
	slot := a.slots[slotID{Listing, "o", incarnation("a", 1)}]
	seenAfter, seenBefore := slot.SeenAfter, slot.SeenBefore
	for i := range 40 {
		c, err := NewNode(Config{Self: incarnation("n", 2), Members: []string{"a", "n"}, WallClock: func() time.Duration { return now }})
		if err != nil {
			t.Fatal(err)
		}
		out := c.Handle(now, Tick{}, nil)
		pull := out[len(out)-1].(Send).Message
		sent := now + 300*time.Millisecond
		s := *slot
		w := TransferredSlot{Slot: s, MaxAge: sent - seenAfter, MinAge: sent - seenBefore}
		now = sent + 300*time.Millisecond
		c.Handle(now, MessageReceived{"a", Message{Kind: PullReply, ID: pull.ID, Slots: []TransferredSlot{w}}}, nil)
		if len(c.slots) == 0 {
			break
		}
		for _, s := range c.slots {
			seenAfter, seenBefore, slot = s.SeenAfter, s.SeenBefore, s
		}
		if seenAfter > 100*sec {
			t.Fatalf("after %d transfers the evidence is dated %v, want at most 100s", i, seenAfter)
		}
	}
	if age := now - seenAfter; age < 24*sec {
		t.Errorf("at %v the slot is %v old, want at least 24s", now, age)
	}
}

// A tombstone drops existing slots with older evidence, and keeps them from being merged again for longer than they can
// last at any replica. Slots with newer evidence are accepted.
func TestTombstoneOutlivesCoveredSlots(t *testing.T) {
	c := NewReplica(incarnation("c", 1), 0)
	old := Slot{Writer: incarnation("w", 1), Seq: 1, Kind: Health, Key: "b1", Value: Encode(HealthValue{ErrorRate: 1}), SeenAfter: 100 * sec, SeenBefore: 100 * sec}
	c.Merge(100*sec, 0, old)
	c.Write(110*sec, 0, Tombstone, TombstoneKey(Health, "b1"), []byte(`"a bad cable"`), 110*sec)
	if c.Count(Health) != 0 {
		t.Error("the slot covered by the tombstone was not removed")
	}
	for now := 110 * sec; now < 400*sec; now += 5 * sec {
		c.Sweep(now)
		s := old
		s.Seq = 2
		s.Writer.Number = uint64(now) // as if another incarnation had written it
		if c.Merge(now, 0, s) {
			t.Fatalf("the covered slot was accepted again at %v", now)
		}
	}
	if c.Count(Tombstone) != 0 {
		t.Error("the tombstone has not expired")
	}
	c.Write(500*sec, 0, Tombstone, TombstoneKey(Health, "b1"), nil, 500*sec)
	later := old
	later.SeenAfter, later.SeenBefore = 501*sec, 501*sec
	if !c.Merge(502*sec, 0, later) {
		t.Error("a slot with evidence newer than the tombstone was not accepted")
	}
}

// A malicious member that sends well-formed slots with arbitrary contents can't fill the replica, advance its logical
// clock, make an endpoint count as faulty alone, or write in the name of this incarnation.
func TestMaliciousMemberIsBounded(t *testing.T) {
	c := NewReplica(incarnation("c", 1), 6*sec)
	now := 100 * sec
	c.Write(now, now, Purge, "mine", nil, now)
	malicious := func(seq uint64, k Kind, key string, v any) Slot {
		return Slot{Writer: incarnation("malicious", 9), Seq: seq, Kind: k, Key: key, Value: Encode(v), Timestamp: 1 << 62, SeenAfter: now, SeenBefore: now}
	}
	for i := range uint64(20000) {
		c.Merge(now, now, malicious(i+1, Purge, fmt.Sprint("x", i), 0))
	}
	if n := c.Count(Purge); n > limitsByKind[Purge].maxSlots/writerDivisor+1 {
		t.Errorf("%d purges were kept, most of them of the malicious member, want at most its share of the capacity and one", n)
	}
	if c.Purges(now)["mine"] == 0 {
		t.Error("a purge of another member was evicted by those of the malicious one")
	}
	if c.timestamp >= 1<<61 {
		t.Error("the logical clock was advanced by a timestamp far in the future")
	}
	c.Merge(now, now, malicious(1, Health, "b1", HealthValue{ErrorRate: 1, EjectedMs: 1000}))
	c.Merge(now, now, malicious(2, Health, "b2", HealthValue{ErrorRate: 7}))
	if got := c.FaultReports(now, 5); len(got) != 0 {
		t.Errorf("fault reports based on a single gateway: %+v, want none", got)
	}
	for _, bad := range []Slot{
		{Writer: incarnation("c", 1), Seq: 99, Kind: Purge, Key: "o", SeenAfter: now, SeenBefore: now},                                          // written in the name of this incarnation
		{Writer: incarnation("malicious", 9), Seq: 1, Kind: Purge, Key: "o", SeenAfter: now, SeenBefore: now + sec},                             // evidence from the future
		{Writer: incarnation("malicious", 9), Seq: 1, Kind: Purge, Key: "o", SeenAfter: now - 50*sec, SeenBefore: now - 50*sec},                 // older than the maximum age
		{Writer: incarnation("malicious", 9), Seq: 0, Kind: Purge, Key: "o", SeenAfter: now, SeenBefore: now},                                   // without a sequence number
		{Writer: incarnation("malicious", 9), Seq: 1, Kind: Purge, Key: string(make([]byte, maxKeyBytes+1)), SeenAfter: now, SeenBefore: now},   // key too long
		{Writer: incarnation("malicious", 9), Seq: 1, Kind: Purge, Key: "o", Value: make([]byte, maxValueBytes+1), SeenAfter: 0, SeenBefore: 0}, // value too long
		{Writer: incarnation("", 9), Seq: 1, Kind: Purge, Key: "o", SeenAfter: now, SeenBefore: now},                                            // without a writer name
	} {
		if c.Merge(now, now, bad) {
			t.Errorf("invalid slot was accepted: %+v", bad)
		}
	}
}

// An endpoint counts as faulty if enough gateways report it for its current incarnation. The result is the median of
// their reports.
func TestFaultReportsNeedSeveralReporters(t *testing.T) {
	now := 100 * sec
	report := func(c *Replica, gateway string, seen time.Duration, e HealthValue) {
		c.Merge(now, now, Slot{Writer: incarnation(gateway, 1), Seq: 1, Kind: Health, Key: "b1", Value: Encode(e), SeenAfter: seen, SeenBefore: seen})
	}
	for _, x := range []struct {
		name    string
		alive   int
		reports func(c *Replica)
		want    float64 // error rate of the report; 0: no report
	}{
		{"one of five gateways", 5, func(c *Replica) { report(c, "a", now, HealthValue{ErrorRate: 1}) }, 0},
		{"two of five gateways", 5, func(c *Replica) {
			report(c, "a", now, HealthValue{ErrorRate: 0.4})
			report(c, "b", now, HealthValue{ErrorRate: 1})
		}, 0.4},
		{"two of nine gateways", 9, func(c *Replica) {
			report(c, "a", now, HealthValue{ErrorRate: 1})
			report(c, "b", now, HealthValue{ErrorRate: 1})
		}, 0},
		{"one about an earlier incarnation of the endpoint", 3, func(c *Replica) {
			report(c, "a", now, HealthValue{ErrorRate: 1})
			report(c, "b", now, HealthValue{ErrorRate: 1, BootMs: 5})
		}, 0},
		{"former incarnation of the reader itself", 9, func(c *Replica) { report(c, "c", now, HealthValue{ErrorRate: 0.7}) }, 0.7},
		{"one too old", 3, func(c *Replica) {
			report(c, "a", now-121*sec, HealthValue{ErrorRate: 1})
			report(c, "b", now, HealthValue{ErrorRate: 1})
		}, 0},
	} {
		c := NewReplica(incarnation("c", 2), 0)
		x.reports(c)
		got := c.FaultReports(now, x.alive)
		if x.want == 0 && len(got) > 0 || x.want > 0 && (len(got) != 1 || got[0].Value.ErrorRate != x.want) {
			t.Errorf("%s: reports %+v, want error rate %v", x.name, got, x.want)
		}
	}
}

// The same slots always yield the same report, even if two reporters agree in the error rate but differ in other fields.
func TestFaultReportsAreDeterministic(t *testing.T) {
	now := 100 * sec
	c := NewReplica(incarnation("c", 2), 0)
	for who, late := range map[string]float64{"a": 0, "b": 0.5} {
		value := Encode(HealthValue{ErrorRate: 1, LateShare: late})
		c.Merge(now, now, Slot{Writer: incarnation(who, 1), Seq: 1, Kind: Health, Key: "b1", Value: value, SeenAfter: now, SeenBefore: now})
	}
	shares := map[float64]int{}
	for range 300 {
		for _, r := range c.FaultReports(now, 3) {
			shares[r.Value.LateShare]++
		}
	}
	if len(shares) != 1 {
		t.Errorf("late shares and how often each was reported: %v, want only one", shares)
	}
}

// Of two listings with clearly different ages the younger one wins, whatever the timestamps. With similar ages the
// higher timestamp wins, and with equal timestamps the writer's name decides, so that all replicas agree.
func TestNewestListingWins(t *testing.T) {
	now := 100 * sec
	merge := func(c *Replica, gateway string, seen time.Duration, timestamp uint64, server string) {
		c.Merge(now, now, Slot{Writer: incarnation(gateway, 1), Seq: 1, Kind: Listing, Key: "o", Value: Encode(ListingValue{Server: server}), Timestamp: timestamp, SeenAfter: seen, SeenBefore: seen})
	}
	read := func(f func(c *Replica)) string {
		c := NewReplica(incarnation("c", 2), 0)
		f(c)
		l := c.Listings(now, 10)
		if len(l) != 1 {
			t.Fatalf("listings %+v, want exactly one", l)
		}
		return l[0].Value.Server
	}
	if got := read(func(c *Replica) {
		merge(c, "a", now-10*sec, 1<<60, "older evidence, higher timestamp")
		merge(c, "b", now, 5, "younger evidence")
	}); got != "younger evidence" {
		t.Error(got)
	}
	if got := read(func(c *Replica) {
		merge(c, "a", now-sec, 9, "higher timestamp")
		merge(c, "b", now, 5, "lower timestamp")
	}); got != "higher timestamp" {
		t.Error(got)
	}
	if got := read(func(c *Replica) {
		merge(c, "b", now, 5, "higher writer name")
		merge(c, "a", now, 5, "lower writer name")
	}); got != "higher writer name" {
		t.Error(got)
	}
}

// WorkSent sums the newest values of all incarnations.
func TestWorkSentSumsIncarnations(t *testing.T) {
	c := NewReplica(incarnation("c", 2), 0)
	for i, n := range []float64{3, 7, 5} { // the third arrives late and has a lower number than the second
		c.Merge(100*sec, 0, Slot{Writer: incarnation("a", 1), Seq: []uint64{1, 3, 2}[i], Kind: SlowStart, Key: "b1 7", Value: Encode(n), SeenAfter: 99 * sec, SeenBefore: 99 * sec})
	}
	c.Merge(100*sec, 0, Slot{Writer: incarnation("a", 2), Seq: 1, Kind: SlowStart, Key: "b1 7", Value: Encode(10.0), SeenAfter: 99 * sec, SeenBefore: 99 * sec})
	c.Write(100*sec, 0, SlowStart, "b1 7", Encode(1.0), 100*sec)
	if got := c.WorkSent("b1 7"); got != 18 {
		t.Errorf("work sent %v, want 7 + 10 + 1 = 18", got)
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	wall := func() time.Duration { return 0 }
	for _, c := range []Config{{}, {Self: incarnation("a", 1), WallClock: wall}, {Self: incarnation("a", 1), Members: []string{"a"}}, {Self: incarnation("a", 1), Members: []string{"a"}, WallClock: wall, BytesPerSecond: -1}} {
		if _, err := NewNode(c); err == nil {
			t.Errorf("invalid config %+v was accepted", c)
		}
	}
}

// Replies with another ID than the pending pull, or from another peer, are ignored: without the time of the pull, the
// ages of their slots are unknown.
func TestUnrequestedRepliesAreIgnored(t *testing.T) {
	n, err := NewNode(Config{Self: incarnation("n", 2), Members: []string{"a", "b", "n"}, WallClock: func() time.Duration { return sec }})
	if err != nil {
		t.Fatal(err)
	}
	pull := n.Handle(sec, Tick{}, nil)[0].(Send)
	other := map[string]string{"a": "b", "b": "a"}[pull.To]
	slots := []TransferredSlot{{Slot: Slot{Writer: incarnation("w", 1), Seq: 1, Kind: Purge, Key: "o"}}}
	n.Handle(sec, MessageReceived{pull.To, Message{Kind: PullReply, ID: pull.Message.ID + 1, Slots: slots}}, nil)
	n.Handle(sec, MessageReceived{other, Message{Kind: PullReply, ID: pull.Message.ID, Slots: slots}}, nil)
	n.Handle(sec, MessageReceived{"stranger", Message{Kind: PullReply, ID: pull.Message.ID, Slots: slots}}, nil)
	if n.Len() != 0 || n.Stats.StaleReplies != 2 {
		t.Errorf("%d slots accepted, %d stale replies counted, want 0 and 2", n.Len(), n.Stats.StaleReplies)
	}
	n.Handle(sec, MessageReceived{pull.To, Message{Kind: PullReply, ID: pull.Message.ID, Slots: slots}}, nil)
	if n.Len() != 1 {
		t.Error("the slot in the reply to the pending pull was not accepted")
	}
}

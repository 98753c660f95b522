package replication

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"testing"
	"time"
)

// The explorer goes through every order in which three members can make three writes of different kinds, among them a tombstone, and
// exchange what they have (completely, or broken off after the first slot), with one loss of memory, one member isolated and connected again, and
// one stretch of time in which all of it, the tombstone last, runs out.

type exploration struct {
	now              time.Duration
	replicas         [3]*Replica
	lastIncarnation  uint64
	written          [3]bool // who has written
	memoryLost       bool    // it has been
	isolated         int     // this one is cut off; 3: nobody; it was, 4
	timePassed       bool
	tombstonedAt     time.Duration // when the tombstone was said; 0: not yet
	purgedAt         time.Duration
	violation        string
	partialExchanges bool // exchanges break off, too
}

var writers = [3]struct {
	kind Kind
	key  string
}{{Purge, "o"}, {Health, "b"}, {Tombstone, TombstoneKey(Health, "b")}}

func newExploration() *exploration {
	e := &exploration{now: 100 * time.Second, isolated: 3}
	for i := range e.replicas {
		e.restart(i)
	}
	return e
}

func (e *exploration) restart(i int) {
	e.lastIncarnation++
	e.replicas[i] = NewReplica(Incarnation{string(rune('a' + i)), e.lastIncarnation}, 0)
}

// clone copies a replica, slot by slot.
func (r *Replica) clone() *Replica {
	k := NewReplica(r.self, r.purgeSettleTime)
	k.timestamp = r.timestamp
	for l, f := range r.incarnations {
		g := &incarnationState{lastActive: f.lastActive}
		for st := range streams {
			g.logs[st].upTo = f.logs[st].upTo
		}
		k.incarnations[l] = g
	}
	for _, s := range r.slots {
		x := *s
		t := &k.incarnations[s.Writer].logs[s.Kind.stream()]
		t.slots = append(t.slots, &x)
		k.slots[x.id()] = &x
		if k.byKey[x.Kind] == nil {
			k.byKey[x.Kind], k.countByWriter[x.Kind] = map[string][]*Slot{}, map[string]int{}
		}
		k.byKey[x.Kind][x.Key] = append(k.byKey[x.Kind][x.Key], &x)
		k.count[x.Kind]++
		k.countByWriter[x.Kind][x.Writer.Name]++
	}
	for _, f := range k.incarnations {
		for st := range streams {
			slices.SortFunc(f.logs[st].slots, func(a, b *Slot) int { return int(a.Seq) - int(b.Seq) })
		}
	}
	return k
}

func (e *exploration) clone() *exploration {
	x := *e
	for i, c := range e.replicas {
		x.replicas[i] = c.clone()
	}
	return &x
}

// exchange has one ask another; part: it breaks off after the first slot.
func (e *exploration) exchange(i, j int, partial bool) {
	maxBytes := 1 << 20
	if partial {
		maxBytes = 1
	}
	slots, reached, _ := e.replicas[j].Delta(e.replicas[i].VersionVector(), maxBytes, maxBytes, func(*Slot) int { return 1 })
	for _, s := range slots {
		e.replicas[i].Merge(e.now, e.now, *s)
	}
	for _, h := range reached {
		for st := range streams {
			e.replicas[i].AdvanceTo(e.now, h.Incarnation, st, h.UpTo[st])
		}
	}
}

func (e *exploration) steps() (all []func(*exploration)) {
	for i, w := range writers {
		if !e.written[i] {
			all = append(all, func(e *exploration) {
				e.written[i] = true
				e.now += time.Second
				e.replicas[i].Write(e.now, e.now, w.kind, w.key, []byte{1}, e.now)
				switch w.kind {
				case Tombstone:
					e.tombstonedAt = e.now
				case Purge:
					e.purgedAt = e.now
				case Drain, SlowStart, Health, Listing:
				}
			})
		}
		for j := range writers {
			if i == j || e.isolated == i || e.isolated == j || !e.replicas[i].Lags(e.replicas[j].VersionVector()) {
				continue
			}
			all = append(all, func(e *exploration) { e.exchange(i, j, false) })
			if e.partialExchanges {
				all = append(all, func(e *exploration) { e.exchange(i, j, true) })
			}
		}
		if !e.memoryLost {
			all = append(all, func(e *exploration) { e.memoryLost = true; e.restart(i) })
		}
		if e.isolated == 3 {
			all = append(all, func(e *exploration) { e.isolated = i })
		}
	}
	if e.isolated < 3 {
		all = append(all, func(e *exploration) { e.isolated = 4 })
	}
	if !e.timePassed {
		all = append(all, func(e *exploration) {
			e.timePassed = true
			e.now += limitsByKind[Tombstone].maxAge - 30*time.Second // all but the tombstone runs out
			for _, c := range e.replicas {
				c.Sweep(e.now)
			}
		})
	}
	return all
}

// check is what must hold at every moment.
func (e *exploration) check() {
	for i, c := range e.replicas {
		for _, s := range c.slots {
			if s.Kind == Health && e.tombstonedAt > 0 && s.SeenBefore <= e.tombstonedAt && len(c.byKey[Tombstone]) > 0 {
				e.violation = fmt.Sprintf("%c holds what a tombstone covers", 'a'+i)
			}
		}
	}
}

// settle has all exchange what they have, and compares the replicas.
func (e *exploration) settle() string {
	purgeKnown := false // somebody has the purge
	for _, c := range e.replicas {
		purgeKnown = purgeKnown || c.Purges(e.now)["o"] > 0
	}
	for range 4 {
		for i := range e.replicas {
			for j := range e.replicas {
				if i != j {
					e.exchange(i, j, false)
				}
			}
		}
	}
	e.check()
	var sums [3]uint64
	for i, c := range e.replicas {
		for _, s := range c.slots {
			sums[i] += c.slotSum(e.now, s)
		}
		if purgeKnown && c.Purges(e.now)["o"] == 0 {
			return fmt.Sprintf("%c does not know of the purge, which somebody knew of", 'a'+i)
		}
	}
	if sums[0] != sums[1] || sums[1] != sums[2] {
		return "they do not know the same in the end"
	}
	return e.violation
}

func (e *exploration) key() uint64 {
	h := fnv.New64a()
	num := func(all ...uint64) {
		for _, n := range all {
			_ = binary.Write(h, binary.LittleEndian, n)
		}
	}
	for i, c := range e.replicas {
		num(uint64(i), c.self.Number)
		for _, x := range c.VersionVector() {
			_, _ = h.Write([]byte(x.Incarnation.Name))
			num(x.Incarnation.Number, x.UpTo[0], x.UpTo[1])
		}
		var sum uint64
		for _, s := range c.slots {
			sum += s.hash()
		}
		num(sum)
	}
	_, _ = fmt.Fprint(h, e.written, e.memoryLost, e.isolated, e.timePassed, e.tombstonedAt > 0, e.now)
	return h.Sum64()
}

// exploreAll goes through all states, and says how many there were.
func exploreAll(partialExchanges bool) (states int, violation string) {
	initial := newExploration()
	initial.partialExchanges = partialExchanges
	seen := map[uint64]bool{initial.key(): true}
	stack := []*exploration{initial}
	for len(stack) > 0 {
		e := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if bad := e.clone().settle(); bad != "" {
			return len(seen), bad
		}
		for _, step := range e.steps() {
			n := e.clone()
			step(n)
			if n.check(); n.violation != "" {
				return len(seen), n.violation
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				stack = append(stack, n)
			}
		}
	}
	return len(seen), ""
}

// CI leaves out exchanges that break off; EXPLORE has them, too.
func TestExplore(t *testing.T) {
	states, violation := exploreAll(os.Getenv("EXPLORE") != "")
	if violation != "" {
		t.Errorf("after %d states: %s", states, violation)
	}
	t.Logf("%d states, all of them", states)
	if states < 10_000 {
		t.Errorf("%d states", states)
	}
}

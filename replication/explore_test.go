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
// exchange what they have (whole, or broken off after the first slot), with one loss of memory, one member cut off and joined again, and
// one stretch of time in which all of it, the tombstone last, runs out.

type exploring struct {
	now    time.Duration
	copies [3]*Replica
	lives  uint64
	writes [3]bool // who has written
	loss   bool    // it has been
	cut    int     // this one is cut off; 3: nobody; it was, 4
	jump   bool
	buried time.Duration // when the tombstone was said; 0: not yet
	purged time.Duration
	bad    string
	parts  bool // exchanges break off, too
}

var writers = [3]struct {
	kind Kind
	key  string
}{{Purge, "o"}, {Health, "b"}, {Tombstone, TombstoneKey(Health, "b")}}

func beginExploring() *exploring {
	e := &exploring{now: 100 * time.Second, cut: 3}
	for i := range e.copies {
		e.fresh(i)
	}
	return e
}

func (e *exploring) fresh(i int) {
	e.lives++
	e.copies[i] = NewReplica(Incarnation{string(rune('a' + i)), e.lives}, 0)
}

// clone copies a copy, slot by slot.
func (c *Replica) clone() *Replica {
	k := NewReplica(c.self, c.purgeSettleTime)
	k.timestamp = c.timestamp
	for l, f := range c.incarnations {
		g := &incarnationState{lastActive: f.lastActive}
		for st := range streams {
			g.logs[st].upTo = f.logs[st].upTo
		}
		k.incarnations[l] = g
	}
	for _, s := range c.slots {
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

func (e *exploring) clone() *exploring {
	x := *e
	for i, c := range e.copies {
		x.copies[i] = c.clone()
	}
	return &x
}

// exchange has one ask another; part: it breaks off after the first slot.
func (e *exploring) exchange(i, j int, part bool) {
	most := 1 << 20
	if part {
		most = 1
	}
	slots, reached, _ := e.copies[j].Delta(e.copies[i].VersionVector(), most, most, func(*Slot) int { return 1 })
	for _, s := range slots {
		e.copies[i].Merge(e.now, e.now, *s)
	}
	for _, h := range reached {
		for st := range streams {
			e.copies[i].AdvanceTo(e.now, h.Incarnation, st, h.UpTo[st])
		}
	}
}

func (e *exploring) steps() (all []func(*exploring)) {
	for i, w := range writers {
		if !e.writes[i] {
			all = append(all, func(e *exploring) {
				e.writes[i] = true
				e.now += time.Second
				e.copies[i].Write(e.now, e.now, w.kind, w.key, []byte{1}, e.now)
				switch w.kind {
				case Tombstone:
					e.buried = e.now
				case Purge:
					e.purged = e.now
				}
			})
		}
		for j := range writers {
			if i == j || e.cut == i || e.cut == j || !e.copies[i].Lags(e.copies[j].VersionVector()) {
				continue
			}
			all = append(all, func(e *exploring) { e.exchange(i, j, false) })
			if e.parts {
				all = append(all, func(e *exploring) { e.exchange(i, j, true) })
			}
		}
		if !e.loss {
			all = append(all, func(e *exploring) { e.loss = true; e.fresh(i) })
		}
		if e.cut == 3 {
			all = append(all, func(e *exploring) { e.cut = i })
		}
	}
	if e.cut < 3 {
		all = append(all, func(e *exploring) { e.cut = 4 })
	}
	if !e.jump {
		all = append(all, func(e *exploring) {
			e.jump = true
			e.now += rules[Tombstone].maxAge - 30*time.Second // all but the tombstone runs out
			for _, c := range e.copies {
				c.Sweep(e.now)
			}
		})
	}
	return all
}

// check is what must hold at every moment.
func (e *exploring) check() {
	for i, c := range e.copies {
		for _, s := range c.slots {
			if s.Kind == Health && e.buried > 0 && s.SeenBefore <= e.buried && len(c.byKey[Tombstone]) > 0 {
				e.bad = fmt.Sprintf("%c holds what it was told to forget", 'a'+i)
			}
		}
	}
}

// settle lets all hear each other, and holds the copies against each other.
func (e *exploring) settle() string {
	had := false // somebody holds the purge, or has said that it has been told of it
	for _, c := range e.copies {
		had = had || c.Purges(e.now)["o"] > 0
	}
	for range 4 {
		for i := range e.copies {
			for j := range e.copies {
				if i != j {
					e.exchange(i, j, false)
				}
			}
		}
	}
	e.check()
	var sums [3]uint64
	for i, c := range e.copies {
		for _, s := range c.slots {
			sums[i] += c.slotChecksum(e.now, s)
		}
		if had && c.Purges(e.now)["o"] == 0 {
			return fmt.Sprintf("%c does not know of the purge, which somebody knew of", 'a'+i)
		}
	}
	if sums[0] != sums[1] || sums[1] != sums[2] {
		return "they do not know the same in the end"
	}
	return e.bad
}

func (e *exploring) key() uint64 {
	h := fnv.New64a()
	num := func(all ...uint64) {
		for _, n := range all {
			_ = binary.Write(h, binary.LittleEndian, n)
		}
	}
	for i, c := range e.copies {
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
	fmt.Fprint(h, e.writes, e.loss, e.cut, e.jump, e.buried > 0, e.now)
	return h.Sum64()
}

// exploreAll goes through all states, and says how many there were.
func exploreAll(parts bool) (states int, bad string) {
	first := beginExploring()
	first.parts = parts
	seen := map[uint64]bool{first.key(): true}
	stack := []*exploring{first}
	for len(stack) > 0 {
		e := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if bad := e.clone().settle(); bad != "" {
			return len(seen), bad
		}
		for _, step := range e.steps() {
			n := e.clone()
			step(n)
			if n.check(); n.bad != "" {
				return len(seen), n.bad
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
	states, bad := exploreAll(os.Getenv("EXPLORE") != "")
	if bad != "" {
		t.Errorf("after %d states: %s", states, bad)
	}
	t.Logf("%d states, all of them", states)
	if states < 10_000 {
		t.Errorf("%d states", states)
	}
}

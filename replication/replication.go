// Package replication keeps what the gateways of an installation know in common, a copy at each of them, so that one that returns
// catches up with its neighbours before it does harm.
//
// What is known is made of slots. A slot is one life's word on one key of one kind, and only that life ever changes it: a life is
// a start of a gateway, with a number that no start before had. So two copies of a slot are versions of one writer's, and the
// higher number wins; copies join by that alone, in any order and any number of times. What several lives say of the same key is
// joined by whoever reads it, by a rule for each kind (see Reading).
//
// Each life numbers its slots in two streams, one for what is a matter of safety and one for the bulk. Members tell each other up
// to which number they have each stream and are sent what is newer, in its order, safety first (Scuttlebutt: van Renesse,
// Dumitriu, Gough, Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", 2008). So what was sent when
// an exchange breaks off is a beginning that the next one goes on from, with whichever neighbour.
//
// Nothing here goes by wall clocks. A slot travels with its age, and every copy of it grows old by its holder's steady clock. The age is
// known as a span, from the question that it answers to its arrival. What speaks for sending more counts as old as it can be,
// a purge as young as it can be. A slot that has outlived its kind is dropped, and taken from nobody: so a tombstone, too, need
// only outlive what it buries, however long a member was away.
//
// The package does no I/O and reads no clock; the same events give the same actions.
package replication

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Kind is what a slot is about. Kinds below FirstBulk are matters of safety. One that is not known here is kept and handed on.
type Kind uint32

// The kinds.
const (
	Purge     Kind = 1  // key: a name of package purges; what is older must not be served
	Drain     Kind = 2  // key: a store; it drains or is gone, since the start that the value names
	SlowStart Kind = 3  // key: a store and its start; value: the work that the writer has sent it since
	Tombstone Kind = 4  // key: kind and key of what is to be forgotten; value: why
	Health    Kind = 32 // key: a store; value: what the writer has seen of its failing
	Listing   Kind = 33 // key: zone and object; value: where it is to be found

	// FirstBulk parts the streams.
	FirstBulk Kind = 32
)

// stream is the stream of a kind.
func (k Kind) stream() Stream {
	if k < FirstBulk {
		return Safety
	}
	return Bulk
}

// String names a kind.
func (k Kind) String() string {
	if n := rules[k].name; n != "" {
		return n
	}
	return fmt.Sprint("kind ", uint32(k))
}

// ParseKind is the kind of a name; false: there is none.
func ParseKind(name string) (Kind, bool) {
	for k, r := range rules {
		if r.name == name {
			return k, true
		}
	}
	return 0, false
}

// Stream is one of a life's two.
type Stream int

// The streams.
const (
	Safety Stream = iota
	Bulk
	streams
)

// rule is what holds for a kind: how long a slot lasts, and how many are kept. Beyond, the oldest goes; of those of one
// writer that holds over a quarter, its own.
type rule struct {
	name     string
	maxAge   time.Duration
	maxSlots int
}

var rules = map[Kind]rule{
	Purge:     {"purge", 15 * time.Second, 8192}, // settings may say less; see Config
	Drain:     {"drain", 30 * time.Second, 2048},
	SlowStart: {"cold", 30 * time.Second, 4096},
	Tombstone: {"forget", 3 * time.Minute, 512}, // longer than what it buries
	Health:    {"health", 2 * time.Minute, 16384},
	Listing:   {"listing", 2 * time.Minute, 65536},
}

// unknownKindRule holds for kinds of later versions.
var unknownKindRule = rule{"", 3 * time.Minute, 1024}

func ruleOf(k Kind) rule {
	if r, ok := rules[k]; ok {
		return r
	}
	return unknownKindRule
}

const (
	maxKeyBytes     = 128 // bytes
	maxValueBytes   = 512
	maxSweepSlots   = 1000 // slots that are looked at in one go
	checksumSlots   = 64   // that two copies compare at once
	maxIncarnations = 4096 // lives whose streams are followed
	writerShare     = 4    // a writer holds at most one in so many of a kind
	ageTolerance    = 2 * time.Second
)

// Incarnation names a start of a gateway.
type Incarnation struct {
	Name   string `json:"Name"`
	Number uint64 `json:"Number"`
}

func (l Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(l.Name, o.Name), cmp.Compare(l.Number, o.Number))
}

// Slot is one life's word on one key.
type Slot struct {
	Writer    Incarnation
	Seq       uint64 // in its stream
	Kind      Kind
	Key       string
	Value     []byte
	Timestamp uint64 // hybrid logical clock of the writer: orders what is about as old

	// Early and Late are between which moments the evidence was seen, by the holder's clock.
	SeenAfter, SeenBefore time.Duration
	removed               bool // it stays in its log until that is gone through
}

// slotID tells slots apart.
type slotID struct {
	kind   Kind
	key    string
	writer Incarnation
}

func (s *Slot) id() slotID { return slotID{s.Kind, s.Key, s.Writer} }

// streamLog is one stream of a life: the slots in the order of their numbers, and up to which number all of them are known.
type streamLog struct {
	upTo    uint64
	slots   []*Slot
	removed int
}

func (t *streamLog) live() int { return len(t.slots) - t.removed }

// compact goes through the log once half of it is gone.
func (t *streamLog) compact() {
	if t.removed*2 > len(t.slots)+8 {
		t.slots = slices.DeleteFunc(t.slots, func(s *Slot) bool { return s.removed })
		t.removed = 0
	}
}

// incarnationState is a life with its streams.
type incarnationState struct {
	logs       [streams]streamLog
	lastActive time.Duration // it was last heard of anything new
}

// Counters count what befell a copy.
type Counters struct {
	Written, Merged, Duplicates, Expired, Evicted uint64 // slots: own, from others, that were known already, outlived, dropped for want of room
	Rejected, Outdated, Tombstoned                uint64 // slots not taken: out of bounds, outlived, under a tombstone
}

// Replica is a gateway's copy of what is known. Use NewCopy.
type Replica struct {
	Counters Counters

	self            Incarnation
	purgeSettleTime time.Duration // of purges
	incarnations    map[Incarnation]*incarnationState
	slots           map[slotID]*Slot
	byKey           map[Kind]map[string][]*Slot
	count           map[Kind]int
	countByWriter   map[Kind]map[string]int // slots by name of writer
	timestamp       uint64

	sweeping    []Incarnation // that are still to be swept in this pass, the first from sweptAt
	sweepOffset int
}

// NewReplica returns an empty copy for a life. Purges last for settles: no older copy can be left anywhere after that.
func NewReplica(self Incarnation, settles time.Duration) *Replica {
	c := &Replica{self: self, purgeSettleTime: settles, incarnations: map[Incarnation]*incarnationState{}, slots: map[slotID]*Slot{}, byKey: map[Kind]map[string][]*Slot{}, count: map[Kind]int{},
		countByWriter: map[Kind]map[string]int{}}
	c.incarnations[self] = &incarnationState{}
	return c
}

func (c *Replica) maxAge(k Kind) time.Duration {
	if k == Purge && c.purgeSettleTime > 0 {
		return min(c.purgeSettleTime, rules[Purge].maxAge)
	}
	return ruleOf(k).maxAge
}

// Write has the own life say something of a key. Seen is when its evidence was seen. It says whether that is news: the same
// value again is, once half of its life is over.
func (c *Replica) Write(now, wall time.Duration, k Kind, key string, value []byte, seen time.Duration) bool {
	if len(key) > maxKeyBytes || len(value) > maxValueBytes || key == "" || now-seen > c.maxAge(k) {
		c.Counters.Rejected++
		return false
	}
	if old := c.slots[slotID{k, key, c.self}]; old != nil && string(old.Value) == string(value) && (seen <= old.SeenBefore || k != Purge && seen-old.SeenBefore < c.maxAge(k)/2) {
		return false // a later purge of the same name is another one
	}
	c.timestamp = max(c.timestamp+1, uint64(max(0, wall.Milliseconds()))<<16)
	f := c.incarnations[c.self]
	t := &f.logs[k.stream()]
	t.upTo++
	c.Counters.Written++
	c.insert(now, &Slot{Writer: c.self, Seq: t.upTo, Kind: k, Key: key, Value: value, Timestamp: c.timestamp, SeenAfter: seen, SeenBefore: seen})
	return true
}

// Merge takes in a slot from another copy, with the span of its evidence by the own clock. True: it is news.
func (c *Replica) Merge(now, wall time.Duration, s Slot) bool {
	switch {
	case s.Writer == c.self, s.Writer.Name == "" || len(s.Writer.Name) > 64, s.Key == "" || len(s.Key) > maxKeyBytes, len(s.Value) > maxValueBytes, s.SeenBefore < s.SeenAfter,
		s.SeenBefore > now, s.Seq == 0:
		c.Counters.Rejected++
		return false
	case now-s.SeenBefore > c.maxAge(s.Kind):
		c.Counters.Outdated++
		return false
	}
	if c.incarnations[s.Writer] == nil && len(c.incarnations) >= maxIncarnations {
		c.Counters.Rejected++
		return false
	}
	// One number of one life is one thing. Where it is not, a member is broken, or lies: all copies settle on the same of the two.
	if old := c.slots[s.id()]; old != nil && (old.Seq > s.Seq || old.Seq == s.Seq && old.hash() >= s.hash()) {
		c.Counters.Duplicates++
		return false
	}
	if s.Kind != Tombstone && c.tombstoned(&s) {
		c.Counters.Tombstoned++
		return false
	}
	// Guards against a clock far ahead: it does not take this one along. What it stamps is ordered by age all the same.
	if ahead := uint64(max(0, (wall+ageTolerance).Milliseconds())) << 16; s.Timestamp <= ahead {
		c.timestamp = max(c.timestamp, s.Timestamp)
	}
	c.Counters.Merged++
	s.removed = false
	c.insert(now, &s)
	return true
}

// insert puts a slot in the place of the one that was there.
func (c *Replica) insert(now time.Duration, s *Slot) {
	if old := c.slots[s.id()]; old != nil {
		c.remove(old)
	}
	f := c.incarnations[s.Writer]
	if f == nil {
		f = &incarnationState{}
		c.incarnations[s.Writer] = f
	}
	f.lastActive = now
	t := &f.logs[s.Kind.stream()]
	at, _ := slices.BinarySearchFunc(t.slots, s.Seq, func(x *Slot, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	t.slots = slices.Insert(t.slots, at, s) // mostly at the end
	c.slots[s.id()] = s
	if c.byKey[s.Kind] == nil {
		c.byKey[s.Kind], c.countByWriter[s.Kind] = map[string][]*Slot{}, map[string]int{}
	}
	c.byKey[s.Kind][s.Key] = append(c.byKey[s.Kind][s.Key], s)
	c.count[s.Kind]++
	c.countByWriter[s.Kind][s.Writer.Name]++
	if s.Kind == Tombstone {
		c.applyTombstone(s)
	}
	most := ruleOf(s.Kind).maxSlots
	switch {
	case c.countByWriter[s.Kind][s.Writer.Name] > max(1, most/writerShare): // guards against one that fills the others' room
		c.evict(s.Kind, s.Writer.Name)
	case c.count[s.Kind] > most:
		c.evict(s.Kind, "")
	}
}

// evict drops a sixteenth of a writer's slots of a kind, those that it said first; an empty name: of the writer that has the most.
// Guards against sorting all there is at every message once a bound is reached.
func (c *Replica) evict(k Kind, writer string) {
	if writer == "" {
		for name, n := range c.countByWriter[k] {
			if n > c.countByWriter[k][writer] || n == c.countByWriter[k][writer] && name < writer {
				writer = name
			}
		}
	}
	drop := max(1, c.countByWriter[k][writer]/16)
	for _, l := range slices.SortedFunc(maps.Keys(c.incarnations), Incarnation.compare) {
		if l.Name != writer {
			continue
		}
		for _, s := range slices.Clone(c.incarnations[l].logs[k.stream()].slots) {
			if drop > 0 && s.Kind == k && !s.removed {
				drop--
				c.Counters.Evicted++
				c.remove(s)
			}
		}
	}
}

func (c *Replica) remove(s *Slot) {
	if s.removed {
		return
	}
	s.removed = true
	delete(c.slots, s.id())
	l := c.byKey[s.Kind][s.Key]
	if l = slices.DeleteFunc(l, func(x *Slot) bool { return x == s }); len(l) == 0 {
		delete(c.byKey[s.Kind], s.Key)
	} else {
		c.byKey[s.Kind][s.Key] = l
	}
	c.count[s.Kind]--
	if c.countByWriter[s.Kind][s.Writer.Name]--; c.countByWriter[s.Kind][s.Writer.Name] <= 0 {
		delete(c.countByWriter[s.Kind], s.Writer.Name)
	}
	if f := c.incarnations[s.Writer]; f != nil {
		t := &f.logs[s.Kind.stream()]
		t.removed++
		t.compact()
	}
}

// TombstoneKey is the key of a Forget for a key of a kind.
func TombstoneKey(k Kind, key string) string { return fmt.Sprintf("%d %s", uint32(k), key) }

// tombstoned says that somebody had a slot's key forgotten after its evidence was seen.
func (c *Replica) tombstoned(s *Slot) bool {
	for _, t := range c.byKey[Tombstone][TombstoneKey(s.Kind, s.Key)] {
		if s.SeenBefore <= t.SeenBefore {
			return true
		}
	}
	return false
}

// applyTombstone drops what a tombstone covers.
func (c *Replica) applyTombstone(t *Slot) {
	var k uint32
	if n, err := fmt.Sscanf(t.Key, "%d ", &k); n != 1 || err != nil || Kind(k) == Tombstone {
		return
	}
	key := t.Key[len(fmt.Sprintf("%d ", k)):]
	for _, s := range slices.Clone(c.byKey[Kind(k)][key]) {
		if s.SeenBefore <= t.SeenBefore {
			c.Counters.Tombstoned++
			c.remove(s)
		}
	}
}

// Sweep drops what has outlived its kind, and lives of which nothing is left. It looks at so many slots at most and goes on from there the
// next time: whoever reads looks at ages anyway.
func (c *Replica) Sweep(now time.Duration) {
	if len(c.sweeping) == 0 {
		for l, f := range c.incarnations {
			c.sweeping = append(c.sweeping, l)
			// Twice the longest life of a slot: what comes of such a life later than that has outlived itself anyway.
			if l != c.self && now-f.lastActive > 2*unknownKindRule.maxAge && f.logs[Safety].live()+f.logs[Bulk].live() == 0 {
				delete(c.incarnations, l)
			}
		}
		slices.SortFunc(c.sweeping, Incarnation.compare)
	}
	for left := maxSweepSlots; left > 0 && len(c.sweeping) > 0; {
		f := c.incarnations[c.sweeping[0]]
		if f == nil || c.sweepOffset >= len(f.logs[Safety].slots)+len(f.logs[Bulk].slots) {
			c.sweeping, c.sweepOffset = c.sweeping[1:], 0
			left-- // for the life
			continue
		}
		i, t := c.sweepOffset, &f.logs[Safety]
		if i >= len(t.slots) {
			i, t = i-len(t.slots), &f.logs[Bulk]
		}
		s := t.slots[i]
		c.sweepOffset++
		left--
		if !s.removed && now-s.SeenBefore > c.maxAge(s.Kind) {
			c.Counters.Expired++
			before := len(t.slots)
			c.remove(s)
			if len(t.slots) < before { // it was gone through: from its beginning
				c.sweepOffset = 0
			}
		}
	}
}

// StreamVersions says up to which number a copy has a life's streams.
type StreamVersions struct {
	Incarnation Incarnation
	UpTo        [streams]uint64
}

// VersionVector are those of all lives, in order.
func (c *Replica) VersionVector() (all []StreamVersions) {
	for l, f := range c.incarnations {
		all = append(all, StreamVersions{l, [streams]uint64{f.logs[Safety].upTo, f.logs[Bulk].upTo}})
	}
	slices.SortFunc(all, func(a, b StreamVersions) int { return a.Incarnation.compare(b.Incarnation) })
	return all
}

// Lags says whether anything in there is newer than what is here.
func (c *Replica) Lags(theirs []StreamVersions) bool {
	for _, h := range theirs {
		f := c.incarnations[h.Incarnation]
		for st := range streams {
			if h.UpTo[st] > 0 && (f == nil || f.logs[st].upTo < h.UpTo[st]) {
				return true
			}
		}
	}
	return false
}

// AdvanceTo says that all slots of a stream up to a number have been taken in, or are not worth it any more.
func (c *Replica) AdvanceTo(now time.Duration, l Incarnation, st Stream, upTo uint64) {
	if l == c.self || st < 0 || st >= streams || l.Name == "" || len(l.Name) > 64 {
		return
	}
	f := c.incarnations[l]
	if f == nil {
		if len(c.incarnations) >= maxIncarnations {
			return
		}
		f = &incarnationState{lastActive: now}
		c.incarnations[l] = f
	}
	if t := &f.logs[st]; upTo > t.upTo {
		t.upTo, f.lastActive = upTo, now
	}
}

// Delta are the slots that somebody who has this much lacks, in the order in which they have to be sent, with what is reached by
// them: at most so many bytes by size, but one at least, and of the bulk only while all of it is under bulk. More: there are further ones.
func (c *Replica) Delta(theirs []StreamVersions, most, bulk int, size func(*Slot) int) (slots []*Slot, reached []StreamVersions, more bool) {
	has := map[Incarnation][streams]uint64{}
	for _, h := range theirs {
		has[h.Incarnation] = h.UpTo
	}
	lives := slices.SortedFunc(maps.Keys(c.incarnations), Incarnation.compare)
	bytes := 0
	upTo := map[Incarnation]*[streams]uint64{}
	for st := range streams {
		for _, l := range lives {
			t := &c.incarnations[l].logs[st]
			from := has[l][st]
			if t.upTo <= from {
				continue
			}
			if more {
				return slots, sortedVersions(upTo), true
			}
			u := upTo[l]
			if u == nil {
				u = &[streams]uint64{}
				upTo[l] = u
			}
			at, _ := slices.BinarySearchFunc(t.slots, from+1, func(x *Slot, seq uint64) int { return cmp.Compare(x.Seq, seq) })
			u[st] = t.upTo
			for _, s := range t.slots[at:] {
				if s.removed {
					continue
				}
				n := size(s)
				if bytes+n > most && len(slots) > 0 || st == Bulk && bytes+n > bulk {
					u[st], more = s.Seq-1, true
					break
				}
				bytes += n
				slots = append(slots, s)
			}
		}
	}
	return slots, sortedVersions(upTo), more
}

func sortedVersions(m map[Incarnation]*[streams]uint64) (all []StreamVersions) {
	for l, u := range m {
		all = append(all, StreamVersions{l, *u})
	}
	slices.SortFunc(all, func(a, b StreamVersions) int { return a.Incarnation.compare(b.Incarnation) })
	return all
}

// Rewrite says what the own life has said in a stretch once more, under new numbers: the writer has the last word on its own.
func (c *Replica) Rewrite(now time.Duration, b RangeChecksum) {
	t := &c.incarnations[c.self].logs[b.Stream]
	at, _ := slices.BinarySearchFunc(t.slots, b.From, func(x *Slot, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	var all []Slot
	for _, s := range t.slots[at:] {
		if s.Seq <= b.To && len(all) <= checksumSlots && !s.removed {
			all = append(all, *s)
		}
	}
	for _, s := range all {
		t.upTo++
		s.Seq = t.upTo
		c.Counters.Written++
		c.insert(now, &s)
	}
}

// Len is the number of slots.
func (c *Replica) Len() int { return len(c.slots) }

// Count is the number of slots of a kind.
func (c *Replica) Count(k Kind) int { return c.count[k] }

// RangeChecksum is a stretch of one stream, by which two copies are held against each other.
type RangeChecksum struct {
	Incarnation Incarnation
	Stream      Stream
	From, To    uint64 // numbers, both included
	Sum         uint64
}

// Checksum gives the sum of a stretch of a stream as it is here, from a number on: of so many slots at most, without those near their end, as
// clocks differ. False: there is none.
func (c *Replica) Checksum(now time.Duration, l Incarnation, st Stream, from uint64) (RangeChecksum, bool) {
	b := RangeChecksum{Incarnation: l, Stream: st, From: from}
	f := c.incarnations[l]
	if f == nil {
		return b, false
	}
	t := &f.logs[st]
	at, _ := slices.BinarySearchFunc(t.slots, from, func(x *Slot, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	n := 0
	for _, s := range t.slots[at:] {
		if n++; n > checksumSlots {
			break
		}
		b.To = s.Seq
		b.Sum += c.slotChecksum(now, s)
	}
	return b, n > 0
}

// slotChecksum is what a slot adds to a sum.
func (c *Replica) slotChecksum(now time.Duration, s *Slot) uint64 {
	if s.removed || now-s.SeenBefore > c.maxAge(s.Kind)-ageTolerance {
		return 0
	}
	return s.hash()
}

// Matches says whether a stretch is the same here. It is, too, where this copy is not as far.
func (c *Replica) Matches(now time.Duration, b RangeChecksum) bool {
	f := c.incarnations[b.Incarnation]
	if b.Stream < 0 || b.Stream >= streams || f == nil || f.logs[b.Stream].upTo < b.To {
		return true
	}
	t := &f.logs[b.Stream]
	at, _ := slices.BinarySearchFunc(t.slots, b.From, func(x *Slot, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	sum, n := uint64(0), 0
	for _, s := range t.slots[at:] {
		if s.Seq > b.To || n > 4*checksumSlots { // more than anybody says there are
			break
		}
		n++
		sum += c.slotChecksum(now, s)
	}
	return sum == b.Sum
}

// ResetVersions forgets how far a life's streams are known, so that all of it is sent anew.
func (c *Replica) ResetVersions(l Incarnation) {
	if f := c.incarnations[l]; f != nil && l != c.self {
		for st := range streams {
			f.logs[st].upTo = 0
		}
	}
}

func (s *Slot) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %q %q %d %d %d ", s.Kind, s.Key, s.Writer.Name, s.Writer.Number, s.Seq, s.Timestamp)
	_, _ = h.Write(s.Value)
	return h.Sum64()
}

package replication

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Bounds of what a slot may hold, in bytes.
const (
	maxKeyBytes   = 128
	maxValueBytes = 512
	maxNameBytes  = 64
)

// Incarnation names one start of a gateway.
type Incarnation struct {
	Name   string `json:"Name"`
	Number uint64 `json:"Number"` // that no other start has
}

func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Name, o.Name), cmp.Compare(i.Number, o.Number))
}

// Slot is what one incarnation has written for one key of one kind.
type Slot struct {
	Writer    Incarnation
	Seq       uint64 // in the writer's stream of that kind
	Kind      Kind
	Key       string
	Value     []byte
	Timestamp uint64 // hybrid logical clock of the writer: orders slots of about the same age

	// SeenAfter and SeenBefore bound when the writer saw the evidence, by the clock of the replica that holds the slot.
	SeenAfter, SeenBefore time.Duration
	removed               bool // it stays in its streamLog until that is compacted
}

// slotID tells slots apart; a later write replaces an earlier one with the same.
type slotID struct {
	kind   Kind
	key    string
	writer Incarnation
}

func (s *Slot) id() slotID { return slotID{s.Kind, s.Key, s.Writer} }

// wellFormed reports whether a slot from another replica is within bounds, and its evidence not from the future.
func (s *Slot) wellFormed(now time.Duration) bool {
	named := s.Writer.Name != "" && len(s.Writer.Name) <= maxNameBytes
	sized := s.Key != "" && len(s.Key) <= maxKeyBytes && len(s.Value) <= maxValueBytes
	seen := s.SeenAfter <= s.SeenBefore && s.SeenBefore <= now
	return named && sized && seen && s.Seq > 0
}

// supersedes reports whether s replaces an older write of the same slotID. Two writes under one number mean that a member is
// faulty or lies: every replica keeps the same one of the two.
func (s *Slot) supersedes(old *Slot) bool {
	return s.Seq > old.Seq || s.Seq == old.Seq && s.hash() > old.hash()
}

func (s *Slot) hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %q %q %d %d %d ", s.Kind, s.Key, s.Writer.Name, s.Writer.Number, s.Seq, s.Timestamp) // never fails
	_, _ = h.Write(s.Value)
	return h.Sum64()
}

// streamLog is one stream of an incarnation.
type streamLog struct {
	upTo    uint64  // all slots up to this number are known, or were not worth sending
	slots   []*Slot // by Seq
	removed int     // slots among them that are removed
}

func (l *streamLog) live() int { return len(l.slots) - l.removed }

// from are the slots from a number on.
func (l *streamLog) from(seq uint64) []*Slot { return l.slots[l.index(seq):] }

func (l *streamLog) index(seq uint64) int {
	at, _ := slices.BinarySearchFunc(l.slots, seq, func(s *Slot, seq uint64) int { return cmp.Compare(s.Seq, seq) })
	return at
}

func (l *streamLog) insert(s *Slot) { l.slots = slices.Insert(l.slots, l.index(s.Seq), s) }

// compactSlack is how many removed slots a log may hold beyond half of it.
const compactSlack = 8

// compact drops removed slots once they are half of the log.
func (l *streamLog) compact() {
	if l.removed*2 > len(l.slots)+compactSlack {
		l.slots = slices.DeleteFunc(l.slots, func(s *Slot) bool { return s.removed })
		l.removed = 0
	}
}

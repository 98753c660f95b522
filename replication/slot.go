package replication

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Maximum lengths of the fields of a slot, in bytes.
const (
	maxKeyBytes   = 128
	maxValueBytes = 512
	maxNameBytes  = 64
)

// Incarnation identifies one start of a gateway process.
type Incarnation struct {
	Name   string `json:"Name"`   // of the gateway
	Number uint64 `json:"Number"` // unique among the starts of the gateway
}

// compare orders incarnations by name, then number.
func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Name, o.Name), cmp.Compare(i.Number, o.Number))
}

// Slot is the value that one incarnation has written for one key of one kind.
type Slot struct {
	Writer    Incarnation
	Seq       uint64 // number of the slot in the writer's stream, from 1
	Kind      Kind
	Key       string // meaning depends on Kind
	Value     []byte // meaning depends on Kind
	Timestamp uint64 // hybrid logical clock of the writer; orders slots of about the same age

	// SeenAfter and SeenBefore are the earliest and the latest time at which the writer can have seen the evidence for
	// the value, by the monotonic clock of the replica that stores the slot.
	SeenAfter, SeenBefore time.Duration
	removed               bool // dropped, but still in its streamLog until that is compacted
}

// slotID identifies a slot. A later write with the same slotID replaces an earlier one.
type slotID struct {
	kind   Kind
	key    string
	writer Incarnation
}

func (s *Slot) id() slotID { return slotID{s.Kind, s.Key, s.Writer} }

// wellFormed reports whether the fields of a slot from another replica are within their bounds, and its evidence is not
// from the future.
func (s *Slot) wellFormed(now time.Duration) bool {
	named := s.Writer.Name != "" && len(s.Writer.Name) <= maxNameBytes
	sized := s.Key != "" && len(s.Key) <= maxKeyBytes && len(s.Value) <= maxValueBytes
	seen := s.SeenAfter <= s.SeenBefore && s.SeenBefore <= now
	return named && sized && seen && s.Seq > 0
}

// supersedes reports whether s replaces another write of the same slotID: the one with the higher number. Two different
// writes with the same number mean that a member is faulty or malicious; then the higher hash decides, so that all
// replicas keep the same one.
func (s *Slot) supersedes(old *Slot) bool {
	return s.Seq > old.Seq || s.Seq == old.Seq && s.hash() > old.hash()
}

// hash returns a hash of all fields that are the same at every replica.
func (s *Slot) hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %q %q %d %d %d ", s.Kind, s.Key, s.Writer.Name, s.Writer.Number, s.Seq, s.Timestamp) // never fails
	_, _ = h.Write(s.Value)
	return h.Sum64()
}

// streamLog contains the slots of one stream of an incarnation.
type streamLog struct {
	upTo    uint64  // all slots up to this number have been received, or no longer exist
	slots   []*Slot // sorted by Seq
	removed int     // number of removed slots in slots
}

// live returns the number of slots that are not removed.
func (l *streamLog) live() int { return len(l.slots) - l.removed }

// from returns the slots with at least the given number, including removed ones.
func (l *streamLog) from(seq uint64) []*Slot { return l.slots[l.index(seq):] }

// index returns the index of the first slot with at least the given number.
func (l *streamLog) index(seq uint64) int {
	at, _ := slices.BinarySearchFunc(l.slots, seq, func(s *Slot, seq uint64) int { return cmp.Compare(s.Seq, seq) })
	return at
}

// insert inserts a slot at the place of its number.
func (l *streamLog) insert(s *Slot) { l.slots = slices.Insert(l.slots, l.index(s.Seq), s) }

// compactSlack keeps short logs from being compacted too often: compaction starts when twice the number of removed
// slots exceeds the length of the log by more than this.
const compactSlack = 8

// compact deletes the removed slots from the log once they are more than about half of it.
func (l *streamLog) compact() {
	if l.removed*2 > len(l.slots)+compactSlack {
		l.slots = slices.DeleteFunc(l.slots, func(s *Slot) bool { return s.removed })
		l.removed = 0
	}
}

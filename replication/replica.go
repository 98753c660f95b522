// Package replication replicates what the gateways of an installation know in common, so that one that restarts catches up with
// its peers before it does harm.
//
// The state consists of slots. A slot is what one incarnation of a gateway has written for one key of one kind, and only that incarnation
// ever changes it. So two copies of a slot are versions of one writer's, and the higher number wins: replicas merge in any order, any number of
// times. What several incarnations write for the same key is combined by the reader, by a rule for each kind (values.go, faults.go).
//
// Each incarnation numbers its slots in two streams, safety and bulk. Members exchange version vectors, and are sent the slots that they
// lack in the order of their numbers, safety first (Scuttlebutt: van Renesse, Dumitriu, Gough, Thomas, "Efficient Reconciliation
// and Flow Control for Anti-Entropy Protocols", 2008). So an exchange that breaks off leaves a prefix, which the next one
// continues, with any peer.
//
// No rule depends on wall clocks. A slot travels with its age, and every replica measures its further age by its own steady clock. The age is
// an interval, from the request for a slot to its arrival: what speaks for sending to an endpoint counts as old as it may be, a
// purge as young as it may be. A slot that has outlived its kind is dropped, and taken from nobody; so a tombstone need only outlive
// what it covers, however long a member was away.
//
// Replica holds the state, Node exchanges it. The package does no I/O, reads no clock and starts no goroutine: its caller hands events
// to Node.Handle, one at a time, and carries out the actions that it returns. The same events give the same actions.
package replication

import (
	"slices"
	"time"
)

const (
	// maxIncarnations bounds the incarnations whose streams are followed.
	maxIncarnations = 4096
	// ageTolerance is by how much the ages of one slot at two replicas may differ, and a wall clock be ahead.
	ageTolerance = 2 * time.Second
)

// Counters count what happened to slots.
type Counters struct {
	Written    uint64 // by this incarnation
	Merged     uint64 // taken from others
	Duplicates uint64 // from others, known already
	Expired    uint64 // dropped, having outlived their kind
	Evicted    uint64 // dropped for want of capacity
	Rejected   uint64 // not taken: out of bounds
	Outdated   uint64 // not taken: they had outlived their kind
	Tombstoned uint64 // not taken, or dropped, for a tombstone
}

// Replica is one gateway's copy of the state. Use NewReplica. It is not safe for concurrent use.
type Replica struct {
	Counters Counters

	self            Incarnation
	purgeSettleTime time.Duration
	incarnations    map[Incarnation]*incarnationState
	slots           map[slotID]*Slot
	byKey           map[Kind]map[string][]*Slot
	count           map[Kind]int
	countByWriter   map[Kind]map[string]int // by name: of all incarnations of a gateway
	timestamp       uint64                  // hybrid logical clock: Unix milliseconds in the upper 48 bits, a counter below

	sweeping    []Incarnation // still to be swept in this pass
	sweepOffset int           // in the logs of the first of them
}

// incarnationState is what is known of an incarnation.
type incarnationState struct {
	logs       [streams]streamLog
	lastActive time.Duration // when anything new of it was received
}

// NewReplica returns an empty replica for an incarnation. Purges are kept for purgeSettleTime, by when no older copy of an object can be
// left; 0: as long as the kind lasts.
func NewReplica(self Incarnation, purgeSettleTime time.Duration) *Replica {
	return &Replica{
		self:            self,
		purgeSettleTime: purgeSettleTime,
		incarnations:    map[Incarnation]*incarnationState{self: {}},
		slots:           map[slotID]*Slot{},
		byKey:           map[Kind]map[string][]*Slot{},
		count:           map[Kind]int{},
		countByWriter:   map[Kind]map[string]int{},
	}
}

// maxAge is how long a slot of a kind lasts.
func (r *Replica) maxAge(k Kind) time.Duration {
	if k == Purge && r.purgeSettleTime > 0 {
		return min(r.purgeSettleTime, rules[Purge].maxAge)
	}
	return ruleOf(k).maxAge
}

// Write sets this incarnation's slot for a key. Seen is when its evidence was seen, wall the Unix time. It reports whether
// anything changed: what is written already is written again only once half of its time is over.
func (r *Replica) Write(now, wall time.Duration, k Kind, key string, value []byte, seen time.Duration) bool {
	if key == "" || len(key) > maxKeyBytes || len(value) > maxValueBytes || now-seen > r.maxAge(k) {
		r.Counters.Rejected++
		return false
	}
	if old := r.slots[slotID{k, key, r.self}]; old != nil && r.stillHolds(old, value, seen) {
		return false
	}
	r.timestamp = max(r.timestamp+1, wallTimestamp(wall))
	log := &r.incarnations[r.self].logs[k.stream()]
	log.upTo++
	r.Counters.Written++
	r.insert(now, &Slot{Writer: r.self, Seq: log.upTo, Kind: k, Key: key, Value: value, Timestamp: r.timestamp, SeenAfter: seen, SeenBefore: seen})
	return true
}

// stillHolds reports whether a slot needs no new write for the same value, seen later. A later purge of the same name is another one.
func (r *Replica) stillHolds(old *Slot, value []byte, seen time.Duration) bool {
	if string(old.Value) != string(value) {
		return false
	}
	fresh := seen-old.SeenBefore < r.maxAge(old.Kind)/2
	return seen <= old.SeenBefore || old.Kind != Purge && fresh
}

// wallTimestamp is the hybrid logical clock at a Unix time.
func wallTimestamp(wall time.Duration) uint64 { return uint64(max(0, wall.Milliseconds())) << 16 }

// Merge takes in a slot from another replica, its evidence dated by the clock of this one. It reports whether the slot is new here.
func (r *Replica) Merge(now, wall time.Duration, s Slot) bool {
	switch {
	case s.Writer == r.self || !s.wellFormed(now):
		r.Counters.Rejected++
		return false
	case now-s.SeenBefore > r.maxAge(s.Kind):
		r.Counters.Outdated++
		return false
	case r.incarnations[s.Writer] == nil && len(r.incarnations) >= maxIncarnations:
		r.Counters.Rejected++
		return false
	}
	if old := r.slots[s.id()]; old != nil && !s.supersedes(old) {
		r.Counters.Duplicates++
		return false
	}
	if s.Kind != Tombstone && r.tombstoned(&s) {
		r.Counters.Tombstoned++
		return false
	}
	// A writer whose wall clock is far ahead does not take this replica's along; its slots are ordered by age all the same.
	if s.Timestamp <= wallTimestamp(wall+ageTolerance) {
		r.timestamp = max(r.timestamp, s.Timestamp)
	}
	r.Counters.Merged++
	s.removed = false
	r.insert(now, &s)
	return true
}

// insert replaces the slot with the same slotID, if any.
func (r *Replica) insert(now time.Duration, s *Slot) {
	if old := r.slots[s.id()]; old != nil {
		r.remove(old)
	}
	writer := r.incarnations[s.Writer]
	if writer == nil {
		writer = &incarnationState{}
		r.incarnations[s.Writer] = writer
	}
	writer.lastActive = now
	writer.logs[s.Kind.stream()].insert(s)
	r.slots[s.id()] = s
	if r.byKey[s.Kind] == nil {
		r.byKey[s.Kind] = map[string][]*Slot{}
		r.countByWriter[s.Kind] = map[string]int{}
	}
	r.byKey[s.Kind][s.Key] = append(r.byKey[s.Kind][s.Key], s)
	r.count[s.Kind]++
	r.countByWriter[s.Kind][s.Writer.Name]++
	if s.Kind == Tombstone {
		r.applyTombstone(s)
	}
	r.enforceCapacity(s.Kind, s.Writer.Name)
}

// remove drops a slot; in its log it stays until that is compacted.
func (r *Replica) remove(s *Slot) {
	if s.removed {
		return
	}
	s.removed = true
	delete(r.slots, s.id())
	sameKey := slices.DeleteFunc(r.byKey[s.Kind][s.Key], func(other *Slot) bool { return other == s })
	if len(sameKey) == 0 {
		delete(r.byKey[s.Kind], s.Key)
	} else {
		r.byKey[s.Kind][s.Key] = sameKey
	}
	r.count[s.Kind]--
	r.countByWriter[s.Kind][s.Writer.Name]--
	if r.countByWriter[s.Kind][s.Writer.Name] <= 0 {
		delete(r.countByWriter[s.Kind], s.Writer.Name)
	}
	if writer := r.incarnations[s.Writer]; writer != nil {
		log := &writer.logs[s.Kind.stream()]
		log.removed++
		log.compact()
	}
}

// Len is the number of slots.
func (r *Replica) Len() int { return len(r.slots) }

// Count is the number of slots of a kind.
func (r *Replica) Count(k Kind) int { return r.count[k] }

// HasWritten reports whether this incarnation has a slot for a key.
func (r *Replica) HasWritten(k Kind, key string) bool { return r.slots[slotID{k, key, r.self}] != nil }

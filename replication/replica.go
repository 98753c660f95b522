// Package replication replicates state that the gateways of an installation share, such as purges, drains, endpoint
// health and listings, so that a restarted gateway can catch up with its peers before it acts on outdated state.
//
// The state consists of slots. A slot is the value that one incarnation of a gateway has written for one key of one
// kind, and only that incarnation ever changes it. Of two copies of a slot the one with the higher number wins, so
// replicas can be merged in any order and any number of times. The reader combines the slots that several incarnations
// have written for the same key, by a rule for each kind (values.go, faults.go).
//
// Each incarnation numbers its slots in two streams, safety and bulk. Members exchange version vectors, and send each
// other the missing slots in the order of their numbers, safety first (Scuttlebutt: van Renesse, Dumitriu, Gough,
// Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", 2008). An interrupted exchange
// therefore leaves a prefix of each stream, and the next exchange continues from there, with any peer.
//
// No rule depends on wall clocks. A slot is transferred with the age of its evidence, and every replica measures the
// further age by its own monotonic clock. Since the time of the transfer is only known to lie between the request and
// the reply, the age is an interval. Evidence in favor of sending to an endpoint counts as old as possible, a purge as
// young as possible. A slot older than the maximum age of its kind is dropped, and not accepted from peers. A tombstone
// therefore only has to outlive the slots that it covers, however long a member was disconnected.
//
// Replica contains the state, Node exchanges it with the peers. The package does no I/O, reads no clock but
// [Config.WallClock] and starts no goroutine. Its caller passes events to [Node.Handle], one at a time, and carries out
// the returned actions. The same sequence of events and clock readings yields the same actions.
package replication

import (
	"slices"
	"time"
)

const (
	// maxIncarnations is the maximum number of incarnations whose streams are tracked. Slots of further ones are rejected.
	maxIncarnations = 4096
	// ageTolerance is the difference up to which the ages of one slot at two replicas count as equal, and the time by
	// which the wall clock of another member may be ahead.
	ageTolerance = 2 * time.Second
)

// Counters counts the slots written, merged and dropped at one replica.
type Counters struct {
	Written    uint64 // written by this incarnation
	Merged     uint64 // accepted from other replicas
	Duplicates uint64 // received from other replicas, but known already
	Expired    uint64 // dropped, older than the maximum age of their kind
	Evicted    uint64 // dropped, beyond the capacity of their kind
	Rejected   uint64 // not accepted or not written, malformed or out of bounds
	Outdated   uint64 // not accepted, older than the maximum age of their kind
	Tombstoned uint64 // not accepted or dropped, covered by a tombstone
}

// Replica is one gateway's copy of the replicated state. Create it with NewReplica. It is not safe for concurrent use.
type Replica struct {
	Counters Counters

	self            Incarnation
	purgeSettleTime time.Duration
	incarnations    map[Incarnation]*incarnationState
	slots           map[slotID]*Slot
	byKey           map[Kind]map[string][]*Slot
	count           map[Kind]int
	countByWriter   map[Kind]map[string]int // number of slots by kind and gateway name, over all incarnations of the gateway
	timestamp       uint64                  // hybrid logical clock: Unix time in ms in the upper 48 bits, a counter in the lower 16

	sweepQueue  []Incarnation // incarnations that this pass of Sweep has not finished
	sweepOffset int           // position in the concatenated logs of the first of them
}

// incarnationState is the state of one incarnation at a replica.
type incarnationState struct {
	logs       [streams]streamLog
	lastActive time.Duration // time of the latest new slot or version of this incarnation
}

// NewReplica returns an empty replica for an incarnation. Purges are kept for purgeSettleTime, after which no copy of
// an object from before the purge can be left; 0: for the maximum age of the kind.
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

// maxAge returns the maximum age of slots of a kind.
func (r *Replica) maxAge(k Kind) time.Duration {
	if k == Purge && r.purgeSettleTime > 0 {
		return min(r.purgeSettleTime, limitsByKind[Purge].maxAge)
	}
	return limitsOf(k).maxAge
}

// Write writes this incarnation's slot for a key. seen is the time at which the evidence was seen, on the clock of now;
// wall is the Unix time. It reports whether the slot was written. It is not written if a field is too long or the
// evidence is older than the maximum age, nor if the same value was written with evidence younger by less than half the
// maximum age.
func (r *Replica) Write(now, wall time.Duration, k Kind, key string, value []byte, seen time.Duration) bool {
	if key == "" || len(key) > maxKeyBytes || len(value) > maxValueBytes || now-seen > r.maxAge(k) {
		r.Counters.Rejected++
		return false
	}
	if old := r.slots[slotID{k, key, r.self}]; old != nil && r.isCurrent(old, value, seen) {
		return false
	}
	r.timestamp = max(r.timestamp+1, wallTimestamp(wall))
	log := &r.incarnations[r.self].logs[k.stream()]
	log.upTo++
	r.Counters.Written++
	r.insert(now, &Slot{Writer: r.self, Seq: log.upTo, Kind: k, Key: key, Value: value, Timestamp: r.timestamp, SeenAfter: seen, SeenBefore: seen})
	return true
}

// isCurrent reports whether an existing slot makes a write of a value unnecessary: it has the same value, and evidence
// that is not much older. A later purge of the same name is a purge of its own, and always written.
func (r *Replica) isCurrent(old *Slot, value []byte, seen time.Duration) bool {
	if string(old.Value) != string(value) {
		return false
	}
	fresh := seen-old.SeenBefore < r.maxAge(old.Kind)/2
	return seen <= old.SeenBefore || old.Kind != Purge && fresh
}

// wallTimestamp returns the smallest value of the hybrid logical clock at a Unix time.
func wallTimestamp(wall time.Duration) uint64 { return uint64(max(0, wall.Milliseconds())) << 16 }

// Merge merges a slot from another replica. Its SeenAfter and SeenBefore must be on the clock of now; wall is the Unix
// time. It reports whether the slot was new and has been stored.
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
	// A writer whose wall clock is far ahead must not advance the logical clock here. Its slots can still be ordered by age.
	if s.Timestamp <= wallTimestamp(wall+ageTolerance) {
		r.timestamp = max(r.timestamp, s.Timestamp)
	}
	r.Counters.Merged++
	s.removed = false
	r.insert(now, &s)
	return true
}

// insert stores a slot, replaces the one with the same slotID, if any, applies a tombstone, and evicts slots beyond the
// capacity.
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

// remove drops a slot. It stays in its log, marked as removed, until the log is compacted.
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

// Len returns the number of slots.
func (r *Replica) Len() int { return len(r.slots) }

// Count returns the number of slots of a kind.
func (r *Replica) Count(k Kind) int { return r.count[k] }

// HasWritten reports whether the replica has a slot of this incarnation for a key.
func (r *Replica) HasWritten(k Kind, key string) bool { return r.slots[slotID{k, key, r.self}] != nil }

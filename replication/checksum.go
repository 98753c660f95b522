package replication

import "time"

// checksumSlots is the maximum number of slots that a RangeChecksum covers.
const checksumSlots = 64

// RangeChecksum is the checksum of a range of slots of one stream, to compare two replicas.
type RangeChecksum struct {
	Incarnation Incarnation
	Stream      Stream
	From, To    uint64 // first and last slot number, inclusive
	Sum         uint64 // sum of the hashes of the slots
}

// Checksum returns the checksum of up to checksumSlots slots of a stream, starting at a number. It returns false if
// there are none.
func (r *Replica) Checksum(now time.Duration, i Incarnation, st Stream, from uint64) (RangeChecksum, bool) {
	sum := RangeChecksum{Incarnation: i, Stream: st, From: from}
	state := r.incarnations[i]
	if state == nil {
		return sum, false
	}
	slots := state.logs[st].from(from)
	for _, s := range slots[:min(checksumSlots, len(slots))] {
		sum.To = s.Seq
		sum.Sum += r.slotSum(now, s)
	}
	return sum, len(slots) > 0
}

// slotSum returns the summand of a slot in a checksum: its hash, or 0 if it is about to expire, since another replica
// may have dropped it already.
func (r *Replica) slotSum(now time.Duration, s *Slot) uint64 {
	if s.removed || now-s.SeenBefore > r.maxAge(s.Kind)-ageTolerance {
		return 0
	}
	return s.hash()
}

// Matches reports whether the checksum of a peer's range equals that of the same range here. It also returns true if this
// replica has not received all of the range and so can't compare it.
func (r *Replica) Matches(now time.Duration, theirs RangeChecksum) bool {
	state := r.incarnations[theirs.Incarnation]
	if theirs.Stream < 0 || theirs.Stream >= streams || state == nil || state.logs[theirs.Stream].upTo < theirs.To {
		return true
	}
	sum := uint64(0)
	slots := state.logs[theirs.Stream].from(theirs.From)
	for _, s := range slots[:min(4*checksumSlots+1, len(slots))] { // there may be removed slots between those that the peer counts
		if s.Seq > theirs.To {
			break
		}
		sum += r.slotSum(now, s)
	}
	return sum == theirs.Sum
}

// Rewrite writes this incarnation's slots of a range again under new numbers, so that all replicas replace their copies
// by the writer's.
func (r *Replica) Rewrite(now time.Duration, target RangeChecksum) {
	log := &r.incarnations[r.self].logs[target.Stream]
	var rewritten []Slot
	for _, s := range log.from(target.From) {
		if s.Seq <= target.To && len(rewritten) <= checksumSlots && !s.removed {
			rewritten = append(rewritten, *s)
		}
	}
	for _, s := range rewritten {
		log.upTo++
		s.Seq = log.upTo
		r.Counters.Written++
		r.insert(now, &s)
	}
}

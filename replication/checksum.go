package replication

import "time"

// checksumSlots is how many slots a RangeChecksum covers at most.
const checksumSlots = 64

// RangeChecksum covers a range of one stream, to compare two replicas.
type RangeChecksum struct {
	Incarnation Incarnation
	Stream      Stream
	From, To    uint64 // numbers, both included
	Sum         uint64
}

// Checksum covers a range of a stream from a number on; false: there is nothing.
func (r *Replica) Checksum(now time.Duration, i Incarnation, st Stream, from uint64) (RangeChecksum, bool) {
	sum := RangeChecksum{Incarnation: i, Stream: st, From: from}
	state := r.incarnations[i]
	if state == nil {
		return sum, false
	}
	slots := state.logs[st].from(from)
	for _, s := range slots[:min(checksumSlots, len(slots))] {
		sum.To = s.Seq
		sum.Sum += r.slotChecksum(now, s)
	}
	return sum, len(slots) > 0
}

// slotChecksum is what a slot adds to a sum: nothing if it is about to expire, since another replica may have dropped it already.
func (r *Replica) slotChecksum(now time.Duration, s *Slot) uint64 {
	if s.removed || now-s.SeenBefore > r.maxAge(s.Kind)-ageTolerance {
		return 0
	}
	return s.hash()
}

// Matches reports whether a range is the same here. A replica that does not have all of the range can't tell, and says that it is.
func (r *Replica) Matches(now time.Duration, theirs RangeChecksum) bool {
	state := r.incarnations[theirs.Incarnation]
	if theirs.Stream < 0 || theirs.Stream >= streams || state == nil || state.logs[theirs.Stream].upTo < theirs.To {
		return true
	}
	sum := uint64(0)
	slots := state.logs[theirs.Stream].from(theirs.From)
	for _, s := range slots[:min(4*checksumSlots+1, len(slots))] { // removed slots may stand between those that a peer counts
		if s.Seq > theirs.To {
			break
		}
		sum += r.slotChecksum(now, s)
	}
	return sum == theirs.Sum
}

// Rewrite writes this incarnation's slots of a range again, under new numbers: so its own replica has the last word on them.
func (r *Replica) Rewrite(now time.Duration, where RangeChecksum) {
	log := &r.incarnations[r.self].logs[where.Stream]
	var again []Slot
	for _, s := range log.from(where.From) {
		if s.Seq <= where.To && len(again) <= checksumSlots && !s.removed {
			again = append(again, *s)
		}
	}
	for _, s := range again {
		log.upTo++
		s.Seq = log.upTo
		r.Counters.Written++
		r.insert(now, &s)
	}
}

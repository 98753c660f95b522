package replication

import (
	"maps"
	"slices"
	"time"
)

const (
	// writerDivisor limits the slots of one gateway to 1/writerDivisor of a kind's capacity, so that it can't crowd out
	// the others.
	writerDivisor = 4
	// evictionDivisor makes one eviction drop 1/evictionDivisor of a gateway's slots, so that a full replica does not
	// go through all slots with every message.
	evictionDivisor = 16
	// maxSweepSlots is the maximum number of slots that one Sweep visits.
	maxSweepSlots = 1000
)

// enforceCapacity evicts slots of a kind, if necessary, after one of a gateway was added: slots of that gateway if it
// has more than its share, or slots of the gateway with the most if the kind has too many. writer is the name of the
// gateway.
func (r *Replica) enforceCapacity(k Kind, writer string) {
	maxSlots := limitsOf(k).maxSlots
	switch {
	case r.countByWriter[k][writer] > max(1, maxSlots/writerDivisor):
		r.evict(k, writer)
	case r.count[k] > maxSlots:
		r.evict(k, r.largestWriter(k))
	}
}

// largestWriter returns the gateway with the most slots of a kind; among equals, the first by name.
func (r *Replica) largestWriter(k Kind) (writer string) {
	for name, n := range r.countByWriter[k] {
		most := r.countByWriter[k][writer]
		if n > most || n == most && name < writer {
			writer = name
		}
	}
	return writer
}

// evict drops a fraction of a gateway's slots of a kind: those of its first incarnations, and of these the ones written
// first.
func (r *Replica) evict(k Kind, writer string) {
	remaining := max(1, r.countByWriter[k][writer]/evictionDivisor)
	for _, i := range slices.SortedFunc(maps.Keys(r.incarnations), Incarnation.compare) {
		if i.Name != writer {
			continue
		}
		for _, s := range slices.Clone(r.incarnations[i].logs[k.stream()].slots) {
			if remaining > 0 && s.Kind == k && !s.removed {
				remaining--
				r.Counters.Evicted++
				r.remove(s)
			}
		}
	}
}

// Sweep drops slots that are older than the maximum age of their kind, and forgets inactive incarnations without slots.
// One call visits at most maxSweepSlots, and the next one continues from there. Readers therefore check ages
// themselves.
func (r *Replica) Sweep(now time.Duration) {
	if len(r.sweepQueue) == 0 {
		r.beginSweep(now)
	}
	for range maxSweepSlots {
		if len(r.sweepQueue) == 0 {
			return
		}
		r.sweepNext(now)
	}
}

// beginSweep starts a pass over all incarnations. It forgets those that have no slots and have not been active for
// twice the highest maximum age of any kind, so that any of their slots that may still arrive is too old to be
// accepted.
func (r *Replica) beginSweep(now time.Duration) {
	for i, state := range r.incarnations {
		r.sweepQueue = append(r.sweepQueue, i)
		empty := state.logs[Safety].live()+state.logs[Bulk].live() == 0
		if i != r.self && empty && now-state.lastActive > 2*unknownKindLimits.maxAge {
			delete(r.incarnations, i)
		}
	}
	slices.SortFunc(r.sweepQueue, Incarnation.compare)
}

// sweepNext visits the next slot of the pass, or moves on to the next incarnation.
func (r *Replica) sweepNext(now time.Duration) {
	state := r.incarnations[r.sweepQueue[0]]
	if state == nil || r.sweepOffset >= len(state.logs[Safety].slots)+len(state.logs[Bulk].slots) {
		r.sweepQueue, r.sweepOffset = r.sweepQueue[1:], 0
		return
	}
	log, at := &state.logs[Safety], r.sweepOffset
	if at >= len(log.slots) {
		log, at = &state.logs[Bulk], at-len(log.slots)
	}
	r.sweepOffset++
	s := log.slots[at]
	if s.removed || now-s.SeenBefore <= r.maxAge(s.Kind) {
		return
	}
	r.Counters.Expired++
	before := len(log.slots)
	r.remove(s)
	if len(log.slots) < before { // the log was compacted, so positions have changed: start over with this incarnation
		r.sweepOffset = 0
	}
}

package replication

import (
	"maps"
	"slices"
	"time"
)

const (
	// writerShare is the part of a kind's capacity that the slots of one gateway may take: one in so many, so that it can't crowd out
	// the others.
	writerShare = 4
	// evictedShare is the part of a writer's slots that one eviction drops: one in so many, so that a full replica does not sort
	// all slots at every message.
	evictedShare = 16
	// maxSweepSlots bounds the slots that one Sweep looks at.
	maxSweepSlots = 1000
)

// enforceCapacity evicts slots after one of a writer was added.
func (r *Replica) enforceCapacity(k Kind, writer string) {
	maxSlots := ruleOf(k).maxSlots
	switch {
	case r.countByWriter[k][writer] > max(1, maxSlots/writerShare):
		r.evict(k, writer)
	case r.count[k] > maxSlots:
		r.evict(k, r.largestWriter(k))
	}
}

// largestWriter is the gateway with the most slots of a kind; of equals, the first by name.
func (r *Replica) largestWriter(k Kind) (writer string) {
	for name, n := range r.countByWriter[k] {
		most := r.countByWriter[k][writer]
		if n > most || n == most && name < writer {
			writer = name
		}
	}
	return writer
}

// evict drops the slots of a kind that a writer has written first.
func (r *Replica) evict(k Kind, writer string) {
	left := max(1, r.countByWriter[k][writer]/evictedShare)
	for _, i := range slices.SortedFunc(maps.Keys(r.incarnations), Incarnation.compare) {
		if i.Name != writer {
			continue
		}
		for _, s := range slices.Clone(r.incarnations[i].logs[k.stream()].slots) {
			if left > 0 && s.Kind == k && !s.removed {
				left--
				r.Counters.Evicted++
				r.remove(s)
			}
		}
	}
}

// Sweep drops slots that have outlived their kind, and incarnations of which nothing is left. One call looks at maxSweepSlots and the next
// one goes on from there: readers check ages by themselves.
func (r *Replica) Sweep(now time.Duration) {
	if len(r.sweeping) == 0 {
		r.beginSweep(now)
	}
	for range maxSweepSlots {
		if len(r.sweeping) == 0 {
			return
		}
		r.sweepNext(now)
	}
}

// beginSweep begins a pass, without the incarnations that are forgotten now: twice the longest time that a slot lasts after the latest news
// of them, so that whatever still comes of them has outlived its kind.
func (r *Replica) beginSweep(now time.Duration) {
	for i, state := range r.incarnations {
		r.sweeping = append(r.sweeping, i)
		empty := state.logs[Safety].live()+state.logs[Bulk].live() == 0
		if i != r.self && empty && now-state.lastActive > 2*unknownKindRule.maxAge {
			delete(r.incarnations, i)
		}
	}
	slices.SortFunc(r.sweeping, Incarnation.compare)
}

// sweepNext looks at the next slot of the pass, or goes on to the next incarnation.
func (r *Replica) sweepNext(now time.Duration) {
	state := r.incarnations[r.sweeping[0]]
	if state == nil || r.sweepOffset >= len(state.logs[Safety].slots)+len(state.logs[Bulk].slots) {
		r.sweeping, r.sweepOffset = r.sweeping[1:], 0
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
	if len(log.slots) < before { // compacted: positions have changed
		r.sweepOffset = 0
	}
}

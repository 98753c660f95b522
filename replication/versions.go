package replication

import (
	"maps"
	"slices"
	"time"
)

// StreamVersions gives the number up to which a replica has all slots of each stream of an incarnation.
type StreamVersions struct {
	Incarnation Incarnation
	UpTo        [streams]uint64 // by Stream
}

// VersionVector returns the versions of all incarnations that this replica knows, sorted by incarnation.
func (r *Replica) VersionVector() (all []StreamVersions) {
	for i, state := range r.incarnations {
		all = append(all, StreamVersions{i, [streams]uint64{state.logs[Safety].upTo, state.logs[Bulk].upTo}})
	}
	sortVersions(all)
	return all
}

// sortVersions sorts versions by incarnation.
func sortVersions(all []StreamVersions) {
	slices.SortFunc(all, func(a, b StreamVersions) int { return a.Incarnation.compare(b.Incarnation) })
}

// Lags reports whether a replica with the given versions has slots that this one lacks.
func (r *Replica) Lags(theirs []StreamVersions) bool {
	for _, v := range theirs {
		state := r.incarnations[v.Incarnation]
		for st := range streams {
			if v.UpTo[st] > 0 && (state == nil || state.logs[st].upTo < v.UpTo[st]) {
				return true
			}
		}
	}
	return false
}

// AdvanceTo records that all slots of another incarnation's stream up to a number have been received, or no longer
// exist. Invalid arguments, and new incarnations beyond maxIncarnations, are ignored.
func (r *Replica) AdvanceTo(now time.Duration, i Incarnation, st Stream, upTo uint64) {
	if i == r.self || st < 0 || st >= streams || i.Name == "" || len(i.Name) > maxNameBytes {
		return
	}
	state := r.incarnations[i]
	if state == nil {
		if len(r.incarnations) >= maxIncarnations {
			return
		}
		state = &incarnationState{lastActive: now}
		r.incarnations[i] = state
	}
	if log := &state.logs[st]; upTo > log.upTo {
		log.upTo, state.lastActive = upTo, now
	}
}

// ResetVersions sets the versions of another incarnation's streams to 0, so that peers send all of its slots again.
func (r *Replica) ResetVersions(i Incarnation) {
	state := r.incarnations[i]
	if state == nil || i == r.self {
		return
	}
	for st := range streams {
		state.logs[st].upTo = 0
	}
}

// Delta returns the slots that a replica with the given versions lacks, in the order in which they have to be merged,
// and the versions that it then reaches. The slots have at most maxBytes, as measured by slotBytes, but there is at
// least one if it is a safety slot. Bulk slots are only added while the total is at most bulkBytes. more reports that
// the replica lacks further slots.
func (r *Replica) Delta(theirs []StreamVersions, maxBytes, bulkBytes int, slotBytes func(*Slot) int) (slots []*Slot, reached []StreamVersions, more bool) {
	known := map[Incarnation][streams]uint64{}
	for _, v := range theirs {
		known[v.Incarnation] = v.UpTo
	}
	d := delta{maxBytes: maxBytes, bulkBytes: bulkBytes, slotBytes: slotBytes, reached: map[Incarnation]*[streams]uint64{}}
	incarnations := slices.SortedFunc(maps.Keys(r.incarnations), Incarnation.compare)
	for st := range streams {
		for _, i := range incarnations {
			log, from := &r.incarnations[i].logs[st], known[i][st]
			if log.upTo <= from {
				continue
			}
			if !d.add(i, st, log, from) {
				return d.slots, d.versions(), true
			}
		}
	}
	return d.slots, d.versions(), false
}

// delta collects the result of Delta.
type delta struct {
	maxBytes, bulkBytes int
	slotBytes           func(*Slot) int
	bytes               int // total size of slots
	slots               []*Slot
	reached             map[Incarnation]*[streams]uint64
}

// add adds the slots of a stream after a number, as far as there is space. It reports whether all of them fit.
func (d *delta) add(i Incarnation, st Stream, log *streamLog, after uint64) bool {
	reached := d.reached[i]
	if reached == nil {
		reached = &[streams]uint64{}
		d.reached[i] = reached
	}
	for _, s := range log.from(after + 1) {
		if s.removed {
			continue
		}
		size := d.slotBytes(s)
		if !d.hasSpace(st, size) {
			reached[st] = s.Seq - 1
			return false
		}
		d.bytes += size
		d.slots = append(d.slots, s)
	}
	reached[st] = log.upTo
	return true
}

// hasSpace reports whether a slot of the given size fits. The first slot always fits into maxBytes, so that an exchange
// makes progress.
func (d *delta) hasSpace(st Stream, size int) bool {
	if st == Bulk && d.bytes+size > d.bulkBytes {
		return false
	}
	return d.bytes+size <= d.maxBytes || len(d.slots) == 0
}

// versions returns the reached versions, sorted by incarnation.
func (d *delta) versions() (all []StreamVersions) {
	for i, upTo := range d.reached {
		all = append(all, StreamVersions{i, *upTo})
	}
	sortVersions(all)
	return all
}

package replication

import (
	"maps"
	"slices"
	"time"
)

// StreamVersions says up to which number a replica has the streams of an incarnation.
type StreamVersions struct {
	Incarnation Incarnation
	UpTo        [streams]uint64 // by Stream
}

// VersionVector says how far this replica has the streams of all incarnations, in the order of their names and numbers.
func (r *Replica) VersionVector() (all []StreamVersions) {
	for i, state := range r.incarnations {
		all = append(all, StreamVersions{i, [streams]uint64{state.logs[Safety].upTo, state.logs[Bulk].upTo}})
	}
	sortVersions(all)
	return all
}

func sortVersions(all []StreamVersions) {
	slices.SortFunc(all, func(a, b StreamVersions) int { return a.Incarnation.compare(b.Incarnation) })
}

// Lags reports whether another replica has a stream further than this one.
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

// AdvanceTo records that all slots of a stream up to a number were taken in, or no longer exist.
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

// ResetVersions forgets how far another incarnation's streams are known, so that peers send all of them again.
func (r *Replica) ResetVersions(i Incarnation) {
	state := r.incarnations[i]
	if state == nil || i == r.self {
		return
	}
	for st := range streams {
		state.logs[st].upTo = 0
	}
}

// Delta is what a replica with the given versions lacks, in the order in which it has to be sent, and the versions that it has
// reached with it. It holds at most maxBytes by slotBytes, but one slot at least; bulk only while all of it is under bulkBytes. More: it
// lacks further slots.
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

// delta collects what Delta returns.
type delta struct {
	maxBytes, bulkBytes int
	slotBytes           func(*Slot) int
	bytes               int
	slots               []*Slot
	reached             map[Incarnation]*[streams]uint64
}

// add adds a stream after a number. It reports whether all of it had space.
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

func (d *delta) hasSpace(st Stream, size int) bool {
	if st == Bulk && d.bytes+size > d.bulkBytes {
		return false
	}
	return d.bytes+size <= d.maxBytes || len(d.slots) == 0
}

func (d *delta) versions() (all []StreamVersions) {
	for i, upTo := range d.reached {
		all = append(all, StreamVersions{i, *upTo})
	}
	sortVersions(all)
	return all
}

package replication

import (
	"slices"
	"time"
)

const (
	// pullsPerChecksum is the number of a peer's pulls per checksum: a pull whose ID is a multiple of it is answered
	// with a checksum, if neither side lacks any slots.
	pullsPerChecksum = 10
	// mismatchesToReport is by how many the differing checksums of a peer must outnumber the matching ones before a
	// divergence is reported. A single checksum may differ because slots have expired meanwhile.
	mismatchesToReport = 3
	// maxDivergences is the number of divergences kept for operators; beyond it, the oldest is dropped.
	maxDivergences = 64
)

// Divergence is a detected difference between two replicas in slots that both have received.
type Divergence struct {
	Peer   string        `json:"With"`  // the member with the other replica
	Writer Incarnation   `json:"Life"`  // whose slots differ
	From   uint64        `json:"From"`  // first slot number of the compared range
	To     uint64        `json:"To"`    // last slot number of the range, inclusive
	Cause  string        `json:"Cause"` // for operators: what was found and what is done about it
	At     time.Duration `json:"At"`    // time of detection, on the clock of Handle
}

// Divergences returns the latest detected divergences, the oldest first.
func (n *Node) Divergences() []Divergence { return slices.Clone(n.divergences) }

// drawChecksum returns the checksum of a random range of a random stream, or nil if there are no slots in it.
func (n *Node) drawChecksum() *RangeChecksum {
	all := slices.DeleteFunc(n.VersionVector(), func(v StreamVersions) bool { return v.UpTo == [streams]uint64{} })
	if len(all) == 0 {
		return nil
	}
	v, st := all[n.rng.IntN(len(all))], Stream(n.rng.IntN(int(streams)))
	if v.UpTo[st] == 0 {
		st = streams - 1 - st
	}
	from := 1 + checksumSlots*n.rng.Uint64N(1+v.UpTo[st]/checksumSlots)
	if sum, ok := n.Checksum(n.now, v.Incarnation, st, from); ok {
		return &sum
	}
	return nil
}

// compareChecksum compares the checksum in a reply, if any, with the own slots. A divergence is repaired: if the slots
// are this node's own, they are written again under new numbers; otherwise all slots of their writer are pulled again.
func (n *Node) compareChecksum(from string, m Message) {
	if m.Checksum == nil || len(m.Slots) > 0 {
		return
	}
	n.Stats.ChecksumsCompared++
	if n.Matches(n.now, *m.Checksum) {
		n.mismatches[from] = max(0, n.mismatches[from]-1)
		return
	}
	n.mismatches[from]++
	if n.mismatches[from] < mismatchesToReport {
		return
	}
	n.mismatches[from] = 0
	n.recordDivergence(Divergence{Peer: from, Writer: m.Checksum.Incarnation, From: m.Checksum.From, To: m.Checksum.To, At: n.now,
		Cause: "the same numbers, other slots: they are asked for anew, or said anew by who wrote them"})
	if m.Checksum.Incarnation == n.cfg.Self {
		n.Rewrite(n.now, *m.Checksum)
	} else {
		n.ResetVersions(m.Checksum.Incarnation)
	}
}

// recordDivergence counts a divergence and keeps it for operators.
func (n *Node) recordDivergence(d Divergence) {
	n.Stats.Divergences++
	if len(n.divergences) >= maxDivergences {
		n.divergences = n.divergences[1:]
	}
	n.divergences = append(n.divergences, d)
}

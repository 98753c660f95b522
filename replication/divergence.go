package replication

import (
	"slices"
	"time"
)

const (
	// pullsPerChecksum is how often a reply without slots carries a checksum: one in so many.
	pullsPerChecksum = 10
	// mismatchesToReport is how many more checksums of one peer have to differ than not before a divergence is reported: one may
	// differ for slots that expired meanwhile.
	mismatchesToReport = 3
	// maxDivergences bounds the divergences that are kept.
	maxDivergences = 64
)

// Divergence is a difference between two replicas that should have been the same.
type Divergence struct {
	Peer   string        `json:"With"`
	Writer Incarnation   `json:"Life"` // whose slots differ
	From   uint64        `json:"From"` // in which numbers, both included
	To     uint64        `json:"To"`
	Cause  string        `json:"Cause"`
	At     time.Duration `json:"At"` // by the clock of Handle
}

// Divergences are the latest that were found.
func (n *Node) Divergences() []Divergence { return slices.Clone(n.divergences) }

// drawChecksum draws a range of a stream to be compared; nil: there is none.
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

// compareChecksum compares a range with a peer's. A divergence is resolved by the writer, which writes its slots again, or by pulling all of
// that writer's streams again.
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
	n.report(Divergence{Peer: from, Writer: m.Checksum.Incarnation, From: m.Checksum.From, To: m.Checksum.To, At: n.now,
		Cause: "the same numbers, other slots: they are asked for anew, or said anew by who wrote them"})
	if m.Checksum.Incarnation == n.cfg.Self {
		n.Rewrite(n.now, *m.Checksum)
	} else {
		n.ResetVersions(m.Checksum.Incarnation)
	}
}

func (n *Node) report(d Divergence) {
	n.Stats.Divergences++
	if len(n.divergences) >= maxDivergences {
		n.divergences = n.divergences[1:]
	}
	n.divergences = append(n.divergences, d)
}

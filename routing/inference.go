package routing

// This file says what an answer implies where it doesn't tell how it was served: whether a copy was there, whose rejection
// it was, and who made it late.
//
// A wrong inference has a price, and it differs: a fill taken for a hit leaves sources unjudged, and a dead one in use; a hit
// taken for a fill credits a dead source, or blames a slow one for a full cache. So each judgement asks for what must have
// been, not for what is likely on average.

// sparesCapacityBelow is the reported utilization below which a cache was not itself what made an answer late. Reports are
// noisy by a tenth and a second old.
const busyUtilization = 0.8

// evidence is what is known of an answer that doesn't tell how it was served.
type evidence struct {
	hitExpected      bool    // a copy was expected at the cache
	served           bool    // it was served
	rejected         bool    // it was rejected, and not by the cache itself at once
	late             bool    // it came after the latency objective
	utilization      float64 // share of the cache's capacity in use,
	utilizationKnown bool    // where it is known
}

// isHit reports whether the answer was served from a copy, as expected.
func (e evidence) isHit() bool { return e.served && e.hitExpected && !e.late }

// judgesSource reports whether the answer speaks of the source of a fill and not of the cache: a fill was expected; or a
// rejection came too late to be the cache's own, which rejects before it does any work; or it came late though the cache
// had capacity to spare.
func (e evidence) concernsSource() bool {
	if !e.hitExpected || e.rejected {
		return true
	}
	return e.late && e.utilizationKnown && e.utilization < busyUtilization
}

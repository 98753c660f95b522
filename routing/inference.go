package routing

// This file infers how a request was served where the result does not state it: whether the cache
// had a copy, whether a rejection was the cache's own, and which endpoint made the answer late.
//
// Both kinds of error have a cost: a fill taken for a hit leaves its source unjudged, so that a
// dead source stays in use; a hit taken for a fill credits a dead source or blames a slow one for
// an overloaded cache. Each inference therefore relies on what must have happened, not on what is
// likely on average.

// busyUtilization is the reported utilization below which a cache did not itself make an answer
// late. Reports are about a second old, with an error of about a tenth.
const busyUtilization = 0.8

// evidence is what is known about a result that does not state how the request was served.
type evidence struct {
	hitExpected      bool    // a copy was expected at the cache
	served           bool    // the answer was successful
	rejected         bool    // the request was rejected, and not at once by the cache itself
	late             bool    // the result came after the latency objective
	utilization      float64 // reported share of the cache's capacity in use
	utilizationKnown bool    // whether a recent report exists
}

// isHit reports whether the answer was served from the expected copy.
func (e evidence) isHit() bool { return e.served && e.hitExpected && !e.late }

// concernsSource reports whether the result concerns the fill source and not the cache: a fill was
// expected; or a rejection came too late to be the cache's own, which rejects before it does any
// work; or the answer was late although the cache had spare capacity.
func (e evidence) concernsSource() bool {
	if !e.hitExpected || e.rejected {
		return true
	}
	return e.late && e.utilizationKnown && e.utilization < busyUtilization
}

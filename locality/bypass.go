package locality

import "time"

// bypass is the part of the requests without capacity in any locality that the own director is given all the same, to send
// them past its caches.
type bypass struct {
	share     float64     // of the requests without capacity in any locality, 0 to 1
	good, bad decayingSum // results
}

// bypassProbeShare is the share of the requests without capacity in any locality that is sent past the caches to find out how
// that goes.
const bypassProbeShare = 0.1

// BypassFinished records how an attempt ended that the own director sent past the caches of its locality, straight to what
// stands behind them. For the locality it is a failure: see [ClassifyResult].
func (s *Selector) BypassFinished(now time.Duration, r Result) {
	w := resultWeights[r]
	s.bypass.good.add(now, w.good, resultMemory)
	s.bypass.bad.add(now, w.bad, resultMemory)
}

// setBypassShare sends as many of the requests without capacity in any locality past the caches as has been seen to go well,
// so that nothing is rejected that the upper caches and the origin could still serve. What they can do is the director's to judge, which rejects
// what they can't.
func (s *Selector) setBypassShare(now, span time.Duration) {
	good, bad := s.bypass.good.now(now, resultMemory), s.bypass.bad.now(now, resultMemory)
	results := good + bad
	own := s.localities[0]
	switch {
	case s.servedShare >= 1 || own.state == StateRecovering: // its ramp says how much its caches are given
		s.bypass.share = 0
	case results < 1: // nothing is known; a few are worth trying where no cache is left that could hang
		s.bypass.share = 0
		if own.isGone() {
			s.bypass.share = bypassProbeShare
		}
	case good < (1+s.cfg.MinHealth)/2*results:
		s.bypass.share = max(s.bypass.share/2, bypassProbeShare)
	case results >= s.requests.now(now, rateMemory)/2: // most of the load has just gone this way, and well
		s.bypass.share = 1
	default:
		s.bypass.share = min(1, s.bypass.share+2*s.cfg.SpilloverRise*span.Seconds())
	}
}

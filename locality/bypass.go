package locality

import "time"

// bypass holds the state of bypassing: requests for which no locality has capacity may still be
// given to the own director, which sends them past the caches.
type bypass struct {
	share     float64     // share of the requests without capacity in any locality that bypass the caches, 0 to 1
	good, bad decayingSum // decaying numbers of good and bad results
}

// bypassProbeShare is the share of the requests without capacity in any locality that bypass the
// caches to find out whether they are served.
const bypassProbeShare = 0.1

// BypassFinished records the result of an attempt that the own director sent past the caches of its
// locality, to a parent or the origin. For the locality it counts as a failure; see
// [ClassifyResult].
func (s *Selector) BypassFinished(now time.Duration, r Result) {
	w := resultWeights[r]
	s.bypass.good.add(now, w.good, resultTimeConstant)
	s.bypass.bad.add(now, w.bad, resultTimeConstant)
}

// setBypassShare sets the share of the requests without capacity in any locality that bypass the
// caches, by the results of earlier ones, so that no request is rejected that the parents and the
// origin could still serve. The director judges what these can serve, and rejects the rest.
func (s *Selector) setBypassShare(now, span time.Duration) {
	good, bad := s.bypass.good.valueAt(now, resultTimeConstant), s.bypass.bad.valueAt(now, resultTimeConstant)
	results := good + bad
	own := s.localities[0]
	switch {
	case s.servedShare >= 1 || own.state == StateRecovering: // the ramp determines what the own caches get
		s.bypass.share = 0
	case results < 1: // no results yet: a few requests are tried, but only while no cache is up that could leave them unanswered
		s.bypass.share = 0
		if own.hasNoCacheUp() {
			s.bypass.share = bypassProbeShare
		}
	case good < (1+s.cfg.MinHealth)/2*results:
		s.bypass.share = max(s.bypass.share/2, bypassProbeShare)
	case results >= s.requests.valueAt(now, rateTimeConstant)/2: // at least half of the load was bypassed lately, with good results
		s.bypass.share = 1
	default:
		s.bypass.share = min(1, s.bypass.share+2*s.cfg.SpilloverRise*span.Seconds())
	}
}

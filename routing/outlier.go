package routing

import "time"

const (
	ejectionErrorRate      = 0.4             // share of recent attempts failing that ejects a server
	errorRateWeight        = 0.2             // weight of the newest in it: three failures in a row eject
	outlierErrorMultiple   = 1.6             // times the share of untold errors of its like that ejects a server
	ejectionOverdueAnswers = 3               // answers overdue, with none in between, that eject a server
	minInUseShare          = 0.5             // share of the caches here, or of the parents, that stays in use whatever their health
	firstEjection          = time.Second     // length of a first ejection
	maxEjection            = 8 * time.Second // of the longest: each further one doubles
)

func (d *Director) recordSuccess(s *endpoint) {
	s.lastOK, s.overdueAnswers = d.now, 0
	d.unattributedErrorRate[s.role] -= errorRateWeight * d.unattributedErrorRate[s.role]
	s.unattributedErrorRate -= errorRateWeight * s.unattributedErrorRate
	if s.errorRate -= errorRateWeight * s.errorRate; s.errorRate < ejectionErrorRate {
		s.backoff = 0
	}
}

// recordFailure notes a failure of a server, and takes it out of use when they mount up.
func (d *Director) recordFailure(s *endpoint, silent bool) {
	s.errorRate += errorRateWeight * (1 - s.errorRate)
	if s.ejectedUntil > d.now || s.errorRate < ejectionErrorRate && !silent {
		return
	}
	s.backoff = min(maxEjection, max(firstEjection, 2*s.backoff))
	s.ejectedUntil = d.now + s.backoff
}

// confirmSuspects books a request's errors on their servers, once another has shown by its answer that the request was
// well formed.
func (d *Director) confirmSuspects(r *request) {
	for _, s := range r.suspects {
		d.recordFailure(s, false)
	}
	r.suspects = nil
}

// recordUnattributedError weighs an error that may be its request's fault. Requests at fault fail wherever they are sent: a
// server with far more such errors than all of its role have is ill. Guards against a store whose errors take
// all further attempts, so that none is left whose success would show who was at fault.
func (d *Director) recordUnattributedError(s *endpoint) {
	s.unattributedErrorRate += errorRateWeight * (1 - s.unattributedErrorRate)
	d.unattributedErrorRate[s.role] += errorRateWeight * (1 - d.unattributedErrorRate[s.role])
	if s.unattributedErrorRate >= ejectionErrorRate && s.unattributedErrorRate >= outlierErrorMultiple*d.unattributedErrorRate[s.role] {
		d.recordFailure(s, true)
	}
}

func (d *Director) healthy(s *endpoint) bool {
	return s.backoff == 0 || s.ejectedUntil <= d.now && !s.probationInFlight
}

// keptByFloor says that so many of the servers of a role look ill that the fault is likely elsewhere.
func (d *Director) keptByFloor(s *endpoint) bool {
	n := 0
	for _, p := range d.inUse[s.role] {
		if d.healthy(p) {
			n++
		}
	}
	return s.role == roleOrigin || float64(n) < minInUseShare*float64(len(d.inUse[s.role]))
}

package maintenance

// advance moves every request to its next stage if the state and the observations allow it, revokes grants that exceed
// the limits meanwhile, and grants waiting requests.
func (s *State) advance(c *Command, l Limits) {
	o := c.Advance
	for _, r := range s.Requests {
		s.advanceRequest(r, c, o)
	}
	for _, r := range s.Requests {
		if !r.revocable() {
			continue
		}
		if reason := s.blockedBy(r, o, l); reason != "" {
			r.transition(c, Requested, "taken back: "+reason)
			r.TimesOvertaken = 0
		}
	}
	for range l.MaxOut {
		r := s.nextToGrant(o, l)
		if r == nil {
			return
		}
		s.grant(r, c, o)
	}
}

// grant grants a request. Waiting requests of its group that precede it in the queue are counted as overtaken.
func (s *State) grant(r *Request, c *Command, o *Observations) {
	for _, earlier := range s.Requests {
		if earlier.Stage == Requested && earlier != r && earlier.group() == r.group() && s.precedes(earlier, r) {
			earlier.TimesOvertaken++
		}
	}
	s.Epoch++
	r.GrantEpoch = s.Epoch
	r.BootMs = o.Machines[r.Machine].BootMs
	r.Incarnation = s.Gateways[r.Machine].Incarnation
	r.TimesOvertaken, r.Overdue = 0, false
	r.transition(c, Granted, "")
}

// advanceRequest moves a granted request to its next stage, if the state and the observations allow it.
func (s *State) advanceRequest(r *Request, c *Command, o *Observations) {
	elapsed := o.stageTimeouts(r)
	m, observed := o.Machines[r.Machine]
	up := observed && m.Up
	switch r.Stage {
	case Granted:
		if s.allNotified(r.GrantEpoch) {
			s.Epoch++
			r.DrainEpoch = s.Epoch
			r.transition(c, Draining, "")
		}
	case Draining:
		s.advanceDraining(r, c, elapsed)
	case OutOfService:
		restarted := up && m.BootMs > r.BootMs && r.Kind != KindGateway // the restart of a gateway is handled when it joins
		if restarted {
			r.transition(c, Returned, "it started anew")
		} else if elapsed.Overdue && !r.Overdue {
			r.Overdue = true
			r.transition(c, OutOfService, "overdue")
		}
	case Returned:
		if up {
			r.transition(c, WarmingUp, "")
		}
	case WarmingUp:
		warm := m.Warm || elapsed.SlowStartOver && r.Kind != KindGateway
		if up && warm {
			r.Overdue = false
			r.transition(c, Completed, "")
		} else if !up {
			r.transition(c, Returned, "it went again")
		}
	case Requested, Completed, Withdrawn: // a request is granted by advance; an ended one stays as it is
	}
}

// allNotified reports whether every gateway has confirmed that it knows of a grant.
func (s *State) allNotified(grantEpoch uint64) bool {
	for _, g := range s.Gateways {
		if g.NotifiedEpoch < grantEpoch {
			return false
		}
	}
	return true
}

// allStopped reports whether every gateway has confirmed that it has stopped sending for a drain.
func (s *State) allStopped(drainEpoch uint64) bool {
	for _, g := range s.Gateways {
		if g.StoppedEpoch < drainEpoch {
			return false
		}
	}
	return true
}

// advanceDraining moves a machine to out of service once no gateway can send to it any more. For the machine of a gateway it
// waits until that gateway has stopped, or has been replaced by another incarnation, and removes its registration.
func (s *State) advanceDraining(r *Request, c *Command, elapsed StageTimeouts) {
	if r.Kind == KindGateway {
		if g := s.Gateways[r.Machine]; g.Incarnation == r.Incarnation && g.StoppedEpoch < r.DrainEpoch {
			return
		}
		delete(s.Gateways, r.Machine) // the incarnation has stopped sending
	} else if !elapsed.LeasesExpired && !s.allStopped(r.DrainEpoch) {
		return
	}
	r.transition(c, OutOfService, "")
}

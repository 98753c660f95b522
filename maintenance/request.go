package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	maxOpenRequests  = 128
	maxEndedRequests = 64 // ended requests kept for operators to read; beyond this, the oldest is dropped
	maxNameLength    = 64 // bytes in the name of a machine, zone, kind, key or gateway
	maxPredecessors  = 16 // names in RequestSpec.After
	maxGateways      = 1024
	maxDuration      = 30 * 24 * time.Hour
	maxPriority      = 100 // the minimum is -maxPriority
)

// addRequest adds a request and returns its ID. If a request with the same idempotency key exists, it returns the ID of
// that one.
func (s *State) addRequest(c *Command) (requestID uint64, err error) {
	o, open, ended := c.Request, 0, 0
	for _, r := range s.Requests {
		if r.Key == o.Key {
			return r.ID, nil
		}
		if r.Stage.Ended() {
			ended++
		} else {
			open++
		}
	}
	if err := o.check(); err != nil {
		return 0, err
	}
	if r := s.openRequest(o.Machine); r != nil {
		return r.ID, fmt.Errorf("machine %q: %w", o.Machine, ErrAlreadyRequested)
	}
	if open >= maxOpenRequests {
		return 0, fmt.Errorf("%w: %d", ErrTooManyRequests, open)
	}
	if s.wouldCycle(o.Machine, o.After) {
		return 0, fmt.Errorf("after: %q would go after itself, by way of others", o.Machine)
	}
	if ended >= maxEndedRequests {
		oldest := slices.IndexFunc(s.Requests, func(r *Request) bool { return r.Stage.Ended() })
		s.Requests = slices.Delete(s.Requests, oldest, oldest+1)
	}
	s.LastRequestID++
	r := &Request{ID: s.LastRequestID, Key: o.Key, Machine: o.Machine, Kind: o.Kind, Zone: o.Zone, DurationMs: o.DurationMs, DeadlineMs: o.DeadlineMs,
		Priority: o.Priority, After: slices.Clone(o.After)}
	r.transition(c, Requested, "")
	s.Requests = append(s.Requests, r)
	return r.ID, nil
}

// check validates a request without regard to the state. The error names the field.
func (o *RequestSpec) check() error {
	switch {
	case o.Key == "" || len(o.Key) > maxNameLength:
		return fmt.Errorf("key: %d characters, 1 to %d are allowed", len(o.Key), maxNameLength)
	case o.Kind == "":
		return fmt.Errorf("machine %q: %w", o.Machine, ErrUnknownMachine)
	case len(o.Machine) > maxNameLength || len(o.Zone) > maxNameLength || len(o.Kind) > maxNameLength:
		return fmt.Errorf("machine: a name over %d characters", maxNameLength)
	case o.DurationMs <= 0 || o.DurationMs > maxDuration.Milliseconds():
		return fmt.Errorf("for: %v is not up to 30 days", time.Duration(o.DurationMs)*time.Millisecond)
	case o.Priority < -maxPriority || o.Priority > maxPriority:
		return fmt.Errorf("priority: %d is not from -100 to 100", o.Priority)
	case len(o.After) > maxPredecessors:
		return fmt.Errorf("after: %d machines, %d are allowed", len(o.After), maxPredecessors)
	case slices.Contains(o.After, o.Machine):
		return fmt.Errorf("after: %q can't go after itself", o.Machine)
	}
	return nil
}

// wouldCycle reports whether a machine that waits for the machines in after would wait for itself, through the open
// requests of those machines.
func (s *State) wouldCycle(machine string, after []string) bool {
	seen := map[string]bool{}
	for next := slices.Clone(after); len(next) > 0; {
		m := next[0]
		next = next[1:]
		if m == machine {
			return true
		}
		if r := s.openRequest(m); r != nil && !seen[m] {
			seen[m] = true
			next = append(next, r.After...)
		}
	}
	return false
}

// withdraw ends the open request for a machine that is not out of service yet.
func (s *State) withdraw(c *Command) (requestID uint64, err error) {
	r := s.openRequest(c.Withdraw.Name)
	if r == nil {
		return 0, fmt.Errorf("%q has no open request", c.Withdraw.Name)
	}
	if r.Stage.countsAsOut() && !r.revocable() {
		return 0, fmt.Errorf("%q is %s: it can only be finished", r.Machine, r.Stage)
	}
	r.transition(c, Withdrawn, c.Withdraw.Reason)
	return r.ID, nil
}

// revocable reports whether a grant can still be revoked: the machine is not out of service, so no maintenance has begun.
func (r *Request) revocable() bool { return r.Stage == Granted || r.Stage == Draining }

// finish records that the maintenance of a machine that is out of service is done.
func (s *State) finish(c *Command) (requestID uint64, err error) {
	r := s.openRequest(c.Finish.Name)
	if r == nil || r.Stage != OutOfService {
		return 0, fmt.Errorf("%q is not out", c.Finish.Name)
	}
	r.transition(c, Returned, cmp.Or(c.Finish.Reason, "said to be done"))
	return r.ID, nil
}

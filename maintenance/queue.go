package maintenance

import (
	"cmp"
	"fmt"
	"slices"
)

// precedes reports whether a is before b in the queue: by priority, then deadline, then age.
func (s *State) precedes(a, b *Request) bool {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.deadline(), b.deadline()), cmp.Compare(a.ID, b.ID)) < 0
}

// noDeadline is the deadline, as Unix time in ms, of a request that has none: later than any other.
const noDeadline = 1 << 62

// deadline returns the deadline as Unix time in ms, or noDeadline.
func (r *Request) deadline() int64 { return cmp.Or(r.DeadlineMs, noDeadline) }

// waitingRequests returns the requests that wait for a grant, in queue order; those that have been overtaken
// maxTimesOvertaken times come first.
func (s *State) waitingRequests(maxTimesOvertaken int) (l []*Request) {
	for _, r := range s.Requests {
		if r.Stage == Requested {
			l = append(l, r)
		}
	}
	slices.SortStableFunc(l, func(a, b *Request) int {
		aFirst, bFirst := a.TimesOvertaken >= maxTimesOvertaken, b.TimesOvertaken >= maxTimesOvertaken
		if aFirst == bFirst {
			aFirst = s.precedes(a, b)
		}
		if aFirst {
			return -1
		}
		return 1
	})
	return l
}

// nextToGrant returns the first waiting request that may be granted now, or nil. A request that has been overtaken
// MaxTimesOvertaken times blocks all requests of its group that follow it.
func (s *State) nextToGrant(o *Observations, l Limits) *Request {
	blockedGroups := map[string]bool{} // groups in which an overtaken request has to be granted first
	for _, r := range s.waitingRequests(l.MaxTimesOvertaken) {
		if blockedGroups[r.group()] {
			continue
		}
		if s.waitsFor(r) == "" && s.blockedBy(r, o, l) == "" {
			return r
		}
		if r.TimesOvertaken >= l.MaxTimesOvertaken {
			blockedGroups[r.group()] = true
		}
	}
	return nil
}

// waitsFor returns why a request waits for another machine in its After list, or an empty string if it does not.
func (s *State) waitsFor(r *Request) string {
	for _, m := range r.After {
		if open := s.openRequest(m); open != nil {
			return fmt.Sprintf("it goes after %s, which is %s", m, open.Stage)
		}
	}
	return ""
}

// PlanEntry is a waiting request in the plan.
type PlanEntry struct {
	Request   *Request `json:"Request"`
	Wave      int      `json:"Wave"` // number of the wave in which it would be granted, from 1; 0: in none
	BlockedBy string   `json:"Why"`  // why it can't be granted now; empty: it can
}

// Plan returns the waiting requests in queue order, each with the reason why it can't be granted now and with the wave
// in which it would be granted, if each wave completed before the next and the observations did not change.
func (s *State) Plan(o *Observations, l Limits) []PlanEntry {
	var entries []PlanEntry
	for _, r := range s.waitingRequests(l.MaxTimesOvertaken) {
		entries = append(entries, PlanEntry{Request: r, BlockedBy: cmp.Or(s.waitsFor(r), s.blockedBy(r, o, l))})
	}
	simulated, err := Decode(s.Encode())
	if err != nil {
		return entries
	}
	c := &Command{Advance: o}
	for wave := 1; wave <= len(entries)+1; wave++ {
		granted := simulated.grantWave(c, l)
		for i := range entries {
			if granted[entries[i].Request.ID] {
				entries[i].Wave = wave
			}
		}
		for _, r := range simulated.Requests {
			if r.Stage.countsAsOut() {
				r.transition(c, Completed, "")
			}
		}
	}
	return entries
}

// grantWave grants all requests that may be out at the same time, and returns their IDs. It leaves out what only
// matters for real grants, such as epochs.
func (s *State) grantWave(c *Command, l Limits) map[uint64]bool {
	granted := map[uint64]bool{}
	for range l.MaxOut {
		r := s.nextToGrant(c.Advance, l)
		if r == nil {
			break
		}
		r.transition(c, Granted, "")
		granted[r.ID] = true
	}
	return granted
}

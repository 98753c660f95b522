package maintenance

import (
	"cmp"
	"fmt"
	"slices"
)

// precedes reports whether a goes before b where both may go: by priority, then deadline, then age.
func (s *State) precedes(a, b *Request) bool {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.deadline(), b.deadline()), cmp.Compare(a.ID, b.ID)) < 0
}

// noDeadline is later than any deadline, in Unix milliseconds.
const noDeadline = 1 << 62

func (r *Request) deadline() int64 { return cmp.Or(r.DeadlineMs, noDeadline) }

// waiting are the requests that wait for a grant, in the order in which they go: first those that were overtaken too often.
func (s *State) waiting(maxTimesOvertaken int) (l []*Request) {
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

// nextToGrant is the request to be granted now; nil: none may be. Where a request was overtaken too often, its group waits for it.
func (s *State) nextToGrant(o *Observations, l Limits) *Request {
	closed := map[string]bool{} // groups that wait for a request
	for _, r := range s.waiting(l.MaxTimesOvertaken) {
		if closed[r.group()] {
			continue
		}
		if s.waitsFor(r) == "" && s.blockedBy(r, o, l) == "" {
			return r
		}
		if r.TimesOvertaken >= l.MaxTimesOvertaken {
			closed[r.group()] = true
		}
	}
	return nil
}

// waitsFor says which machine has to go before this one by its own order; empty: none.
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
	Wave      int      `json:"Wave"` // in which it would go, from 1, if nothing else changes; 0: in none
	BlockedBy string   `json:"Why"`  // why it does not go now; empty: it may
}

// Plan says in which waves requests would be granted if each wave returned before the next and nothing else changed, and why each
// of them does not go now.
func (s *State) Plan(o *Observations, l Limits) []PlanEntry {
	var entries []PlanEntry
	for _, r := range s.waiting(l.MaxTimesOvertaken) {
		entries = append(entries, PlanEntry{Request: r, BlockedBy: cmp.Or(s.waitsFor(r), s.blockedBy(r, o, l))})
	}
	future, err := Decode(s.Encode())
	if err != nil {
		return entries
	}
	c := &Command{Advance: o}
	for wave := 1; wave <= len(entries)+1; wave++ {
		granted := future.grantWave(c, l)
		for i := range entries {
			if granted[entries[i].Request.ID] {
				entries[i].Wave = wave
			}
		}
		for _, r := range future.Requests {
			if r.Stage.countsAsOut() {
				r.transition(c, Completed, "")
			}
		}
	}
	return entries
}

// grantWave grants what may go at once, and names the requests.
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

package gateway

import "larchusher/overload"

// ClassOutcomes counts the final answers to requests of one class, as their clients see them.
// Together with the open requests they add up to the requests that were submitted or were shed
// before that. A request whose client left before its answer counts as failed.
type ClassOutcomes struct {
	Served   uint64
	Rejected uint64 // rejected, or expired where retrying is harmless
	Failed   uint64
}

// add counts a final answer.
func (o *ClassOutcomes) add(a Answer) {
	switch {
	case a.Outcome == OutcomeServed || a.Outcome == OutcomeUnchanged:
		o.Served++
	case a.Outcome == OutcomeRejected || a.Retryable:
		o.Rejected++
	default:
		o.Failed++
	}
}

// CountAnswer counts a final answer that a front gave by itself, such as that to an unreadable
// request. The gateway's own answers are counted already. Answers of classes that the settings do
// not name are not counted.
func (g *Gateway) CountAnswer(class string, a Answer) {
	if o := g.outcomes[class]; o != nil {
		o.add(a)
	}
}

// initClassOutcomes adds counts for the classes of the settings. Counts of classes that were
// dropped are kept.
func (g *Gateway) initClassOutcomes() {
	for _, c := range g.cfg.Settings.Classes {
		if g.outcomes[c.Name] == nil {
			g.outcomes[c.Name] = &ClassOutcomes{}
		}
	}
}

// OutcomesByClass returns the final answers so far for each class that the settings name or have
// named, including the requests that were not admitted.
func (g *Gateway) OutcomesByClass() map[string]ClassOutcomes {
	all := map[string]ClassOutcomes{}
	for class, o := range g.outcomes {
		all[class] = *o
	}
	for front := range frontCount {
		for band, n := range g.generations.shedByBand(front) {
			class := overload.ClassOf(band)
			if o, known := all[class]; known {
				o.Rejected += n
				all[class] = o
			}
		}
	}
	return all
}

// EndpointCounts returns the number of endpoints on the own director's list, and the number of
// those that get no new attempts at present because they are draining, out for maintenance, or
// ejected.
func (g *Gateway) EndpointCounts() (listed, avoided int) {
	seen, _ := g.directors[0].Observe(g.now())
	for _, s := range seen {
		if !s.Usable {
			avoided++
		}
	}
	return len(seen), avoided
}

package gateway

import "larchusher/overload"

// ClassOutcomes counts the final answers to requests of one class, as their clients see them. With the open requests they
// add up to those that were submitted, or shed before: a request whose client left first counts as failed.
type ClassOutcomes struct {
	Served   uint64
	Rejected uint64 // retrying is harmless
	Failed   uint64
}

// add counts one final answer.
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

// CountAnswer counts a final answer that a front gave by itself, such as the one to a request that cannot be read. Answers
// of the gateway are counted already. A class that the settings do not name is not counted.
func (g *Gateway) CountAnswer(class string, a Answer) {
	if o := g.outcomes[class]; o != nil {
		o.add(a)
	}
}

// initClassOutcomes has the classes of the settings counted; those of former settings stay.
func (g *Gateway) initClassOutcomes() {
	for _, c := range g.cfg.Settings.Classes {
		if g.outcomes[c.Name] == nil {
			g.outcomes[c.Name] = &ClassOutcomes{}
		}
	}
}

// OutcomesByClass returns the final answers so far for each class that the settings name or have named, with the requests
// that were not admitted.
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

// EndpointCounts returns how many endpoints are on the list, and to how many of them nothing new is sent at present: they
// are draining, out for maintenance, or ejected.
func (g *Gateway) EndpointCounts() (listed, avoided int) {
	seen, _ := g.directors[0].Observe(g.now())
	for _, s := range seen {
		if !s.Usable {
			avoided++
		}
	}
	return len(seen), avoided
}

package gateway

import "larchusher/routing"

// Counters count what a gateway takes in and gives out since its start.
type Counters struct {
	Submitted       uint64                     // requests
	Answered        [OutcomeExpired + 1]uint64 // final answers, by outcome
	ClientsGone     uint64                     // requests whose client left before the answer
	Attempts        uint64                     // started
	Ended           [routing.Miss + 1]uint64   // attempts, by how they ended
	NotSent         uint64                     // attempts stopped right before they were written,
	NotPermitted    uint64                     // of them, those that Config.EndpointPermitted did not allow
	DuplicateIDs    uint64                     // requests with the client's id of one that was open
	GoneBeforeWrite uint64                     // requests whose client was found to have left right before an attempt was written
	GossipSent      uint64                     // messages to other gateways
	GossipReceived  uint64                     // messages from other gateways
	Purges          uint64                     // purge events
	DirectorPanics  uint64                     // events in which a director panicked
}

// statusNames are the names under which operators scrape how attempts ended, by routing.Status.
var statusNames = [...]string{"ok", "error", "turned_away", "timed_out", "not_connected", "reset", "cancelled",
	"not_sent", "miss"}

// ByName returns the counters under the names by which operators scrape them.
func (c *Counters) ByName() map[string]uint64 {
	all := map[string]uint64{
		"taken":    c.Submitted,
		"gone":     c.ClientsGone,
		"attempts": c.Attempts,
		"withheld": c.NotSent,
		"held_out": c.NotPermitted,
		"deserted": c.GoneBeforeWrite,
		"copied":   c.DuplicateIDs,
		"told":     c.GossipSent,
		"heard":    c.GossipReceived,
		"purges":   c.Purges,
		"panics":   c.DirectorPanics,
	}
	for i, n := range c.Answered {
		all["answered_"+Outcome(i).String()] = n
	}
	for i, n := range c.Ended {
		all["ended_"+statusNames[i]] = n
	}
	return all
}

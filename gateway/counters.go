package gateway

import "larchusher/routing"

// Counters counts a gateway's requests, attempts and events since its start.
type Counters struct {
	Submitted       uint64                     // requests submitted
	Answered        [OutcomeExpired + 1]uint64 // final answers, by outcome
	ClientsGone     uint64                     // requests whose client left before the answer
	Attempts        uint64                     // attempts started
	Ended           [routing.Miss + 1]uint64   // attempts ended, by status
	NotSent         uint64                     // attempts ended by PrepareWrite, which found that they must not be written
	NotPermitted    uint64                     // attempts of NotSent that Config.EndpointPermitted did not allow
	DuplicateIDs    uint64                     // requests with the client's id of another open request
	GoneBeforeWrite uint64                     // requests whose client was found to have left right before an attempt was written
	GossipSent      uint64                     // messages sent to other gateways
	GossipReceived  uint64                     // messages received from other gateways
	Purges          uint64                     // purge events received
	DirectorPanics  uint64                     // events in whose handling a director panicked
}

// statusNames are the names of attempts' statuses in metrics and logs, by routing.Status.
var statusNames = [...]string{"ok", "error", "turned_away", "timed_out", "not_connected", "reset", "cancelled",
	"not_sent", "miss"}

// ByName returns the counters by their names in metrics.
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

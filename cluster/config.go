package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
)

// Config describes a node.
type Config struct {
	Self         string
	Incarnation  uint64                  // new with each start; not 0
	Members      []string                // all gateways, Self among them
	Voters       []string                // the members that vote, in an order that all share
	Acceptor     consensus.AcceptorState // of a voter
	View         []byte                  // as the former incarnation stored it; nil: there is none
	Durable      bool                    // StoreView outlives the process: a grant counts as known only once it is stored
	Limits       maintenance.Limits
	WallClockMs  func() int64  // Unix time, for the history of requests alone
	RoundTimeout time.Duration // of consensus; 0: its default
	ReadInterval time.Duration // of consensus
	Seed         uint64
}

// check names a setting that is not valid, and fills in the defaults of Limits.
func (c *Config) check() error {
	if c.Incarnation == 0 || c.WallClockMs == nil {
		return errors.New("cluster: Incarnation or WallClockMs is missing")
	}
	if !slices.Contains(c.Members, c.Self) {
		return fmt.Errorf("cluster: Self: %q is none of the members", c.Self)
	}
	if len(c.Voters) == 0 {
		return errors.New("cluster: Voters: none")
	}
	for _, v := range c.Voters {
		if !slices.Contains(c.Members, v) {
			return fmt.Errorf("cluster: Voters: %q is none of the members", v)
		}
	}
	if err := c.Limits.Check(); err != nil {
		return fmt.Errorf("cluster: Limits: %w", err)
	}
	return nil
}

// Counters count what a node did.
type Counters struct {
	LeaseRequests    uint64 // sent
	Views            uint64 // answers to them that were not given up
	LeaseExpirations uint64
	Unknown          uint64 // messages and views that can't be read
	NonMembers       uint64 // lease requests of others than members, or to one that does not vote
	Advances         uint64 // steps of the maintenance plan that this node proposed as coordinator
	Dropped          uint64 // requests to the voter here that were not taken, or not completed
}

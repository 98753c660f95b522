package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"larchusher/consensus"
	"larchusher/maintenance"
)

// Config configures a [Node].
type Config struct {
	Self         string
	Incarnation  uint64                  // new with each start of the process; not 0
	Members      []string                // names of all gateways, including Self
	Voters       []string                // the members that vote, in the same order on all gateways
	Acceptor     consensus.AcceptorState // used if Self is a voter: its stored state, or one with a new Incarnation alone
	View         []byte                  // the view that an earlier process stored; nil: there is none
	Durable      bool                    // StoreView survives a restart: a grant is reported as known only once it is stored
	Limits       maintenance.Limits
	WallClockMs  func() int64  // Unix time in ms, used for the request histories only
	RoundTimeout time.Duration // of package consensus; 0: its default
	ReadInterval time.Duration // least time between two consensus rounds that serve reads alone
	Seed         uint64
}

// check fills in the defaults of Limits and returns an error that names the first setting that is not valid.
func (c *Config) check() error {
	if c.Incarnation == 0 || c.WallClockMs == nil {
		return errors.New("cluster: Incarnation is 0 or WallClockMs is nil; both are required")
	}
	if !slices.Contains(c.Members, c.Self) {
		return fmt.Errorf("cluster: Self: %q is not in Members", c.Self)
	}
	if len(c.Voters) == 0 {
		return errors.New("cluster: Voters is empty; want at least one member")
	}
	for _, v := range c.Voters {
		if !slices.Contains(c.Members, v) {
			return fmt.Errorf("cluster: Voters: %q is not in Members", v)
		}
	}
	if err := c.Limits.Check(); err != nil {
		return fmt.Errorf("cluster: Limits: %w", err)
	}
	return nil
}

// Counters count the events of a node since its start.
type Counters struct {
	LeaseRequests    uint64 // lease requests sent, including those that this node sent to itself
	Views            uint64 // replies to lease requests that were still waited for
	LeaseExpirations uint64
	Unknown          uint64 // messages of an unknown kind, and views that could not be decoded
	NonMembers       uint64 // lease requests from non-members, or received by a node that is not a voter
	Advances         uint64 // proposals of this node, as coordinator, to move maintenance requests to their next stage
	Dropped          uint64 // requests that this node's voter rejected or could not complete
}

package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

const (
	// DefaultRoundTimeout is how long a round may take before it is abandoned and begun again.
	DefaultRoundTimeout = 400 * time.Millisecond
	// DefaultBackoffBase bounds the random wait after a conflict: it doubles with each conflict in a row, up to eight times this.
	DefaultBackoffBase = 150 * time.Millisecond
)

// Config describes a voter.
type Config struct {
	Self     string
	Voters   []string      // all of them, in an order that all share
	Acceptor AcceptorState // as it was stored; a voter without one starts with a new Incarnation alone
	// Apply applies a command to a value. It must be deterministic, and idempotent: a command may be applied twice.
	Apply        func(value, command []byte) (next, reply []byte)
	RoundTimeout time.Duration // 0: DefaultRoundTimeout
	ReadInterval time.Duration // least time between two rounds that serve reads alone; later reads share the next one
	BackoffBase  time.Duration // 0: DefaultBackoffBase
	Seed         uint64        // of the waits after conflicts
}

// check fills in defaults and names a setting that is not valid.
func (c *Config) check() error {
	seen := map[string]bool{}
	for i, v := range c.Voters {
		if v == "" || seen[v] {
			return fmt.Errorf("consensus: Voters[%d]: %q is empty or stands twice", i, v)
		}
		seen[v] = true
	}
	switch {
	case !seen[c.Self]:
		return fmt.Errorf("consensus: Self: %q is none of the voters", c.Self)
	case c.Acceptor.Incarnation == 0:
		return errors.New("consensus: Acceptor.Incarnation: 0")
	case c.Apply == nil:
		return errors.New("consensus: Apply: nil")
	case c.RoundTimeout < 0 || c.BackoffBase < 0:
		return errors.New("consensus: RoundTimeout or BackoffBase: negative")
	}
	c.RoundTimeout = cmp.Or(c.RoundTimeout, DefaultRoundTimeout)
	c.BackoffBase = cmp.Or(c.BackoffBase, DefaultBackoffBase)
	return nil
}

// Counters count what a voter did.
type Counters struct {
	Rounds     uint64 // begun with a Prepare or an Accept
	Confirms   uint64 // begun for reads alone, without a write
	Conflicts  uint64 // rounds ended by another proposer's ballot
	Timeouts   uint64 // rounds ended by RoundTimeout
	Chosen     uint64 // values chosen by a round of this voter
	Admitted   uint64 // incarnations that this voter proposed to admit
	Bootstraps uint64 // attempts to form the first value
}

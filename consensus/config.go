package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

const (
	// DefaultRoundTimeout is the time after which an unfinished round is abandoned and retried.
	DefaultRoundTimeout = 400 * time.Millisecond
	// DefaultBackoffBase scales the random backoff after an abandoned round: up to 2, 4 and then 8 times this after
	// one, two and three or more abandoned rounds in a row.
	DefaultBackoffBase = 150 * time.Millisecond
)

// Config configures a Voter.
type Config struct {
	Self     string        // name of this voter; one of Voters
	Voters   []string      // names of all voters, in the same order at every voter
	Acceptor AcceptorState // last stored state; a voter without a stored state sets only a new, non-zero Incarnation
	// Apply applies a command to a value and returns the next value and the reply to the command. It must be
	// deterministic, and idempotent, since a command of an abandoned round may be applied again.
	Apply        func(value, command []byte) (next, reply []byte)
	RoundTimeout time.Duration // 0: DefaultRoundTimeout
	ReadInterval time.Duration // minimum time between the starts of two rounds that serve only reads; reads wait for the next round
	BackoffBase  time.Duration // 0: DefaultBackoffBase
	Seed         uint64        // seed of the random backoff
}

// check fills in defaults. It returns an error that names the first invalid setting.
func (c *Config) check() error {
	seen := map[string]bool{}
	for i, v := range c.Voters {
		if v == "" || seen[v] {
			return fmt.Errorf("consensus: Voters[%d]: name %q is empty or a duplicate", i, v)
		}
		seen[v] = true
	}
	switch {
	case !seen[c.Self]:
		return fmt.Errorf("consensus: Self: %q is not in Voters", c.Self)
	case c.Acceptor.Incarnation == 0:
		return errors.New("consensus: Acceptor.Incarnation is 0, want a non-zero number")
	case c.Apply == nil:
		return errors.New("consensus: Apply is nil, want a function")
	case c.RoundTimeout < 0 || c.BackoffBase < 0:
		return errors.New("consensus: RoundTimeout or BackoffBase is negative, want 0 or more")
	}
	c.RoundTimeout = cmp.Or(c.RoundTimeout, DefaultRoundTimeout)
	c.BackoffBase = cmp.Or(c.BackoffBase, DefaultBackoffBase)
	return nil
}

// Counters counts events at one voter since its start.
type Counters struct {
	Rounds     uint64 // rounds started with a Prepare or an Accept
	Confirms   uint64 // rounds started with a Confirm, for reads only; they store nothing
	Conflicts  uint64 // rounds abandoned because an acceptor had promised a newer ballot
	Timeouts   uint64 // rounds abandoned after RoundTimeout
	Chosen     uint64 // values chosen by a round of this voter
	Admitted   uint64 // incarnations that this voter proposed to admit
	Bootstraps uint64 // attempts to choose the first value
}

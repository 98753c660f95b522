package replication

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// DefaultPullInterval is the mean time between two pulls while up to a hundred incarnations are known; with more, it is in proportion
	// longer.
	DefaultPullInterval = time.Second
	// DefaultBytesPerSecond bounds what a node sends its peers, and what its own bulk may cost all of them together.
	DefaultBytesPerSecond = 256 << 10
	// DefaultCatchUpTimeout is how long a node that starts waits for its peers before it goes on with what it has.
	DefaultCatchUpTimeout = 3 * time.Second
)

// Config describes a node.
type Config struct {
	Self            Incarnation
	Members         []string             // all gateways by name, Self's among them
	PurgeSettleTime time.Duration        // see NewReplica
	PullInterval    time.Duration        // 0: DefaultPullInterval
	BytesPerSecond  int                  // 0: DefaultBytesPerSecond
	CatchUpTimeout  time.Duration        // 0: DefaultCatchUpTimeout
	WallClock       func() time.Duration // Unix time
	SlotBytes       func(*Slot) int      // size of a slot on the wire; nil: an estimate
	Seed            uint64
}

// check fills in defaults and names a setting that is not valid.
func (c *Config) check() error {
	if c.Self.Number == 0 || c.WallClock == nil {
		return errors.New("replication: Self.Number or WallClock is missing")
	}
	if !slices.Contains(c.Members, c.Self.Name) {
		return fmt.Errorf("replication: Self: %q is none of the members", c.Self.Name)
	}
	if c.PullInterval < 0 || c.BytesPerSecond < 0 || c.CatchUpTimeout < 0 {
		return errors.New("replication: PullInterval, BytesPerSecond or CatchUpTimeout: negative")
	}
	c.PullInterval = cmp.Or(c.PullInterval, DefaultPullInterval)
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, DefaultBytesPerSecond)
	c.CatchUpTimeout = cmp.Or(c.CatchUpTimeout, DefaultCatchUpTimeout)
	if c.SlotBytes == nil {
		c.SlotBytes = func(s *Slot) int { return estimateSlotBytes(s.Key, s.Value, s.Writer.Name) }
	}
	return nil
}

// estimateSlotBytes is about the size of a slot on the wire.
func estimateSlotBytes(key string, value []byte, writer string) int {
	const fixedFields = 48
	return fixedFields + len(key) + len(value) + len(writer)
}

// NodeCounters count what a node did.
type NodeCounters struct {
	Pulls             uint64 // sent
	PullReplies       uint64 // sent
	PullTimeouts      uint64 // pulls without an answer in time
	Announcements     uint64 // sent, each to a few peers
	StaleReplies      uint64 // replies to no pull that is under way
	Throttled         uint64 // pulls, or bulk, not served or written for want of budget
	ChecksumsCompared uint64 // checksums compared
	Divergences       uint64 // found
}

package replication

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// DefaultPullInterval is the mean time between two pulls while fewer than 200 incarnations are known; with more it
	// grows in proportion to their number.
	DefaultPullInterval = time.Second
	// DefaultBytesPerSecond limits what a node sends to its peers in replies. A quarter of it limits what the bulk
	// slots that it writes cost all members together.
	DefaultBytesPerSecond = 256 << 10
	// DefaultCatchUpTimeout is the time after which a starting node stops waiting for its peers and uses the slots that
	// it has.
	DefaultCatchUpTimeout = 3 * time.Second
)

// Config configures a Node.
type Config struct {
	Self            Incarnation
	Members         []string             // names of all gateways, including Self.Name
	PurgeSettleTime time.Duration        // see NewReplica
	PullInterval    time.Duration        // mean time between two pulls; 0: DefaultPullInterval
	BytesPerSecond  int                  // send budget; 0: DefaultBytesPerSecond
	CatchUpTimeout  time.Duration        // 0: DefaultCatchUpTimeout
	WallClock       func() time.Duration // returns the Unix time
	SlotBytes       func(*Slot) int      // returns the size of a slot on the wire in bytes; nil: an estimate
	Seed            uint64               // seed of the random choices of peers, intervals and checksum ranges
}

// check fills in defaults. It returns an error that names the first invalid setting.
func (c *Config) check() error {
	if c.Self.Number == 0 || c.WallClock == nil {
		return errors.New("replication: Self.Number is 0 or WallClock is nil, want both set")
	}
	if !slices.Contains(c.Members, c.Self.Name) {
		return fmt.Errorf("replication: Self.Name: %q is not in Members", c.Self.Name)
	}
	if c.PullInterval < 0 || c.BytesPerSecond < 0 || c.CatchUpTimeout < 0 {
		return errors.New("replication: PullInterval, BytesPerSecond or CatchUpTimeout is negative, want 0 or more")
	}
	c.PullInterval = cmp.Or(c.PullInterval, DefaultPullInterval)
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, DefaultBytesPerSecond)
	c.CatchUpTimeout = cmp.Or(c.CatchUpTimeout, DefaultCatchUpTimeout)
	if c.SlotBytes == nil {
		c.SlotBytes = func(s *Slot) int { return estimateSlotBytes(s.Key, s.Value, s.Writer.Name) }
	}
	return nil
}

// estimateSlotBytes estimates the size of a slot on the wire in bytes.
func estimateSlotBytes(key string, value []byte, writer string) int {
	const fixedFieldBytes = 48
	return fixedFieldBytes + len(key) + len(value) + len(writer)
}

// NodeCounters counts events at one node since its start.
type NodeCounters struct {
	Pulls             uint64 // pulls sent
	PullReplies       uint64 // replies sent
	PullTimeouts      uint64 // pulls without a reply within pullTimeout
	Announcements     uint64 // announcements made, each to up to announcePeers peers
	StaleReplies      uint64 // received replies that match no pending pull; ignored
	Throttled         uint64 // pulls not served or served without bulk, and own bulk slots not written, because a budget was spent
	ChecksumsCompared uint64 // checksums of peers compared with the own slots
	Divergences       uint64 // divergences detected
}

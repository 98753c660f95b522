package warmstart

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"larchusher/replication"
	"larchusher/routing"
)

// Sharer turns what a gateway's director has learned into replicated slots, and what other gateways have published into learned
// state. Use [NewSharer]. It is not safe for concurrent use.
//
// Two clocks meet here, the director's and the replication's. Only ages go from one to the other.
type Sharer struct {
	Published   int // slots published so far
	PeerDrained int // endpoints held at the latest [Sharer.PeerDrainedEndpoints]

	node         *replication.Node
	zone         string
	maxListings  int
	listedUp     map[string]routing.Endpoint // by id: endpoints that the endpoint list had up at the latest Publish
	complainedOf map[string]bool             // by id: endpoints of which faults were published
	peerPurges   map[string]time.Duration    // by name: purges of other gateways, on the director's clock
}

// NewSharer returns a sharer for a gateway of a zone, which publishes at most maxListings rows of the mapping table.
func NewSharer(node *replication.Node, zone string, maxListings int) *Sharer {
	return &Sharer{
		node:         node,
		zone:         zone,
		maxListings:  maxListings,
		listedUp:     map[string]routing.Endpoint{},
		complainedOf: map[string]bool{},
		peerPurges:   map[string]time.Duration{},
	}
}

// incarnationMs is an incarnation as all gateways write it: their clocks differ by some microseconds.
func incarnationMs(incarnation time.Duration) int64 {
	return incarnation.Round(time.Millisecond).Milliseconds()
}

// translate gives a time of one clock, which shows from, on another, which shows to. A time to come counts as now.
func translate(t, from, to time.Duration) time.Duration { return to - max(0, from-t) }

// listingKey is the replicated key of an object's listing.
func (s *Sharer) listingKey(object uint64) string {
	return s.zone + "/" + strconv.FormatUint(object, 16)
}

// objectOf is the object of a replicated listing; false if it is none of this zone.
func (s *Sharer) objectOf(listingKey string) (uint64, bool) {
	zone, object, ok := strings.Cut(listingKey, "/")
	if !ok || zone != s.zone {
		return 0, false
	}
	key, err := strconv.ParseUint(object, 16, 64)
	return key, err == nil
}

// samePurgeWithin is the time by which two notices of one purge differ at most, nearly always. What is purged again within
// it is not published again, but covered by [Sharer.PurgeAge].
const samePurgeWithin = 100 * time.Millisecond

// PurgeAge records a purge of another gateway, and returns the age with which the director is to take it in. now and made are on
// the replication's clock, directorTime is the director's clock now. The purge is taken for samePurgeWithin younger than it is,
// so that it covers what was purged again within that time.
func (s *Sharer) PurgeAge(now, directorTime time.Duration, name string, made time.Duration) (age time.Duration) {
	age = max(0, now-made-samePurgeWithin)
	s.peerPurges[name] = max(s.peerPurges[name], directorTime-age)
	return age
}

// Bounds of what operators may have forgotten, in bytes.
const (
	maxForgetKey    = 100
	maxForgetReason = 200
)

// ParseForget returns the replicated key and value that make all gateways forget a slot. The error names the argument that is
// faulty.
func ParseForget(kind, key, why string) (tombstone string, value []byte, err error) {
	k, ok := replication.ParseKind(kind)
	switch {
	case !ok || k == replication.Tombstone:
		return "", nil, fmt.Errorf("kind: %q is none that can be forgotten", kind)
	case k < replication.FirstBulk:
		return "", nil, fmt.Errorf("kind: %q is a matter of safety, and goes by itself once it has settled", kind)
	case key == "" || len(key) > maxForgetKey:
		return "", nil, fmt.Errorf("key: %d characters, 1 to %d are allowed", len(key), maxForgetKey)
	case len(why) > maxForgetReason:
		return "", nil, fmt.Errorf("why: %d characters, %d are allowed", len(why), maxForgetReason)
	}
	return replication.TombstoneKey(k, key), replication.Encode(why), nil
}

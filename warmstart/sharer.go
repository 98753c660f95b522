package warmstart

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"larchusher/replication"
	"larchusher/routing"
)

// Sharer publishes the learned state of a gateway's director as replicated slots, and converts the slots of other
// gateways into learned state. Create it with [NewSharer]. It is not safe for concurrent use.
//
// The director and the replication node have different clocks. Times are converted from one to the other by their age.
type Sharer struct {
	Published   int // number of slots published so far
	PeerDrained int // number of endpoints in the latest result of [Sharer.PeerDrainedEndpoints]

	node           *replication.Node
	zone           string
	maxListings    int
	listedUp       map[string]routing.Endpoint // by id: endpoints that were up in the endpoint list at the latest Publish
	reportedFaulty map[string]bool             // by id: endpoints that were published as faulty and not yet as recovered
	peerPurges     map[string]time.Duration    // by name: time of the latest purge received from another gateway, on the director's clock
}

// NewSharer returns a Sharer for the director of a zone. It considers only the maxListings listings with the most
// requests for publication.
func NewSharer(node *replication.Node, zone string, maxListings int) *Sharer {
	return &Sharer{
		node:           node,
		zone:           zone,
		maxListings:    maxListings,
		listedUp:       map[string]routing.Endpoint{},
		reportedFaulty: map[string]bool{},
		peerPurges:     map[string]time.Duration{},
	}
}

// incarnationMs returns an incarnation (the start time of an endpoint) in ms. Gateways compute start times that differ
// by some microseconds; rounding makes them comparable.
func incarnationMs(incarnation time.Duration) int64 {
	return incarnation.Round(time.Millisecond).Milliseconds()
}

// translateTime converts the time t from one clock, which now shows from, to another clock, which now shows to. A time
// in the future is converted to now.
func translateTime(t, from, to time.Duration) time.Duration { return to - max(0, from-t) }

// listingKey returns the replicated key of the listing of an object in this zone.
func (s *Sharer) listingKey(object uint64) string {
	return s.zone + "/" + strconv.FormatUint(object, 16)
}

// objectOf returns the object of a replicated listing, or false if the key is malformed or belongs to another zone.
func (s *Sharer) objectOf(listingKey string) (uint64, bool) {
	zone, object, ok := strings.Cut(listingKey, "/")
	if !ok || zone != s.zone {
		return 0, false
	}
	key, err := strconv.ParseUint(object, 16, 64)
	return key, err == nil
}

// purgeTimeTolerance is the maximum difference between the times at which two gateways observe the same purge; it is
// almost never exceeded. A further purge of the same name within this time is not published, but covered by
// [Sharer.PurgeAge].
const purgeTimeTolerance = 100 * time.Millisecond

// PurgeAge records a purge received from another gateway, and returns the age with which the director should apply it.
// now and purgedAt are on the replication node's clock; directorTime is the director's clock now. The age is reduced by
// purgeTimeTolerance, so that the purge also covers a further purge of the same name within that time.
func (s *Sharer) PurgeAge(now, directorTime time.Duration, name string, purgedAt time.Duration) (age time.Duration) {
	age = max(0, now-purgedAt-purgeTimeTolerance)
	s.peerPurges[name] = max(s.peerPurges[name], directorTime-age)
	return age
}

// Maximum lengths of the arguments of ParseForget, in bytes.
const (
	maxForgetKey    = 100
	maxForgetReason = 200
)

// ParseForget returns the key and the value of a Tombstone that makes all gateways forget the slots of a kind and key.
// kind is the name of a bulk kind, why the operator's reason. The error names the invalid argument.
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

package routing

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Messages between directors are text. "w1|zone" is a greeting, "w1|zone|cache|age,key;age,key;..." tells of listings that moved
// to a cache: the age of the move is in ms, the object's key in base 36, and zone an index into Settings.Zones.
const (
	gossipTag          = "w1"
	maxGossipBytes     = 256 // longest message
	maxGossipItemBytes = 32  // longest "age,key;"
)

var errMalformedGossip = errors.New("malformed gossip message")

// movedListing says that the listing of a key moved some time ago.
type movedListing struct {
	key uint64
	age time.Duration
}

// announcement is the head of each message; by itself it tells who serves which location.
func encodeGreeting(zone int) string { return gossipTag + "|" + strconv.Itoa(zone) }

// encodeMovedListings words moves to one cache in as few messages as hold them.
func encodeMovedListings(zone int, cache string, moves []movedListing) (msgs []string) {
	head := encodeGreeting(zone) + "|" + cache + "|"
	msg := head
	for _, m := range moves {
		if len(msg)+maxGossipItemBytes > maxGossipBytes && msg != head {
			msgs, msg = append(msgs, msg), head
		}
		msg += strconv.FormatInt(m.age.Milliseconds(), 10) + "," + strconv.FormatUint(m.key, 36) + ";"
	}
	return append(msgs, msg)
}

// encodePendingMoves words moved listings, cache by cache in order of id.
func encodePendingMoves(now time.Duration, zone int, moves []*mappingEntry) (msgs []string) {
	byCache := map[string][]movedListing{}
	for _, e := range moves {
		byCache[e.cache.id] = append(byCache[e.cache.id], movedListing{e.key, now - e.movedAt})
	}
	for _, id := range slices.Sorted(maps.Keys(byCache)) {
		msgs = append(msgs, encodeMovedListings(zone, id, byCache[id])...)
	}
	return msgs
}

// decodeGossip reads a message as a whole or not at all; its errors wrap errMalformedGossip. A greeting has no cache.
func decodeGossip(data string) (zone int, cache string, moves []movedListing, err error) {
	parts := strings.Split(data, "|")
	isGreeting := len(parts) == 2
	if len(data) > maxGossipBytes || !isGreeting && len(parts) != 4 || parts[0] != gossipTag {
		return 0, "", nil, errMalformedGossip
	}
	zone, err = strconv.Atoi(parts[1])
	if err != nil {
		return 0, "", nil, fmt.Errorf("%w: zone: %w", errMalformedGossip, err)
	}
	if isGreeting {
		return zone, "", nil, nil
	}
	cache = parts[2]
	if cache == "" {
		return 0, "", nil, fmt.Errorf("%w: no cache", errMalformedGossip)
	}
	for item := range strings.SplitSeq(strings.TrimSuffix(parts[3], ";"), ";") {
		move, err := decodeMove(item)
		if err != nil {
			return 0, "", nil, fmt.Errorf("%w: %w", errMalformedGossip, err)
		}
		moves = append(moves, move)
	}
	return zone, cache, moves, nil
}

// decodeMove reads "age,key".
func decodeMove(item string) (movedListing, error) {
	age, key, _ := strings.Cut(item, ",")
	ms, err := strconv.ParseUint(age, 10, 31)
	if err != nil {
		return movedListing{}, fmt.Errorf("age of a move: %w", err)
	}
	k, err := strconv.ParseUint(key, 36, 64)
	if err != nil {
		return movedListing{}, fmt.Errorf("key of a move: %w", err)
	}
	return movedListing{k, time.Duration(ms) * time.Millisecond}, nil
}

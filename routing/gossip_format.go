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

// Messages between directors are text. "w1|zone" is a greeting; "w1|zone|cache|age,key;age,key;..."
// lists moves of listings to a cache: the age of the move is in ms, the object's key in base 36,
// and zone an index into Settings.Zones.
const (
	gossipTag          = "w1"
	maxGossipBytes     = 256 // maximum length of a message
	maxGossipItemBytes = 32  // maximum length of "age,key;"
)

var errMalformedGossip = errors.New("malformed gossip message")

// movedListing is the listing of a key with the time since it moved.
type movedListing struct {
	key uint64
	age time.Duration
}

// encodeGreeting returns a greeting, which is also the head of every other message. It tells the
// receiver which location the sender serves.
func encodeGreeting(zone int) string { return gossipTag + "|" + strconv.Itoa(zone) }

// encodeMovedListings encodes moves to one cache in as few messages as possible.
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

// encodePendingMoves encodes moved listings, cache by cache in order of id.
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

// decodeGossip decodes a message completely or not at all; its errors wrap errMalformedGossip. A
// greeting has an empty cache.
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
		return 0, "", nil, fmt.Errorf("%w: cache name is empty", errMalformedGossip)
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

// decodeMove decodes "age,key".
func decodeMove(item string) (movedListing, error) {
	age, key, _ := strings.Cut(item, ",")
	ms, err := strconv.ParseUint(age, 10, 31)
	if err != nil {
		return movedListing{}, fmt.Errorf("age of a moved listing: %w", err)
	}
	k, err := strconv.ParseUint(key, 36, 64)
	if err != nil {
		return movedListing{}, fmt.Errorf("key of a moved listing: %w", err)
	}
	return movedListing{k, time.Duration(ms) * time.Millisecond}, nil
}

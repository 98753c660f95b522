package routing

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The form of the messages between directors: "w1|zone" greets, and
// "w1|zone|cache|age in ms,key;age,key;..." tells of moved listings.
const (
	gossipTag          = "w1"
	maxGossipBytes     = 256 // longest message
	maxGossipItemBytes = 32  // longest item of one
)

var errMalformedGossip = errors.New("hint: malformed")

// movedListing says that a listing moved some time ago.
type movedListing struct {
	key uint64
	age time.Duration
}

// greeting opens each message, and alone tells who serves which location.
func greeting(zone int) string { return gossipTag + "|" + strconv.Itoa(zone) }

// encodeMovedListings gives as few messages as hold the tips.
func encodeMovedListings(zone int, cache string, tips []movedListing) (msgs []string) {
	head := greeting(zone) + "|" + cache + "|"
	msg := head
	for _, t := range tips {
		if len(msg)+maxGossipItemBytes > maxGossipBytes && msg != head {
			msgs, msg = append(msgs, msg), head
		}
		msg += strconv.FormatInt(t.age.Milliseconds(), 10) + "," + strconv.FormatUint(t.key, 36) + ";"
	}
	return append(msgs, msg)
}

// encodePendingMoves words moved listings, cache by cache.
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

// decodeGossip reads a message whole or not at all. A greeting has no cache.
func decodeGossip(data string) (zone int, cache string, tips []movedListing, err error) {
	f := strings.Split(data, "|")
	if len(data) > maxGossipBytes || len(f) != 2 && len(f) != 4 || f[0] != gossipTag {
		return 0, "", nil, errMalformedGossip
	}
	if zone, err = strconv.Atoi(f[1]); err != nil || len(f) == 2 {
		return zone, "", nil, err
	}
	for item := range strings.SplitSeq(strings.TrimSuffix(f[3], ";"), ";") {
		age, key, _ := strings.Cut(item, ",")
		ms, err1 := strconv.ParseUint(age, 10, 31)
		k, err2 := strconv.ParseUint(key, 36, 64)
		if err := errors.Join(err1, err2); err != nil || f[2] == "" {
			return 0, "", nil, errMalformedGossip
		}
		tips = append(tips, movedListing{k, time.Duration(ms) * time.Millisecond})
	}
	return zone, f[2], tips, nil
}

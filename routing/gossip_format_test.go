package routing

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestMovedListingsRoundTrip(t *testing.T) {
	var moves []movedListing
	for i := range 40 {
		moves = append(moves, movedListing{key: mix(uint64(i)), age: time.Duration(i) * time.Millisecond})
	}
	msgs := encodeMovedListings(3, "c1", moves)
	var got []movedListing
	for _, m := range msgs {
		if len(m) > maxGossipBytes {
			t.Errorf("message of %d bytes is longer than maxGossipBytes", len(m))
		}
		zone, cache, decoded, err := decodeGossip(m)
		if err != nil || zone != 3 || cache != "c1" {
			t.Fatalf("%q: zone %d, cache %q, error %v, want zone 3, cache \"c1\" and no error", m, zone, cache, err)
		}
		got = append(got, decoded...)
	}
	if len(msgs) < 2 || !reflect.DeepEqual(got, moves) {
		t.Errorf("%d messages, decoded %v, want at least two messages and %v", len(msgs), got, moves)
	}
}

func TestDecodeGossipRejectsMalformedMessages(t *testing.T) {
	good := encodeMovedListings(1, "c1", []movedListing{{key: 7, age: time.Millisecond}})[0]
	for _, data := range []string{"", "w1", "w2|1", "w1|x", "w1|1|c1", "w1|1||1,7;", good + ";", good + "x,7;", good + "1,!;",
		good + "-1,7;", "w1|1|c1|", good + "|", strings.Repeat("w", maxGossipBytes+1)} {
		if _, _, moves, err := decodeGossip(data); err == nil || moves != nil {
			t.Errorf("malformed message %q was decoded as %v", data, moves)
		}
	}
	if zone, cache, _, err := decodeGossip(encodeGreeting(4)); err != nil || zone != 4 || cache != "" {
		t.Errorf("greeting: zone %d, cache %q, error %v, want zone 4, an empty cache and no error", zone, cache, err)
	}
}

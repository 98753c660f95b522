package msgpackrpc

import (
	"testing"
	"time"

	"larchusher/gateway"
)

// newBufferingConn returns a connection of a front that buffers up to maxBytes.
func newBufferingConn(maxBytes int64) *conn {
	f := &Front{loop: gateway.NewLoop(), startedAt: time.Now()}
	f.BufferRequests(maxBytes)
	return &conn{front: f}
}

// addChunk buffers n bytes if there is room for them.
func (c *conn) addChunk(n int) bool {
	if !c.reserveBuffer(n) {
		return false
	}
	c.bufferedChunks = append(c.bufferedChunks, bufferedChunk{size: n, at: time.Now()})
	c.buf = append(c.buf, make([]byte, n)...)
	return true
}

// Each of the three limits of buffered input must hold by itself, and bytes must be returned when the input is released.
func TestBufferedInputIsBounded(t *testing.T) {
	const noTotal = 1 << 40
	c := newBufferingConn(noTotal)
	if c.buf = make([]byte, 1000); c.addChunk(maxBufferedBytes) {
		t.Error("a chunk of the limit was buffered behind an incomplete message, want it to count")
	}
	if !c.addChunk(maxBufferedBytes-1000) || c.addChunk(1) {
		t.Error("want exactly the bytes that the incomplete message leaves to be buffered")
	}
	c = newBufferingConn(noTotal)
	for i := range maxBufferedChunks {
		if !c.addChunk(1) {
			t.Fatalf("chunk %d was not buffered, want %d", i, maxBufferedChunks)
		}
	}
	if c.addChunk(1) {
		t.Errorf("more than %d chunks were buffered", maxBufferedChunks)
	}
	c = newBufferingConn(3000)
	other := &conn{front: c.front}
	if !c.addChunk(2000) || other.addChunk(1001) || !other.addChunk(1000) {
		t.Error("two connections did not share 3000 bytes")
	}
	c.releaseBuffer()
	if n := c.front.bufferedBytes.Load(); n != 1000 || !other.addChunk(2000) {
		t.Errorf("%d bytes are buffered after one connection released its 2000 of 3000; want 1000, and room for 2000", n)
	}
}

// Input must wait for maxWait, and a request for a quarter of its time limit, whichever is shorter.
func TestBufferedRequestWaitsForShareOfItsLimit(t *testing.T) {
	for _, k := range []struct {
		limit     string
		age, wait time.Duration
		want      bool
	}{
		{"5000", 40 * time.Millisecond, 50 * time.Millisecond, false},
		{"5000", 60 * time.Millisecond, 50 * time.Millisecond, true},
		{"100", 20 * time.Millisecond, 50 * time.Millisecond, false},
		{"100", 30 * time.Millisecond, 50 * time.Millisecond, true},
		{"800", 190 * time.Millisecond, 400 * time.Millisecond, false},
		{"800", 210 * time.Millisecond, 400 * time.Millisecond, true},
		{"0", time.Millisecond, 50 * time.Millisecond, true},
		{"none", 40 * time.Millisecond, 50 * time.Millisecond, false},
		{"", 40 * time.Millisecond, 50 * time.Millisecond, false},
	} {
		c := newBufferingConn(1 << 20)
		arrivedAt := c.front.loop.Now().Add(-k.age)
		c.front.startedAt = arrivedAt.Add(-time.Hour)
		c.bufferTimes.since.Store(int64(arrivedAt.Sub(c.front.startedAt)))
		c.limitWait(&message{fields: requestFields{timeLimit: []byte(k.limit)}}, arrivedAt)
		if got := c.waitedFor(k.wait); got != k.want {
			t.Errorf("request with limit %q, buffered for %v of at most %v: done waiting %v, want %v", k.limit, k.age, k.wait, got, k.want)
		}
	}
	c := newBufferingConn(1 << 20)
	if c.waitedFor(0) {
		t.Error("a connection without buffered input is done waiting")
	}
}

// Of several buffered requests the one that can wait least must determine the wait.
func TestShortestLimitDeterminesWait(t *testing.T) {
	c := newBufferingConn(1 << 20)
	now := c.front.loop.Now()
	c.front.startedAt = now.Add(-time.Hour)
	for _, limit := range []string{"4000", "100", "4000"} {
		c.limitWait(&message{fields: requestFields{timeLimit: []byte(limit)}}, now.Add(-30*time.Millisecond))
	}
	if !c.waitedFor(time.Hour) {
		t.Error("a request with a limit of 100 ms waits on after 30 ms, want its share of 25 ms to end the wait")
	}
}

package transport

import (
	"testing"
	"time"
)

// Guards against closing a client that has just sent its first request, to free a slot, while there are connections that their peers have
// closed, which the poller has not noticed.
func TestSlotIsTakenFromClosedConnectionFirst(t *testing.T) {
	tracker := NewConnTracker(100)
	busy := func() bool { return true }
	idle := func() bool { return false }
	now := time.Now()
	_, inUse, _, _ := newConnPair(t, 0)
	n := tracker.Add(inUse, now.Add(-50*time.Millisecond), idle)
	n.Received(now.Add(-50*time.Millisecond), 1, false)
	engine, gone, peer, _ := newConnPair(t, 0)
	tracker.Add(gone, now, busy).Received(now, 1, false)
	defer blockPoller(engine)()
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the kernel has seen the close", gone.PeerClosed)
	tracker.EvictIdle(now)
	if inUse.Closing() || tracker.Closed.Evicted > 0 {
		t.Error("the connection in use was evicted, want the one that its peer has closed")
	}
	if len(tracker.all) != 1 {
		t.Errorf("%d connections are tracked, want 1", len(tracker.all))
	}
	tracker.EvictIdle(now)
	if !inUse.Closing() || tracker.Closed.Evicted != 1 {
		t.Error("the connection in use was not evicted though no other one is left")
	}
}

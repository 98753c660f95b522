package gateway

import (
	"testing"
	"time"
)

// While timers are held after a stall, until what came meanwhile has been read, no request begins: its client may have
// left, and the word of that lies in the sockets.
func TestNothingBeginsWhileTimersAreHeld(t *testing.T) {
	l := NewLoop()
	began, ran := 0, false
	l.runQueued = func() bool { began++; return false }
	l.onLateTimer = func(time.Duration) bool {
		go l.Post(func() {
			if began > 0 {
				t.Error("low work was done before what was read had come")
			}
			l.releaseTimers()
		})
		return true
	}
	l.After(-time.Second, func() { ran = true; l.Close() })
	l.Run()
	if !ran {
		t.Error("the timer never ran")
	}
}

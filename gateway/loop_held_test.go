package gateway

import (
	"testing"
	"time"
)

// While timers are held after a stall, until what came meanwhile has been read, no request begins: its client may have
// left, and the word of that lies in the sockets.
func TestNoQueuedWorkStartsWhileTimersAreHeld(t *testing.T) {
	l := NewLoop()
	started, ran := 0, false
	l.runQueued = func() bool { started++; return false }
	l.onLateTimer = func(time.Duration) bool {
		go l.Post(func() {
			if started > 0 {
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

// A pause may come in the middle of a round. The timers that were due behind it ran before anything knew of the pause, and before
// what had come meanwhile was read: endpoints that had answered were taken for silent.
func TestPauseWithinRoundIsDetected(t *testing.T) {
	const pause = 3 * lateTimerThreshold
	for name, schedule := range map[string]func(*Loop, func()){
		"in what was posted": func(l *Loop, sleep func()) { l.Post(sleep) },
		"in a timer":         func(l *Loop, sleep func()) { l.After(0, sleep) },
		"in queued work": func(l *Loop, sleep func()) {
			l.runQueued = func() bool { sleep(); l.runQueued = nil; return false }
		},
	} {
		l := NewLoop()
		paused, detected, released := false, false, false
		schedule(l, func() { paused = true; time.Sleep(pause) })
		l.onLateTimer = func(time.Duration) bool {
			if !paused || detected {
				return false
			}
			detected = true
			go l.Post(func() { released = true; l.releaseTimers() })
			return true
		}
		l.After(10*time.Millisecond, func() {
			if !detected || !released {
				t.Errorf("%s: a late timer ran: asked %v, released %v", name, detected, released)
			}
			l.Close()
		})
		l.Run()
	}
}

// Queued work that was begun after a pause in the same round would be a request whose client may have left meanwhile.
func TestNoQueuedWorkStartsAfterPauseWithinRound(t *testing.T) {
	l := NewLoop()
	started, detected := 0, false
	l.runQueued = func() bool {
		if started++; started == 1 {
			time.Sleep(3 * lateTimerThreshold)
		} else if !detected {
			t.Error("queued work began before anything knew of the pause")
		}
		if started == 2 {
			l.Close()
		}
		return true
	}
	l.onLateTimer = func(time.Duration) bool {
		detected = true
		go l.Post(l.releaseTimers)
		return true
	}
	l.After(10*time.Millisecond, func() {})
	l.Run()
}

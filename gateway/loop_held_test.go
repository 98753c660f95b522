package gateway

import (
	"testing"
	"time"
)

// While timers are held after a pause, until everything that arrived meanwhile has been read, no
// queued request starts: its client may have left, and the notice of that may still be unread in a
// socket.
func TestNoQueuedWorkStartsWhileTimersAreHeld(t *testing.T) {
	l := NewLoop()
	started, ran := 0, false
	l.runQueued = func() bool { started++; return false }
	l.onLateTimer = func(time.Duration) bool {
		go l.Post(func() {
			if started > 0 {
				t.Error("queued work ran before the read barrier had passed")
			}
			l.releaseTimers()
		})
		return true
	}
	l.After(-time.Second, func() { ran = true; l.Close() })
	l.Run()
	if !ran {
		t.Error("the timer did not run after the hold")
	}
}

// A pause may occur in the middle of a round. Guards against timers that were due after it and ran
// before the pause was detected and before everything that had arrived meanwhile was read:
// endpoints that had answered then counted as silent.
func TestPauseWithinRoundIsDetected(t *testing.T) {
	const pause = 3 * lateTimerThreshold
	for name, schedule := range map[string]func(*Loop, func()){
		"in a posted function": func(l *Loop, sleep func()) { l.Post(sleep) },
		"in a timer":           func(l *Loop, sleep func()) { l.After(0, sleep) },
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
				t.Errorf("pause %s: a late timer ran; pause detected %v, timers released %v", name, detected, released)
			}
			l.Close()
		})
		l.Run()
	}
}

// Queued work must not start after a pause in the same round, since it may be a request whose
// client left during the pause.
func TestNoQueuedWorkStartsAfterPauseWithinRound(t *testing.T) {
	l := NewLoop()
	started, detected := 0, false
	l.runQueued = func() bool {
		if started++; started == 1 {
			time.Sleep(3 * lateTimerThreshold)
		} else if !detected {
			t.Error("queued work ran before the pause was detected")
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

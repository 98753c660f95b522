package transport

import (
	"testing"
	"time"
)

// Guards against a loop that is given more and more to do by new connections while it is late: only so many may wait to be
// registered, and all must be in the end. A loop that has ended must not hold up the listener.
func TestOpeningLimitWaitsForLoop(t *testing.T) {
	limit, posted := NewOpeningLimit(), make(chan func(), 10*maxOpening)
	post := func(f func()) bool { posted <- f; return true }
	registered := 0
	done := make(chan bool)
	go func() {
		for range 2 * maxOpening {
			limit.Register(post, func() { registered++ })
		}
		close(done)
	}()
	time.Sleep(50 * time.Millisecond)
	if n := len(posted); n != maxOpening {
		t.Errorf("%d connections wait to be registered, want %d", n, maxOpening)
	}
	for range 2 * maxOpening {
		(<-posted)()
	}
	<-done
	if registered != 2*maxOpening {
		t.Errorf("%d connections were registered, want %d", registered, 2*maxOpening)
	}
	for range 2 * maxOpening {
		limit.Register(func(func()) bool { return false }, nil)
	}
}

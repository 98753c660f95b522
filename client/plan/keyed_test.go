package plan

import (
	"testing"
	"time"
)

// keyedCall starts a call of class keyed, whose window is 3 s, on a network whose gateways accept connections, and returns its first
// attempt.
func keyedCall(t *testing.T) (*fakeNetwork, Send) {
	t.Helper()
	net := newFakeNetwork(t, testConfig(), 4)
	net.handle(Call{ID: 1, Class: "keyed", Deadline: 10 * time.Second})
	net.advance(10*ms, nil)
	return net, net.onlyAttempt(t)
}

// onlyAttempt returns the attempt that is in flight, and fails the test unless it is one.
func (net *fakeNetwork) onlyAttempt(t *testing.T) Send {
	t.Helper()
	all := net.inFlight()
	if len(all) != 1 {
		t.Fatalf("%d attempts in flight at %v, want 1", len(all), net.now)
	}
	return all[0]
}

// Guards against the ending "refused", after which a caller may come back at any time, of a call of which an earlier attempt may have
// run: the later attempt is refused with a Retry-After that ends behind the window, or is the last one allowed. The call must end at
// once then. If no attempt may have run, it ends as refused.
func TestCallThatMayHaveRunDoesNotEndAsRefused(t *testing.T) {
	const fails, loses, refuses = "fails", "loses the connection", "refuses"
	for _, c := range []struct {
		first      string
		retryAfter time.Duration // of each rejection, by all gateways
		want       Ending
		endsBy     time.Duration
	}{
		{fails, 4 * time.Second, Failed, time.Second},
		{loses, 4 * time.Second, Unknown, 3 * time.Second}, // reconnects are spread over 2 s
		{refuses, 4 * time.Second, Refused, 10 * time.Second},
		{fails, ms, Failed, time.Second},
		{loses, ms, Unknown, 3 * time.Second},
		{refuses, ms, Refused, time.Second},
	} {
		net, s := keyedCall(t)
		net.p.retryBudget.tokens = 10
		switch c.first {
		case fails:
			net.answer(s.Conn, s.Attempt, false, false, 0)
		case loses:
			net.closeConn(s.Conn, false)
		case refuses:
			net.answer(s.Conn, s.Attempt, false, true, c.retryAfter)
		}
		net.advance(11*time.Second, func() {
			for _, again := range net.inFlight() {
				net.answer(again.Conn, again.Attempt, false, true, c.retryAfter)
			}
		})
		if call := net.calls[1]; !call.ended || call.ending != c.want || call.attempts < 2 || call.endedAt > c.endsBy {
			t.Errorf("first attempt %s, the others are refused with Retry-After %v: ended as %v after %d attempts at %v; want %v by %v, with a retry",
				c.first, c.retryAfter, call.ending, call.attempts, call.endedAt, c.want, c.endsBy)
		}
	}
}

// Guards against a repeat that a gateway holds for so long that stores don't drop it any more: the limit of the repeat ends with the
// window, counted from the first attempt, and so does the call if the gateway does not answer.
func TestLimitOfKeyedRepeatEndsWithWindow(t *testing.T) {
	net, first := keyedCall(t)
	sentAt := net.conns[first.Conn].sentAt[first.Attempt]
	if first.Limit < 9*time.Second {
		t.Errorf("the first attempt has a limit of %v, want nearly that of the call, 10s", first.Limit)
	}
	net.advance(time.Second, nil)
	net.answer(first.Conn, first.Attempt, false, false, 0)
	net.advance(ms, nil)
	again := net.onlyAttempt(t)
	if end := net.conns[again.Conn].sentAt[again.Attempt] + again.Limit; end > sentAt+3*time.Second || end < sentAt+2900*ms {
		t.Errorf("the limit of the repeat ends %v after the first attempt, want just before the end of the window, 3s", end-sentAt)
	}
	net.advance(10*time.Second, func() {
		for id := range net.conns {
			net.handle(Received{Conn: id, Healthy: true}) // the gateway answers health checks, and not the attempt
		}
	})
	if c := net.calls[1]; !c.ended || c.ending != Failed || c.endedAt > sentAt+3*time.Second {
		t.Errorf("the call ended as %v at %v, want failed, as the first attempt, by the end of the window, %v", c.ending, c.endedAt, sentAt+3*time.Second)
	}
}

// Guards against a call that waits behind its window for something that can't help it any more: it must end with the window.
func TestWaitingKeyedCallEndsWithWindow(t *testing.T) {
	net, s := keyedCall(t)
	for _, g := range net.p.gateways {
		g.ejected, g.healthCheckAt = true, never
	}
	net.answer(s.Conn, s.Attempt, false, false, 0)
	net.advance(10*time.Second, nil)
	if c := net.calls[1]; !c.ended || c.ending != Failed || c.endedAt > 3*time.Second {
		t.Errorf("the call ended as %v at %v, want failed by the end of the window, 3s", c.ending, c.endedAt)
	}
}

// Guards against the ending "unknown" of a call that has not run: a gateway falls silent with the attempt, and refuses it later, after
// the call was sent again and refused elsewhere.
func TestCallRefusedLateHasNotRun(t *testing.T) {
	for _, class := range []string{"keyed", "unsafe"} {
		cfg := testConfig()
		cfg.Retries, cfg.Silence, cfg.Spread = 1, 200*ms, ms
		net := newFakeNetwork(t, cfg, 4)
		net.handle(Call{ID: 1, Class: class, Deadline: 10 * time.Second})
		net.advance(time.Second, nil) // the gateway does not answer and is ejected
		all := net.inFlight()
		if wanted := map[string]int{"keyed": 2, "unsafe": 1}[class]; len(all) != wanted {
			t.Fatalf("class %s: %d attempts in flight, want %d", class, len(all), wanted)
		}
		net.advance(10*time.Second, func() {
			for _, s := range net.inFlight() {
				net.answer(s.Conn, s.Attempt, false, true, 9*time.Second)
			}
		})
		if c := net.calls[1]; !c.ended || c.ending != Refused {
			t.Errorf("class %s: ended %v as %v, want refused", class, c.ended, c.ending)
		}
	}
}

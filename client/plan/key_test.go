package plan

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a second run when a caller repeats a call with the same key: the window counts from the first attempt of all calls with
// the key. A call that follows one that may have run, also one that is still open, must neither be sent behind the window nor end as
// refused or unsent. Behind the window, and if nothing has run, the key is like a new one.
func TestCallsWithOneKeyShareItsWindow(t *testing.T) {
	const served, failed, refused, open = "served", "failed", "refused", "open"
	for _, c := range []struct {
		former  string
		after   time.Duration // from the former call's first attempt to the call
		limited bool
	}{
		{served, time.Second, true}, {failed, time.Second, true}, {open, time.Second, true}, {refused, time.Second, false},
		{served, 3100 * ms, false}, {failed, 3100 * ms, false}, {refused, 3100 * ms, false},
	} {
		t.Run(fmt.Sprintf("%s, %v", c.former, c.after), func(t *testing.T) {
			cfg := testConfig()
			cfg.Retries = -1
			net := newFakeNetwork(t, cfg, 4)
			net.handle(Call{ID: 1, Class: "keyed", Key: "k", Deadline: time.Minute})
			net.advance(10*ms, nil)
			first := net.onlyAttempt(t)
			sentAt := net.conns[first.Conn].sentAt[first.Attempt]
			if c.former != open {
				net.answer(first.Conn, first.Attempt, c.former == served, c.former == refused, 0)
			}
			net.advance(sentAt+c.after-net.now, nil)
			net.handle(Call{ID: 2, Class: "keyed", Key: "k", Deadline: time.Minute})
			net.advance(ms, nil)
			all := net.inFlight()
			again := all[len(all)-1]
			end := net.conns[again.Conn].sentAt[again.Attempt] + again.Limit
			if limited := end <= sentAt+3*time.Second; again.Call != 2 || limited != c.limited {
				t.Errorf("the limit of call %d ends %v after the first attempt, want within the window of 3s: %v", again.Call, end-sentAt, c.limited)
			}
			net.answer(again.Conn, again.Attempt, false, true, ms)
			if want := map[bool]Ending{true: Unknown, false: Refused}[c.limited]; net.calls[2].ending != want {
				t.Errorf("the second call, refused, ended as %v, want %v", net.calls[2].ending, want)
			}
		})
	}
}

// Guards against a call with a key that may have run which is sent behind the window, as it has waited since, or ends as unsent.
func TestCallWithKeyThatMayHaveRunEndsWithWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Retries = -1
	net := newFakeNetwork(t, cfg, 4)
	net.handle(Call{ID: 1, Class: "keyed", Key: "k", Deadline: time.Minute})
	net.advance(10*ms, nil)
	net.closeConn(net.onlyAttempt(t).Conn, false)
	for _, g := range net.p.gateways {
		g.ejected, g.healthCheckAt = true, never
	}
	net.handle(Call{ID: 2, Class: "keyed", Key: "k", Deadline: time.Minute})
	net.advance(10*time.Second, nil)
	if c := net.calls[2]; !c.ended || c.ending != Unknown || c.endedAt > 3*time.Second || c.attempts > 0 {
		t.Errorf("the call ended as %v at %v after %d attempts, want unknown with the window of the key", c.ending, c.endedAt, c.attempts)
	}
}

// Guards against keys that are remembered for ever.
func TestKeysAreForgottenWithTheirWindow(t *testing.T) {
	net := newFakeNetwork(t, testConfig(), 4)
	id := uint64(0)
	net.advance(10*time.Second, func() {
		id++
		net.handle(Call{ID: id, Class: "keyed", Key: fmt.Sprint(id), Deadline: net.now + time.Second})
		for _, s := range net.inFlight() {
			net.answer(s.Conn, s.Attempt, true, false, 0)
		}
	})
	if n := len(net.p.keys.byName); n > 3100 {
		t.Errorf("%d keys are remembered of 1,000 a second with a window of 3 s, want about 3,000", n)
	}
	net.advance(4*time.Second, nil)
	net.handle(Call{ID: id + 1, Class: "keyed", Key: "last", Deadline: net.now + time.Second})
	if n, m := len(net.p.keys.byName), len(net.p.keys.ended); n != 1 || m != 0 {
		t.Errorf("%d keys and %d ended ones are remembered, want that of the open call", n, m)
	}
}

package test

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"larchusher/lab/loopback"
	"larchusher/lab/testbed"
)

// settingsWithTrades returns the usual settings with a further class, trades, whose requests may run only once.
func settingsWithTrades() json.RawMessage {
	const trades = `{"name":"trades","aimMs":600,"hardLimitMs":3000,"effect":"once","dedupScope":"all","repeatWindowMs":3000,"value":3}`
	return json.RawMessage(strings.NewReplacer(
		`"value":3}],`, `"value":3},`+trades+`],`,
		`"neverKept":[false,false,true]`, `"neverKept":[false,false,true,true]`,
		`"inPieces":[true,false,false]`, `"inPieces":[true,false,false,false]`).Replace(testbed.Settings))
}

// Guards against a request that runs twice because its client left and its id comes again on another connection, in a class of
// each effect: one that may run once must fail then, and one with a key may be repeated while the stores drop repeats.
func TestIDOfDepartedClientDoesNotRunAgain(t *testing.T) {
	for _, c := range []struct {
		class    string
		fields   []string
		answered bool // the first request is answered before its client leaves
		runs     int
		err      string
	}{
		{"trades", nil, false, 1, "Lost"},
		{"trades", nil, true, 1, "Lost"},
		{"orders", []string{"unique", "key-1"}, false, 2, ""},
		{"films", nil, false, 2, ""},
	} {
		t.Run(c.class, func(t *testing.T) {
			r := newRig(t)
			r.config["settings"] = settingsWithTrades()
			r.start()
			pending := make(chan *storeRequest, 10)
			r.setHandler(func(a *storeRequest) { pending <- a })
			first, second := r.client(), r.client()
			first.send(c.class, object, 3*time.Second, "", c.fields...)
			a := receive(t, pending)
			if c.answered {
				serveHit(a)
				first.readAnswer()
			}
			loopback.Close(first.conn)
			if !c.answered {
				eventually(t, "the store is told that the client has left", func() bool { return slices.Contains(r.quits(), a.ID) })
			}
			r.setHandler(serveHit)
			second.txn = first.txn - 1
			second.send(c.class, object, 3*time.Second, "", c.fields...)
			if got := second.readAnswer(); got.err != c.err {
				t.Errorf("the id on another connection: answer %+v, want error %q", got, c.err)
			}
			if n := len(r.storeRequests("")); n != c.runs {
				t.Errorf("the stores received %d attempts, want %d", n, c.runs)
			}
		})
	}
}

// quits returns the ids that were canceled at any store.
func (r *rig) quits() (all []string) {
	for _, s := range r.stores {
		s.Lock()
		all = append(all, s.Quits...)
		s.Unlock()
	}
	return all
}

// Guards against work for an endpoint that is gone which reaches the process that has its address now: a connection that was
// begun to the former one and comes up only then must carry none of its requests.
func TestDialToReplacedEndpointCarriesNothing(t *testing.T) {
	var stalled []*stalledStore
	in := newInProcessGateway(t, func(r *rig) {
		for _, name := range []string{"c1", "c2"} {
			s := newStalledStore(t)
			stalled = append(stalled, s)
			r.stores[name].Addr = s.addr
		}
	})
	c := in.client()
	c.send("films", object, 5*time.Second, "")
	eventually(t, "a store is dialled", func() bool { return in.readOnLoop(func() uint64 { return in.pool.Counters.ConnectsStarted }) == 1 })
	in.runOnLoop(func() { // the processes at both addresses are others now, and the directors do not know yet
		in.pool.SetAddress("c8", stalled[0].addr, 1)
		in.pool.SetAddress("c9", stalled[1].addr, 1)
	})
	for _, s := range stalled {
		s.acceptConnections(t)
	}
	if a := c.readAnswer(); a.err == "" {
		t.Errorf("answer %+v, want an error: no cache is left", a)
	}
	if n := len(stalled[0].requests) + len(stalled[1].requests); n != 0 {
		t.Errorf("%d requests for the former stores were written to the processes at their addresses, want none", n)
	}
}

// Guards against attempts for a client that has left, in each way in which it can leave: nothing may be sent to a store after
// that, though the attempt that is out fails in a way that is retried, and requests that wait behind it are started.
func TestNoAttemptBeginsAfterClientLeft(t *testing.T) {
	tcp := func(c *client) *net.TCPConn { return c.conn.(*net.TCPConn) }
	for name, leave := range map[string]func(c *client){
		"close":      func(c *client) { loopback.Close(c.conn) },
		"reset":      func(c *client) { _ = tcp(c).SetLinger(0); loopback.Close(c.conn) },
		"half-close": func(c *client) { _ = tcp(c).CloseWrite() },
		"close with unread answers": func(c *client) {
			for i := range 20 {
				c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
			}
			time.Sleep(100 * time.Millisecond) // the answers come, and are not read
			loopback.Close(c.conn)
		},
		"close behind input that is not read yet": func(c *client) {
			var b []byte
			for i := range 2000 {
				b = append(b, c.encodeRequest("films", fmt.Sprintf("%016x", i), 5*time.Second, "")...)
			}
			_ = tcp(c).SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.conn.Write(b)
			loopback.Close(c.conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t).start()
			films := r.withholdFilms()
			c := r.client()
			c.send("films", object, 5*time.Second, "")
			a := receive(t, films)
			leave(c)
			eventually(t, "the store is told that the client has left", func() bool { return slices.Contains(r.quits(), a.ID) })
			time.Sleep(100 * time.Millisecond) // for attempts that were on their way
			before := len(r.storeRequests(""))
			for len(films) > 0 {
				(<-films).Reply("BROKE", "-", "")
			}
			a.Reply("BROKE", "-", "")
			time.Sleep(300 * time.Millisecond)
			if n := len(r.storeRequests("")) - before; n > 0 {
				t.Errorf("%d attempts began over 0.1 s after the client had left, want none", n)
			}
		})
	}
}

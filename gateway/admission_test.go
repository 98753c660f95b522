package gateway_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/overload"
	"larchusher/routing"
)

// host is a gateway with one cache and the origin, on a loop of its own.
type host struct {
	t       *testing.T
	loop    *gateway.Loop
	g       *gateway.Gateway
	sent    chan *gateway.Attempt
	answers chan gateway.Answer
}

func newHost(t *testing.T, cfg overload.Config) *host {
	h := &host{t: t, loop: gateway.NewLoop(), sent: make(chan *gateway.Attempt, 100), answers: make(chan gateway.Answer, 100)}
	var err error
	h.g, err = gateway.New(gateway.Config{Loop: h.loop, Backend: backend{h.sent}, Log: logrus.New(), Overload: cfg,
		Settings: routing.Settings{Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1,
			OriginKind: 1, ClockStep: time.Millisecond, AllowCoalescing: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1},
				{Name: "order", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	go h.loop.Run()
	t.Cleanup(h.loop.Close)
	h.on(func() {
		h.g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box"}, {ID: "o", Zone: "here", Kind: "origin"}}})
	})
	return h
}

// on runs f on the loop.
func (h *host) on(f func()) {
	done := make(chan bool)
	h.loop.Post(func() { f(); close(done) })
	<-done
}

func (h *host) request(ref, class string) *gateway.Request {
	return &gateway.Request{ID: ref, Class: class, Object: ref, Deadline: time.Now().Add(5 * time.Second),
		Answer: func(a gateway.Answer) { h.answers <- a }}
}

// What waited for its turn for too long is refused with when to come back, and no store sees it.
func TestWhoWaitsForTooLongIsRefused(t *testing.T) {
	h := newHost(t, overload.Config{MaxWait: 50 * time.Millisecond})
	old := h.request("old", "page")
	old.ArrivedAt = time.Now().Add(-time.Second)
	h.on(func() { h.g.Submit(old) })
	if a := <-h.answers; a.Outcome != gateway.OutcomeRejected || !a.Retryable || a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
		t.Errorf("%+v", a)
	}
	h.on(func() {
		if len(h.sent) > 0 || h.g.Load.QueueTimeouts != 1 || h.g.OpenRequests() != 0 {
			t.Errorf("%d were sent, %d overdue, %d open", len(h.sent), h.g.Load.QueueTimeouts, h.g.OpenRequests())
		}
	})
}

// Of what waits, answers of stores are taken in first, then requests by worth; a withdrawn one has left.
func TestOrderOfTheLoop(t *testing.T) {
	h := newHost(t, overload.Config{})
	h.on(func() { h.g.Submit(h.request("first", "page")) })
	first := <-h.sent
	page, order, gone := h.request("page", "page"), h.request("order", "order"), h.request("gone", "order")
	h.on(func() { // all of it waits while this runs
		h.g.Submit(page)
		h.g.Submit(gone)
		h.g.Submit(order)
		h.g.Abandon(gone)
		h.loop.Post(func() {
			if len(h.sent) > 0 {
				t.Error("new work goes before an answer that has come")
			}
			h.g.AttemptEnded(first, gateway.Result{Status: routing.OK, Body: []byte("x")})
		})
	})
	if a := <-h.answers; a.Outcome != gateway.OutcomeServed {
		t.Errorf("%+v", a)
	}
	if a, b := <-h.sent, <-h.sent; a.Request != order || b.Request != page {
		t.Errorf("%s went before %s", a.Request.ID, b.Request.ID)
	}
	h.on(func() {
		if len(h.sent) > 0 {
			t.Error("a withdrawn request was sent")
		}
	})
}

// An answer that is longer than there is memory for is refused to a client that leaves others unread, not to one that
// reads; and what was set aside comes back, also when a client leaves.
func TestAnswersFitTheMemory(t *testing.T) {
	h := newHost(t, overload.Config{MemoryLimit: 100 << 10})
	var unread int64
	closed := false
	var slow *gateway.Client
	h.on(func() {
		slow = h.g.AddClient(func() int64 { return unread }, func(error) { closed = true })
	})
	ask := func(ref string, c *gateway.Client, size int) gateway.Answer {
		r := h.request(ref, "page")
		r.Client = c
		h.on(func() { h.g.Submit(r) })
		select {
		case a := <-h.sent:
			h.on(func() {
				if c == slow {
					unread += int64(size)
				}
				h.g.AttemptEnded(a, gateway.Result{Status: routing.OK, Body: make([]byte, size)})
			})
		case a := <-h.answers: // it was refused before it was sent
			return a
		}
		return <-h.answers
	}
	var quick *gateway.Client
	h.on(func() {
		quick = h.g.AddClient(func() int64 { return 0 }, func(error) { t.Error("a client that reads is closed") })
	})
	if a := ask("long", quick, 130<<10); a.Outcome != gateway.OutcomeRejected || !a.Retryable {
		t.Errorf("an answer longer than the memory: %v", a.Outcome)
	}
	if a := ask("short", quick, 50<<10); a.Outcome != gateway.OutcomeServed {
		t.Errorf("an answer for which there is room: %v", a.Outcome)
	}
	if a := ask("first", slow, 90<<10); a.Outcome != gateway.OutcomeServed { // and it stays unread
		t.Errorf("%v", a.Outcome)
	}
	if a := ask("second", slow, 0); a.Outcome != gateway.OutcomeRejected {
		t.Errorf("to one that leaves much unread: %v", a.Outcome)
	}
	if a := ask("beside", quick, 20<<10); a.Outcome != gateway.OutcomeServed {
		t.Errorf("beside one that leaves much unread: %v", a.Outcome)
	}
	h.on(func() { h.g.RemoveClient(slow); h.g.RemoveClient(slow) })
	if closed {
		t.Error("closed without need")
	}
}

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
type testGateway struct {
	t       *testing.T
	loop    *gateway.Loop
	g       *gateway.Gateway
	sent    chan *gateway.Attempt
	answers chan gateway.Answer
}

func newTestGateway(t *testing.T, cfg overload.Config) *testGateway {
	h := &testGateway{t: t, loop: gateway.NewLoop(), sent: make(chan *gateway.Attempt, 100), answers: make(chan gateway.Answer, 100)}
	var err error
	h.g, err = gateway.New(gateway.Config{Loop: h.loop, Backend: fakeBackend{h.sent}, Log: logrus.New(), Overload: cfg,
		Settings: routing.Settings{Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1,
			OriginKind: 1, ClockStep: time.Millisecond, AllowCoalescing: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1},
				{Name: "order", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	go h.loop.Run()
	t.Cleanup(h.loop.Close)
	h.onLoop(func() {
		h.g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box"}, {ID: "o", Zone: "here", Kind: "origin"}}})
	})
	return h
}

// on runs f on the loop.
func (h *testGateway) onLoop(f func()) {
	done := make(chan bool)
	h.loop.Post(func() { f(); close(done) })
	<-done
}

func (h *testGateway) newRequest(id, class string) *gateway.Request {
	return &gateway.Request{ID: id, Class: class, Object: id, Deadline: time.Now().Add(5 * time.Second),
		Answer: func(a gateway.Answer) { h.answers <- a }}
}

// What waited for its turn for too long is refused with when to come back, and no store sees it.
func TestRequestIsRejectedAfterQueueTimeout(t *testing.T) {
	h := newTestGateway(t, overload.Config{MaxWait: 50 * time.Millisecond})
	old := h.newRequest("old", "page")
	old.ArrivedAt = time.Now().Add(-time.Second)
	h.onLoop(func() { h.g.Submit(old) })
	if a := <-h.answers; a.Outcome != gateway.OutcomeRejected || !a.Retryable || a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
		t.Errorf("%+v", a)
	}
	h.onLoop(func() {
		if len(h.sent) > 0 || h.g.Load.QueueTimeouts != 1 || h.g.OpenRequests() != 0 {
			t.Errorf("%d were sent, %d overdue, %d open", len(h.sent), h.g.Load.QueueTimeouts, h.g.OpenRequests())
		}
	})
}

// Of what waits, answers of stores are taken in first, then requests by worth; a withdrawn one has left.
func TestLoopHandlesResultsFirstThenRequestsByPriority(t *testing.T) {
	h := newTestGateway(t, overload.Config{})
	h.onLoop(func() { h.g.Submit(h.newRequest("first", "page")) })
	first := <-h.sent
	page, order, abandoned := h.newRequest("page", "page"), h.newRequest("order", "order"), h.newRequest("gone", "order")
	h.onLoop(func() { // all of it waits while this runs
		h.g.Submit(page)
		h.g.Submit(abandoned)
		h.g.Submit(order)
		h.g.Abandon(abandoned)
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
	h.onLoop(func() {
		if len(h.sent) > 0 {
			t.Error("a withdrawn request was sent")
		}
	})
}

// An answer that is longer than there is memory for is refused to a client that leaves others unread, not to one that
// reads; and what was set aside comes back, also when a client leaves.
func TestAnswersStayWithinMemoryLimit(t *testing.T) {
	h := newTestGateway(t, overload.Config{MemoryLimit: 100 << 10})
	var unsentBytes int64
	closed := false
	var slow *gateway.Client
	h.onLoop(func() {
		slow = h.g.AddClient(func() int64 { return unsentBytes }, func(error) { closed = true })
	})
	serve := func(id string, c *gateway.Client, size int) gateway.Answer {
		r := h.newRequest(id, "page")
		r.Client = c
		h.onLoop(func() { h.g.Submit(r) })
		select {
		case a := <-h.sent:
			h.onLoop(func() {
				if c == slow {
					unsentBytes += int64(size)
				}
				h.g.AttemptEnded(a, gateway.Result{Status: routing.OK, Body: make([]byte, size)})
			})
		case a := <-h.answers: // it was refused before it was sent
			return a
		}
		return <-h.answers
	}
	var fast *gateway.Client
	h.onLoop(func() {
		fast = h.g.AddClient(func() int64 { return 0 }, func(error) { t.Error("a client that reads is closed") })
	})
	if a := serve("long", fast, 130<<10); a.Outcome != gateway.OutcomeRejected || !a.Retryable {
		t.Errorf("an answer longer than the memory: %v", a.Outcome)
	}
	if a := serve("short", fast, 50<<10); a.Outcome != gateway.OutcomeServed {
		t.Errorf("an answer for which there is room: %v", a.Outcome)
	}
	if a := serve("first", slow, 90<<10); a.Outcome != gateway.OutcomeServed { // and it stays unread
		t.Errorf("%v", a.Outcome)
	}
	if a := serve("second", slow, 0); a.Outcome != gateway.OutcomeRejected {
		t.Errorf("to one that leaves much unread: %v", a.Outcome)
	}
	if a := serve("beside", fast, 20<<10); a.Outcome != gateway.OutcomeServed {
		t.Errorf("beside one that leaves much unread: %v", a.Outcome)
	}
	h.onLoop(func() { h.g.RemoveClient(slow); h.g.RemoveClient(slow) })
	if closed {
		t.Error("closed without need")
	}
}

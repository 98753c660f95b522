package gateway_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/overload"
	"larchusher/routing"
)

// testGateway is a gateway with one cache and the origin, on a running loop. It collects the
// attempts that the gateway sends, and the answers to requests.
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

// onLoop runs f on the loop and waits for it.
func (h *testGateway) onLoop(f func()) {
	done := make(chan bool)
	h.loop.Post(func() { f(); close(done) })
	<-done
}

func (h *testGateway) newRequest(id, class string) *gateway.Request {
	return &gateway.Request{ID: id, Class: class, Object: id, Deadline: time.Now().Add(5 * time.Second),
		Answer: func(a gateway.Answer) { h.answers <- a }}
}

// A request that has waited in the queue for longer than MaxWait is rejected with a Retry-After and
// is not sent to any endpoint.
func TestRequestIsRejectedAfterQueueTimeout(t *testing.T) {
	h := newTestGateway(t, overload.Config{MaxWait: 50 * time.Millisecond})
	old := h.newRequest("old", "page")
	old.ArrivedAt = time.Now().Add(-time.Second)
	h.onLoop(func() { h.g.Submit(old) })
	if a := <-h.answers; a.Outcome != gateway.OutcomeRejected || !a.Retryable || a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
		t.Errorf("answer after the queue timeout: %+v, want a retryable rejection with a Retry-After of up to 2 s", a)
	}
	h.onLoop(func() {
		if len(h.sent) > 0 || h.g.Load.QueueTimeouts != 1 || h.g.OpenRequests() != 0 {
			t.Errorf("%d attempts sent, %d queue timeouts, %d requests open; want 0, 1 and 0", len(h.sent), h.g.Load.QueueTimeouts, h.g.OpenRequests())
		}
	})
}

// Results of endpoints that are posted to the loop are handled before queued requests, and queued
// requests start in the order of their priority weight. A request that was abandoned in the queue
// does not start.
func TestLoopHandlesResultsFirstThenRequestsByPriority(t *testing.T) {
	h := newTestGateway(t, overload.Config{})
	h.onLoop(func() { h.g.Submit(h.newRequest("first", "page")) })
	first := <-h.sent
	page, order, abandoned := h.newRequest("page", "page"), h.newRequest("order", "order"), h.newRequest("abandoned", "order")
	h.onLoop(func() { // all of this is queued until the function returns
		h.g.Submit(page)
		h.g.Submit(abandoned)
		h.g.Submit(order)
		h.g.Abandon(abandoned)
		h.loop.Post(func() {
			if len(h.sent) > 0 {
				t.Error("a queued request started before a posted result was handled")
			}
			h.g.AttemptEnded(first, gateway.Result{Status: routing.OK, Body: []byte("x")})
		})
	})
	if a := <-h.answers; a.Outcome != gateway.OutcomeServed {
		t.Errorf("answer: %+v, want it served", a)
	}
	if a, b := <-h.sent, <-h.sent; a.Request != order || b.Request != page {
		t.Errorf("%s started before %s, want order before page", a.Request.ID, b.Request.ID)
	}
	h.onLoop(func() {
		if len(h.sent) > 0 {
			t.Error("an abandoned request was sent")
		}
	})
}

// An answer that does not fit into the memory limit is rejected. A client that leaves much unread
// gets its next request rejected, while a client that reads its answers is served. A client can be
// removed twice.
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
		case a := <-h.answers: // rejected before it was sent
			return a
		}
		return <-h.answers
	}
	var fast *gateway.Client
	h.onLoop(func() {
		fast = h.g.AddClient(func() int64 { return 0 }, func(error) { t.Error("a client that reads its answers was closed") })
	})
	if a := serve("long", fast, 130<<10); a.Outcome != gateway.OutcomeRejected || !a.Retryable {
		t.Errorf("an answer larger than the memory: outcome %v, want a retryable rejection", a.Outcome)
	}
	if a := serve("short", fast, 50<<10); a.Outcome != gateway.OutcomeServed {
		t.Errorf("an answer that fits: outcome %v, want it served", a.Outcome)
	}
	if a := serve("first", slow, 90<<10); a.Outcome != gateway.OutcomeServed { // it stays unread
		t.Errorf("the first answer to a slow client: outcome %v, want it served", a.Outcome)
	}
	if a := serve("second", slow, 0); a.Outcome != gateway.OutcomeRejected {
		t.Errorf("the second answer to a client with much unread: outcome %v, want a rejection", a.Outcome)
	}
	if a := serve("other", fast, 20<<10); a.Outcome != gateway.OutcomeServed {
		t.Errorf("an answer to a reading client while another leaves much unread: outcome %v, want it served", a.Outcome)
	}
	h.onLoop(func() { h.g.RemoveClient(slow); h.g.RemoveClient(slow) })
	if closed {
		t.Error("the slow client was closed though memory was not short")
	}
}

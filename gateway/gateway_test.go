package gateway_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/overload"
	"larchusher/routing"
)

// fakeBackend collects the attempts that are sent, as if their connections were still being
// established.
type fakeBackend struct{ sent chan *gateway.Attempt }

func (b fakeBackend) Send(a *gateway.Attempt) { b.sent <- a }
func (fakeBackend) Cancel(*gateway.Attempt)   {}

// PrepareWrite checks an attempt that has waited for its connection again: meanwhile its endpoint
// may have begun to drain, or its object may have been purged.
func TestPrepareWriteRechecksQueuedAttempt(t *testing.T) {
	loop, b := gateway.NewLoop(), fakeBackend{make(chan *gateway.Attempt, 10)}
	g, err := gateway.New(gateway.Config{Loop: loop, Backend: b, Log: logrus.New(), Settings: routing.Settings{
		Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1,
		Classes:         []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second}},
		PurgeSettleTime: 6 * time.Second, ClockStep: time.Millisecond, AllowCoalescing: true}})
	if err != nil {
		t.Fatal(err)
	}
	go loop.Run()
	defer loop.Close()
	onLoop := func(f func()) {
		done := make(chan bool)
		loop.Post(func() { f(); close(done) })
		<-done
	}
	updateEndpoints := func(phase routing.Phase) {
		g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box", Phase: phase},
			{ID: "o", Zone: "here", Kind: "origin"}}})
	}
	answers := make(chan gateway.Answer, 10)
	submit := func() (a *gateway.Attempt) {
		onLoop(func() {
			g.Submit(&gateway.Request{ID: "r", Class: "page", Object: "x", Deadline: time.Now().Add(5 * time.Second),
				Answer: func(a gateway.Answer) { answers <- a }})
		})
		return <-b.sent
	}
	onLoop(func() { updateEndpoints(routing.Up) })
	a := submit()
	onLoop(func() {
		g.Purge(routing.Purge{Object: "x", Age: time.Second})
		if !g.PrepareWrite(a) || a.MaxAge < 900*time.Millisecond || a.MaxAge > 5*time.Second {
			t.Errorf("MaxAge is %v for an object purged a second ago, want 0.9 s to 5 s", a.MaxAge)
		}
		g.AttemptEnded(a, gateway.Result{Status: routing.OK, Body: []byte("x")})
		g.AttemptEnded(a, gateway.Result{Status: routing.OK, Body: []byte("y")}) // a second result is ignored
	})
	if got := <-answers; got.Outcome != gateway.OutcomeServed || string(got.Body) != "x" {
		t.Errorf("answer: %+v, want the body x of the first result", got)
	}
	a = submit()
	onLoop(func() {
		updateEndpoints(routing.Draining)
		if g.PrepareWrite(a) {
			t.Error("PrepareWrite allows an attempt at a draining endpoint")
		}
	})
	if got := <-answers; got.Outcome == gateway.OutcomeServed || len(answers) > 0 {
		t.Errorf("answer: %+v, want one that is not served, and no second one", got)
	}
	onLoop(func() {
		if g.Counters.NotSent != 1 || g.OpenRequests() != 0 {
			t.Errorf("counters %+v, %d requests open; want one attempt not sent and no request open", g.Counters, g.OpenRequests())
		}
	})
}

// A program that must end closes its gateway: open requests must be answered as expired, and later ones rejected without
// an attempt, so that their clients may send them elsewhere.
func TestClosedGatewayRejectsRequests(t *testing.T) {
	h := newTestGateway(t, overload.Config{})
	var answers []gateway.Answer
	submit := func(id string) {
		h.g.Submit(&gateway.Request{ID: id, Class: "page", Object: "x", Deadline: time.Now().Add(time.Second),
			Answer: func(a gateway.Answer) { answers = append(answers, a) }})
	}
	h.onLoop(func() {
		submit("open")
		h.g.Close()
		submit("late")
	})
	if len(answers) != 2 || answers[0].Outcome != gateway.OutcomeExpired || answers[1].Outcome != gateway.OutcomeRejected || !answers[1].Retryable {
		t.Errorf("answers %+v, want the first request expired and the second one rejected, to be retried", answers)
	}
	if len(h.sent) > 0 {
		t.Errorf("%d attempts were sent, want none", len(h.sent))
	}
}

// Lower limits on memory must reject further requests whose bodies exceed them, and leave the open ones alone.
func TestLowerMemoryLimitsRejectFurtherRequests(t *testing.T) {
	h := newTestGateway(t, overload.Config{})
	answers := map[string]gateway.Outcome{}
	submit := func(id string) {
		h.g.Submit(&gateway.Request{ID: id, Class: "page", Object: id, Body: make([]byte, 100), Deadline: time.Now().Add(time.Second),
			Answer: func(a gateway.Answer) { answers[id] = a.Outcome }})
	}
	h.onLoop(func() {
		h.g.SetMemoryLimits(250, 0)
		submit("first")
		submit("second")
		h.g.SetMemoryLimits(200, 0)
		submit("third")
	})
	if outcome, answered := answers["third"]; len(answers) != 1 || !answered || outcome != gateway.OutcomeRejected {
		t.Errorf("outcomes by id are %v, want the third request rejected and no other answer", answers)
	}
}

package gateway_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/routing"
)

// backend keeps attempts as if their connections were coming up.
type backend struct{ sent chan *gateway.Attempt }

func (b backend) Send(a *gateway.Attempt) { b.sent <- a }
func (backend) Cancel(*gateway.Attempt)   {}

// What waited for its connection is checked again before it is written: meanwhile its store may have begun to
// drain, or its object may have been purged.
func TestWhatWaitedIsCheckedAgain(t *testing.T) {
	loop, b := gateway.NewLoop(), backend{make(chan *gateway.Attempt, 10)}
	g, err := gateway.New(gateway.Config{Loop: loop, Backend: b, Log: logrus.New(), Settings: routing.Settings{
		Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1,
		Classes:         []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second}},
		PurgeSettleTime: 6 * time.Second, ClockStep: time.Millisecond, AllowCoalescing: true}})
	if err != nil {
		t.Fatal(err)
	}
	go loop.Run()
	defer loop.Close()
	on := func(f func()) {
		done := make(chan bool)
		loop.Post(func() { f(); close(done) })
		<-done
	}
	members := func(phase routing.Phase) {
		g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box", Phase: phase},
			{ID: "o", Zone: "here", Kind: "origin"}}})
	}
	answers := make(chan gateway.Answer, 10)
	submit := func() (a *gateway.Attempt) {
		on(func() {
			g.Submit(&gateway.Request{ID: "r", Class: "page", Object: "x", Deadline: time.Now().Add(5 * time.Second),
				Answer: func(a gateway.Answer) { answers <- a }})
		})
		return <-b.sent
	}
	on(func() { members(routing.Up) })
	a := submit()
	on(func() {
		g.Purge(routing.Purge{Object: "x", Age: time.Second})
		if !g.PrepareWrite(a) || a.MaxAge < 900*time.Millisecond || a.MaxAge > 5*time.Second {
			t.Errorf("after a purge: age limit %v", a.MaxAge)
		}
		g.AttemptEnded(a, gateway.Result{Status: routing.OK, Body: []byte("x")})
		g.AttemptEnded(a, gateway.Result{Status: routing.OK, Body: []byte("y")}) // a second end changes nothing
	})
	if got := <-answers; got.Outcome != gateway.OutcomeServed || string(got.Body) != "x" {
		t.Errorf("%+v", got)
	}
	a = submit()
	on(func() {
		members(routing.Draining)
		if g.PrepareWrite(a) {
			t.Error("a draining store may be written to")
		}
	})
	if got := <-answers; got.Outcome == gateway.OutcomeServed || len(answers) > 0 {
		t.Errorf("%+v", got)
	}
	on(func() {
		if g.Counters.NotSent != 1 || g.OpenRequests() != 0 {
			t.Errorf("%+v, %d open", g.Counters, g.OpenRequests())
		}
	})
}

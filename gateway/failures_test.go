package gateway_test

import (
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/routing"
)

// A log line says why a request failed; where many fail at once, the others are counted in the next line.
func TestTheLogSaysWhyARequestFailed(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	h := &host{t: t, loop: gateway.NewLoop(), sent: make(chan *gateway.Attempt, 100), answers: make(chan gateway.Answer, 100)}
	var err error
	h.g, err = gateway.New(gateway.Config{Loop: h.loop, Backend: backend{h.sent}, Log: log, Settings: routing.Settings{
		Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond,
		Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second},
			{Name: "order", LatencyObjective: time.Second, Deadline: 5 * time.Second, Effect: routing.IdempotentWithKey},
			{Name: "payment", LatencyObjective: time.Second, Deadline: 5 * time.Second, Effect: routing.NonIdempotent}}}})
	if err != nil {
		t.Fatal(err)
	}
	go h.loop.Run()
	t.Cleanup(h.loop.Close)
	h.list(routing.Up)
	fail := func(r *gateway.Request) {
		t.Helper()
		h.on(func() { h.g.Submit(r) })
		if a := <-h.answers; a.Outcome == gateway.OutcomeServed {
			t.Fatalf("%s: %+v", r.ID, a)
		}
	}
	check := func(want map[string]any) {
		t.Helper()
		line := lines.LastEntry()
		if line == nil || line.Message != logfields.RequestFailed || len(lines.AllEntries()) != 1 {
			t.Fatalf("lines: %+v", lines.AllEntries())
		}
		for field, value := range want {
			if line.Data[field] != value {
				t.Errorf("%s is %v, not %v", field, line.Data[field], value)
			}
		}
		lines.Reset()
	}

	fail(h.request("first", "order"))
	fail(h.request("second", "order"))
	check(map[string]any{logfields.RequestID: "first", logfields.Class: "order", logfields.Outcome: "failed",
		logfields.Reason: "no idempotency key", logfields.Attempts: 0, logfields.Suppressed: 0})

	time.Sleep(1100 * time.Millisecond) // lines come once a second
	h.on(func() { h.g.Submit(h.request("third", "payment")) })
	attempt := <-h.sent
	h.on(func() { h.g.AttemptEnded(attempt, gateway.Result{Status: routing.Reset}) })
	if a := <-h.answers; a.Outcome != gateway.OutcomeFailed {
		t.Fatalf("%+v", a)
	}
	check(map[string]any{logfields.RequestID: "third", logfields.Outcome: "failed", logfields.Reason: "no further attempt allowed",
		logfields.Attempts: 1, logfields.Endpoint: attempt.Endpoint, logfields.Status: "reset", logfields.Suppressed: 1})
}

package gateway_test

import (
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/routing"
)

// A failed request is logged with its reason. The lines are limited to one a second, and each gives
// the number of lines left out since the last one.
func TestFailureLogGivesReasonAndIsRateLimited(t *testing.T) {
	log, logHook := logtest.NewNullLogger()
	h := &testGateway{t: t, loop: gateway.NewLoop(), sent: make(chan *gateway.Attempt, 100), answers: make(chan gateway.Answer, 100)}
	var err error
	h.g, err = gateway.New(gateway.Config{Loop: h.loop, Backend: fakeBackend{h.sent}, Log: log, Settings: routing.Settings{
		Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond,
		Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second},
			{Name: "order", LatencyObjective: time.Second, Deadline: 5 * time.Second, Effect: routing.IdempotentWithKey},
			{Name: "payment", LatencyObjective: time.Second, Deadline: 5 * time.Second, Effect: routing.NonIdempotent}}}})
	if err != nil {
		t.Fatal(err)
	}
	go h.loop.Run()
	t.Cleanup(h.loop.Close)
	h.updateEndpoints(routing.Up)
	fail := func(r *gateway.Request) {
		t.Helper()
		h.onLoop(func() { h.g.Submit(r) })
		if a := <-h.answers; a.Outcome == gateway.OutcomeServed {
			t.Fatalf("request %s: answer %+v, want a failure", r.ID, a)
		}
	}
	check := func(want map[string]any) {
		t.Helper()
		entry := logHook.LastEntry()
		if entry == nil || entry.Message != logfields.RequestFailed || len(logHook.AllEntries()) != 1 {
			t.Fatalf("log entries: %+v, want one about a failed request", logHook.AllEntries())
		}
		for field, value := range want {
			if entry.Data[field] != value {
				t.Errorf("field %s is %v, want %v", field, entry.Data[field], value)
			}
		}
		logHook.Reset()
	}

	fail(h.newRequest("first", "order"))
	fail(h.newRequest("second", "order"))
	check(map[string]any{logfields.RequestID: "first", logfields.Class: "order", logfields.Outcome: "failed",
		logfields.Reason: "no idempotency key", logfields.Attempts: 0, logfields.Suppressed: 0})

	time.Sleep(1100 * time.Millisecond) // longer than the interval of one second between lines
	h.onLoop(func() { h.g.Submit(h.newRequest("third", "payment")) })
	attempt := <-h.sent
	h.onLoop(func() { h.g.AttemptEnded(attempt, gateway.Result{Status: routing.Reset}) })
	if a := <-h.answers; a.Outcome != gateway.OutcomeFailed {
		t.Fatalf("answer %+v after a lost connection to a non-idempotent request, want a failure", a)
	}
	check(map[string]any{logfields.RequestID: "third", logfields.Outcome: "failed", logfields.Reason: "no further attempt allowed",
		logfields.Attempts: 1, logfields.Endpoint: attempt.Endpoint, logfields.Status: "reset", logfields.Suppressed: 1})
}

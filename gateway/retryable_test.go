package gateway

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/routing"
)

// recordingBackend writes each attempt at once and never ends one by itself.
type recordingBackend struct {
	gateway  *Gateway
	attempts []*Attempt
}

func (b *recordingBackend) Send(a *Attempt) {
	b.gateway.PrepareWrite(a)
	b.attempts = append(b.attempts, a)
}

func (*recordingBackend) Cancel(*Attempt) {}

// newKeyedGateway returns a gateway with a keyed class, order, on a loop that does not run, and its backend.
func newKeyedGateway(t *testing.T) (*Gateway, *recordingBackend) {
	t.Helper()
	b := &recordingBackend{}
	g, err := New(Config{Loop: NewLoop(), Backend: b, Log: logrus.New(), Settings: routing.Settings{
		Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond,
		SendRetryAfter: true, MaxRetryAfter: maxRetryAfter, AllowBypass: true, MaxAttempts: 1,
		Classes: []routing.Class{{Name: "order", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1,
			Effect: routing.IdempotentWithKey, DedupScope: routing.ScopeAll, DedupWindow: 3 * time.Second, Uncacheable: true}}}})
	if err != nil {
		t.Fatal(err)
	}
	b.gateway = g
	g.UpdateEndpoints(routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Zone: "here", Kind: "box"}, {ID: "o", Zone: "here", Kind: "origin"}}})
	return g, b
}

// newOrder returns a keyed request that collects its answers.
func newOrder(id string, answers *[]Answer) *Request {
	return &Request{ID: id, Class: "order", Object: "x", IdempotencyKey: "key", Deadline: time.Now().Add(4 * time.Second),
		Answer: func(a Answer) { *answers = append(*answers, a) }}
}

// submitAndRun submits a request and runs it if it is queued.
func submitAndRun(g *Gateway, r *Request) {
	g.Submit(r)
	g.runNextQueued()
}

// Guards against refusing a request whose id came before, with a request that may have run, for each reason for which it is refused
// without an attempt of its own. A request whose id has not run is refused for the same reasons.
func TestRepeatedIDOfExecutedRequestIsNotRejected(t *testing.T) {
	for name, refuse := range map[string]func(g *Gateway, r *Request){
		"too many are open": func(g *Gateway, r *Request) {
			submitAndRun(g, newOrder("another", &[]Answer{}))
			g.cfg.MaxOpenRequests = 1
			submitAndRun(g, r)
		},
		"the gateway is closed": func(g *Gateway, r *Request) {
			g.Close()
			submitAndRun(g, r)
		},
		"the gateway ends while it is queued": func(g *Gateway, r *Request) {
			g.Submit(r)
			g.Close()
		},
		"it waited for too long": func(g *Gateway, r *Request) {
			r.ArrivedAt = time.Now().Add(-time.Second)
			submitAndRun(g, r)
		},
		"no endpoint is left": func(g *Gateway, r *Request) {
			g.UpdateEndpoints(routing.EndpointUpdate{Kind: routing.FullList})
			submitAndRun(g, r)
		},
		"its time is up": func(g *Gateway, r *Request) {
			r.Deadline = time.Now()
			submitAndRun(g, r)
		},
	} {
		for _, id := range []string{"executed", "new"} {
			g, b := newKeyedGateway(t)
			var former, answers []Answer
			submitAndRun(g, newOrder("executed", &former))
			g.AttemptEnded(b.attempts[0], Result{Status: routing.TimedOut})
			if len(former) != 1 || former[0].Outcome != OutcomeFailed {
				t.Fatalf("answers to the former request: %+v, want one failure", former)
			}
			refuse(g, newOrder(id, &answers))
			if wanted := id == "new"; len(answers) != 1 || answers[0].Retryable != wanted {
				t.Errorf("%s, id %s: answers %+v, want one, with Retryable %v", name, id, answers, wanted)
			}
		}
	}
}

// Guards against refusing a copy of a request that is open and may have run, while too many are open.
func TestCopyOfOpenRequestIsNotRejected(t *testing.T) {
	g, _ := newKeyedGateway(t)
	var answers []Answer
	submitAndRun(g, newOrder("open", &answers))
	g.cfg.MaxOpenRequests = 1
	submitAndRun(g, newOrder("open", &answers))
	if len(answers) != 1 || answers[0].Outcome != OutcomeFailed {
		t.Errorf("answers %+v, want one failure", answers)
	}
}

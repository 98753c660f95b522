package gateway

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/overload"
	"larchusher/routing"
)

// silentBackend accepts attempts and never ends them.
type silentBackend struct{}

func (silentBackend) Send(*Attempt)   {}
func (silentBackend) Cancel(*Attempt) {}

const maxRetryAfter = 2 * time.Second

// newFullGateway returns a gateway that may have one request open, on a loop that does not run.
func newFullGateway(t *testing.T, sendRetryAfter bool) *Gateway {
	t.Helper()
	g, err := New(Config{Loop: NewLoop(), Backend: silentBackend{}, Log: logrus.New(), MaxOpenRequests: 1, Settings: routing.Settings{
		Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond,
		SendRetryAfter: sendRetryAfter, MaxRetryAfter: maxRetryAfter,
		Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func pageRequest(id string, answers *[]Answer) *Request {
	return &Request{ID: id, Class: "page", Object: id, Deadline: time.Now().Add(time.Second), Answer: func(a Answer) { *answers = append(*answers, a) }}
}

// Guards against rejections for want of capacity, and answers at the deadline, that carried a
// Retry-After even where the settings do not allow one, and the same one for all clients.
func TestRetryAfterFollowsSettings(t *testing.T) {
	for _, send := range []bool{true, false} {
		g := newFullGateway(t, send)
		var answers []Answer
		first := pageRequest("first", &answers)
		g.Submit(first)
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			g.Submit(pageRequest(id, &answers))
		}
		g.expireRequest(first)
		if len(answers) != 7 {
			t.Fatalf("%d answers, want 7", len(answers))
		}
		different := map[time.Duration]bool{}
		for _, a := range answers {
			different[a.RetryAfter] = true
			if isSent := a.RetryAfter > 0; isSent != send || a.RetryAfter > maxRetryAfter || !a.Retryable {
				t.Errorf("SendRetryAfter %v: answer %+v, want a retryable one, with a Retry-After of at most maxRetryAfter only if it is set", send, a)
			}
		}
		if send && len(different) < 6 {
			t.Errorf("six clients and the expired one got only %d different values of Retry-After", len(different))
		}
	}
}

// Guards against counting a request twice, as rejected and as shed, that Submit sheds, as with an
// embedded gateway.
func TestShedRequestIsCountedOnce(t *testing.T) {
	g := newFullGateway(t, true)
	g.admissionController().SetPolicy(&overload.AdmissionPolicy{Admit: [][]uint32{{0, 0}, {0, 0}, {0, 0}}, RetryAfter: time.Second})
	var answers []Answer
	g.Submit(pageRequest("shed", &answers))
	if len(answers) != 1 || answers[0].Outcome != OutcomeRejected {
		t.Fatalf("answers %+v, want one rejection", answers)
	}
	if got := g.OutcomesByClass()["page"]; got != (ClassOutcomes{Rejected: 1}) {
		t.Errorf("outcomes %+v, want one rejection", got)
	}
}

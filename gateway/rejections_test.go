package gateway

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/overload"
	"larchusher/routing"
)

// silentBackend takes attempts and never answers them.
type silentBackend struct{}

func (silentBackend) Send(*Attempt)   {}
func (silentBackend) Cancel(*Attempt) {}

const maxRetryAfter = 2 * time.Second

// rejecting is a gateway without a running loop that may have one request open.
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

// Rejections for want of capacity, and those at the deadline, carried a Retry-After that the settings do not allow, and the same one
// for everybody.
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
			t.Fatalf("%d answers", len(answers))
		}
		different := map[time.Duration]bool{}
		for _, a := range answers {
			different[a.RetryAfter] = true
			if isSent := a.RetryAfter > 0; isSent != send || a.RetryAfter > maxRetryAfter || !a.Retryable {
				t.Errorf("sent %v: %+v", send, a)
			}
		}
		if send && len(different) < 6 {
			t.Errorf("all clients come back at %d times", len(different))
		}
	}
}

// What an embedded gateway sheds was counted twice: as rejected, and as shed.
func TestShedRequestIsCountedOnce(t *testing.T) {
	g := newFullGateway(t, true)
	g.admissionController().SetPolicy(&overload.AdmissionPolicy{Admit: [][]uint32{{0, 0}, {0, 0}, {0, 0}}, RetryAfter: time.Second})
	var answers []Answer
	g.Submit(pageRequest("shed", &answers))
	if len(answers) != 1 || answers[0].Outcome != OutcomeRejected {
		t.Fatalf("%+v", answers)
	}
	if got := g.OutcomesByClass()["page"]; got != (ClassOutcomes{Rejected: 1}) {
		t.Errorf("%+v", got)
	}
}

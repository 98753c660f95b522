package resp

import (
	"testing"
	"time"

	"larchusher/gateway"
	"larchusher/routing"
)

// recordingGateway records the results of attempts.
type recordingGateway struct{ results []gateway.Result }

func (*recordingGateway) PrepareWrite(*gateway.Attempt) bool { return true }
func (a *recordingGateway) AttemptEnded(_ *gateway.Attempt, r gateway.Result) {
	a.results = append(a.results, r)
}

// Each status word of an answer maps to one status; an unknown word is an error, which closes the connection.
func TestAnswerStatusWords(t *testing.T) {
	for word, want := range map[string]gateway.Result{
		"DONE":  {Status: routing.OK},
		"KEEP":  {Status: routing.OK, NotModified: true},
		"LACK":  {Status: routing.Miss},
		"WAIT":  {Status: routing.Rejected},
		"BROKE": {Status: routing.ServerError},
		"PAST":  {Status: routing.NotSent},
	} {
		ended := &recordingGateway{}
		a := &gateway.Attempt{Request: &gateway.Request{ID: "r", IfNoneMatch: "tag"}}
		c := &conn{pool: &Pool{Gateway: ended, loop: gateway.NewLoop()}, inFlight: map[string]*gateway.Attempt{"r": a}, canceled: map[string]time.Time{}}
		err := c.handleAnswer([][]byte{[]byte("r"), []byte(word), []byte("digest=v1"), {}}, time.Time{})
		if err != nil || len(ended.results) != 1 {
			t.Fatal(word, err, ended.results)
		}
		if r := ended.results[0]; r.Status != want.Status || r.NotModified != want.NotModified || r.ETag != "v1" {
			t.Errorf("answer %s: result %+v, want the status of the table and the ETag v1", word, r)
		}
		if _, blocked := c.canceled["r"]; blocked != (want.Status != routing.OK) {
			t.Errorf("%s: the ID may be used again on the connection: %v, want true after DONE and KEEP only", word, !blocked)
		}
	}
	c := &conn{pool: &Pool{}}
	if err := c.handleAnswer([][]byte{[]byte("r"), []byte("NOVEL"), []byte("-"), {}}, time.Time{}); err == nil {
		t.Error("an unknown status word was accepted")
	}
	if len(statuses) != 6 || len(reasons) != int(routing.ReasonOriginFailed) {
		t.Errorf("the protocol has %d status words and %d reason words, want 6 and one for each routing reason", len(statuses), len(reasons))
	}
}

// Each field of an attempt has one name in the protocol.
func TestEncodeFields(t *testing.T) {
	now := time.Unix(1000, 0)
	base := gateway.Attempt{Deadline: now.Add(1500 * time.Millisecond)}
	request := gateway.Request{Class: "images", Object: "o", Part: 3}
	const first = "lane=images,name=o,piece=3,ttl=1500"
	for want, change := range map[string]func(a *gateway.Attempt, r *gateway.Request){
		"":                  func(*gateway.Attempt, *gateway.Request) {},
		",dedupe=k":         func(_ *gateway.Attempt, r *gateway.Request) { r.IdempotencyKey = "k" },
		",parent=p":         func(a *gateway.Attempt, _ *gateway.Request) { a.FillSource = "p" },
		",shelf=2":          func(a *gateway.Attempt, _ *gateway.Request) { a.CacheRank = 2 },
		",accept=250":       func(a *gateway.Attempt, _ *gateway.Request) { a.MaxAge = 250 * time.Millisecond },
		",hints=merge":      func(a *gateway.Attempt, _ *gateway.Request) { a.Coalesce = true },
		",hints=local":      func(a *gateway.Attempt, _ *gateway.Request) { a.OnlyIfCached = true },
		",hints=skip":       func(a *gateway.Attempt, _ *gateway.Request) { a.NoParentCopy = true },
		",hints=revalidate": func(a *gateway.Attempt, _ *gateway.Request) { a.RefreshAhead = true },
		",got=t":            func(_ *gateway.Attempt, r *gateway.Request) { r.IfNoneMatch = "t" },
		",hints=merge+local+skip,got=t2": func(a *gateway.Attempt, r *gateway.Request) {
			a.Coalesce, a.OnlyIfCached, a.NoParentCopy, r.IfNoneMatch = true, true, true, "t2"
		},
	} {
		a, r := base, request
		a.Request = &r
		change(&a, &r)
		if got := encodeFields(&a, now); got != first+want {
			t.Errorf("encoded as %q, want %q", got, first+want)
		}
	}
}

package middleware_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/middleware"
	"larchusher/routing"
	"larchusher/signedurl"
)

// endingBackend writes each attempt and ends it with a status.
type endingBackend struct {
	loop   *gateway.Loop
	gw     *gateway.Gateway
	status routing.Status
}

func (b *endingBackend) Send(a *gateway.Attempt) {
	b.loop.Post(func() {
		if b.gw.PrepareWrite(a) {
			b.gw.AttemptEnded(a, gateway.Result{Status: b.status})
		}
	})
}

func (*endingBackend) Cancel(*gateway.Attempt) {}

// newKeyedServer starts a server with the middleware of a gateway whose attempts all end with a status, and whose class order has
// idempotency keys.
func newKeyedServer(t *testing.T, status routing.Status) (url string, issuer *signedurl.Issuer) {
	t.Helper()
	settings := routing.Settings{Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1,
		ClockStep: time.Millisecond, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second, AllowBypass: true, Classes: []routing.Class{
			{Name: "order", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Effect: routing.IdempotentWithKey,
				DedupScope: routing.ScopeAll, DedupWindow: time.Second, Uncacheable: true}}}
	b := &endingBackend{loop: gateway.NewLoop(), status: status}
	gw, err := gateway.New(gateway.Config{Loop: b.loop, Settings: settings, Backend: b, Log: logrus.New()})
	if err != nil {
		t.Fatal(err)
	}
	b.gw = gw
	b.loop.Post(func() {
		gw.UpdateEndpoints(routing.EndpointUpdate{Kind: routing.FullList, Endpoints: []routing.Endpoint{{ID: "o", Zone: "here", Kind: "origin"}}})
	})
	go b.loop.Run()
	t.Cleanup(b.loop.Close)
	urls := signedurl.Config{Base: "https://assets.example", Leeway: 2 * time.Second, Keys: []signedurl.Key{
		{ID: "k1", Form: signedurl.EdgeAuth, Secret: []byte("sixteen bytes or more")}}}
	verifier, err := signedurl.NewVerifier(urls)
	if err != nil {
		t.Fatal(err)
	}
	wrap, err := middleware.New(middleware.Config{Loop: b.loop, Gateway: gw, Settings: settings, Verifier: verifier})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(wrap(http.NotFoundHandler()))
	t.Cleanup(server.Close)
	if issuer, err = signedurl.NewIssuer(urls, "k1"); err != nil {
		t.Fatal(err)
	}
	return server.URL, issuer
}

// Guards against status 503, which tells the client that a retry is harmless, for a keyed request that may have run, and against another
// status for one that has not.
func TestKeyedRequestIsRefusedOnlyIfItHasNotRun(t *testing.T) {
	for status, want := range map[routing.Status]int{
		routing.Reset: http.StatusBadGateway, routing.ServerError: http.StatusBadGateway,
		routing.Rejected: http.StatusServiceUnavailable, routing.ConnectFailed: http.StatusServiceUnavailable,
	} {
		url, issuer := newKeyedServer(t, status)
		signed, err := issuer.Sign(signedurl.Order{Target: "/order/7f3a9c21e0b4d655/3", Expiry: time.Now().Add(time.Minute)})
		if err != nil {
			t.Fatal(err)
		}
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+signed, strings.NewReader("move"))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Idempotency-Key", "key-1")
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // the body has been read
		if resp.StatusCode != want || (want == http.StatusServiceUnavailable) != (resp.Header.Get("Retry-After") != "") {
			t.Errorf("attempts end with status %d: response %d %q, Retry-After %q; want %d", status, resp.StatusCode, body, resp.Header.Get("Retry-After"), want)
		}
	}
}

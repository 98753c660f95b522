package middleware_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/middleware"
	"larchusher/routing"
	"larchusher/signedurl"
)

// memoryBackend is a backend that answers attempts from memory. A real backend sends each attempt to its endpoint and posts
// the result to the loop.
type memoryBackend struct {
	loop *gateway.Loop
	gw   *gateway.Gateway
}

func (m *memoryBackend) Send(a *gateway.Attempt) {
	m.loop.Post(func() {
		if m.gw.PrepareWrite(a) { // the attempt may still be sent
			m.gw.AttemptEnded(a, gateway.Result{Status: routing.OK, Reason: routing.ReasonHit, ETag: "v1",
				Body: fmt.Appendf(nil, "%s part %d from %s", a.Request.Object, a.Request.Part, a.Endpoint)})
		}
	})
}

func (m *memoryBackend) Cancel(*gateway.Attempt) {}

// This example embeds a gateway as middleware of a chi router. The router serves signed URLs of the class "assets" from the
// gateway, rejects unsigned and altered ones, and serves other paths itself.
func Example() {
	settings := routing.Settings{Zone: "here", Zones: []string{"here"}, Kinds: []string{"box", "origin"},
		ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond, Classes: []routing.Class{
			{Name: "assets", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}}}
	loop := gateway.NewLoop()
	backend := &memoryBackend{loop: loop}
	gw, err := gateway.New(gateway.Config{Loop: loop, Settings: settings, Backend: backend, Log: logrus.New()})
	if err != nil {
		panic(err)
	}
	backend.gw = gw
	loop.Post(func() {
		gw.UpdateEndpoints(routing.EndpointUpdate{Kind: routing.StaleList, Endpoints: []routing.Endpoint{
			{ID: "c1", Zone: "here", Kind: "box"}, {ID: "o", Zone: "here", Kind: "origin"}}})
	})
	go loop.Run()
	defer loop.Close()

	urls := signedurl.Config{Base: "https://assets.example", Leeway: 2 * time.Second, Keys: []signedurl.Key{
		{ID: "k1", Form: signedurl.EdgeAuth, Secret: []byte("sixteen bytes or more")}}}
	verifier, err := signedurl.NewVerifier(urls)
	if err != nil {
		panic(err)
	}
	gatewayMiddleware, err := middleware.New(middleware.Config{Loop: loop, Gateway: gw, Settings: settings, Verifier: verifier})
	if err != nil {
		panic(err)
	}
	router := chi.NewRouter()
	router.Use(gatewayMiddleware)
	router.Get("/about", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "about") })
	server := httptest.NewServer(router)
	defer server.Close()

	issuer, err := signedurl.NewIssuer(urls, "k1")
	if err != nil {
		panic(err)
	}
	signed, err := issuer.Sign(signedurl.Order{Target: "/assets/7f3a9c21e0b4d655/3", Expiry: time.Now().Add(time.Minute)})
	if err != nil {
		panic(err)
	}
	for _, target := range []string{signed, "/assets/7f3a9c21e0b4d655/3", signed + "0", "/about"} {
		q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+target, nil)
		if err != nil {
			panic(err)
		}
		resp, err := server.Client().Do(q)
		if err != nil {
			panic(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // the body has been read
		fmt.Println(resp.StatusCode, string(body))
	}
	// Output:
	// 200 7f3a9c21e0b4d655 part 3 from c1
	// 403 missing_token
	//
	// 403 malformed_token
	//
	// 200 about
}

// Package middleware puts a gateway before the handlers of net/http, or of a router that takes its
// middleware, such as chi. Requests for a class of the gateway are verified and answered by it, by the rules of
// the signed front; all others go on to the next handler.
package middleware

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"larchusher/gateway"
	"larchusher/internal/httpapi"
	"larchusher/routing"
	"larchusher/signedurl"
)

// Config is what the middleware is made of.
type Config struct {
	Loop     *gateway.Loop
	Gateway  *gateway.Gateway
	Settings routing.Settings // those of the gateway
	Verifier *signedurl.Verifier
	Issuer   *signedurl.Issuer // renews tokens; nil: they are not renewed
}

// New returns the middleware.
func New(cfg Config) (func(http.Handler) http.Handler, error) {
	if cfg.Loop == nil || cfg.Gateway == nil || cfg.Verifier == nil {
		return nil, errors.New("middleware: Loop, Gateway and Verifier are needed")
	}
	m := &handler{Config: cfg, api: httpapi.New(cfg.Settings, cfg.Verifier, cfg.Issuer),
		requestIDBase: uint64(time.Now().UnixNano())}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serveHTTP(w, r, next) })
	}, nil
}

type handler struct {
	Config
	api           *httpapi.API
	requestIDBase uint64
	requestCount  atomic.Uint64
}

// serveHTTP answers one request. The goroutine is net/http's; it waits for the gateway's one answer.
func (m *handler) serveHTTP(w http.ResponseWriter, r *http.Request, next http.Handler) {
	target := r.RequestURI // as sent: r.URL has been decoded
	if !m.api.HasClass(target) {
		next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpapi.MaxBodyBytes))
	if err != nil {
		status := http.StatusBadRequest
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			status = http.StatusRequestEntityTooLarge
		}
		writeResponse(w, (&httpapi.Problem{Status: status, Reason: "the body cannot be read"}).Response())
		return
	}
	ad, p := m.api.Authorize(httpapi.Request{Method: r.Method, Target: target, Header: r.Header.Values, Body: body,
		ReceivedAt: time.Now()})
	if p != nil {
		writeResponse(w, p.Response())
		return
	}
	ad.Request.ID = fmt.Sprintf("%016x", m.requestIDBase+m.requestCount.Add(1))
	ad.Request.ArrivedAt, ad.Request.Front, ad.Request.RetainsBody = time.Now(), gateway.EmbeddedFront, true
	answer := make(chan gateway.Answer, 1)
	ad.Request.Answer = func(a gateway.Answer) { answer <- a }
	ad.Request.ClientConnected = func() bool { return r.Context().Err() == nil }
	if !m.Loop.Post(func() { m.Gateway.Submit(ad.Request) }) {
		answer <- gateway.Answer{Outcome: gateway.Rejected, RetryAfter: time.Second, Retryable: true}
	}
	select {
	case a := <-answer:
		writeResponse(w, m.api.Respond(ad, a, time.Now()))
	case <-m.Loop.Done(): // the gateway ended under it
		writeResponse(w, m.api.Respond(ad, gateway.Answer{Outcome: gateway.Failed}, time.Now()))
	case <-r.Context().Done():
		m.Loop.Post(func() { m.Gateway.Abandon(ad.Request) })
	}
}

func writeResponse(w http.ResponseWriter, r httpapi.Response) {
	for _, f := range r.Header {
		w.Header().Add(f[0], f[1])
	}
	if r.Status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // net/http drops it for HEAD
}

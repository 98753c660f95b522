// Package middleware puts a gateway before the handlers of net/http, or of a router that takes its
// middleware, such as chi. Requests for a class of the gateway are verified and answered by it, by the rules of
// the signed front; all others go on to the next handler.
//
// The handler runs on the goroutines of net/http and waits there for the gateway's one answer, or until the client is gone.
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

// Config is what the middleware is made of. Loop, Gateway and Verifier are needed.
type Config struct {
	Loop     *gateway.Loop // the one that the gateway runs on
	Gateway  *gateway.Gateway
	Settings routing.Settings // those of the gateway
	Verifier *signedurl.Verifier
	Issuer   *signedurl.Issuer // renews tokens; nil: they are not renewed
}

// New returns the middleware, or an error that names what is needed.
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

// handler answers requests for the gateway's classes.
type handler struct {
	Config
	api           *httpapi.API
	requestIDBase uint64 // differs from process to process, so that ids do
	requestCount  atomic.Uint64
}

// retryAfterShutdown is when a client may come back whose request arrives as the gateway ends.
const retryAfterShutdown = time.Second

// serveHTTP answers a request for a class of the gateway, and hands any other on.
func (m *handler) serveHTTP(w http.ResponseWriter, r *http.Request, next http.Handler) {
	target := r.RequestURI // as sent: r.URL has been decoded
	if !m.api.HasClass(target) {
		next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpapi.MaxBodyBytes))
	if err != nil {
		writeResponse(w, bodyProblem(err).Response())
		return
	}
	admitted, problem := m.api.Authorize(httpapi.Request{Method: r.Method, Target: target, Header: r.Header.Values, Body: body,
		ReceivedAt: time.Now()})
	if problem != nil {
		writeResponse(w, problem.Response())
		return
	}
	answer := m.submit(admitted, r)
	select {
	case a := <-answer:
		writeResponse(w, m.api.Respond(admitted, a, time.Now()))
	case <-m.Loop.Done(): // the gateway ended under it
		writeResponse(w, m.api.Respond(admitted, gateway.Answer{Outcome: gateway.OutcomeFailed}, time.Now()))
	case <-r.Context().Done():
		m.Loop.Post(func() { m.Gateway.Abandon(admitted.Request) })
	}
}

// bodyProblem is the answer to a request whose body cannot be read.
func bodyProblem(err error) *httpapi.Problem {
	status := http.StatusBadRequest
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	return &httpapi.Problem{Status: status, Reason: "the body cannot be read"}
}

// submit hands a request to the gateway. The channel takes its one answer without blocking the gateway's loop.
func (m *handler) submit(admitted *httpapi.AdmittedRequest, r *http.Request) <-chan gateway.Answer {
	answer := make(chan gateway.Answer, 1)
	q := admitted.Request
	q.ID = fmt.Sprintf("%016x", m.requestIDBase+m.requestCount.Add(1))
	q.ArrivedAt, q.Front, q.RetainsBody = time.Now(), gateway.EmbeddedFront, true
	q.Answer = func(a gateway.Answer) { answer <- a }
	q.ClientConnected = func() bool { return r.Context().Err() == nil }
	if !m.Loop.Post(func() { m.Gateway.Submit(q) }) {
		answer <- gateway.Answer{Outcome: gateway.OutcomeRejected, RetryAfter: retryAfterShutdown, Retryable: true}
	}
	return answer
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

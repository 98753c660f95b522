// Package middleware embeds a gateway in an HTTP server, as middleware for net/http handlers or for a router that accepts
// such middleware, such as chi. It passes requests for a class of the gateway to the gateway, with the same checks and
// answers as the signed front. It passes all other requests to the next handler.
//
// The middleware runs in the goroutines of net/http. A request blocks its goroutine until the gateway has given the final
// answer, the gateway's loop has ended, or the client has disconnected.
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

// Config configures the middleware. Loop, Gateway and Verifier are required.
type Config struct {
	Loop     *gateway.Loop // the loop that the gateway runs on; the caller runs and closes it
	Gateway  *gateway.Gateway
	Settings routing.Settings    // the settings of the gateway, which name its classes
	Verifier *signedurl.Verifier // verifies the tokens of requests
	Issuer   *signedurl.Issuer   // signs renewed tokens; nil: tokens are not renewed
}

// New returns the middleware, a function that wraps the next handler. The wrapped handlers are safe for concurrent use. New
// returns an error if a required field of cfg is nil.
func New(cfg Config) (func(http.Handler) http.Handler, error) {
	if cfg.Loop == nil || cfg.Gateway == nil || cfg.Verifier == nil {
		return nil, errors.New("middleware: Loop, Gateway or Verifier is nil: all three are required")
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
	requestIDBase uint64 // start time in nanoseconds, so that request ids differ between processes
	requestCount  atomic.Uint64
}

// retryAfterShutdown is the Retry-After of a request that arrives after the gateway's loop has ended.
const retryAfterShutdown = time.Second

// serveHTTP answers a request for a class of the gateway, and passes any other request to next.
func (m *handler) serveHTTP(w http.ResponseWriter, r *http.Request, next http.Handler) {
	target := r.RequestURI // as it was sent and signed; r.URL has been decoded
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
	case <-m.Loop.Done(): // the loop has ended, and with it the gateway
		writeResponse(w, m.api.Respond(admitted, gateway.Answer{Outcome: gateway.OutcomeFailed}, time.Now()))
	case <-r.Context().Done():
		m.Loop.Post(func() { m.Gateway.Abandon(admitted.Request) })
	}
}

// bodyProblem returns the answer to a request whose body cannot be read: status 413 if it is too long, otherwise 400.
func bodyProblem(err error) *httpapi.Problem {
	status := http.StatusBadRequest
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	return &httpapi.Problem{Status: status, Reason: "the body cannot be read"}
}

// submit passes a request to the gateway on its loop. The returned channel receives the final answer; it has a buffer of
// one, so that the loop does not block. If the loop has ended, the answer is a rejection.
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
	_, _ = w.Write(r.Body) // for HEAD net/http sends no body
}

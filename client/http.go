package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HTTP is the transport for the signed front: HTTP/1.1 with signed URLs. Each attempt runs in a goroutine of its own. The
// zero value sends unsigned paths. An HTTP must not be copied, and its fields must not be changed after the first use.
type HTTP struct {
	// Sign returns a target (path and query, such as "/assets/7f3a9c21e0b4d655/3?shard=17") with a token added. It is called
	// for each attempt that has no renewed token, so that a token may expire between two attempts, and must be safe for
	// concurrent use. If it returns an error, the attempt fails without being sent. nil: targets are sent without a token.
	Sign func(ctx context.Context, target string) (string, error)
	// Dial opens a TCP connection. It must be safe for concurrent use. nil: a net.Dialer is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu           sync.Mutex
	renewedToken string // the latest renewed token that came with an answer; empty: none
	renewedUntil time.Time
}

// ErrToken is wrapped by the error of a call that failed because the gateway rejected its token (status 403).
var ErrToken = errors.New("the gateway rejected the token")

// Limits of the HTTP transport.
const (
	httpMaxConns       = 32              // TCP connections to a gateway, each with one request at a time
	httpIdleTimeout    = 3 * time.Second // shorter than the idle timeout of the gateway
	healthCheckTimeout = time.Second
	maxAnswerBytes     = 256 << 10
	maxErrorTextBytes  = 200 // bytes of the body of an answer that are quoted in an error
	maxRetryAfter      = time.Hour
	// maxUndeliveredWrites is the maximum number of connections to which an attempt is written if the gateway closes each
	// before a byte arrives. More than one is needed because a gateway closes several idle connections at once.
	maxUndeliveredWrites = 4
)

// rejectionText begins the body of a gateway's rejection.
const rejectionText = "refused:"

// idempotencyKeyHeader is the header's name as it is written to the wire. It is lower-case on purpose: net/http considers a
// request with the header in canonical form to be idempotent and would retry it by itself.
const idempotencyKeyHeader = "idempotency-key"

// httpConn presents a gateway to the planner as one connection with many attempts in flight. net/http sends these attempts
// on up to httpMaxConns TCP connections.
type httpConn struct {
	http    *HTTP
	gateway string
	events  Events
	client  *http.Client
	ctx     context.Context // canceled when the connection ends
	cancel  context.CancelFunc

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // by attempt id: the attempts in flight
	running sync.WaitGroup                // goroutines of attempts and health checks
}

// Connect starts to connect to a gateway. It implements [Transport].
func (h *HTTP) Connect(gateway string, timeout time.Duration, ev Events) Conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &httpConn{http: h, gateway: gateway, events: ev, ctx: ctx, cancel: cancel, cancels: map[uint64]context.CancelFunc{}}
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	firstConn := make(chan net.Conn, 1) // the connection dialled to check that the gateway accepts connections; used for the first request
	transport := &http.Transport{
		MaxConnsPerHost: httpMaxConns, MaxIdleConnsPerHost: httpMaxConns, IdleConnTimeout: httpIdleTimeout, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			select {
			case nc := <-firstConn:
				return newDeliveryConn(nc), nil
			default:
			}
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newDeliveryConn(nc), nil
		},
	}
	c.client = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	go func() {
		dialCtx, cancelDial := context.WithTimeout(ctx, timeout)
		nc, err := dial(dialCtx, "tcp", gateway)
		cancelDial()
		if err == nil {
			firstConn <- nc
			c.events.Up()
			<-ctx.Done()
		}
		cancel()
		c.running.Wait()
		select {
		case nc := <-firstConn:
			_ = nc.Close() // nothing was sent on it
		default:
		}
		transport.CloseIdleConnections()
		c.events.Down(false)
	}()
	return c
}

// Send starts an attempt in a new goroutine. It implements [Conn].
func (c *httpConn) Send(t Try) {
	ctx, cancel := context.WithTimeout(c.ctx, t.Limit)
	c.mu.Lock()
	c.cancels[t.ID] = cancel
	c.mu.Unlock()
	c.running.Go(func() {
		defer cancel()
		a, err := c.roundTrip(ctx, t)
		c.mu.Lock()
		_, inFlight := c.cancels[t.ID]
		delete(c.cancels, t.ID)
		c.mu.Unlock()
		switch {
		case !inFlight || c.ctx.Err() != nil:
		case err != nil && ctx.Err() == nil: // the connection broke: the attempts on it may have run
			c.cancel()
		case err != nil: // the time limit passed; the planner ends the call
		default:
			c.events.Answer(t.ID, a)
		}
	})
}

// roundTrip sends an attempt and reads its answer. It returns an error if no complete answer was received. If the request
// could not be created, it returns an Answer with Err instead, since nothing was sent. If the gateway closes the connection,
// such as an idle one, before any byte of the request arrives, roundTrip writes the same attempt to another connection.
func (c *httpConn) roundTrip(ctx context.Context, t Try) (Answer, error) {
	for writes := 1; ; writes++ {
		var used usedConn
		q, err := c.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.record}), t)
		if err != nil {
			return Answer{Err: err}, nil
		}
		resp, err := c.client.Do(q) //nolint:bodyclose // readAnswer closes it
		if err == nil {
			return c.readAnswer(t, resp)
		}
		if used.mayHaveArrived() || ctx.Err() != nil || writes == maxUndeliveredWrites {
			return Answer{}, err
		}
	}
}

// usedConn records the connection on which net/http sent a request.
type usedConn struct {
	conn   *deliveryConn // nil: net/http has not assigned a connection
	offset uint64        // of the first byte of the request
}

func (u *usedConn) record(info httptrace.GotConnInfo) {
	if nc, ok := info.Conn.(*deliveryConn); ok {
		u.conn, u.offset = nc, nc.offset()
	}
}

// mayHaveArrived reports whether the request may have reached the gateway. Without a connection it returns true as well:
// net/http could not connect, so that the request is not to be written again.
func (u *usedConn) mayHaveArrived() bool { return u.conn == nil || u.conn.mayHaveArrived(u.offset) }

// readAnswer reads the body of a response, closes it, and converts the response to an answer.
func (c *httpConn) readAnswer(t Try, resp *http.Response) (Answer, error) {
	defer func() { _ = resp.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, errors.New("the body of the answer is longer than 256 KiB")
	}
	return c.answer(t, resp, body), nil
}

// newRequest creates the HTTP request of an attempt. It carries the renewed token in a cookie if there is one, otherwise its
// target is signed. An attempt with an idempotency key is a POST, any other a GET.
func (c *httpConn) newRequest(ctx context.Context, t Try) (*http.Request, error) {
	r := t.Request
	target := "/" + r.Class + "/" + r.Object + "/" + strconv.Itoa(r.Part) + "?shard=" + strconv.Itoa(r.Group)
	token := c.http.currentToken(time.Now())
	if token == "" && c.http.Sign != nil {
		var err error
		if target, err = c.http.Sign(ctx, target); err != nil {
			return nil, fmt.Errorf("signing the URL: %w", err)
		}
	}
	method := http.MethodGet
	if t.Key != "" {
		method = http.MethodPost
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway+target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	forbidReplay(q)
	if t.Key != "" {
		q.Header[idempotencyKeyHeader] = []string{t.Key}
	} else if r.Have != "" {
		q.Header.Set("If-None-Match", `"`+r.Have+`"`)
	}
	if t.Second {
		q.Header.Set("Larchusher-Retry", "1")
	}
	if token != "" {
		q.AddCookie(&http.Cookie{Name: renewalCookie, Value: token})
	}
	return q, nil
}

// forbidReplay prevents net/http from retrying a request by itself, since the planner decides about retries. net/http
// may retry a request that has GetBody, and any GET without a body. So forbidReplay removes GetBody and gives a GET without
// a body an empty reader, of which nothing is sent.
func forbidReplay(q *http.Request) {
	q.GetBody = nil
	if q.Method == http.MethodGet && q.Body == http.NoBody {
		q.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// answer converts the response to an attempt to an answer: 200 and 304 are served, 503 is a rejection, any other status a failure.
// It stores a renewed token, and drops the stored one after a 403.
func (c *httpConn) answer(t Try, resp *http.Response, body []byte) Answer {
	a := Answer{Tag: strings.Trim(resp.Header.Get("ETag"), `"`)}
	if isRejection(t, resp, body) {
		a.Backoff, a.Later = true, retryAfter(resp)
		return a
	}
	switch resp.StatusCode {
	case http.StatusOK:
		a.OK, a.Body = true, body
		c.http.storeRenewedToken(resp.Cookies())
	case http.StatusNotModified:
		a.OK, a.Unchanged = true, true
		c.http.storeRenewedToken(resp.Cookies())
	case http.StatusForbidden:
		c.http.dropRenewedToken()
		a.Err = fmt.Errorf("%w: %s", ErrToken, errorText(body))
	default:
		a.Err = fmt.Errorf("%s: %s", resp.Status, errorText(body))
	}
	return a
}

// isRejection reports whether a response rejects an attempt, so that retrying is harmless. Proxies answer 503, too, when they lose the
// connection to a gateway, which may have run the request by then. So a rejection of an attempt with an idempotency key must
// have the text of a gateway's.
func isRejection(t Try, resp *http.Response, body []byte) bool {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	return t.Key == "" || bytes.HasPrefix(body, []byte(rejectionText))
}

// retryAfter returns the Retry-After of a response, at most maxRetryAfter. It returns 0 if the header is missing or is not a
// number of seconds.
func retryAfter(resp *http.Response) time.Duration {
	s, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if it is not a number, the nearest int if it is out of range
	return time.Duration(max(0, min(s, int(maxRetryAfter/time.Second)))) * time.Second
}

// errorText returns the beginning of the body of an answer, to be quoted in an error.
func errorText(body []byte) string {
	return strings.TrimSpace(string(body[:min(len(body), maxErrorTextBytes)]))
}

// Abandon cancels an attempt. It implements [Conn].
func (c *httpConn) Abandon(try uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[try]; cancel != nil {
		delete(c.cancels, try)
		cancel()
	}
}

// Probe sends a health check: HEAD / in a new goroutine. Any response counts as healthy, although the gateway does not serve
// that path. It implements [Conn].
func (c *httpConn) Probe() {
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, healthCheckTimeout)
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+c.gateway+"/", nil)
		if err != nil {
			return
		}
		if resp, err := c.client.Do(q); err == nil {
			_ = resp.Body.Close() // a response to HEAD has no body
			c.events.Heard(true)
		}
	})
}

// Close ends the connection and cancels its attempts. It implements [Conn].
func (c *httpConn) Close() { c.cancel() }

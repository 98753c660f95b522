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

// HTTP is the signed front's protocol: HTTP/1.1 with signed paths. A goroutine carries each attempt.
type HTTP struct {
	// Sign turns a path and query, such as "/assets/7f3a9c21e0b4d655/3?shard=17", into one with a token. It is called
	// for each attempt, so that a token may expire between two; nil: paths go as they are.
	Sign func(ctx context.Context, target string) (string, error)
	// Dial connects; nil: as net.Dialer does.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu           sync.Mutex
	renewedToken string // the latest token that an answer renewed; empty: none
	renewedUntil time.Time
}

// ErrToken is why a call failed whose token the gateway did not take.
var ErrToken = errors.New("the token was refused")

// Limits of a connection.
const (
	httpMaxConns       = 32              // connections to a gateway, each with one request at a time
	httpIdleTimeout    = 3 * time.Second // before the gateway closes an idle connection
	healthCheckTimeout = time.Second
	maxAnswerBytes     = 256 << 10
	maxErrorTextBytes  = 200 // of an answer's body in an error
	maxRetryAfter      = time.Hour
	// maxUndelivered is how many times an attempt is written to a connection of which the gateway closes before anything
	// arrives: idle connections are closed in numbers.
	maxUndelivered = 4
)

// idempotencyKeyHeader is written as it stands here. net/http takes a request with the header's canonical form for one that may be
// sent twice, and does so by itself.
const idempotencyKeyHeader = "idempotency-key"

// httpConn is a gateway as the planner sees it: one connection with many attempts at once, on as many connections as net/http
// opens.
type httpConn struct {
	http    *HTTP
	gateway string
	events  Events
	client  *http.Client
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // by attempt: those in flight
	running sync.WaitGroup                // attempts and health checks
}

// Connect begins to connect.
func (h *HTTP) Connect(gateway string, timeout time.Duration, ev Events) Conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &httpConn{http: h, gateway: gateway, events: ev, ctx: ctx, cancel: cancel, cancels: map[uint64]context.CancelFunc{}}
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	first := make(chan net.Conn, 1) // the connection that proves that the gateway is there carries the first request
	transport := &http.Transport{
		MaxConnsPerHost: httpMaxConns, MaxIdleConnsPerHost: httpMaxConns, IdleConnTimeout: httpIdleTimeout, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			select {
			case nc := <-first:
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
		dctx, done := context.WithTimeout(ctx, timeout)
		nc, err := dial(dctx, "tcp", gateway)
		done()
		if err == nil {
			first <- nc
			c.events.Up()
			<-ctx.Done()
		}
		cancel()
		c.running.Wait()
		select {
		case nc := <-first:
			_ = nc.Close() // nothing was sent on it
		default:
		}
		transport.CloseIdleConnections()
		c.events.Down(false)
	}()
	return c
}

// Send starts an attempt.
func (c *httpConn) Send(t Try) {
	ctx, cancel := context.WithTimeout(c.ctx, t.Limit)
	c.mu.Lock()
	c.cancels[t.ID] = cancel
	c.mu.Unlock()
	c.running.Go(func() {
		defer cancel()
		a, err := c.roundTrip(ctx, t)
		c.mu.Lock()
		_, wanted := c.cancels[t.ID]
		delete(c.cancels, t.ID)
		c.mu.Unlock()
		switch {
		case !wanted || c.ctx.Err() != nil:
		case err != nil && ctx.Err() == nil: // the connection broke: its attempts may have run, and nobody can say
			c.cancel()
		case err != nil: // no time is left; the planner ends the call
		default:
			c.events.Answer(t.ID, a)
		}
	})
}

// roundTrip sends one request and reads its answer. An error says that none came; what fails before anything is sent is
// an answer with an Err. A request of which nothing reached the gateway, since that closed an idle connection, is written to
// another connection: it is the same attempt.
func (c *httpConn) roundTrip(ctx context.Context, t Try) (Answer, error) {
	for undelivered := 1; ; undelivered++ {
		var used usedConn
		q, err := c.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.record}), t)
		if err != nil {
			return Answer{Err: err}, nil
		}
		resp, err := c.client.Do(q) //nolint:bodyclose // readAnswer closes it
		if err == nil {
			return c.readAnswer(resp)
		}
		if used.mayHaveArrived() || ctx.Err() != nil || undelivered == maxUndelivered {
			return Answer{}, err
		}
	}
}

// usedConn is the connection that a request was given, and how much had been written to it before.
type usedConn struct {
	conn   *deliveryConn // nil: it was given none
	offset uint64
}

func (u *usedConn) record(info httptrace.GotConnInfo) {
	if nc, ok := info.Conn.(*deliveryConn); ok {
		u.conn, u.offset = nc, nc.offset()
	}
}

// mayHaveArrived reports whether the request may have reached the gateway. Without a connection there is nobody to try again with.
func (u *usedConn) mayHaveArrived() bool { return u.conn == nil || u.conn.mayHaveArrived(u.offset) }

// readAnswer reads the answer whose head has come.
func (c *httpConn) readAnswer(resp *http.Response) (Answer, error) {
	defer func() { _ = resp.Body.Close() }() // what could be read of it was
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, errors.New("an answer that does not end")
	}
	return c.answer(resp, body), nil
}

// newRequest makes the request of an attempt, with a renewed token if there is one, else with a signed path.
func (c *httpConn) newRequest(ctx context.Context, t Try) (*http.Request, error) {
	r := t.Request
	target := "/" + r.Class + "/" + r.Object + "/" + strconv.Itoa(r.Part) + "?shard=" + strconv.Itoa(r.Group)
	token := c.http.currentToken(time.Now())
	if token == "" && c.http.Sign != nil {
		var err error
		if target, err = c.http.Sign(ctx, target); err != nil {
			return nil, fmt.Errorf("signing: %w", err)
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

// forbidReplay keeps net/http from sending a request again by itself: what is sent again decides the planner. A GET without a
// body is replayed however GetBody stands, so it gets one to read, which has no bytes and is not sent.
func forbidReplay(q *http.Request) {
	q.GetBody = nil
	if q.Method == http.MethodGet && q.Body == http.NoBody {
		q.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// answer converts a response to an answer by its status.
func (c *httpConn) answer(resp *http.Response, body []byte) Answer {
	a := Answer{Tag: strings.Trim(resp.Header.Get("ETag"), `"`)}
	switch resp.StatusCode {
	case http.StatusOK:
		a.OK, a.Body = true, body
		c.http.storeRenewedToken(resp.Cookies())
	case http.StatusNotModified:
		a.OK, a.Unchanged = true, true
		c.http.storeRenewedToken(resp.Cookies())
	case http.StatusServiceUnavailable:
		a.Backoff, a.Later = true, retryAfter(resp)
	case http.StatusForbidden:
		c.http.dropRenewedToken()
		a.Err = fmt.Errorf("%w: %s", ErrToken, errorText(body))
	default:
		a.Err = fmt.Errorf("%s: %s", resp.Status, errorText(body))
	}
	return a
}

// retryAfter is a response's Retry-After in whole seconds; 0 if it has none or one that can't be read.
func retryAfter(resp *http.Response) time.Duration {
	s, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if it is no number, the nearest int if it is out of range
	return time.Duration(max(0, min(s, int(maxRetryAfter/time.Second)))) * time.Second
}

// errorText is the beginning of a body, for an error.
func errorText(body []byte) string {
	return strings.TrimSpace(string(body[:min(len(body), maxErrorTextBytes)]))
}

// Abandon cancels an attempt.
func (c *httpConn) Abandon(try uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[try]; cancel != nil {
		delete(c.cancels, try)
		cancel()
	}
}

// Probe asks for a path that nobody serves: any answer will do.
func (c *httpConn) Probe() {
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, healthCheckTimeout)
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+c.gateway+"/", nil)
		if err != nil {
			return
		}
		if resp, err := c.client.Do(q); err == nil {
			_ = resp.Body.Close() // an answer to HEAD has none
			c.events.Heard(true)
		}
	})
}

// Close ends the connection.
func (c *httpConn) Close() { c.cancel() }

package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HTTP is the signed front's protocol: HTTP/1.1 with signed paths. A goroutine carries each try.
type HTTP struct {
	// Sign turns a path and query, such as "/assets/7f3a9c21e0b4d655/3?shard=17", into one with a token. It is asked
	// anew for each try, so that a token may run out between two; nil: paths go as they are.
	Sign func(ctx context.Context, target string) (string, error)
	// Dial connects; nil: as net.Dialer does.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu           sync.Mutex
	renewedToken string // the latest token that an answer renewed
	renewedUntil time.Time
}

// ErrToken is why a call failed whose token the gateway did not take.
var ErrToken = errors.New("the token was refused")

const renewalCookie = "URISigningPackage"

// httpConn is a gateway as a planner sees it: up to so many requests at once, on as many connections as net/http takes.
type httpConn struct {
	http    *HTTP
	gateway string
	events  Events
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	running sync.WaitGroup
}

// Connect begins to connect.
func (h *HTTP) Connect(gateway string, timeout time.Duration, ev Events) Conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &httpConn{http: h, gateway: gateway, events: ev, ctx: ctx, cancel: cancel, cancels: map[uint64]context.CancelFunc{}}
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	first := make(chan net.Conn, 1) // what proves that the gateway is there carries the first request
	transport := &http.Transport{MaxConnsPerHost: 32, MaxIdleConnsPerHost: 32, IdleConnTimeout: 3 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			select {
			case nc := <-first:
				return nc, nil
			default:
				return dial(ctx, network, addr)
			}
		}}
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

// Send starts a try.
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
		case err != nil && ctx.Err() == nil: // the connection broke, and with it all that is known of the gateway
			c.cancel()
		case err != nil: // no time is left; the planner ends the call
		default:
			c.events.Answer(t.ID, a)
		}
	})
}

// roundTrip sends one request and reads its answer.
func (c *httpConn) roundTrip(ctx context.Context, t Try) (a Answer, err error) {
	r := t.Request
	target := "/" + r.Class + "/" + r.Object + "/" + strconv.Itoa(r.Part) + "?shard=" + strconv.Itoa(r.Group)
	cookie := c.http.currentToken(time.Now())
	if cookie == "" && c.http.Sign != nil {
		if target, err = c.http.Sign(ctx, target); err != nil {
			return Answer{Err: fmt.Errorf("signing: %w", err)}, nil
		}
	}
	method := http.MethodGet
	if t.Key != "" {
		method = http.MethodPost
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway+target, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}, nil
	}
	q.GetBody = nil // the planner decides what is sent again, not net/http
	if t.Key != "" {
		q.Header.Set("Idempotency-Key", t.Key)
	} else if r.Have != "" {
		q.Header.Set("If-None-Match", `"`+r.Have+`"`)
	}
	if t.Second {
		q.Header.Set("Larchusher-Retry", "1")
	}
	if cookie != "" {
		q.AddCookie(&http.Cookie{Name: renewalCookie, Value: cookie})
	}
	resp, err := c.client.Do(q)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }() // what could be read of it was
	body, err := io.ReadAll(io.LimitReader(resp.Body, 256<<10+1))
	if err != nil {
		return a, err
	}
	if len(body) > 256<<10 {
		return a, errors.New("an answer that does not end")
	}
	a.Tag = strings.Trim(resp.Header.Get("ETag"), `"`)
	switch resp.StatusCode {
	case http.StatusOK:
		a.OK, a.Body = true, body
		c.http.storeRenewedToken(resp.Cookies())
	case http.StatusNotModified:
		a.OK, a.Unchanged = true, true
		c.http.storeRenewedToken(resp.Cookies())
	case http.StatusServiceUnavailable:
		s, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		a.Backoff, a.Later = true, time.Duration(max(0, min(s, 3600)))*time.Second
	case http.StatusForbidden:
		c.http.storeRenewedToken(nil)
		a.Err = fmt.Errorf("%w: %s", ErrToken, strings.TrimSpace(string(body[:min(len(body), 200)])))
	default:
		a.Err = fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(body[:min(len(body), 200)])))
	}
	return a, nil
}

// currentToken is the renewed one, while it is good.
func (h *HTTP) currentToken(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.renewedUntil) {
		return h.renewedToken
	}
	return ""
}

// storeRenewedToken keeps a token that came with an answer, for nine tenths of its time; none: the one that is kept is of no use.
func (h *HTTP) storeRenewedToken(cookies []*http.Cookie) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cookies == nil {
		h.renewedToken, h.renewedUntil = "", time.Time{}
	}
	for _, k := range cookies {
		if k.Name == renewalCookie && k.MaxAge > 0 {
			h.renewedToken, h.renewedUntil = k.Value, time.Now().Add(time.Duration(k.MaxAge)*time.Second*9/10)
		}
	}
}

// Abandon cancels a try.
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
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
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

// RoundTripper sends requests for /CLASS/OBJECT/PART?shard=GROUP through a client, with all its decisions, for programs
// that have an http.Client. Tokens are the transport's matter: what a URL carries of them is passed over.
type RoundTripper struct{ Client *Client }

// RoundTrip answers a request. Its errors are those of Do; a refusal is a 503 with Retry-After.
func (t *RoundTripper) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.Body != nil {
		defer func() { _ = q.Body.Close() }() // net/http asks for it; it is the caller's, and was read
	}
	words := strings.Split(strings.TrimPrefix(q.URL.Path, "/"), "/")
	if len(words) != 3 {
		return nil, fmt.Errorf("%w: path %q is not /CLASS/OBJECT/PART", ErrRequest, q.URL.Path)
	}
	part, err := strconv.Atoi(words[2])
	if err != nil {
		return nil, fmt.Errorf("%w: part %q", ErrRequest, words[2])
	}
	group := 0
	if s := q.URL.Query().Get("shard"); s != "" {
		if group, err = strconv.Atoi(s); err != nil {
			return nil, fmt.Errorf("%w: shard %q", ErrRequest, s)
		}
	}
	r := Request{Class: words[0], Object: words[1], Part: part, Group: group, Key: strings.Trim(q.Header.Get("Idempotency-Key"), `"`),
		Have: strings.Trim(q.Header.Get("If-None-Match"), `"`)}
	if q.Body != nil {
		if r.Body, err = io.ReadAll(io.LimitReader(q.Body, 48001)); err != nil {
			return nil, err
		}
	}
	got, err := t.Client.Do(q.Context(), r)
	resp := &http.Response{StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: q}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set("Retry-After", strconv.Itoa(int((refused.Later+time.Second-1)/time.Second)))
	case err != nil:
		return nil, err
	case got.Unchanged:
		resp.StatusCode = http.StatusNotModified
	}
	if got.Tag != "" {
		resp.Header.Set("ETag", `"`+got.Tag+`"`)
	}
	resp.Status = strconv.Itoa(resp.StatusCode) + " " + http.StatusText(resp.StatusCode)
	resp.ContentLength = int64(len(got.Body))
	resp.Body = io.NopCloser(bytes.NewReader(got.Body))
	return resp, nil
}

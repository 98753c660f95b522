package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchusher/lab/loopback"
	"larchusher/lab/testbed"
	"larchusher/signedurl"
)

// base is the base URL that signed URIs begin with.
const base = "https://assets.example"

// signedKeys are the keys that signedRig gives to the gateway.
var signedKeys = signedurl.Config{Base: base, Leeway: 3 * time.Second, Keys: []signedurl.Key{
	{ID: "old", Form: signedurl.URISigning, Algorithm: "HS256", Secret: []byte("0123456789abcdef")},
	{ID: "new", Form: signedurl.URISigning, Algorithm: "HS512", Secret: []byte("fedcba9876543210")},
	{ID: "edge", Form: signedurl.EdgeAuth, Secret: []byte("abcdef0123456789")},
}}

// signedRig starts the program with a signed front and returns the front's address. The text extraConfig is added to the
// operator's file, and the changes are made to the rig before the start.
func signedRig(t *testing.T, extraConfig string, changes ...func(*rig)) (*rig, string) {
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "operator.textproto")
	file := fmt.Sprintf("%s\nsigned_front {\nlisten: %q\nbase: %q\nleeway: \"3s\"\nrenew_with: \"new\"\n", extraConfig, addr, base)
	r := newRig(t)
	for i, k := range signedKeys.Keys {
		file += fmt.Sprintf("key {\nid: %q\nform: %q\nalgorithm: %q\nsecret_env: \"K%d\"\n}\n", k.ID, k.Form, k.Algorithm, i)
		r.env = append(r.env, fmt.Sprintf("K%d=%x", i, k.Secret))
	}
	if err := os.WriteFile(path, []byte(file+"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.args = []string{"serve", "--operator", path}
	for _, change := range changes {
		change(r)
	}
	return r.start(), addr
}

// signer returns a function that signs orders with one key of a configuration. A signing error fails the test.
func signer(t *testing.T, cfg signedurl.Config, key string) func(o signedurl.Order) string {
	i, err := signedurl.NewIssuer(cfg, key)
	if err != nil {
		t.Fatal(err)
	}
	return func(o signedurl.Order) string {
		t.Helper()
		uri, err := i.Sign(o)
		if err != nil {
			t.Fatal(err)
		}
		return uri
	}
}

// httpConn is an HTTP client on one connection, with a deadline of a minute for all its requests together.
type httpConn struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

// newHTTPConn connects to addr. The connection is closed at the end of the test.
func newHTTPConn(t *testing.T, addr string) *httpConn {
	conn, err := loopback.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loopback.Close(conn) })
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	return &httpConn{t, conn, bufio.NewReader(conn)}
}

// request encodes an HTTP request without a body; fields are header lines.
func request(method, target string, fields ...string) string {
	s := method + " " + target + " HTTP/1.1\r\nHost: elsewhere.example\r\n"
	for _, f := range fields {
		s += f + "\r\n"
	}
	return s + "\r\n"
}

// httpResponse is the status and headers of a response.
type httpResponse struct {
	StatusCode int
	Header     http.Header
	Cookies    []*http.Cookie
	Close      bool // the server closes the connection after this response
}

// readResponse reads the next response and its body. An error fails the test.
func (w *httpConn) readResponse() (httpResponse, string) {
	w.t.Helper()
	p, err := http.ReadResponse(w.r, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }() // read to its end
	b, err := io.ReadAll(p.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	return httpResponse{StatusCode: p.StatusCode, Header: p.Header, Cookies: p.Cookies(), Close: p.Close}, string(b)
}

// get sends a request and returns the status, the body without a final newline, and the headers of its response. The
// method need not be GET.
func (w *httpConn) get(method, target string, fields ...string) (int, string, http.Header) {
	w.t.Helper()
	if _, err := io.WriteString(w.conn, request(method, target, fields...)); err != nil {
		w.t.Fatal(err)
	}
	p, body := w.readResponse()
	return p.StatusCode, strings.TrimSuffix(body, "\n"), p.Header
}

// signedRequest is a signed target with the expected status and body; an empty body matches any.
type signedRequest struct {
	target string
	status int
	body   string
}

// signedRequestAt returns request i of total: half of them are valid, a quarter expired, and a quarter altered after the
// signing.
func signedRequestAt(i, total int, now time.Time, sign func(signedurl.Order) string) signedRequest {
	o := fmt.Sprintf("%016x", i)
	order := signedurl.Order{Target: "/images/" + o + "/1", Expiry: now.Add(time.Hour)}
	switch i % 4 {
	case 2:
		order.Expiry = now.Add(-time.Minute)
		return signedRequest{sign(order), 403, "expired"}
	case 3:
		return signedRequest{tamper(sign(order), o, i, total), 403, ""}
	default:
		return signedRequest{sign(order), 200, content(o, "1")}
	}
}

// tamper changes the object, the part or the signature of a signed URI.
func tamper(uri, object string, i, total int) string {
	switch i / 12 % 3 {
	case 0:
		return strings.Replace(uri, object, fmt.Sprintf("%016x", i+total), 1)
	case 1:
		return strings.Replace(uri, "/1?", "/2?", 1)
	default:
		last := "A"
		if at := len(uri) - 8; uri[at] == 'A' || uri[at] == 'a' {
			last = "0"
		}
		return uri[:len(uri)-8] + last + uri[len(uri)-7:]
	}
}

// checkSigned reads and checks one response for each expected one. At the end it sends one more request and checks its
// response, which shows that no surplus responses arrived. It returns the numbers of served and rejected requests.
func (w *httpConn) checkSigned(wants <-chan signedRequest) (got [2]int, err error) {
	for want := range wants {
		p, err := http.ReadResponse(w.r, nil)
		if err != nil {
			return got, err
		}
		b, err := io.ReadAll(p.Body)
		_ = p.Body.Close() // read to its end
		if err != nil {
			return got, fmt.Errorf("reading the body of response %d %.60q, want %d %.60q: %w", p.StatusCode, b, want.status, want.body, err)
		}
		if p.StatusCode != want.status || want.body != "" && strings.TrimSuffix(string(b), "\n") != want.body {
			return got, fmt.Errorf("got response %d %.60q, want %d %.60q", p.StatusCode, b, want.status, want.body)
		}
		got[map[bool]int{true: 0, false: 1}[want.status == 200]]++
	}
	if _, err := io.WriteString(w.conn, request("GET", "/none")); err != nil {
		return got, err
	}
	p, err := http.ReadResponse(w.r, nil)
	if err != nil {
		return got, fmt.Errorf("reading the response to the final request: %w", err)
	}
	_ = p.Body.Close() // read to its end
	if p.StatusCode != 403 {
		return got, fmt.Errorf("final request: response %v, want status 403", p)
	}
	return got, nil
}

// Of 10,000 valid, expired and altered requests, each must get one answer, only the valid ones may be served, and no
// rejected one may reach a store.
func TestSignedFrontServesOnlyValidTokens(t *testing.T) {
	const total, conns, window = 10000, 8, 16
	r, addr := signedRig(t, "")
	signers := []func(signedurl.Order) string{signer(t, signedKeys, "old"), signer(t, signedKeys, "new"), signer(t, signedKeys, "edge")}
	now := time.Now()
	results := make(chan [2]int, conns) // served and rejected
	errs := make(chan error, conns)
	for n := range conns {
		w := newHTTPConn(t, addr)
		var sent []signedRequest
		for i := n; i < total; i += conns {
			sent = append(sent, signedRequestAt(i, total, now, signers[i/4%3]))
		}
		wants := make(chan signedRequest, window) // bounds the requests in flight on the connection
		go func() {
			for _, s := range sent {
				wants <- s
				if _, err := io.WriteString(w.conn, request("GET", s.target)); err != nil {
					errs <- err
					return
				}
			}
			close(wants)
		}()
		go func() {
			got, err := w.checkSigned(wants)
			if err != nil {
				errs <- err
				return
			}
			results <- got
		}()
	}
	served, refused := 0, 0
	for range conns {
		select {
		case err := <-errs:
			t.Fatal(err)
		case got := <-results:
			served, refused = served+got[0], refused+got[1]
		}
	}
	if served != total/2 || refused != total/2 {
		t.Errorf("%d requests served, %d rejected, want half of each", served, refused)
	}
	for _, a := range r.storeRequests("") {
		i, err := strconv.ParseUint(a.Fields["name"], 16, 64)
		if err != nil || i >= total || i%4 > 1 || a.Fields["piece"] != "1" {
			t.Fatalf("a store received fields %v, which no valid request has", a.Fields)
		}
	}
	if n := r.counter("signed_admitted"); n != total/2 {
		t.Errorf("signed_admitted is %d, want the number of valid requests", n)
	}
}

// When a token expires between parts 3 and 4 of a film, part 3, which was admitted before, must be served completely,
// part 4 must be rejected, and the renewed token that came with part 3 must be accepted for the same object only.
func TestTokenExpiresBetweenParts(t *testing.T) {
	r, addr := signedRig(t, "")
	pending := make(chan *storeRequest, 10)
	r.setHandler(func(a *storeRequest) { pending <- a })
	sign := signer(t, signedKeys, "new")
	path := "/films/" + object + "/"
	pattern := base + path + "[0-9]+"
	// Token expiry has a resolution of a second. The leeway adds 3 s.
	expiry := time.Now().Truncate(time.Second)
	token := func(part string, renew time.Duration) string {
		return sign(signedurl.Order{Target: path + part, Pattern: pattern, Expiry: expiry, Renew: renew})
	}
	w := newHTTPConn(t, addr)
	if _, err := io.WriteString(w.conn, request("GET", token("3", time.Minute))); err != nil {
		t.Fatal(err)
	}
	a := <-pending
	<-time.After(time.Until(expiry.Add(3*time.Second + 10*time.Millisecond))) // 10 ms after the end of the leeway
	other := newHTTPConn(t, addr)
	if status, body, _ := other.get("GET", token("4", 0)); status != 403 || body != "expired" {
		t.Errorf("part 4 with an expired token: status %d, body %s; want 403 expired", status, body)
	}
	serveHit(a)
	p, body := w.readResponse()
	if p.StatusCode != 200 || body != content(object, "3") {
		t.Fatalf("part 3: status %d, want 200 and the content", p.StatusCode)
	}
	cookies := p.Cookies
	if len(cookies) != 1 || cookies[0].Name != signedurl.URISigningPackage {
		t.Fatalf("part 3 came without a renewed token; headers: %v", p.Header)
	}
	r.setHandler(serveHit)
	fresh := "Cookie: " + cookies[0].Name + "=" + cookies[0].Value
	if status, body, _ := other.get("GET", path+"4", fresh); status != 200 || body != content(object, "4") {
		t.Errorf("part 4 with the renewed token: status %d, want 200 and the content", status)
	}
	if status, body, _ := other.get("GET", "/films/00000000000000aa/4", fresh); status != 403 || body != "uri_mismatch" {
		t.Errorf("another object with the renewed token: status %d, body %s; want 403 uri_mismatch", status, body)
	}
}

// The signed front must give the documented status for each kind of request: served, unchanged, invalid, malformed, late
// and rejected. Invalid requests must not reach a store.
func TestSignedFrontResponses(t *testing.T) {
	r, addr := signedRig(t, "")
	sign := signer(t, signedKeys, "edge")
	w := newHTTPConn(t, addr)
	good := func(target string) string {
		return sign(signedurl.Order{Target: target, Pattern: "/*", Expiry: time.Now().Add(time.Hour)})
	}
	imageTarget := good("/images/" + object + "/3?shard=17")
	orderTarget := good("/orders/" + object + "/0")
	status, body, h := w.get("GET", imageTarget)
	if status != 200 || body != content(object, "3") || h.Get("ETag") != `"tag-`+object+`"` {
		t.Errorf("GET: status %d, headers %v; want 200, the content and its ETag", status, h)
	}
	if _, err := io.WriteString(w.conn, request("HEAD", imageTarget)); err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(w.r, &http.Request{Method: "HEAD"})
	if err != nil {
		t.Fatalf("reading the response to HEAD failed: %v", err)
	}
	_ = p.Body.Close() // read to its end
	if p.StatusCode != 200 || p.ContentLength != int64(len(body)) {
		t.Errorf("HEAD: response %v, want status 200 and the content length of GET", p)
	}
	r.setHandler(func(a *storeRequest) { a.Reply("KEEP", "why=warm,digest="+a.Fields["got"], "") })
	if status, body, h := w.get("GET", imageTarget, `If-None-Match: "tag-1"`); status != 304 || body != "" || h.Get("ETag") != `"tag-1"` {
		t.Errorf("GET with If-None-Match: status %d, headers %v; want 304 without a body and the same ETag", status, h)
	}
	r.setHandler(serveHit)
	if status, _, _ := w.get("POST", orderTarget, "Idempotency-Key: \"k-1\"", "Content-Length: 0"); status != 200 {
		t.Errorf("POST with an idempotency key: status %d, want 200", status)
	}
	if keys := fmt.Sprint(idempotencyKeys(r.storeRequests(object))); !strings.Contains(keys, "k-1") {
		t.Errorf("the stores received the idempotency keys %s, want k-1 among them", keys)
	}
	seen := len(r.storeRequests(""))
	for _, c := range []struct {
		method, target string
		status         int
		fields         []string
	}{
		{"GET", orderTarget, 405, nil}, {"POST", imageTarget, 405, []string{"Content-Length: 0"}},
		{"POST", orderTarget, 400, []string{"Content-Length: 0"}},
		{"POST", orderTarget, 400, []string{"Content-Length: 0", "Idempotency-Key: a,b"}},
		{"GET", good("/nothing/" + object + "/3"), 404, nil}, {"GET", good("/images/xyz/3"), 404, nil},
		{"GET", good("/images/" + object + "/03"), 404, nil},
		{"GET", good("/images/" + object + "/3?shard=256"), 400, nil},
		{"GET", imageTarget + "&hdnts=x", 403, nil}, {"GET", "/images/" + object + "/3", 403, nil},
		{"GET", strings.Replace(imageTarget, "/3?", "/%33?", 1), 403, nil},
	} {
		if status, body, _ := w.get(c.method, c.target, c.fields...); status != c.status {
			t.Errorf("%s %s: status %d, body %s; want status %d", c.method, c.target, status, body, c.status)
		}
	}
	for raw, want := range map[string]int{
		"GET  / HTTP/1.1\r\n\r\n": 400, "GET / HTTP/2.0\r\n\r\n": 505, "GET / HTTP/1.1\r\n\r\n": 400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n":              501,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n":                  413,
		"GET / HTTP/1.1\r\nHost: a\r\n folded: x\r\n\r\n":                              400,
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n":  431,
	} {
		bad := newHTTPConn(t, addr)
		_, _ = io.WriteString(bad.conn, raw)
		if p, _ := bad.readResponse(); p.StatusCode != want || !p.Close {
			t.Errorf("malformed request %.40q: status %d, want the status of its fault and a closed connection", raw, p.StatusCode)
		}
	}
	if n := len(r.storeRequests("")); n != seen {
		t.Errorf("%d of the invalid requests reached a store, want none", n-seen)
	}
	r.setHandler(func(*storeRequest) {}) // the stores do not answer
	began := time.Now()
	if status, _, _ := w.get("GET", imageTarget); status != 504 || time.Since(began) < 2*time.Second {
		t.Errorf("request that no store answers: status %d after %v, want 504 at the deadline of the class", status, time.Since(began))
	}
	for _, s := range r.stores {
		loopback.Close(s.Listener)
		s.SetHandler(func(a *storeRequest) { loopback.Close(a.Conn) })
	}
	if status, _, h := w.get("GET", imageTarget); status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("request without usable stores: status %d, headers %v; want 503 with Retry-After", status, h)
	}
}

// An attempt that may have run must not be retried if its class is not repeatable; the client gets status 502.
func TestUnrepeatableAttemptGivesBadGateway(t *testing.T) {
	r, addr := signedRig(t, "", func(r *rig) {
		r.config["settings"] = json.RawMessage(strings.Replace(testbed.Settings, `"effect":"by_key"`, `"effect":"once"`, 1))
	})
	r.setHandler(func(a *storeRequest) { loopback.Close(a.Conn) })
	target := signer(t, signedKeys, "edge")(signedurl.Order{Target: "/orders/" + object + "/0", Expiry: time.Now().Add(time.Hour)})
	if status, _, _ := newHTTPConn(t, addr).get("POST", target, "Idempotency-Key: k", "Content-Length: 0"); status != 502 {
		t.Errorf("status %d, want 502", status)
	}
	if n := len(r.storeRequests("")); n != 1 {
		t.Errorf("the stores received %d attempts, want 1", n)
	}
}

// idempotencyKeys returns the idempotency key of each store request.
func idempotencyKeys(l []*storeRequest) (keys []string) {
	for _, a := range l {
		keys = append(keys, a.Fields["dedupe"])
	}
	return keys
}

// The health checks for load balancers must report ready, and draining after SIGINT, to the agent and over HTTP. 40 silent
// connections to the HTTP check must not keep a later check from being answered.
func TestLoadBalancerHealthChecks(t *testing.T) {
	agent, health := freeAddr(t), freeAddr(t)
	r, _ := signedRig(t, fmt.Sprintf("health {\nagent_listen: %q\nhttp_listen: %q\n}", agent, health))
	ask := func() string {
		c, err := loopback.Dial(agent)
		if err != nil {
			t.Fatal(err)
		}
		defer loopback.Close(c)
		_ = c.SetDeadline(time.Now().Add(eventTimeout))
		b, err := io.ReadAll(c)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	eventually(t, "the agent check reports ready", func() bool { return ask() == "ready up 100%\n" })
	if status, _, _ := newHTTPConn(t, health).get("GET", "/healthz"); status != 200 {
		t.Errorf("GET /healthz: status %d, want 200", status)
	}
	for range 40 { // silent connections that occupy all connection slots of the HTTP check
		c, err := loopback.Dial(health)
		if err != nil {
			t.Fatal(err)
		}
		defer loopback.Close(c)
	}
	eventually(t, "an HTTP check is answered beside silent connections", func() bool {
		c, err := loopback.Dial(health)
		if err != nil {
			t.Fatal(err)
		}
		defer loopback.Close(c)
		_ = c.SetDeadline(time.Now().Add(eventTimeout))
		_, _ = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
		b, _ := io.ReadAll(c)
		return strings.HasPrefix(string(b), "HTTP/1.1 200")
	})
	if status, _, _ := newHTTPConn(t, health).get("GET", "/other"); status != 404 {
		t.Errorf("GET of another path: status %d, want 404", status)
	}
	_ = r.cmd.Process.Signal(os.Interrupt)
	r.waitForLog("msg=draining")
	if got := ask(); got != "drain\n" {
		t.Errorf("agent check while draining: %q, want drain", got)
	}
	if status, _, _ := newHTTPConn(t, health).get("GET", "/healthz"); status != 503 {
		t.Errorf("GET /healthz while draining: status %d, want 503", status)
	}
}

package test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	lib "larchusher/client"
	"larchusher/signedurl"
)

// statusByName returns the HTTP statuses by the names of their constants in net/http.
func statusByName() map[string]int {
	const lowest, highest = 100, 599
	statuses := map[string]int{}
	for status := lowest; status <= highest; status++ {
		if text := http.StatusText(status); text != "" {
			statuses["Status"+strings.NewReplacer(" ", "", "-", "", "'", "").Replace(text)] = status
		}
	}
	return statuses
}

// statusesInCode returns the HTTP statuses that the code of packages names.
func statusesInCode(t *testing.T, dirs ...string) []int {
	t.Helper()
	byName, found := statusByName(), map[int]bool{}
	for _, dir := range dirs {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no code in %s: %v", dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			code, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(code, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok && byName[s.Sel.Name] > 0 {
					found[byName[s.Sel.Name]] = true
				}
				return true
			})
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// headCase is a HEAD request that the signed front answers with a status.
type headCase struct {
	request string
	handle  func(*storeRequest) // answers of the stores; nil: they serve
	closes  bool                // the connection ends with the answer
}

// headCases returns a HEAD request for each status that the signed front gives to one.
func headCases(sign func(signedurl.Order) string) map[int]headCase {
	signed := func(target string) string {
		return strings.TrimPrefix(sign(signedurl.Order{Target: target, Expiry: time.Now().Add(time.Hour)}), base)
	}
	head := func(target string, fields ...string) string { return request("HEAD", target, fields...) }
	part := signed("/images/" + object + "/3?shard=17")
	return map[int]headCase{
		http.StatusOK:                          {request: head(part)},
		http.StatusNotModified:                 {request: head(part, `If-None-Match: "tag"`), handle: func(a *storeRequest) { a.Reply("KEEP", "why=warm,digest=tag", "") }},
		http.StatusBadRequest:                  {request: head(signed("/images/" + object + "/3?shard=256"))},
		http.StatusForbidden:                   {request: head("/images/" + object + "/3")},
		http.StatusNotFound:                    {request: head(signed("/nothing/" + object + "/3"))},
		http.StatusMethodNotAllowed:            {request: head(signed("/orders/" + object + "/3"))},
		http.StatusServiceUnavailable:          {request: head(part), handle: func(a *storeRequest) { a.Reply("WAIT", "-", "") }},
		http.StatusGatewayTimeout:              {request: head(part), handle: func(*storeRequest) {}},
		http.StatusRequestTimeout:              {request: "HEAD " + part + " HTTP/1.1\r\nHost: a\r\n", closes: true},
		http.StatusExpectationFailed:           {request: head(part, "Expect: something"), closes: true},
		http.StatusNotImplemented:              {request: head(part, "Transfer-Encoding: chunked"), closes: true},
		http.StatusRequestEntityTooLarge:       {request: head(part, "Content-Length: 99999"), closes: true},
		http.StatusRequestHeaderFieldsTooLarge: {request: head(part, "X: "+strings.Repeat("x", 20<<10)), closes: true},
		http.StatusHTTPVersionNotSupported:     {request: "HEAD " + part + " HTTP/2.0\r\n\r\n", closes: true},
	}
}

// Guards against content in the answer to a HEAD (RFC 9110, 9.3.2), which the client takes for the start of its next answer: for each status
// that the code of the signed front names.
func TestHeadIsAnsweredWithoutContent(t *testing.T) {
	r, addr := signedRig(t, "")
	sign := signer(t, signedKeys, "new")
	cases := headCases(sign)
	for _, status := range statusesInCode(t, "internal/httpapi", "internal/net/signedfront") {
		c, ok := cases[status]
		if status == http.StatusBadGateway { // what is safe to repeat is refused, and the other classes take no HEAD
			continue
		}
		if !ok {
			t.Errorf("status %d has no case", status)
			continue
		}
		t.Run(http.StatusText(status), func(t *testing.T) {
			r.setHandler(serveHit)
			if c.handle != nil {
				r.setHandler(c.handle)
			}
			w := newHTTPConn(t, addr)
			w.checkHeadAnswer(c, status)
			if !c.closes {
				r.setHandler(serveHit)
				w.checkPartServed(sign)
			}
		})
	}
}

// checkHeadAnswer sends a HEAD request and checks that its answer has the status and no content, and ends the connection if it is to.
func (w *httpConn) checkHeadAnswer(c headCase, status int) {
	w.t.Helper()
	if _, err := io.WriteString(w.conn, c.request); err != nil {
		w.t.Fatal(err)
	}
	p, err := http.ReadResponse(w.r, &http.Request{Method: http.MethodHead})
	if err != nil || p.StatusCode != status || p.Close != c.closes {
		w.t.Fatalf("answer %+v, error %v; want status %d, closing %v", p, err, status, c.closes)
	}
	_ = p.Body.Close() // a response to HEAD has no body
	if !c.closes {
		return
	}
	if rest, err := io.ReadAll(w.r); err != nil || len(rest) > 0 {
		w.t.Errorf("behind the head of the answer: %q, error %v; want its end", rest, err)
	}
}

// checkPartServed checks that a GET of a part is served on the connection.
func (w *httpConn) checkPartServed(sign func(signedurl.Order) string) {
	w.t.Helper()
	target := strings.TrimPrefix(sign(signedurl.Order{Target: "/images/" + object + "/4", Expiry: time.Now().Add(time.Hour)}), base)
	if status, body, _ := w.get("GET", target); status != http.StatusOK || body != content(object, "4") {
		w.t.Errorf("GET behind it: status %d with %d bytes, want 200 with the part", status, len(body))
	}
}

// Guards against content in the response to a HEAD of the library's http.RoundTripper.
func TestRoundTripperAnswersHeadWithoutContent(t *testing.T) {
	_, addr := signedRig(t, "")
	c, _ := httpClient(t, addr, time.Minute)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodHead, "http://any/images/"+object+"/3?shard=17", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: &lib.RoundTripper{Client: c}}).Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	body, err := io.ReadAll(resp.Body)
	if want := int64(len(content(object, "3"))); resp.StatusCode != http.StatusOK || len(body) > 0 || err != nil || resp.ContentLength != want {
		t.Errorf("status %d, %d bytes of content, Content-Length %d, error %v; want 200, none and %d", resp.StatusCode, len(body), resp.ContentLength, err, want)
	}
}

// Guards against a health probe of the library's HTTP transport whose answer makes its connection useless: a GET is served behind each.
func TestHealthProbeLeavesConnectionUsable(t *testing.T) {
	_, addr := signedRig(t, "")
	w := newHTTPConn(t, addr)
	sign := signer(t, signedKeys, "new")
	for range 2 {
		w.checkHeadAnswer(headCase{request: request("HEAD", "/")}, http.StatusForbidden)
		w.checkPartServed(sign)
	}
}

// Package httpapi converts HTTP requests and responses to requests and answers of the gateway, for the signed front
// and the middleware. It does no I/O.
//
//	GET  /CLASS/OBJECT/PART?shard=GROUP    a part of an object
//	POST /CLASS/OBJECT/PART?shard=GROUP    in classes that are not idempotent, with an Idempotency-Key
package httpapi

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"larchusher/gateway"
	"larchusher/routing"
	"larchusher/signedurl"
)

// MaxBodyBytes is the longest body of a request, in bytes.
const MaxBodyBytes = 48000

// Limits of a request's parts.
const (
	maxPart       = 1 << 20 // highest part number of an object
	maxGroup      = 255     // highest group number
	objectDigits  = 16      // hex digits of an object's name
	maxFieldBytes = 128     // bytes of a key or a tag
)

// Problem is a final answer in which no endpoint was involved. Reason is sent to the client as the body.
type Problem struct {
	Status int
	Reason string
	Header [][2]string
}

// Error returns the status and the reason.
func (p *Problem) Error() string { return strconv.Itoa(p.Status) + " " + p.Reason }

func newProblem(status int, reason string, header ...[2]string) *Problem {
	return &Problem{Status: status, Reason: reason, Header: header}
}

// API converts HTTP requests to gateway requests, and gateway answers to HTTP responses. It is safe for concurrent
// use.
type API struct {
	classes  map[string]routing.Class
	verifier *signedurl.Verifier
	issuer   *signedurl.Issuer // nil: tokens are not renewed
}

// New returns the API of a gateway with these settings. Without an issuer (nil), tokens are not renewed.
func New(s routing.Settings, v *signedurl.Verifier, i *signedurl.Issuer) *API {
	a := &API{classes: map[string]routing.Class{}, verifier: v, issuer: i}
	for _, c := range s.Classes {
		a.classes[c.Name] = c
	}
	return a
}

// HasClass reports whether a request target names a class of the gateway.
func (a *API) HasClass(target string) bool {
	return a.Class(target) != ""
}

// Class returns the class that a request target names; empty: no class of the gateway.
func (a *API) Class(target string) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	return a.classes[class].Name
}

// rejectionText tells a client that retrying is harmless. Package client looks for its first word.
const rejectionText = "refused: trying again is harmless"

// Overloaded returns the answer to a request with a valid token that is shed. backoff is the time after which the
// client may retry; 0: no advice.
func Overloaded(backoff time.Duration) *Problem {
	return newProblem(http.StatusServiceUnavailable, rejectionText, retryAfter(backoff)...)
}

// retryAfter returns a Retry-After field in whole seconds (RFC 9110, 10.2.3), rounded up, or none if d is 0.
func retryAfter(d time.Duration) [][2]string {
	if d <= 0 {
		return nil
	}
	return [][2]string{{"Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)}}
}

// IsRetry reports whether the client has marked a request as a retry, as package client does.
func IsRetry(header func(name string) []string) bool {
	v := header("Larchusher-Retry")
	return len(v) == 1 && v[0] == "1"
}

// Request is a complete HTTP request.
type Request struct {
	Method     string
	Target     string                     // request target as sent
	Header     func(name string) []string // returns the values of a header field
	Body       []byte
	ReceivedAt time.Time // when its last byte arrived
}

// AdmittedRequest is a request whose token is valid.
type AdmittedRequest struct {
	Request  *gateway.Request // without the fields that its front sets, such as ID and Answer
	Grant    signedurl.Grant
	HeadOnly bool // a HEAD request: the response has no body
}

// Authorize checks the token of a request and then the request itself. It does not contact endpoints.
func (a *API) Authorize(c Request) (*AdmittedRequest, *Problem) {
	grant, err := a.verifier.Verify(c.Target, strings.Join(c.Header("Cookie"), "; "), c.ReceivedAt)
	if err != nil {
		var rejected *signedurl.Error
		if errors.As(err, &rejected) {
			return nil, newProblem(http.StatusForbidden, string(rejected.Reason))
		}
		return nil, newProblem(http.StatusForbidden, "refused")
	}
	r, class, p := a.parseTarget(c)
	if p != nil {
		return nil, p
	}
	r.GroupUnknown = !grant.CoversQuery // the client may have named another group than was signed
	r.Retry = IsRetry(c.Header)
	if p := checkMethod(c, class); p != nil {
		return nil, p
	}
	if len(c.Body) > MaxBodyBytes {
		return nil, newProblem(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if class.Effect != routing.Idempotent {
		keys := c.Header("Idempotency-Key")
		if len(keys) != 1 || !isSafeField(unquoted(keys[0])) {
			return nil, newProblem(http.StatusBadRequest, "one Idempotency-Key of letters, digits, - and _ is needed")
		}
		r.IdempotencyKey = unquoted(keys[0])
	} else {
		r.IfNoneMatch = singleTag(c.Header("If-None-Match"))
	}
	return &AdmittedRequest{Request: r, Grant: grant, HeadOnly: c.Method == http.MethodHead}, nil
}

// parseTarget parses the path and the query: /CLASS/OBJECT/PART?shard=GROUP.
func (a *API) parseTarget(c Request) (*gateway.Request, routing.Class, *Problem) {
	path, query, _ := strings.Cut(c.Target, "?")
	parts := strings.Split(path[1:], "/")
	if len(parts) != 3 {
		return nil, routing.Class{}, newProblem(http.StatusNotFound, "no such path: /CLASS/OBJECT/PART")
	}
	class, ok := a.classes[parts[0]]
	if !ok {
		return nil, class, newProblem(http.StatusNotFound, "no such class")
	}
	r := &gateway.Request{Class: class.Name, Object: parts[1], Body: c.Body, Deadline: c.ReceivedAt.Add(class.Deadline)}
	if !isObjectName(r.Object) {
		return nil, class, newProblem(http.StatusNotFound, "an object is 16 hex digits")
	}
	if r.Part, ok = parseNumber(parts[2], maxPart); !ok {
		return nil, class, newProblem(http.StatusNotFound, "no such part")
	}
	for q := range strings.SplitSeq(query, "&") {
		group, found := strings.CutPrefix(q, "shard=")
		if !found {
			continue
		}
		if r.Group, ok = parseNumber(group, maxGroup); !ok {
			return nil, class, newProblem(http.StatusBadRequest, "shard is from 0 to 255")
		}
	}
	return r, class, nil
}

// checkMethod checks that the method is allowed for the class: GET and HEAD for idempotent classes, POST for the
// others.
func checkMethod(c Request, class routing.Class) *Problem {
	reads := c.Method == http.MethodGet || c.Method == http.MethodHead
	switch {
	case class.Effect != routing.Idempotent && c.Method != http.MethodPost:
		return newProblem(http.StatusMethodNotAllowed, "POST only", [2]string{"Allow", "POST"})
	case class.Effect == routing.Idempotent && !reads:
		return newProblem(http.StatusMethodNotAllowed, "GET and HEAD only", [2]string{"Allow", "GET, HEAD"})
	}
	return nil
}

// isObjectName reports whether s is an object name: objectDigits lower-case hex digits.
func isObjectName(s string) bool {
	for i := range len(s) {
		if !isDigit(s[i]) && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return len(s) == objectDigits
}

// parseNumber parses a number of at most limit. Signs and leading zeros are invalid, since they would give one part
// several names.
func parseNumber(s string, limit int) (int, bool) {
	const bits = 31
	n, err := strconv.ParseUint(s, 10, bits)
	return int(n), err == nil && int(n) <= limit && strconv.FormatUint(n, 10) == s
}

// unquoted returns s without surrounding quotes, if it has any.
func unquoted(s string) string {
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		return s[1 : len(s)-1]
	}
	return s
}

// isSafeField reports whether s is not empty and can be passed on to an endpoint.
func isSafeField(s string) bool {
	for i := range len(s) {
		if !isSafeChar(s[i]) {
			return false
		}
	}
	return s != "" && len(s) <= maxFieldBytes
}

func isSafeChar(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return letter || isDigit(c) || c == '-' || c == '_'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// singleTag returns the tag in If-None-Match if there is exactly one and it can be passed on. With several tags it
// returns none: the client then gets a complete response, which is always correct.
func singleTag(values []string) string {
	if len(values) != 1 {
		return ""
	}
	tag := unquoted(strings.TrimPrefix(values[0], "W/"))
	if tag == values[0] || !isSafeField(tag) { // a tag has quotes
		return ""
	}
	return tag
}

// Response is an HTTP response.
type Response struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Respond converts a final answer to an HTTP response. now is when a renewed token becomes valid.
func (a *API) Respond(admitted *AdmittedRequest, ans gateway.Answer, now time.Time) Response {
	var r Response
	add := func(name, value string) { r.Header = append(r.Header, [2]string{name, value}) }
	switch a.outcome(admitted, ans) {
	case gateway.OutcomeServed, gateway.OutcomeUnchanged:
		r.Status = http.StatusOK
		if ans.Outcome == gateway.OutcomeUnchanged {
			r.Status = http.StatusNotModified
		} else {
			add("Content-Type", "application/octet-stream")
			r.Body = ans.Body
		}
		if ans.ETag != "" {
			add("ETag", `"`+ans.ETag+`"`)
		}
		add("Cache-Control", "private")
		if cookie := a.renewalCookie(admitted, now); cookie != "" {
			add("Set-Cookie", cookie)
		}
	case gateway.OutcomeRejected:
		r.Status = http.StatusServiceUnavailable
		r.Header = append(r.Header, retryAfter(ans.RetryAfter)...)
		r.Body = []byte(rejectionText + "\n")
	case gateway.OutcomeExpired:
		r.Status = http.StatusGatewayTimeout
		r.Body = []byte("no answer in time\n")
	default:
		r.Status = http.StatusBadGateway
		r.Body = []byte("failed\n")
	}
	if r.Status >= 400 {
		add("Content-Type", "text/plain; charset=utf-8")
		add("Cache-Control", "no-store")
	}
	return r
}

// outcome returns the outcome of an answer as the client is to see it. A request that may not be repeated freely and has not run by its
// deadline is refused: after status 504 it may have run.
func (a *API) outcome(admitted *AdmittedRequest, ans gateway.Answer) gateway.Outcome {
	if ans.Outcome == gateway.OutcomeExpired && ans.Retryable && a.classes[admitted.Request.Class].Effect != routing.Idempotent {
		return gateway.OutcomeRejected
	}
	return ans.Outcome
}

// renewalCookie returns the cookie with a renewed token if the grant asks for one; empty if not, or if the token
// cannot be issued.
func (a *API) renewalCookie(admitted *AdmittedRequest, now time.Time) string {
	if a.issuer == nil || !admitted.Grant.Renewal.Cookie {
		return ""
	}
	token, err := a.issuer.Renew(admitted.Grant, now)
	if err != nil || token == "" {
		return ""
	}
	return signedurl.URISigningPackage + "=" + token + "; Path=/; Max-Age=" +
		strconv.FormatInt(int64(admitted.Grant.Renewal.Span/time.Second), 10) + "; Secure; HttpOnly"
}

// Response converts the problem to an HTTP response.
func (p *Problem) Response() Response {
	return Response{Status: p.Status, Body: []byte(p.Reason + "\n"), Header: append(p.Header,
		[2]string{"Content-Type", "text/plain; charset=utf-8"}, [2]string{"Cache-Control", "no-store"})}
}

// Package httpapi says how requests and answers look in HTTP, for the signed front and the middleware alike. It does no I/O.
//
//	GET  /CLASS/OBJECT/PART?shard=GROUP    a part of an object
//	POST /CLASS/OBJECT/PART?shard=GROUP    in keyed classes, with an Idempotency-Key
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

// MaxBodyBytes is the longest body of a request.
const MaxBodyBytes = 48000

// Limits of what a request may name.
const (
	maxPart       = 1 << 20 // of an object
	maxGroup      = 255
	objectDigits  = 16
	maxFieldBytes = 128 // of a key or a tag
)

// Problem is a final answer that no endpoint had a part in.
type Problem struct {
	Status int
	Reason string
	Header [][2]string
}

func (p *Problem) Error() string { return strconv.Itoa(p.Status) + " " + p.Reason }

func newProblem(status int, reason string, header ...[2]string) *Problem {
	return &Problem{Status: status, Reason: reason, Header: header}
}

// API converts HTTP requests and answers to the gateway's and back. It is safe for concurrent use.
type API struct {
	classes  map[string]routing.Class
	verifier *signedurl.Verifier
	issuer   *signedurl.Issuer // nil: tokens are not renewed
}

// New returns the API of a gateway with these settings. The issuer may be nil.
func New(s routing.Settings, v *signedurl.Verifier, i *signedurl.Issuer) *API {
	a := &API{classes: map[string]routing.Class{}, verifier: v, issuer: i}
	for _, c := range s.Classes {
		a.classes[c.Name] = c
	}
	return a
}

// HasClass reports whether a target names a class of the gateway.
func (a *API) HasClass(target string) bool {
	return a.Class(target) != ""
}

// Class is the name of the class that a target names; empty: none of the gateway's.
func (a *API) Class(target string) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	return a.classes[class].Name
}

// Overloaded is the answer to a request with a good token that is shed for load.
func Overloaded(retryAfterTime time.Duration) *Problem {
	return newProblem(http.StatusServiceUnavailable, "refused: trying again is harmless", retryAfter(retryAfterTime)...)
}

// retryAfter words a Retry-After: whole seconds (RFC 9110, 10.2.3), rounded up; 0: none is sent.
func retryAfter(d time.Duration) [][2]string {
	if d <= 0 {
		return nil
	}
	return [][2]string{{"Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)}}
}

// IsRetry reports whether a request is marked as a client's retry, as package client marks them.
func IsRetry(header func(name string) []string) bool {
	v := header("Larchusher-Retry")
	return len(v) == 1 && v[0] == "1"
}

// Request is a complete HTTP request.
type Request struct {
	Method     string
	Target     string                     // as sent
	Header     func(name string) []string // the values of a field
	Body       []byte
	ReceivedAt time.Time // when its last byte came
}

// AdmittedRequest is a request whose token has been checked.
type AdmittedRequest struct {
	Request  *gateway.Request // all but Ref and Answer
	Grant    signedurl.Grant
	HeadOnly bool
}

// Authorize checks the token of a request and then the request itself. Nothing has reached an endpoint by then.
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
	r.Retry = IsRetry(c.Header)
	if p := checkMethod(c, class); p != nil {
		return nil, p
	}
	if len(c.Body) > MaxBodyBytes {
		return nil, newProblem(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if class.Effect != routing.Idempotent {
		keys := c.Header("Idempotency-Key")
		if len(keys) != 1 || !isPlainField(unquoted(keys[0])) {
			return nil, newProblem(http.StatusBadRequest, "one Idempotency-Key of letters, digits, - and _ is needed")
		}
		r.IdempotencyKey = unquoted(keys[0])
	} else {
		r.IfNoneMatch = singleTag(c.Header("If-None-Match"))
	}
	return &AdmittedRequest{Request: r, Grant: grant, HeadOnly: c.Method == http.MethodHead}, nil
}

// parseTarget reads the path and the query: /CLASS/OBJECT/PART?shard=GROUP.
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
		group, is := strings.CutPrefix(q, "shard=")
		if !is {
			continue
		}
		if r.Group, ok = parseNumber(group, maxGroup); !ok {
			return nil, class, newProblem(http.StatusBadRequest, "shard is from 0 to 255")
		}
	}
	return r, class, nil
}

// checkMethod checks that the method goes with the class: only idempotent requests may be sent with GET.
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

// isObjectName reports whether s names an object: lower-case hex digits.
func isObjectName(s string) bool {
	for i := range len(s) {
		if !isDigit(s[i]) && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return len(s) == objectDigits
}

// parseNumber reads a number up to a limit, without sign or leading zeros, which would give one part two names.
func parseNumber(s string, limit int) (int, bool) {
	const bits = 31
	n, err := strconv.ParseUint(s, 10, bits)
	return int(n), err == nil && int(n) <= limit && strconv.FormatUint(n, 10) == s
}

// unquoted is s without the quotes around it, if there are any.
func unquoted(s string) string {
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		return s[1 : len(s)-1]
	}
	return s
}

// isPlainField reports whether s can be passed on to an endpoint.
func isPlainField(s string) bool {
	for i := range len(s) {
		if !isPlain(s[i]) {
			return false
		}
	}
	return s != "" && len(s) <= maxFieldBytes
}

func isPlain(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return letter || isDigit(c) || c == '-' || c == '_'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// singleTag returns the tag in If-None-Match, if there is just one and it can be passed on. Of several none is passed on:
// the answer is then complete, which is always right.
func singleTag(values []string) string {
	if len(values) != 1 {
		return ""
	}
	tag := unquoted(strings.TrimPrefix(values[0], "W/"))
	if tag == values[0] || !isPlainField(tag) { // a tag has quotes
		return ""
	}
	return tag
}

// Response is an HTTP answer.
type Response struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Respond words a final answer. now is the time from which a renewed token counts.
func (a *API) Respond(ad *AdmittedRequest, ans gateway.Answer, now time.Time) Response {
	var r Response
	add := func(name, value string) { r.Header = append(r.Header, [2]string{name, value}) }
	switch ans.Outcome {
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
		if cookie := a.renewalCookie(ad, now); cookie != "" {
			add("Set-Cookie", cookie)
		}
	case gateway.OutcomeRejected:
		r.Status = http.StatusServiceUnavailable
		r.Header = append(r.Header, retryAfter(ans.RetryAfter)...)
		r.Body = []byte("refused: trying again is harmless\n")
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

// renewalCookie is the cookie with the fresh token that a grant asks for; empty: none, or it cannot be issued.
func (a *API) renewalCookie(ad *AdmittedRequest, now time.Time) string {
	if a.issuer == nil || !ad.Grant.Renewal.Cookie {
		return ""
	}
	token, err := a.issuer.Renew(ad.Grant, now)
	if err != nil || token == "" {
		return ""
	}
	return signedurl.URISigningPackage + "=" + token + "; Path=/; Max-Age=" +
		strconv.FormatInt(int64(ad.Grant.Renewal.Span/time.Second), 10) + "; Secure; HttpOnly"
}

// Response words the problem.
func (p *Problem) Response() Response {
	return Response{Status: p.Status, Body: []byte(p.Reason + "\n"), Header: append(p.Header,
		[2]string{"Content-Type", "text/plain; charset=utf-8"}, [2]string{"Cache-Control", "no-store"})}
}

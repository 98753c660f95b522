// Package httpapi says how requests and answers look in HTTP, for the signed front and the middleware alike.
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

// Problem is a final answer that no store had a part in.
type Problem struct {
	Status int
	Reason string
	Header [][2]string
}

func (p *Problem) Error() string { return strconv.Itoa(p.Status) + " " + p.Reason }

func newProblem(status int, reason string, header ...[2]string) *Problem {
	return &Problem{Status: status, Reason: reason, Header: header}
}

// API turns HTTP into the gateway's terms.
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

// HasClass says whether a target names a class of the gateway.
func (a *API) HasClass(target string) bool {
	return a.Class(target) != ""
}

// Class is the class that a target names; empty: none of the gateway's.
func (a *API) Class(target string) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	return a.classes[class].Name
}

// Overloaded is the answer to a request whose token is good and which is shed for load.
func Overloaded(later time.Duration) *Problem {
	return newProblem(http.StatusServiceUnavailable, "refused: trying again is harmless", retryAfter(later))
}

// retryAfter words advice on when to come back: whole seconds (RFC 9110, 10.2.3), and one at least.
func retryAfter(d time.Duration) [2]string {
	return [2]string{"Retry-After", strconv.FormatInt(max(1, int64((d+time.Second-1)/time.Second)), 10)}
}

// IsRetry says whether a request is marked as a client's repeat, as package client marks them.
func IsRetry(header func(name string) []string) bool {
	v := header("Larchusher-Retry")
	return len(v) == 1 && v[0] == "1"
}

// Request is an HTTP request that has come whole. Header returns the values of a field.
type Request struct {
	Method     string
	Target     string // as sent
	Header     func(name string) []string
	Body       []byte
	ReceivedAt time.Time // when its last byte came
}

// AdmittedRequest is a request whose token was checked, which happens once.
type AdmittedRequest struct {
	Request  *gateway.Request // all but Ref and Answer
	Grant    signedurl.Grant
	HeadOnly bool
}

// Authorize checks the token of a call and then the call itself. Nothing has reached a store by then.
func (a *API) Authorize(c Request) (*AdmittedRequest, *Problem) {
	grant, err := a.verifier.Verify(c.Target, strings.Join(c.Header("Cookie"), "; "), c.ReceivedAt)
	if err != nil {
		var refused *signedurl.Error
		if errors.As(err, &refused) {
			return nil, newProblem(http.StatusForbidden, string(refused.Reason))
		}
		return nil, newProblem(http.StatusForbidden, "refused")
	}
	path, query, _ := strings.Cut(c.Target, "?")
	parts := strings.Split(path[1:], "/")
	if len(parts) != 3 {
		return nil, newProblem(http.StatusNotFound, "no such path: /CLASS/OBJECT/PART")
	}
	class, ok := a.classes[parts[0]]
	if !ok {
		return nil, newProblem(http.StatusNotFound, "no such class")
	}
	r := &gateway.Request{Class: class.Name, Object: parts[1], Body: c.Body, Deadline: c.ReceivedAt.Add(class.Deadline)}
	if !isObjectName(r.Object) {
		return nil, newProblem(http.StatusNotFound, "an object is 16 hex digits")
	}
	if r.Part, ok = parseNumber(parts[2], 1<<20); !ok {
		return nil, newProblem(http.StatusNotFound, "no such part")
	}
	for q := range strings.SplitSeq(query, "&") {
		if v, is := strings.CutPrefix(q, "shard="); is {
			if r.Group, ok = parseNumber(v, 255); !ok {
				return nil, newProblem(http.StatusBadRequest, "shard is from 0 to 255")
			}
		}
	}
	r.Retry = IsRetry(c.Header)
	keyed := class.Effect != routing.Idempotent
	switch {
	case keyed && c.Method != http.MethodPost:
		return nil, newProblem(http.StatusMethodNotAllowed, "POST only", [2]string{"Allow", "POST"})
	case !keyed && c.Method != http.MethodGet && c.Method != http.MethodHead:
		return nil, newProblem(http.StatusMethodNotAllowed, "GET and HEAD only", [2]string{"Allow", "GET, HEAD"})
	case len(c.Body) > MaxBodyBytes:
		return nil, newProblem(http.StatusRequestEntityTooLarge, "the body is too long")
	case keyed:
		keys := c.Header("Idempotency-Key")
		if len(keys) != 1 || !isPlainField(unquoted(keys[0])) {
			return nil, newProblem(http.StatusBadRequest, "one Idempotency-Key of letters, digits, - and _ is needed")
		}
		r.IdempotencyKey = unquoted(keys[0])
	default:
		r.IfNoneMatch = singleTag(c.Header("If-None-Match"))
	}
	return &AdmittedRequest{Request: r, Grant: grant, HeadOnly: c.Method == http.MethodHead}, nil
}

// isObjectName says whether s is 16 lower-case hex digits.
func isObjectName(s string) bool {
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return false
		}
	}
	return len(s) == 16
}

// parseNumber reads a number without sign or leading zeros, which would give one part two names.
func parseNumber(s string, most int) (int, bool) {
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), err == nil && int(n) <= most && strconv.FormatUint(n, 10) == s
}

func unquoted(s string) string {
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		return s[1 : len(s)-1]
	}
	return s
}

// isPlainField says whether s can be passed on to a store.
func isPlainField(s string) bool {
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return s != "" && len(s) <= 128
}

// singleTag returns the tag in If-None-Match, if there is just one and it can be passed on. Of several, none is
// passed on: the answer is then whole, which is always right.
func singleTag(values []string) string {
	if len(values) != 1 {
		return ""
	}
	if tag := unquoted(strings.TrimPrefix(values[0], "W/")); tag != values[0] && isPlainField(tag) {
		return tag
	}
	return ""
}

// Response is an HTTP answer.
type Response struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Respond words a final answer.
func (a *API) Respond(ad *AdmittedRequest, ans gateway.Answer, now time.Time) Response {
	var r Response
	add := func(name, value string) { r.Header = append(r.Header, [2]string{name, value}) }
	switch ans.Outcome {
	case gateway.Served, gateway.NotModified:
		r.Status = http.StatusOK
		if ans.Outcome == gateway.NotModified {
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
	case gateway.Rejected:
		r.Status = http.StatusServiceUnavailable
		r.Header = append(r.Header, retryAfter(ans.RetryAfter))
		r.Body = []byte("refused: trying again is harmless\n")
	case gateway.Expired:
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

// renewalCookie is the cookie with the fresh token that a grant asks for.
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

// Response words a problem.
func (p *Problem) Response() Response {
	return Response{Status: p.Status, Body: []byte(p.Reason + "\n"), Header: append(p.Header,
		[2]string{"Content-Type", "text/plain; charset=utf-8"}, [2]string{"Cache-Control", "no-store"})}
}

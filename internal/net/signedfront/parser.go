// Package signedfront is the front for signed URLs: HTTP/1.1 with the tokens of content delivery networks. It is used
// on the gateway's loop.
package signedfront

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"larchusher/internal/httpapi"
)

const (
	maxHeadBytes = 16 << 10 // of the request line and the header fields
	maxFields    = 64       // header fields of a request

	headEnd = "\r\n\r\n"
	http10  = "HTTP/1.0"
	http11  = "HTTP/1.1"
)

// head is a request line with header fields.
type head struct {
	method, target string
	version        string              // http10 or http11
	fields         map[string][]string // by lower-case name
	bodyLength     int                 // bytes of the body
	keepAlive      bool                // the connection stays open after the answer
	expectContinue bool                // the client waits for 100 Continue
}

// isHead reports whether the method is HEAD.
func (h *head) isHead() bool { return h.method == http.MethodHead }

// startsWithHead reports whether b begins with a HEAD request, which may be incomplete or malformed.
func startsWithHead(b []byte) bool { return bytes.HasPrefix(b, []byte(http.MethodHead+" ")) }

// get returns the values of a header field; the name may be in any case.
func (h *head) get(name string) []string { return h.fields[strings.ToLower(name)] }

// parseHead parses the head of a request at the start of b and returns its size in bytes. While the head is
// incomplete it returns nil and no problem. It rejects whatever is ambiguous: a proxy in front of the gateway might
// read it differently.
func parseHead(b []byte) (h *head, size int, p *httpapi.Problem) {
	end := bytes.Index(b, []byte(headEnd))
	if end > maxHeadBytes || end < 0 && len(b) > maxHeadBytes {
		return nil, 0, problem(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	}
	if end < 0 {
		return nil, 0, nil
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	h, p = parseRequestLine(lines[0])
	if p == nil {
		p = h.parseFields(lines[1:])
	}
	if p == nil {
		p = h.interpret()
	}
	if p != nil {
		return nil, 0, p
	}
	return h, end + len(headEnd), nil
}

// completeRequests returns the complete requests at the start of b, of which only whether they are HEAD requests, and what follows them. A
// request that closes the connection, or that cannot be parsed, is the last one.
func completeRequests(b []byte) (isHead []bool, rest []byte) {
	for len(b) > 0 {
		h, size, p := parseHead(b)
		if p != nil { // it is answered, and nothing behind it can be found
			return append(isHead, startsWithHead(b)), nil
		}
		if h == nil || len(b) < size+h.bodyLength {
			return isHead, b
		}
		isHead, b = append(isHead, h.isHead()), b[size+h.bodyLength:]
		if !h.keepAlive {
			return isHead, nil
		}
	}
	return isHead, nil
}

// problem returns a problem without header fields.
func problem(status int, reason string) *httpapi.Problem {
	return &httpapi.Problem{Status: status, Reason: reason}
}

// parseRequestLine parses the first line of a head.
func parseRequestLine(line string) (*head, *httpapi.Problem) {
	words := strings.Split(line, " ")
	if len(words) != 3 || words[0] == "" || !isToken(words[0]) {
		return nil, problem(http.StatusBadRequest, "malformed request line")
	}
	h := &head{method: words[0], target: words[1], version: words[2], fields: map[string][]string{}}
	if h.version != http11 && h.version != http10 {
		return nil, problem(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here")
	}
	return h, nil
}

// parseFields parses the header field lines.
func (h *head) parseFields(lines []string) *httpapi.Problem {
	if len(lines) > maxFields {
		return problem(http.StatusRequestHeaderFieldsTooLarge, "too many fields")
	}
	for _, l := range lines {
		name, value, ok := strings.Cut(l, ":")
		if !ok || name == "" || !isToken(name) || strings.ContainsFunc(value, isControl) {
			return problem(http.StatusBadRequest, "malformed field")
		}
		name = strings.ToLower(name)
		h.fields[name] = append(h.fields[name], strings.Trim(value, " \t"))
	}
	return nil
}

// interpret evaluates the header fields about the connection and the body.
func (h *head) interpret() *httpapi.Problem {
	if h.version == http11 && len(h.fields["host"]) != 1 {
		return problem(http.StatusBadRequest, "one Host is needed")
	}
	if len(h.fields["transfer-encoding"]) > 0 {
		return problem(http.StatusNotImplemented, "send a Content-Length, not a Transfer-Encoding")
	}
	if p := h.interpretContentLength(); p != nil {
		return p
	}
	h.interpretConnection()
	for _, v := range h.fields["expect"] {
		if !strings.EqualFold(v, "100-continue") {
			return problem(http.StatusExpectationFailed, "unknown expectation")
		}
		h.expectContinue = true
	}
	return nil
}

// interpretContentLength sets the length of the body.
func (h *head) interpretContentLength() *httpapi.Problem {
	lengths := h.fields["content-length"]
	if len(lengths) == 0 {
		return nil
	}
	const bits = 31
	n, err := strconv.ParseUint(lengths[0], 10, bits)
	if err != nil || len(lengths) > 1 || strings.HasPrefix(lengths[0], "+") {
		return problem(http.StatusBadRequest, "malformed Content-Length")
	}
	if n > httpapi.MaxBodyBytes {
		return problem(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	h.bodyLength = int(n)
	return nil
}

// interpretConnection determines whether the connection stays open: by default it does in HTTP/1.1, and does not in
// HTTP/1.0.
func (h *head) interpretConnection() {
	h.keepAlive = h.version == http11
	for _, v := range h.fields["connection"] {
		for option := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				h.keepAlive = false
			case "keep-alive":
				h.keepAlive = h.keepAlive || h.version == http10
			}
		}
	}
}

// isControl reports whether r is a control character that a field value must not contain.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken reports whether s has only characters of a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return true
}

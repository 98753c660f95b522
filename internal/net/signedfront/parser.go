// Package signedfront is the front for signed URLs: HTTP/1.1 with tokens as content networks use them.
package signedfront

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"larchusher/internal/httpapi"
)

const (
	maxHeadBytes = 16 << 10
	maxFields    = 64
)

// head is the head of a request.
type head struct {
	method, target string
	fields         map[string][]string // by lower-case name
	bodyLength     int                 // of the body
	keepAlive      bool                // the connection stays open afterwards
	expectContinue bool                // the client waits for 100 Continue
}

func (h *head) get(name string) []string { return h.fields[strings.ToLower(name)] }

// parseHead reads a request's head from the start of b. It returns nil and no problem while that has not come
// whole. What it can't read for certain it rejects: whatever stands before us might read it otherwise.
func parseHead(b []byte) (h *head, size int, p *httpapi.Problem) {
	bad := func(status int, reason string) (*head, int, *httpapi.Problem) {
		return nil, 0, &httpapi.Problem{Status: status, Reason: reason}
	}
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end > maxHeadBytes || end < 0 && len(b) > maxHeadBytes {
		return bad(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	}
	if end < 0 {
		return nil, 0, nil
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	words := strings.Split(lines[0], " ")
	if len(words) != 3 || words[0] == "" || !isToken(words[0]) {
		return bad(http.StatusBadRequest, "malformed request line")
	}
	if words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" {
		return bad(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here")
	}
	if len(lines)-1 > maxFields {
		return bad(http.StatusRequestHeaderFieldsTooLarge, "too many fields")
	}
	h = &head{method: words[0], target: words[1], fields: map[string][]string{}, keepAlive: words[2] == "HTTP/1.1"}
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok || name == "" || !isToken(name) || strings.ContainsFunc(value, isControl) {
			return bad(http.StatusBadRequest, "malformed field")
		}
		name = strings.ToLower(name)
		h.fields[name] = append(h.fields[name], strings.Trim(value, " \t"))
	}
	if words[2] == "HTTP/1.1" && len(h.fields["host"]) != 1 {
		return bad(http.StatusBadRequest, "one Host is needed")
	}
	if len(h.fields["transfer-encoding"]) > 0 {
		return bad(http.StatusNotImplemented, "send a Content-Length, not a Transfer-Encoding")
	}
	if l := h.fields["content-length"]; len(l) > 0 {
		n, err := strconv.ParseUint(l[0], 10, 31)
		if err != nil || len(l) > 1 || strings.HasPrefix(l[0], "+") {
			return bad(http.StatusBadRequest, "malformed Content-Length")
		}
		if n > httpapi.MaxBodyBytes {
			return bad(http.StatusRequestEntityTooLarge, "the body is too long")
		}
		h.bodyLength = int(n)
	}
	for _, v := range h.fields["connection"] {
		for option := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				h.keepAlive = false
			case "keep-alive":
				h.keepAlive = h.keepAlive || words[2] == "HTTP/1.0"
			}
		}
	}
	for _, v := range h.fields["expect"] {
		if !strings.EqualFold(v, "100-continue") {
			return bad(http.StatusExpectationFailed, "unknown expectation")
		}
		h.expectContinue = true
	}
	return h, end + 4, nil
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return true
}

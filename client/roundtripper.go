package client

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// RoundTripper is an http.RoundTripper that sends requests through a [Client], for programs that use an http.Client. It
// accepts URLs with the path and query /CLASS/OBJECT/PART?shard=GROUP; shard is optional. The host, the method and tokens in
// the URL are ignored: the client chooses the gateway, and its transport signs requests. Only the response to a HEAD differs: it has no
// content. It is safe for concurrent use.
type RoundTripper struct{ Client *Client }

// RoundTrip sends a request with [Client.Do] and converts the result: status 200, 304 if the copy named in If-None-Match is
// current, or 503 with Retry-After for a rejection. The header Idempotency-Key becomes Request.Key. Any other error of Do is
// returned as it is; an invalid URL gives [ErrRequest].
func (t *RoundTripper) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.Body != nil {
		defer func() { _ = q.Body.Close() }() // as http.RoundTripper requires; the body has been read
	}
	r, err := parseURL(q.URL)
	if err != nil {
		return nil, err
	}
	r.Key = strings.Trim(q.Header.Get("Idempotency-Key"), `"`)
	r.Have = strings.Trim(q.Header.Get("If-None-Match"), `"`)
	if q.Body != nil {
		if r.Body, err = io.ReadAll(io.LimitReader(q.Body, maxBodyBytes+1)); err != nil { // one more, so that Do rejects a longer body
			return nil, err
		}
	}
	got, err := t.Client.Do(q.Context(), r)
	var refused *RefusedError
	if errors.As(err, &refused) {
		resp := newResponse(q, http.StatusServiceUnavailable, got)
		resp.Header.Set("Retry-After", strconv.Itoa(wholeSeconds(refused.Later)))
		return resp, nil
	}
	if err != nil {
		return nil, err
	}
	status := http.StatusOK
	if got.Unchanged {
		status = http.StatusNotModified
	}
	return newResponse(q, status, got), nil
}

// parseURL returns the request for a URL of the form /CLASS/OBJECT/PART?shard=GROUP, or an error that wraps ErrRequest.
func parseURL(u *url.URL) (Request, error) {
	segments := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
	if len(segments) != 3 {
		return Request{}, fmt.Errorf("%w: path is %q, want /CLASS/OBJECT/PART", ErrRequest, u.Path)
	}
	part, err := strconv.Atoi(segments[2])
	if err != nil {
		return Request{}, fmt.Errorf("%w: part is %q, want a number", ErrRequest, segments[2])
	}
	group := 0
	if s := u.Query().Get("shard"); s != "" {
		if group, err = strconv.Atoi(s); err != nil {
			return Request{}, fmt.Errorf("%w: shard is %q, want a number", ErrRequest, s)
		}
	}
	return Request{Class: segments[0], Object: segments[1], Part: part, Group: group}, nil
}

func newResponse(q *http.Request, status int, got Response) *http.Response {
	resp := &http.Response{
		Status: strconv.Itoa(status) + " " + http.StatusText(status), StatusCode: status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: q,
		ContentLength: int64(len(got.Body)), Body: io.NopCloser(bytes.NewReader(got.Body)),
	}
	if q.Method == http.MethodHead {
		resp.Body = http.NoBody
	}
	if got.Tag != "" {
		resp.Header.Set("ETag", `"`+got.Tag+`"`)
	}
	return resp
}

// wholeSeconds returns d in seconds, rounded up so that callers don't retry before a Retry-After has passed.
func wholeSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

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

// RoundTripper sends requests for /CLASS/OBJECT/PART?shard=GROUP through a client, with all its decisions, for programs
// that have an http.Client. Tokens are the transport's matter: those in a URL are ignored.
type RoundTripper struct{ Client *Client }

// RoundTrip answers a request. Its errors are those of Do; a rejection is a 503 with Retry-After.
func (t *RoundTripper) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.Body != nil {
		defer func() { _ = q.Body.Close() }() // net/http asks for it; it is the caller's, and was read
	}
	r, err := parseURL(q.URL)
	if err != nil {
		return nil, err
	}
	r.Key = strings.Trim(q.Header.Get("Idempotency-Key"), `"`)
	r.Have = strings.Trim(q.Header.Get("If-None-Match"), `"`)
	if q.Body != nil {
		if r.Body, err = io.ReadAll(io.LimitReader(q.Body, maxBodyBytes+1)); err != nil { // Do rejects one that is longer
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

// parseURL reads /CLASS/OBJECT/PART?shard=GROUP.
func parseURL(u *url.URL) (Request, error) {
	segments := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
	if len(segments) != 3 {
		return Request{}, fmt.Errorf("%w: path %q is not /CLASS/OBJECT/PART", ErrRequest, u.Path)
	}
	part, err := strconv.Atoi(segments[2])
	if err != nil {
		return Request{}, fmt.Errorf("%w: part %q", ErrRequest, segments[2])
	}
	group := 0
	if s := u.Query().Get("shard"); s != "" {
		if group, err = strconv.Atoi(s); err != nil {
			return Request{}, fmt.Errorf("%w: shard %q", ErrRequest, s)
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
	if got.Tag != "" {
		resp.Header.Set("ETag", `"`+got.Tag+`"`)
	}
	return resp
}

// wholeSeconds rounds up, so that nobody comes back too early.
func wholeSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

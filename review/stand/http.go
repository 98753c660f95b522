//go:build review

package main

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// sign is the stand-in of a signer: a token of the edge-auth form, which is good for all parts of an object.
func sign(class, object string, expiry time.Time) string {
	secret, err := hex.DecodeString(edgeSecret)
	fatal(err)
	text := fmt.Sprintf("exp=%d~acl=/%s/%s/*", expiry.Unix(), class, object)
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(text))
	return text + "~hmac=" + hex.EncodeToString(h.Sum(nil))
}

// target is the path and query of a part.
func target(class, object string, part int, token string) string {
	return fmt.Sprintf("/%s/%s/%d?shard=17&hdnts=%s", class, object, part, token)
}

// httpConn is a client's connection to the signed front.
type httpConn struct {
	net.Conn
	r *bufio.Reader
}

func dialHTTP(addr string) *httpConn {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	fatal(err)
	atEnd(func() { _ = c.Close() })
	return &httpConn{c, bufio.NewReader(c)}
}

// send writes a request.
func (c *httpConn) send(method, target string) {
	_, err := io.WriteString(c, method+" "+target+" HTTP/1.1\r\nHost: assets.north.example\r\n\r\n")
	note("client: %s %s written, %v", method, strings.SplitN(target, "hdnts", 2)[0], err)
}

// answer reads one response to a request of a method, by the rules of HTTP/1.1.
func (c *httpConn) answer(method string, within time.Duration) (status int, body string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		note("client: no answer to %s that can be read: %v", method, err)
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	note("client: answer to %s: %s, %d bytes, close %v, %v", method, resp.Status, len(b), resp.Close, err)
	return resp.StatusCode, string(b), err
}

package test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"larchusher/lab/testbed"
)

// A malformed answer closes its store connection, and must affect only the few attempts that share the connection. When
// up to 32 shared one, all of them had to be retried while their store looked faulty.
func TestMalformedAnswerAffectsFewRequests(t *testing.T) {
	r := newRig(t).start()
	pending := make(chan *storeRequest, 100)
	r.setHandler(func(a *storeRequest) { pending <- a })
	c := r.client()
	for i := range 32 {
		c.send("images", fmt.Sprintf("%016x", i), 20*time.Second, "")
	}
	var first []*storeRequest
	for range 32 {
		first = append(first, receive(t, pending))
	}
	spoilt := first[0].Conn
	r.setHandler(serveHit)
	_, _ = io.WriteString(spoilt, "*4\r\n$3\r\n-1\r\n")
	for _, a := range first {
		if a.Conn != spoilt {
			serveHit(a)
		}
	}
	for range 32 {
		if a := c.readAnswer(); a.err != "" {
			t.Fatalf("answer %+v, want no error", a)
		}
	}
	if n := len(r.storeRequests("")); n < 33 || n > 32+4 {
		t.Errorf("%d attempts for 32 requests, want 33 to 36", n)
	}
}

// An answer that stops in the middle on an open connection must be abandoned and the request retried. Later bytes on the
// connection, such as the answer to a health check, are read as the rest of the answer, so that the truncation went
// unnoticed until the deadline.
func TestTruncatedAnswerIsRetried(t *testing.T) {
	r := newRig(t).start()
	once := make(chan bool, 1)
	once <- true
	r.setHandler(func(a *storeRequest) {
		select {
		case <-once:
			_, _ = io.WriteString(a.Conn, fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$4\r\nDONE\r\n$1\r\n-\r\n$100000\r\nabc", len(a.ID), a.ID))
		default:
			serveHit(a)
		}
	})
	c := r.client()
	c.send("films", object, 5*time.Second, "")
	if a := c.readAnswer(); a.err != "" || a.body != content(object, "3") {
		t.Fatalf("answer %+v, want the content without an error", a)
	}
}

// Surplus answers must be ignored: one with an unknown id, and duplicates, which must not be taken for the answer to the
// next attempt of the same request.
func TestSurplusAnswersAreIgnored(t *testing.T) {
	r := newRig(t)
	r.config["settings"] = json.RawMessage(strings.Replace(testbed.Settings, `"joins"`, `"mayPassBy":true,"joins"`, 1))
	r.start()
	once := make(chan bool, 1)
	once <- true
	r.setHandler(func(a *storeRequest) {
		select {
		case <-once:
			_, _ = io.WriteString(a.Conn, respArray("ffff", "DONE", "-", "x")+respArray(a.ID, "BROKE", "-", ""))
			for range 2 {
				a.Reply("BROKE", "-", "")
			}
		default:
			serveHit(a)
			serveHit(a)
		}
	})
	c := r.client()
	c.send("orders", object, 3*time.Second, "move", "unique", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	if a := c.readAnswer(); a.err != "" || a.body != content(object, "3") {
		t.Fatalf("answer %+v, want the content without an error", a)
	}
	if n := len(r.storeRequests(object)); n != 2 {
		t.Errorf("the stores received %d attempts, want 2", n)
	}
	c.send("films", "00000000000000ee", 5*time.Second, "")
	if a := c.readAnswer(); a.id != c.id || a.body != content("00000000000000ee", "3") {
		t.Errorf("request after duplicate answers: answer %+v, want its own content", a)
	}
}

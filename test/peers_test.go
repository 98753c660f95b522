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

// A spoilt answer ends its connection, and few others with it: a connection held up to 32, all of which had to be
// asked for again while their store looked ill.
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
			t.Fatalf("%+v", a)
		}
	}
	if n := len(r.storeRequests("")); n < 33 || n > 32+4 {
		t.Errorf("%d attempts for 32 requests", n)
	}
}

// An answer that stops short on an open connection has run. What else the store says there, a test's answer too, is
// taken for its rest, so that it went unnoticed to the deadline.
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
		t.Fatalf("%+v", a)
	}
}

// More than belongs to an answer is passed over: an answer ahead under an unknown id, and a second copy, which must
// not be taken for the answer to the next try of the same request.
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
		t.Fatalf("%+v", a)
	}
	if n := len(r.storeRequests(object)); n != 2 {
		t.Errorf("%d attempts", n)
	}
	c.send("films", "00000000000000ee", 5*time.Second, "")
	if a := c.readAnswer(); a.id != c.id || a.body != content("00000000000000ee", "3") {
		t.Errorf("after the second copy: %+v", a)
	}
}

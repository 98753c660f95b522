package client

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// A gateway that has begun to answer may have run the request. If the connection ends within the answer, a request of an
// Unsafe class must not be sent again.
func TestTruncatedAnswerIsNotRetried(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // nothing depends on the result
	var received atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go writePartialAnswer(conn, &received)
		}
	}()
	c, err := New(Config{Gateways: []string{l.Addr().String()}, Classes: []Class{{Name: "pay", Effect: Unsafe}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err = c.Do(ctx, Request{Class: "pay", Object: "7f3a9c21e0b4d655"}); err == nil {
		t.Error("Do succeeded with a truncated answer, want an error")
	}
	if n := received.Load(); n != 1 {
		t.Errorf("the gateway received the request %d times, want once; Do returned %v", n, err)
	}
}

// writePartialAnswer reads a request, writes the first two bytes of an answer and closes the connection.
func writePartialAnswer(conn net.Conn, received *atomic.Int64) {
	if n, err := conn.Read(make([]byte, 4096)); err == nil && n > 0 {
		received.Add(1)
		_, _ = conn.Write([]byte("\x94\x01")) // fails if the client has closed the connection
	}
	_ = conn.Close()
}

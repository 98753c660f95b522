package test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"larchusher/lab/loopback"
)

const (
	signedCrowdMB      = 32
	signedCrowdConns   = 128 // the share of the signed front
	signedCrowdRepeats = 3   // of each client, since those are turned away that stand still
	platformCrowdConns = 300
)

// Guards against memory beyond the limit, and against others that are not served, while clients of both fronts do not finish
// their requests: on the signed front in the body, or in a head of very many short fields.
func TestUnfinishedSignedRequestsLeaveOthersServed(t *testing.T) {
	body := "POST /orders/7f3a9c21e0b4d655/3 HTTP/1.1\r\nHost: a\r\nContent-Length: 48000\r\n\r\n" + strings.Repeat("x", 47_000)
	fields := "GET /images/7f3a9c21e0b4d655/3 HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a: b\r\n", 2600)
	for name, request := range map[string]string{"body": body, "fields": fields} {
		t.Run(name, func(t *testing.T) {
			r, web := signedRig(t, "", func(r *rig) {
				r.config["limits"] = map[string]any{"cores": 1, "memory_mb": signedCrowdMB, "sockets": 1024}
			})
			stop := startSignedCrowd(t, web, request)
			order := r.client().encodeRequest("orders", object, 3*time.Second, strings.Repeat("x", orderBytes), "unique", "k")
			for range platformCrowdConns {
				r.client().write(order[:len(order)-1000])
			}
			r.checkServed(40, 25*time.Millisecond)
			stop()
			t.Logf("peak memory %d MB", r.peakMemoryMB())
			if mb := r.peakMemoryMB(); mb >= signedCrowdMB {
				t.Errorf("peak memory %d MB, want less than the limit of %d MB", mb, signedCrowdMB)
			}
		})
	}
}

// startSignedCrowd has clients write a part of a request to the signed front, again each time they are turned away.
func startSignedCrowd(t *testing.T, addr, request string) (stop func()) {
	stopped := make(chan struct{})
	var all sync.WaitGroup
	for range signedCrowdConns {
		all.Go(func() {
			for range signedCrowdRepeats {
				if !writePart(t, addr, request, stopped) {
					return
				}
			}
		})
	}
	return func() {
		close(stopped)
		all.Wait()
	}
}

// checkServed sends requests at an interval, and fails the test if one is not served.
func (r *rig) checkServed(n int, interval time.Duration) {
	r.t.Helper()
	c := r.client()
	for i := range n {
		c.send("images", fmt.Sprintf("%016x", i), 2*time.Second, "")
		if a := c.readAnswer(); a.err != "" {
			r.t.Errorf("request %d beside the crowd: answer %+v, want no error", i, a)
		}
		time.Sleep(interval)
	}
}

// writePart writes a part of a request and waits until the gateway ends the connection. It reports whether it has before stop was
// closed.
func writePart(t *testing.T, addr, part string, stop <-chan struct{}) (ended bool) {
	conn, err := loopback.Dial(addr)
	if err != nil {
		t.Error(err)
		return false
	}
	defer loopback.Close(conn)
	_, _ = conn.Write([]byte(part)) // fails if the gateway has ended the connection
	done := make(chan struct{})
	go func() {
		defer close(done)
		readToEnd(conn)
	}()
	select {
	case <-done:
		return true
	case <-stop:
		return false
	}
}

func readToEnd(conn net.Conn) {
	for b := make([]byte, 1024); ; {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}

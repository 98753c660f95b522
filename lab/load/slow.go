package load

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/fakeserver"
	"larchusher/lab/loopback"
)

// SlowSpec says which slow readers there are.
type SlowSpec struct {
	Addr  string
	Conns int
	Pace  int // bytes a second that each reads
	Ask   int // parts that each asks for at once, and again when they have come
}

// slowName begins the objects that slow readers ask for.
const slowName = "510b0bb1"

// SlowContent has stores answer slow readers with parts of so many bytes, and others as usual.
func SlowContent(size int) func(*fakeserver.Request) {
	var mu sync.Mutex
	bodies := map[string]string{}
	return func(a *fakeserver.Request) {
		if !strings.HasPrefix(a.Fields["name"], slowName) {
			fakeserver.ServeHit(a)
			return
		}
		key := a.Fields["name"] + a.Fields["piece"]
		mu.Lock()
		body, ok := bodies[key]
		if !ok && len(bodies) < 100 {
			body = fakeserver.ContentOfSize(a.Fields["name"], a.Fields["piece"], size)
			bodies[key] = body
		}
		mu.Unlock()
		a.Serve("warm", body)
	}
}

// Slow starts slow readers; stop ends them and says how many were closed by the gateway.
func Slow(spec SlowSpec) (stop func() (closed int), err error) {
	var mu sync.Mutex
	closed, over := 0, false
	var conns []net.Conn
	stop = func() int {
		mu.Lock()
		defer mu.Unlock()
		over = true
		for _, c := range conns {
			loopback.Close(c)
		}
		return closed
	}
	for i := range spec.Conns {
		c, err := loopback.Dial(spec.Addr)
		if err != nil {
			stop()
			return nil, fmt.Errorf("slow reader: %w", err)
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(16 << 10) // or the kernel would read for it
		}
		conns = append(conns, c)
		go func() {
			enc := rpc.NewEncoder(c)
			for id := uint32(1); id <= uint32(spec.Ask); id++ {
				_ = enc.Request(&rpc.Request{ID: id, Class: "films", Txn: fmt.Sprintf("%08x%08x", 0x510b0000+i, id),
					Limit: 5 * time.Second, Object: fmt.Sprintf("%s%08x", slowName, i%8), Part: int(id) % 4, Group: 3})
			}
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for range tick.C {
				if _, err := io.CopyN(io.Discard, c, int64(spec.Pace/10)); err != nil {
					mu.Lock()
					if !over {
						closed++
					}
					mu.Unlock()
					loopback.Close(c)
					return
				}
			}
		}()
	}
	return stop, nil
}

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

// SlowReaderSpec configures clients that read their answers slowly.
type SlowReaderSpec struct {
	Addr  string // of the gateway
	Conns int    // number of clients, each with one connection
	Pace  int    // bytes per second that each client reads
	Ask   int    // parts that each client requests at its start; it requests none later
}

// slowObjectPrefix is the prefix of the names of objects that slow readers request.
const slowObjectPrefix = "510b0bb1"

// SlowReaderContent returns a handler for fake servers that answers requests of slow readers with parts of size bytes and
// all others as usual. The handler keeps at most 100 bodies and may be called from any goroutine.
func SlowReaderContent(size int) func(*fakeserver.Request) {
	var mu sync.Mutex
	bodies := map[string]string{}
	return func(a *fakeserver.Request) {
		if !strings.HasPrefix(a.Fields["name"], slowObjectPrefix) {
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

// StartSlowReaders connects spec.Conns slow readers and starts one goroutine for each. Calling stop closes their
// connections and returns the number that had ended before, closed by the gateway. The error is that of connecting.
func StartSlowReaders(spec SlowReaderSpec) (stop func() (closed int), err error) {
	var mu sync.Mutex
	closed, stopped := 0, false
	var conns []net.Conn
	stop = func() int {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		for _, c := range conns {
			loopback.Close(c)
		}
		return closed
	}
	for i := range spec.Conns {
		c, err := loopback.Dial(spec.Addr)
		if err != nil {
			stop()
			return nil, fmt.Errorf("slow reader: can't connect: %w", err)
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(16 << 10) // a larger buffer would let the kernel read ahead of the client
		}
		conns = append(conns, c)
		go func() {
			enc := rpc.NewEncoder(c)
			for id := uint32(1); id <= uint32(spec.Ask); id++ {
				_ = enc.Request(&rpc.Request{ID: id, Class: "films", Txn: fmt.Sprintf("%08x%08x", 0x510b0000+i, id),
					Limit: 5 * time.Second, Object: fmt.Sprintf("%s%08x", slowObjectPrefix, i%8), Part: int(id) % 4, Group: 3})
			}
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for range tick.C {
				if _, err := io.CopyN(io.Discard, c, int64(spec.Pace/10)); err != nil {
					mu.Lock()
					if !stopped {
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

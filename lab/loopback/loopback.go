// Package loopback opens and closes the sockets of tests and experiments. Its functions take no context: on loopback they
// return at once, or within the time-out that the caller gives.
package loopback

import (
	"context"
	"io"
	"net"
	"time"
)

// Listen opens a TCP listener on addr.
func Listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

// Dial connects to a TCP address without a time-out of its own.
func Dial(addr string) (net.Conn, error) { return DialTimeout(addr, 0) }

// DialTimeout connects to a TCP address within a time-out; 0 leaves the system's time-out as the only one.
func DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: within}).DialContext(context.Background(), "tcp", addr)
}

// Close closes a connection or listener that is no longer used. It ignores the error: the other side may have closed the
// connection before, and nothing measured or compared follows.
func Close(c io.Closer) { _ = c.Close() }

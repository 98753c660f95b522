// Package loopback opens and closes the sockets of tests and experiments. Its dials and listeners are bound to no context: on
// loopback they end at once, or within the time that the caller gives.
package loopback

import (
	"context"
	"io"
	"net"
	"time"
)

// Listen listens on a TCP address.
func Listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

// Dial connects to a TCP address.
func Dial(addr string) (net.Conn, error) { return DialTimeout(addr, 0) }

// DialTimeout connects to a TCP address within a time; 0: no bound but the system's.
func DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: within}).DialContext(context.Background(), "tcp", addr)
}

// Close closes what is not used any more. Its error is dropped: the other side may have closed it before, and nothing that is
// measured or compared comes after.
func Close(c io.Closer) { _ = c.Close() }

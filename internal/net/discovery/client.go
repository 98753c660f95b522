package discovery

import (
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

const (
	connectTimeout       = 500 * time.Millisecond  // after which another connection is started in parallel
	maxConnectTime       = 5 * time.Second         // limit of one attempt to connect
	silenceTimeout       = 2500 * time.Millisecond // the service sends a comment every second
	silenceCheckInterval = connectTimeout / 5
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond // the service assumes that gateways have seen an event after 7 s
)

// Reasons for closing a connection.
var (
	errAddressChanged = errors.New("address of the discovery service changed")
	errSuperseded     = errors.New("another connection is in use")
	errSilent         = errors.New("silent")
	errClosed         = errors.New("closed")
)

// Client watches the discovery service. When a connection fails or falls silent it reconnects with backoff. Its
// methods must be called on the gateway's loop.
type Client struct {
	loop    *gateway.Loop
	log     logrus.FieldLogger
	dial    dialFunc // replaced in tests by a slow one
	addr    string
	applier *EventApplier

	position       int64   // position of the latest event received; 0: none
	current        *stream // nil: no connection, except slow ones that are still connecting
	lastByte       time.Time
	heard          bool // see Heard
	backoff        time.Duration
	reconnectTimer *gateway.Timer // starts the next connection after the backoff

	Connects, Events, Dropped uint64 // connections started, events received, unusable events
}

// dialFunc has the signature and the behavior of transport.Engine.Dial.
type dialFunc func(addr string, timeout time.Duration, h transport.Handler, opened func(*transport.Conn), failed func(error))

// Watch starts watching the service at addr and passes the events after the given position to an applier. It must be
// called on the loop.
func Watch(loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger, addr string, applier *EventApplier,
	position int64) *Client {
	c := &Client{loop: loop, dial: engine.Dial, log: log, addr: addr, applier: applier, position: position, backoff: minBackoff}
	c.start()
	return c
}

// start starts the first connection and the periodic check for silence.
func (c *Client) start() {
	c.connect()
	c.checkSilence()
}

// SetAddress moves the watch to another address, where it continues after the latest event received. The connection
// to the old address is closed at once.
func (c *Client) SetAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.log.WithFields(logrus.Fields{logfields.From: c.addr, logfields.To: addr, logfields.Position: c.position}).Info(logfields.DiscoveryAddressChanged)
	c.addr, c.backoff = addr, minBackoff
	c.reconnectTimer.Stop()
	old := c.current
	c.connect()
	if old != nil && old.tc != nil {
		old.tc.Close(errAddressChanged)
	}
}

// Heard reports whether the service has sent a line of its event stream since the start. Until then the endpoint list is that of the
// configuration, which may be old.
func (c *Client) Heard() bool { return c.heard }

// isConnected reports whether a connection to the service is established.
func (c *Client) isConnected() bool { return c.current != nil && c.current.tc != nil }

// connect starts a connection. Earlier ones that are still being established may be used instead, if they are faster.
func (c *Client) connect() {
	s := &stream{client: c, addr: c.addr}
	c.current, c.lastByte = s, c.loop.Now()
	c.Connects++
	c.dial(c.addr, maxConnectTime, s,
		func(tc *transport.Conn) { c.loop.Post(func() { c.connected(s, tc) }) },
		func(err error) { c.loop.Post(func() { c.reconnect(s, err) }) })
}

// connected is called when a connection is established. It requests the events on it, or closes it if another
// connection is in use or the address has changed.
func (c *Client) connected(s *stream, tc *transport.Conn) {
	if c.isConnected() || s.addr != c.addr || s.closed {
		tc.Close(errSuperseded)
		return
	}
	c.reconnectTimer.Stop()
	c.current = s
	s.tc, c.lastByte = tc, c.loop.Now()
	_ = tc.Write([]byte("GET /journal HTTP/1.1\r\nHost: " + c.addr +
		"\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
		strconv.FormatInt(c.position, 10) + "\r\n\r\n"))
}

// checkSilence replaces a connection that is not established in time or has fallen silent. It runs every
// silenceCheckInterval.
func (c *Client) checkSilence() {
	if s := c.current; s != nil {
		silence := c.loop.Now().Sub(c.lastByte)
		connecting := s.tc == nil
		if connecting && silence > connectTimeout || silence > silenceTimeout {
			c.reconnect(s, errSilent)
		}
	}
	c.loop.After(silenceCheckInterval, c.checkSilence)
}

// reconnect closes a connection and schedules another one after the backoff. It ignores connections that are no
// longer current.
func (c *Client) reconnect(s *stream, err error) {
	if c.current != s {
		return
	}
	c.current = nil
	if s.tc != nil {
		s.tc.Close(err)
	}
	if s.tc != nil || c.backoff == minBackoff { // logged once per lost connection, not for each failed attempt to connect
		c.log.WithError(err).Warn(logfields.DiscoveryLost)
	}
	c.reconnectTimer = c.loop.After(c.backoff, c.connect)
	c.backoff = min(2*c.backoff, maxBackoff)
}

// Position returns the position of the latest event received; 0: none.
func (c *Client) Position() int64 { return c.position }

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
	connectTimeout       = 500 * time.Millisecond  // after which another connection is tried beside it
	maxConnectTime       = 5 * time.Second         // a slow one may still come up until then
	silenceTimeout       = 2500 * time.Millisecond // the service sends a comment each second
	silenceCheckInterval = connectTimeout / 5
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond // what the service holds counts as known to gateways after 7 s
)

// Why a connection ends.
var (
	errMoved    = errors.New("the service has another address")
	errReplaced = errors.New("another connection has taken its place")
	errSilent   = errors.New("silent")
	errClosed   = errors.New("closed")
)

// Client watches the service, and reconnects with backoff when a connection ends or falls silent. It lives on the loop.
type Client struct {
	loop    *gateway.Loop
	log     logrus.FieldLogger
	dial    dialFunc // tests make it slow
	addr    string
	applier *EventApplier

	position       int64   // the latest event taken in
	current        *stream // nil: none, or only slow ones that are coming up still
	lastByte       time.Time
	backoff        time.Duration
	reconnectTimer *gateway.Timer // of the next try, while there is no connection

	Connects, Events, Dropped uint64
}

// dialFunc connects as transport.Engine.Dial does.
type dialFunc func(addr string, timeout time.Duration, h transport.Handler, opened func(*transport.Conn), failed func(error))

// Watch begins to watch the service at addr behind the event at a position, and gives its events to an applier.
func Watch(loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger, addr string, applier *EventApplier,
	position int64) *Client {
	c := &Client{loop: loop, dial: engine.Dial, log: log, addr: addr, applier: applier, position: position, backoff: minBackoff}
	c.start()
	return c
}

func (c *Client) start() {
	c.connect()
	c.checkSilence()
}

// SetAddress goes on at another address, behind the latest event taken in. The connection to the old one ends at once.
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
		old.tc.Close(errMoved)
	}
}

// Connected reports whether there is a connection to the service.
func (c *Client) Connected() bool { return c.current != nil && c.current.tc != nil }

// connect begins a connection. Those that were begun before and are coming up still may take its place.
func (c *Client) connect() {
	s := &stream{client: c, addr: c.addr}
	c.current, c.lastByte = s, c.loop.Now()
	c.Connects++
	c.dial(c.addr, maxConnectTime, s,
		func(tc *transport.Conn) { c.loop.Post(func() { c.connected(s, tc) }) },
		func(err error) { c.loop.Post(func() { c.reconnect(s, err) }) })
}

// connected asks for the events on a connection that came up: the first one does, whichever was begun first.
func (c *Client) connected(s *stream, tc *transport.Conn) {
	if c.Connected() || s.addr != c.addr || s.closed {
		tc.Close(errReplaced)
		return
	}
	c.reconnectTimer.Stop()
	c.current = s
	s.tc, c.lastByte = tc, c.loop.Now()
	_ = tc.Write([]byte("GET /journal HTTP/1.1\r\nHost: " + c.addr +
		"\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
		strconv.FormatInt(c.position, 10) + "\r\n\r\n"))
}

// checkSilence gives up a connection that did not come up or has fallen silent, again and again.
func (c *Client) checkSilence() {
	if s := c.current; s != nil {
		quiet := c.loop.Now().Sub(c.lastByte)
		connecting := s.tc == nil
		if connecting && quiet > connectTimeout || quiet > silenceTimeout {
			c.reconnect(s, errSilent)
		}
	}
	c.loop.After(silenceCheckInterval, c.checkSilence)
}

// reconnect drops a connection and begins another one after the backoff.
func (c *Client) reconnect(s *stream, err error) {
	if c.current != s {
		return
	}
	c.current = nil
	if s.tc != nil {
		s.tc.Close(err)
	}
	if s.tc != nil || c.backoff == minBackoff { // once a loss, not once an attempt to connect
		c.log.WithError(err).Warn(logfields.DiscoveryLost)
	}
	c.reconnectTimer = c.loop.After(c.backoff, c.connect)
	c.backoff = min(2*c.backoff, maxBackoff)
}

// Position is the number of the latest event that was taken in; 0: none was.
func (c *Client) Position() int64 { return c.position }

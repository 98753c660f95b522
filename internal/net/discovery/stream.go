package discovery

import (
	"strconv"
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// stream is one connection to the service.
type stream struct {
	client *Client
	addr   string          // the address that it connects to
	tc     *transport.Conn // used by the loop only; nil while connecting
	closed bool            // used by the loop only
	parser responseParser  // used by the poller only
}

// OnBytes parses the response and posts its events to the loop. It runs on the poller goroutine.
func (s *stream) OnBytes(_ *transport.Conn, b []byte, at time.Time) error {
	var events []Event
	var dropped uint64
	err := s.parser.feed(b, func(data []byte, id string) {
		e, parseErr := parseEvent(data)
		if n, err := strconv.ParseInt(id, 10, 64); err == nil {
			e.Position = n
		}
		if parseErr != nil { // skipped, but its position still advances the client's
			s.client.log.WithError(parseErr).Warn(logfields.DiscoveryEventUnusable)
			dropped++
			e = Event{Position: e.Position}
		}
		events = append(events, e)
	})
	spoke := s.parser.spoke()
	s.client.loop.Post(func() {
		s.client.handleEvents(s, events, dropped, at)
		s.client.heard = s.client.heard || spoke
	})
	return err
}

// OnClosed makes the client reconnect.
func (s *stream) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errClosed
	}
	s.client.loop.Post(func() {
		s.closed = true
		s.client.reconnect(s, err)
	})
}

// handleEvents applies the events of one read, unless the connection is no longer the current one.
func (c *Client) handleEvents(s *stream, events []Event, dropped uint64, at time.Time) {
	c.Dropped += dropped
	if c.current != s {
		return
	}
	c.lastByte, c.backoff = at, minBackoff
	for _, e := range events {
		if e.Position != 0 && e.Position <= c.position { // already received before a reconnect
			continue
		}
		c.position = max(c.position, e.Position)
		c.Events++
		c.applier.Apply(c.loop.Now(), e)
	}
}

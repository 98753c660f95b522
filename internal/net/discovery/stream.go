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
	addr   string          // of the service
	tc     *transport.Conn // the loop's; nil: it is coming up
	closed bool            // the loop's
	parser responseParser  // the poller's
}

// OnBytes reads the response and its events.
func (s *stream) OnBytes(_ *transport.Conn, b []byte, at time.Time) error {
	var events []Event
	var dropped uint64
	err := s.parser.feed(b, func(data []byte, id string) {
		e, unusable := parseEvent(data)
		if n, err := strconv.ParseInt(id, 10, 64); err == nil {
			e.Position = n
		}
		if unusable != nil { // the position counts all the same
			s.client.log.WithError(unusable).Warn(logfields.DiscoveryEventUnusable)
			dropped++
			e = Event{Position: e.Position}
		}
		events = append(events, e)
	})
	s.client.loop.Post(func() { s.client.handleEvents(s, events, dropped, at) })
	return err
}

// OnClosed has the client reconnect.
func (s *stream) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errClosed
	}
	s.client.loop.Post(func() {
		s.closed = true
		s.client.reconnect(s, err)
	})
}

// handleEvents takes in what a connection has brought at a time, unless another one has taken its place.
func (c *Client) handleEvents(s *stream, events []Event, dropped uint64, at time.Time) {
	c.Dropped += dropped
	if c.current != s {
		return
	}
	c.lastByte, c.backoff = at, minBackoff
	for _, e := range events {
		if e.Position != 0 && e.Position <= c.position { // sent again after a reconnect
			continue
		}
		c.position = max(c.position, e.Position)
		c.Events++
		c.applier.Apply(c.loop.Now(), e)
	}
}

package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

const (
	connectTimeout = 500 * time.Millisecond
	silenceTimeout = 2500 * time.Millisecond // a comment comes each second
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond // what the journal holds counts as told after 7 s
	maxEventBytes  = 1 << 20
)

// Client reads the journal, and reconnects when it ends or falls silent. It lives on the loop.
type Client struct {
	loop    *gateway.Loop
	engine  *transport.Engine
	log     logrus.FieldLogger
	addr    string
	applier *EventApplier

	position       int64 // the latest event taken in
	current        *stream
	lastByte       time.Time
	backoff        time.Duration
	reconnectTimer *gateway.Timer // of the next try, while there is no connection

	Connects, Events, Dropped uint64
}

// Watch begins to read the journal after the event pos.
func Watch(loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger, addr string, book *EventApplier,
	pos int64) *Client {
	c := &Client{loop: loop, engine: engine, log: log, addr: addr, applier: book, position: pos, backoff: minBackoff}
	c.connect()
	c.checkSilence()
	return c
}

// SetAddress goes on at another address, after the latest event taken in. The connection to the old one is left at
// once: what that still holds open tells nothing more.
func (c *Client) SetAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.log.WithFields(logrus.Fields{logfields.From: c.addr, logfields.To: addr, logfields.Position: c.position}).Info(logfields.DiscoveryMoved)
	c.addr, c.backoff = addr, minBackoff
	c.reconnectTimer.Stop()
	old := c.current
	c.connect()
	if old != nil && old.tc != nil {
		old.tc.Close(errors.New("the journal has moved"))
	}
}

// Connected says whether the journal is being read.
func (c *Client) Connected() bool { return c.current != nil && c.current.tc != nil }

func (c *Client) connect() {
	s := &stream{client: c}
	c.current, c.lastByte = s, c.loop.Now()
	c.Connects++
	c.engine.Dial(c.addr, connectTimeout, s,
		func(tc *transport.Conn) {
			c.loop.Post(func() {
				if c.current != s {
					tc.Close(errors.New("given up"))
					return
				}
				s.tc, c.lastByte = tc, c.loop.Now()
				_ = tc.Write([]byte("GET /journal HTTP/1.1\r\nHost: " + c.addr +
					"\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
					strconv.FormatInt(c.position, 10) + "\r\n\r\n"))
			})
		},
		func(err error) { c.loop.Post(func() { c.reconnect(s, err) }) })
}

// checkSilence gives up a connection that has come to nothing or fallen silent.
func (c *Client) checkSilence() {
	if s := c.current; s != nil {
		quiet := c.loop.Now().Sub(c.lastByte)
		if s.tc == nil && quiet > connectTimeout || quiet > silenceTimeout {
			c.reconnect(s, errors.New("silent"))
		}
	}
	c.loop.After(connectTimeout/5, c.checkSilence)
}

// reconnect drops a connection and comes back soon.
func (c *Client) reconnect(s *stream, err error) {
	if c.current != s {
		return
	}
	c.current = nil
	if s.tc != nil {
		s.tc.Close(err)
	}
	if s.tc != nil || c.backoff == minBackoff { // once a loss, not once a try
		c.log.WithError(err).Warn(logfields.DiscoveryLost)
	}
	c.reconnectTimer = c.loop.After(c.backoff, c.connect)
	c.backoff = min(2*c.backoff, maxBackoff)
}

// stream is one connection to the journal service.
type stream struct {
	client *Client
	tc     *transport.Conn // loop

	// The poller's: what is read of the response.
	buf            []byte
	state          int
	chunkBytesLeft int64 // bytes of the present chunk, with its closing line end
	line           []byte
	data           []byte
	id             string
}

// States of a response.
const (
	inHead = iota
	inBody
	inChunkLine
	inChunk
	atEnd
)

// OnBytes reads the response and its events.
func (s *stream) OnBytes(_ *transport.Conn, b []byte, at time.Time) error {
	var events []Event
	var dropped uint64
	err := s.parseResponse(b, func(data []byte, id string) {
		e, bad := parseEvent(data)
		if n, numeric := strconv.ParseInt(id, 10, 64); numeric == nil {
			e.Position = n
		}
		if bad != nil { // it alone is passed over
			s.client.log.WithError(bad).Warn(logfields.DiscoveryEventFaulty)
			dropped++
			e = Event{Position: e.Position}
		}
		events = append(events, e)
	})
	c := s.client
	c.loop.Post(func() {
		c.Dropped += dropped
		if c.current != s {
			return
		}
		c.lastByte, c.backoff = at, minBackoff
		for _, e := range events {
			if e.Position != 0 && e.Position <= c.position { // told again after a reconnect
				continue
			}
			c.position = max(c.position, e.Position)
			c.Events++
			c.applier.Apply(c.loop.Now(), e)
		}
	})
	return err
}

// OnClosed comes back.
func (s *stream) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errors.New("closed")
	}
	s.client.loop.Post(func() { s.client.reconnect(s, err) })
}

// parseResponse takes the next bytes of a response and calls event with each whole event.
func (s *stream) parseResponse(b []byte, event func(data []byte, id string)) error {
	s.buf = append(s.buf, b...)
	for len(s.buf) > 0 {
		switch s.state {
		case inHead:
			i := bytes.Index(s.buf, []byte("\r\n\r\n"))
			if i < 0 {
				if len(s.buf) > 16<<10 {
					return errors.New("a response head that does not end")
				}
				return nil
			}
			if err := s.parseHead(string(s.buf[:i])); err != nil {
				return err
			}
			s.buf = s.buf[i+4:]
		case inBody:
			if err := s.parseEvents(s.buf, event); err != nil {
				return err
			}
			s.buf = s.buf[:0]
		case inChunkLine:
			i := bytes.IndexByte(s.buf, '\n')
			if i < 0 {
				if len(s.buf) > 1024 {
					return errors.New("a chunk's length that does not end")
				}
				return nil
			}
			word, _, _ := strings.Cut(strings.TrimSpace(string(s.buf[:i])), ";")
			n, err := strconv.ParseUint(strings.TrimSpace(word), 16, 31)
			if err != nil {
				return fmt.Errorf("the chunk's length %.20q", word)
			}
			s.buf = s.buf[i+1:]
			if s.state, s.chunkBytesLeft = inChunk, int64(n)+2; n == 0 {
				s.state = atEnd
			}
		case inChunk:
			n := min(s.chunkBytesLeft, int64(len(s.buf)))
			body := min(n, max(0, s.chunkBytesLeft-2))
			if err := s.parseEvents(s.buf[:body], event); err != nil {
				return err
			}
			s.buf = s.buf[n:]
			if s.chunkBytesLeft -= n; s.chunkBytesLeft == 0 {
				s.state = inChunkLine
			}
		case atEnd:
			return errors.New("the journal ended")
		}
	}
	return nil
}

func (s *stream) parseHead(head string) error {
	lines := strings.Split(head, "\r\n")
	if word := strings.SplitN(lines[0], " ", 3); len(word) < 2 || !strings.HasPrefix(word[0], "HTTP/1.") ||
		word[1] != "200" {
		return fmt.Errorf("the answer %.60q", lines[0])
	}
	s.state = inBody
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		if strings.EqualFold(name, "transfer-encoding") && strings.EqualFold(strings.TrimSpace(value), "chunked") {
			s.state = inChunkLine
		}
	}
	return nil
}

// parseEvents reads lines of server-sent events.
func (s *stream) parseEvents(b []byte, event func(data []byte, id string)) error {
	s.line = append(s.line, b...)
	for {
		i := bytes.IndexByte(s.line, '\n')
		if i < 0 {
			if len(s.line)+len(s.data) > maxEventBytes {
				return errors.New("an event that does not end")
			}
			return nil
		}
		line := bytes.TrimSuffix(s.line[:i], []byte("\r"))
		s.line = s.line[i+1:]
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "": // a comment, or the end of an event
			if len(line) == 0 && len(s.data) > 0 {
				event(s.data, s.id)
				s.data = nil
			}
		case "data":
			if len(s.data) > 0 {
				s.data = append(s.data, '\n')
			}
			s.data = append(s.data, value...)
		case "id":
			s.id = string(value)
		}
	}
}

// Position is the number of the latest event that was taken in.
func (c *Client) Position() int64 { return c.position }

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
	connectFor = 500 * time.Millisecond
	silence    = 2500 * time.Millisecond // a comment comes each second
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond // what the journal holds counts as told after 7 s
	lineMost   = 1 << 20
)

// Client reads the journal, and reconnects when it ends or falls silent. It lives on the loop.
type Client struct {
	loop   *gateway.Loop
	engine *transport.Engine
	log    logrus.FieldLogger
	addr   string
	book   *EventApplier

	pos     int64 // the latest event taken in
	current *stream
	heard   time.Time
	retry   time.Duration
	again   *gateway.Timer // of the next try, while there is no connection

	Connects, Events, Dropped uint64
}

// Watch begins to read the journal after the event pos.
func Watch(loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger, addr string, book *EventApplier,
	pos int64) *Client {
	c := &Client{loop: loop, engine: engine, log: log, addr: addr, book: book, pos: pos, retry: retryFirst}
	c.connect()
	c.watch()
	return c
}

// SetAddress goes on at another address, after the latest event taken in. The connection to the old one is left at
// once: what that still holds open tells nothing more.
func (c *Client) SetAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.log.WithFields(logrus.Fields{logfields.From: c.addr, logfields.To: addr, logfields.Position: c.pos}).Info(logfields.DiscoveryMoved)
	c.addr, c.retry = addr, retryFirst
	c.again.Stop()
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
	c.current, c.heard = s, c.loop.Now()
	c.Connects++
	c.engine.Dial(c.addr, connectFor, s,
		func(tc *transport.Conn) {
			c.loop.Post(func() {
				if c.current != s {
					tc.Close(errors.New("given up"))
					return
				}
				s.tc, c.heard = tc, c.loop.Now()
				_ = tc.Write([]byte("GET /journal HTTP/1.1\r\nHost: " + c.addr +
					"\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
					strconv.FormatInt(c.pos, 10) + "\r\n\r\n"))
			})
		},
		func(err error) { c.loop.Post(func() { c.lost(s, err) }) })
}

// watch gives up a connection that has come to nothing or fallen silent.
func (c *Client) watch() {
	if s := c.current; s != nil {
		quiet := c.loop.Now().Sub(c.heard)
		if s.tc == nil && quiet > connectFor || quiet > silence {
			c.lost(s, errors.New("silent"))
		}
	}
	c.loop.After(connectFor/5, c.watch)
}

// lost drops a connection and comes back soon.
func (c *Client) lost(s *stream, err error) {
	if c.current != s {
		return
	}
	c.current = nil
	if s.tc != nil {
		s.tc.Close(err)
	}
	if s.tc != nil || c.retry == retryFirst { // once a loss, not once a try
		c.log.WithError(err).Warn(logfields.DiscoveryLost)
	}
	c.again = c.loop.After(c.retry, c.connect)
	c.retry = min(2*c.retry, retryMost)
}

// stream is one connection to the journal service.
type stream struct {
	client *Client
	tc     *transport.Conn // loop

	// The poller's: what is read of the response.
	buf   []byte
	state int
	left  int64 // bytes of the present chunk, with its closing line end
	text  []byte
	data  []byte
	id    string
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
	err := s.read(b, func(data []byte, id string) {
		e, bad := parse(data)
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
		c.heard, c.retry = at, retryFirst
		for _, e := range events {
			if e.Position != 0 && e.Position <= c.pos { // told again after a reconnect
				continue
			}
			c.pos = max(c.pos, e.Position)
			c.Events++
			c.book.Apply(c.loop.Now(), e)
		}
	})
	return err
}

// OnClosed comes back.
func (s *stream) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errors.New("closed")
	}
	s.client.loop.Post(func() { s.client.lost(s, err) })
}

// read takes the next bytes of a response and calls event with each whole event.
func (s *stream) read(b []byte, event func(data []byte, id string)) error {
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
			if err := s.head(string(s.buf[:i])); err != nil {
				return err
			}
			s.buf = s.buf[i+4:]
		case inBody:
			if err := s.events(s.buf, event); err != nil {
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
			if s.state, s.left = inChunk, int64(n)+2; n == 0 {
				s.state = atEnd
			}
		case inChunk:
			n := min(s.left, int64(len(s.buf)))
			body := min(n, max(0, s.left-2))
			if err := s.events(s.buf[:body], event); err != nil {
				return err
			}
			s.buf = s.buf[n:]
			if s.left -= n; s.left == 0 {
				s.state = inChunkLine
			}
		case atEnd:
			return errors.New("the journal ended")
		}
	}
	return nil
}

func (s *stream) head(head string) error {
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

// events reads lines of server-sent events.
func (s *stream) events(b []byte, event func(data []byte, id string)) error {
	s.text = append(s.text, b...)
	for {
		i := bytes.IndexByte(s.text, '\n')
		if i < 0 {
			if len(s.text)+len(s.data) > lineMost {
				return errors.New("an event that does not end")
			}
			return nil
		}
		line := bytes.TrimSuffix(s.text[:i], []byte("\r"))
		s.text = s.text[i+1:]
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
func (c *Client) Position() int64 { return c.pos }

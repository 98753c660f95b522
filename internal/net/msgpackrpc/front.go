package msgpackrpc

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

const (
	openMost    = 32 // requests open on one connection; further ones are refused
	sweep       = 250 * time.Millisecond
	bodyMost    = 48000   // bytes that a request carries
	partMost    = 1 << 20 // parts of one object
	groupMost   = 255     // the last group
	limitMost   = time.Minute
	keptMost    = 16 << 10  // of a connection's buffer, between messages
	messageCost = 512       // memory of a message beside its body
	errorBack   = "Backoff" // refused
	errorLost   = "Lost"    // failed
)

// Front takes requests from the platform's clients.
type Front struct {
	loop    *gateway.Loop
	gateway *gateway.Gateway
	log     logrus.FieldLogger
	conns   map[*conn]bool
	tenants *transport.Tenants

	Malformed uint64 // connections closed for what they sent
	Excess    uint64 // requests beyond those that a connection may have open
}

// New returns a front for so many connections. Its Accept makes the handlers of a listener.
func New(loop *gateway.Loop, g *gateway.Gateway, most int, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, gateway: g, log: log, conns: map[*conn]bool{}, tenants: transport.NewTenants(most)}
	loop.After(sweep, f.sweep)
	return f
}

// Accept returns the callbacks of a new connection.
func (f *Front) Accept() transport.Handler {
	return &conn{front: f, open: map[uint64]*gateway.Request{}}
}

// Idle says whether all that was answered has left.
func (f *Front) Idle() bool {
	for c := range f.conns {
		if c.tc.Waiting() > 0 || len(c.open) > 0 {
			return false
		}
	}
	return true
}

// MakeRoom has an idle connection closed, for one that waits to be accepted. It may be called from anywhere.
func (f *Front) MakeRoom() { f.loop.Post(func() { f.tenants.MakeRoom(f.loop.Now(), 1) }) }

// sweep closes connections that hold their places for nothing.
func (f *Front) sweep() {
	f.tenants.Sweep(f.loop.Now(), nil)
	f.loop.After(sweep, f.sweep)
}

// conn is one client's connection.
type conn struct {
	front *Front
	buf   []byte // poller: bytes of a message that has not come whole

	tc     *transport.Conn // loop: the rest
	open   map[uint64]*gateway.Request
	tenant *transport.Tenant
	gone   bool
}

// OnOpened counts the connection among those that are swept, though it may never send a byte.
func (c *conn) OnOpened(tc *transport.Conn) {
	c.front.loop.Post(func() {
		if !c.gone {
			c.tc = tc
			c.tenant = c.front.tenants.Add(tc, c.front.loop.Now(), func() bool { return len(c.open) > 0 })
			c.front.conns[c] = true
		}
	})
}

// OnBytes cuts what came into messages. A message that has come whole carries the time at which it did.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	if len(c.buf) > 0 {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	var batch []message
	var bad error
	held := 0
	for len(b) > 0 && bad == nil {
		left := valueMost
		rest, err := skip(b, 0, &left)
		if errors.Is(err, errShort) && len(b) <= frameMost {
			break
		}
		if err == nil {
			var m message
			if m, err = decode(b[:len(b)-len(rest)]); err == nil {
				m.body = append([]byte(nil), m.body...) // the buffer is used again
				batch = append(batch, m)
				b = rest
				held += messageCost + len(m.body)
				bad = tc.Hold(messageCost + len(m.body))
				continue
			}
		}
		bad = fmt.Errorf("malformed message: %w", err)
		break
	}
	if len(b) == 0 && cap(c.buf) > keptMost { // many clients send a large body once in a while
		c.buf = nil
	}
	c.buf = append(c.buf[:0], b...)
	half := len(b) > 0
	c.front.loop.Post(func() {
		if bad != nil {
			c.front.Malformed++
		}
		c.take(tc, batch, half, at)
		tc.Release(held)
	})
	return bad
}

// OnClosed gives up what is open on the connection.
func (c *conn) OnClosed(_ *transport.Conn, _ error) {
	c.front.loop.Post(func() {
		c.gone = true
		delete(c.front.conns, c)
		c.front.tenants.Drop(c.tenant)
		for id, r := range c.open {
			delete(c.open, id)
			c.front.gateway.Abandon(r)
		}
	})
}

func (c *conn) take(tc *transport.Conn, batch []message, half bool, at time.Time) {
	if c.gone {
		return
	}
	c.tenant.Heard(c.front.loop.Now(), len(batch), half)
	for _, m := range batch {
		switch {
		case m.kind == typeNotify && m.method == "cancelRequest":
			if r := c.open[m.number]; r != nil {
				delete(c.open, m.number)
				c.front.gateway.Abandon(r)
			}
		case m.kind == typeNotify: // unknown notifications are passed over
		case m.method == "alive":
			b := append(appendResponse(nil, m.id), 0xc0, 0x92, 0xc3)
			_ = tc.Write(appendFields(b, "", ""))
		default:
			c.request(m, at)
		}
	}
}

// request hands a request in. It counts its time from when its last byte came.
func (c *conn) request(m message, at time.Time) {
	if c.open[m.id] != nil {
		c.front.Malformed++
		c.tc.Close(fmt.Errorf("message id %d is open already", m.id))
		return
	}
	r := &gateway.Request{Ref: m.fields["txn"], Class: m.method, Object: m.fields["item"],
		Key: m.fields["unique"], Have: m.fields["mine"], Retry: m.fields["second"] == "1", Body: m.body}
	// Guards the other requests of a store's connection: the store closes it on what it cannot read.
	var err error
	number := func(name string, needed bool, most uint64) (n uint64) {
		s := m.fields[name]
		if s == "" && !needed || err != nil {
			return 0
		}
		if n, err = strconv.ParseUint(s, 10, 31); err == nil && n > most {
			err = fmt.Errorf("%s: %d is out of range", name, n)
		}
		return n
	}
	limit := min(time.Duration(number("limit", true, 1<<31))*time.Millisecond, limitMost)
	r.Part, r.Group = int(number("n", false, partMost)), int(number("shard", false, groupMost))
	switch {
	case !hexName(r.Ref) || !hexName(r.Object):
		err = errors.New("txn and item have 16 hex digits")
	case r.Key != "" && !plain(r.Key) || r.Have != "" && !plain(r.Have):
		err = errors.New("a field that cannot be passed on")
	case len(r.Body) > bodyMost:
		err = errors.New("the body is too long")
	}
	if err != nil {
		c.front.log.WithError(err).Debug("a request that cannot be read")
		c.fail(m.id, errorLost, "", "")
		return
	}
	if len(c.open) >= openMost {
		c.front.Excess++
		c.fail(m.id, errorBack, "later", "100")
		return
	}
	r.Deadline = at.Add(limit)
	r.Answer = func(a gateway.Answer) { c.answer(m.id, a) }
	c.open[m.id] = r
	c.front.gateway.Submit(r)
}

// hexName says whether s is 16 hex digits.
func hexName(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return false
		}
	}
	return len(s) == 16
}

// plain says whether s can stand in a field of any wire that it is passed on to.
func plain(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' ||
			c == '_' || c == '.') {
			return false
		}
	}
	return s != "" && len(s) <= 128
}

func (c *conn) answer(id uint64, a gateway.Answer) {
	delete(c.open, id)
	switch {
	case c.gone:
	case a.Outcome == gateway.Served:
		head := append(appendResponse(make([]byte, 0, 16), id), 0xc0, 0x92)
		_ = c.tc.Write(appendBinHead(head, len(a.Body)), a.Body, []byte{0x80})
	case a.Outcome == gateway.Unchanged:
		b := appendBinHead(append(appendResponse(nil, id), 0xc0, 0x92), 0)
		_ = c.tc.Write(appendFields(b, "still", "1"))
	case a.Harmless:
		name, value := "", ""
		if later := a.RetryAfter.Milliseconds(); later > 0 {
			name, value = "later", strconv.FormatInt(later, 10)
		}
		c.fail(id, errorBack, name, value)
	default:
		c.fail(id, errorLost, "", "")
	}
}

// fail answers with an error and at most one field.
func (c *conn) fail(id uint64, word, name, value string) {
	b := appendText(append(appendResponse(nil, id), 0x92), word)
	_ = c.tc.Write(append(appendFields(b, name, value), 0xc0))
}

package msgpackrpc

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

const (
	openMost     = 32 // requests open on one connection; further ones are refused
	sweep        = 250 * time.Millisecond
	bodyMost     = 48000   // bytes that a request carries
	partMost     = 1 << 20 // parts of one object
	groupMost    = 255     // the last group
	sizeMost     = 1 << 20 // KB that a part can have
	limitMost    = time.Minute
	keptMost     = 16 << 10  // of a connection's buffer, between messages
	refusalsMost = 32 << 10  // bytes of refusals that are written at once
	messageCost  = 512       // memory of a message beside its body
	errorBack    = "Backoff" // refused
	errorLost    = "Lost"    // failed
)

// errEnding ends connections with the program.
var errEnding = errors.New("the program ends")

// Front takes requests from the platform's clients.
type Front struct {
	loop    *gateway.Loop
	gateway *gateway.Gateway
	log     logrus.FieldLogger
	conns   map[*conn]bool
	tracker *transport.ConnTracker
	shut    bool        // Shut was called
	holding atomic.Bool // Hold was called

	classes atomic.Pointer[map[string]string] // names, so that each is held once

	Malformed   uint64 // connections closed for what they sent
	TooManyOpen uint64 // requests beyond those that a connection may have open
}

// New returns a front for so many connections. Its Accept makes the handlers of a listener.
func New(loop *gateway.Loop, g *gateway.Gateway, classes []string, most int, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, gateway: g, log: log, conns: map[*conn]bool{}, tracker: transport.NewConnTracker(most)}
	f.SetClasses(classes)
	loop.After(sweep, f.sweep)
	return f
}

// SetClasses takes in the names of the classes that are served. It may be called from anywhere.
func (f *Front) SetClasses(names []string) {
	classes := make(map[string]string, len(names))
	for _, name := range names {
		classes[name] = name
	}
	f.classes.Store(&classes)
}

// NewHandler returns the callbacks of a new connection.
func (f *Front) NewHandler() transport.Handler {
	return &conn{front: f, open: map[uint64]*gateway.Request{}}
}

// Idle says whether all that was answered has left.
func (f *Front) Idle() bool {
	for c := range f.conns {
		if c.tc.UnsentBytes() > 0 || len(c.open) > 0 {
			return false
		}
	}
	return true
}

// CloseAll ends all connections, once nothing is in work on them: what comes on them from now on is not taken in.
func (f *Front) CloseAll() {
	f.shut = true
	for c := range f.conns {
		c.tc.CloseGracefully(errEnding, transport.LingerTime)
	}
}

// SetMaxConns sets how many connections are held at once.
func (f *Front) SetMaxConns(most int) { f.tracker.SetMaxConns(most) }

// CloseIdle ends all connections on which nothing is open and nothing has come that is not answered, and returns how many are
// left. A request that crosses the end on its way is its client's to send anew.
func (f *Front) CloseIdle() (left int) {
	for c := range f.conns {
		switch {
		case c.tc.Closing():
		case c.idle():
			c.tc.CloseGracefully(errEnding, transport.LingerTime)
		default:
			left++
		}
	}
	return left
}

// idle says whether nothing is owed on the connection.
func (c *conn) idle() bool {
	return len(c.open) == 0 && c.tc.InputDrained() && c.handed.Load() == 0 && c.tracked.PartialSince.IsZero()
}

// EvictIdle has an idle connection closed, for one that waits to be accepted. It may be called from anywhere.
func (f *Front) EvictIdle() { f.loop.Post(func() { f.tracker.EvictIdle(f.loop.Now(), 1) }) }

// sweep closes connections that hold their places for nothing.
func (f *Front) sweep() {
	f.tracker.Sweep(f.loop.Now(), nil)
	f.loop.After(sweep, f.sweep)
}

// conn is one client's connection.
type conn struct {
	front *Front
	buf   []byte // poller: bytes of a message that has not come whole; what is held comes behind them

	tc      *transport.Conn // loop: the rest
	client  *gateway.Client
	open    map[uint64]*gateway.Request
	tracked *transport.TrackedConn
	gone    bool
	half    bool         // poller: a part of a message has come
	handed  atomic.Int64 // pieces of work that were handed to the loop, and that it has not done
	asked   atomic.Int64 // requests that were shed, and the loop has not counted

	cancels cancels // that were read, and that the loop has not taken in

	held    []transport.ReceivedChunk // poller: what came since Hold
	scanned int                       // poller: bytes of buf in which cancels have been looked for
	moved   bool                      // it has gone over to another process
}

// cancels are message ids, counted. The zero value has none.
type cancels struct {
	n   atomic.Int64
	mu  sync.Mutex
	ids map[uint64]int
}

func (c *cancels) add(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids == nil {
		c.ids = map[uint64]int{}
	}
	c.ids[id]++
	c.n.Add(1)
}

func (c *cancels) done(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids[id]--; c.ids[id] <= 0 {
		delete(c.ids, id)
	}
	c.n.Add(-1)
}

// has says whether an id is among them; where there are none, which is nearly always, it costs one load.
func (c *cancels) has(id uint64) bool {
	if c.n.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[id] > 0
}

// OnOpened counts the connection among those that are swept, though it may never send a byte.
func (c *conn) OnOpened(tc *transport.Conn) {
	c.front.loop.Post(func() {
		if c.front.shut { // it was accepted just before the end
			tc.CloseGracefully(errEnding, transport.LingerTime)
		} else if !c.gone {
			c.tc = tc
			c.tracked = c.front.tracker.Add(tc, c.front.loop.Now(), func() bool {
				if n := c.asked.Swap(0); n > 0 && c.tracked != nil { // it is at work, though none of it is in work
					c.tracked.Received(c.front.loop.Now(), int(n), false)
				}
				return len(c.open) > 0
			})
			c.front.conns[c] = true
			c.client = c.front.gateway.AddClient(tc.UnsentBytes, tc.Close)
		}
	})
}

// word is one message on its way to the loop.
type word struct {
	kind    wordKind
	id      uint64
	request *gateway.Request
	class   string // of a request that cannot be read
}

type wordKind byte

const (
	wordRequest wordKind = iota
	wordBad              // a request that cannot be read
	wordCancel
	wordAlive
	wordNothing // a notification that means nothing here
)

// OnBytes cuts what came into messages. A message that has come whole carries the time at which it did. What is to be
// shed is refused right here, and costs the loop nothing.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	if c.front.holding.Load() {
		return c.hold(tc, b, at)
	}
	if len(c.buf) > 0 {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	var batch []word
	var refusals []byte
	shed := 0
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
				b = rest
				later, ok := time.Duration(0), true
				if m.kind == typeRequest && string(m.method) != "alive" {
					later, ok = c.front.gateway.Admit(gateway.PlatformFront, m.method, string(m.fields.second) == "1", m.fields.txn)
				}
				if !ok {
					shed++
					refusals = appendRefusal(refusals, m.id, later)
					if len(refusals) > refusalsMost {
						bad = tc.Write(refusals)
						refusals = refusals[:0]
					}
					continue
				}
				w := c.word(m, at)
				if w.kind == wordCancel {
					c.cancels.add(w.id)
				}
				batch = append(batch, w)
				held += messageCost + len(m.body)
				bad = tc.ReserveInput(messageCost + len(m.body))
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
	if len(refusals) > 0 && bad == nil {
		bad = tc.Write(refusals)
	}
	if shed > 0 && len(batch) == 0 && !half && !c.half && bad == nil {
		c.asked.Add(int64(shed)) // the loop learns of it when it next looks
		return nil
	}
	c.half = half
	c.handed.Add(1)
	c.front.loop.Post(func() {
		c.handed.Add(-1)
		if bad != nil {
			c.front.Malformed++
		}
		c.take(tc, batch, shed, half, at)
		tc.ReleaseInput(held)
	})
	return bad
}

// OnClosed gives up what is open on the connection.
func (c *conn) OnClosed(_ *transport.Conn, _ error) {
	c.front.loop.Post(func() {
		c.gone = true
		delete(c.front.conns, c)
		c.front.tracker.Remove(c.tracked)
		for id, r := range c.open {
			delete(c.open, id)
			c.front.gateway.Abandon(r)
		}
		c.front.gateway.RemoveClient(c.client)
	})
}

func (c *conn) take(tc *transport.Conn, batch []word, shed int, half bool, at time.Time) {
	// What was read before the end and comes after it belongs to nobody: its client asks elsewhere.
	if c.gone || tc.Closing() {
		return
	}
	c.tracked.Received(c.front.loop.Now(), len(batch)+shed, half)
	for _, w := range batch {
		switch w.kind {
		case wordCancel:
			c.cancels.done(w.id)
			if r := c.open[w.id]; r != nil {
				delete(c.open, w.id)
				c.front.gateway.Abandon(r)
			}
		case wordAlive:
			b := append(appendResponse(nil, w.id), 0xc0, 0x92, 0xc3)
			_ = tc.Write(appendFields(b, "", ""))
		case wordBad:
			if !c.opened(w.id) {
				c.front.gateway.CountAnswer(w.class, gateway.Answer{Outcome: gateway.Failed})
				c.fail(w.id, errorLost, "", "")
			}
		case wordRequest:
			if !c.opened(w.id) {
				c.request(w)
			}
		}
	}
}

// opened closes the connection if a message id is in use.
func (c *conn) opened(id uint64) bool {
	if c.open[id] == nil {
		return false
	}
	c.front.Malformed++
	c.tc.CloseGracefully(fmt.Errorf("message id %d is open already", id), transport.LingerTime)
	return true
}

// request hands a request in.
func (c *conn) request(w word) {
	if len(c.open) >= openMost {
		c.front.TooManyOpen++
		c.front.gateway.CountAnswer(w.request.Class, gateway.Answer{Outcome: gateway.Rejected})
		c.fail(w.id, errorBack, "later", "100")
		return
	}
	w.request.Client = c.client
	w.request.Answer = func(a gateway.Answer) { c.answer(w.id, a) }
	w.request.ClientConnected = func() bool { return !c.tc.Closing() && !c.cancels.has(w.id) && !c.tc.PeerClosed() }
	c.open[w.id] = w.request
	c.front.gateway.Submit(w.request)
}

// word reads a message; the frame's memory is used again. A request counts its time from when its last byte came.
func (c *conn) word(m message, at time.Time) word {
	switch {
	case m.kind == typeNotify && string(m.method) == "cancelRequest":
		return word{kind: wordCancel, id: m.number}
	case m.kind == typeNotify: // unknown notifications are passed over
		return word{kind: wordNothing}
	case string(m.method) == "alive":
		return word{kind: wordAlive, id: m.id}
	}
	class, ok := (*c.front.classes.Load())[string(m.method)] // makes no string
	if !ok {
		class = string(m.method)
	}
	// One string that all have a part of.
	f := &m.fields
	all := string(slices.Concat(f.txn, f.item, f.unique, f.mine))
	cut := func(b []byte) (s string) {
		s, all = all[:len(b)], all[len(b):]
		return s
	}
	// Its wait for a turn begins now; at may be long ago, of a connection that another process has held.
	r := &gateway.Request{Class: class, ID: cut(f.txn), Object: cut(f.item), IdempotencyKey: cut(f.unique), IfNoneMatch: cut(f.mine),
		Retry: string(f.second) == "1", Body: bytes.Clone(m.body), ArrivedAt: time.Now(), Front: gateway.PlatformFront, Admitted: true}
	// Guards the other requests of a store's connection: the store closes it on what it cannot read.
	var err error
	number := func(name string, s []byte, needed bool, most uint64) (n uint64) {
		if len(s) == 0 && !needed || err != nil {
			return 0
		}
		if n, err = strconv.ParseUint(string(s), 10, 31); err == nil && n > most {
			err = fmt.Errorf("%s: %d is out of range", name, n)
		}
		return n
	}
	limit := min(time.Duration(number("limit", f.limit, true, 1<<31))*time.Millisecond, limitMost)
	r.Part, r.Group = int(number("n", f.n, false, partMost)), int(number("shard", f.shard, false, groupMost))
	switch {
	case !hexName(r.ID) || !hexName(r.Object):
		err = errors.New("txn and item have 16 hex digits")
	case r.IdempotencyKey != "" && !plain(r.IdempotencyKey) || r.IfNoneMatch != "" && !plain(r.IfNoneMatch):
		err = errors.New("a field that cannot be passed on")
	case len(r.Body) > bodyMost:
		err = errors.New("the body is too long")
	}
	if err != nil {
		c.front.log.WithError(err).Debug(logfields.RequestUnreadable)
		return word{kind: wordBad, id: m.id, class: class}
	}
	// A size helps to decide and reaches no store: one that can't be read is not told.
	if kb, err := strconv.ParseFloat(string(f.ram), 64); err == nil && kb > 0 && kb <= sizeMost {
		r.SizeKB = kb
	}
	r.Deadline = at.Add(limit)
	return word{kind: wordRequest, id: m.id, request: r}
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
	case a.Outcome == gateway.NotModified:
		b := appendBinHead(append(appendResponse(nil, id), 0xc0, 0x92), 0)
		_ = c.tc.Write(appendFields(b, "still", "1"))
	case a.Retryable:
		_ = c.tc.Write(appendRefusal(nil, id, a.RetryAfter))
	default:
		c.fail(id, errorLost, "", "")
	}
}

// fail answers with an error and at most one field.
func (c *conn) fail(id uint64, word, name, value string) {
	_ = c.tc.Write(appendError(nil, id, word, name, value))
}

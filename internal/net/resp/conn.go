package resp

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/multiset"
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

// conn is one connection to an endpoint, open or still connecting.
type conn struct {
	pool     *Pool
	endpoint *endpoint

	parser        parser       // used by the poller only
	reservedBytes atomic.Int64 // memory reserved for the strings of an incomplete answer
	closed        atomic.Bool  // the socket is closed
	// favored has the IDs of the requests in flight whose clients do not cause a shortage of memory. Their answers are kept a little beyond
	// the memory for answers.
	favored multiset.Set[string]

	// The fields below are used by the loop only.
	tc           *transport.Conn             // nil while connecting
	timer        *gateway.Timer              // fires when connecting takes too long
	pending      []*gateway.Attempt          // attempts to write once the connection is open
	inFlight     map[string]*gateway.Attempt // by request ID
	canceled     map[string]time.Time        // when attempts were canceled on this connection, by request ID
	lastByte     time.Time                   // when the latest byte arrived, or the first attempt in flight was written
	partial      bool                        // an answer is incomplete
	partialSince time.Time                   // when its first part arrived
	lastUsed     time.Time
	pingID       string // ID of the unanswered ping; empty: none
	pingedAt     time.Time
	retired      bool // no further attempts are sent on it
	ended        bool
}

// streams returns the number of attempts that are pending or in flight on the connection.
func (c *conn) streams() int { return len(c.inFlight) + len(c.pending) }

// hasRoomFor reports whether one more attempt of the request with this ID may be sent on the connection, which
// carries at most maxStreams attempts. It returns false while a ping is unanswered.
func (c *conn) hasRoomFor(id string, maxStreams int) bool {
	if c.retired || c.ended || c.pingID != "" || c.streams() >= maxStreams {
		return false
	}
	return !c.isIDUsed(id)
}

// isIDUsed reports whether an attempt of the request with this ID is on the connection, or was canceled there
// recently: the late answer to it would be mistaken for the answer to a new attempt.
func (c *conn) isIDUsed(id string) bool {
	if _, canceled := c.canceled[id]; canceled || c.inFlight[id] != nil {
		return true
	}
	return slices.ContainsFunc(c.pending, func(a *gateway.Attempt) bool { return a.Request.ID == id })
}

// preferredOver reports whether a new attempt should go to c rather than to other: open connections are preferred,
// then those with fewer attempts.
func (c *conn) preferredOver(other *conn) bool {
	if open, otherOpen := c.tc != nil, other.tc != nil; open != otherOpen {
		return open
	}
	return c.streams() < other.streams()
}

// sweep closes the connection if it is idle, stalled or unresponsive, and pings it if it has been silent with
// attempts in flight. It also forgets canceled IDs after canceledIDLifetime.
func (c *conn) sweep(now time.Time) {
	for id, at := range c.canceled {
		if now.Sub(at) > canceledIDLifetime {
			delete(c.canceled, id)
		}
	}
	switch {
	case c.partial && now.Sub(c.lastByte) > stallTimeout:
		c.end(errAnswerStalled)
	case c.answerTooSlow(now): // the other attempts on the connection would wait forever
		c.end(errAnswerTimeout)
	case c.pingID != "" && c.lastByte.After(c.pingedAt): // any byte shows that the connection works
		c.pingID = ""
	case c.pingID != "" && now.Sub(c.pingedAt) > pingTimeout:
		c.end(errSilent)
	case c.pingID == "" && len(c.inFlight) > 0 && now.Sub(c.lastByte) > pingAfterSilence:
		c.ping(now)
	case c.idleTooLong(now):
		c.end(errIdle)
	}
}

// answerTooSlow reports whether an answer has been incomplete for longer than Config.AnswerTimeout.
func (c *conn) answerTooSlow(now time.Time) bool {
	limit := c.pool.cfg.AnswerTimeout
	return c.partial && limit > 0 && now.Sub(c.partialSince) > limit
}

// idleTooLong reports whether the connection has no attempts in flight and is retired or close to the endpoint's
// keep-alive limit.
func (c *conn) idleTooLong(now time.Time) bool {
	if len(c.inFlight) > 0 {
		return false
	}
	limit := time.Duration(idleKeepAliveShare * float64(c.pool.cfg.KeepAlive))
	return c.retired || now.Sub(c.lastUsed) > limit
}

// ping sends a health check, to which any answer or other byte counts as a reply.
func (c *conn) ping(now time.Time) {
	p := c.pool
	p.pings++
	p.Counters.Pings++
	c.pingID, c.pingedAt = "t"+strconv.FormatUint(p.pings, 10), now
	c.writeCommand("NOOP", c.pingID)
}

// writeCommand writes a command. If that fails, it ends the connection.
func (c *conn) writeCommand(args ...string) {
	if err := c.tc.Write(appendCommand(nil, args...)); err != nil {
		c.end(err)
	}
}

// opened is called when the connection is established, and writes the pending attempts. It closes the connection if
// it was abandoned meanwhile, or if the endpoint list no longer has the endpoint there: another process may have answered at
// its address.
func (c *conn) opened(tc *transport.Conn) {
	if c.ended {
		tc.Close(errAbandoned)
		return
	}
	c.timer.Stop()
	c.tc, c.lastByte = tc, c.pool.loop.Now()
	if c.retired {
		c.end(errEndpointChanged)
		return
	}
	waiting := c.pending
	c.pending = nil
	for _, a := range waiting {
		if !c.ended {
			c.writeAttempt(a)
		} else {
			c.pool.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
		}
	}
}

// OnClosed releases reserved memory and ends the attempts on the connection.
func (c *conn) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errClosed
	}
	c.closed.Store(true)
	c.releaseReserved()
	c.pool.loop.Post(func() { c.end(err) })
}

// end closes the connection and removes it from the pool. Attempts in flight end with routing.Reset, since they may
// have been executed; pending ones end with routing.ConnectFailed.
func (c *conn) end(err error) {
	if c.ended {
		return
	}
	c.ended = true
	c.timer.Stop()
	c.leavePool()
	p := c.pool
	if c.tc != nil {
		c.tc.Close(err)
	} else {
		p.Counters.ConnectsFailed++
	}
	if len(c.inFlight) > 0 {
		p.Counters.ConnsLost++
		p.log.WithError(err).WithFields(logrus.Fields{logfields.Endpoint: c.endpoint.id, logfields.InFlight: len(c.inFlight)}).Debug(logfields.EndpointConnLost)
	}
	lost := slices.SortedFunc(maps.Values(c.inFlight), func(a, b *gateway.Attempt) int { return strings.Compare(a.Request.ID, b.Request.ID) })
	c.inFlight = nil
	// A lost connection counts against the endpoint once, not once per attempt.
	for i, a := range lost {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.Reset, CollateralReset: i > 0})
	}
	pending := c.pending
	c.pending = nil
	for _, a := range pending {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
	}
}

// leavePool removes the connection from the pool, and also its endpoint if that is no longer on the endpoint list and
// this was its last connection.
func (c *conn) leavePool() {
	p, s := c.pool, c.endpoint
	p.connCount--
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
	if s.addr == "" && len(s.conns) == 0 && p.endpoints[s.id] == s {
		delete(p.endpoints, s.id)
	}
}

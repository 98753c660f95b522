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
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

// conn is one connection to an endpoint, or one that is coming up.
type conn struct {
	pool     *Pool
	endpoint *endpoint

	parser        parser       // the poller's
	reservedBytes atomic.Int64 // for strings of an answer that is not complete
	closed        atomic.Bool  // the socket is closed

	// The loop's.
	tc           *transport.Conn             // nil: it is coming up
	timer        *gateway.Timer              // of the connect time-out
	pending      []*gateway.Attempt          // until it is open
	inFlight     map[string]*gateway.Attempt // by the ids of their requests
	canceled     map[string]time.Time        // ids of requests whose attempts were canceled here, and when
	lastByte     time.Time                   // when the latest byte came, or attempts were first in flight
	partial      bool                        // a part of an answer has come,
	partialSince time.Time                   // and since when
	lastUsed     time.Time
	pingID       string // of the ping that is not answered; empty: none is
	pingedAt     time.Time
	retired      bool // it takes no further attempt
	ended        bool
}

// streams is the number of attempts on the connection.
func (c *conn) streams() int { return len(c.inFlight) + len(c.pending) }

// canTake reports whether the connection can take one more attempt of the request with an id.
func (c *conn) canTake(id string, maxStreams int) bool {
	if c.retired || c.ended || c.pingID != "" || c.streams() >= maxStreams {
		return false
	}
	return !c.knows(id)
}

// knows reports whether an attempt of the request with an id is on the connection, or was canceled there: a late answer
// would be taken for that to a further attempt.
func (c *conn) knows(id string) bool {
	if _, canceled := c.canceled[id]; canceled || c.inFlight[id] != nil {
		return true
	}
	return slices.ContainsFunc(c.pending, func(a *gateway.Attempt) bool { return a.Request.ID == id })
}

// betterThan reports whether a further attempt should go to c rather than to other: an open connection goes first, then
// the one with fewer attempts.
func (c *conn) betterThan(other *conn) bool {
	if open, otherOpen := c.tc != nil, other.tc != nil; open != otherOpen {
		return open
	}
	return c.streams() < other.streams()
}

// sweep closes the connection if it is idle, stalled or silent, and pings it if it may be silent.
func (c *conn) sweep(now time.Time) {
	for id, at := range c.canceled {
		if now.Sub(at) > canceledIDLifetime {
			delete(c.canceled, id)
		}
	}
	switch {
	case c.partial && now.Sub(c.lastByte) > stallTimeout:
		c.end(errAnswerStalled)
	case c.answerTooSlow(now): // the attempts that share the connection would wait for ever
		c.end(errAnswerTimeout)
	case c.pingID != "" && c.lastByte.After(c.pingedAt): // any byte will do
		c.pingID = ""
	case c.pingID != "" && now.Sub(c.pingedAt) > pingTimeout:
		c.end(errSilent)
	case c.pingID == "" && len(c.inFlight) > 0 && now.Sub(c.lastByte) > pingAfterSilence:
		c.ping(now)
	case c.idleTooLong(now):
		c.end(errIdle)
	}
}

// answerTooSlow reports whether an answer has begun and is not complete within the limit.
func (c *conn) answerTooSlow(now time.Time) bool {
	limit := c.pool.cfg.AnswerTimeout
	return c.partial && limit > 0 && now.Sub(c.partialSince) > limit
}

// idleTooLong reports whether the connection is of no further use.
func (c *conn) idleTooLong(now time.Time) bool {
	if len(c.inFlight) > 0 {
		return false
	}
	limit := time.Duration(idleKeepAliveShare * float64(c.pool.cfg.KeepAlive))
	return c.retired || now.Sub(c.lastUsed) > limit
}

// ping asks for any answer.
func (c *conn) ping(now time.Time) {
	p := c.pool
	p.pings++
	p.Counters.Pings++
	c.pingID, c.pingedAt = "t"+strconv.FormatUint(p.pings, 10), now
	c.writeCommand("NOOP", c.pingID)
}

// writeCommand writes a command, or ends the connection.
func (c *conn) writeCommand(args ...string) {
	if err := c.tc.Write(appendCommand(nil, args...)); err != nil {
		c.end(err)
	}
}

// opened writes the attempts that waited for the connection.
func (c *conn) opened(tc *transport.Conn) {
	if c.ended {
		tc.Close(errGivenUp)
		return
	}
	c.timer.Stop()
	c.tc, c.lastByte = tc, c.pool.loop.Now()
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

// OnClosed ends the attempts on the connection.
func (c *conn) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errClosed
	}
	c.closed.Store(true)
	c.releaseReserved()
	c.pool.loop.Post(func() { c.end(err) })
}

// end drops the connection. What was written may have run; what was not, has not.
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
	// That the connection broke counts against the endpoint once, not for each attempt.
	for i, a := range lost {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.Reset, CollateralReset: i > 0})
	}
	pending := c.pending
	c.pending = nil
	for _, a := range pending {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
	}
}

// leavePool takes the connection off the pool, and its endpoint too if that is not on the list any more.
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

package resp

import (
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

// conn is one connection to a store, or one that is coming up.
type conn struct {
	pool          *Pool
	endpoint      *endpoint
	parser        parser       // poller
	reservedBytes atomic.Int64 // bytes held for an answer that has not come whole
	closed        atomic.Bool  // the connection has ended
	tc            *transport.Conn
	pending       []*gateway.Attempt // until it is up
	inFlight      map[string]*gateway.Attempt
	canceled      map[string]time.Time // ids that were given up here: a late answer must not be taken for another's
	lastByte      time.Time            // latest byte, or since when work is out
	partial       bool                 // an answer has begun to come,
	partialSince  time.Time            // since then
	lastUsed      time.Time
	pingID        string // tag of the test that is out
	pingedAt      time.Time
	retired       bool // takes nothing new
	ended         bool
	timer         *gateway.Timer
}

// opened writes what waited for the connection.
func (c *conn) opened(tc *transport.Conn) {
	if c.ended {
		tc.Close(errors.New("given up"))
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

// OnClosed ends what is out on the connection.
func (c *conn) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errors.New("closed")
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
	p := c.pool
	p.connCount--
	if i := slices.Index(c.endpoint.conns, c); i >= 0 {
		c.endpoint.conns = slices.Delete(c.endpoint.conns, i, i+1)
	}
	if c.endpoint.addr == "" && len(c.endpoint.conns) == 0 && p.endpoints[c.endpoint.id] == c.endpoint {
		delete(p.endpoints, c.endpoint.id)
	}
	if c.tc != nil {
		c.tc.Close(err)
	} else {
		p.Counters.ConnectsFailed++
	}
	if len(c.inFlight) > 0 {
		p.Counters.ConnsLost++
		p.log.WithError(err).WithFields(logrus.Fields{logfields.Endpoint: c.endpoint.id, logfields.InFlight: len(c.inFlight)}).Debug(logfields.EndpointConnLost)
	}
	var out []*gateway.Attempt
	for _, a := range c.inFlight {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *gateway.Attempt) int { return strings.Compare(a.Request.ID, b.Request.ID) })
	c.inFlight = nil
	// Guards against a store that looks ill for one bad answer: that it broke counts once, not for each attempt.
	for i, a := range out {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.Reset, CollateralReset: i > 0})
	}
	waiting := c.pending
	c.pending = nil
	for _, a := range waiting {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
	}
}

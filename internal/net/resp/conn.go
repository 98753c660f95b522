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
	pool    *Pool
	store   *store
	parser  parser       // poller
	coming  atomic.Int64 // bytes held for an answer that has not come whole
	closed  atomic.Bool  // the connection has ended
	tc      *transport.Conn
	waiting []*gateway.Attempt // until it is up
	open    map[string]*gateway.Attempt
	quit    map[string]time.Time // ids that were given up here: a late answer must not be taken for another's
	heard   time.Time            // latest byte, or since when work is out
	within  bool                 // an answer has begun to come,
	begun   time.Time            // since then
	used    time.Time
	test    string // tag of the test that is out
	tested  time.Time
	retired bool // takes nothing new
	dead    bool
	timer   *gateway.Timer
}

// opened writes what waited for the connection.
func (c *conn) opened(tc *transport.Conn) {
	if c.dead {
		tc.Close(errors.New("given up"))
		return
	}
	c.timer.Stop()
	c.tc, c.heard = tc, c.pool.loop.Now()
	waiting := c.waiting
	c.waiting = nil
	for _, a := range waiting {
		if !c.dead {
			c.write(a)
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
	c.drop()
	c.pool.loop.Post(func() { c.end(err) })
}

// end drops the connection. What was written may have run; what was not, has not.
func (c *conn) end(err error) {
	if c.dead {
		return
	}
	c.dead = true
	c.timer.Stop()
	p := c.pool
	p.conns--
	if i := slices.Index(c.store.conns, c); i >= 0 {
		c.store.conns = slices.Delete(c.store.conns, i, i+1)
	}
	if c.store.addr == "" && len(c.store.conns) == 0 && p.stores[c.store.id] == c.store {
		delete(p.stores, c.store.id)
	}
	if c.tc != nil {
		c.tc.Close(err)
	} else {
		p.Counters.ConnectsFailed++
	}
	if len(c.open) > 0 {
		p.Counters.ConnsLost++
		p.log.WithError(err).WithFields(logrus.Fields{logfields.Endpoint: c.store.id, logfields.InFlight: len(c.open)}).Debug(logfields.EndpointConnLost)
	}
	var out []*gateway.Attempt
	for _, a := range c.open {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *gateway.Attempt) int { return strings.Compare(a.Request.ID, b.Request.ID) })
	c.open = nil
	// Guards against a store that looks ill for one bad answer: that it broke counts once, not for each attempt.
	for i, a := range out {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.Reset, CollateralReset: i > 0})
	}
	waiting := c.waiting
	c.waiting = nil
	for _, a := range waiting {
		p.Gateway.AttemptEnded(a, gateway.Result{Status: routing.ConnectFailed})
	}
}
